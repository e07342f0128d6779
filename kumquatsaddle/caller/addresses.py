"""Fetches the addresses that a caller should use and caches them for their TTL."""

import json
from urllib.parse import urlencode

import trio

from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.exceptions import KumquatsaddleError
from kumquatsaddle.settings.parsers import parse_address

__all__ = ["AddressCache", "FleetUnreachableError"]

_MAX_ANSWER_BYTES = 1 << 16
# A longer time to live is reduced to this one.
_MAX_TTL_SECONDS = 300.0


class FleetUnreachableError(KumquatsaddleError):
    """No seed answers with addresses, and no addresses are known."""

    exit_code = 9


class AddressCache:
    """Cached addresses for one service and account.

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
        """Return the addresses in the order of use; fetch them if they have expired.

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
                await self._refresh()
        return self._addresses

    def invalidate(self):
        """Fetch anew at the next `get`; called after an address has failed."""
        self._expires = 0.0

    def _is_current(self):
        return bool(self._addresses) and trio.current_time() < self._expires

    async def _refresh(self):
        last_error = "there is no seed to ask"
        # The instances of the last answer can answer, too.
        for seed in dict.fromkeys([*self._seeds, *self._addresses]):
            try:
                self._apply_answer(await self._fetch_answer(seed))
                return
            except (ExchangeError, trio.TooSlowError, ValueError) as error:
                last_error = f"{seed} returned no addresses: {error}"
        if not self._addresses:
            raise FleetUnreachableError(
                f"no seed instance returned addresses; {last_error}"
            )

    async def _fetch_answer(self, seed):
        headers = [("Host", str(seed))]
        with trio.fail_after(self._timeout):
            connection = await self._pool.acquire(seed)
            try:
                raw = await connection.exchange(
                    "GET", self._target, headers, b"", _MAX_ANSWER_BYTES, lambda: None
                )
            except BaseException:
                await connection.close()
                raise
        await self._pool.release(seed, connection)
        return raw.body

    def _apply_answer(self, body):
        try:
            answer = json.loads(body)
            addresses = [
                parse_address(entry["address"]) for entry in answer["addresses"]
            ]
            ttl = min(float(answer["ttl"]), _MAX_TTL_SECONDS)
        except (KeyError, TypeError, AttributeError, RecursionError) as error:
            raise ValueError(f"the address answer is malformed: {error!r}") from None
        if not addresses:
            raise ValueError("the address answer contains no address")
        self._addresses = addresses
        self._expires = trio.current_time() + ttl
