"""Test which groups are disbanded for another model, and which zone disbands first."""

from __future__ import annotations

import pytest

from ryelever.coordination.groups.disbanding import choose_disbanding
from ryelever.coordination.groups.forming import ServingGroup
from ryelever.coordination.groups.reshaping import (
    ANNOUNCEMENT_LEAD_TIME,
    ReshapingToken,
)

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
        # The utilization of groups of four is weighted by 1.23 against groups of two.
        pytest.param((2.0, 4.0), (3, 6), L, 3, [], id="as-needy-itself"),
        pytest.param((2.4, 4.0), (3, 6), L, 3, [], id="little-less-needy"),
        pytest.param((2.5, 4.0), (3, 6), L, 3, ["g0"], id="much-less-needy"),
        pytest.param((1.2, 0.2), (3, 6), L, 3, [], id="not-needy"),
        pytest.param((4.0, 2.0), (3, 6), S, 3, [], id="weights-not-staged"),
        pytest.param((4.0, 2.0), (3, 6), L, 1, [], id="too-few-survivors"),
        pytest.param((4.0, 2.0), (3, 6), L, 4, [], id="fits-without"),
    ],
)
def test_conditions_for_disbanding_a_group(
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


def test_several_small_groups_are_disbanded_for_a_large_one() -> None:
    """Guard against a domain that can never form a large group again.

    For ten seconds the large model had two groups for the work of four, and the small
    one seven groups for the work of four.  After the loss of a large group, the few
    remaining servers form small groups.  New servers and the members of one small group
    are never enough for a large group, so several groups must be disbanded together.
    """
    serving_groups = _serving_groups(("small", 2, "d0", L), ("small", 2, "d0", L))
    rules = rules_of(demand=(4.0, 3.0), groups=(2, 7))
    chosen = choose_disbanding(servers_of(1, models=L), serving_groups, rules)
    assert [group.name for group in chosen] == ["g0", "g1"]
    # The domain in which fewer groups must be disbanded comes first.
    serving_groups += _serving_groups(("small", 2, "d1", L))
    free = servers_of(1, models=L) + servers_of(2, "d1", models=L)
    [chosen] = choose_disbanding(free, serving_groups, rules)
    assert chosen.members[0].domain == "d1"


def _n_disbanded_by_zone(
    zones: str, *, demand: tuple[float, float], groups: tuple[int, int]
) -> dict[str, int]:
    """Return the number of groups that each zone disbands for the same shortage.

    All zones see the same groups and demand, and each could complete a large group.
    """
    tokens = {zone: ReshapingToken(zone=zone) for zone in zones}
    n_disbanded = dict.fromkeys(zones, 0)
    for tick in range(30):
        now = tick * 0.1
        announced = {zone for zone, token in tokens.items() if token.is_announced}
        for zone, token in tokens.items():
            other_zones = announced - {zone}
            chosen = choose_disbanding(
                servers_of(2, models=L),
                _serving_groups(("small", 2, "d0", L)),
                rules_of(demand=demand, groups=groups),
                n_pending=token.n_ahead(other_zones),
            )
            if not chosen:
                token.end()
            elif token.may_start(other_zones, now=now):
                n_disbanded[zone] = 1
    return n_disbanded


def test_one_zone_repairs_a_shortage_of_one_group() -> None:
    """Guard against zones that all repair the same shortage.

    A model went from five groups to two, and half of its requests were late.  After the
    other model lost two groups, three planners noticed the shortage within the same
    tenth of a second, and each disbanded a group of the first model because it didn't
    know of the others' decisions.
    """
    n_disbanded = _n_disbanded_by_zone("abc", demand=(2.2, 3.0), groups=(2, 5))
    assert n_disbanded == {"a": 1, "b": 0, "c": 0}


def test_several_zones_repair_a_larger_shortage_at_once() -> None:
    """Guard against a large shortage that is repaired one group after the other.

    The large model had two groups for the work of five for ten seconds.  Three large
    groups were lost within a second, each change takes four seconds, and only one zone
    at a time disbanded a group however many were missing.
    """
    n_disbanded = _n_disbanded_by_zone("abc", demand=(6.0, 2.0), groups=(2, 7))
    assert n_disbanded == {"a": 1, "b": 1, "c": 1}


def test_zone_that_announced_earlier_goes_first() -> None:
    token = ReshapingToken(zone="a")
    assert token.n_ahead({"b"}) == 1
    assert not token.may_start({"b"}, now=0.0)
    assert token.n_ahead({"b", "c"}) == 1
    assert token.may_start({"b", "c"}, now=ANNOUNCEMENT_LEAD_TIME)


def test_partitioned_zone_disbands_without_waiting_for_others() -> None:
    token = ReshapingToken(zone="c")
    token.may_start(set(), now=0.0)
    assert token.may_start(set(), now=ANNOUNCEMENT_LEAD_TIME)
