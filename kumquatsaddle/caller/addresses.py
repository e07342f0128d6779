"""The addresses that the fleet tells a caller to use, kept for their time to live."""

import json
from urllib.parse import urlencode

import trio

from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.exceptions import KumquatsaddleError
from kumquatsaddle.settings.parsers import parse_address

__all__ = ["AddressBook", "FleetUnreachableError"]

_LONGEST_ANSWER = 1 << 16
# Longest time to live in seconds that is believed.
_LONGEST_TTL = 300.0


class FleetUnreachableError(KumquatsaddleError):
    """No seed answers with addresses."""

    exit_code = 9


class AddressBook:
    """Addresses for one service and account.

    Parameters
    ----------
    seeds : iterable of Address
        Instances to ask for addresses.
    service, account : str
    pool : ConnectionPool
    timeout : float
        For the answer of a seed, in seconds.
    """

    def __init__(self, seeds, service, account, pool, timeout):
        self._seeds = list(seeds)
        query = urlencode({"service": service, "account": account})
        self._target = f"/.kumquatsaddle/addresses?{query}"
        self._pool = pool
        self._timeout = timeout
        self._addresses = []
        self._expires = 0.0
        self._lock = trio.Lock()

    async def get(self):
        """Return the addresses in the order of use, asking the fleet when needed.

        Returns
        -------
        list of Address

        Raises
        ------
        FleetUnreachableError
            If no seed answers and no earlier answer is known.
        """
        if self._is_current():
            return self._addresses
        async with self._lock:
            if not self._is_current():
                await self._ask()
        return self._addresses

    def expire(self):
        """Ask again at the next call, because an address has failed."""
        self._expires = 0.0

    def _is_current(self):
        return bool(self._addresses) and trio.current_time() < self._expires

    async def _ask(self):
        last = "no seeds"
        # Instances of the last answer are also able to give the next one.
        for seed in dict.fromkeys([*self._seeds, *self._addresses]):
            try:
                self._read(await self._ask_one(seed))
                return
            except (ExchangeError, trio.TooSlowError, ValueError) as error:
                last = f"{seed}: {error}"
        if not self._addresses:
            raise FleetUnreachableError(f"no seed answers with addresses; {last}")

    async def _ask_one(self, seed):
        headers = [("Host", str(seed))]
        with trio.fail_after(self._timeout):
            connection = await self._pool.take(seed)
            try:
                raw = await connection.exchange(
                    "GET", self._target, headers, b"", _LONGEST_ANSWER, lambda: None
                )
            except BaseException:
                await connection.close()
                raise
        await self._pool.put(seed, connection)
        return raw.body

    def _read(self, body):
        try:
            answer = json.loads(body)
            addresses = [
                parse_address(entry["address"]) for entry in answer["addresses"]
            ]
            ttl = min(float(answer["ttl"]), _LONGEST_TTL)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"malformed answer: {error!r}") from None
        if not addresses:
            raise ValueError("the answer names no address")
        self._addresses = addresses
        self._expires = trio.current_time() + ttl
