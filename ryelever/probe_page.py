"""Serve the readiness probe and the metrics of an entry host over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import RelayedRequest
    from .metrics import Metrics
    from .transport.relay_callers import RelayCallers

__all__ = ["METRICS_PATH", "ProbePage"]

METRICS_PATH = b"/metrics"


class ProbePage(BaseComponent):
    """Answer readiness probes and metrics requests on one address.

    Parameters
    ----------
    channel : str
        Channel on which requests arrive as ``relayed_request`` events.
    callers : RelayCallers
        The connections of that address.
    ready : callable
        Return whether the host can serve requests.
    """

    def __init__(
        self,
        *,
        channel: str,
        callers: RelayCallers,
        ready: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        super().__init__(channel=channel)
        self._callers = callers
        self._ready = ready
        self._metrics = metrics

    @handler("relayed_request")
    def _on_request(self, request: RelayedRequest) -> None:
        if request.target == METRICS_PATH:
            self._callers.answer(
                request.number,
                status=200,
                headers=[(b"Content-Type", b"text/plain; version=0.0.4")],
                body=self._metrics.render_recent(),
            )
            return
        status = 200 if self._ready() else 503
        self._callers.answer(request.number, status=status, headers=[], body=b"")
