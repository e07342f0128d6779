"""Exception hierarchy of the project.

Every error raised on purpose derives from `KumquatsaddleError`. The command-line
programs exit with the ``exit_code`` of the class.
"""

from kumquatsaddle.types import RefusalReason

__all__ = [
    "KumquatsaddleError",
    "SettingsError",
    "ConfigurationError",
    "MessageError",
    "PlatformError",
    "PlatformUnavailableError",
    "ConflictError",
    "HistoryLostError",
    "StoreRestoredError",
    "ChangeNotWrittenError",
    "ChangeUnknownError",
    "RefusedError",
    "RateLimitedError",
    "BackendsPausedError",
    "QueueRefusedError",
    "OutcomeUnknownError",
    "raise_error",
]


class KumquatsaddleError(Exception):
    """Base class of all errors of the project."""

    exit_code = 1


class SettingsError(KumquatsaddleError):
    """A settings file is invalid.

    Parameters
    ----------
    problem : str
        What is wrong.
    file, section, key : str, optional
        Where it is wrong.
    """

    exit_code = 2

    def __init__(self, problem, file=None, section=None, key=None):
        self.problem = problem
        self.file = file
        self.section = section
        self.key = key
        location = "".join(
            [
                f"{file}: " if file else "",
                f"[{section}] " if section else "",
                f"{key}: " if key else "",
            ]
        )
        super().__init__(f"{location}{problem}")


class ConfigurationError(KumquatsaddleError):
    """A service, template or client account is invalid.

    Parameters
    ----------
    problem : str
        What is wrong.
    field : str, optional
        Name of the field, for example ``accounts/shop-1.limits``.
    """

    exit_code = 3

    def __init__(self, problem, field=None):
        self.problem = problem
        self.field = field
        super().__init__(f"{field}: {problem}" if field else problem)


class MessageError(KumquatsaddleError):
    """An internal message is truncated, forged, replayed or malformed."""

    exit_code = 4


class PlatformError(KumquatsaddleError):
    """Base class of the errors of calls to the platform."""

    exit_code = 5


class PlatformUnavailableError(PlatformError):
    """A platform call failed; a write may or may not have taken effect."""


class ConflictError(PlatformError):
    """A conditional write found a version other than the expected one."""

    exit_code = 6


class StoreRestoredError(PlatformError):
    """The store came back from a copy, so its answer lacks some of the changes."""


class HistoryLostError(PlatformError):
    """The requested changes are no longer in the store's change log."""


class ChangeNotWrittenError(PlatformUnavailableError):
    """A configuration change was not written and will not take effect later."""

    exit_code = 9


class ChangeUnknownError(PlatformUnavailableError):
    """It is not known whether a configuration change was written.

    A repeated request with the same change id finds out.
    """

    exit_code = 10


class RefusedError(KumquatsaddleError):
    """A request did not run and will not run.

    Parameters
    ----------
    reason : RefusalReason
        The reason, also the label of the counter.
    detail : str, optional
    retry_after : float, optional
        Time in seconds after which a retry can succeed, if it is known.
    """

    exit_code = 7

    def __init__(self, reason: RefusalReason, detail="", retry_after=None):
        self.reason = reason
        self.detail = detail
        self.retry_after = retry_after
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)


class RateLimitedError(RefusedError):
    """The rate limits of the backend servers leave no room for a request in time."""

    def __init__(self, retry_after, detail=""):
        super().__init__(RefusalReason.BACKEND_LIMIT, detail, retry_after)


class BackendsPausedError(RefusedError):
    """All backend servers of a service have asked this instance for a pause."""

    def __init__(self, retry_after, detail=""):
        super().__init__(RefusalReason.BACKEND_PAUSED, detail, retry_after)


class QueueRefusedError(RefusedError):
    """A waiting request was refused under scarcity.

    Parameters
    ----------
    refusal : QueueRefusal
        What decided it.
    """

    def __init__(self, refusal, detail=""):
        super().__init__(RefusalReason.QUEUE_FULL, detail, refusal.retry_after)
        self.refusal = refusal


class OutcomeUnknownError(KumquatsaddleError):
    """A request may have run; its answer is lost.

    Parameters
    ----------
    reason : RefusalReason
        The reason, also the label of the counter.
    """

    exit_code = 8

    def __init__(self, reason: RefusalReason, detail=""):
        self.reason = reason
        self.detail = detail
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)


def raise_error(error):
    """Raise an error; the default of functions that report each error to a callable."""
    raise error
