"""Find the requests on their way that a new verdict says must not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .request import RequestPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..quarantine import Quarantined
    from .crashes import CrashWatch
    from .fault_isolation import FaultIsolation
    from .request import RelayRequest

__all__ = ["Withdrawals"]

#: Seconds after a crash became known within which a verdict may follow from it: other
#: hosts report what they observed, or count as lost.
VERDICT_WITHIN = 5.0

NEVER = float("-inf")


class Withdrawals:
    """Withdraw requests from servers that would crash once they begin to run them.

    Such requests may wait in a server's queue for seconds. Streams with events are
    left alone: they have run without a crash.

    Parameters
    ----------
    crashes : CrashWatch
        Knows the verdicts.
    """

    __slots__ = ("_crashes", "_faults", "_n_crashes", "_n_verdicts", "_until")

    def __init__(self, *, crashes: CrashWatch, faults: FaultIsolation) -> None:
        self._crashes = crashes
        self._faults = faults
        self._n_crashes = 0
        self._n_verdicts = 0
        self._until = NEVER

    def due(
        self, requests: Iterable[RelayRequest], *, now: float
    ) -> list[tuple[RelayRequest, Quarantined]]:
        """Return the sent requests to withdraw after new verdicts, and the reasons.

        Verdicts are given when they are asked for, which no other request may do.
        """
        crashes = self._crashes
        if crashes.n_crashes != self._n_crashes:
            self._n_crashes = crashes.n_crashes
            self._until = now + VERDICT_WITHIN
        if crashes.n_verdicts == self._n_verdicts and now > self._until:
            return []
        self._n_verdicts = crashes.n_verdicts
        due = []
        for request in requests:
            if request.attempt is None or request.phase is not RequestPhase.SENT:
                continue
            with self._faults.request(request, now=now):
                quarantined = crashes.verdict(request, now=now)
                if quarantined is not None:
                    due.append((request, quarantined))
        return due
