"""Collect a process's counters, durations and gauges for ``/metrics``."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from prometheus_client.core import Metric

__all__ = ["Metrics"]

#: Histograms record microseconds, from 1 to one hour, with two significant digits.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
N_DIGITS = 2

PERCENTILES = (50.0, 95.0, 99.0)

#: Share of the process's time in which metrics may be rendered, and the seconds that
#: may be saved up for that.
RENDER_SHARE = 0.1
MAX_RENDER_CREDIT = 0.5


#: Names and values of the labels that identify one series of a metric.
Labels = tuple[tuple[str, str], ...]


class _Durations:
    """Histogram and sum of the durations of one series."""

    __slots__ = ("histogram", "total")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, N_DIGITS)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Record one duration."""
        self.histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))
        self.total += seconds


class Metrics:
    """Registry of counters, histograms and gauges by name.

    Gauges are read when ``/metrics`` is requested, by callables that the components
    of the process register.
    """

    def __init__(self) -> None:
        self._n_by_label_by_name: dict[str, Counter[str]] = {}
        self._durations_by_name: dict[str, dict[Labels, _Durations]] = {}
        self._gauges_by_name: dict[str, Callable[[], float]] = {}
        self._counters_by_name: dict[str, Callable[[], dict[str, int]]] = {}
        self._labelled_by_name: dict[str, Callable[[], dict[str, float]]] = {}
        self._rendered = b""
        self._rendered_at = float("-inf")
        # Seconds that may be spent on rendering.
        self._render_credit = 0.0

    def count(self, name: str, label: str = "") -> None:
        """Add one to a counter."""
        self._n_by_label_by_name.setdefault(name, Counter())[label] += 1

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration.

        Parameters
        ----------
        **labels : str
            Labels of the duration's series; the same label names for every duration
            of a metric.
        """
        by_labels = self._durations_by_name.setdefault(name, {})
        key = tuple(labels.items())
        durations = by_labels.get(key)
        if durations is None:
            durations = by_labels[key] = _Durations()
        durations.add(seconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a callable that returns a gauge's value."""
        self._gauges_by_name[name] = read

    def labelled_gauge(self, name: str, read: Callable[[], dict[str, float]]) -> None:
        """Register a callable that returns a gauge's values by kind."""
        self._labelled_by_name[name] = read

    def counter(self, name: str, read: Callable[[], dict[str, int]]) -> None:
        """Register a callable that returns a counter's counts by kind."""
        self._counters_by_name[name] = read

    def render_recent(self) -> bytes:
        """Return what ``render`` returns, or returned shortly before.

        Callers that request it all the time take a tenth of the process's time, beyond
        a first half second.
        """
        # The import takes longer than many renderings.
        import prometheus_client  # noqa: F401

        now = time.monotonic()
        refill = RENDER_SHARE * (now - self._rendered_at)
        self._render_credit = min(MAX_RENDER_CREDIT, self._render_credit + refill)
        self._rendered_at = now
        if self._render_credit > 0 or not self._rendered:
            self._rendered = self.render()
            self._render_credit -= time.monotonic() - now
        return self._rendered

    def render(self) -> bytes:
        """Return everything in the Prometheus text format."""
        # Imported here because the library loads a web server, an eighth of a host's
        # modules, and a starting host should serve callers first.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield each metric; called by the Prometheus library."""
        from prometheus_client.core import GaugeMetricFamily

        for name, n_by_label in self._n_by_label_by_name.items():
            yield _counter(name, n_by_label)
        for name, read in self._counters_by_name.items():
            yield _counter(name, read())
        for name, by_labels in self._durations_by_name.items():
            yield _summary(name, by_labels)
        for name, read in self._gauges_by_name.items():
            yield GaugeMetricFamily(f"ryelever_{name}", name, value=read())
        for name, read in self._labelled_by_name.items():
            gauge = GaugeMetricFamily(f"ryelever_{name}", name, labels=["kind"])
            for kind, value in read().items():
                gauge.add_metric([kind], value)
            yield gauge


def _summary(name: str, by_labels: dict[Labels, _Durations]) -> Metric:
    from prometheus_client.core import SummaryMetricFamily

    label_names = [label for label, _ in next(iter(by_labels))]
    full_name = f"ryelever_{name}_seconds"
    summary = SummaryMetricFamily(full_name, name, labels=label_names)
    for key, durations in by_labels.items():
        histogram = durations.histogram
        values = [value for _, value in key]
        summary.add_metric(
            values, count_value=histogram.total_count, sum_value=durations.total
        )
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile) / 1e6
            quantile = {"quantile": f"{percentile / 100:g}"}
            summary.add_sample(full_name, dict(key) | quantile, value)
    return summary


def _counter(name: str, n_by_label: dict[str, int]) -> Metric:
    from prometheus_client.core import CounterMetricFamily

    counter = CounterMetricFamily(f"ryelever_{name}", name, labels=["kind"])
    for label, n_counted in n_by_label.items():
        counter.add_metric([label], n_counted)
    return counter
