"""A caller: asks the fleet for addresses, connects there and sends requests."""

import json

import trio

from demo.fleet import call_http
from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.settings.parsers import parse_address

__all__ = ["Caller", "Result"]

_MAX_BODY = 1 << 24
_TIMEOUT = 10.0


class Result:
    """What became of one request of a caller."""

    def __init__(
        self, outcome, reason, status, body, operation, latency, backend_time=""
    ):
        self.outcome = outcome
        self.reason = reason
        self.status = status
        self.body = body
        self.operation = operation
        self.latency = latency
        self.backend_time = backend_time


class Caller:
    """A caller of one account and one service.

    Parameters
    ----------
    seeds : sequence of Address
        Instances to ask for addresses.
    service, account : str
    """

    def __init__(self, seeds, service, account):
        self._seeds = list(seeds)
        self._service = service
        self._account = account
        self._addresses = []
        self._expires = 0.0
        self._connection = None
        self._operations = []

    async def send(self, method, target, body=b"", operation=""):
        """Send a request and return its `Result`."""
        started = trio.current_time()
        try:
            raw = await self._exchange(method, target, body, operation)
        except (ExchangeError, trio.TooSlowError) as error:
            await self.disconnect()
            self._expires = 0.0
            # Without an answer the caller does not know whether the request ran.
            written = getattr(error, "written", True)
            outcome = "unknown" if written else "not-run"
            latency = trio.current_time() - started
            return Result(outcome, "no_answer", 0, b"", operation, latency)
        return Result(
            _text(raw, b"kumquatsaddle-outcome"),
            _text(raw, b"kumquatsaddle-reason"),
            raw.status,
            raw.body,
            _text(raw, b"kumquatsaddle-operation"),
            trio.current_time() - started,
            _text(raw, b"backend-time-us"),
        )

    async def take_operation(self):
        """Return an operation id issued by the instance in use."""
        if not self._operations:
            raw = await self._exchange(
                "POST", "/.kumquatsaddle/operations?count=32", b"", ""
            )
            self._operations = json.loads(raw.body)["operations"]
        return self._operations.pop()

    async def disconnect(self):
        """Close the connection; the next request asks for addresses again."""
        if self._connection is not None:
            await self._connection.close()
            self._connection = None
        self._operations = []

    async def _exchange(self, method, target, body, operation):
        connection = await self._connect()
        headers = [
            ("Host", "fleet"),
            ("Kumquatsaddle-Account", self._account),
            ("Content-Length", str(len(body))),
        ]
        if operation:
            headers.append(("Kumquatsaddle-Operation", operation))
        with trio.fail_after(_TIMEOUT):
            raw = await connection.exchange(
                method, target, headers, body, _MAX_BODY, lambda: None
            )
        if not connection.is_reusable():
            await self.disconnect()
        return raw

    async def _connect(self):
        if self._connection is not None:
            if self._connection.is_reusable():
                return self._connection
            await self.disconnect()
        if trio.current_time() >= self._expires or not self._addresses:
            await self._ask_addresses()
        for address in self._addresses:
            try:
                self._connection = await open_connection(address, 1.0)
                return self._connection
            except ExchangeError as error:
                last = error
        self._expires = 0.0
        raise last

    async def _ask_addresses(self):
        query = f"service={self._service}&account={self._account}"
        for seed in self._seeds:
            try:
                raw = await call_http(
                    seed, "GET", f"/.kumquatsaddle/addresses?{query}", timeout=2.0
                )
            except (ExchangeError, trio.TooSlowError) as error:
                last = error
                continue
            answer = json.loads(raw.body)
            self._addresses = [
                parse_address(entry["address"]) for entry in answer["addresses"]
            ]
            self._expires = trio.current_time() + answer["ttl"]
            # A seed that has not answered lately is asked last.
            self._seeds.remove(seed)
            self._seeds.insert(0, seed)
            return
        raise last


def _text(raw, name):
    value = raw.get_header(name)
    return value.decode() if value else ""
