"""Metrics and log lines of the queue of one service."""

from kumquatsaddle.logs import log_event
from kumquatsaddle.types import Rank

__all__ = ["QueueReport"]

# Log lines of refusals of one service in each second; a flood must not fill the log.
_MAX_LINES_PER_SECOND = 5


class QueueReport:
    """Reports what a queue decides.

    Parameters
    ----------
    metrics : Metrics or None
    service : ServiceName
    """

    def __init__(self, metrics, service):
        self._metrics = metrics
        self._service = service
        self._second = None
        self._lines = 0
        self._suppressed = 0
        self._last_counts = {}

    def add_refusal(self, request, refusal, now):
        """Count and log a request that was refused under scarcity."""
        if self._metrics is not None:
            self._metrics.count(
                "queue_refusals",
                rank=request.rank.name.lower(),
                rule=refusal.rule.value,
            )
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        if self._lines >= _MAX_LINES_PER_SECOND:
            self._suppressed += 1
            return
        self._lines += 1
        rate = refusal.slot_rate
        log_event(
            "queue_refused",
            id=request.request_id.decode("latin-1"),
            service=request.service,
            route=request.route.name,
            rank=request.rank.name.lower(),
            account=request.account.name if request.account is not None else "",
            rule=refusal.rule.value,
            place=refusal.place,
            work_before_ms=round(refusal.work_before * 1000),
            slot_rate="" if rate is None else round(rate, 3),
            left_ms=round(refusal.time_left * 1000),
            retry_after=round(refusal.retry_after, 3),
            suppressed=self._suppressed,
        )
        self._suppressed = 0

    def update(self, control, now):
        """Set the gauges of the queue length and the expected wait."""
        if self._metrics is None or not (control.queue or self._last_counts):
            return
        for rank in Rank:
            count = control.queue.count_by_rank(rank)
            if not count and rank not in self._last_counts:
                continue
            self._last_counts[rank] = count
            if not count:
                del self._last_counts[rank]
            labels = {"service": self._service, "rank": rank.name.lower()}
            self._metrics.set_gauge("queue_length", count, **labels)
            wait = control.estimate_wait(rank, now) if count else 0.0
            if wait is not None:
                self._metrics.set_gauge("queue_wait_seconds", wait, **labels)
