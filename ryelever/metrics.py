"""Count and time what a process does, for ``/metrics``."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from prometheus_client.core import Metric

__all__ = ["Metrics"]

#: Histograms hold microseconds from 1 to one hour with two significant digits.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
N_DIGITS = 2

PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Hold counters, histograms and gauges by name.

    Gauges are read when ``/metrics`` is asked for, from callables that the parts
    of the process register.
    """

    def __init__(self) -> None:
        self._n_by_label_by_name: dict[str, Counter[str]] = {}
        self._histograms_by_name: dict[str, HdrHistogram] = {}
        self._sums_by_name: Counter[str] = Counter()
        self._gauges_by_name: dict[str, Callable[[], float]] = {}
        self._counters_by_name: dict[str, Callable[[], dict[str, int]]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def count(self, name: str, label: str = "") -> None:
        """Add one to a counter."""
        self._n_by_label_by_name.setdefault(name, Counter())[label] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, N_DIGITS)
            self._histograms_by_name[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))
        self._sums_by_name[name] += seconds

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge."""
        self._gauges_by_name[name] = read

    def counter(self, name: str, read: Callable[[], dict[str, int]]) -> None:
        """Register a counter that another part keeps, as counts by label."""
        self._counters_by_name[name] = read

    def render(self) -> bytes:
        """Return everything in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield each metric; called by the Prometheus library."""
        for name, n_by_label in self._n_by_label_by_name.items():
            yield _counter(name, n_by_label)
        for name, read in self._counters_by_name.items():
            yield _counter(name, read())
        for name, histogram in self._histograms_by_name.items():
            yield self._summary(name, histogram)
        for name, read in self._gauges_by_name.items():
            yield GaugeMetricFamily(f"ryelever_{name}", name, value=read())

    def _summary(self, name: str, histogram: HdrHistogram) -> Metric:
        summary = SummaryMetricFamily(f"ryelever_{name}_seconds", name)
        summary.add_metric(
            [], count_value=histogram.total_count, sum_value=self._sums_by_name[name]
        )
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile) / 1e6
            summary.add_sample(
                f"ryelever_{name}_seconds", {"quantile": f"{percentile / 100:g}"}, value
            )
        return summary


def _counter(name: str, n_by_label: dict[str, int]) -> Metric:
    counter = CounterMetricFamily(f"ryelever_{name}", name, labels=["kind"])
    for label, n_counted in n_by_label.items():
        counter.add_metric([label], n_counted)
    return counter
