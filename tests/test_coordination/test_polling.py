"""Test who asks which backend server, and what is made of others' reports."""

from __future__ import annotations

import pytest

from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.polling import (
    UNKNOWN_INTERVAL,
    PollingShares,
    ReportFollowing,
    rendezvous,
)
from ryelever.events import HostReported, OutboundAnswer, host_reported
from ryelever.fleet_watch import UNREACHABLE, FleetWatch
from ryelever.protocol.json_codec import encode
from ryelever.request_sender import PendingRequest
from ryelever.settings import Settings
from ryelever.state.fleet import HostReport
from ryelever.state.observations import ReportRow

HOSTS = [f"e{index}" for index in range(8)]
SERVERS = [f"w{index}" for index in range(60)]


def shares(host: str, *members: str) -> PollingShares:
    made = PollingShares(host=host)
    made.set_members(members)
    return made


def askers(hosts: list[str]) -> dict[str, set[str]]:
    shares_by_host = {host: shares(host, *hosts) for host in hosts}
    return {
        server: {host for host in hosts if shares_by_host[host].asks(server)}
        for server in SERVERS
    }


@pytest.mark.parametrize(
    ("n_hosts", "n_askers"), [(1, 1), (2, 2), (3, 2), (8, 2)], ids=str
)
def test_each_server_is_asked_by_as_many_as_there_should_be(
    n_hosts: int, n_askers: int
) -> None:
    for server_askers in askers(HOSTS[:n_hosts]).values():
        assert len(server_askers) == n_askers


@pytest.mark.parametrize(
    ("n_hosts", "expected"),
    [
        (2, [0, 0]),
        (3, [0, 1, 2]),
        (4, [0, 1, 2, 2]),
        (5, [0, 0, 2, 2, 2]),
        (8, [0, 0] + [2] * 6),
    ],
    ids=str,
)
def test_who_asks_first_and_who_stands_by(n_hosts: int, expected: list[int]) -> None:
    """Let a second host stand by only where it learns soon enough.

    Symptom: control spends more bytes and time with more entry hosts.
    Sequence: one of eight entry hosts asks a server; the others learn of it late.
    Cause: reports older than the limit for asking oneself at most hosts.
    """
    hosts = HOSTS[:n_hosts]
    for server in SERVERS:
        ranks = [shares(host, *hosts).rank(server) for host in hosts]
        assert sorted(ranks) == expected


def test_a_host_that_goes_moves_only_its_own_share() -> None:
    before, after = askers(HOSTS), askers(HOSTS[1:])
    for server in SERVERS:
        if HOSTS[0] not in before[server]:
            assert after[server] == before[server]


def test_work_is_shared_evenly() -> None:
    counts = [
        sum(host in chosen for chosen in askers(HOSTS).values()) for host in HOSTS
    ]
    assert max(counts) <= 2 * 2 * len(SERVERS) / len(HOSTS)
    assert rendezvous("w1", HOSTS, n_chosen=2) == rendezvous(
        "w1", HOSTS[::-1], n_chosen=2
    )


# (shares, age of the newest report or None, seconds since the own question, due)
SILENT = shares("e0")
OTHERS = shares("x", "a", "b", "c", "d", "e", "f")
OTHERS_SERVER = next(server for server in SERVERS if not OTHERS.asks(server))
FIRST_SERVER = next(server for server in SERVERS if OTHERS.rank(server) == 0)
FEW = shares("x", "a", "b", "c")
SECOND_SERVER = next(server for server in SERVERS if FEW.rank(server) == 1)


@pytest.mark.parametrize(
    ("who", "server", "age", "since", "due"),
    [
        pytest.param(SILENT, "w1", 0.1, 0.5, True, id="alone_asks"),
        pytest.param(SILENT, "w1", 0.1, 0.4, False, id="alone_at_interval"),
        pytest.param(OTHERS, FIRST_SERVER, 0.1, 0.5, True, id="first_asks"),
        pytest.param(OTHERS, FIRST_SERVER, 0.1, 0.4, False, id="first_at_interval"),
        pytest.param(FEW, SECOND_SERVER, 1.4, 9.0, False, id="second_told"),
        pytest.param(FEW, SECOND_SERVER, 1.55, 0.5, True, id="second_late"),
        pytest.param(FEW, SECOND_SERVER, None, 0.5, True, id="second_unknown"),
        pytest.param(OTHERS, OTHERS_SERVER, 1.5, 9.0, False, id="others_told"),
        pytest.param(OTHERS, OTHERS_SERVER, 1.7, 0.5, True, id="others_late"),
        pytest.param(OTHERS, OTHERS_SERVER, None, 0.5, False, id="unknown_waits"),
        pytest.param(
            OTHERS, OTHERS_SERVER, None, UNKNOWN_INTERVAL, True, id="unknown_asked"
        ),
    ],
)
def test_when_a_server_is_asked(
    who: PollingShares, server: str, age: float | None, since: float, due: bool
) -> None:
    """Ask by share, and by oneself when the sharing does not work.

    Symptom: groups stop counting as whole while their hosts are well.
    Sequence: both askers of a host die or are cut off from this entry host.
    Cause: the others would wait for reports that nobody passes on.
    """
    following = ReportFollowing(
        shares=who, availability_zone="a", interval=0.5, max_age=2.0
    )
    assert following.is_due(server, zone="a", reported_at=None, now=100.0)
    now = 100.0 + since
    reported_at = None if age is None else now - age
    assert following.is_due(server, zone="a", reported_at=reported_at, now=now) == due


def watch() -> FleetWatch:
    settings = Settings(
        host="e1",
        availability_zone="a",
        report_interval=0.5,
        report_max_age=2.0,
        hosts_list_address="127.0.0.1:1",
        progress_timeout=1.0,
    )
    return FleetWatch(settings=settings, confirmations=Confirmations(max_age=2.0))


def tell(fleet: FleetWatch, state: str, *, at: float, now: float) -> None:
    row = ReportRow(report=HostReport(host="w1", boot="b", state=state))
    fleet.observed(row, peer="e2", observed_at=at, now=now)


# (words of peers as (state, time), state that is known at time 10)
@pytest.mark.parametrize(
    ("words", "known"),
    [
        pytest.param([("ready", 9.0)], "ready", id="told"),
        pytest.param([("ready", 7.0)], None, id="told_too_late"),
        pytest.param([("ready", 9.0), ("idle", 9.5)], "idle", id="newer_wins"),
        pytest.param([("idle", 9.5), ("ready", 9.0)], "idle", id="overtaken"),
        pytest.param([("ready", 9.0), (UNREACHABLE, 9.8)], None, id="refused"),
        pytest.param(
            [("ready", 9.0), ("ready", 9.6), (UNREACHABLE, 9.8)],
            "ready",
            id="refused_to_one_asker_only",
        ),
        pytest.param([(UNREACHABLE, 9.0), ("ready", 9.6)], "ready", id="came_back"),
    ],
)
def test_what_peers_tell_of_a_server(
    words: list[tuple[str, float]], known: str | None
) -> None:
    fleet = watch()
    for state, at in words:
        tell(fleet, state, at=at, now=10.0)
    report = fleet.confirmations.fresh("w1", now=10.0)
    assert (report.state if report else None) == known


@pytest.mark.parametrize(
    ("who", "status", "known"),
    [("w1", 200, "w1"), ("w1", 503, None), ("w2", 200, None)],
)
def test_only_the_host_that_was_asked_counts(
    who: str, status: int, known: str | None
) -> None:
    """Ask at the address of w1, and let it or another host answer.

    Symptom: a group serves, to all entry hosts, with a member missing.
    Sequence: w1 dies or moves, another host takes its address or bears its name,
    the list lags; the word of the one counts for the other.
    Cause: the report was filed under the name that it bears, whoever was asked.
    """
    fleet = watch()
    body = encode(HostReport(host=who, boot="b", state="ready", group="g", fencing=7))
    answer = OutboundAnswer(
        id="q", status=status, headers={}, body=body, address="a:1", sent_at=9.0
    )
    fleet.answered(PendingRequest(kind="report", subject="w1"), answer)
    assert list(fleet.confirmations.reports_by_host) == ([known] if known else [])


def test_an_own_refusal_outweighs_earlier_reports_of_peers() -> None:
    """Believe one's own refused connection over a report from before it.

    Symptom: a dead host counts as confirmed again after its refusal was seen.
    Sequence: a connection is refused; a report from before arrives late, by a peer or
    as the answer to an own question or order that lingered.
    Cause: the refusal removes the report, so an older one would look new.
    """
    fleet = watch()
    fleet.refused("w1", at=9.5)
    tell(fleet, "ready", at=9.4, now=10.0)
    assert fleet.confirmations.fresh("w1", now=10.0) is None
    late = HostReported(
        report=HostReport(host="w1", boot="b", state="ready"), asked_at=9.3
    )
    fleet.fire(host_reported(late), "fleet")
    fleet.flush()
    assert fleet.confirmations.fresh("w1", now=10.0) is None
    tell(fleet, "ready", at=9.7, now=10.0)
    assert fleet.confirmations.fresh("w1", now=10.0) is not None
