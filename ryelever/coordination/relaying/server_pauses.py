"""Track the pauses that backend servers have asked this host for.

A server that refuses a request can ask the host to send it nothing for some seconds.
Unlike an avoidance, which is the host's own estimate and may end early, a pause ends
only when its time has passed, or with the incarnation that asked for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ...state.incarnations import may_be_same_start

if TYPE_CHECKING:
    from ...state.directory import Directory

__all__ = ["ServerPauses"]


class _Pause(msgspec.Struct, kw_only=True, frozen=True):
    """A pause that has not ended yet.

    Attributes
    ----------
    ends_at : float
        Monotonic time.
    started_at : int or None
        Start time of the incarnation that asked for the pause; None if unknown.
    """

    ends_at: float
    started_at: int | None


class ServerPauses:
    """Record the pauses that servers ask for.

    Parameters
    ----------
    directory : Directory
        Source of the servers' current incarnations.
    """

    __slots__ = ("_directory", "_pauses_by_server")

    def __init__(self, *, directory: Directory) -> None:
        self._directory = directory
        self._pauses_by_server: dict[str, _Pause] = {}

    def record(
        self, server_id: str, started_at: int | None, *, seconds: float, now: float
    ) -> None:
        """Record that a server asked for a pause; a longer one in progress holds.

        A late answer of a former incarnation changes nothing.

        Parameters
        ----------
        started_at : int or None
            Start time of the incarnation that asked; None if unknown.
        seconds : float
            Length of the pause, counted from the receipt of the answer.
        """
        if not self._may_be_current(server_id, started_at):
            return
        self._drop_ended(now=now)
        ends_at = max(now + seconds, self.ends_at(server_id))
        self._pauses_by_server[server_id] = _Pause(
            ends_at=ends_at, started_at=started_at
        )

    @property
    def is_empty(self) -> bool:
        """Return whether no server has asked for a pause; a cheap check."""
        return not self._pauses_by_server

    def is_paused(self, server_id: str, *, now: float) -> bool:
        """Return whether a server gets no requests now."""
        return not self.is_empty and now < self.ends_at(server_id)

    def ends_at(self, server_id: str) -> float:
        """Return the monotonic time at which a server's pause ends or has ended."""
        pause = self._pauses_by_server.get(server_id)
        if pause is None:
            return float("-inf")
        if not self._may_be_current(server_id, pause.started_at):
            del self._pauses_by_server[server_id]
            return float("-inf")
        return pause.ends_at

    def _may_be_current(self, server_id: str, started_at: int | None) -> bool:
        """Return whether a start time may be that of the listed incarnation."""
        server = self._directory.by_id.get(server_id)
        return server is None or may_be_same_start(started_at, server.started_at)

    def _drop_ended(self, *, now: float) -> None:
        ended = [
            server_id
            for server_id, pause in self._pauses_by_server.items()
            if pause.ends_at <= now
        ]
        for server_id in ended:
            del self._pauses_by_server[server_id]
