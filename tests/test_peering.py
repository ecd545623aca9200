"""Test how fast evidence of crashes spreads among entry hosts."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from ryelever.coordination.quarantine import Quarantine
from ryelever.coordination.soft_state.exchange import LIVE_AGE
from ryelever.events import Datagram
from ryelever.metrics import Metrics
from ryelever.peering import Peering
from ryelever.request_path import SUSPICION_SETTLE
from ryelever.settings import Settings
from ryelever.state.configuration_fold import ConfigurationFold

#: Seconds between two control ticks, and one-way latency in seconds between two hosts.
TICK = 0.1
ONE_WAY = 0.001

#: Names of the hosts, by their addresses for peers.
HOSTS = {"10.0.0.1:1": "e1", "10.0.0.2:1": "e2"}


class Clock:
    """Simulate time: replace the module ``time`` and run scheduled actions."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def monotonic(self) -> float:
        return self.now

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (when, next(self._order), action))

    def run(self, until: float) -> None:
        while self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until


class Pair:
    """Simulate two entry hosts of one zone that exchange evidence of crashes."""

    def __init__(self, clock: Clock, *, seed: int, settle: float = 0.0) -> None:
        self._clock = clock
        self.loss = 0.0
        self._losses = random.Random(seed)
        self._paused_until: dict[str, float] = {}
        self.quarantines = {
            address: self._quarantine(address, settle=settle) for address in HOSTS
        }
        self._peerings = {address: self._peering(address) for address in HOSTS}
        draws = random.Random(seed)
        for address in HOSTS:
            self.schedule(address, self._tick(address), at=draws.uniform(0.0, TICK))

    def pause(self, address: str, *, seconds: float) -> None:
        """Pause a host; its delayed actions then run in their order."""
        self._paused_until[address] = self._clock.now + seconds

    def schedule(
        self, address: str, action: Callable[[], None], *, at: float = 0.0
    ) -> None:
        """Run an action of a host after ``at`` seconds, or at the end of its pause."""

        def run() -> None:
            paused_until = self._paused_until.get(address, 0.0)
            if self._clock.now < paused_until:
                self._clock.at(paused_until, run)
            else:
                action()

        self._clock.at(self._clock.now + at, run)

    def _tick(self, address: str) -> Callable[[], None]:
        def tick() -> None:
            self._peerings[address]._on_control_tick()
            self.schedule(address, tick, at=TICK)

        return tick

    def _quarantine(self, address: str, *, settle: float) -> Quarantine:
        return Quarantine(
            seed=1,
            settle=settle,
            peers_reported_since=lambda moment: self._peerings[
                address
            ].exchange.zone_reported_since(moment, now=self._clock.now),
        )

    def _peering(self, address: str) -> Peering:
        quarantine = self.quarantines[address]
        peering = Peering(
            settings=Settings(
                host=HOSTS[address],
                availability_zone="a",
                peers=list(HOSTS),
                peer_key="a key of the tests, long enough",
            ),
            address=address,
            configuration=ConfigurationFold(),
            metrics=Metrics(),
            sources=[quarantine],
            aged_sources=[],
            sinks=[quarantine],
            set_members=lambda members: None,
            urgent=quarantine,
        )
        peering.fire = lambda event, channel: self._send(address, event.args[0])
        return peering

    def _send(self, sender: str, datagrams: list[Datagram]) -> None:
        for item in datagrams:
            if self._losses.random() < self.loss:
                continue
            received = Datagram(address=sender, data=item.data)
            receive = self._peerings[item.address]._on_peers_received
            self.schedule(
                item.address,
                lambda receive=receive, received=received: receive([received]),
                at=ONE_WAY,
            )


@pytest.mark.parametrize("seed", range(20))
def test_hosts_receive_evidence_of_a_crash_before_its_verdict(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Announce a crash to the other host of the zone before a verdict falls.

    Otherwise the second host runs a poison request because it lacks the evidence.
    """
    clock = Clock()
    monkeypatch.setattr("ryelever.peering.time", clock)
    pair = Pair(clock, seed=seed)
    clock.run(clock.now + 10.0 + random.Random(seed).uniform(0.0, 2.0))
    first, second = pair.quarantines.values()
    crashed_at = clock.now
    for target in ("group-1", "group-2"):
        first.crashed(target, ["poison"], now=crashed_at)
    while not second.must_not_run("poison", now=clock.now):
        clock.run(clock.now + TICK / 10)
        assert clock.now < crashed_at + SUSPICION_SETTLE


@pytest.mark.parametrize("pause", [0.5, 1.5, 2.5, 3.5])
@pytest.mark.parametrize("seed", range(10))
def test_no_bystander_is_condemned_before_a_paused_host_has_reported(
    monkeypatch: pytest.MonkeyPatch, seed: int, pause: float
) -> None:
    """Wait for a paused host's evidence before a verdict on a crash.

    A bystander is a request that ran beside a poison request when a server crashed.
    Without the evidence of the paused host, it would be refused for these crashes.
    """
    clock = Clock()
    monkeypatch.setattr("ryelever.peering.time", clock)
    pair = Pair(clock, seed=seed, settle=SUSPICION_SETTLE)
    draws = random.Random(seed)
    clock.run(clock.now + 10.0 + draws.uniform(0.0, 2.0))
    (first, first_view), (_, second_view) = pair.quarantines.items()
    pair.pause(first, seconds=pause)
    # The first host notices the crashes when its pause ends, before or after its next
    # control tick.
    delay = TICK * (draws.random() < 0.5)
    for target in ("group-1", "group-2"):
        pair.schedule(
            first,
            lambda target=target: first_view.crashed(target, ["poison"], now=clock.now),
            at=delay,
        )
        second_view.crashed(target, ["bystander"], now=clock.now)
        second_view.proved("bystander", now=clock.now)
    crashed_at = clock.now
    while clock.now < crashed_at + 8.0:
        clock.run(clock.now + TICK / 10)
        assert second_view.verdict("bystander", now=clock.now) is None
    for view in pair.quarantines.values():
        assert view.verdict("poison", now=clock.now) is not None


@pytest.mark.parametrize(
    ("pause", "loss"), [(0.0, 0.8), (1.5, 0.0), (1.5, 0.8), (2.5, 0.8)]
)
@pytest.mark.parametrize("seed", range(10))
def test_caller_is_refused_only_after_the_other_host_has_the_evidence(
    monkeypatch: pytest.MonkeyPatch, seed: int, pause: float, loss: float
) -> None:
    """Refuse a poison request only when the other host has the evidence too.

    Otherwise the other host runs the request after this host has refused it.
    """
    clock = Clock()
    monkeypatch.setattr("ryelever.peering.time", clock)
    pair = Pair(clock, seed=seed, settle=SUSPICION_SETTLE)
    clock.run(clock.now + 10.0 + random.Random(seed).uniform(0.0, 2.0))
    (_, first_view), (second, second_view) = pair.quarantines.items()
    pair.pause(second, seconds=pause)
    pair.loss = loss
    for target in ("group-1", "group-2"):
        first_view.crashed(target, ["poison"], now=clock.now)
    crashed_at = clock.now
    while first_view.verdict("poison", now=clock.now) is None:
        clock.run(clock.now + TICK / 10)
        assert clock.now < crashed_at + (2 * LIVE_AGE) + 1.0
    waited = clock.now - crashed_at
    assert second_view.must_not_run("poison", now=clock.now) or waited >= LIVE_AGE
