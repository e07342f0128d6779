"""Headers and framing rules of the HTTP exchanges with backend servers."""

from dataclasses import dataclass

__all__ = ["DEFAULT_PROTOCOL", "MISDIRECTED_STATUS", "BackendProtocol"]

# Status of a server at an address that was meant for another one.
MISDIRECTED_STATUS = 421


@dataclass(frozen=True, slots=True)
class BackendProtocol:
    """Conventions of the backend servers of a deployment beyond HTTP/1.1.

    Header names are bytes in lower case; an empty one is not used.

    Parameters
    ----------
    request_id : bytes
        Echoed by a server in its answer; identifies answers to another request.
    deadline : bytes
        Time that is left for the answer, in milliseconds.
    expected_server : bytes
        Id of the server for which a request is meant; another one answers 421.
    unprocessed : bytes
        Present in the answer of a server that has not run the request.
    signature : bytes
        Present in each successful answer of a server; an answer without it comes from
        something else. Only the presence of the header is checked, not its value.
    rate_limit : bytes
        Requests a second that a server accepts from all instances together. A server
        in trouble repeats it in each answer.
    leaving : bytes
        Present in the answers of a server that is about to shut down.
    account : bytes
        Name of the client account of a request.
    allows_close_delimited : bool
        Whether the end of the connection may delimit an answer (RFC 9112, section 6.3).
    skips_unmatched_answers : bool
        Whether an answer to another request is skipped and the next one read. Requires
        a `request_id` that every server echoes.
    """

    request_id: bytes
    deadline: bytes
    expected_server: bytes = b""
    unprocessed: bytes = b""
    signature: bytes = b""
    rate_limit: bytes = b""
    leaving: bytes = b""
    account: bytes = b""
    allows_close_delimited: bool = False
    skips_unmatched_answers: bool = False


DEFAULT_PROTOCOL = BackendProtocol(
    request_id=b"kumquatsaddle-request",
    deadline=b"kumquatsaddle-deadline-ms",
    unprocessed=b"backend-unprocessed",
    rate_limit=b"backend-rate-limit",
)
