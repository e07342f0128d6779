"""Identifiers and states shared by all packages.

Identifiers are ``NewType`` aliases of ``str`` or ``int``, so that a type checker
distinguishes them at no run-time cost. States and reasons are ``Enum`` classes; the
value of a reason is also the label of its counter in the metrics.
"""

from enum import Enum, IntEnum
from typing import NewType

__all__ = [
    "InstanceId",
    "IncarnationId",
    "ZoneId",
    "RegionId",
    "BackendId",
    "GroupId",
    "ServiceName",
    "TemplateName",
    "AccountId",
    "KeyDigest",
    "OperationId",
    "RequestDigest",
    "ConfigVersion",
    "StoreEpoch",
    "Rank",
    "Outcome",
    "RefusalReason",
    "KeyProblem",
    "RetryReason",
    "ConfigurationRetry",
    "OperatorRefusal",
    "BackendState",
    "EjectionCause",
    "ReturnCause",
    "InstanceState",
    "ImpairmentReason",
    "MessageRejection",
    "LinkRefusal",
    "ClientClosure",
]

InstanceId = NewType("InstanceId", str)
IncarnationId = NewType("IncarnationId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
BackendId = NewType("BackendId", str)
GroupId = NewType("GroupId", str)
ServiceName = NewType("ServiceName", str)
TemplateName = NewType("TemplateName", str)
AccountId = NewType("AccountId", str)
KeyDigest = NewType("KeyDigest", bytes)
OperationId = NewType("OperationId", str)
RequestDigest = NewType("RequestDigest", int)
ConfigVersion = NewType("ConfigVersion", int)
StoreEpoch = NewType("StoreEpoch", int)


class Rank(IntEnum):
    """Priority of a request; a lower value is served first."""

    URGENT = 0
    STANDARD = 1
    BULK = 2


class Outcome(Enum):
    """Whether a request ran, as reported to its caller.

    UNKNOWN means that the request may or may not have run.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why the fleet answered a request itself instead of passing on an answer."""

    # Answered NOT_RUN, except OPERATION_MISMATCH, which is answered UNKNOWN.
    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    BODIES_TOO_LARGE = "bodies_too_large"
    # The memory for clients is used up, or the connection was closed for others.
    MEMORY_LIMIT = "memory_limit"
    UNAUTHORIZED = "unauthorized"
    # The API keys known here may be out of date.
    KEYS_STALE = "keys_stale"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_ROUTE = "unknown_route"
    INVALID_OPERATION_ID = "invalid_operation_id"
    OPERATION_MISMATCH = "operation_mismatch"
    ACCOUNT_LIMIT = "account_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_BACKEND = "no_backend"
    BACKEND_SHED = "backend_shed"
    BACKEND_LIMIT = "backend_limit"
    # All servers of the service have asked for a pause.
    BACKEND_PAUSED = "backend_paused"
    BACKEND_UNREACHABLE = "backend_unreachable"
    PEER_UNREACHABLE = "peer_unreachable"
    CLAIM_LIMIT = "claim_limit"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    LEDGER_FULL = "ledger_full"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    CALLER_GONE = "caller_gone"
    # Answered UNKNOWN.
    INTERNAL_ERROR = "internal_error"
    ANSWER_LOST = "answer_lost"
    ANSWER_TRUNCATED = "answer_truncated"
    ANSWER_TOO_LARGE = "answer_too_large"
    ANSWER_LATE = "answer_late"
    ANSWER_MISMATCH = "answer_mismatch"
    ISSUER_GONE = "issuer_gone"
    OPERATION_EXPIRED = "operation_expired"
    # Backend servers ended under requests with this content.
    FATAL_REQUEST = "fatal_request"
    # Answered DONE, but without the body, which is no longer stored.
    ANSWER_FORGOTTEN = "answer_forgotten"


class KeyProblem(Enum):
    """Why the API key of a request was not accepted."""

    MISSING = "missing"
    # More than one header with a key.
    SEVERAL = "several"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    # Revoked after the request was accepted and before it was sent.
    REVOKED = "revoked"


class RetryReason(Enum):
    """Why a request was sent again to another backend server or instance."""

    CONNECT_FAILED = "connect_failed"
    STALE_CONNECTION = "stale_connection"
    BACKEND_SHED = "backend_shed"
    BACKEND_ERROR = "backend_error"
    # The server began to leave or to pause before a byte was written.
    BACKEND_WITHDRAWN = "backend_withdrawn"
    ANSWER_TRUNCATED = "answer_truncated"
    ANSWER_LATE = "answer_late"
    ANSWER_MISMATCH = "answer_mismatch"
    PEER_REFUSED = "peer_refused"
    PEER_LOST = "peer_lost"


class ConfigurationRetry(Enum):
    """Why a read or a write of the configuration was retried."""

    START_INCOMPLETE = "start_incomplete"
    FETCH_FAILED = "fetch_failed"
    VERSION_TAKEN = "version_taken"
    WRITE_UNANSWERED = "write_unanswered"


class OperatorRefusal(Enum):
    """Why an operator's request was refused or its result is not known."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    NOT_WRITTEN = "not-written"
    UNKNOWN = "unknown"
    UNAUTHORIZED = "unauthorized"
    NO_TOKEN = "no-token"
    TOO_LARGE = "too-large"
    TOO_MANY = "too-many"


class BackendState(Enum):
    """State of a backend server at its home instance."""

    HEALTHY = "healthy"
    WARMING = "warming"
    PROBATION = "probation"
    EJECTED = "ejected"
    DRAINING = "draining"
    GONE = "gone"


class EjectionCause(Enum):
    """Which evidence led to the ejection of a backend server."""

    ERRORS = "errors"
    SLOW = "slow"
    UNREACHABLE = "unreachable"
    PROBATION_FAILED = "probation_failed"


class ReturnCause(Enum):
    """Why an ejected backend server receives requests again."""

    PROBATION_PASSED = "probation_passed"
    # No idempotent request arrived that could test the server during probation.
    PROBATION_IDLE = "probation_idle"
    # The group has fewer ejection tokens left than ejected members.
    ALLOWANCE = "allowance"


class InstanceState(Enum):
    """State of an instance of the fleet, as recorded in a member table."""

    JOINING = "joining"
    ALIVE = "alive"
    IMPAIRED = "impaired"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class ImpairmentReason(Enum):
    """Why an instance declares itself IMPAIRED."""

    EVENT_LOOP_LAG = "event_loop_lag"
    PROBES_FAIL = "probes_fail"
    CONFIGURATION_STALE = "configuration_stale"
    NO_BACKEND_REACHABLE = "no_backend_reachable"


class MessageRejection(Enum):
    """Why a message from another instance was dropped."""

    TRUNCATED = "truncated"
    TOO_LONG = "too_long"
    FORGED = "forged"
    MALFORMED = "malformed"
    TOO_OLD = "too_old"
    REFLECTED = "reflected"
    REPLAYED = "replayed"
    UNKNOWN_SENDER = "unknown_sender"
    UNEXPECTED = "unexpected"
    NOT_RECIPIENT = "not_recipient"
    OVERLOAD = "overload"


class ClientClosure(Enum):
    """Why a connection of a client was closed in favor of others."""

    # It was furthest behind when the memory for clients was used up.
    MEMORY = "memory"
    # It had waited longest when the descriptors for clients were used up.
    DESCRIPTORS = "descriptors"


class LinkRefusal(Enum):
    """Why a connection to the control address was closed by this instance."""

    TOO_MANY = "too_many"
    TLS_FAILED = "tls_failed"
    # No valid message arrived in time.
    SILENT = "silent"
    # Closed without a valid message, to make room for newer connections.
    DISPLACED = "displaced"
