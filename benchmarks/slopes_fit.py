"""Hold the size to design for, and fit a line through figures by size."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

#: The size to design for.
N_NODES, N_WORKERS, N_ZONES = 390, 780, 11
N_GROUPS = N_WORKERS // 4
ZONE_NODES, ZONE_WORKERS = 35, 71
REQUESTS, TOKENS = 16.0, 3600.0
N_STREAMS = 125
N_ACCOUNTS = 100

#: Claims a second in all, if 5% of requests may run at most once; what the log takes
#: for them; entry hosts that append them; partitions, each followed by some hosts.
CLAIMS = 0.05 * 6200
CLAIM_APPENDS = 220.0
N_CLAIM_HOSTS = 66
N_PARTITIONS = 22

#: Part of a figure by which a line may miss it; beyond, the row says so.
MAX_MISS = 0.2


Points = list[tuple[float, float]]


@dataclass(slots=True, kw_only=True)
class Slope:
    """Hold the figures of one role by size, and the line through them.

    Attributes
    ----------
    n_at : float
        The size to design for, in the unit of the sizes.
    """

    role: str
    what: str
    unit: str
    n_at: float
    points: Points

    def line(self) -> tuple[float, float]:
        """Return slope and value at size 0."""
        slope, start = statistics.linear_regression(*zip(*self.points, strict=True))
        return slope, start

    def miss(self) -> float:
        """Return the largest distance from the line, as part of the largest figure."""
        slope, start = self.line()
        largest = max(abs(y) for _, y in self.points) or 1.0
        return max(abs(y - start - slope * x) for x, y in self.points) / largest

    def at_size(self) -> float:
        """Return the figure at the size to design for: measured, or on the line."""
        slope, start = self.line()
        return dict(self.points).get(self.n_at, start + slope * self.n_at)

    def row(self) -> str:
        """Return the row of the table."""
        slope, start = self.line()
        figures = ", ".join(f"{x:g}: {y:.3g}" for x, y in self.points)
        fit = f"{self.miss():.0%}" + (" (no line)" if self.miss() > MAX_MISS else "")
        return (
            f"| {self.role} | {self.what} | {figures} | {slope:.3g} | {start:.3g} "
            f"| {fit} | {self.n_at:g}: {self.at_size():.3g} {self.unit} |"
        )


def ms(work: Callable[[], object], *, n_times: int) -> float:
    """Return the least processor time of one call over three rounds, in ms."""
    times = []
    for _ in range(3):
        started = time.process_time()
        for _ in range(n_times):
            work()
        times.append(time.process_time() - started)
    return min(times) / n_times * 1e3


def kb(build: Callable[[], object]) -> float:
    """Return the memory that what is built takes, in KB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size / 1e3
