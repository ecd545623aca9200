"""Log and count exceptions that nothing else catches; the process continues."""

from __future__ import annotations

from traceback import format_tb
from typing import TYPE_CHECKING

from circuits import BaseComponent, Event, handler

from .logs import log_warning

if TYPE_CHECKING:
    from .metrics import Metrics

__all__ = ["FaultLog"]

#: Number of characters at a traceback's end that are written to the log line.
MAX_TRACEBACK = 2000


class FaultLog(BaseComponent):
    """Log and count the exceptions that handlers raise or that end requests.

    Parameters
    ----------
    metrics : Metrics
        Metrics in which the exceptions are counted, by their class.
    """

    channel = "faults"

    def __init__(self, *, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    @handler("exception", channel="*")
    def _on_exception(
        self,
        error_type: type[Exception],
        error: Exception,
        traceback: list[str],
        handler: object = None,  # noqa: A002
        fevent: Event | None = None,
    ) -> None:
        self._log(error, traceback, fired=fevent.name if fevent is not None else "")

    @handler("request_fault")
    def _on_request_fault(self, error: Exception, request_id: str) -> None:
        self._log(error, format_tb(error.__traceback__), request=request_id)

    def _log(self, error: Exception, traceback: list[str], **fields: str) -> None:
        name = type(error).__name__
        self._metrics.count("faults", name)
        log_warning(
            "fault",
            error=name,
            message=str(error),
            **fields,
            traceback="".join(traceback)[-MAX_TRACEBACK:],
        )
