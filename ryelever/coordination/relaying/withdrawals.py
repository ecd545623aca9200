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


class Withdrawals:
    """Withdraw requests from servers that would crash once they begin to run them.

    Such requests may wait in a server's queue for seconds. Streams with events are
    left alone: they have run without a crash.

    Parameters
    ----------
    crashes : CrashWatch
        Knows the verdicts.
    """

    __slots__ = ("_crashes", "_faults", "_n_verdicts")

    def __init__(self, *, crashes: CrashWatch, faults: FaultIsolation) -> None:
        self._crashes = crashes
        self._faults = faults
        self._n_verdicts = 0

    def due(
        self, requests: Iterable[RelayRequest], *, now: float
    ) -> list[tuple[RelayRequest, Quarantined]]:
        """Return the sent requests to withdraw after new verdicts, and the reasons."""
        if self._crashes.n_verdicts == self._n_verdicts:
            return []
        self._n_verdicts = self._crashes.n_verdicts
        due = []
        for request in requests:
            if request.attempt is None or request.phase is not RequestPhase.SENT:
                continue
            with self._faults.request(request, now=now):
                quarantined = self._crashes.verdict(request, now=now)
                if quarantined is not None:
                    due.append((request, quarantined))
        return due
