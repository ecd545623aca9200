"""Test the known rate limits of backend servers and a host's share of them."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import HostHeartbeat
from ryelever.coordination.relaying import NamedLimit
from ryelever.coordination.relaying.limit_shares import (
    RequestingHosts,
    TokenBucket,
    share_of,
)
from ryelever.coordination.relaying.rate_limits import (
    COLD_GRACE,
    ENDED_ANNOUNCED_FOR,
    RETENTION_WITHOUT_ENTRY,
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
    return limits.record_answer("i1", rate, sent_at=sent_at, now=now)


def _share_out(limits: ServerRateLimits, *, now: float) -> None:
    limits.update_shares(host="y1", zone="y", heartbeats=[], now=now)


def _heartbeat(host: str, zone: str) -> HostHeartbeat:
    return HostHeartbeat(
        host=host,
        availability_zone=zone,
        reads_store=True,
        stopping=False,
        configuration_version=1,
    )


def _shares(rate: float, *, requesting: set[str]) -> dict[str, float]:
    """Return each host's share, computed from the heartbeats that it receives."""
    shares = {}
    for zone, hosts in HOSTS_BY_ZONE.items():
        for host in hosts:
            requesting_hosts = RequestingHosts(host=host, zone=zone)
            requesting_hosts.add_local(has_demand=host in requesting)
            for other in hosts:
                if other != host:
                    requesting_hosts.add(
                        _heartbeat(other, zone), has_demand=other in requesting
                    )
            for far, far_hosts in HOSTS_BY_ZONE.items():
                if far != zone:
                    has_demand = bool(requesting & set(far_hosts))
                    requesting_hosts.add(
                        _heartbeat(far_hosts[0], far), has_demand=has_demand
                    )
            shares[host] = share_of(
                "i1", rate, home_zone="y", requesting_hosts=requesting_hosts
            )
    return shares


@pytest.mark.parametrize("rate", [0.25, 1.0, 1.4, 2.0, 3.5, 7.0, 50.0])
@pytest.mark.parametrize(
    "requesting",
    [
        pytest.param(set(), id="nobody"),
        pytest.param({"z2"}, id="one"),
        pytest.param({"x1", "x3", "z1"}, id="some"),
        pytest.param(
            {host for hosts in HOSTS_BY_ZONE.values() for host in hosts}, id="all"
        ),
    ],
)
def test_shares_add_up_to_the_limit(rate: float, requesting: set[str]) -> None:
    shares = _shares(rate, requesting=requesting)
    assert sum(shares.values()) == pytest.approx(rate)
    sharing_hosts = {host for host, share in shares.items() if share}
    assert len(sharing_hosts) <= max(1.0, rate / 2)
    assert sharing_hosts <= (requesting or set(shares))


def test_hosts_of_the_servers_zone_are_preferred() -> None:
    all_hosts = {host for hosts in HOSTS_BY_ZONE.values() for host in hosts}
    shares = _shares(1.0, requesting=all_hosts)
    assert {host[0] for host, share in shares.items() if share} == {"y"}


def test_bucket_starts_empty_and_never_exceeds_its_rate() -> None:
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


def test_answer_to_an_older_request_does_not_end_a_limit(
    limits: ServerRateLimits,
) -> None:
    """Guard against an answer to an older request that ends a limit."""
    assert _answered(limits, 1.0, now=5.0)
    assert not _answered(limits, None, sent_at=4.9, now=5.1)
    assert limits.rate("i1", now=10.0) == 1.0
    assert _answered(limits, None, sent_at=5.1, now=5.2)
    assert limits.rate("i1", now=10.0) is None


def test_restarted_server_has_no_limit(
    directory: Directory, limits: ServerRateLimits
) -> None:
    """Guard against keeping a limit of a server's former incarnation.

    The limit was named in an answer to this host, or announced by another host.
    """
    _answered(limits, 1.0, now=5.0)
    directory.put(replace(server("i1", zone="y"), started_at=2), now=6.0)
    assert limits.rate("i1", now=10.0) is None
    row = RateLimitRow(server_id="i1", rate=1.0, age=0.1, started_at=1)
    limits.record_peer_limits([row], now=6.1)
    assert limits.allows("i1", now=6.1)
    limits.record_peer_limits([replace(row, started_at=2)], now=6.1)
    assert not limits.allows("i1", now=6.1)


def test_only_limits_from_received_answers_are_announced(
    limits: ServerRateLimits,
) -> None:
    """Guard against limits whose age is reset when a host passes them on."""
    limits.record_peer_limits(
        [RateLimitRow(server_id="i1", rate=2.0, age=1.0)], now=5.0
    )
    assert limits.rate("i1", now=10.0) == 2.0
    assert limits.announced_limits(now=5.0) == ()
    _answered(limits, 3.0, now=6.0)
    limits.record_peer_limits(
        [RateLimitRow(server_id="i1", rate=2.0, age=1.0)], now=6.5
    )
    [row] = limits.announced_limits(now=6.5)
    assert (row.rate, row.age, row.started_at) == (3.0, 0.5, 1)


def test_end_of_a_limit_is_announced_for_a_limited_time(
    limits: ServerRateLimits,
) -> None:
    _answered(limits, 3.0, now=6.0)
    _answered(limits, None, now=7.0)
    _share_out(limits, now=7.1)
    assert [row.rate for row in limits.announced_limits(now=7.1)] == [None]
    assert limits.allows("i1", now=7.1)
    later = 7.1 + ENDED_ANNOUNCED_FOR
    _share_out(limits, now=later)
    assert limits.announced_limits(now=later) == ()


def test_limit_outlives_an_expired_entry(
    directory: Directory, limits: ServerRateLimits
) -> None:
    """Guard against losing all limits in an outage of the store."""
    _answered(limits, 1.0, now=6.0)
    directory.remove("i1", last_renewed_at=6.0)
    _share_out(limits, now=6.0 + RETENTION_WITHOUT_ENTRY - 1.0)
    assert limits.rate("i1", now=10.0) == 1.0
    _share_out(limits, now=6.0 + RETENTION_WITHOUT_ENTRY + 1.0)
    assert limits.rate("i1", now=10.0) is None


def test_unreadable_limit_changes_nothing() -> None:
    """Guard against taking an unreadable limit for the end of a limit."""
    relaying = Relaying(n_servers=1)
    for number, named in enumerate([NamedLimit(text="0", rate=0.0), None], start=1):
        named = named or NamedLimit(text="few", rate=None)
        relaying.arrive(RouteKind.IDEMPOTENT, number=number, now=0.0)
        answer = head(f"r{number}", rate_limit=named)
        relaying.requests.answer_head(relaying.sent[-1].id, answer, now=0.1 * number)
    assert relaying.balancer.limits.rate("p0", now=10.0) == 0.0


def test_limit_of_a_wrong_server_is_ignored() -> None:
    """Guard against recording the limit of the server that now has the address."""
    relaying = Relaying(n_servers=1)
    relaying.arrive(RouteKind.IDEMPOTENT)
    named = NamedLimit(text="0", rate=0.0)
    answer = head(status=421, not_run=True, wrong_server=True, rate_limit=named)
    relaying.requests.answer_head(relaying.sent[0].id, answer, now=0.1)
    assert relaying.balancer.limits.rate("p0", now=10.0) is None


def test_retries_keep_to_the_limit() -> None:
    """Guard against retries that exceed the allowance of a limited server."""
    relaying = Relaying(n_servers=2)
    relaying.balancer.limits.record_answer("p1", 2.0, sent_at=0.0, now=0.0)
    relaying.arrive(RouteKind.IDEMPOTENT, now=0.1)
    assert [attempt.server_id for attempt in relaying.sent] == ["p0"]
    relaying.requests.attempt_failed(relaying.sent[0].id, "reset", sent=True, now=0.2)
    assert len(relaying.sent) == 1
    relaying.balancer.limits.update_shares(host="a", zone="z", heartbeats=[], now=0.2)
    relaying.requests.tick(now=0.9)
    assert [attempt.server_id for attempt in relaying.sent] == ["p0", "p1"]


def _limited_relaying(rate: float) -> Relaying:
    """Return a host whose only plain server has the given rate limit."""
    relaying = Relaying(n_servers=1)
    relaying.balancer.limits.record_answer("p0", rate, sent_at=0.0, now=0.0)
    relaying.balancer.limits.update_shares(host="a", zone="z", heartbeats=[], now=0.0)
    return relaying


def test_requests_beyond_the_limit_are_refused_at_once() -> None:
    """Guard against waiting for a slot that a rate limit can't provide in time."""
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


def _has_share(relaying: Relaying, host: str, others: list[HostHeartbeat]) -> bool:
    """Divide the limit as a host of that name; return whether it has a share."""
    limits = relaying.balancer.limits
    limits.update_shares(host=host, zone="z", heartbeats=others, now=0.0)
    return limits.allowance("p0", seconds=1.0, now=0.0).rate > 0


def test_host_without_a_share_of_the_limit_refuses_at_once() -> None:
    """Guard against waiting at a host that has no share of the only limit."""
    relaying = Relaying(n_servers=1)
    relaying.balancer.limits.record_answer("p0", 2.0, sent_at=0.0, now=0.0)
    others = [replace(_heartbeat(name, "z"), wanted_servers=("p0",)) for name in "bcd"]
    # Take the role of the first of these hosts that has no share.
    assert next(name for name in "efghi" if not _has_share(relaying, name, others))
    relaying.arrive(RouteKind.AT_MOST_ONCE, now=0.0)
    [(kind, _, status, retry_after)] = relaying.out
    assert (kind, status) == ("refuse", 503)
    assert 0 < retry_after < 1


def test_requests_wait_if_one_server_has_no_limit() -> None:
    """Guard against refusals while another server may soon have a free slot."""
    relaying = Relaying(n_servers=2, slots=1)
    relaying.balancer.limits.record_answer("p0", 0.0, sent_at=0.0, now=0.0)
    for number in range(1, 6):
        relaying.arrive(RouteKind.IDEMPOTENT, number=number, now=0.0)
    assert {attempt.server_id for attempt in relaying.sent} == {"p1"}
    assert relaying.out == []


def test_cold_server_is_limited_at_once(
    directory: Directory, limits: ServerRateLimits
) -> None:
    """Guard against requests to a server that has just returned cold."""
    directory.put(replace(server("i1", zone="y"), cold_for=3.0), now=5.0)
    assert not limits.allows("i1", now=5.0)
    _share_out(limits, now=5.1)
    assert not limits.allows("i1", now=5.1)
    assert limits.allows("i1", now=5.3)
    directory.put(server("i1", zone="y"), now=6.0)
    assert limits.rate("i1", now=6.0) is None


def test_lower_of_two_limits_applies(
    directory: Directory, limits: ServerRateLimits
) -> None:
    _answered(limits, 2.0, now=5.0)
    directory.put(replace(server("i1", zone="y"), cold_for=3.0), now=5.0)
    assert limits.rate("i1", now=5.0) == 2.0
    _answered(limits, 40.0, now=6.0)
    assert limits.rate("i1", now=6.0) == 17.0
    # The server's entry may be read late.
    assert limits.rate("i1", now=8.0 + 2 * COLD_GRACE) == 40.0


def test_crowded_host_gets_its_part_of_a_limit() -> None:
    """Guard against equal shares at hosts that callers have left for another one."""

    def shares(rate_by_host: dict[str, float]) -> dict[str, float]:
        found = {}
        for host in rate_by_host:
            hosts = RequestingHosts(host=host, zone="z")
            hosts.add_local(has_demand=True, arrival_rate=rate_by_host[host])
            for other, rate in rate_by_host.items():
                if other != host:
                    heartbeat = replace(_heartbeat(other, "z"), arrival_rate=rate)
                    hosts.add(heartbeat, has_demand=True)
            found[host] = share_of("i1", 20.0, home_zone="z", requesting_hosts=hosts)
        return found

    crowded = shares({"a": 46.0, "b": 2.0, "c": 2.0})
    assert crowded["a"] == pytest.approx(18.4)
    assert sum(crowded.values()) == pytest.approx(20.0)
    equal = dict.fromkeys("abc", 20.0 / 3)
    # Similar or unknown rates, and few requests, leave the shares as they are.
    assert shares({"a": 10.0, "b": 2.0, "c": 6.0}) == pytest.approx(equal)
    assert shares({"a": 46.0, "b": 2.0, "c": 0.0}) == pytest.approx(equal)
    assert shares({"a": 3.0, "b": 0.1, "c": 0.1}) == pytest.approx(equal)
