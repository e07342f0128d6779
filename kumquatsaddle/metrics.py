"""Metrics of one instance, rendered by aioprometheus.

Refusals and retries are counted by reason, a member of an `Enum`. All counters exist
from the start with value 0, so that alerts work before the first event.
"""

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as HistogramBuckets

from kumquatsaddle.types import Rank, RefusalReason, RetryReason

__all__ = ["Metrics", "make_metrics"]

# Upper bounds of the latency histogram.
_LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)
# Exported with value 0 from the start.
_UNLABELED_COUNTERS = (
    "accepts_failed",
    "backend_ends",
    "caller_connections_broken",
    "caller_connections_failed",
    "caller_timeouts",
    "control_bytes_sent",
    "peer_links_broken",
    "reloads_refused",
)
_UNLABELED_GAUGES = ("caller_connections", "caller_pending_bytes")
# Maximum number of label sets of one metric: bounds the memory for labels that come
# from outside. Further label sets are counted together under the label value "other".
_MAX_LABEL_SETS = 1000
_OVERFLOW_LABEL_VALUE = "other"
# Sections of the settings whose numbers are exported as gauges, next to the metrics
# that they limit.
_LIMIT_SECTIONS = ("limits", "listen", "stop")
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n", "\r": r"\r"})


class Metrics:
    """Counters, gauges and histograms of one instance.

    Counters and gauges are kept in plain dictionaries, which are cheap to update; only
    `render_text` copies their values into the collectors of aioprometheus.
    """

    def __init__(self):
        self.refusals = {reason: 0 for reason in RefusalReason}
        self.retries = {reason: 0 for reason in RetryReason}
        self.counts = {(name, ()): 0 for name in _UNLABELED_COUNTERS}
        self.gauges = {(name, ()): 0 for name in _UNLABELED_GAUGES}
        self._label_set_counts = {}
        self._registry = Registry()
        self._refusal_collector = Counter(
            "kumquatsaddle_refusals_total", "Requests refused, by reason."
        )
        self._retry_collector = Counter(
            "kumquatsaddle_retries_total", "Requests sent again, by reason."
        )
        self._counter_collectors = {}
        self._gauge_collectors = {}
        self._latency_histogram = Histogram(
            "kumquatsaddle_request_seconds",
            "Time from the request head to the answer, in seconds, by rank.",
            buckets=_LATENCY_BUCKETS_SECONDS,
        )
        for rank in Rank:
            labels = {"rank": rank.name.lower()}
            self._latency_histogram.set_value(
                labels, HistogramBuckets(*_LATENCY_BUCKETS_SECONDS)
            )
        for collector in (
            self._refusal_collector,
            self._retry_collector,
            self._latency_histogram,
        ):
            # Collectors register themselves globally, but several instances in one
            # process need one registry each.
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
        key = self._get_series_key(self.counts, name, labels)
        self.counts[key] = self.counts.get(key, 0) + amount

    def set_gauge(self, name, value, **labels):
        """Set the gauge ``kumquatsaddle_<name>``."""
        self.gauges[self._get_series_key(self.gauges, name, labels)] = value

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
        self._latency_histogram.observe({"rank": rank.name.lower()}, seconds)

    def render_text(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        for reason, value in self.refusals.items():
            self._refusal_collector.set({"reason": reason.value}, value)
        for reason, value in self.retries.items():
            self._retry_collector.set({"reason": reason.value}, value)
        self._update_collectors(
            self.counts, self._counter_collectors, Counter, "_total"
        )
        self._update_collectors(self.gauges, self._gauge_collectors, Gauge, "")
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _get_series_key(self, values, name, labels):
        key = (name, tuple(sorted(labels.items())))
        if not labels or key in values:
            return key
        label_sets = self._label_set_counts.get(name, 0)
        if label_sets >= _MAX_LABEL_SETS:
            return name, tuple(
                (label, _OVERFLOW_LABEL_VALUE) for label in sorted(labels)
            )
        self._label_set_counts[name] = label_sets + 1
        return key

    def _update_collectors(self, values, collectors, collector_class, suffix):
        for (name, labels), value in values.items():
            collector = collectors.get(name)
            if collector is None:
                full_name = f"kumquatsaddle_{name}{suffix}"
                collector = collector_class(
                    full_name, name.replace("_", " ").capitalize() + "."
                )
                REGISTRY.deregister(full_name)
                self._registry.register(collector)
                collectors[name] = collector
            collector.set(_escape_labels(labels), value)


def make_metrics():
    """Return the metrics of a new instance, with every value zero."""
    return Metrics()


def _escape_labels(labels):
    """Return labels as a dict of escaped values; aioprometheus does not escape them."""
    return {name: str(value).translate(_ESCAPES) for name, value in labels}
