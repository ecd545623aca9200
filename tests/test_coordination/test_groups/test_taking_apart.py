"""Test which groups are taken apart for another model, and in whose turn."""

from __future__ import annotations

import pytest

from ryelever.coordination.groups.disbanding import choose_disbanding
from ryelever.coordination.groups.forming import ServingGroup
from ryelever.coordination.groups.reshaping import ANNOUNCED_FOR, ReshapingToken

from .group_fakes import server
from .test_group_forming import L, S, rules_of, servers_of


def _serving_groups(
    *groups: tuple[str, int, str, frozenset[str]],
) -> list[ServingGroup]:
    return [
        ServingGroup(
            name=f"g{index}",
            model=model,
            members=tuple(
                server(
                    f"{domain}-g{index}-{rank}",
                    domain=domain,
                    models=frozenset({model}),
                    staged=staged,
                )
                for rank in range(size)
            ),
        )
        for index, (model, size, domain, staged) in enumerate(groups)
    ]


@pytest.mark.parametrize(
    ("demand", "groups", "staged", "n_survivors", "expected"),
    [
        pytest.param((4.0, 2.0), (3, 6), L, 3, ["g0"], id="completes-the-neediest"),
        # Groups of four count 1.23 times as busy as groups of two.
        pytest.param((2.0, 4.0), (3, 6), L, 3, [], id="as-needy-itself"),
        pytest.param((2.4, 4.0), (3, 6), L, 3, [], id="little-less-needy"),
        pytest.param((2.5, 4.0), (3, 6), L, 3, ["g0"], id="much-less-needy"),
        pytest.param((1.2, 0.2), (3, 6), L, 3, [], id="not-needy"),
        pytest.param((4.0, 2.0), (3, 6), S, 3, [], id="weights-not-staged"),
        pytest.param((4.0, 2.0), (3, 6), L, 1, [], id="too-few-survivors"),
        pytest.param((4.0, 2.0), (3, 6), L, 4, [], id="fits-without"),
    ],
)
def test_when_a_group_is_taken_apart(
    demand: tuple[float, float],
    groups: tuple[int, int],
    staged: frozenset[str],
    n_survivors: int,
    expected: list[str],
) -> None:
    serving_groups = _serving_groups(("small", 2, "d0", staged))
    free = servers_of(n_survivors, models=L)
    rules = rules_of(demand=demand, groups=groups)
    chosen = choose_disbanding(free, serving_groups, rules)
    assert [group.name for group in chosen] == expected


def test_a_domain_of_small_groups_can_serve_the_large_model_again() -> None:
    """Lose servers until a domain holds small groups only, and let demand stay.

    Symptom: for ten seconds the large model has two groups for the work of four, and
    the small one seven for that of four.
    Sequence: a large group is lost and too few servers are left for another; they
    become small ones.  New servers come, but never so many that they and the members
    of one small group make up a large one.
    Cause: one group at a time was considered.
    """
    serving_groups = _serving_groups(("small", 2, "d0", L), ("small", 2, "d0", L))
    rules = rules_of(demand=(4.0, 3.0), groups=(2, 7))
    chosen = choose_disbanding(servers_of(1, models=L), serving_groups, rules)
    assert [group.name for group in chosen] == ["g0", "g1"]
    # The domain in which fewer do comes first.
    serving_groups += _serving_groups(("small", 2, "d1", L))
    free = servers_of(1, models=L) + servers_of(2, "d1", models=L)
    [chosen] = choose_disbanding(free, serving_groups, rules)
    assert chosen.members[0].domain == "d1"


def _taken_by(
    zones: str, *, demand: tuple[float, float], groups: tuple[int, int]
) -> dict[str, int]:
    """Return how many groups each of some zones takes apart for one shortage.

    All see the same, and each could complete a large group.
    """
    turns = {zone: ReshapingToken(zone=zone) for zone in zones}
    taken = dict.fromkeys(zones, 0)
    for tick in range(30):
        now = tick * 0.1
        announced = {zone for zone, turn in turns.items() if turn.is_announced}
        for zone, turn in turns.items():
            others = announced - {zone}
            chosen = choose_disbanding(
                servers_of(2, models=L),
                _serving_groups(("small", 2, "d0", L)),
                rules_of(demand=demand, groups=groups),
                n_pending=turn.n_ahead(others),
            )
            if not chosen:
                turn.end()
            elif turn.may_start(others, now=now):
                taken[zone] = 1
    return taken


def test_one_zone_of_several_mends_a_shortage_of_one() -> None:
    """Show that a shortage that all zones see is mended by one of them.

    Symptom: on a quiet day a model goes from five groups to two, and half of its
    requests come late.
    Sequence: the other model loses two groups; three planners see it short of groups
    in the same tenth of a second, and each takes a group of the first model apart.
    Cause: each decided on what all had before.
    """
    taken = _taken_by("abc", demand=(2.2, 3.0), groups=(2, 5))
    assert taken == {"a": 1, "b": 0, "c": 0}


def test_zones_mend_a_shortage_of_more_at_once() -> None:
    """Show that a large shortage isn't mended one group after the other.

    Symptom: the large model has two groups for the work of five through ten seconds.
    Sequence: three large groups are lost within a second; each change takes four
    seconds, and the other zones wait for it.
    Cause: one zone at a time took a group apart, whatever was missing.
    """
    taken = _taken_by("abc", demand=(6.0, 2.0), groups=(2, 7))
    assert taken == {"a": 1, "b": 1, "c": 1}


def test_who_announced_earlier_goes_before() -> None:
    turn = ReshapingToken(zone="a")
    assert turn.n_ahead({"b"}) == 1
    assert not turn.may_start({"b"}, now=0.0)
    assert turn.n_ahead({"b", "c"}) == 1
    assert turn.may_start({"b", "c"}, now=ANNOUNCED_FOR)


def test_a_zone_that_is_cut_off_acts_alone() -> None:
    turn = ReshapingToken(zone="c")
    turn.may_start(set(), now=0.0)
    assert turn.may_start(set(), now=ANNOUNCED_FOR)
