"""Decide which requests a process still serves before it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .request import RequestPhase

if TYPE_CHECKING:
    from .request import RelayRequest

__all__ = ["GracePeriod"]

#: Seconds within which all but one in a hundred streams end.
MAX_STREAM_TIME = 3.0


class GracePeriod:
    """Grace period of a graceful shutdown, within which accepted requests must end.

    How long a request runs is not known on its arrival. Only its time limit bounds it:
    the deadline of its caller or the timeout of its route, whichever is earlier.
    """

    __slots__ = ("_ends_at", "_refuses_from")

    def __init__(self) -> None:
        self._refuses_from = float("inf")
        self._ends_at = float("inf")

    def begin(self, *, refuses_from: float, ends_at: float) -> None:
        """Begin the grace period.

        Parameters
        ----------
        refuses_from : float
            Monotonic time from which requests are refused that might not end in time.
            Callers can go to other hosts from then on.
        ends_at : float
            Monotonic time at which requests in flight are cut off.
        """
        self._refuses_from = refuses_from
        self._ends_at = ends_at

    def is_refusing(self, *, now: float) -> bool:
        """Return whether requests are refused that might not end in time."""
        return now >= self._refuses_from

    def accepts(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request that arrives now is accepted."""
        return not self.is_refusing(now=now) or self._covers(request)

    def is_too_short(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request that has not run should be refused, not sent.

        Its answer would probably be cut off, and its caller may still be told that it
        was not run.
        """
        return (
            self._ends_at - now < MAX_STREAM_TIME
            and not self._covers(request)
            and request.phase is RequestPhase.WAITING
            and not request.may_have_run
            and not request.held_by_attempt
        )

    def _covers(self, request: RelayRequest) -> bool:
        """Return whether a request ends within the grace period in any case."""
        return request.times_out_at <= self._ends_at
