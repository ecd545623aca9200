"""Register gauges and counters for values that the components count themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .entry_host import EntryHost

__all__ = ["register_gauges"]


def register_gauges(application: EntryHost) -> None:
    """Register the values that are read from components when ``/metrics`` is served."""
    _register_requests(application)
    _register_traffic(application)
    application.metrics.gauge(
        "configuration_version", lambda: float(application.configuration.version)
    )
    application.fleet_history.register_gauges(application.metrics)


def _register_requests(application: EntryHost) -> None:
    metrics = application.metrics
    table = application.table
    callers = application.callers
    metrics.counter("refused_requests", lambda: dict(callers.n_refused_by_code))
    metrics.counter("unread_answers", lambda: {"": callers.n_unread})
    metrics.gauge("requests_in_flight", lambda: float(len(table.requests_by_id)))
    metrics.gauge("late_answers", lambda: float(table.n_late_answers))
    metrics.gauge("retries", lambda: float(table.n_retries))


def _register_traffic(application: EntryHost) -> None:
    metrics = application.metrics
    client = application.http_client
    peers = application.peers
    metrics.counter(
        "bytes_received",
        lambda: client.n_bytes_received_by_step | {"peers": peers.n_bytes_received},
    )
    metrics.counter(
        "bytes_sent",
        lambda: client.n_bytes_sent_by_step | {"peers": peers.n_bytes_sent},
    )
    metrics.gauge("peer_datagrams_received", lambda: float(peers.n_received))
    metrics.gauge("peer_datagrams_sent", lambda: float(peers.n_sent))
    metrics.gauge(
        "peer_datagrams_bytes_received", lambda: float(peers.n_bytes_received)
    )
    metrics.gauge("peer_datagrams_bytes_sent", lambda: float(peers.n_bytes_sent))
    metrics.gauge("silent_connections", lambda: float(client.n_timed_out))
