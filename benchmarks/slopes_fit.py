"""Define the design size, and fit lines through figures by size."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

#: The design size: entry hosts, backend servers, zones and groups; entry hosts and
#: backend servers of one zone; requests and tokens a second and concurrent streams of
#: one entry host; client accounts.
N_ENTRY_HOSTS, N_SERVERS, N_ZONES = 390, 780, 11
N_GROUPS = N_SERVERS // 4
ENTRY_HOSTS_PER_ZONE, SERVERS_PER_ZONE = 35, 71
REQUESTS, TOKENS = 16.0, 3600.0
N_STREAMS = 125
N_ACCOUNTS = 100

#: Claims a second in total if 5% of requests may run at most once; appends a second
#: that the log accepts for claims; entry hosts that append claims; partitions of the
#: claims, each followed by some of the hosts.
CLAIMS = 0.05 * 6200
CLAIM_APPENDS = 220.0
N_CLAIM_HOSTS = 66
N_PARTITIONS = 22

#: Deviation of a figure from the line, as a share of the largest figure, above which
#: the row is marked with "no line".
MAX_DEVIATION_SHARE = 0.2


Points = list[tuple[float, float]]


@dataclass(slots=True, kw_only=True)
class Slope:
    """Figures of one role by size, and the line fitted through them.

    Attributes
    ----------
    what : str
        Quantity that was measured, and the meaning of the sizes.
    unit : str
        Unit of the figures.
    design_size : float
        The size that the system is designed for, in the same unit as the sizes.
    points : list of tuple of float
        Sizes and figures.
    """

    role: str
    what: str
    unit: str
    design_size: float
    points: Points

    def line(self) -> tuple[float, float]:
        """Return the slope of the line and its value at size 0."""
        slope, start = statistics.linear_regression(*zip(*self.points, strict=True))
        return slope, start

    def max_deviation(self) -> float:
        """Return the largest deviation from the line over the largest figure."""
        slope, start = self.line()
        largest = max(abs(y) for _, y in self.points) or 1.0
        return max(abs(y - start - slope * x) for x, y in self.points) / largest

    def at_size(self) -> float:
        """Return the figure at the design size: measured, or else read off the line."""
        slope, start = self.line()
        return dict(self.points).get(self.design_size, start + slope * self.design_size)

    def row(self) -> str:
        """Return the row of the table as Markdown."""
        slope, start = self.line()
        figures = ", ".join(f"{x:g}: {y:.3g}" for x, y in self.points)
        fit = f"{self.max_deviation():.0%}" + (
            " (no line)" if self.max_deviation() > MAX_DEVIATION_SHARE else ""
        )
        return (
            f"| {self.role} | {self.what} | {figures} | {slope:.3g} | {start:.3g} "
            f"| {fit} | {self.design_size:g}: {self.at_size():.3g} {self.unit} |"
        )


def ms(work: Callable[[], object], *, n_times: int) -> float:
    """Return the lowest processor time of one call over three rounds, in ms."""
    times = []
    for _ in range(3):
        started = time.process_time()
        for _ in range(n_times):
            work()
        times.append(time.process_time() - started)
    return min(times) / n_times * 1e3


def kb(build: Callable[[], object]) -> float:
    """Return the memory of the built object in KB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size / 1e3
