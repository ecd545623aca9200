"""Measure the cost of the console, the state dump, metrics and the hosts list."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator, Sequence

import msgspec

from ryelever.application import Application
from ryelever.metrics import Metrics
from ryelever.protocol.backend import decode_hosts_list
from ryelever.protocol.json_codec import encode
from ryelever.settings_reader import read_settings
from ryelever.state.configuration import Configuration

from .routing_fleet import FakeFleet
from .slopes_fit import N_GROUPS, N_SERVERS, N_ZONES, Points, Slope, kb, ms

#: Maximum age of a report in seconds: the reports of the fleet never expire.
FRESH = 1e6


def _application(n_groups: int) -> Application:
    """Return an entry host that follows groups of 4 hosts in 11 zones."""
    zones = [f"z{number}" for number in range(N_ZONES)]
    values = {
        "host": "e",
        "availability_zone": "z0",
        "availability_zones": zones,
        "callers_address": "127.0.0.1:0",
        "log_address": "127.0.0.1:9",
        "hosts_list_address": "127.0.0.1:9",
        "operator_key": "operator-key-of-a-benchmark",
        "report_max_age": FRESH,
    }
    application = Application(settings=read_settings(json.dumps(values)).ok)
    counts = dict.fromkeys(zones, n_groups // N_ZONES)
    counts["z0"] += n_groups % N_ZONES
    fleet = FakeFleet(zones=counts, members=4)
    fleet.report_all(requested_at=time.monotonic())
    application.placements_by_zone.update(fleet.placements_by_zone)
    application.fleet.hosts_by_name.update(fleet.hosts_by_name)
    application.confirmations.reports_by_host.update(
        fleet.confirmations.reports_by_host
    )
    application.configuration.configuration = Configuration()
    return application


def operators(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure fleet scans, state dumps and status pages; x: groups followed."""
    figures: dict[tuple[str, str, str], Points] = {}
    for n_groups in sizes:
        application = _application(n_groups)
        history, planning = application.fleet_history, application.planning
        history._on_control_tick()
        status = application.console._status
        works = {
            ("state dump", "ms a scan", "ms, each second"): lambda a=application: (
                a.dump._record_changes(now=time.monotonic())
            ),
            ("console", "ms a scan of the fleet", "ms, each second"): (
                history._on_control_tick
            ),
            ("console", "ms a status page", "ms"): lambda status=status: status.view(
                now=time.monotonic()
            ),
            (
                "planner",
                "ms to gather its view",
                "ms, 5 times a second",
            ): planning._view,
            ("state dump", "ms a dump", "ms"): lambda a=application: encode(
                a.dump.describe()
            ),
        }
        for key, work in works.items():
            figures.setdefault(key, []).append((n_groups, ms(work, n_times=5)))
        size = len(encode(application.dump.describe())) / 1e3
        figures.setdefault(("state dump", "KB a dump", "KB"), []).append(
            (n_groups, size)
        )
        application.callers.unregister()
    for (role, what, unit), points in figures.items():
        what = f"{what}, by groups followed"
        yield Slope(
            role=role, what=what, unit=unit, design_size=N_GROUPS, points=points
        )


def hosts_list(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure decoding of the platform's hosts list; x: hosts listed."""
    bodies = {}
    for n_hosts in sizes:
        fleet = FakeFleet(zones={"availability-zone": n_hosts // 4}, members=4)
        listed = [msgspec.to_builtins(row) for row in fleet.hosts_by_name.values()]
        bodies[n_hosts] = encode({"hosts": listed})
    yield Slope(
        role="hosts list",
        what="ms to decode, by hosts listed",
        unit="ms",
        design_size=N_SERVERS,
        points=[
            (n, ms(lambda body=body: decode_hosts_list(body, peer="list"), n_times=5))
            for n, body in bodies.items()
        ],
    )
    yield Slope(
        role="hosts list",
        what="KB an answer, by hosts listed",
        unit="KB",
        design_size=N_SERVERS,
        points=[(n, len(body) / 1e3) for n, body in bodies.items()],
    )


def metrics(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure rendering of the metrics page; x: histograms."""

    def build(n_histograms: int) -> Metrics:
        registry = Metrics()
        for number in range(n_histograms):
            for value in range(20):
                registry.observe(f"duration_{number}", 0.001 * 2**value)
        return registry

    for what, unit, measure in (
        ("ms a page", "ms", lambda n: ms(build(n).render, n_times=3)),
        ("KB", "KB", lambda n: kb(lambda: build(n))),
    ):
        yield Slope(
            role="metrics",
            what=f"{what}, by histograms",
            unit=unit,
            design_size=10,
            points=[(n, measure(n)) for n in sizes],
        )
