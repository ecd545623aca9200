"""Test repair: a table of faults, and the groups of the zone afterwards."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from ryelever.coordination.planner.placement_history import PlacementHistory
from ryelever.state.configuration import Configuration, Model

from ...zone import Zone, new_zone

ORIGINAL_MEMBERS = ("a-0", "a-1", "a-2", "a-3")
WITH_SPARE_HOST = ("a-0", "a-1", "a-2", "a-4")
OTHER_DOMAIN = ("b-0", "b-1", "b-2", "b-3")
DOMAIN_A = (*ORIGINAL_MEMBERS, "a-4", "a-5")


def _make_zone(**fields: object) -> Zone:
    return new_zone(serves_within=30, **fields)


def _assert_formed_in_domain_a(zone: Zone) -> Zone:
    assert zone.groups() == [ORIGINAL_MEMBERS], zone.groups()
    return zone


def _refuse(zone: Zone, *hosts: str) -> None:
    for host in hosts:
        zone.engines_by_host[host].refuses = True


def _silence(zone: Zone, *hosts: str) -> None:
    for host in hosts:
        zone.engines_by_host[host].answers = False


def _answer_again(zone: Zone, *hosts: str) -> None:
    for host in hosts:
        zone.engines_by_host[host].answers = True


def _restart(zone: Zone, host: str) -> None:
    zone.engines_by_host[host].restart()


def _remove_from_list(zone: Zone, host: str) -> None:
    _silence(zone, host)
    del zone.listed_by_host[host]


def _list_as_leaving(zone: Zone, host: str) -> None:
    zone.listed_by_host[host] = replace(zone.listed_by_host[host], state="leaving")


def _pause_and_return(zone: Zone, seconds: float) -> None:
    _silence(zone, "a-3")
    zone.run(seconds)
    _answer_again(zone, "a-3")


def _pause_often(zone: Zone) -> None:
    for _ in range(4):
        _silence(zone, "a-3")
        zone.run(1.8)
        _answer_again(zone, "a-3")
        zone.run(4.0)


def _case(
    cause: Callable[[Zone], object],
    groups: tuple[str, ...],
    *,
    within: float,
    n_formed: int = 2,
    a: int = 6,
    b: int = 7,
) -> tuple[Callable[[Zone], object], tuple[str, ...], float, int, dict[str, int]]:
    """Return a fault, the members of the only group after its repair, and bounds.

    Parameters
    ----------
    within : float
        Maximum seconds until this group serves, including loading.
    n_formed : int
        Total number of groups formed, including the original one.
    a, b : int
        Numbers of hosts of the fabric domains; a domain without hosts is left out.
    """
    domains = {"a": a} | ({"b": b} if b else {})
    return cause, groups, within, n_formed, domains


CASES = {
    "killed member, spare in its domain": _case(
        lambda zone: _refuse(zone, "a-3"), WITH_SPARE_HOST, within=3.0
    ),
    "silent member, spare in its domain": _case(
        lambda zone: _silence(zone, "a-3"), WITH_SPARE_HOST, within=5.0
    ),
    "member unlisted and gone": _case(
        lambda zone: _remove_from_list(zone, "a-3"), WITH_SPARE_HOST, within=5.0
    ),
    "member restarted within the detection time": _case(
        lambda zone: _restart(zone, "a-3"), ORIGINAL_MEMBERS, within=3.0
    ),
    "member restarted, then paused: two faults": _case(
        lambda zone: (_restart(zone, "a-3"), _silence(zone, "a-2")),
        ("a-0", "a-1", "a-3", "a-4"),
        within=8.0,
        n_formed=3,
    ),
    "two members at once, two spares": _case(
        lambda zone: _refuse(zone, "a-2", "a-3"),
        ("a-0", "a-1", "a-4", "a-5"),
        within=3.0,
    ),
    "engine reports its group broken": _case(
        lambda zone: setattr(zone.engines_by_host["a-1"], "state", "broken"),
        ORIGINAL_MEMBERS,
        within=3.0,
    ),
    "member lost, then its replacement: two faults": _case(
        lambda zone: (_refuse(zone, "a-3"), zone.run(1.6), _refuse(zone, "a-4")),
        ("a-0", "a-1", "a-2", "a-5"),
        within=5.0,
        n_formed=3,
    ),
    "member lost without a spare, free domain elsewhere": _case(
        lambda zone: _refuse(zone, "a-3"), OTHER_DOMAIN, within=4.0, a=4, b=5
    ),
    "whole fabric domain dark": _case(
        lambda zone: _silence(zone, *DOMAIN_A), OTHER_DOMAIN, within=6.0
    ),
    "domain dark and the other one loses a host: two faults": _case(
        lambda zone: (_silence(zone, *DOMAIN_A), _refuse(zone, "b-0")),
        ("b-1", "b-2", "b-3", "b-4"),
        within=6.0,
    ),
    "member leaves by its own report, a whole group is free elsewhere": _case(
        lambda zone: setattr(zone.engines_by_host["a-3"], "leaving", True),
        OTHER_DOMAIN,
        within=8.0,
    ),
    "member leaves by the list, spare in its domain only": _case(
        lambda zone: _list_as_leaving(zone, "a-3"), WITH_SPARE_HOST, within=8.0, b=3
    ),
    "member paused again and again": _case(
        _pause_often, WITH_SPARE_HOST, within=8.0, a=5, b=0
    ),
    "short pause without a spare": _case(
        lambda zone: _pause_and_return(zone, 6.0),
        ORIGINAL_MEMBERS,
        within=2.0,
        n_formed=1,
        a=4,
        b=0,
    ),
}


@pytest.mark.parametrize(
    ("cause", "group", "within", "n_formed", "domains"), CASES.values(), ids=CASES
)
def test_zone_repairs_itself(
    cause: Callable[[Zone], object],
    group: tuple[str, ...],
    within: float,
    n_formed: int,
    domains: dict[str, int],
) -> None:
    """Cause each fault of the table.

    Guards against a group that stays down, or is dissolved needlessly, because the
    planner misinterprets the hosts' reports after the row's fault.
    """
    zone = _assert_formed_in_domain_a(_make_zone(**domains))
    cause(zone)
    zone.run_until(lambda: zone.groups() == [group], at_most=within)
    zone.run(20)
    assert zone.groups() == [group]
    assert zone.kinds().count("formed") == n_formed


@pytest.mark.parametrize(
    "leave",
    [lambda zone: _list_as_leaving(zone, "a-3"), _pause_often],
    ids=["listed as leaving", "paused often"],
)
def test_planned_replacement_costs_no_downtime(
    leave: Callable[[Zone], object],
) -> None:
    """Replace a member that still serves, while hosts for a second group are free.

    Guards against downtime of the model when a member is about to leave, because the
    old group is ended before the new group is complete.
    """
    zone = _assert_formed_in_domain_a(_make_zone(a=6, b=7))
    leave(zone)
    assert zone.seconds_down(20) == 0.0
    assert zone.groups() == [OTHER_DOMAIN]


def test_returning_member_is_not_counted_and_leaves() -> None:
    """Let a paused member return after it was replaced.

    Guards against one host in two groups: the member returns with its old boot id,
    group and fencing token, since it received no message about its replacement.
    """
    zone = _assert_formed_in_domain_a(_make_zone(a=5))
    _silence(zone, "a-3")
    zone.run_until(lambda: zone.groups() == [WITH_SPARE_HOST], at_most=8)
    zone.run(15)
    assert zone.group_of("a-3") == ""
    _answer_again(zone, "a-3")
    assert zone.engines_by_host["a-3"].group == "m-e0.1"
    zone.run(3)
    assert zone.engines_by_host["a-3"].state == "idle"
    assert zone.groups() == [WITH_SPARE_HOST]


def test_dead_host_does_not_keep_its_claim() -> None:
    """Lose a host permanently.

    Guards against a host that is never used again, even when a new host takes its
    name.  A member dies, its group is replaced, and the host stays in the hosts list
    for hours, while its claim waits for a report from the dead host.
    """
    zone = _assert_formed_in_domain_a(_make_zone(a=5))
    _silence(zone, "a-3")
    zone.run(8)
    assert zone.group_of("a-3") == "m-e0.1"
    zone.run(8)
    assert zone.group_of("a-3") == ""
    released = [change for change in zone.truth.changes if change.kind == "released"]
    assert [(change.hosts, change.reason) for change in released] == [
        (("a-3",), "dead")
    ]


def test_released_host_is_used_only_after_its_own_report() -> None:
    """Let a host that was released as dead return while a group lacks a member.

    Guards against a host that serves in two groups.  The host was cut off and returns
    still in its old group, after its claim was released.  The fault occurs if the
    host counts as free by the log alone.
    """
    zone = _assert_formed_in_domain_a(_make_zone(a=5))
    _silence(zone, "a-3")
    zone.run(20)
    _refuse(zone, "a-4")
    _answer_again(zone, "a-3")
    zone.run_until(lambda: "a-3" in (zone.groups() or [()])[0], at_most=8)
    orders = [order for order in zone.planners[0].sent if order.host == "a-3"]
    assert [order.kind for order in orders][-2:] == ["leave", "join"]


def test_surplus_groups_are_ended() -> None:
    """Lower the declared number of groups.

    Guards against hosts that stay claimed by undeclared groups.  Such groups remain
    after an operator lowers the number, or when an append whose answer was lost forms
    a group twice, if the planner only checks for missing groups.
    """
    zone = _make_zone(n_groups=2, a=4, b=5)
    models = {"m": Model(version="v1", n_groups=1)}
    zone.configuration = replace(zone.configuration, models=models)
    zone.run(60)
    assert len(zone.groups()) == 1 and len(zone.truth.groups_by_name) == 1


def test_repeated_and_lost_appends_form_one_group() -> None:
    """Lose each append at its first attempt, then execute it twice and late.

    Guards against two groups where one is declared.  The answer to an append is lost
    after the append took effect, and the planner treats a decision that was not read
    back as not made.
    """
    configuration = Configuration(models={"m": Model(version="v1")})
    zone = Zone(domains={"a": 4, "b": 4}, configuration=configuration)
    seen: set[str] = set()

    def delays_of(action: object) -> tuple[float, ...]:
        first = action.record_id not in seen
        seen.add(action.record_id)
        return () if first else (1.5, 2.5)

    zone.append_delays = delays_of
    zone.run(30)
    assert zone.kinds().count("formed") == 1 and len(zone.groups()) == 1


def test_every_repair_is_listed_for_operators() -> None:
    """Check cause, decision and outcome of the lines for a repair."""
    zone = _assert_formed_in_domain_a(_make_zone(a=5))
    process = zone.planners[0]
    repairs = PlacementHistory(
        placements_by_zone={"z": process.fold}, confirmations=process.confirmations
    )
    repairs.observe(now=zone.now)
    _refuse(zone, "a-3")
    for _ in range(200):
        zone.advance()
        repairs.observe(now=zone.now)
    replaced, released = repairs.lines[1:]
    assert replaced.cause == "a-3 refuses connections"
    assert replaced.decision.startswith("replaced m-e0.1 by m-e0.")
    assert replaced.decision.endswith("on a-0, a-1, a-2, a-4")
    assert replaced.outcome.startswith("serves since ")
    assert (
        released.cause == "dead"
        and released.decision == "released a-3 without its confirmation"
    )
    assert released.outcome.startswith("all its hosts were free after")


def _lose_orders_to_leave(zone: Zone) -> None:
    zone.order_delays = lambda order: () if order.kind == "leave" else (0.0,)


def test_host_that_has_not_left_stays_claimed() -> None:
    """Lose every order to leave.

    Guards against a host that is free according to the log while it serves its old
    group.  A model is removed from the configuration and the orders to leave are
    lost.  The fault occurs if a host counts as gone once it was ordered to leave.
    """
    zone = _assert_formed_in_domain_a(_make_zone(a=4))
    _lose_orders_to_leave(zone)
    zone.configuration = Configuration()
    zone.run(30)
    assert sorted(zone.truth.group_by_host) == list(ORIGINAL_MEMBERS)
    zone.order_delays = lambda _: (0.0,)
    zone.run(3)
    assert zone.truth.group_by_host == {}


def test_host_that_still_reports_a_group_is_not_chosen() -> None:
    """Lose the orders to leave to a host that was released as dead and has returned.

    Guards against a host that serves in two groups.  A member is cut off, released as
    dead, and returns in its old group while another group lacks a member.  The fault
    occurs if the host counts as free by the log alone.
    """
    zone = _assert_formed_in_domain_a(_make_zone(a=5))
    _silence(zone, "a-3")
    zone.run(20)
    _lose_orders_to_leave(zone)
    _refuse(zone, "a-4")
    _answer_again(zone, "a-3")
    zone.run(20)
    assert zone.group_of("a-3") == "" and zone.groups() == []
    zone.order_delays = lambda _: (0.0,)
    zone.run_until(lambda: zone.groups() == [("a-0", "a-1", "a-2", "a-3")], at_most=9)


def test_restart_is_detected_by_the_boot_id_alone() -> None:
    """Restart the only host of a group.

    Guards against a group that reloads without a cause shown to operators.  An engine
    that restarts between two reports is never missing and has only a new boot id.
    """
    zone = _make_zone(a=1, hosts_per_group=1)
    zone.engines_by_host["a-0"].restart()
    zone.run_until(lambda: zone.kinds() == ["formed", "formed"], at_most=2)
    assert zone.truth.changes[-1].reason == "a-0 was restarted"
