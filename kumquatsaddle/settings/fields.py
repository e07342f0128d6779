"""Declarations of the settings: section, key, type, unit, range and default.

No other place lists the keys: the reader, the checks and the operators' page are all
derived from this table.
"""

from dataclasses import dataclass
from typing import Any

__all__ = ["Field", "known_fields"]

# Default of a field without a default, which must be given in the file.
_REQUIRED = object()


@dataclass(frozen=True, slots=True)
class Field:
    """One key of a settings file.

    Parameters
    ----------
    section, key : str
        Section and key in the file.
    kind : str
        Name of a parser registered in `kumquatsaddle.settings.parsers`.
    default : object
        Value if the key is absent.
    low, high : float, optional
        Inclusive range of a number.
    unit : str, default=""
        Unit of a number.
    choices : tuple of str, optional
        Allowed values of the kind ``choice``.
    live : bool, default=False
        Whether a reload on SIGHUP may change the value.
    doc : str
        Description in one line, for the operators' page.
    """

    section: str
    key: str
    kind: str
    default: Any = _REQUIRED
    low: float | None = None
    high: float | None = None
    unit: str = ""
    choices: tuple[str, ...] | None = None
    live: bool = False
    doc: str = ""

    @property
    def required(self):
        """Whether the key must be present."""
        return self.default is _REQUIRED


_LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")

_FIELDS = (
    Field("instance", "id", "name", doc="Name of this instance, unique in the fleet."),
    Field("instance", "zone", "name", doc="Availability zone of this instance."),
    Field("instance", "region", "name", default="default", doc="Region of the zone."),
    Field(
        "instance",
        "processors",
        "number",
        1.0,
        0.01,
        1024.0,
        "cores",
        doc="Processor time that the instance may use.",
    ),
    Field(
        "instance",
        "link",
        "number",
        1000.0,
        0.1,
        1e6,
        "Mbit/s",
        doc="Bandwidth of the link of the instance.",
    ),
    Field(
        "instance",
        "memory",
        "number",
        0.0,
        0.0,
        1e7,
        "MB",
        doc="Memory of the machine; bounds what clients occupy. 0: no bound.",
    ),
    Field(
        "instance",
        "descriptors",
        "integer",
        0,
        0,
        10_000_000,
        "descriptors",
        doc="Of the process; bounds the connections of clients. 0: no bound.",
    ),
    Field("listen", "callers", "address", doc="Where callers connect."),
    Field("listen", "control", "address", doc="UDP and TCP between instances."),
    Field("listen", "operators", "address", doc="Operators' pages and API."),
    Field(
        "listen",
        "directory",
        "optional_address",
        None,
        doc="Where callers ask for addresses, if not at callers.",
    ),
    Field(
        "listen",
        "readiness",
        "optional_address",
        None,
        doc="Where the platform asks whether the instance is ready.",
    ),
    Field(
        "listen",
        "metrics",
        "optional_address",
        None,
        doc="Where metrics are read, if not at operators.",
    ),
    Field(
        "listen",
        "max_connections",
        "integer",
        2000,
        1,
        100000,
        "connections",
        live=True,
        doc="From callers at a time.",
    ),
    Field(
        "platform", "kind", "choice", "http", choices=("http", "memory"), doc="Store."
    ),
    Field("platform", "url", "text", "", doc="Base URL of the platform."),
    Field(
        "platform", "timeout", "number", 2.0, 0.05, 60.0, "s", doc="Limit of a call."
    ),
    Field(
        "platform",
        "poll_interval",
        "number",
        10.0,
        0.1,
        600.0,
        "s",
        live=True,
        doc="Mean time between reads of the list and of the change log.",
    ),
    Field(
        "secrets",
        "control_key_files",
        "paths",
        (),
        doc="Keys of internal messages; the first signs, all verify.",
    ),
    Field(
        "secrets",
        "operator_token_file",
        "path",
        "",
        doc="Bearer token of the operators' API.",
    ),
    Field("tls", "certificate_file", "path", "", doc="Certificate towards callers."),
    Field("tls", "key_file", "path", "", doc="Private key of the certificate."),
    Field(
        "tls",
        "control_certificate_file",
        "path",
        "",
        doc="Certificate towards other instances; turns TLS between instances on.",
    ),
    Field(
        "tls",
        "control_key_file",
        "path",
        "",
        doc="Private key of control_certificate_file.",
    ),
    Field(
        "tls",
        "control_ca_file",
        "path",
        "",
        doc="Authority that signs the certificates of all instances.",
    ),
    Field(
        "membership", "seeds", "addresses", (), doc="Control addresses to join through."
    ),
    Field(
        "membership",
        "probe_interval",
        "number",
        1.0,
        0.05,
        60.0,
        "s",
        doc="Time between probes of random peers.",
    ),
    Field(
        "membership",
        "suspicion_timeout",
        "number",
        3.0,
        0.1,
        600.0,
        "s",
        doc="Time from SUSPECT to DEAD.",
    ),
    Field(
        "limits", "header_bytes", "integer", 16384, 1024, 1 << 20, "B", doc="Of a head."
    ),
    Field(
        "limits",
        "body_bytes",
        "integer",
        1 << 20,
        0,
        1 << 26,
        "B",
        live=True,
        doc="Of a request body.",
    ),
    Field(
        "limits",
        "answer_bytes",
        "integer",
        1 << 22,
        0,
        1 << 28,
        "B",
        live=True,
        doc="Of a response body.",
    ),
    Field(
        "limits",
        "receiving_bytes",
        "integer",
        1 << 26,
        1 << 16,
        1 << 36,
        "B",
        live=True,
        doc="Of all response bodies that are being received from backend servers.",
    ),
    Field(
        "limits",
        "head_timeout",
        "number",
        10.0,
        0.1,
        300.0,
        "s",
        live=True,
        doc="For a request head to arrive.",
    ),
    Field(
        "limits",
        "body_timeout",
        "number",
        10.0,
        0.1,
        300.0,
        "s",
        live=True,
        doc="For a request body, in addition to its size at minimum_rate.",
    ),
    Field(
        "limits",
        "minimum_rate",
        "number",
        4096.0,
        1.0,
        1e9,
        "B/s",
        live=True,
        doc="Mean rate at which a request body must arrive.",
    ),
    Field(
        "limits",
        "write_timeout",
        "number",
        10.0,
        0.1,
        300.0,
        "s",
        live=True,
        doc="For a caller to take 64 KiB of an answer.",
    ),
    Field(
        "limits",
        "pending_bytes",
        "integer",
        1 << 28,
        1 << 16,
        1 << 36,
        "B",
        live=True,
        doc="Of all request bodies that are being received or answered.",
    ),
    Field(
        "limits",
        "idle_timeout",
        "number",
        75.0,
        1.0,
        3600.0,
        "s",
        live=True,
        doc="Of a keep-alive connection.",
    ),
    Field(
        "repeats",
        "share",
        "number",
        0.1,
        0.0,
        10.0,
        "repeats",
        live=True,
        doc="Repeats of a service for each of its requests.",
    ),
    Field(
        "repeats",
        "allowance",
        "number",
        10.0,
        0.0,
        1e6,
        "repeats",
        live=True,
        doc="Repeats of a service in a window beside these, over the whole fleet.",
    ),
    Field(
        "repeats",
        "window",
        "number",
        10.0,
        0.1,
        3600.0,
        "s",
        live=True,
        doc="Time in which repeats are counted.",
    ),
    Field(
        "accounts",
        "revoke_when_partitioned",
        "boolean",
        False,
        live=True,
        doc="Whether an instance without contact to the store refuses API keys (503).",
    ),
    Field(
        "accounts",
        "revoke_after",
        "number",
        5.0,
        0.1,
        86400.0,
        "s",
        live=True,
        doc="Time without contact to the store after which it does.",
    ),
    Field(
        "queue",
        "policy",
        "choice",
        "deadline",
        choices=("deadline", "value"),
        doc="Order of waiting requests. value: what is worth most first, and refused "
        "at once what cannot be served in time.",
    ),
    Field(
        "quotas",
        "window",
        "number",
        5.0,
        0.5,
        3600.0,
        "s",
        doc="Any time of this length in which requests of an account are counted.",
    ),
    Field(
        "quotas",
        "overrun",
        "number",
        0.1,
        0.0,
        10.0,
        "of the quota",
        doc="Tolerated part above rate x window + burst of a quota.",
    ),
    Field(
        "quotas",
        "slack",
        "number",
        20.0,
        0.0,
        1e6,
        "requests",
        doc="Tolerated requests in a window beyond that.",
    ),
    Field(
        "stop", "notice", "number", 3.0, 0.0, 60.0, "s", doc="Listening after SIGTERM."
    ),
    Field("stop", "grace", "number", 60.0, 0.1, 600.0, "s", doc="For work in flight."),
    Field(
        "stop",
        "kill_after",
        "number",
        0.0,
        0.0,
        3600.0,
        "s",
        doc="From SIGTERM until the process is killed; shortens the others. 0: none.",
    ),
    Field(
        "log", "level", "choice", "INFO", choices=_LOG_LEVELS, live=True, doc="Level."
    ),
)


def known_fields():
    """Return all declared fields, in the order of the operators' page.

    Returns
    -------
    tuple of Field
    """
    return _FIELDS
