"""Record metrics of relayed requests, and register the gauges of an entry host."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .coordination.relaying import Balancer, CrashWatch, ServerPaths
    from .fleet_directory import FleetDirectory
    from .group_planning import GroupPlanning
    from .host_exchange import HostExchange
    from .log_stream import StreamWriter
    from .metrics import Metrics
    from .request_forwarding import RequestForwarding
    from .store_client import StoreClient

__all__ = ["RelayMetrics", "register_gauges"]


class RelayMetrics:
    """Record metrics of relayed requests; implements ``RelayMeasures``."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def sent(self, *, is_retry: bool, limited: bool, waited: float) -> None:
        """Count an attempt, and record the seconds since its request arrived.

        Parameters
        ----------
        is_retry : bool
            Whether the request was sent before; its waiting time isn't recorded then.
        limited : bool
            Whether the backend server has announced a rate limit.
        """
        kind = "repeat" if is_retry else "first"
        self._metrics.count("relay_sendings", kind)
        if limited:
            self._metrics.count("relay_limited_sendings", kind)
        if not is_retry:
            self._metrics.observe("relay_waiting", waited)

    def held(self, *, model: str, rank: tuple[int, int]) -> None:
        """Count a request of a contended service that begins to wait."""
        self._metrics.count("relay_held", f"{model} {_rank_label(rank)}")

    def waited(self, seconds: float, *, rank: tuple[int, int]) -> None:
        """Record the seconds from a request's arrival to its first attempt.

        Only requests of contended services are recorded.
        """
        self._metrics.observe("relay_wait", seconds, rank=_rank_label(rank))

    def refused_for_room(self, *, model: str, rank: tuple[int, int]) -> None:
        """Count a request of a contended service that is refused without a slot."""
        self._metrics.count("relay_refused_for_room", f"{model} {_rank_label(rank)}")

    def first_event(self, seconds: float) -> None:
        """Record the seconds from a request's arrival to its first event."""
        self._metrics.observe("relay_first_event", seconds)

    def gap(self, seconds: float) -> None:
        """Record the seconds between two events of a stream."""
        self._metrics.observe("relay_gap", seconds)

    def ended(self, *, route: str, account: str, status: int, seconds: float) -> None:
        """Record a request's end; status 0 is a stream that was cut off."""
        outcome = "cut_off" if status == 0 else str(status)
        self._metrics.observe("relay_request", seconds, route=route, outcome=outcome)
        self._metrics.count("relay_account_requests", f"{account} {outcome}")


def _rank_label(rank: tuple[int, int]) -> str:
    """Return the priorities of the account and of the route as one label."""
    return f"{rank[0]}/{rank[1]}"


def register_gauges(
    metrics: Metrics,
    *,
    store: StoreClient,
    fleet: FleetDirectory,
    planning: GroupPlanning,
    exchange: HostExchange,
    balancer: Balancer,
    paths: ServerPaths,
    forwarding: RequestForwarding,
    crashes: CrashWatch,
    log_writer: StreamWriter,
) -> None:
    """Register the gauges and counters of an entry host's components."""
    metrics.gauge("store_reachable", lambda: float(store.is_reachable))
    metrics.gauge("store_silent_seconds", lambda: time.monotonic() - store.answered_at)
    metrics.gauge("store_era", lambda: float(store.era))
    metrics.counter("store_calls", lambda: dict(store.n_calls_by_step))
    metrics.gauge("configuration_version", lambda: float(fleet.version))
    metrics.gauge("configuration_age_seconds", fleet.configuration_age)
    metrics.gauge("peers_heard", lambda: float(exchange.n_reachable_peers))
    metrics.gauge("servers_out_of_reach", lambda: float(paths.n_lost))
    metrics.gauge("reaches_no_server", lambda: float(paths.is_cut_off))
    metrics.counter(
        "forwarded_requests", lambda: {"for_other_hosts": forwarding.n_forwarded}
    )
    metrics.gauge("quarantined_parts", lambda: float(len(crashes.quarantined_parts)))
    metrics.counter("quarantine_verdicts", lambda: {"all": crashes.n_verdicts})
    metrics.labelled_gauge("relay_waiting", exchange.n_waiting_by_model)
    metrics.labelled_gauge("time_under_way_seconds", balancer.mean_durations)
    metrics.counter("groups", planning.n_groups_by_phase)
    metrics.counter("stranded_server_seconds", planning.stranded_seconds)
    metrics.counter("group_down_seconds", planning.down_seconds)
    metrics.counter(
        "log_lines",
        lambda: {"written": log_writer.n_written, "left_out": log_writer.n_dropped},
    )
