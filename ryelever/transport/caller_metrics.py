"""Register the metrics of callers' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..metrics import Metrics
    from .caller_server import CallerResources, CallerServer

__all__ = ["register_caller_gauges"]


def register_caller_gauges(
    metrics: Metrics,
    *,
    resources: CallerResources,
    servers_by_name: dict[str, CallerServer],
) -> None:
    """Register the gauges and counters of the servers that own callers' sockets."""
    memory, steps = resources.memory, resources.steps
    metrics.gauge("caller_memory_bytes", lambda: float(memory.n_bytes))
    metrics.gauge("caller_memory_limit_bytes", lambda: float(memory.limit))
    metrics.counter(
        "caller_memory_released", lambda: {"connections": memory.n_released}
    )
    metrics.gauge("caller_steps_waiting", lambda: float(steps.n_waiting))
    metrics.counter("caller_steps", lambda: {"deferred": steps.n_run})
    metrics.labelled_gauge(
        "caller_connections",
        lambda: {name: float(one.n_clients) for name, one in servers_by_name.items()},
    )
    metrics.counter(
        "caller_connections_refused",
        lambda: {
            name: one.n_refused_connections for name, one in servers_by_name.items()
        },
    )
