"""Run hosts, callers and faults, and check the observations against the promises."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ..partition import Partition
from ..processes import wait_until
from ..relay_zone import running_relay_zone
from .callers import Callers
from .checks import N_EVENTS, Evidence, Verdict, check
from .contention import MODELS, PATH_BY_ROUTE, SLOTS, contended_configuration
from .faults import Faults
from .proxy import LoopbackProxy

__all__ = ["SoakReport", "run_soak"]

#: Numbers of engines, of plain backend servers, of the engines' fabric domains, and of
#: callers of each entry host.
N_ENGINES = 6
N_PLAIN = 3
N_DOMAINS = 2
N_CALLERS = 4

#: Callers of each entry host that send requests during the bursts of contended runs.
#: All together they exceed the slots of one model's groups about three times.
N_BURST_CALLERS = 8

#: Kind of requests that crash the servers which run them, by the remainder of the seed
#: divided by three.
POISON_BY_REMAINDER = {0: "poison", 1: "deadly"}

#: Milliseconds between two events of a stream.  Streams have to last long enough for
#: faults to affect their host in the meantime.
EVENT_MS = 80.0

#: Seconds after the last fault within which all kinds of requests must be served again.
RECOVERED_WITHIN = 12.0


@dataclass(slots=True, kw_only=True)
class SoakReport:
    """Verdict and statistics of one run.

    Attributes
    ----------
    lines : list of str
        Injected faults in order of time.
    """

    verdict: Verdict
    n_calls: int
    n_served: int
    n_by_fault: Counter[str]
    lines: list[str]

    def summary(self) -> str:
        """Return one line with counts of requests, faults, checks and violations."""
        tested = ", ".join(
            f"{promise} {count}"
            for promise, count in sorted(self.verdict.n_tested_by_promise.items())
        )
        return (
            f"{self.n_calls} requests, {self.n_served} served, "
            f"{sum(self.n_by_fault.values())} faults {dict(self.n_by_fault)}, "
            f"tested: {tested}; {len(self.verdict.violations)} breaks"
        )


def run_soak(*, directory: Path, seed: int, seconds: float, n_hosts: int) -> SoakReport:
    """Run one soak test and return its report; even seeds run a contended service.

    Faults affect only the processes that this function starts; all are killed at the
    end.
    """
    with running_relay_zone(directory) as zone:
        zone.start_platform(n_engines=N_ENGINES, n_plain=N_PLAIN, n_domains=N_DOMAINS)
        names = [f"e{index}" for index in range(1, n_hosts + 1)]
        store = zone.addresses["store"]
        proxies = {name: LoopbackProxy(targets=[store]) for name in names}
        is_contended = seed % 2 == 0
        changes = contended_configuration() if is_contended else {}
        if is_contended:
            zone.control(configuration={"version": 1} | changes)
            for index in range(N_ENGINES):
                zone.control(**{f"engine_{index}": {"slots": SLOTS}})
        for name, proxy in proxies.items():
            zone.addresses[f"proxy-{name}"] = proxy.address_by_target[store]
        partitions = {
            name: Partition(
                path=directory / f"{name}.partition", servers=zone.server_addresses()
            )
            for name in names
        }
        for name, partition in partitions.items():
            zone.start_host(name, store_endpoint=f"proxy-{name}", partition=partition)
        zone.head_of(2)
        zone.slow_engines(n_events=N_EVENTS, event_ms=EVENT_MS)
        callers = Callers(
            hosts=names,
            address_of=lambda name: zone.hosts_by_name[name].callers_address,
            seed=seed,
            is_contended=is_contended,
        )
        n_in_bursts = N_BURST_CALLERS if is_contended else 0
        callers.start(n_per_host=N_CALLERS, n_in_bursts=n_in_bursts)
        if seed % 3 in POISON_BY_REMAINDER:
            callers.start_poison(POISON_BY_REMAINDER[seed % 3])
        faults = Faults(
            zone=zone,
            proxies_by_host=proxies,
            partitions_by_host=partitions,
            seed=seed,
            configuration=changes,
        )
        faults.run(seconds=seconds)
        unserved = _unserved_kinds(callers, since=time.monotonic())
        callers.stop()
        evidence = Evidence(
            calls=callers.calls,
            servers=zone.servers(),
            disturbances=faults.disturbances,
            key_changes=faults.key_changes,
            partition_spans=faults.partition_spans,
            group_faults=zone.platform_state()["group_faults"],
            unserved_kinds=unserved,
        )
        for closing in (*proxies.values(), *partitions.values()):
            closing.close()
        return SoakReport(
            verdict=check(evidence),
            n_calls=len(callers.calls),
            n_served=sum(bool(call.seal) for call in callers.calls),
            n_by_fault=faults.n_by_kind,
            lines=faults.lines,
        )


def _unserved_kinds(callers: Callers, *, since: float) -> list[str]:
    """Return the kinds of requests, with models, that are not served in time.

    Each stream route of a contended run is a kind.  The time limit is
    RECOVERED_WITHIN; only requests sent after ``since`` count.
    """
    streams = PATH_BY_ROUTE if callers.is_contended else ["stream"]
    required = {("once", ""), ("look", "")} | {
        (stream, model) for stream in streams for model in MODELS
    }

    def missing() -> set[tuple[str, str]]:
        return required - {
            (call.route or call.kind, call.model)
            for call in list(callers.calls)
            if call.sent_at > since and call.status == 200 and call.is_complete
        }

    try:
        wait_until(
            lambda: not missing(),
            what="all kinds are served",
            timeout=RECOVERED_WITHIN,
        )
    except AssertionError:
        return [" ".join(kind) for kind in sorted(missing())]
    return []
