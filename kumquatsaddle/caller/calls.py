"""Requests of a caller and their results.

A request without an answer is sent again: an idempotent one as it is, another one with
the operation id of the first attempt, so that the fleet runs it at most once.
"""

import json
from dataclasses import dataclass

import trio

from kumquatsaddle.caller.addresses import AddressBook, FleetUnreachableError
from kumquatsaddle.caller.connections import ConnectionPool
from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["Caller", "CallResult", "make_caller"]

_CONNECT_TIMEOUT = 1.0
_ADDRESS_TIMEOUT = 2.0
_LONGEST_BODY = 1 << 24
# Operation ids that are fetched at a time, and the time in seconds that they are kept;
# the fleet accepts an id for 600 s.
_BATCH = 32
_KEEP_OPERATIONS = 300.0
_FAILURES = (ExchangeError, trio.TooSlowError, ValueError, KeyError, TypeError)
# Reasons that the caller itself gives.
NO_ANSWER = "no_answer"
NO_ADDRESS = "no_address"


@dataclass(frozen=True, slots=True)
class CallResult:
    """What became of a request.

    Parameters
    ----------
    outcome : Outcome
    reason : str
        Why there is no complete answer, else "".
    status : int
        HTTP status, 0 without a response.
    headers : list of (bytes, bytes)
    body : bytes
    operation : str
        Operation id of a request that is not idempotent.
    latency : float
        In seconds, all attempts included.
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
        For an answer, in seconds.
    attempts : int
        At most so many, each at another address.
    context : ssl.SSLContext or None
    """

    def __init__(self, seeds, service, account, timeout, attempts, context):
        self._account = account
        self._timeout = timeout
        self._attempts = attempts
        self._pool = ConnectionPool(_CONNECT_TIMEOUT, context)
        self._book = AddressBook(seeds, service, account, self._pool, _ADDRESS_TIMEOUT)
        self._operations = {}
        self._lock = trio.Lock()

    async def send(self, method, target, body=b"", *, idempotent=False, operation=""):
        """Send a request.

        Parameters
        ----------
        method, target : str
        body : bytes, default=b""
        idempotent : bool, default=False
            As the fleet's route says; others get an operation id.
        operation : str, optional
            Id of an earlier request that is repeated.

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
                    operation = await self._take_operation(address)
                raw = await self._exchange(address, method, target, body, operation)
            except FleetUnreachableError:
                break
            except (ExchangeError, trio.TooSlowError) as error:
                self._book.expire()
                written = written or getattr(error, "written", True)
                outcome = Outcome.UNKNOWN if written else Outcome.NOT_RUN
                result = CallResult(outcome, NO_ANSWER, operation=operation)
                continue
            doubtful = written and not idempotent
            return _read_result(raw, operation, started, attempt + 1, doubtful)
        latency = trio.current_time() - started
        return CallResult(
            result.outcome,
            result.reason,
            operation=operation,
            latency=latency,
            attempts=attempt + 1,
        )

    async def take_operation(self):
        """Return an operation id that the account's primary has issued.

        Raises
        ------
        FleetUnreachableError
            If no address is known.
        ExchangeError
            If the primary does not answer.
        """
        return await self._take_operation(await self._choose_address(0))

    async def close(self):
        """Close all idle connections."""
        await self._pool.close()

    async def _choose_address(self, attempt):
        addresses = await self._book.get()
        return addresses[attempt % len(addresses)]

    async def _take_operation(self, address):
        async with self._lock:
            issued, operations = self._operations.get(address, (0.0, []))
            if not operations or trio.current_time() - issued > _KEEP_OPERATIONS:
                issued = trio.current_time()
                operations = await self._fetch_operations(address)
                self._operations[address] = (issued, operations)
            return operations.pop()

    async def _fetch_operations(self, address):
        target = f"/.kumquatsaddle/operations?count={_BATCH}"
        try:
            raw = await self._exchange(address, "POST", target, b"", "")
            operations = [str(entry) for entry in json.loads(raw.body)["operations"]]
        except _FAILURES as error:
            # The request that the ids are for was not sent yet.
            reason = RefusalReason.PEER_UNREACHABLE
            raise ExchangeError(reason, False, repr(error)) from None
        if not operations:
            raise ExchangeError(RefusalReason.PEER_UNREACHABLE, False, "no ids")
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
            connection = await self._pool.take(address)
            try:
                raw = await connection.exchange(
                    method, target, headers, body, _LONGEST_BODY, lambda: None
                )
            except BaseException:
                await connection.close()
                raise
        await self._pool.put(address, connection)
        return raw


def make_caller(seeds, service, account, timeout=10.0, attempts=2, context=None):
    """Return a caller of one account and service.

    Parameters
    ----------
    seeds : iterable of Address
        Instances to ask for addresses.
    service, account : str
    timeout : float, default=10.0
        For an answer, in seconds.
    attempts : int, default=2
        Attempts for a request that gets no answer, each at another address.
    context : ssl.SSLContext, optional
        Connects with TLS.

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
        raise ValueError("no seeds")
    if not timeout > 0:
        raise ValueError(f"timeout {timeout!r} is not positive")
    if attempts < 1:
        raise ValueError(f"attempts {attempts!r} is below 1")
    return Caller(seeds, service, account, timeout, attempts, context)


def _read_result(raw, operation, started, attempts, doubtful):
    headers = {bytes(name): bytes(value) for name, value in raw.headers}
    word = headers.get(b"kumquatsaddle-outcome", b"").decode("latin-1")
    known = {outcome.value: outcome for outcome in Outcome}
    # A response without an outcome is not one of the fleet.
    outcome = known.get(word, Outcome.UNKNOWN)
    if doubtful and outcome is Outcome.NOT_RUN:
        # The refusal of a repeat does not tell what became of the first attempt.
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
