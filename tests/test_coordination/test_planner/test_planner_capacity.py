"""Test what is done with capacity: weights, demand, shares, priority, loading."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ryelever.coordination.planner.planner import PlannerLimits
from ryelever.coordination.planner.view import ModelDemand
from ryelever.state.configuration import ClientAccount, Configuration, Model, Weights

from ...zone import Zone, new_zone

PAWROUTE = Weights(group_downtime=0.8, stranded_accelerators=0.2)
CONSORTIUM = Weights(group_downtime=0.2, stranded_accelerators=0.8)
ACCOUNTS = {"large": ClientAccount(key_hash="", share=1.0)}
LIMITS = PlannerLimits(demand_hold=5.0, idle_hold=10.0, move_interval=20.0)


def _zone(
    *models: tuple[str, Model],
    accounts: dict[str, ClientAccount] = ACCOUNTS,
    weights: Weights = PAWROUTE,
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


def _wait(zone: Zone, model: str, n_waiting: int, account: str = "large") -> None:
    zone.demand = (
        ModelDemand(model=model, client_account=account, n_waiting=n_waiting),
    )


def _m(n_groups: int = 1, **fields: object) -> Model:
    return Model(version="v1", n_groups=n_groups, **fields)


@pytest.mark.parametrize(
    ("weights", "n_small", "down_at_most"), [(PAWROUTE, 1, 3.0), (CONSORTIUM, 2, 12.0)]
)
def test_weights_decide_what_a_spare_host_does(
    weights: Weights, n_small: int, down_at_most: float
) -> None:
    """Keep a host for repair, or put it to work until it is needed.

    Symptom: two operators with opposite weights get the same placement.  Sequence:
    one host is left in a domain, a small model could use it, then a large group
    loses a member.  Cause: the weights are read by nobody.
    """
    zone = _zone(("m", _m()), ("s", _m(hosts_per_group=1)), weights=weights, a=6)
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
    assert down_at_most / 3 < seconds_down <= down_at_most


def _end_requests(zone: Zone) -> None:
    for engine in zone.engines_by_host.values():
        engine.running = 0


@pytest.mark.parametrize("weights", [PAWROUTE, CONSORTIUM])
def test_group_of_full_size_is_the_better_spare(weights: Weights) -> None:
    """Form a second group of idle hosts whatever the weights are.

    Symptom: more downtime for the operator that weighs it more.  Sequence: hosts for
    a second group are kept idle, a member dies, the spare host loads weights for
    half a minute.  Cause: a group that serves already is the faster repair.
    """
    zone = _zone(("m", _m()), weights=weights, a=8)
    zone.run(30)
    assert _n_groups(zone, "m") == [2]
    zone.engines_by_host["a-3"].refuses = True
    for _ in range(150):
        zone.advance()
        assert len(zone.groups()) >= 1


def test_small_groups_that_hold_the_hosts_of_a_large_one_give_way() -> None:
    """Take several small groups back at once.

    Symptom: a declared group never forms, though enough hosts work for others.
    Sequence: small groups fill a domain while hosts are away, these return.  Cause:
    no single small group makes room enough.
    """
    zone = _zone(("m", _m()), ("s", _m(hosts_per_group=1)), weights=CONSORTIUM, a=6)
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
def test_growth_stops_at_the_share_of_those_who_wait(
    share: float, n_groups: int
) -> None:
    """Grow for an account within its share.

    Symptom: one account's queue takes the capacity of its rivals.  Sequence: a small
    account sends more than its share allows.  Cause: growth follows demand alone.
    """
    accounts = {
        "small": ClientAccount(key_hash="", share=share),
        "rival": ClientAccount(key_hash="", share=1.0),
    }
    zone = _zone(("m", _m()), accounts=accounts, a=4, b=4, c=4, d=4)
    _wait(zone, "m", 50, account="small")
    zone.run(60)
    assert _n_groups(zone, "m") == [n_groups]


def test_capacity_moves_to_where_callers_wait_and_stays() -> None:
    """Let demand pass from one model to another, then flutter.

    Symptom: groups load weights in turn and serve nobody.  Sequence: callers wait
    now for one model, now for the other, within seconds.  Cause: each look follows
    the newest demand.
    """
    zone = _zone(("m", _m()), ("n", _m()), weights=CONSORTIUM, a=4, b=4, c=4)
    _wait(zone, "m", 5)
    zone.run(30)
    assert _n_groups(zone, "m", "n") == [2, 1]
    for _ in range(10):
        _wait(zone, "n", 5)
        zone.run(3)
        _wait(zone, "m", 5)
        zone.run(3)
    assert zone.kinds().count("draining") == 0
    _wait(zone, "n", 5)
    zone.run(40)
    assert _n_groups(zone, "m", "n") == [1, 2]
    moved = [row.reason for row in zone.truth.changes if row.kind == "draining"]
    assert moved == ["makes room for n"]


def test_both_models_in_need_take_nothing_from_each_other() -> None:
    """Let callers wait for both."""
    zone = _zone(("m", _m()), ("n", _m()), weights=CONSORTIUM, a=4, b=4, c=4)
    zone.demand = tuple(
        ModelDemand(model=model, client_account="large", n_waiting=5)
        for model in ("m", "n")
    )
    zone.run(120)
    assert sum(_n_groups(zone, "m", "n")) == 3
    assert "draining" not in zone.kinds()


def test_important_model_goes_first_when_hosts_are_short() -> None:
    """Declare more than the hosts can serve."""
    zone = _zone(("m", _m(2, priority=1)), ("n", _m(2, priority=9)), a=4, b=4, c=4)
    zone.run(20)
    assert _n_groups(zone, "m", "n") == [1, 2]


def test_important_model_gets_hosts_back_after_a_loss() -> None:
    """Lose a domain that served the important model.

    Symptom: the important model is down while a lesser one has two groups.
    Sequence: a fabric domain goes dark.  Cause: only free hosts are looked at.
    """
    zone = _zone(("m", _m(2, priority=1)), ("n", _m(1, priority=9)), a=4, b=4, c=4)
    zone.run_until(lambda: _n_groups(zone, "m", "n") == [2, 1], at_most=20)
    for host in zone.groups("n")[0]:
        zone.engines_by_host[host].answers = False
    zone.run(40)
    assert _n_groups(zone, "m", "n") == [1, 1]


def test_groups_stay_within_one_fabric_domain() -> None:
    """Leave hosts idle that share no domain."""
    zone = _zone(("m", _m(3)), a=6, b=6)
    zone.run(20)
    domains = [{host[0] for host in members} for members in zone.groups()]
    assert sorted(map(sorted, domains)) == [["a"], ["b"]]


def test_loading_is_staged() -> None:
    """Form many groups at once.

    Symptom: after a zone's return every group is late alike.  Sequence: all hosts
    fetch weights at the store's limited rate.  Cause: all are ordered at once.
    """
    zone = _zone(("m", _m(4)), load_time=5.0, a=8, b=8)
    n_loading = []
    for _ in range(250):
        zone.advance()
        states = [engine.state for engine in zone.engines_by_host.values()]
        n_loading.append(states.count("loading"))
    assert max(n_loading) == LIMITS.max_loading
    assert _n_groups(zone, "m") == [4]


def test_wide_group_loads_although_it_exceeds_the_bound() -> None:
    """Form a group of more hosts than may load at once."""
    limits = replace(LIMITS, max_loading=2)
    zone = _zone(("m", _m(2)), limits=limits, a=8)
    zone.run(20)
    assert _n_groups(zone, "m") == [2]
