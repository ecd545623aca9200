"""Test what planners make of servers that are lost and come, in simulated time.

The pattern is that of a deployment which loses a member of a group for good every three
seconds and gets an empty server about as often: 66 servers in six fabric domains of
eleven, models of six and of three servers, work for 4.1 and 5.3 groups when loaded.
Bounds are a little below the mean of 24 days (benchmarks.group_days).
"""

from __future__ import annotations

from collections import defaultdict

import pytest

from ryelever.coordination.groups import GroupOrder, OrderKind, OrderOutcome
from ryelever.emulator import (
    Deployment,
    EmulatedModel,
    Fleet,
    LossPattern,
    play_day,
)
from ryelever.emulator.server import EmulatedServer
from ryelever.state.directory import GroupState
from ryelever.state.routes import EngineProfile


def _deployment(*, large: float, small: float) -> Deployment:
    return Deployment(
        n_zones=3,
        n_domains=2,
        domain_size=11,
        models_by_name={
            "large": EmulatedModel(
                size=6, demand=large, share=0.67, load_time=16.0, warm_time=1.6
            ),
            "small": EmulatedModel(
                size=3, demand=small, share=0.33, load_time=12.0, warm_time=1.1
            ),
        },
        stall_time=5.0,
        loads_per_second=5.5,
        loads_at_once=8.0,
    )


LOADED = _deployment(large=4.1, small=5.3)


def test_the_same_seed_gives_the_same_day() -> None:
    first = play_day(deployment=LOADED, losses=LossPattern(), seed=3)
    again = play_day(deployment=LOADED, losses=LossPattern(), seed=3)
    assert first.served_by_model == again.served_by_model
    assert first.n_loads == again.n_loads


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_groups_are_mended_as_fast_as_they_are_lost(seed: int) -> None:
    """Lose a member of a group every three seconds, beside heavy load.

    Symptom: the large model goes from six groups to two within twenty seconds, while
    a fifth of all servers wait with weights that no group needs.
    Sequence: each loss uses up two spares, a spare that holds one model's weights can't
    mend the other's groups, and newcomers load for sixteen seconds.
    Cause: spares and newcomers held the largest model only, and a head that has left
    its group was taken for one without a model.
    """
    day = play_day(deployment=LOADED, losses=LossPattern(), seed=seed)
    assert day.mean > 0.95
    assert min(day.served_by_model.values()) > 0.93


@pytest.mark.parametrize("seed", [1, 2])
def test_a_rush_for_one_model_reshapes_groups(seed: int) -> None:
    """Let one model's work grow to half as much again, and lose servers meanwhile.

    Symptom: the other model keeps groups that it doesn't need, or loses all of its own.
    Sequence: groups are planned for shares of 0.67 and 0.33, and then requests of the
    small model are 8.0 groups' work.
    Cause: groups were taken apart one at a time, and only where one was enough.
    """
    day = play_day(
        deployment=_deployment(large=3.5, small=8.0), losses=LossPattern(), seed=seed
    )
    assert min(day.served_by_model.values()) > 0.75


def test_a_dark_domain_is_back_soon() -> None:
    losses = LossPattern(every=(100.0, 100.0), domain_at=8.0, domain_for=5.0)
    day = play_day(deployment=LOADED, losses=losses, seed=5)
    assert day.mean > 0.95


class _Promises:
    """Watch what each server does, and hold the promises of groups against it."""

    def __init__(self) -> None:
        self.fleet: Fleet | None = None
        self.ready: dict[tuple[str, int], set[str]] = defaultdict(set)
        self.members: dict[tuple[str, int], tuple[str, ...]] = {}
        self.n_opened = 0

    def obeyed(self, server: EmulatedServer, order: GroupOrder) -> None:
        """Check an order that a server is about to carry out."""
        group = (order.group, order.epoch)
        if order.kind is OrderKind.JOIN:
            known = self.members.setdefault(group, order.members)
            assert known == order.members, "an epoch is used for two groups"
            self._head_is_closed(server, group)
        elif order.kind is OrderKind.OPEN:
            missing = set(self.members[group]) - self.ready[group]
            assert not missing, "a group opens with a member that was never ready"
            self.n_opened += 1

    def look(self) -> None:
        """Take note of who is ready."""
        for server in self.fleet.living:
            report = server.entry.group
            if report is not None and report.state is GroupState.READY:
                self.ready[report.name, report.epoch].add(server.id)

    def _head_is_closed(self, server: EmulatedServer, group: tuple[str, int]) -> None:
        report = server.entry.group
        if report is None or (report.name, report.epoch) == group:
            return
        for other in self.fleet.living:
            head = other.entry.group
            same = head is not None and (head.name, head.epoch) == (
                report.name,
                report.epoch,
            )
            if same and head.rank == 0:
                serves = head.state in (GroupState.OPEN, GroupState.CLOSING)
                assert not serves, "a member is given away while its head serves"


@pytest.mark.parametrize("seed", range(4))
def test_no_promise_of_groups_is_broken(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    promises = _Promises()
    obey = EmulatedServer.obey

    def watched(
        server: EmulatedServer,
        order: GroupOrder,
        *,
        engine: EngineProfile,
        now: float,
    ) -> OrderOutcome:
        promises.obeyed(server, order)
        return obey(server, order, engine=engine, now=now)

    monkeypatch.setattr(EmulatedServer, "obey", watched)
    fleet = promises.fleet = Fleet(deployment=LOADED, seed=seed)
    for step in range(400):
        fleet.advance()
        promises.look()
        if fleet.now >= 0 and step % 11 == seed % 11:
            living = fleet.random.choice(fleet.living)
            back = fleet.random.choice([None, 0.4, 3.0, 8.0])
            fleet.lose(living, back_after=back)
    assert promises.n_opened > 12
