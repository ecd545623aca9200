"""Test that the running sums over peers equal newly computed sums."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryelever.coordination.limits.peers import (
    LIVENESS_ACCOUNT,
    SILENT_AFTER,
    PeerDemands,
)
from ryelever.state.observations import DemandRow

ACCOUNTS = ["a", "b"]


def row(client_account: str, rate: float, n_waiting: int = 0) -> DemandRow:
    """Return a row of demand."""
    return DemandRow(
        client_account=client_account, rate=rate, n_in_flight=0, n_waiting=n_waiting
    )


def demands_by_account(
    peers: PeerDemands,
) -> dict[str, tuple[float, float, float, float]]:
    """Return the rates and requests of live and silent peers by account."""
    sides = {name: (peers.live(name), peers.silent(name)) for name in ACCOUNTS}
    return {
        name: (live.rate, live.n_requests, silent.rate, silent.n_requests)
        for name, (live, silent) in sides.items()
    }


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["x", "y", "z"]),
        st.sampled_from([*ACCOUNTS, LIVENESS_ACCOUNT]),
        st.sampled_from([0.0, 0.5, 2.25]),
        st.sampled_from([0, 3]),
        st.sampled_from([0.0, 1.0, 4.0]),
    ),
    max_size=30,
)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_running_sums_equal_newly_computed_sums(steps: list) -> None:
    peers = PeerDemands()
    rows: dict[tuple[str, str], tuple[float, int]] = {}
    last_seen_at: dict[str, float] = {}
    now = 0.0
    for peer, name, rate, n_waiting, passed in steps:
        now += passed
        peers.observe(row(name, rate, n_waiting), peer=peer, observed_at=now, now=now)
        rows[peer, name] = (rate, n_waiting)
        last_seen_at[peer] = now
        peers.update_liveness(now=now)
        peers.forget(seen_before=now - 10.0)
        last_seen_at = {key: at for key, at in last_seen_at.items() if at >= now - 10.0}
        rows = {key: kept for key, kept in rows.items() if key[0] in last_seen_at}
        live = {key for key, at in last_seen_at.items() if now - at <= SILENT_AFTER}
        expected = {}
        for account in ACCOUNTS:
            sides = [[0.0, 0.0], [0.0, 0.0]]
            for (owner, of), (counted, n_requests) in rows.items():
                if of == account:
                    side = sides[owner not in live]
                    side[0] += counted
                    side[1] += n_requests
            expected[account] = (*sides[0], *sides[1])
        assert demands_by_account(peers) == expected
        assert peers.n_live == len(live)
        waiting = [rows.get((key, LIVENESS_ACCOUNT), (0.0, 0))[1] for key in live]
        assert peers.n_live_waiting == sum(n > 0 for n in waiting)
        assert len(peers) == len(last_seen_at)


def test_changing_rows_leave_no_remainder() -> None:
    """Guard against demand that remains after it has ended at all peers.

    Two peers announce many rates, one after the other, and then none; a third announces
    the same rate all the time. Sums of floats would keep a remainder, and after days an
    account's shares would no longer add up to its limit.
    """
    peers = PeerDemands()
    peers.observe(row("a", 1.0), peer="z", observed_at=0.0, now=0.0)
    for index in range(1000):
        for name, rate in (("x", 1e6 / (index + 1)), ("y", 0.1 * index)):
            peers.observe(row("a", rate), peer=name, observed_at=0.0, now=0.0)
    for name in ("x", "y"):
        peers.observe(row("a", 0.0), peer=name, observed_at=0.0, now=0.0)
    assert peers.live("a").rate == 1.0
    peers.observe(row("a", 0.0), peer="z", observed_at=0.0, now=0.0)
    assert not peers.accounts()


@pytest.mark.parametrize("rate", [float("nan"), float("inf")])
def test_row_without_a_number_is_ignored(rate: float) -> None:
    """Guard against a rate that is not a number.

    Added to a sum, it would make the sum not a number for good, and the account would
    be refused at all hosts.
    """
    peers = PeerDemands()
    peers.observe(row("a", 2.0), peer="x", observed_at=0.0, now=0.0)
    peers.observe(row("a", rate), peer="y", observed_at=0.0, now=0.0)
    assert peers.live("a").rate == 2.0
    assert len(peers) == 1
