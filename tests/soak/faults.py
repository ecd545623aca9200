"""Draw faults and inject them from outside the entry hosts."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..relay_zone import RelayZone
from .proxy import LoopbackProxy, ProxyMode

__all__ = ["STORE", "Faults", "Harm", "KeyChange"]

#: Seconds between two faults, and for which one lasts.
PAUSES = (0.3, 1.2)
LASTING = (0.5, 3.0)

#: Times as long pauses, drawn for each run: bounds in time bind hosts only where
#: nothing has befallen them for some seconds.
PACES = (1.0, 4.0)

#: Seconds between two looks at what is to end.
LOOK = 0.05

#: Whom a harm concerns, beside hosts by their names.
STORE = "store"

#: What a backend server may do wrong, by the switches that let it.
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

#: What a server names as its rate limit, and for how many seconds.
LIMITS = ("1", "2.5", "0")
LIMITED_FOR = 9.0


@dataclass(slots=True, kw_only=True)
class Harm:
    """Say that a host, or the store, was harmed for a while.

    Attributes
    ----------
    who : str
        Name of the host, or ``"store"``.
    kind : str
        What befell it.
    """

    who: str
    kind: str
    start: float
    end: float = float("inf")


@dataclass(slots=True, kw_only=True)
class KeyChange:
    """Say when the callers' key was taken away, and when it was given back."""

    taken_at: float
    given_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class Faults:
    """Inject faults, each of which ends by itself.

    Parameters
    ----------
    zone : RelayZone
        The processes; only they are stopped, paused or killed.
    proxies_by_host : dict of str to LoopbackProxy
        What stands between each host and the store.

    Attributes
    ----------
    lines : list of str
        What was done, with its moment.
    """

    zone: RelayZone
    proxies_by_host: dict[str, LoopbackProxy]
    seed: int
    harms: list[Harm] = field(default_factory=list)
    key_changes: list[KeyChange] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    n_by_kind: Counter[str] = field(default_factory=Counter)
    _due: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    _busy: set[str] = field(default_factory=set)
    _version: int = 1
    _threads: list[threading.Thread] = field(default_factory=list)
    _started_at: float = field(default_factory=time.monotonic)

    def run(self, *, seconds: float) -> None:
        """Inject faults for some time, then end those that last."""
        draws = random.Random(self.seed)
        kinds = [
            self._pause,
            self._kill,
            self._terminate,
            self._cut_from_store,
            self._harm_store,
            self._bring_store_back,
            self._harm_server,
            self._limit_server,
            self._restart_server,
            self._let_server_leave,
            self._take_key,
        ]
        end = time.monotonic() + seconds
        wait = threading.Event()
        pace = draws.choice(PACES)
        while time.monotonic() < end:
            self._wait_ending_due(wait, pace * draws.uniform(*PAUSES))
            draws.choice(kinds)(draws, draws.uniform(*LASTING))
        while self._due or any(thread.is_alive() for thread in self._threads):
            self._wait_ending_due(wait, LOOK)

    def _wait_ending_due(self, wait: threading.Event, seconds: float) -> None:
        """Wait, and end what is to end meanwhile."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            wait.wait(min(left, LOOK))
            self._end_due()

    # One fault each

    def _pause(self, draws: random.Random, lasting: float) -> None:
        host = self._free_host(draws)
        if host is None:
            return
        process = self.zone.hosts_by_name[host].process
        harm = self._began(host, "pause")
        process.send(signal.SIGSTOP)
        self._later(lasting, lambda: process.send(signal.SIGCONT), harm)

    def _kill(self, draws: random.Random, lasting: float) -> None:
        host = self._free_host(draws)
        if host is None:
            return
        harm = self._began(host, "kill")
        self.zone.hosts_by_name[host].process.kill()
        self._start_again(host, harm)

    def _terminate(self, draws: random.Random, lasting: float) -> None:
        host = self._free_host(draws)
        if host is None:
            return
        harm = self._began(host, "terminate")
        process = self.zone.hosts_by_name[host].process

        def stop() -> None:
            process.stop()
            self._start_again(host, harm)

        thread = threading.Thread(target=stop, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _start_again(self, host: str, harm: Harm) -> None:
        self.zone.start_host(host, wait=False, store_endpoint=f"proxy-{host}")
        self._ended(harm)

    def _cut_from_store(self, draws: random.Random, lasting: float) -> None:
        host = self._free_host(draws)
        if host is None:
            return
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
        mode = draws.choice(modes)
        proxy = self.proxies_by_host[host]
        harm = self._began(host, f"store {mode.value}")
        proxy.set(mode)
        self._later(lasting, lambda: proxy.set(ProxyMode.PASS), harm)

    def _harm_store(self, draws: random.Random, lasting: float) -> None:
        if STORE in self._busy:
            return
        switch = draws.choice(["refuse", "silent", "lose_answers"])
        harm = self._began(STORE, switch)
        self.zone.control(store={switch: True})
        self._later(lasting, lambda: self.zone.control(store={switch: False}), harm)

    def _bring_store_back(self, draws: random.Random, lasting: float) -> None:
        if STORE in self._busy:
            return
        harm = self._began(STORE, "older copy")
        self.zone.control(drill="copy")

        def come_back() -> None:
            self.zone.control(drill="come-back")
            self._later(0.5, lambda: self.zone.control(drill="write-again"), harm)

        self._due.append((time.monotonic() + lasting, come_back))

    def _harm_server(self, draws: random.Random, lasting: float) -> None:
        server = self._free_server(draws)
        if server is None:
            return
        switches = draws.choice(SERVER_SWITCHES)
        [(name, value)] = switches.items()
        usual = {"orders": "taken", "cut_after": 0}.get(name, False)
        harm = self._began(server, f"{name} {value}")
        key = server.replace("-", "_")
        self.zone.control(**{key: dict(switches)})
        self._later(lasting, lambda: self.zone.control(**{key: {name: usual}}), harm)

    def _limit_server(self, draws: random.Random, lasting: float) -> None:
        server = self._free_server(draws)
        if server is None:
            return
        limit = draws.choice(LIMITS)
        harm = self._began(server, f"limit {limit}")
        key = server.replace("-", "_")
        self.zone.control(**{key: {"limit": limit}})
        end = LIMITED_FOR + lasting
        self._later(end, lambda: self.zone.control(**{key: {"limit": ""}}), harm)

    def _restart_server(self, draws: random.Random, lasting: float) -> None:
        server = self._free_server(draws)
        if server is None or not server.startswith("engine"):
            return
        harm = self._began(server, "restart")
        self.zone.control(**{server.replace("-", "_"): {"restart": True}})
        self._later(0.0, lambda: None, harm)

    def _let_server_leave(self, draws: random.Random, lasting: float) -> None:
        server = self._free_server(draws)
        if server is None:
            return
        harm = self._began(server, "leave")
        key = server.replace("-", "_")
        self.zone.control(**{key: {"state": "draining"}})
        self._later(
            lasting + 4.0, lambda: self.zone.control(**{key: {"state": "ready"}}), harm
        )

    def _take_key(self, draws: random.Random, lasting: float) -> None:
        if "key" in self._busy:
            return
        harm = self._began("key", "taken away")
        self._publish(tenants=[])
        change = KeyChange(taken_at=time.monotonic())
        self.key_changes.append(change)

        def give() -> None:
            change.given_at = time.monotonic()
            self._publish()

        self._later(lasting + 2.0, give, harm)

    def _publish(self, **changes: object) -> None:
        self._version += 1
        self.zone.control(configuration={"version": self._version, **changes})

    # Bookkeeping

    def _free_host(self, draws: random.Random) -> str | None:
        """Return a host that nothing befalls, if another one is there as well."""
        free = [host for host in self.proxies_by_host if host not in self._busy]
        return draws.choice(free) if len(free) > 1 else None

    def _free_server(self, draws: random.Random) -> str | None:
        free = [name for name in sorted(self.zone.servers()) if name not in self._busy]
        return draws.choice(free) if free else None

    def _began(self, who: str, kind: str) -> Harm:
        harm = Harm(who=who, kind=kind, start=time.monotonic())
        self.harms.append(harm)
        self._busy.add(who)
        self.n_by_kind[kind if who == STORE else kind.split()[0]] += 1
        self.lines.append(f"{harm.start - self._started_at:8.2f} {who}: {kind}")
        return harm

    def _ended(self, harm: Harm) -> None:
        harm.end = time.monotonic()
        self._busy.discard(harm.who)

    def _later(self, seconds: float, action: Callable[[], object], harm: Harm) -> None:
        def end() -> None:
            action()
            self._ended(harm)

        self._due.append((time.monotonic() + seconds, end))

    def _end_due(self) -> None:
        now = time.monotonic()
        due = [action for at, action in self._due if at <= now]
        self._due = [item for item in self._due if item[0] > now]
        for action in due:
            action()
