"""Generate random faults and inject them from outside the entry hosts."""

from __future__ import annotations

import functools
import multiprocessing
import random
import signal
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ..abusive_callers import BEHAVIOURS, Door, play_crowd
from ..partition import Partition, PartitionMode
from ..relay_zone import RelayZone
from ..standins.endless import ENDLESS_FORMS
from ..standins.platform import configuration
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
#: ``"key"``, ``"configuration"``, SUSPENSION, and paths and settings of hosts.
STORE = "store"

#: Target of suspensions, which may affect servers beside other faults.
SUSPENSION = "suspension"

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

#: Share of the faults beside which a series of suspensions begins.
SUSPENSION_SHARE = 0.5

#: Ranges of the seconds for which servers are suspended, and of those until they may be
#: suspended again; maximum number of suspensions in series.
SUSPENDED_FOR = (1.0, 1.5)
RESUMED_FOR = (0.3, 1.0)
MAX_SUSPENSIONS = 3

#: Targets of crowds, of which the first needs a key that they don't have, and the share
#: of their connections that they have here.
CROWD_TARGETS = ("/look/1", "/nowhere/1", "/ready", "/metrics")
CROWD_SHARE = 0.1

#: Seconds between two configurations that are published in series, and range of the
#: seconds that a series lasts.
PUBLISH_INTERVAL = 0.25
PUBLISHED_FOR = (1.0, 2.0)

#: Values of the fields that configurations in series change.  None of them limits
#: requests of the callers, which wait 4 s and are idle for up to 2.5 s between bursts.
TIMEOUTS_MS = (4500, 5000, 8000)
LIMITS_OF_CALLERS = (
    {"max_header_bytes": 16384, "max_body_bytes": 100_000},
    {"max_header_bytes": 8192, "max_body_bytes": 50_000, "idle_timeout_ms": 5000},
    {"max_header_bytes": 32768, "max_body_bytes": 200_000, "header_timeout_ms": 5000},
)


@dataclass(slots=True, kw_only=True)
class Disturbance:
    """Fault that was injected, with its start and end in monotonic time.

    Attributes
    ----------
    target : str
        Name of the host or backend server, ``"store"``, ``"key"`` for a revoked key, or
        another target that excuses no host and no server.
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
    _published: dict[str, object] = field(default_factory=dict)
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
            self._signal_reload,
            self._publish_series,
            self._answer_without_end,
        ]
        suspensions = [self._suspend_server, self._suspend_domain, self._suspend_all]
        wait = threading.Event()
        self._start_crowds(seconds)
        self._suspend_all_once(wait)
        end = time.monotonic() + seconds
        pace = generator.choice(PAUSE_FACTORS)
        while time.monotonic() < end:
            self._wait_and_end_due(wait, pace * generator.uniform(*PAUSES))
            generator.choice(kinds)(generator, generator.uniform(*DURATIONS))
            if generator.random() < SUSPENSION_SHARE:
                generator.choice(suspensions)(generator)
        while self._due or any(thread.is_alive() for thread in self._threads):
            self._wait_and_end_due(wait, END_CHECK_INTERVAL)

    def _start_crowds(self, seconds: float) -> None:
        """Play callers that don't keep to limits, one crowd after the other.

        They have draws of their own, and no excuse for any host follows from them.
        """
        generator = random.Random(f"crowds {self.seed}")
        end = time.monotonic() + seconds

        def play() -> None:
            wait = threading.Event()
            while time.monotonic() < end:
                wait.wait(generator.uniform(*PAUSES))
                behaviour = generator.choice(sorted(BEHAVIOURS))
                host = generator.choice(sorted(self.partitions_by_host))
                target = generator.choice(CROWD_TARGETS)
                duration = generator.uniform(*DURATIONS)
                disturbance = self._record_begin(f"callers {host}", behaviour)
                door = self._door(host, target)
                # The callers' threads would wait for those of a crowd beside them.
                process = multiprocessing.get_context("spawn").Process(
                    target=play_crowd,
                    args=(behaviour,),
                    kwargs={
                        "door": door,
                        "seconds": duration,
                        "share": CROWD_SHARE,
                        "status_by_id": {},
                    },
                )
                process.start()
                process.join()
                self._record_end(disturbance)

        thread = threading.Thread(target=play, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _door(self, name: str, target: str) -> Door:
        host = self.zone.hosts_by_name[name]
        is_probe = target in ("/ready", "/metrics")
        return Door(
            address=host.ready_address if is_probe else host.callers_address,
            target=target,
            headers=(("Host", "calls.example"),),
        )

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

    def _answer_without_end(self, generator: random.Random, duration: float) -> None:
        """Let a server answer with bytes that end only when the host closes."""
        server = self._free_server(generator)
        if server is None:
            return
        form = generator.choice(sorted(ENDLESS_FORMS))
        self._switch_server(
            server,
            f"endless {form}",
            on={"endless": form},
            off={"endless": ""},
            seconds=duration,
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
        self._published["tenants"] = []
        self._publish()
        change = KeyChange(revoked_at=time.monotonic())
        self.key_changes.append(change)

        def restore_key() -> None:
            change.restored_at = time.monotonic()
            del self._published["tenants"]
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

    def _suspend_server(self, generator: random.Random) -> None:
        server = generator.choice(sorted(self.zone.servers()))
        self._suspend(f"suspend-server {server}", [server], generator)

    def _suspend_domain(self, generator: random.Random) -> None:
        """Suspend all engines of one fabric domain."""
        servers_by_domain: dict[str, list[str]] = defaultdict(list)
        for name, server in self.zone.servers().items():
            if server["domain"]:
                servers_by_domain[server["domain"]].append(name)
        domain = generator.choice(sorted(servers_by_domain))
        self._suspend(f"suspend-domain {domain}", servers_by_domain[domain], generator)

    def _suspend_all(self, generator: random.Random) -> None:
        self._suspend("suspend-all", list(self.zone.servers()), generator)

    def _suspend_all_once(self, wait: threading.Event) -> None:
        """Suspend all servers before any other fault that would excuse lost requests.

        Otherwise some runs would not check that suspensions lose none.
        """
        generator = random.Random(f"{self.seed} first suspension")
        series = self._series(generator, n_suspensions=1)
        self._suspend_in_series("suspend-all", list(self.zone.servers()), series)
        while SUSPENSION in self._disturbed:
            self._wait_and_end_due(wait, END_CHECK_INTERVAL)

    def _suspend(self, kind: str, servers: list[str], generator: random.Random) -> None:
        """Suspend servers at the same time, once or several times in series.

        Servers stay suspended no longer than SUSPENDED_FOR: there is one series at a
        time.
        """
        series = self._series(
            generator, n_suspensions=generator.randint(1, MAX_SUSPENSIONS)
        )
        if SUSPENSION not in self._disturbed:
            self._suspend_in_series(kind, servers, series)

    def _series(
        self, generator: random.Random, *, n_suspensions: int
    ) -> list[tuple[float, float]]:
        """Return the seconds of each suspension, and those until the next one."""
        return [
            (generator.uniform(*SUSPENDED_FOR), generator.uniform(*RESUMED_FOR))
            for _ in range(n_suspensions)
        ]

    def _suspend_in_series(
        self, kind: str, servers: list[str], series: list[tuple[float, float]]
    ) -> None:
        at = time.monotonic()
        for suspended_for, resumed_for in series:
            switches = {
                server.replace("-", "_"): {"suspend": suspended_for}
                for server in servers
            }
            self._due.append((at, functools.partial(self.zone.control, **switches)))
            at += suspended_for + resumed_for
        disturbance = self._record_begin(SUSPENSION, f"{kind} ({len(series)} times)")
        self._end_after(at - time.monotonic(), lambda: None, disturbance)

    def _signal_reload(self, generator: random.Random, duration: float) -> None:
        """Let a host read its settings again; it stays bound by all promises."""
        host = generator.choice(sorted(self.proxies_by_host))
        target = f"{host} settings"
        if target in self._disturbed:
            return
        disturbance = self._record_begin(target, "reload")
        self.zone.hosts_by_name[host].process.send(signal.SIGHUP)
        self._end_after(0.0, lambda: None, disturbance)

    def _publish_series(self, generator: random.Random, duration: float) -> None:
        """Publish configurations with changed timeouts and limits in series."""
        n_published = round(generator.uniform(*PUBLISHED_FOR) / PUBLISH_INTERVAL)
        changes = [
            (generator.choice(TIMEOUTS_MS), generator.choice(LIMITS_OF_CALLERS))
            for _ in range(n_published)
        ]
        if "configuration" in self._disturbed:
            return
        kind = f"publish ({n_published} times)"
        disturbance = self._record_begin("configuration", kind)
        usual = configuration(1) | self.configuration

        def publish(timeout_ms: int, limits: dict[str, int]) -> None:
            routes = [route | {"timeout_ms": timeout_ms} for route in usual["routes"]]
            self._published |= {"routes": routes, "limits": limits}
            self._publish()

        at = time.monotonic()
        for index, change in enumerate(changes):
            action = functools.partial(publish, *change)
            self._due.append((at + index * PUBLISH_INTERVAL, action))
        self._end_after(n_published * PUBLISH_INTERVAL, lambda: None, disturbance)

    def _publish(self) -> None:
        self._version += 1
        document = {"version": self._version} | self.configuration | self._published
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
