"""What the result of an attempt shows about its server and its route."""

import trio

from kumquatsaddle.balance.attempts import AttemptOutcome

__all__ = ["record_result"]

# Time for which a server that shed a request gets no other one.
_SHED_PAUSE_SECONDS = 0.15


def record_result(dispatcher, pool, server, request, attempt, started_at):
    """Update the evidence on a server and the averages of its route.

    Parameters
    ----------
    dispatcher : BalancedDispatcher
    pool : BalancedPool
    server : BalancedServer
    request : RoutedRequest
    attempt : AttemptResult
    started_at : float
        On the clock of trio, in seconds.
    """
    now, outcome = trio.current_time(), attempt.outcome
    expected = dispatcher.averages.estimate_seconds(request.route)
    if outcome is AttemptOutcome.UNREACHABLE:
        server.mark_unreachable(now)
    elif outcome is AttemptOutcome.SHED:
        server.mark_full(now, _SHED_PAUSE_SECONDS)
    elif outcome is AttemptOutcome.MISDIRECTED:
        server.gone = True
    elif outcome is AttemptOutcome.WITHDRAWN or attempt.asks_for_pause:
        # Neither is evidence of a fault.
        return
    elif outcome in (AttemptOutcome.LATE, AttemptOutcome.TIMED_OUT):
        server.add_slowdown(now, (now - started_at) / expected)
    else:
        failed = outcome is not AttemptOutcome.SERVED
        observation = server.observe_answer(now, started_at, expected, failed)
        if not failed:
            server.add_slowdown(now, (now - started_at) / expected)
            dispatcher.averages.add_seconds(request.route, now - started_at)
            dispatcher.averages.add_bytes(request.route, len(attempt.answer.body))
        dispatcher.on_answer(server, observation)
        pool.assign_waiting()
