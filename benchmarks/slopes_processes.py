"""Measure the roles whose cost lies in sockets, with real processes."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import msgspec

from ryelever.state.fleet import ListedHost
from tests.processes import Fleet, running_fleet

from . import control_cost, speed
from .slopes_fit import (
    N_SERVERS,
    N_STREAMS,
    N_ZONES,
    SERVERS_PER_ZONE,
    TOKENS,
    Slope,
)


def front(sizes: Sequence[int], seed: int, *, seconds: float) -> Iterator[Slope]:
    """Measure streams through one entry host; x: tokens a second, or streams."""
    cpu, memory = [], []
    with (
        tempfile.TemporaryDirectory() as directory,
        running_fleet(Path(directory)) as fleet,
    ):
        load = speed.start(fleet)
        pid = load.entry.process.pid
        speed.set_engines(load, "notes", step_ms=1e3 / 29, tokens_per_event=1)
        for n_streams in sizes:
            rates = asyncio.run(_stream(load, n_streams, seconds=seconds))
            cpu.append((rates[0], 100 * rates[1]))
            memory.append((n_streams, speed.resident(pid) / 1e6))
    yield Slope(
        role="caller front",
        what="% of a core, by tokens/s",
        unit="%",
        design_size=TOKENS,
        points=cpu,
    )
    yield Slope(
        role="caller front",
        what="MB resident, by streams",
        unit="MB",
        design_size=N_STREAMS,
        points=memory,
    )


async def _stream(load: speed.Load, n_streams: int, *, seconds: float) -> tuple:
    pid = load.entry.process.pid
    task = asyncio.ensure_future(
        speed.run_streams(load, n_streams=n_streams, seconds=seconds + 2)
    )
    await asyncio.sleep(1.5)
    tokens = await asyncio.to_thread(speed.n_generated_tokens, load), time.monotonic()
    spent = speed.processor_seconds(pid), time.monotonic()
    await asyncio.sleep(seconds)
    cpu_rate = speed._rate(spent, speed.processor_seconds(pid))
    token_rate = speed._rate(
        tokens, await asyncio.to_thread(speed.n_generated_tokens, load)
    )
    await task
    return token_rate, cpu_rate


def control(sizes: Sequence[int], seed: int, *, seconds: float) -> Iterator[Slope]:
    """Measure 3 entry hosts that poll idle engines; x: backend servers in the zone."""

    def start(fleet: Fleet, n_hosts: int) -> None:
        control_cost._start(fleet, n_hosts=n_hosts, n_entries=3, stats=None)

    yield from _measure_idle_host(
        "control in all", "backend servers", SERVERS_PER_ZONE, sizes, start, seconds
    )


def streams(sizes: Sequence[int], seed: int, *, seconds: float) -> Iterator[Slope]:
    """Measure an entry host that only follows empty streams; x: streams."""

    def start(fleet: Fleet, n_streams: int) -> None:
        fleet.start_platform()
        zones = [f"z{number}" for number in range(n_streams - 2)]
        zone = zones[0]
        fleet.start_entry("e", zone=zone, availability_zones=zones, claims_partitions=1)

    design_size = 1 + N_ZONES + 1
    yield from _measure_idle_host(
        "log reader", "streams followed", design_size, sizes, start, seconds
    )


def listing(sizes: Sequence[int], seed: int, *, seconds: float) -> Iterator[Slope]:
    """Measure an entry host that only reads the hosts list; x: hosts listed."""

    def start(fleet: Fleet, n_hosts: int) -> None:
        fleet.start_platform()
        for number in range(n_hosts):
            name = f"service-{number}"
            row = ListedHost(
                host=name,
                address=f"10.0.{number // 250}.{number % 250}:8000",
                availability_zone="other",
                fabric_domain="domain",
                accelerators=8,
                kind="service",
            )
            fleet.listed_by_name[name] = msgspec.to_builtins(row)
        fleet.publish_list()
        fleet.start_entry("e", zone="z", claims_partitions=1)

    yield from _measure_idle_host(
        "hosts list", "hosts listed", N_SERVERS, sizes, start, seconds
    )


def _measure_idle_host(
    role: str,
    by: str,
    design_size: float,
    sizes: Sequence[int],
    start: Callable[[Fleet, int], None],
    seconds: float,
) -> Iterator[Slope]:
    cpu, memory = [], []
    for size in sizes:
        with (
            tempfile.TemporaryDirectory() as directory,
            running_fleet(Path(directory)) as fleet,
        ):
            start(fleet, size)
            pid = next(iter(fleet.entries_by_name.values())).process.pid
            time.sleep(1.0)
            spent = speed.processor_seconds(pid), time.monotonic()
            time.sleep(seconds)
            cpu.append((size, 100 * speed._rate(spent, speed.processor_seconds(pid))))
            memory.append((size, speed.resident(pid) / 1e6))
    for what, unit, points in (
        ("% of a core", "%", cpu),
        ("MB resident", "MB", memory),
    ):
        yield Slope(
            role=role,
            what=f"{what}, by {by}",
            unit=unit,
            design_size=design_size,
            points=points,
        )
