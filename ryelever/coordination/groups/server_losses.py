"""Measure how fast an availability zone loses backend servers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ...state.incarnations import may_be_same_start

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.directory import BackendServer

__all__ = ["ServerLosses"]

#: Seconds over which losses are counted, and for which a planner must have observed a
#: zone before it knows the rate.
LOSS_WINDOW = 20.0


class ServerLosses:
    """Count the servers of one service that disappeared from a zone or restarted."""

    __slots__ = ("_lost_at", "_since", "_started_at_by_id")

    def __init__(self) -> None:
        self._since: float | None = None
        self._started_at_by_id: dict[str, int | None] = {}
        self._lost_at: deque[float] = deque()

    def observe(
        self, servers: Iterable[BackendServer], *, list_is_stale: bool, now: float
    ) -> None:
        """Compare the listed servers with those of the previous call.

        A list without updates shows no losses, so observation begins again after it.
        Losses that it shows once it is updated count at that time.
        """
        if list_is_stale:
            self._since = None
            return
        if self._since is None:
            self._since = now
        started_at_by_id = {server.id: server.started_at for server in servers}
        for server_id, started_at in self._started_at_by_id.items():
            if server_id not in started_at_by_id or not may_be_same_start(
                started_at, started_at_by_id[server_id]
            ):
                self._lost_at.append(now)
        self._started_at_by_id = started_at_by_id
        while self._lost_at and now - self._lost_at[0] >= LOSS_WINDOW:
            self._lost_at.popleft()

    def rate(self, *, now: float) -> float | None:
        """Return the servers lost per second; None if observed for too short a time."""
        if self._since is None or now - self._since < LOSS_WINDOW:
            return None
        return len(self._lost_at) / LOSS_WINDOW
