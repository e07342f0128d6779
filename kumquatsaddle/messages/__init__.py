"""Messages between the instances of the fleet: schema, authentication and framing."""

from kumquatsaddle.messages.codec import MessageCodec, make_codec
from kumquatsaddle.messages.frames import FrameReader, write_frame

__all__ = ["FrameReader", "MessageCodec", "make_codec", "write_frame"]
