"""Requests of a caller and their results.

A request that gets no answer is sent again. An idempotent one is sent unchanged; any
other has the operation id of the first attempt, so that the fleet runs it at most once.
"""

import json
from dataclasses import dataclass

import trio

from kumquatsaddle.caller.addresses import AddressCache, FleetUnreachableError
from kumquatsaddle.caller.connections import ConnectionPool
from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["Caller", "CallResult", "make_caller"]

_CONNECT_TIMEOUT_SECONDS = 1.0
_ADDRESS_TIMEOUT_SECONDS = 2.0
_MAX_ANSWER_BYTES = 1 << 24
# Number of operation ids in one fetch, and the time after which unused ids are
# discarded; the fleet accepts an id for 600 s.
_OPERATION_BATCH_SIZE = 32
_OPERATION_RETENTION_SECONDS = 300.0
_FETCH_ERRORS = (
    ExchangeError,
    trio.TooSlowError,
    ValueError,
    KeyError,
    TypeError,
    # Of JSON that is nested too deep.
    RecursionError,
)
# Reasons of results that come from the caller instead of the fleet.
NO_ANSWER = "no_answer"
NO_ADDRESS = "no_address"


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a request.

    Parameters
    ----------
    outcome : Outcome
    reason : str
        Reason for the lack of a complete answer, else "".
    status : int
        HTTP status, 0 without a response.
    headers : tuple of (bytes, bytes)
    body : bytes
    operation : str
        Operation id of a request that is not idempotent.
    latency : float
        Seconds over all attempts.
    attempts : int
    """

    outcome: Outcome
    reason: str
    status: int = 0
    headers: tuple = ()
    body: bytes = b""
    operation: str = ""
    latency: float = 0.0
    attempts: int = 1

    def get_header(self, name):
        """Return the first value of a header (lower case) as text, or ""."""
        for key, value in self.headers:
            if key == name.encode():
                return value.decode("latin-1")
        return ""


class Caller:
    """Sends the requests of one account to one service.

    Parameters
    ----------
    seeds : iterable of Address
    service, account : str
    timeout : float
        Time limit of one exchange with an instance, in seconds.
    attempts : int
        Maximum number of attempts; each uses the next address.
    context : ssl.SSLContext or None
    """

    def __init__(self, seeds, service, account, timeout, attempts, context):
        self._account = account
        self._timeout = timeout
        self._attempts = attempts
        self._pool = ConnectionPool(_CONNECT_TIMEOUT_SECONDS, context)
        self._address_cache = AddressCache(
            seeds, service, account, self._pool, _ADDRESS_TIMEOUT_SECONDS
        )
        self._operation_ids = {}
        self._lock = trio.Lock()

    async def send(self, method, target, body=b"", *, idempotent=False, operation=""):
        """Send a request.

        Parameters
        ----------
        method, target : str
        body : bytes, default=b""
        idempotent : bool, default=False
            Must match the route in the fleet; a request that is not idempotent gets an
            operation id.
        operation : str, optional
            Operation id of an earlier request, to repeat that request.

        Returns
        -------
        CallResult
        """
        started = trio.current_time()
        result, written = CallResult(Outcome.NOT_RUN, NO_ADDRESS), False
        for attempt in range(self._attempts):
            try:
                address = await self._choose_address(attempt)
                if not idempotent and not operation:
                    operation = await self._acquire_operation_id(address)
                raw = await self._exchange(address, method, target, body, operation)
            except FleetUnreachableError:
                break
            except (ExchangeError, trio.TooSlowError) as error:
                self._address_cache.invalidate()
                # A timeout does not tell whether the request was written.
                written = written or getattr(error, "written", True)
                outcome = Outcome.UNKNOWN if written else Outcome.NOT_RUN
                result = CallResult(outcome, NO_ANSWER, operation=operation)
                continue
            may_have_run = written and not idempotent
            return _make_result(raw, operation, started, attempt + 1, may_have_run)
        latency = trio.current_time() - started
        return CallResult(
            result.outcome,
            result.reason,
            operation=operation,
            latency=latency,
            attempts=attempt + 1,
        )

    async def acquire_operation_id(self):
        """Return an unused operation id that the account's primary has issued.

        Raises
        ------
        FleetUnreachableError
            If no address is known.
        ExchangeError
            If the primary does not answer.
        """
        return await self._acquire_operation_id(await self._choose_address(0))

    async def close(self):
        """Close all idle connections."""
        await self._pool.close()

    async def _choose_address(self, attempt):
        addresses = await self._address_cache.get()
        return addresses[attempt % len(addresses)]

    async def _acquire_operation_id(self, address):
        async with self._lock:
            fetched_at, operations = self._operation_ids.get(address, (0.0, []))
            if (
                not operations
                or trio.current_time() - fetched_at > _OPERATION_RETENTION_SECONDS
            ):
                fetched_at = trio.current_time()
                operations = await self._fetch_operation_ids(address)
                self._operation_ids[address] = (fetched_at, operations)
            return operations.pop()

    async def _fetch_operation_ids(self, address):
        target = f"/.kumquatsaddle/operations?count={_OPERATION_BATCH_SIZE}"
        try:
            raw = await self._exchange(address, "POST", target, b"", "")
            operations = [str(entry) for entry in json.loads(raw.body)["operations"]]
        except _FETCH_ERRORS as error:
            # The request that needs an id has not been sent yet.
            reason = RefusalReason.PEER_UNREACHABLE
            raise ExchangeError(reason, False, repr(error)) from None
        if not operations:
            raise ExchangeError(
                RefusalReason.PEER_UNREACHABLE,
                False,
                "the answer contains no operation ids",
            )
        return operations

    async def _exchange(self, address, method, target, body, operation):
        headers = [
            ("Host", str(address)),
            ("Kumquatsaddle-Account", self._account),
            ("Kumquatsaddle-Timeout-Ms", str(int(self._timeout * 1000))),
            ("Content-Length", str(len(body))),
        ]
        if operation:
            headers.append(("Kumquatsaddle-Operation", operation))
        with trio.fail_after(self._timeout):
            connection = await self._pool.acquire(address)
            try:
                raw = await connection.exchange(
                    method, target, headers, body, _MAX_ANSWER_BYTES, lambda: None
                )
            except BaseException:
                await connection.close()
                raise
        await self._pool.release(address, connection)
        return raw


def make_caller(seeds, service, account, timeout=10.0, attempts=2, context=None):
    """Return a caller of one account and service.

    Parameters
    ----------
    seeds : iterable of Address
        Instances to ask for addresses.
    service, account : str
    timeout : float, default=10.0
        Time limit of one exchange with an instance, in seconds.
    attempts : int, default=2
        Maximum number of attempts for a request; each uses the next address.
    context : ssl.SSLContext, optional
        Context for TLS connections; default: plain TCP.

    Returns
    -------
    Caller

    Raises
    ------
    ValueError
        If there is no seed, or the timeout or the attempts are not positive.
    """
    seeds = list(seeds)
    if not seeds:
        raise ValueError("the list of seeds is empty")
    if not timeout > 0:
        raise ValueError(f"timeout {timeout!r} is not positive")
    if attempts < 1:
        raise ValueError(f"attempts {attempts!r} is below 1")
    return Caller(seeds, service, account, timeout, attempts, context)


def _make_result(raw, operation, started, attempts, may_have_run):
    headers = {bytes(name): bytes(value) for name, value in raw.headers}
    outcome_value = headers.get(b"kumquatsaddle-outcome", b"").decode("latin-1")
    outcomes = {outcome.value: outcome for outcome in Outcome}
    # A response without an outcome does not come from the fleet.
    outcome = outcomes.get(outcome_value, Outcome.UNKNOWN)
    if may_have_run and outcome is Outcome.NOT_RUN:
        # The refusal of a repeat does not reveal the outcome of an earlier attempt.
        outcome = Outcome.UNKNOWN
    return CallResult(
        outcome,
        headers.get(b"kumquatsaddle-reason", b"").decode("latin-1"),
        raw.status,
        tuple(raw.headers),
        raw.body,
        headers.get(b"kumquatsaddle-operation", b"").decode("latin-1") or operation,
        trio.current_time() - started,
        attempts,
    )
