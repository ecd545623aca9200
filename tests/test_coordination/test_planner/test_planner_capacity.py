"""Test the use of capacity: weights, demand, shares, priorities and loading."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ryelever.coordination.planner.planner import PlannerLimits
from ryelever.coordination.planner.view import ModelDemand
from ryelever.state.configuration import ClientAccount, Configuration, Model, Weights

from ...zone import Zone, new_zone

DOWNTIME_FIRST = Weights(group_downtime=0.8, stranded_accelerators=0.2)
UTILIZATION_FIRST = Weights(group_downtime=0.2, stranded_accelerators=0.8)
ACCOUNTS = {"large": ClientAccount(key_hash="", share=1.0)}
LIMITS = PlannerLimits(demand_hold=5.0, idle_hold=10.0, move_interval=20.0)


def _make_zone(
    *models: tuple[str, Model],
    accounts: dict[str, ClientAccount] = ACCOUNTS,
    weights: Weights = DOWNTIME_FIRST,
    limits: PlannerLimits = LIMITS,
    **fields: object,
) -> Zone:
    zone = new_zone(limits=limits, **fields)
    zone.configuration = Configuration(
        models=dict(models), client_accounts=accounts, weights=weights
    )
    return zone


def _n_groups(zone: Zone, *models: str) -> list[int]:
    return [len(zone.groups(model)) for model in models]


def _set_demand(zone: Zone, model: str, n_waiting: int, account: str = "large") -> None:
    zone.demand = (
        ModelDemand(model=model, client_account=account, n_waiting=n_waiting),
    )


def _model(n_groups: int = 1, **fields: object) -> Model:
    return Model(version="v1", n_groups=n_groups, **fields)


@pytest.mark.parametrize(
    ("weights", "n_small", "max_seconds_down"),
    [(DOWNTIME_FIRST, 1, 3.0), (UTILIZATION_FIRST, 2, 12.0)],
)
def test_weights_decide_whether_a_spare_host_stays_idle(
    weights: Weights, n_small: int, max_seconds_down: float
) -> None:
    """Keep a spare host idle for repairs, or let it serve until it is needed.

    Guards against a planner that ignores the weights, so that two operators with
    opposite weights get the same placement.  One host remains in a domain, a small
    model could use it, and then a large group loses a member.
    """
    zone = _make_zone(
        ("m", _model()), ("s", _model(hosts_per_group=1)), weights=weights, a=6
    )
    zone.run(30)
    assert _n_groups(zone, "m", "s") == [1, n_small]
    for host in ("a-0", "a-1", "a-2", "a-3"):
        assert zone.group_of(host).startswith("m")
    for members in zone.groups("s"):
        zone.engines_by_host[members[0]].running = 1
    zone.later(5.0, lambda: _end_requests(zone))
    zone.engines_by_host["a-3"].refuses = True
    seconds_down = zone.seconds_down(30)
    assert _n_groups(zone, "m", "s") == [1, 1]
    assert max_seconds_down / 3 < seconds_down <= max_seconds_down


def _end_requests(zone: Zone) -> None:
    for engine in zone.engines_by_host.values():
        engine.running = 0


@pytest.mark.parametrize("weights", [DOWNTIME_FIRST, UTILIZATION_FIRST])
def test_idle_hosts_form_a_second_group_of_full_size(weights: Weights) -> None:
    """Form a second group of idle hosts whatever the weights are.

    Guards against more downtime for the operator with the higher weight on downtime.
    If hosts for a second group are kept idle and a member dies, the spare host loads
    weights for half a minute.  A second group that already serves is the faster
    repair.
    """
    zone = _make_zone(("m", _model()), weights=weights, a=8)
    zone.run(30)
    assert _n_groups(zone, "m") == [2]
    zone.engines_by_host["a-3"].refuses = True
    for _ in range(150):
        zone.advance()
        assert len(zone.groups()) >= 1


def test_small_groups_are_drained_for_a_declared_large_group() -> None:
    """Drain several small groups at once for a declared large group.

    Guards against a declared group that is never formed although enough hosts serve
    in groups of another model.  Small groups fill a domain while hosts are away, and
    after the hosts return no single small group makes enough room.
    """
    zone = _make_zone(
        ("m", _model()),
        ("s", _model(hosts_per_group=1)),
        weights=UTILIZATION_FIRST,
        a=6,
    )
    for host in ("a-0", "a-1", "a-2"):
        zone.engines_by_host[host].answers = False
    zone.run(60)
    assert _n_groups(zone, "m", "s") == [0, 3]
    for host in ("a-0", "a-1", "a-2"):
        zone.engines_by_host[host].restart()
    zone.run(60)
    assert _n_groups(zone, "m", "s") == [1, 2]


@pytest.mark.parametrize(
    ("share", "n_groups"), [(0.25, 1), (0.5, 2), (0.75, 3), (1.0, 4)]
)
def test_growth_stops_at_the_share_of_the_waiting_accounts(
    share: float, n_groups: int
) -> None:
    """Form extra groups for an account within its share.

    Guards against one account's queue taking the capacity of other accounts: a small
    account sends more requests than its share allows, and the number of groups
    follows demand alone.
    """
    accounts = {
        "small": ClientAccount(key_hash="", share=share),
        "rival": ClientAccount(key_hash="", share=1.0),
    }
    zone = _make_zone(("m", _model()), accounts=accounts, a=4, b=4, c=4, d=4)
    _set_demand(zone, "m", 50, account="small")
    zone.run(60)
    assert _n_groups(zone, "m") == [n_groups]


def test_capacity_moves_to_waiting_callers_without_oscillating() -> None:
    """Let demand alternate between two models, then stay with one.

    Guards against groups that alternately load weights and don't serve.  Callers wait
    for one model and then for the other within seconds, and each planning pass
    follows the newest demand.
    """
    zone = _make_zone(
        ("m", _model()), ("n", _model()), weights=UTILIZATION_FIRST, a=4, b=4, c=4
    )
    _set_demand(zone, "m", 5)
    zone.run(30)
    assert _n_groups(zone, "m", "n") == [2, 1]
    for _ in range(10):
        _set_demand(zone, "n", 5)
        zone.run(3)
        _set_demand(zone, "m", 5)
        zone.run(3)
    assert zone.kinds().count("draining") == 0
    _set_demand(zone, "n", 5)
    zone.run(40)
    assert _n_groups(zone, "m", "n") == [1, 2]
    moved = [row.reason for row in zone.truth.changes if row.kind == "draining"]
    assert moved == ["makes room for n"]


def test_models_that_both_have_waiting_callers_keep_their_groups() -> None:
    """Let callers wait for both of two models."""
    zone = _make_zone(
        ("m", _model()), ("n", _model()), weights=UTILIZATION_FIRST, a=4, b=4, c=4
    )
    zone.demand = tuple(
        ModelDemand(model=model, client_account="large", n_waiting=5)
        for model in ("m", "n")
    )
    zone.run(120)
    assert sum(_n_groups(zone, "m", "n")) == 3
    assert "draining" not in zone.kinds()


def test_model_of_higher_priority_is_formed_first_when_hosts_are_short() -> None:
    """Declare more groups than the hosts can form."""
    zone = _make_zone(
        ("m", _model(2, priority=1)), ("n", _model(2, priority=9)), a=4, b=4, c=4
    )
    zone.run(20)
    assert _n_groups(zone, "m", "n") == [1, 2]


def test_model_of_higher_priority_gets_hosts_back_after_a_loss() -> None:
    """Lose a fabric domain that served the model of higher priority.

    Guards against a model that is down while another model of lower priority has two
    groups.  This happens if the planner only considers free hosts after a fabric
    domain stops answering.
    """
    zone = _make_zone(
        ("m", _model(2, priority=1)), ("n", _model(1, priority=9)), a=4, b=4, c=4
    )
    zone.run_until(lambda: _n_groups(zone, "m", "n") == [2, 1], at_most=20)
    for host in zone.groups("n")[0]:
        zone.engines_by_host[host].answers = False
    zone.run(40)
    assert _n_groups(zone, "m", "n") == [1, 1]


def test_groups_stay_within_one_fabric_domain() -> None:
    """Leave hosts idle if a group would have to span fabric domains."""
    zone = _make_zone(("m", _model(3)), a=6, b=6)
    zone.run(20)
    domains = [{host[0] for host in members} for members in zone.groups()]
    assert sorted(map(sorted, domains)) == [["a"], ["b"]]


def test_loading_of_many_groups_is_staged() -> None:
    """Declare many groups at once.

    Guards against every group being equally late after a zone returns, because all
    hosts are ordered to join at once and fetch weights at the store's limited rate.
    """
    zone = _make_zone(("m", _model(4)), load_time=5.0, a=8, b=8)
    n_loading = []
    for _ in range(250):
        zone.advance()
        states = [engine.state for engine in zone.engines_by_host.values()]
        n_loading.append(states.count("loading"))
    assert max(n_loading) == LIMITS.max_loading
    assert _n_groups(zone, "m") == [4]


def test_group_larger_than_the_loading_limit_still_loads() -> None:
    """Form groups with more hosts than may load at once."""
    limits = replace(LIMITS, max_loading=2)
    zone = _make_zone(("m", _model(2)), limits=limits, a=8)
    zone.run(20)
    assert _n_groups(zone, "m") == [2]
