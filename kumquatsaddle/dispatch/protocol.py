"""Names of the headers that instances and backend servers exchange."""

from dataclasses import dataclass

__all__ = ["OWN_PROTOCOL", "BackendProtocol"]


@dataclass(frozen=True, slots=True)
class BackendProtocol:
    """What the backend servers of a deployment speak beside HTTP/1.1.

    Header names are bytes in lower case; an empty one is not used.

    Parameters
    ----------
    request_id : bytes
        Repeated by a server in its answer; marks answers to another request.
    deadline : bytes
        Milliseconds that are left for the answer.
    expected_server : bytes
        Id of the server for which a request is meant; another one answers 421.
    unprocessed : bytes
        Marks an answer of a server that has not run the request.
    signature : bytes
        Header without which a successful answer is not one of a server.
    allows_unframed : bool
        Whether an answer may end with its connection.
    skips_strays : bool
        Whether an answer to another request is skipped and the next one read. Needs
        a `request_id` that every server repeats.
    """

    request_id: bytes
    deadline: bytes
    expected_server: bytes = b""
    unprocessed: bytes = b""
    signature: bytes = b""
    allows_unframed: bool = False
    skips_strays: bool = False


OWN_PROTOCOL = BackendProtocol(
    request_id=b"kumquatsaddle-request",
    deadline=b"kumquatsaddle-deadline-ms",
    unprocessed=b"backend-unprocessed",
)
