"""Test how the servers of a contended service follow the work."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from ryelever.coordination.groups.disbanding import choose_disbanding
from ryelever.coordination.groups.forming import (
    SPARE_SHARE,
    FormingRules,
    choose_formations,
    choose_staging,
)
from ryelever.coordination.groups.server_losses import LOSS_WINDOW, ServerLosses
from ryelever.coordination.groups.shifting import (
    DISBAND_PAUSE,
    DemandTrail,
    demand_with_waiting,
    is_paused,
    n_spares_to_keep,
    urgent_shares,
)
from ryelever.relay_settings import ContentionMode

from .group_fakes import server
from .test_disbanding import _serving_groups
from .test_group_forming import ENGINE, LARGE, SMALL, L, S, rules_of, servers_of
from .test_zone_planner import zone_short_of_large_groups

#: Models of twelve and six members, and the demand of the small one before and during a
#: burst, as in the deployment whose urgent callers lacked groups.
UNEVEN = replace(
    ENGINE,
    models_by_name={
        "large": replace(LARGE, size=12),
        "small": replace(SMALL, size=6),
    },
)
CALM, BURST, LARGE_DEMAND = 8.5, 14.5, 2.6


def _rules(groups: dict[str, int], demand: dict[str, float]) -> FormingRules:
    return FormingRules(
        engine=UNEVEN,
        demand_by_model=demand,
        groups_by_model=groups,
        n_servers=54,
        contended=True,
        n_domains=2,
    )


def _shifts(
    small_demands: dict[int, float],
    large_demands: dict[int, float] | None = None,
    *,
    until: int,
) -> list[tuple[int, str]]:
    """Return when which model lost groups to the other, in one zone.

    A group that is decided counts at once, and decisions are a second apart.

    Parameters
    ----------
    small_demands, large_demands : dict of int to float
        Demand of each model from a second on.
    """
    groups = {"large": 5, "small": 11}
    trail, paused_at, shifts = DemandTrail(), {}, []
    demand = {"large": LARGE_DEMAND, "small": 0.0}
    for second in range(until):
        demand["small"] = small_demands.get(second, demand["small"])
        demand["large"] = (large_demands or {}).get(second, demand["large"])
        seen = trail.update(demand, now=second)
        serving = _serving_groups(
            *[("large", 12, "d0", S)] * groups["large"],
            *[("small", 6, "d1", L)] * groups["small"],
        )
        chosen = choose_disbanding(
            [],
            serving,
            _rules(groups, seen),
            paused_models=[
                model for model, at in paused_at.items() if is_paused(at, now=second)
            ],
        )
        if chosen:
            donor = chosen[0].model
            neediest = "small" if donor == "large" else "large"
            n_servers = sum(len(group.members) for group in chosen)
            groups[donor] -= len(chosen)
            groups[neediest] += n_servers // UNEVEN.models_by_name[neediest].size
            paused_at[neediest] = second
            shifts.append((second, donor))
    return shifts


def test_burst_takes_groups_that_the_other_model_can_spare() -> None:
    """Guard against a burst that ends before the idle groups of a model are used.

    The small model had 11 groups for the work of 14 to 15 and the large one 5 for the
    work of 2.6, for the whole of a burst.  One group is enough: with a second one, the
    large model would be as short as the small one.
    """
    assert _shifts({0: BURST}, until=10) == [(0, "large")]


def test_model_that_would_be_short_itself_gives_up_no_group() -> None:
    """Guard against waves in which models that are short in turn lose their groups.

    The large model needs twice its groups for some seconds, and the small one is busy
    to 0.86 of its own: without four of them it would be short in its next wave.
    """
    groups = {"large": 6, "small": 30}
    serving = _serving_groups(
        *[("large", 16, f"d{index}", S) for index in range(6)],
        *[("small", 4, "d0", L)] * 30,
    )
    busy = _rules(groups, {"large": 11.8, "small": 25.8})
    assert choose_disbanding([], serving, busy) == []
    spare = _rules(groups, {"large": 11.8, "small": 15.0})
    assert choose_disbanding([], serving, spare) != []


def test_zones_take_no_more_groups_than_a_model_lacks() -> None:
    """Guard against three zones that each disband groups for a model that lacks one.

    Two zones are ahead of this one, and the large model lacks two groups.
    """
    groups = {"large": 2, "small": 17}
    serving = _serving_groups(*[("small", 6, "d0", L)] * 17)
    rules = _rules(groups, {"large": 3.4, "small": 10.0})
    assert choose_disbanding([], serving, rules) != []
    assert choose_disbanding([], serving, rules, n_pending=1) != []
    assert choose_disbanding([], serving, rules, n_pending=2) == []


def test_shift_of_demand_and_back_does_not_flap() -> None:
    """Guard against models that take each other's groups back and forth."""
    phases = {0: CALM, 10: BURST, 14: CALM, 24: BURST, 28: CALM}
    shifts = _shifts(phases, until=60)
    assert len(shifts) <= 2
    # A model whose demand changes each second neither gains nor loses groups each time.
    wavering = {second: (CALM, BURST)[second % 2] for second in range(60)}
    assert len(_shifts(wavering, until=60)) <= 1


def test_model_keeps_the_groups_that_it_has_just_got() -> None:
    """Guard against a group that is disbanded before it has served anyone."""
    [first, second, *_] = _shifts({0: BURST, 2: 0.5}, {2: 20.0}, until=20)
    assert first == (0, "large")
    assert second == (DISBAND_PAUSE, "small")


def test_burst_shows_at_once_and_a_lull_only_later() -> None:
    trail = DemandTrail()
    assert trail.update({"small": 8.0}, now=0.0) == {"small": 8.0}
    assert trail.update({"small": 14.0}, now=0.2) == {"small": 14.0}
    trail.update({"small": 14.0}, now=10.0)
    assert trail.update({"small": 8.0}, now=11.0)["small"] > 11.0
    assert trail.update({"small": 8.0}, now=20.0)["small"] < 9.0


def test_waiting_requests_count_as_demand() -> None:
    """Guard against a model whose callers wait while its arrivals look served."""
    assert demand_with_waiting({"small": 8.0}, {"small": 6.0, "large": 3.0}) == {
        "small": 9.0,
        "large": 0.5,
    }
    assert demand_with_waiting({"small": 8.0}, {"small": -6.0}) == {"small": 8.0}


def test_urgent_callers_come_before_others() -> None:
    """Guard against a model with urgent callers that waits for one without."""
    groups = {"large": 4, "small": 8}
    rules = rules_of(demand=(2.0, 5.5), groups=(4, 8))
    assert rules.models_by_need(groups)[0].name == "small"
    shares = urgent_shares({"large": 2.0, "small": 5.5}, {"large": 3.0})
    assert shares == {"large": 1.0, "small": 0.0}
    rules = replace(rules, contended=True, urgent_share_by_model=shares)
    assert rules.models_by_need(groups)[0].name == "large"


def test_much_larger_groups_do_not_count_as_much_busier() -> None:
    """Guard against groups of sixteen that take what groups of four need more."""
    models = {"large": replace(LARGE, size=16), "small": replace(SMALL, size=4)}
    engine = replace(ENGINE, models_by_name=models)
    rules = replace(rules_of(demand=(4.0, 18.0), groups=(5, 15)), engine=engine)
    groups = rules.groups_by_model
    assert rules.models_by_need(groups)[0].name == "large"
    contended = replace(rules, contended=True)
    assert contended.models_by_need(groups)[0].name == "small"


def test_spares_follow_losses_every_three_seconds() -> None:
    """Guard against nine idle servers in a zone that loses one server in nine seconds.

    A zone of two domains of 37 loses a third of the servers that three zones lose.
    """
    losses = ServerLosses()
    servers = servers_of(74)
    for tick in range(300):
        now = tick * 0.1
        if tick % 90 == 89:
            servers.pop()
        losses.observe(servers, list_is_stale=False, now=now)
    limit = round(SPARE_SHARE * 74)
    assert losses.rate(now=now) == pytest.approx(2 / LOSS_WINDOW)
    n_spares = {
        rate: n_spares_to_keep(loss_rate=rate, load_time=16.0, n_domains=2, limit=limit)
        for rate in (0.0, losses.rate(now=now), 0.33, 5.0)
    }
    assert list(n_spares.values()) == [2, 2, 6, limit]


def test_restarted_server_counts_as_lost() -> None:
    losses = ServerLosses()
    [entry] = servers_of(1)
    losses.observe([entry], list_is_stale=False, now=0.0)
    losses.observe([replace(entry, started_at=2)], list_is_stale=False, now=LOSS_WINDOW)
    assert losses.rate(now=LOSS_WINDOW) == 1 / LOSS_WINDOW


def test_new_planner_keeps_the_usual_spares_until_it_has_observed_losses() -> None:
    """Guard against a planner that takes its empty history for a zone without losses.

    The previous planner's host died; the demand comes with the next heartbeats.
    """
    losses = ServerLosses()
    losses.observe(servers_of(54), list_is_stale=False, now=100.0)
    assert losses.rate(now=100.0 + LOSS_WINDOW - 0.1) is None
    assert n_spares_to_keep(loss_rate=None, load_time=16.0, n_domains=2, limit=6) == 6
    assert DemandTrail().update({"small": 14.0}, now=100.0) == {"small": 14.0}


def test_stale_list_is_not_taken_for_a_zone_without_losses() -> None:
    """Guard against spares that are given away while losses don't show."""
    losses = ServerLosses()
    losses.observe(servers_of(54), list_is_stale=False, now=0.0)
    losses.observe(servers_of(54), list_is_stale=True, now=30.0)
    assert losses.rate(now=30.0) is None
    losses.observe(servers_of(50), list_is_stale=False, now=40.0)
    assert losses.rate(now=41.0) is None
    losses.observe(servers_of(50), list_is_stale=False, now=59.9)
    assert losses.rate(now=60.0) == 4 / LOSS_WINDOW


def test_spares_serve_from_a_utilization_just_below_one() -> None:
    """Guard against spares that idle while demand exceeds the groups."""
    rules = rules_of(demand=(0.1, 0.96), groups=(1, 1))
    free = servers_of(2, staged=S)
    assert choose_formations(free, rules) == []
    contended = replace(rules, contended=True, n_domains=2)
    [formation] = choose_formations(free, contended)
    assert formation.model.name == "small"


def test_contended_service_without_models_is_planned() -> None:
    """Guard against a planner that fails for all services because of one.

    With ``contention.mode = on`` each engine service counts as contended, also one that
    is declared before its models.
    """
    rules = replace(
        rules_of(demand=(0.0, 0.0), groups=(0, 0)),
        engine=replace(ENGINE, models_by_name={}),
        contended=True,
    )
    assert choose_formations(servers_of(2), rules) == []
    assert choose_disbanding(servers_of(2), [], rules) == []


def test_model_without_a_group_keeps_the_servers_for_its_first_one() -> None:
    """Guard against survivors that join another model's group while a spare loads.

    The large model has lost all groups, and its first one lacks weights on one server.
    """
    free = servers_of(3, models=L, staged=S) + servers_of(1, staged=S, start=3)
    free += servers_of(2, "d1", staged=S)
    rules = rules_of(demand=(2.0, 6.0), groups=(0, 2))
    assert len(choose_formations(free, rules)) == 3
    [formation] = choose_formations(free, replace(rules, contended=True))
    assert {item.domain for item in formation.members} == {"d1"}
    # If the other model has no group either, it doesn't wait.
    neither = replace(rules_of(demand=(2.0, 4.0), groups=(0, 0)), contended=True)
    assert "d0" in {
        item.domain
        for formation in choose_formations(free, neither)
        for item in formation.members
    }


@pytest.mark.parametrize(
    ("contention", "evacuated", "stale", "n_lines"),
    [
        pytest.param(ContentionMode.ON, False, False, 1, id="contended"),
        pytest.param(ContentionMode.ON, True, False, 0, id="evacuated"),
        pytest.param(ContentionMode.ON, False, True, 0, id="stale-list"),
        pytest.param(ContentionMode.AUTO, False, False, 0, id="not-contended"),
    ],
)
def test_shifted_servers_are_logged(
    contention: ContentionMode, evacuated: bool, stale: bool, n_lines: int
) -> None:
    """Guard against shifts that leave no trace, or that happen where none may."""
    zone = zone_short_of_large_groups(contention)
    zone.planner._is_evacuated = lambda name: evacuated
    zone.list_is_stale = stale
    for step in range(10, 40):
        zone.planner.run_planning_pass(now=step * 0.1)
    shifted = [fields for event, fields in zone.lines if event == "servers_shifted"]
    assert len(shifted) == n_lines
    assert bool(zone.planner.manager.disbanding()) == (not evacuated and not stale)
    for fields in shifted:
        assert (fields["model"], fields["donor"]) == ("large", "small")
        assert (fields["n_moved"], fields["utilization"]) == (2, None)


def test_services_that_are_not_contended_are_planned_as_before() -> None:
    """Guard against a rule that reaches services whose callers don't compete."""
    zone = zone_short_of_large_groups(ContentionMode.AUTO)
    [before] = zone.planner._views.service_views(zone.route_table, now=1.0)
    zone.waiting_work = {"large": 90.0, "small": 90.0}
    zone.urgent_demand = {"small": 0.1}
    zone.demand = {"large": 9.0, "small": 9.0}
    zone.planner._views.service_views(zone.route_table, now=2.0)
    zone.demand = {"large": 3.0, "small": 0.1}
    [after] = zone.planner._views.service_views(zone.route_table, now=2.1)
    assert after.rules == before.rules
    draws = random.Random(5)
    for _ in range(300):
        rules = rules_of(
            demand=(draws.uniform(0.0, 6.0), draws.uniform(0.0, 9.0)),
            groups=(draws.randrange(4), draws.randrange(7)),
            n_servers=draws.choice((16, 54)),
        )
        with_inputs = replace(
            rules, urgent_share_by_model={"small": 1.0}, loss_rate=0.0, n_domains=2
        )
        free = [
            server(
                f"i{index}",
                domain=f"d{index % 2}",
                models=draws.choice((L, S, frozenset())),
                staged=draws.choice((L, S, L | S)),
            )
            for index in range(draws.randrange(14))
        ]
        serving = _serving_groups(("small", 2, "d0", L), ("large", 4, "d1", S))
        for decide in (choose_formations, choose_staging):
            assert decide(free, with_inputs) == decide(free, rules)
        assert choose_disbanding(free, serving, with_inputs) == choose_disbanding(
            free, serving, rules
        )
