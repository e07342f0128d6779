"""A backend server as one instance sees it: evidence, load and connections."""

import trio

from kumquatsaddle.balance.beliefs import Belief, Observation
from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.logs import log_event

__all__ = ["BalancedServer"]

# Time in seconds for a connection to open; it usually takes 1 ms.
_CONNECT_TIMEOUT = 0.25
# Idle connections kept to one server.
_MOST_IDLE = 8
# Time in seconds that an idle connection is used, and for a request that must not
# repeat: a server that has just closed its side loses what is sent.
_IDLE_LIMIT = 8.0
_UNSAFE_IDLE_LIMIT = 4.0
# Time in seconds by which a connection is given up before the server closes it.
_IDLE_MARGIN = 1.5
# Weight of the latest answer in the pace of a server.
_PACE_WEIGHT = 0.2
# Time in seconds after which a slow answer counts half.
_PACE_HALF_LIFE = 4.0
# Share of the usual time of an answer within which a failure counts as one at once,
# and the longest such time in seconds.
_FAST_SHARE = 0.2
_LONGEST_FAST = 0.06
# Time in seconds that an observation is taken to lag behind the use of the server.
_OBSERVED_DELAY = 0.5
# Chance of a failure above which a server is logged as doubted, and below which as
# trusted again.
_DOUBTED, _SURE = 0.3, 0.08
# Chance of being sick of a server that has just started, relative to the usual one.
_NEW_PRIOR = 0.3
# Times in seconds that a server is avoided after a failed connection.
_UNREACHABLE_PAUSES = (0.5, 1.0, 2.0, 4.0)


class BalancedServer:
    """One backend server.

    Parameters
    ----------
    record : ServerRecord
    protocol : BackendProtocol
    now : float
        On the clock of trio, in seconds.
    is_new : bool, default=False
        Whether it was added to a list that was known before.

    Attributes
    ----------
    own_load : int
        Requests of this instance that are in flight.
    counts : dict of Observation to int
        What this instance has observed since it knows the server.
    untried : bool
        Whether no instance is known to have sent it a request.
    used_at : float
        When it got its latest known request, on the clock of trio in seconds.
    """

    def __init__(self, record, protocol, now, is_new=False):
        self.record = record
        self.protocol = protocol
        self.belief = Belief(now, _NEW_PRIOR if is_new else 1.0)
        self.own_load = 0
        self.counts = {
            Observation.SERVED: 0,
            Observation.FAILED_FAST: 0,
            Observation.FAILED_SLOWLY: 0,
        }
        self.untried = is_new
        self.gone = False
        self._doubted = False
        self._failed_at = float("-inf")
        self.cold_until = now + record.cold
        self.used_at = now if is_new else float("-inf")
        self._peer_loads = {}
        self._peer_started = {}
        self._peer_total = 0
        self._idle = []
        self._started = {}
        self._pace = 1.0
        self._pace_updated = now
        self._unreachable_until = 0.0
        self._failed_connects = 0
        self._full_until = 0.0

    @property
    def name(self):
        """The id of the server."""
        return self.record.name

    @property
    def load(self):
        """Requests in flight, as far as this instance knows."""
        return self.own_load + self._peer_total

    def update(self, record, now):
        """Take over a changed entry of the same incarnation."""
        self.record = record
        self.cold_until = now + record.cold

    def set_peer_load(self, instance, load, started=0):
        """Note what another instance has in flight; return whether it changed.

        Parameters
        ----------
        instance : str
        load : int
        started : int, default=0
            Of these, the requests that have not failed at once.
        """
        if started:
            self._peer_started[instance] = started
        else:
            self._peer_started.pop(instance, None)
        known = self._peer_loads.get(instance, 0)
        if load == known:
            return False
        if load > known:
            self.used_at = trio.current_time()
        if load:
            self.untried = False
            self._peer_loads[instance] = load
        else:
            del self._peer_loads[instance]
        self._peer_total += load - known
        return True

    def read_peer_load(self, instance):
        """Return what another instance has in flight."""
        return self._peer_loads.get(instance, 0)

    def begin(self, key, now, expected):
        """Note that a request starts; `expected` is its usual time in seconds."""
        self.own_load += 1
        self.used_at = now
        self.untried = False
        self._started[key] = (now, expected)

    def end(self, key):
        """Note that a request has ended."""
        self.own_load -= 1
        self._started.pop(key, None)

    def count_started(self, now):
        """Return how many requests in flight anywhere have not failed at once."""
        return self.count_own_started(now) + sum(self._peer_started.values())

    def count_own_started(self, now):
        """Return how many requests in flight here have not failed at once.

        Those that started before the last failure say nothing of the time after it.
        """
        return sum(
            started > self._failed_at and now - started > _measure_fast(expected)
            for started, expected in self._started.values()
        )

    def observe_answer(self, now, started, expected, failed):
        """Add an answer to a request of this instance to the evidence.

        Parameters
        ----------
        now, started : float
            On the clock of trio, in seconds.
        expected : float
            Usual time of the answer, in seconds.
        failed : bool

        Returns
        -------
        Observation or None
            None if a failure after the start of the request says more.
        """
        if not failed:
            if started < self._failed_at:
                return None
            observation = Observation.SERVED
        elif now - started < _measure_fast(expected):
            observation = Observation.FAILED_FAST
        else:
            observation = Observation.FAILED_SLOWLY
        self.counts[observation] += 1
        self.observe(now, observation)
        return observation

    def observe(self, now, observation):
        """Add an observation, made here or by another instance, to the evidence."""
        self.untried = False
        self.used_at = max(self.used_at, now - _OBSERVED_DELAY)
        if observation is Observation.FAILED_FAST:
            self._failed_at = now
            self._peer_started.clear()
        if observation is Observation.SERVED and not self._doubted:
            # Most observations are of this kind, and it makes no server doubtful.
            self.belief.observe(now, observation)
        else:
            self._observe_doubt(now, observation)

    def _observe_doubt(self, now, observation):
        """Observe, and log when the server becomes doubtful or no longer is."""
        before = self.belief.measure_failure(now)
        self.belief.observe(now, observation)
        after = self.belief.measure_failure(now)
        doubted = after > (_SURE if self._doubted else _DOUBTED)
        if doubted != self._doubted:
            self._doubted = doubted
            log_event(
                "backend_doubted" if doubted else "backend_trusted",
                backend=self.name,
                service=self.record.service,
                observation=observation.value,
                before=round(before, 3),
                after=round(after, 3),
                load=self.load,
            )

    def note_pace(self, now, ratio):
        """Add an answer that took `ratio` times its usual time."""
        current = self.measure_pace(now)
        self._pace = current + _PACE_WEIGHT * (min(ratio, 10.0) - current)
        self._pace_updated = now

    def measure_pace(self, now):
        """Return how many times the usual time the server takes."""
        age = now - self._pace_updated
        pace = 1.0 + (self._pace - 1.0) * 0.5 ** (age / _PACE_HALF_LIFE)
        for started, expected in self._started.values():
            # A request that is still unanswered shows slowness before its answer does.
            pace = max(pace, min(10.0, (now - started) / expected - 1.0))
        return pace

    def note_full(self, now, pause):
        """Note that the server refused a request for lack of room."""
        self._full_until = now + pause

    def note_unreachable(self, now):
        """Note that the server did not accept a connection."""
        step = min(self._failed_connects, len(_UNREACHABLE_PAUSES) - 1)
        self._unreachable_until = now + _UNREACHABLE_PAUSES[step]
        self._failed_connects += 1

    def is_listed(self):
        """Return whether the server is there and does not leave."""
        return not self.gone and not self.record.draining

    def is_open(self, now):
        """Return whether the server may be asked now."""
        paused = max(self._unreachable_until, self._full_until)
        return self.is_listed() and now >= paused

    async def take_connection(self, idempotent):
        """Return a connection for a request, idle or new.

        Raises
        ------
        ExchangeError
            If the server does not accept a connection.
        """
        now = trio.current_time()
        limit = _IDLE_LIMIT if idempotent else _UNSAFE_IDLE_LIMIT
        while self._idle:
            connection, since = self._idle.pop()
            kept = connection.keep_alive
            usable = limit if kept is None else min(limit, kept - _IDLE_MARGIN)
            if now - since < usable and connection.is_reusable():
                return connection
            await connection.close()
        connection = await open_connection(
            self.record.address, _CONNECT_TIMEOUT, self.protocol
        )
        self._failed_connects = 0
        return connection

    async def return_connection(self, connection):
        """Keep a connection for reuse, or close it."""
        if self.gone or len(self._idle) >= _MOST_IDLE or not connection.is_reusable():
            await connection.close()
        else:
            self._idle.append((connection, trio.current_time()))

    async def close(self):
        """Close the idle connections; those in use close when they are returned."""
        self.gone = True
        while self._idle:
            connection, _ = self._idle.pop()
            await connection.close()


def _measure_fast(expected):
    """Return the time in seconds within which a failure counts as one at once."""
    return min(_LONGEST_FAST, _FAST_SHARE * expected)
