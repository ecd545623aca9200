"""Log and count exceptions raised by event handlers; the process continues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from circuits import BaseComponent, Event, handler

from .logs import log_warning

if TYPE_CHECKING:
    from .metrics import Metrics

__all__ = ["FaultLog"]

#: Number of characters at a traceback's end that are written to the log line.
MAX_TRACEBACK = 2000


class FaultLog(BaseComponent):
    """Log and count every exception that an event handler does not catch.

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
        self._metrics.count("faults", error_type.__name__)
        log_warning(
            "fault",
            error=error_type.__name__,
            message=str(error),
            fired=fevent.name if fevent is not None else "",
            traceback="".join(traceback)[-MAX_TRACEBACK:],
        )
