"""What backend servers say of themselves in answers: rates, pauses, departures."""

import trio

from kumquatsaddle.balance.attempts import AttemptOutcome
from kumquatsaddle.balance.pauses import read_pause
from kumquatsaddle.dispatch.rate_limits import read_rate
from kumquatsaddle.logs import log_event

__all__ = ["apply_announcements"]


def apply_announcements(dispatcher, server, attempt):
    """Apply what a server says in its answer to an attempt.

    Parameters
    ----------
    dispatcher : BalancedDispatcher
    server : BalancedServer
    attempt : AttemptResult
    """
    is_other = attempt.outcome in (AttemptOutcome.LOST, AttemptOutcome.MISDIRECTED)
    if attempt.raw is None or is_other:
        # Nothing or something else than the server answered.
        return
    _apply_rate(dispatcher, server, attempt)
    _apply_pause(server, attempt)
    leaving = dispatcher.protocol.leaving
    if leaving and attempt.raw.get_header(leaving) is not None:
        dispatcher.record_departure(server.name, server.record.started_at_ms)


def _apply_rate(dispatcher, server, attempt):
    rate = read_rate(
        attempt.raw,
        dispatcher.protocol.rate_limit,
        server.rate_limit.rate,
        may_end=attempt.outcome is not AttemptOutcome.SHED,
    )
    dispatcher.state_rate_limit(server, rate, dispatcher.get_arrival_time())


def _apply_pause(server, attempt):
    now, seconds = trio.current_time(), read_pause(attempt.raw)
    if seconds is not None:
        server.pause.start(now, seconds)
        log_event(
            "backend_paused",
            backend=server.name,
            service=server.record.service,
            seconds=seconds,
            load=server.in_flight,
        )
    elif attempt.outcome is not AttemptOutcome.SHED:
        server.pause.record_answer(now, server.record.slots)
