"""Test which entry hosts poll a backend server and how reports of peers are used."""

from __future__ import annotations

import pytest

from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.polling import (
    UNKNOWN_SERVER_INTERVAL,
    PollingAssignment,
    ReportPolling,
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


def new_assignment(host: str, *members: str) -> PollingAssignment:
    result = PollingAssignment(host=host)
    result.set_members(members)
    return result


def pollers(hosts: list[str]) -> dict[str, set[str]]:
    assignments_by_host = {host: new_assignment(host, *hosts) for host in hosts}
    return {
        server: {host for host in hosts if assignments_by_host[host].polls(server)}
        for server in SERVERS
    }


@pytest.mark.parametrize(
    ("n_hosts", "n_pollers"), [(1, 1), (2, 2), (3, 2), (8, 2)], ids=str
)
def test_each_server_is_polled_by_the_expected_number_of_hosts(
    n_hosts: int, n_pollers: int
) -> None:
    for server_pollers in pollers(HOSTS[:n_hosts]).values():
        assert len(server_pollers) == n_pollers


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
def test_ranks_of_pollers_by_size_of_the_zone(
    n_hosts: int, expected: list[int]
) -> None:
    """Guard against control traffic and time that grow with the number of entry hosts.

    One of eight entry hosts polls a server, and the others receive the report late.  At
    most hosts the report would be older than the age at which a host polls itself, so
    only small zones have a standby poller.
    """
    hosts = HOSTS[:n_hosts]
    for server in SERVERS:
        ranks = [new_assignment(host, *hosts).rank(server) for host in hosts]
        assert sorted(ranks) == expected


def test_removing_a_host_reassigns_only_its_own_servers() -> None:
    before, after = pollers(HOSTS), pollers(HOSTS[1:])
    for server in SERVERS:
        if HOSTS[0] not in before[server]:
            assert after[server] == before[server]


def test_polling_is_divided_evenly() -> None:
    counts = [
        sum(host in chosen for chosen in pollers(HOSTS).values()) for host in HOSTS
    ]
    assert max(counts) <= 2 * 2 * len(SERVERS) / len(HOSTS)
    assert rendezvous("w1", HOSTS, n_chosen=2) == rendezvous(
        "w1", HOSTS[::-1], n_chosen=2
    )


# (assignment, server, age of the newest report or None, seconds since this host's
# last poll, due)
ALONE = new_assignment("e0")
LARGE_ZONE = new_assignment("x", "a", "b", "c", "d", "e", "f")
UNASSIGNED_SERVER = next(server for server in SERVERS if not LARGE_ZONE.polls(server))
FIRST_SERVER = next(server for server in SERVERS if LARGE_ZONE.rank(server) == 0)
SMALL_ZONE = new_assignment("x", "a", "b", "c")
SECOND_SERVER = next(server for server in SERVERS if SMALL_ZONE.rank(server) == 1)


@pytest.mark.parametrize(
    ("assignment", "server", "age", "since", "due"),
    [
        pytest.param(ALONE, "w1", 0.1, 0.5, True, id="alone_polls"),
        pytest.param(ALONE, "w1", 0.1, 0.4, False, id="alone_at_interval"),
        pytest.param(LARGE_ZONE, FIRST_SERVER, 0.1, 0.5, True, id="first_polls"),
        pytest.param(LARGE_ZONE, FIRST_SERVER, 0.1, 0.4, False, id="first_at_interval"),
        pytest.param(SMALL_ZONE, SECOND_SERVER, 1.4, 9.0, False, id="second_informed"),
        pytest.param(SMALL_ZONE, SECOND_SERVER, 1.55, 0.5, True, id="second_late"),
        pytest.param(SMALL_ZONE, SECOND_SERVER, None, 0.5, True, id="second_unknown"),
        pytest.param(
            LARGE_ZONE, UNASSIGNED_SERVER, 1.5, 9.0, False, id="others_informed"
        ),
        pytest.param(LARGE_ZONE, UNASSIGNED_SERVER, 1.7, 0.5, True, id="others_late"),
        pytest.param(
            LARGE_ZONE, UNASSIGNED_SERVER, None, 0.5, False, id="unknown_waits"
        ),
        pytest.param(
            LARGE_ZONE,
            UNASSIGNED_SERVER,
            None,
            UNKNOWN_SERVER_INTERVAL,
            True,
            id="unknown_polled",
        ),
    ],
)
def test_when_a_server_is_polled(
    assignment: PollingAssignment,
    server: str,
    age: float | None,
    since: float,
    due: bool,
) -> None:
    """Guard against groups that no longer count as complete though their hosts work.

    Both pollers of a host die or are cut off from this entry host.  The other hosts
    must poll themselves instead of waiting for reports that no host sends.
    """
    following = ReportPolling(
        assignment=assignment, availability_zone="a", interval=0.5, max_age=2.0
    )
    assert following.is_due(server, zone="a", reported_at=None, now=100.0)
    now = 100.0 + since
    reported_at = None if age is None else now - age
    assert following.is_due(server, zone="a", reported_at=reported_at, now=now) == due


def new_fleet_watch() -> FleetWatch:
    settings = Settings(
        host="e1",
        availability_zone="a",
        report_interval=0.5,
        report_max_age=2.0,
        hosts_list_address="127.0.0.1:1",
        progress_timeout=1.0,
    )
    return FleetWatch(settings=settings, confirmations=Confirmations(max_age=2.0))


def record_report(fleet: FleetWatch, state: str, *, at: float, now: float) -> None:
    row = ReportRow(report=HostReport(host="w1", boot="b", state=state))
    fleet.observed(row, peer="e2", observed_at=at, now=now)


# (reports of peers as (state, time), state that is known at time 10)
@pytest.mark.parametrize(
    ("reports", "known"),
    [
        pytest.param([("ready", 9.0)], "ready", id="reported"),
        pytest.param([("ready", 7.0)], None, id="reported_too_late"),
        pytest.param([("ready", 9.0), ("idle", 9.5)], "idle", id="newer_wins"),
        pytest.param([("idle", 9.5), ("ready", 9.0)], "idle", id="superseded"),
        pytest.param([("ready", 9.0), (UNREACHABLE, 9.8)], None, id="refused"),
        pytest.param(
            [("ready", 9.0), ("ready", 9.6), (UNREACHABLE, 9.8)],
            "ready",
            id="refused_to_one_poller_only",
        ),
        pytest.param([(UNREACHABLE, 9.0), ("ready", 9.6)], "ready", id="returned"),
    ],
)
def test_reports_of_peers_on_a_server(
    reports: list[tuple[str, float]], known: str | None
) -> None:
    fleet = new_fleet_watch()
    for state, at in reports:
        record_report(fleet, state, at=at, now=10.0)
    report = fleet.confirmations.fresh("w1", now=10.0)
    assert (report.state if report else None) == known


@pytest.mark.parametrize(
    ("answering_host", "status", "known"),
    [("w1", 200, "w1"), ("w1", 503, None), ("w2", 200, None)],
)
def test_only_reports_of_the_polled_host_count(
    answering_host: str, status: int, known: str | None
) -> None:
    """Guard against a group that serves with a member missing.

    The host w1 dies or moves, another host takes its address or bears its name, and the
    list of hosts is out of date.  If a report were recorded under the name that it
    bears, regardless of the polled host, the report of one host would count for the
    other.
    """
    fleet = new_fleet_watch()
    body = encode(
        HostReport(host=answering_host, boot="b", state="ready", group="g", fencing=7)
    )
    answer = OutboundAnswer(
        id="q", status=status, headers={}, body=body, address="a:1", sent_at=9.0
    )
    fleet.answered(PendingRequest(kind="report", subject="w1"), answer)
    assert list(fleet.confirmations.reports_by_host) == ([known] if known else [])


def test_a_refused_connection_outweighs_earlier_reports_of_peers() -> None:
    """Guard against a dead host that counts as confirmed again.

    A connection to the host is refused, and an earlier report arrives late, from a peer
    or as the answer to a delayed poll or order of this host.  Since the refusal removes
    the known report, the earlier report would look new.
    """
    fleet = new_fleet_watch()
    fleet.refused("w1", at=9.5)
    record_report(fleet, "ready", at=9.4, now=10.0)
    assert fleet.confirmations.fresh("w1", now=10.0) is None
    late = HostReported(
        report=HostReport(host="w1", boot="b", state="ready"), requested_at=9.3
    )
    fleet.fire(host_reported(late), "fleet")
    fleet.flush()
    assert fleet.confirmations.fresh("w1", now=10.0) is None
    record_report(fleet, "ready", at=9.7, now=10.0)
    assert fleet.confirmations.fresh("w1", now=10.0) is not None
