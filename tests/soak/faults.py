"""Generate random faults and inject them from outside the entry hosts."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..partition import Partition, PartitionMode
from ..relay_zone import RelayZone
from .proxy import LoopbackProxy, ProxyMode

__all__ = ["STORE", "Disturbance", "Faults", "KeyChange", "PartitionSpan"]

#: Ranges of the seconds between two faults, and of the seconds that one fault lasts.
PAUSES = (0.3, 1.2)
DURATIONS = (0.5, 3.0)

#: Factors by which pauses are stretched; one is selected for each run.  Longer pauses
#: are needed because time limits apply only to hosts that were undisturbed for some
#: seconds.
PAUSE_FACTORS = (1.0, 4.0)

#: Seconds between two checks for faults that are due to end.
END_CHECK_INTERVAL = 0.05

#: Target of disturbances of the store; other targets are hosts and servers by name,
#: and ``"key"``.
STORE = "store"

#: Switches that make a backend server fail.
SERVER_SWITCHES = (
    {"reject": True},
    {"fail": True},
    {"lose_answers": True},
    {"cut_after": 2},
    {"still": True},
    {"wrong_id": True},
    {"orders": "unanswered"},
    {"orders": "lost"},
)

#: Rate limits that a server declares, and the minimum number of seconds for which it
#: declares the same limit.
LIMITS = ("1", "2.5", "0")
LIMITED_FOR = 9.0

#: Seconds of pause that a refusing server asks for, and the minimum number of seconds
#: for which it refuses requests.
PAUSES_ASKED_FOR = ("1.5", "3")
REFUSING_FOR = 4.0

#: Minimum number of seconds for which a host is partitioned from all servers.
PARTITIONED_FOR = 4.5

#: Minimum number of seconds for which a server is leaving.
LEAVING_FOR = 4.0


@dataclass(slots=True, kw_only=True)
class Disturbance:
    """Fault that was injected, with its start and end in monotonic time.

    Attributes
    ----------
    target : str
        Name of the host or backend server, ``"store"``, or ``"key"`` for a revoked key.
    kind : str
        Kind of the fault.
    """

    target: str
    kind: str
    start: float
    end: float = float("inf")


@dataclass(slots=True, kw_only=True)
class KeyChange:
    """Monotonic times at which the callers' key was revoked and restored."""

    revoked_at: float
    restored_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class PartitionSpan:
    """Monotonic times between which a host was partitioned from all servers."""

    host: str
    kind: str
    start: float
    end: float = float("inf")


@dataclass(slots=True, kw_only=True)
class Faults:
    """Injector of random faults, each of which is ended after its duration.

    Parameters
    ----------
    zone : RelayZone
        Processes under test; no other processes are stopped, paused or killed.
    proxies_by_host : dict of str to LoopbackProxy
        Proxies between each host and the store.
    partitions_by_host : dict of str to Partition
        Partitions between each host and the backend servers.
    configuration : dict of str to object
        Fields of the operator's configuration that differ from the stand-in's.

    Attributes
    ----------
    lines : list of str
        Injected faults with the seconds since the start.
    """

    zone: RelayZone
    proxies_by_host: dict[str, LoopbackProxy]
    partitions_by_host: dict[str, Partition]
    seed: int
    configuration: dict[str, object] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    key_changes: list[KeyChange] = field(default_factory=list)
    partition_spans: list[PartitionSpan] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    n_by_kind: Counter[str] = field(default_factory=Counter)
    _due: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    _disturbed: set[str] = field(default_factory=set)
    _version: int = 1
    _threads: list[threading.Thread] = field(default_factory=list)
    _started_at: float = field(default_factory=time.monotonic)

    def run(self, *, seconds: float) -> None:
        """Inject faults for some time, then wait until all of them have ended."""
        generator = random.Random(self.seed)
        kinds = [
            self._pause,
            self._kill,
            self._terminate,
            self._cut_from_store,
            self._partition_from_servers,
            self._disturb_store,
            self._restore_store_from_copy,
            self._disturb_server,
            self._limit_server,
            self._refuse_with_pause,
            self._leave_unlisted,
            self._restart_server,
            self._drain_server,
            self._revoke_key,
        ]
        end = time.monotonic() + seconds
        wait = threading.Event()
        pace = generator.choice(PAUSE_FACTORS)
        while time.monotonic() < end:
            self._wait_and_end_due(wait, pace * generator.uniform(*PAUSES))
            generator.choice(kinds)(generator, generator.uniform(*DURATIONS))
        while self._due or any(thread.is_alive() for thread in self._threads):
            self._wait_and_end_due(wait, END_CHECK_INTERVAL)

    def _wait_and_end_due(self, wait: threading.Event, seconds: float) -> None:
        """Wait, and end the faults whose end is due in the meantime."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            wait.wait(min(left, END_CHECK_INTERVAL))
            self._end_due()

    # Kinds of faults: each method injects one fault

    def _pause(self, generator: random.Random, duration: float) -> None:
        host = self._free_host(generator)
        if host is None:
            return
        process = self.zone.hosts_by_name[host].process
        disturbance = self._record_begin(host, "pause")
        process.send(signal.SIGSTOP)
        self._end_after(duration, lambda: process.send(signal.SIGCONT), disturbance)

    def _kill(self, generator: random.Random, duration: float) -> None:
        host = self._free_host(generator)
        if host is None:
            return
        disturbance = self._record_begin(host, "kill")
        self.zone.hosts_by_name[host].process.kill()
        self._start_again(host, disturbance)

    def _terminate(self, generator: random.Random, duration: float) -> None:
        host = self._free_host(generator)
        if host is None:
            return
        disturbance = self._record_begin(host, "terminate")
        process = self.zone.hosts_by_name[host].process

        def stop() -> None:
            process.stop()
            self._start_again(host, disturbance)

        thread = threading.Thread(target=stop, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _start_again(self, host: str, disturbance: Disturbance) -> None:
        self.zone.start_host(
            host,
            wait=False,
            store_endpoint=f"proxy-{host}",
            partition=self.partitions_by_host[host],
        )
        self._record_end(disturbance)

    def _cut_from_store(self, generator: random.Random, duration: float) -> None:
        host = self._free_host(generator)
        if host is None:
            return
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
        mode = generator.choice(modes)
        proxy = self.proxies_by_host[host]
        disturbance = self._record_begin(host, f"store {mode.value}")
        proxy.set(mode)
        self._end_after(duration, lambda: proxy.set(ProxyMode.PASS), disturbance)

    def _partition_from_servers(
        self, generator: random.Random, duration: float
    ) -> None:
        """Cut a host's connections to all servers; it stays bound by all promises."""
        free = [
            host
            for host in self.partitions_by_host
            if _paths_of(host) not in self._disturbed
        ]
        if len(free) < 2:
            return
        host = generator.choice(free)
        modes = [mode for mode in PartitionMode if mode is not PartitionMode.NONE]
        mode = generator.choice(modes)
        partition = self.partitions_by_host[host]
        disturbance = self._record_begin(_paths_of(host), f"partition {mode.value}")
        span = PartitionSpan(host=host, kind=mode.value, start=time.monotonic())
        self.partition_spans.append(span)
        partition.set(mode)

        def heal() -> None:
            span.end = time.monotonic()
            partition.set(PartitionMode.NONE)

        self._end_after(PARTITIONED_FOR + duration, heal, disturbance)

    def _disturb_store(self, generator: random.Random, duration: float) -> None:
        if STORE in self._disturbed:
            return
        switch = generator.choice(["refuse", "silent", "lose_answers"])
        disturbance = self._record_begin(STORE, switch)
        self.zone.control(store={switch: True})
        self._end_after(
            duration, lambda: self.zone.control(store={switch: False}), disturbance
        )

    def _restore_store_from_copy(
        self, generator: random.Random, duration: float
    ) -> None:
        if STORE in self._disturbed:
            return
        disturbance = self._record_begin(STORE, "older copy")
        self.zone.control(drill="copy")

        def restore_copy() -> None:
            self.zone.control(drill="come-back")
            self._end_after(
                0.5, lambda: self.zone.control(drill="write-again"), disturbance
            )

        self._due.append((time.monotonic() + duration, restore_copy))

    def _disturb_server(self, generator: random.Random, duration: float) -> None:
        server = self._free_server(generator)
        if server is None:
            return
        switches = generator.choice(SERVER_SWITCHES)
        [(name, value)] = switches.items()
        usual = {"orders": "taken", "cut_after": 0}.get(name, False)
        self._switch_server(
            server, f"{name} {value}", on=switches, off={name: usual}, seconds=duration
        )

    def _limit_server(self, generator: random.Random, duration: float) -> None:
        server = self._free_server(generator)
        if server is None:
            return
        limit = generator.choice(LIMITS)
        self._switch_server(
            server,
            f"limit {limit}",
            on={"limit": limit},
            off={"limit": ""},
            seconds=LIMITED_FOR + duration,
        )

    def _restart_server(self, generator: random.Random, duration: float) -> None:
        server = self._free_server(generator)
        if server is None or not server.startswith("engine"):
            return
        disturbance = self._record_begin(server, "restart")
        self.zone.control(**{server.replace("-", "_"): {"restart": True}})
        self._end_after(0.0, lambda: None, disturbance)

    def _drain_server(self, generator: random.Random, duration: float) -> None:
        server = self._free_server(generator)
        if server is None:
            return
        self._switch_server(
            server,
            "leave",
            on={"state": "draining"},
            off={"state": "ready"},
            seconds=LEAVING_FOR + duration,
        )

    def _leave_unlisted(self, generator: random.Random, duration: float) -> None:
        """Let a server's answers state that it leaves, while its entry doesn't."""
        server = self._free_server(generator)
        if server is None or not self.zone.servers()[server]["started_at"]:
            return
        self._switch_server(
            server,
            "leave-unlisted",
            on={"leaving": True},
            off={"leaving": False, "restart": True},
            seconds=LEAVING_FOR + duration,
        )

    def _refuse_with_pause(self, generator: random.Random, duration: float) -> None:
        server = self._free_server(generator)
        if server is None:
            return
        pause = generator.choice(PAUSES_ASKED_FOR)
        self._switch_server(
            server,
            f"refuse-with-pause {pause}",
            on={"reject": True, "pause": pause},
            off={"reject": False, "pause": ""},
            seconds=REFUSING_FOR + duration,
        )

    def _revoke_key(self, generator: random.Random, duration: float) -> None:
        if "key" in self._disturbed:
            return
        disturbance = self._record_begin("key", "taken away")
        self._publish(tenants=[])
        change = KeyChange(revoked_at=time.monotonic())
        self.key_changes.append(change)

        def restore_key() -> None:
            change.restored_at = time.monotonic()
            self._publish()

        self._end_after(duration + 2.0, restore_key, disturbance)

    def _switch_server(
        self,
        server: str,
        kind: str,
        *,
        on: dict[str, object],
        off: dict[str, object],
        seconds: float,
    ) -> None:
        """Set switches of a backend server, and set others after some seconds."""
        disturbance = self._record_begin(server, kind)
        key = server.replace("-", "_")
        self.zone.control(**{key: on})
        self._end_after(seconds, lambda: self.zone.control(**{key: off}), disturbance)

    def _publish(self, **changes: object) -> None:
        self._version += 1
        document = {"version": self._version} | self.configuration | changes
        self.zone.control(configuration=document)

    # Bookkeeping

    def _free_host(self, generator: random.Random) -> str | None:
        """Return a random undisturbed host if another one remains undisturbed."""
        free = [host for host in self.proxies_by_host if host not in self._disturbed]
        return generator.choice(free) if len(free) > 1 else None

    def _free_server(self, generator: random.Random) -> str | None:
        free = [
            name for name in sorted(self.zone.servers()) if name not in self._disturbed
        ]
        return generator.choice(free) if free else None

    def _record_begin(self, target: str, kind: str) -> Disturbance:
        disturbance = Disturbance(target=target, kind=kind, start=time.monotonic())
        self.disturbances.append(disturbance)
        self._disturbed.add(target)
        self.n_by_kind[kind if target == STORE else kind.split()[0]] += 1
        self.lines.append(
            f"{disturbance.start - self._started_at:8.2f} {target}: {kind}"
        )
        return disturbance

    def _record_end(self, disturbance: Disturbance) -> None:
        disturbance.end = time.monotonic()
        self._disturbed.discard(disturbance.target)

    def _end_after(
        self, seconds: float, action: Callable[[], object], disturbance: Disturbance
    ) -> None:
        """Schedule an action that ends a disturbance."""

        def end() -> None:
            action()
            self._record_end(disturbance)

        self._due.append((time.monotonic() + seconds, end))

    def _end_due(self) -> None:
        now = time.monotonic()
        due = [action for at, action in self._due if at <= now]
        self._due = [item for item in self._due if item[0] > now]
        for action in due:
            action()


def _paths_of(host: str) -> str:
    """Return the target of disturbances of a host's paths to the servers."""
    return f"{host} paths"
