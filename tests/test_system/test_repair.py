"""Test the repair of groups after signals to real processes (SIGKILL, SIGSTOP)."""

from __future__ import annotations

import signal
from typing import Any

import httpx
import pytest

from ..processes import EntryHost, Fleet, wait_until

HOSTS = tuple(f"h{number}" for number in range(5))


@pytest.fixture
def zone(fleet: Fleet, request: pytest.FixtureRequest) -> Fleet:
    """Start one group, a spare host and two entry hosts.

    The engines check fencing tokens unless a test passes False as parameter.
    """
    fleet.start_platform()
    checks_fencing = getattr(request, "param", True)
    flag = "--checks-fencing" if checks_fencing else "--no-checks-fencing"
    fleet.start_engines(*HOSTS, zone="z", domain="d", arguments=(flag,))
    for row in fleet.listed_by_name.values():
        row["checks_fencing"] = checks_fencing
    fleet.publish_list()
    fleet.publish(
        {
            "models": {"notes": {"version": "v1"}},
            "client_accounts": {"pawroute": fleet.account("pawroute")},
        }
    )
    for name in ("e1", "e2"):
        fleet.start_entry(name, zone="z", lease_term=3.0)
    wait_until(lambda: _members(fleet), what="the group is complete on all entry hosts")
    return fleet


def _members(fleet: Fleet, *entries: EntryHost) -> tuple[str, ...]:
    """Return the members of the only complete group; empty if entry hosts differ."""
    seen = set()
    for entry in entries or fleet.entries_by_name.values():
        complete = [group for group in entry.dump()["groups"] if group["whole"]]
        if len(complete) != 1:
            return ()
        seen.add(tuple(complete[0]["members"]))
    return seen.pop() if len(seen) == 1 else ()


def _lease_holder(fleet: Fleet) -> str:
    lease = next(iter(fleet.entries_by_name.values())).dump()["leases"]["z"]
    return lease["holder"].partition("/")[0]


def _hosts(entry: EntryHost) -> dict[str, Any]:
    return entry.dump()["hosts"]


def test_killed_member_is_replaced_and_reported_to_operators(zone: Fleet) -> None:
    """Kill a member of the group.

    Guards against a group that stays down after SIGKILL of one engine because no
    planner replaces the killed member.
    """
    before = _members(zone)
    lost = before[2]
    zone.processes_by_name[lost].kill()
    members = wait_until(
        lambda: (now := _members(zone)) and lost not in now and now,
        what="a spare host has replaced the member",
    )
    assert set(members) == set(HOSTS) - {lost}
    for entry in zone.entries_by_name.values():
        wait_until(
            lambda entry=entry: any(
                lost in line["cause"] and line["outcome"].startswith("serves since")
                for line in entry.dump()["repairs"]
            ),
            what="the dump shows the repair with its outcome",
        )


@pytest.mark.parametrize("zone", [True, False], indirect=True)
def test_resumed_member_leaves_its_former_group(zone: Fleet) -> None:
    """Pause a member until it is replaced, then resume it.

    Guards against one host that is in two groups.  The member gets SIGSTOP, is
    replaced, and gets SIGCONT; orders and polls sent during the pause wait in its
    sockets.  The resumed member must not act as if it still belonged to its former
    group.
    """
    lost = _members(zone)[1]
    zone.processes_by_name[lost].send(signal.SIGSTOP)
    members = wait_until(
        lambda: (now := _members(zone)) and lost not in now and now,
        what="a spare host has replaced the member",
    )
    zone.processes_by_name[lost].send(signal.SIGCONT)
    entry = next(iter(zone.entries_by_name.values()))
    wait_until(
        lambda: _hosts(entry)[lost]["reported"] == "idle",
        what="the resumed member has left its former group",
    )
    assert _members(zone) == members


def test_resumed_lease_holder_sends_no_orders(zone: Fleet) -> None:
    """Pause the planner that holds the lease while a member is killed.

    Guards against two planners that send orders to the same hosts.  The lease holder
    gets SIGSTOP, a member gets SIGKILL, the other planner takes the lease and repairs
    the group, and the former holder gets SIGCONT.  The resumed holder must not plan
    with its state from before the pause.
    """
    name = _lease_holder(zone)
    other = next(
        entry for known, entry in zone.entries_by_name.items() if known != name
    )
    lost = _members(zone)[3]
    paused = zone.processes_by_name[name]
    paused.send(signal.SIGSTOP)
    zone.processes_by_name[lost].kill()
    members = wait_until(
        lambda: (now := _members(zone, other)) and lost not in now and now,
        what="the other planner has repaired the group",
    )
    n_orders = len(paused.events("order_sent"))
    paused.send(signal.SIGCONT)
    wait_until(lambda: _members(zone) == members, what="both entry hosts agree again")
    assert len(paused.events("order_sent")) == n_orders
    streams = other.dump()["streams"]["placement-z"]
    assert all("lease" in row["reason"] for row in streams["ignored"])


def test_lease_is_returned_on_graceful_shutdown(zone: Fleet) -> None:
    """Stop the lease holder gracefully; the other planner takes the lease at once."""
    name = _lease_holder(zone)
    holder = zone.entries_by_name.pop(name)
    assert holder.process.stop() == 0
    assert holder.process.events("lease_given_back")
    wait_until(
        lambda: _lease_holder(zone) != name, what="the other planner holds the lease"
    )


@pytest.mark.parametrize(
    ("checks_fencing", "window_ms", "obeyed", "refused_as"),
    [
        (True, 60_000, "new", "n_stale_orders"),
        (True, 100, "new", "n_expired_orders"),
        (False, 100, "new", "n_expired_orders"),
        # An engine without fencing obeys the old order: the planner must form no new
        # group of its host before orders sent earlier have expired.
        (False, 60_000, "old", None),
    ],
)
def test_delayed_join_order(
    fleet: Fleet,
    checks_fencing: bool,
    window_ms: int,
    obeyed: str,
    refused_as: str | None,
) -> None:
    """Deliver a join order after its host has joined another group.

    Guards against a healthy host that leaves a complete group.  An order is delayed on
    its way, its group is dissolved, the host joins another group, and the order
    arrives.  An engine obeys the order that arrives last, unless the fencing token or
    the expiry time shows that the order is outdated.
    """
    flag = "--checks-fencing" if checks_fencing else "--no-checks-fencing"
    address = fleet.start_standin("h", "engine", "--host", "h", flag)
    report = httpx.get(f"http://{address}/v1/report").json()
    old = _join(address, group="old", fencing=1)
    old["expires_ms"] = report["clock_ms"] + window_ms
    fleet.control("h", order_delay=1.0)
    assert httpx.post(f"http://{address}/v1/orders", json=old).status_code == 504
    new = _join(address, group="new", fencing=2)
    assert httpx.post(f"http://{address}/v1/orders", json=new).status_code == 200
    if refused_as:
        wait_until(
            lambda: fleet.counts("h")[refused_as] == 1, what="the old order is refused"
        )
    wait_until(
        lambda: httpx.get(f"http://{address}/v1/report").json()["group"] == obeyed,
        what=f"the host is in {obeyed}",
    )


def _join(address: str, *, group: str, fencing: int) -> dict[str, Any]:
    return {
        "id": group,
        "kind": "join",
        "group": group,
        "fencing": fencing,
        "rank": 0,
        "members": [address],
        "model": "m",
        "version": "v1",
        "adapters": [],
        "expires_ms": 0,
    }
