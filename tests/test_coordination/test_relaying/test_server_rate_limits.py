"""Test what a host knows of backend servers' rate limits, and its part of them."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import HostHeartbeat
from ryelever.coordination.relaying import NamedLimit
from ryelever.coordination.relaying.limit_shares import (
    TokenBucket,
    WantedBy,
    share_of,
)
from ryelever.coordination.relaying.rate_limits import (
    COLD_SLACK,
    ENDED_TOLD_FOR,
    KEPT_WITHOUT_ENTRY,
    ServerRateLimits,
)
from ryelever.state.directory import Directory
from ryelever.state.observations import RateLimitRow
from ryelever.state.routes import RouteKind

from ..test_groups.group_fakes import server
from .relay_fakes import Relaying, head

HOSTS_BY_ZONE = {"x": ("x1", "x2", "x3"), "y": ("y1", "y2"), "z": ("z1", "z2")}


@pytest.fixture
def directory() -> Directory:
    directory = Directory()
    directory.put(server("i1", zone="y"), now=0.0)
    return directory


@pytest.fixture
def limits(directory: Directory) -> ServerRateLimits:
    return ServerRateLimits(directory=directory, cold_rate=lambda service: 17.0)


def _answered(
    limits: ServerRateLimits, rate: float | None, *, now: float, sent_at: float = -1.0
) -> bool:
    sent_at = now - 0.1 if sent_at < 0 else sent_at
    return limits.answered("i1", rate, sent_at=sent_at, now=now)


def _share_out(limits: ServerRateLimits, *, now: float) -> None:
    limits.share_out(host="y1", zone="y", heartbeats=[], now=now)


def _heartbeat(host: str, zone: str) -> HostHeartbeat:
    return HostHeartbeat(
        host=host,
        availability_zone=zone,
        reads_store=True,
        stopping=False,
        configuration_version=1,
    )


def _shares(rate: float, *, wanting: set[str]) -> dict[str, float]:
    """Return the part of each host, as it divides by what it hears."""
    shares = {}
    for zone, hosts in HOSTS_BY_ZONE.items():
        for host in hosts:
            wanted_by = WantedBy(host=host, zone=zone)
            wanted_by.add_own(is_wanted=host in wanting)
            for other in hosts:
                if other != host:
                    wanted_by.add(_heartbeat(other, zone), is_wanted=other in wanting)
            for far, far_hosts in HOSTS_BY_ZONE.items():
                if far != zone:
                    is_wanted = bool(wanting & set(far_hosts))
                    wanted_by.add(_heartbeat(far_hosts[0], far), is_wanted=is_wanted)
            shares[host] = share_of("i1", rate, home_zone="y", wanted_by=wanted_by)
    return shares


@pytest.mark.parametrize("rate", [0.25, 1.0, 1.4, 2.0, 3.5, 7.0, 50.0])
@pytest.mark.parametrize(
    "wanting",
    [
        pytest.param(set(), id="nobody"),
        pytest.param({"z2"}, id="one"),
        pytest.param({"x1", "x3", "z1"}, id="some"),
        pytest.param(
            {host for hosts in HOSTS_BY_ZONE.values() for host in hosts}, id="all"
        ),
    ],
)
def test_parts_sum_up_to_the_limit(rate: float, wanting: set[str]) -> None:
    shares = _shares(rate, wanting=wanting)
    assert sum(shares.values()) == pytest.approx(rate)
    holders = {host for host, share in shares.items() if share}
    assert len(holders) <= max(1.0, rate / 2)
    assert holders <= (wanting or set(shares))


def test_hosts_of_a_servers_own_zone_come_first() -> None:
    everybody = {host for hosts in HOSTS_BY_ZONE.values() for host in hosts}
    shares = _shares(1.0, wanting=everybody)
    assert {host[0] for host, share in shares.items() if share} == {"y"}


def test_a_bucket_starts_empty_and_never_allows_more_than_its_rate() -> None:
    bucket = TokenBucket()
    bucket.set_rate(2.0, now=10.0)
    assert not bucket.has_token(now=10.4)
    taken = []
    for index in range(400):
        now = 10.0 + index * 0.01
        if bucket.has_token(now=now):
            bucket.take(now=now)
            taken.append(now)
    assert len(taken) == 7
    bucket.set_rate(0.0, now=20.0)
    bucket.set_rate(2.0, now=21.0)
    assert not bucket.has_token(now=21.0)


def test_an_answer_that_was_overtaken_ends_no_limit(limits: ServerRateLimits) -> None:
    """Guard against a limit that is lost to the answer of an older request."""
    assert _answered(limits, 1.0, now=5.0)
    assert not _answered(limits, None, sent_at=4.9, now=5.1)
    assert limits.rate("i1", now=10.0) == 1.0
    assert _answered(limits, None, sent_at=5.1, now=5.2)
    assert limits.rate("i1", now=10.0) is None


def test_a_server_that_starts_again_under_its_id_has_no_limit(
    directory: Directory, limits: ServerRateLimits
) -> None:
    """Guard against a limit of a former incarnation, own or told by another host."""
    _answered(limits, 1.0, now=5.0)
    directory.put(replace(server("i1", zone="y"), started_at=2), now=6.0)
    assert limits.rate("i1", now=10.0) is None
    row = RateLimitRow(server_id="i1", rate=1.0, age=0.1, started_at=1)
    limits.heard([row], now=6.1)
    assert limits.allows("i1", now=6.1)
    limits.heard([replace(row, started_at=2)], now=6.1)
    assert not limits.allows("i1", now=6.1)


def test_only_what_own_answers_said_is_told(limits: ServerRateLimits) -> None:
    """Guard against limits that seem newer each time a host passes them on."""
    limits.heard([RateLimitRow(server_id="i1", rate=2.0, age=1.0)], now=5.0)
    assert limits.rate("i1", now=10.0) == 2.0
    assert limits.told(now=5.0) == ()
    _answered(limits, 3.0, now=6.0)
    limits.heard([RateLimitRow(server_id="i1", rate=2.0, age=1.0)], now=6.5)
    [row] = limits.told(now=6.5)
    assert (row.rate, row.age, row.started_at) == (3.0, 0.5, 1)


def test_the_end_of_a_limit_is_told_for_a_while(limits: ServerRateLimits) -> None:
    _answered(limits, 3.0, now=6.0)
    _answered(limits, None, now=7.0)
    _share_out(limits, now=7.1)
    assert [row.rate for row in limits.told(now=7.1)] == [None]
    assert limits.allows("i1", now=7.1)
    later = 7.1 + ENDED_TOLD_FOR
    _share_out(limits, now=later)
    assert limits.told(now=later) == ()


def test_a_limit_outlives_an_entry_that_lapses(
    directory: Directory, limits: ServerRateLimits
) -> None:
    """Guard against an outage of the store after which no limit is known."""
    _answered(limits, 1.0, now=6.0)
    directory.remove("i1", heard_at=6.0)
    _share_out(limits, now=6.0 + KEPT_WITHOUT_ENTRY - 1.0)
    assert limits.rate("i1", now=10.0) == 1.0
    _share_out(limits, now=6.0 + KEPT_WITHOUT_ENTRY + 1.0)
    assert limits.rate("i1", now=10.0) is None


def test_a_limit_that_makes_no_sense_changes_nothing() -> None:
    """Guard against an unreadable limit that is taken for none."""
    relaying = Relaying(n_servers=1)
    for number, named in enumerate([NamedLimit(text="0", rate=0.0), None], start=1):
        named = named or NamedLimit(text="few", rate=None)
        relaying.arrive(RouteKind.IDEMPOTENT, number=number, now=0.0)
        answer = head(f"r{number}", rate_limit=named)
        relaying.requests.answer_head(relaying.sent[-1].id, answer, now=0.1 * number)
    assert relaying.balancer.limits.rate("p0", now=10.0) == 0.0


def test_a_wrong_servers_answer_says_nothing_of_a_limit() -> None:
    """Guard against a limit of the server that has the address now."""
    relaying = Relaying(n_servers=1)
    relaying.arrive(RouteKind.IDEMPOTENT)
    named = NamedLimit(text="0", rate=0.0)
    answer = head(status=421, not_run=True, wrong_server=True, rate_limit=named)
    relaying.requests.answer_head(relaying.sent[0].id, answer, now=0.1)
    assert relaying.balancer.limits.rate("p0", now=10.0) is None


def test_sendings_again_keep_to_the_limit() -> None:
    """Guard against repeats that go to a limited server beside its allowance."""
    relaying = Relaying(n_servers=2)
    relaying.balancer.limits.answered("p1", 2.0, sent_at=0.0, now=0.0)
    relaying.arrive(RouteKind.IDEMPOTENT, now=0.1)
    assert [attempt.server_id for attempt in relaying.sent] == ["p0"]
    relaying.requests.attempt_failed(relaying.sent[0].id, "reset", sent=True, now=0.2)
    assert len(relaying.sent) == 1
    relaying.balancer.limits.share_out(host="a", zone="z", heartbeats=[], now=0.2)
    relaying.requests.tick(now=0.9)
    assert [attempt.server_id for attempt in relaying.sent] == ["p0", "p1"]


def _limited_relaying(rate: float) -> Relaying:
    """Return a host whose only server for plain requests takes so many a second."""
    relaying = Relaying(n_servers=1)
    relaying.balancer.limits.answered("p0", rate, sent_at=0.0, now=0.0)
    relaying.balancer.limits.share_out(host="a", zone="z", heartbeats=[], now=0.0)
    return relaying


def test_who_finds_no_place_within_a_limit_hears_at_once() -> None:
    """Guard against callers that wait for a place that a rate limit can't give them."""
    relaying = _limited_relaying(3.0)
    for number in range(1, 6):
        relaying.arrive(RouteKind.IDEMPOTENT, number=number, now=0.0)
    assert relaying.sent == []
    assert [item[:3] for item in relaying.out] == [
        ("refuse", number, 503) for number in (3, 4, 5)
    ]
    # A third request could be sent after one second.
    assert [item[3] for item in relaying.out] == [pytest.approx(1.0)] * 3
    for now in (0.35, 0.7):
        relaying.requests.tick(now=now)
    assert [attempt.request_number for attempt in relaying.sent] == [1, 2]


def _has_part(relaying: Relaying, host: str, others: list[HostHeartbeat]) -> bool:
    """Divide the limit as a host of that name, and tell whether it has a part."""
    limits = relaying.balancer.limits
    limits.share_out(host=host, zone="z", heartbeats=others, now=0.0)
    return limits.allowance("p0", seconds=1.0, now=0.0).rate > 0


def test_who_may_send_nothing_to_a_limited_server_refuses_at_once() -> None:
    """Guard against waiting at a host that has no part of the only limit."""
    relaying = Relaying(n_servers=1)
    relaying.balancer.limits.answered("p0", 2.0, sent_at=0.0, now=0.0)
    others = [replace(_heartbeat(name, "z"), wanted_servers=("p0",)) for name in "bcd"]
    # As the first that has none among these.
    assert next(name for name in "efghi" if not _has_part(relaying, name, others))
    relaying.arrive(RouteKind.AT_MOST_ONCE, now=0.0)
    [(kind, _, status, retry_after)] = relaying.out
    assert (kind, status) == ("refuse", 503)
    assert 0 < retry_after < 1


def test_one_server_without_a_limit_is_waited_for() -> None:
    """Guard against refusals while another server may have a place in a moment."""
    relaying = Relaying(n_servers=2, slots=1)
    relaying.balancer.limits.answered("p0", 0.0, sent_at=0.0, now=0.0)
    for number in range(1, 6):
        relaying.arrive(RouteKind.IDEMPOTENT, number=number, now=0.0)
    assert {attempt.server_id for attempt in relaying.sent} == {"p1"}
    assert relaying.out == []


def test_a_cold_server_is_limited_from_the_first_moment(
    directory: Directory, limits: ServerRateLimits
) -> None:
    """Guard against requests to a server that has come back cold a moment ago."""
    directory.put(replace(server("i1", zone="y"), cold_for=3.0), now=5.0)
    assert not limits.allows("i1", now=5.0)
    _share_out(limits, now=5.1)
    assert not limits.allows("i1", now=5.1)
    assert limits.allows("i1", now=5.3)
    directory.put(server("i1", zone="y"), now=6.0)
    assert limits.rate("i1", now=6.0) is None


def test_the_lower_of_two_limits_holds(
    directory: Directory, limits: ServerRateLimits
) -> None:
    _answered(limits, 2.0, now=5.0)
    directory.put(replace(server("i1", zone="y"), cold_for=3.0), now=5.0)
    assert limits.rate("i1", now=5.0) == 2.0
    _answered(limits, 40.0, now=6.0)
    assert limits.rate("i1", now=6.0) == 17.0
    # Its entry may be late.
    assert limits.rate("i1", now=8.0 + 2 * COLD_SLACK) == 40.0
