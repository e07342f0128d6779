"""Metrics of one instance, rendered by aioprometheus.

Every refusal and every retry has a reason from an `Enum` and a counter of that
name; all counters exist from the start with value 0, so that an alert never waits
for a first event.
"""

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as Buckets

from kumquatsaddle.types import Rank, RefusalReason, RetryReason

__all__ = ["Metrics", "make_metrics"]

# Bounds of the latency histograms in seconds.
_LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
# Counters without labels that exist from the start.
_COUNTS = (
    "accepts_failed",
    "caller_connections_broken",
    "caller_connections_failed",
    "caller_timeouts",
    "control_bytes_sent",
    "peer_links_broken",
    "reloads_refused",
)
_GAUGES = ("caller_connections", "caller_pending_bytes")
# Label sets of one name; input from outside must not make the metrics grow.
_MOST_LABEL_SETS = 1000
_OTHER = "other"
# Sections whose numbers are limits, shown as gauges beside the values they bound.
_LIMIT_SECTIONS = ("limits", "listen", "stop")
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n", "\r": r"\r"})


class Metrics:
    """Counters, gauges and histograms of one instance.

    Plain dictionaries hold the values on the request path; `render_text` copies
    them into aioprometheus collectors, which costs nothing per request.
    """

    def __init__(self):
        self.refusals = {reason: 0 for reason in RefusalReason}
        self.retries = {reason: 0 for reason in RetryReason}
        self.counts = {(name, ()): 0 for name in _COUNTS}
        self.gauges = {(name, ()): 0 for name in _GAUGES}
        self._label_sets = {}
        self._registry = Registry()
        self._refusals = Counter(
            "kumquatsaddle_refusals_total", "Requests refused, by reason."
        )
        self._retries = Counter(
            "kumquatsaddle_retries_total", "Requests sent again, by reason."
        )
        self._counts = {}
        self._gauges = {}
        self._latency = Histogram(
            "kumquatsaddle_request_seconds",
            "Time from the request head to the answer, in seconds, by rank.",
            buckets=_LATENCY_BUCKETS,
        )
        for rank in Rank:
            labels = {"rank": rank.name.lower()}
            self._latency.set_value(labels, Buckets(*_LATENCY_BUCKETS))
        for collector in (self._refusals, self._retries, self._latency):
            # Collectors add themselves to the global registry; several instances in
            # one process need one registry each.
            REGISTRY.deregister(collector.name)
            self._registry.register(collector)

    def count_refusal(self, reason):
        """Add one to the counter of a `RefusalReason`."""
        self.refusals[reason] += 1

    def count_retry(self, reason):
        """Add one to the counter of a `RetryReason`."""
        self.retries[reason] += 1

    def count(self, name, amount=1, **labels):
        """Add `amount` to the counter ``kumquatsaddle_<name>_total``."""
        key = self._find_key(self.counts, name, labels)
        self.counts[key] = self.counts.get(key, 0) + amount

    def set_gauge(self, name, value, **labels):
        """Set the gauge ``kumquatsaddle_<name>``."""
        self.gauges[self._find_key(self.gauges, name, labels)] = value

    def set_limits(self, settings):
        """Set the gauge ``kumquatsaddle_limit`` of each limit of the settings.

        Parameters
        ----------
        settings : Settings
        """
        for (section, key), value in settings.values.items():
            if section in _LIMIT_SECTIONS and isinstance(value, int | float):
                self.set_gauge("limit", value, section=section, key=key)

    def observe_latency(self, rank, seconds):
        """Add one observation, in seconds, to the histogram of `rank`."""
        self._latency.observe({"rank": rank.name.lower()}, seconds)

    def render_text(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        for reason, value in self.refusals.items():
            self._refusals.set({"reason": reason.value}, value)
        for reason, value in self.retries.items():
            self._retries.set({"reason": reason.value}, value)
        self._copy(self.counts, self._counts, Counter, "_total")
        self._copy(self.gauges, self._gauges, Gauge, "")
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _find_key(self, values, name, labels):
        key = (name, tuple(sorted(labels.items())))
        if not labels or key in values:
            return key
        known = self._label_sets.get(name, 0)
        if known >= _MOST_LABEL_SETS:
            return name, tuple((label, _OTHER) for label in sorted(labels))
        self._label_sets[name] = known + 1
        return key

    def _copy(self, values, collectors, kind, suffix):
        for (name, labels), value in values.items():
            collector = collectors.get(name)
            if collector is None:
                full = f"kumquatsaddle_{name}{suffix}"
                collector = kind(full, name.replace("_", " ").capitalize() + ".")
                REGISTRY.deregister(full)
                self._registry.register(collector)
                collectors[name] = collector
            collector.set(_escape(labels), value)


def make_metrics():
    """Return the metrics of a new instance, all zero."""
    return Metrics()


def _escape(labels):
    """Return labels as a dict; aioprometheus writes their values as they are."""
    return {name: str(value).translate(_ESCAPES) for name, value in labels}
