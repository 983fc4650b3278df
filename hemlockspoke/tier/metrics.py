"""Metrics in the Prometheus text format."""

from bisect import bisect_left

from hemlockspoke.metrics_text import format_sample
from hemlockspoke.ports import Metrics

# Upper bounds of the histogram buckets; they double from 1 ms to 16 s.
BUCKETS_MS = tuple(2.0**power for power in range(15))


class MetricsRegistry(Metrics):
    """Keeps counters, gauges and latency histograms in memory.

    Samples with labels are set by group, as a whole, when the metrics are read; who
    sets them limits their number.
    """

    __slots__ = ("_counters", "_gauges", "_groups", "_histograms", "_sums")

    def __init__(self):
        self._counters = {}
        self._gauges = {}
        self._groups = {}
        self._histograms = {}
        self._sums = {}

    def count(self, name, amount=1):
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def gauge(self, name, value):
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name, duration_ms):
        """Record a duration in ms."""
        buckets = self._histograms.get(name)
        if buckets is None:
            buckets = self._histograms[name] = [0] * (len(BUCKETS_MS) + 1)
        buckets[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self._sums[name] = self._sums.get(name, 0.0) + duration_ms

    def set_group(self, group, samples):
        """Replace the samples of a group: names, pairs of labels, and values.

        >>> metrics = MetricsRegistry()
        >>> metrics.set_group("accounts", [("served_total", [("account", "a")], 2)])
        >>> metrics.to_text()
        'hemlockspoke_served_total{account="a"} 2\\n'
        """
        self._groups[group] = list(samples)

    def to_text(self):
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"{metric_name(name)}_total {value}"
            for name, value in self._counters.items()
        ]
        lines += [
            f"{metric_name(name)} {value}" for name, value in self._gauges.items()
        ]
        for name, buckets in self._histograms.items():
            lines += _histogram_lines(metric_name(name), buckets, self._sums[name])
        for samples in self._groups.values():
            lines += [
                format_sample(metric_name(name), labels, value)
                for name, labels, value in samples
            ]
        return "\n".join(sorted(lines)) + "\n"


def _histogram_lines(name, buckets, total_ms):
    lines, cumulative_count = [], 0
    for bound, bucket_count in zip((*BUCKETS_MS, float("inf")), buckets, strict=True):
        cumulative_count += bucket_count
        label = "+Inf" if bound == float("inf") else f"{bound:g}"
        lines.append(f'{name}_ms_bucket{{le="{label}"}} {cumulative_count}')
    lines.append(f"{name}_ms_count {cumulative_count}")
    lines.append(f"{name}_ms_sum {total_ms:.1f}")
    return lines


def metric_name(name):
    """Return the exposed name of a metric.

    >>> metric_name("requests.refused")
    'hemlockspoke_requests_refused'
    """
    return "hemlockspoke_" + name.replace(".", "_").replace("-", "_")
