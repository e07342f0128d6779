"""The state of one backend server at one instance: evidence, load and connections."""

import trio

from kumquatsaddle.balance.beliefs import Belief, Observation
from kumquatsaddle.balance.pauses import ServerPause
from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.dispatch.rate_limits import RateLimit
from kumquatsaddle.logs import log_event

__all__ = ["BalancedServer"]

# A connection usually opens within 1 ms.
_CONNECT_TIMEOUT_SECONDS = 0.25
_MAX_IDLE_CONNECTIONS = 8
# Idle time after which a connection is not reused. It is shorter for a request that is
# not idempotent, because a server that has just closed its side loses what is sent.
_IDLE_TIMEOUT_SECONDS = 8.0
_NON_IDEMPOTENT_IDLE_TIMEOUT_SECONDS = 4.0
# A connection is not reused this shortly before the server would close it.
_IDLE_MARGIN_SECONDS = 1.5
# Weight of the latest answer in the moving average of the slowdown.
_SLOWDOWN_WEIGHT = 0.2
# Without answers the slowdown decays to 1 with this half-life.
_SLOWDOWN_HALF_LIFE_SECONDS = 4.0
# A failure is fast within this share of the expected response time, but not later than
# the maximum.
_FAST_FAILURE_SHARE = 0.2
_MAX_FAST_FAILURE_SECONDS = 0.06
# Assumed time between the start of a request and the observation of its answer.
_OBSERVATION_DELAY_SECONDS = 0.5
# Failure probability above which a server is logged as doubted, and below which it is
# logged as trusted again.
_DOUBTED_ABOVE, _TRUSTED_BELOW = 0.3, 0.08
# Initial fault probability of a new server, relative to that of other servers.
_NEW_SERVER_PRIOR_SCALE = 0.3
# Pauses after consecutive failed connections.
_UNREACHABLE_PAUSES_SECONDS = (0.5, 1.0, 2.0, 4.0)


class BalancedServer:
    """One backend server as this instance knows it.

    Parameters
    ----------
    record : ServerRecord
    protocol : BackendProtocol
    now : float
        On the clock of trio, in seconds.
    is_new : bool, default=False
        Whether it was added after the first list was received, and so has probably
        just started.

    Attributes
    ----------
    own_in_flight : int
        Requests that this instance has in flight at the server.
    counts : dict of Observation to int
        Observations that this instance made itself, since it knows the server.
    untried : bool
        Whether it is new and no instance is known to have sent it a request.
    rate_limit : RateLimit
    pause : ServerPause
    leaving : bool
        Whether an answer of this incarnation said that it is about to shut down.
    gone : bool
        Whether it has left the list or another server answers at its address.
    cold_until : float
        When it stops counting as cold, on the clock of trio in seconds.
    used_at : float
        When it got its latest known request, on the same clock.
    """

    def __init__(self, record, protocol, now, is_new=False):
        self.record = record
        self.protocol = protocol
        self.belief = Belief(now, _NEW_SERVER_PRIOR_SCALE if is_new else 1.0)
        self.own_in_flight = 0
        self.counts = {
            Observation.SERVED: 0,
            Observation.FAILED_FAST: 0,
            Observation.FAILED_SLOWLY: 0,
        }
        self.untried = is_new
        self.rate_limit = RateLimit()
        self.pause = ServerPause()
        self.leaving = False
        self.gone = False
        self._doubted = False
        self._failed_at = float("-inf")
        self.cold_until = now + record.slow_start_seconds
        self.used_at = now if is_new else float("-inf")
        self._reported_in_flight = {}
        self._reported_past_fast_failure = {}
        self._reported_total = 0
        self._idle = []
        self._requests_in_flight = {}
        self._slowdown = 1.0
        self._slowdown_updated_at = now
        self._unreachable_until = 0.0
        self._failed_connects = 0
        self._full_until = 0.0

    @property
    def name(self):
        """The id of the server."""
        return self.record.name

    @property
    def in_flight(self):
        """Requests in flight from all instances, as far as this instance knows."""
        return self.own_in_flight + self._reported_total

    def update(self, record, now):
        """Replace the record by a changed one of the same incarnation."""
        self.record = record
        self.cold_until = now + record.slow_start_seconds

    def set_reported_in_flight(self, reporter, in_flight, past_fast_failure=0):
        """Set what a peer or another zone has in flight; return whether it changed.

        Parameters
        ----------
        reporter : str
            Name of the peer, or the key of the zone.
        in_flight : int
        past_fast_failure : int, default=0
            Of these, the requests that can no longer fail fast.
        """
        if past_fast_failure:
            self._reported_past_fast_failure[reporter] = past_fast_failure
        else:
            self._reported_past_fast_failure.pop(reporter, None)
        known = self._reported_in_flight.get(reporter, 0)
        if in_flight == known:
            return False
        if in_flight > known:
            self.used_at = trio.current_time()
        if in_flight:
            self.untried = False
            self._reported_in_flight[reporter] = in_flight
        else:
            del self._reported_in_flight[reporter]
        self._reported_total += in_flight - known
        return True

    def get_reported_in_flight(self, reporter):
        """Return what a peer or another zone has in flight."""
        return self._reported_in_flight.get(reporter, 0)

    def begin(self, key, now, expected):
        """Add a request, expected to take `expected` seconds, to those in flight."""
        self.own_in_flight += 1
        self.rate_limit.take(now)
        self.used_at = now
        self.untried = False
        self._requests_in_flight[key] = (now, expected)

    def end(self, key):
        """Remove a request from those in flight."""
        self.own_in_flight -= 1
        self._requests_in_flight.pop(key, None)

    def count_past_fast_failure(self, now):
        """Return how many requests in flight anywhere can no longer fail fast."""
        return self.count_own_past_fast_failure(now) + sum(
            self._reported_past_fast_failure.values()
        )

    def count_own_past_fast_failure(self, now):
        """Return how many requests in flight from here can no longer fail fast.

        Requests that started before the last fast failure are not counted: they say
        nothing about the time after it.
        """
        return sum(
            started_at > self._failed_at
            and now - started_at > _compute_fast_failure_seconds(expected)
            for started_at, expected in self._requests_in_flight.values()
        )

    def observe_answer(self, now, started_at, expected, failed):
        """Update the evidence with the end of a request of this instance.

        Parameters
        ----------
        now, started_at : float
            On the clock of trio, in seconds.
        expected : float
            Expected response time in seconds.
        failed : bool

        Returns
        -------
        Observation or None
            None for a success of a request that started before the last fast failure:
            it says nothing about the time after it.
        """
        if not failed:
            if started_at < self._failed_at:
                return None
            observation = Observation.SERVED
        elif now - started_at < _compute_fast_failure_seconds(expected):
            observation = Observation.FAILED_FAST
        else:
            observation = Observation.FAILED_SLOWLY
        self.counts[observation] += 1
        self.observe(now, observation)
        return observation

    def observe(self, now, observation):
        """Update the evidence with an observation made here or by another instance."""
        self.untried = False
        self.used_at = max(self.used_at, now - _OBSERVATION_DELAY_SECONDS)
        if observation is Observation.FAILED_FAST:
            self._failed_at = now
            self._reported_past_fast_failure.clear()
        if observation is Observation.SERVED and not self._doubted:
            # The most frequent case; it cannot make a server doubted.
            self.belief.observe(now, observation)
        else:
            self._observe_and_log(now, observation)

    def _observe_and_log(self, now, observation):
        """Update the evidence, and log if the server becomes doubted or trusted."""
        before = self.belief.compute_failure_probability(now)
        self.belief.observe(now, observation)
        after = self.belief.compute_failure_probability(now)
        doubted = after > (_TRUSTED_BELOW if self._doubted else _DOUBTED_ABOVE)
        if doubted != self._doubted:
            self._doubted = doubted
            log_event(
                "backend_doubted" if doubted else "backend_trusted",
                backend=self.name,
                service=self.record.service,
                observation=observation.value,
                before=round(before, 3),
                after=round(after, 3),
                load=self.in_flight,
            )

    def add_slowdown(self, now, ratio):
        """Add an answer that took `ratio` times the expected response time."""
        current = self.estimate_slowdown(now)
        self._slowdown = current + _SLOWDOWN_WEIGHT * (min(ratio, 10.0) - current)
        self._slowdown_updated_at = now

    def estimate_slowdown(self, now):
        """Return the average ratio of actual to expected response time."""
        age = now - self._slowdown_updated_at
        slowdown = 1.0 + (self._slowdown - 1.0) * 0.5 ** (
            age / _SLOWDOWN_HALF_LIFE_SECONDS
        )
        for started_at, expected in self._requests_in_flight.values():
            # An overdue request shows the slowdown before its answer arrives.
            slowdown = max(slowdown, min(10.0, (now - started_at) / expected - 1.0))
        return slowdown

    def state_rate_limit(self, rate, stated_at, is_first_hand=True):
        """Set the rate that an answer stated; return whether it has changed.

        Parameters
        ----------
        rate : float or None
            In requests a second; None if the answer stated none.
        stated_at : float
            When the answer arrived, on the clock `read_elapsed_time` in seconds.
        is_first_hand : bool, default=True
            Whether the answer arrived at this instance.
        """
        before, now = self.rate_limit.rate, trio.current_time()
        if not self.rate_limit.state(rate, stated_at, now, is_first_hand):
            return False
        log_event(
            "backend_limited" if rate is not None else "backend_limit_ended",
            backend=self.name,
            service=self.record.service,
            rate=rate,
            before=before,
            first_hand=is_first_hand,
            load=self.in_flight,
        )
        return True

    def mark_full(self, now, pause):
        """Make the server unavailable for a time after it shed a request."""
        self._full_until = now + pause

    def mark_unreachable(self, now):
        """Make the server unavailable for a time after a connection failed."""
        step = min(self._failed_connects, len(_UNREACHABLE_PAUSES_SECONDS) - 1)
        self._unreachable_until = now + _UNREACHABLE_PAUSES_SECONDS[step]
        self._failed_connects += 1

    def is_in_service(self):
        """Return whether the server is neither gone, draining nor leaving."""
        return not (self.gone or self.record.draining or self.leaving)

    def accepts_started(self, now):
        """Return whether a request that was assigned before may still be written."""
        return self.is_in_service() and self.pause.is_over(now)

    def is_available(self, now):
        """Return whether the server is in service, not paused and below its limit."""
        if not self.is_in_service() or not self.pause.allows(now, self.own_in_flight):
            return False
        resting_until = max(self._unreachable_until, self._full_until)
        return now >= resting_until and self.rate_limit.allows(now)

    async def acquire_connection(self, idempotent):
        """Return an idle connection for a request, or open one.

        Raises
        ------
        ExchangeError
            If the server does not accept a connection.
        """
        now = trio.current_time()
        max_idle_seconds = (
            _IDLE_TIMEOUT_SECONDS
            if idempotent
            else _NON_IDEMPOTENT_IDLE_TIMEOUT_SECONDS
        )
        while self._idle:
            connection, idle_since = self._idle.pop()
            server_timeout = connection.keep_alive
            reuse_seconds = (
                max_idle_seconds
                if server_timeout is None
                else min(max_idle_seconds, server_timeout - _IDLE_MARGIN_SECONDS)
            )
            if now - idle_since < reuse_seconds and connection.is_reusable():
                return connection
            await connection.close()
        connection = await open_connection(
            self.record.address, _CONNECT_TIMEOUT_SECONDS, self.protocol
        )
        self._failed_connects = 0
        return connection

    async def is_listening(self):
        """Return whether the server accepts connections; keep the one it accepts."""
        now = trio.current_time()
        if now < self._unreachable_until:
            return False
        try:
            connection = await open_connection(
                self.record.address, _CONNECT_TIMEOUT_SECONDS, self.protocol
            )
        except ExchangeError:
            self.mark_unreachable(trio.current_time())
            return False
        await self.release_connection(connection)
        return True

    async def release_connection(self, connection):
        """Make a connection available for reuse, or close it."""
        if (
            self.gone
            or len(self._idle) >= _MAX_IDLE_CONNECTIONS
            or not connection.is_reusable()
        ):
            await connection.close()
        else:
            self._idle.append((connection, trio.current_time()))

    async def close(self):
        """Close the idle connections; those in use close when they are returned."""
        self.gone = True
        while self._idle:
            connection, _ = self._idle.pop()
            await connection.close()


def _compute_fast_failure_seconds(expected):
    """Return the time in seconds within which a failure counts as fast."""
    return min(_MAX_FAST_FAILURE_SECONDS, _FAST_FAILURE_SHARE * expected)
