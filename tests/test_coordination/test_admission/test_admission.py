"""Test admission: limits, fairness, deadlines and faults, on one host."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryelever.coordination.actions import Arrival, ChatWork, ServiceWork
from ryelever.coordination.admission.admission import Admitted, Queued, Refused
from ryelever.coordination.admission.capacity import FixedCapacity
from ryelever.coordination.admission.fair import FairAdmission
from ryelever.coordination.admission.pools import GRACE
from ryelever.state.configuration import ClientAccount

DEFAULTS = ClientAccount(key_hash="", rate=1000.0, concurrency=1000, share=0.3)


class Bench:
    """Drive one FairAdmission by hand."""

    def __init__(self, n_slots: float = 2, **options: object) -> None:
        self.capacity = FixedCapacity(n_slots=n_slots)
        self.accounts = {"big": DEFAULTS, "small": replace(DEFAULTS, share=0.1)}
        self.admission = FairAdmission(
            capacity=self.capacity, account=self.accounts.get, **options
        )
        self.n_made = 0

    def arrive(self, account: str, now: float, *, timeout: float = 60.0, **options):
        self.n_made += 1
        work = ChatWork(model="m", messages=[], max_tokens=10, streamed=False)
        arrival = Arrival(
            request_id=f"{account}-{self.n_made}",
            client_account=account,
            work=options.pop("work", work),
            arrived_at=now,
            deadline=now + timeout,
            **options,
        )
        declared = self.accounts[account]
        decision = self.admission.admit(arrival, declared, now=now)
        return arrival.request_id, decision

    def fill(self, account: str, n_requests: int, now: float, **options) -> list[str]:
        return [self.arrive(account, now, **options)[0] for _ in range(n_requests)]

    def tick(self, now: float) -> tuple[list[str], list[tuple[str, Refused]]]:
        expired = self.admission.expired(now=now)
        return self.admission.ready(now=now), expired


@pytest.mark.parametrize(
    ("declared", "n_slots", "n_admitted"),
    [
        (DEFAULTS, 5, 5),
        (replace(DEFAULTS, concurrency=3), 5, 3),
        (replace(DEFAULTS, rate=2.0), 5, 2),
        (replace(DEFAULTS, rate=0.5), 5, 1),
        (replace(DEFAULTS, share=0.0), 5, 5),
        (replace(DEFAULTS, concurrency=0), 5, 0),
        (DEFAULTS, 0, 8),
    ],
    ids=["capacity", "concurrency", "rate", "slow", "no share", "closed", "no group"],
)
def test_limits(declared: ClientAccount, n_slots: int, n_admitted: int) -> None:
    bench = Bench(n_slots)
    bench.accounts["big"] = declared
    decisions = [bench.arrive("big", 0.0)[1] for _ in range(8)]
    assert [type(decision) for decision in decisions] == [Admitted] * n_admitted + [
        Queued
    ] * (8 - n_admitted)


def test_rate_lets_waiting_requests_in_as_tokens_come() -> None:
    bench = Bench(100)
    bench.accounts["big"] = replace(DEFAULTS, rate=2.0)
    bench.fill("big", 6, 0.0)
    n_granted = [len(bench.tick(now / 2)[0]) for now in range(6)]
    assert n_granted == [0, 1, 1, 1, 1, 0]


def test_burst_leaves_small_account_first_in_line() -> None:
    """A burst of one account does not delay another's request.

    Symptom: a small account waits for the whole burst of a large one.
    Sequence: a large account fills all slots and queues 50; a small one asks; one
    slot falls free.
    Cause: one first-in first-out queue for all accounts.
    """
    bench = Bench(2)
    running = bench.fill("big", 2, 0.0)
    bench.fill("big", 50, 0.0)
    small, decision = bench.arrive("small", 0.1)
    assert decision == Queued()
    bench.admission.release(running[0], now=0.2)
    assert bench.tick(0.2)[0] == [small]


def test_unused_share_is_lent_and_comes_back_with_each_free_slot() -> None:
    """A lender that asks again gets every next slot until it has its share.

    Symptom: an account that was idle waits behind those who use its share.
    Sequence: one account uses all of ten slots; the lender asks for six; slots fall
    free one by one.
    Cause: tags that let an account go on with what it was lent.
    """
    bench = Bench(10)
    bench.accounts["small"] = replace(DEFAULTS, share=0.3)
    running = bench.fill("big", 10, 0.0)
    bench.fill("big", 20, 0.0)
    bench.fill("small", 20, 1.0)
    granted = []
    for index in range(8):
        now = 2.0 + index / 10
        bench.admission.release(running[index], now=now)
        granted += bench.tick(now)[0]
    assert sum(name.startswith("small") for name in granted) >= 5
    assert bench.admission.n_in_flight("big") + len(granted) >= 10


@pytest.mark.parametrize("priority", [-1000, -1, 0, 1, 1000])
def test_nobody_starves(priority: int) -> None:
    """The lowest priority gets its turn against endless higher ones.

    Symptom: a request of low priority waits until its deadline.
    Sequence: an account of the highest priority always has ten requests waiting.
    Cause: strict priorities, without ageing.
    """
    bench = Bench(1)
    bench.accounts["big"] = replace(DEFAULTS, priority=1000)
    bench.accounts["small"] = replace(DEFAULTS, priority=priority, share=0.1)
    (running,) = bench.fill("big", 1, 0.0, priority=1000)
    bench.fill("big", 10, 0.0, priority=1000)
    small, _ = bench.arrive("small", 0.0, timeout=600.0, priority=priority)
    now = 0.0
    while running != small and now < 120.0:
        now += 1.0
        bench.arrive("big", now, priority=1000)
        bench.admission.release(running, now=now)
        (running,) = bench.tick(now)[0]
    assert running == small


def granted_in_turn(bench: Bench, running: str, n_turns: int, now: float) -> list[str]:
    """End one request after another, and return what is granted in their place."""
    granted = []
    for _ in range(n_turns):
        now += 1.0
        bench.admission.release(running, now=now)
        (running,) = bench.tick(now)[0]
        granted.append(running)
    return granted


@pytest.mark.parametrize(("priority", "n_low_first"), [(0, 5), (4, 2)])
def test_priority_is_a_head_start(priority: int, n_low_first: int) -> None:
    """At equal shares, a step of priority brings an account 1 s forward, no more."""
    bench = Bench(1)
    bench.accounts["small"] = replace(DEFAULTS, priority=priority)
    (running,) = bench.fill("big", 1, 0.0)
    bench.fill("big", 20, 0.0)
    bench.fill("small", 20, 0.0, priority=priority)
    granted = granted_in_turn(bench, running, 10, 0.0)
    n_low = sum(name.startswith("big") for name in granted[:10])
    assert n_low <= n_low_first + 2
    assert n_low >= n_low_first - 1


def test_unused_share_is_not_saved_up() -> None:
    """An account that asked for little before has no claim on more than its share.

    Symptom: after a quiet time of one account, another one gets nothing for long.
    Sequence: one account runs a single long request while another is served 40
    times; then both have requests waiting.
    Cause: a tag that stayed behind while the account had nothing waiting.
    """
    bench = Bench(10)
    bench.accounts["small"] = DEFAULTS
    bench.fill("small", 3, 0.0)
    (running, *_) = bench.fill("big", 7, 0.0)
    bench.fill("big", 100, 0.0, timeout=1000.0)
    running = granted_in_turn(bench, running, 40, 0.0)[-1]
    bench.fill("small", 20, 40.0)
    granted = granted_in_turn(bench, running, 10, 40.0)
    assert 4 <= sum(name.startswith("big") for name in granted) <= 6


def test_hopeless_request_is_refused_at_once_with_spread_times() -> None:
    """A request whose wait would outlast its deadline is told on arrival.

    Symptom: callers wait to the end for a refusal, then come back all together.
    Sequence: one slot, requests of 1 s each, deadlines of 5 s, 40 arrivals at once.
    Cause: no estimate of the wait; a constant time to come back.
    """
    bench = Bench(1)
    decisions = [bench.arrive("big", 0.0, timeout=5.0)[1] for _ in range(40)]
    refused = [decision for decision in decisions if isinstance(decision, Refused)]
    assert 30 <= len(refused) <= 38
    times = [decision.retry_after for decision in refused]
    assert len({round(time, 3) for time in times}) > len(times) * 0.9
    assert min(times) >= 0.5


def test_retry_after_grows_with_the_wait() -> None:
    means = []
    for n_waiting in (10, 40):
        bench = Bench(1)
        bench.fill("big", n_waiting, 0.0)
        decisions = [bench.arrive("big", 0.0, timeout=2.0)[1] for _ in range(50)]
        assert all(isinstance(decision, Refused) for decision in decisions)
        means.append(sum(decision.retry_after for decision in decisions) / 50)
    assert means[1] > 2.0 * means[0]


def test_waiting_request_is_told_when_its_deadline_is_certain_to_pass() -> None:
    """A limit that falls while requests wait ends the hopeless ones at once.

    Symptom: callers hear shortly before their deadlines what was certain long ago.
    Sequence: twenty wait at 10 a second with 8 s each; the rate falls to 1.
    Cause: estimates made on arrival only.
    """
    bench = Bench(100)
    bench.accounts["big"] = replace(DEFAULTS, rate=10.0)
    bench.fill("big", 30, 0.0, timeout=8.0)
    assert bench.tick(0.25)[1] == []
    bench.accounts["big"] = replace(DEFAULTS, rate=1.0)
    expired = bench.tick(0.5)[1]
    assert 10 <= len(expired) <= 16
    assert all("in time" in refused.reason for _, refused in expired)
    assert bench.tick(0.75)[1] == []


def test_passed_deadline_is_refused_and_not_granted() -> None:
    bench = Bench(1)
    (running,) = bench.fill("big", 1, 0.0)
    late, _ = bench.arrive("big", 0.0, timeout=4.0)
    bench.admission.release(running, now=4.5)
    granted, expired = bench.tick(4.5)
    assert granted == []
    assert [name for name, _ in expired] == [late]


def test_passed_deadline_in_the_midst_of_the_queue_is_refused() -> None:
    """A request in front of others with more time is refused when its time is over."""
    bench = Bench(1)
    bench.fill("big", 1, 0.0)
    late, _ = bench.arrive("big", 0.0, timeout=4.0)
    bench.fill("big", 3, 0.1, timeout=60.0)
    assert [name for name, _ in bench.tick(4.5)[1]] == [late]


@pytest.mark.parametrize(
    ("max_waiting", "per_account", "n_big", "small_decision"),
    [(10, 500, 10, Queued), (100, 5, 5, Queued), (10, 5, 5, Queued)],
)
def test_queue_is_bounded_but_open_to_others(
    max_waiting: int, per_account: int, n_big: int, small_decision: type
) -> None:
    """A burst fills its own part of the queue and shuts nobody out."""
    bench = Bench(1, max_waiting=max_waiting, max_waiting_per_account=per_account)
    bench.fill("big", 1, 0.0)
    decisions = [bench.arrive("big", 0.0, timeout=600.0)[1] for _ in range(50)]
    assert sum(isinstance(decision, Queued) for decision in decisions) == n_big
    decision = bench.arrive("small", 0.0, timeout=600.0)[1]
    assert isinstance(decision, small_decision)


def test_standstill_of_the_process_does_not_lengthen_estimates() -> None:
    """After a pause, requests that can be served in time are not refused.

    Symptom: after an entry host was stopped for 30 s, it refuses nearly everything.
    Sequence: requests of 1 s run; the process is stopped for 30 s; they end; new
    ones arrive.
    Cause: the time stood still was counted as time that requests need.
    """
    bench = Bench(4)
    running = bench.fill("big", 4, 0.0)
    bench.tick(0.5)
    bench.tick(30.5)
    for request_id in running:
        bench.admission.release(request_id, now=31.0)
    assert bench.tick(31.0) == ([], [])
    decisions = [bench.arrive("big", 31.0, timeout=8.0)[1] for _ in range(20)]
    assert not any(isinstance(decision, Refused) for decision in decisions)


def test_standstill_earns_no_more_than_the_burst() -> None:
    bench = Bench(1000)
    bench.accounts["big"] = replace(DEFAULTS, rate=5.0)
    bench.fill("big", 5, 0.0)
    bench.tick(0.0)
    bench.tick(30.0)
    decisions = [bench.arrive("big", 30.0)[1] for _ in range(20)]
    assert decisions.count(Admitted()) == 5


def test_removed_account_ends_its_waiting_requests_only() -> None:
    """Removing an account ends what waits at once; what runs is not cut off."""
    bench = Bench(1)
    (running,) = bench.fill("big", 1, 0.0)
    waiting = bench.fill("big", 3, 0.0)
    small, _ = bench.arrive("small", 0.0)
    del bench.accounts["big"]
    granted, expired = bench.tick(0.1)
    assert sorted(name for name, _ in expired) == sorted(waiting)
    assert granted == []
    bench.admission.release(running, now=0.2)
    assert bench.tick(0.2) == ([small], [])
    bench.tick(0.6)
    assert "big" not in bench.admission.describe()


def test_changed_limit_holds_for_waiting_requests() -> None:
    bench = Bench(10)
    bench.accounts["big"] = replace(DEFAULTS, concurrency=1)
    bench.fill("big", 5, 0.0)
    bench.accounts["big"] = replace(DEFAULTS, concurrency=3)
    bench.tick(0.1)
    assert bench.admission.n_in_flight("big") == 3


def test_caller_gone_while_waiting_frees_its_place() -> None:
    """The place of a caller that left goes to the next, and nothing is counted twice.

    Symptom: a slot is granted to a request that nobody waits for.
    Sequence: two wait; the first one's caller leaves; a slot falls free.
    Cause: a queue that keeps released requests.
    """
    bench = Bench(1)
    (running,) = bench.fill("big", 1, 0.0)
    first, second = bench.fill("big", 2, 0.0)
    bench.admission.release(first, now=0.1)
    bench.admission.release(first, now=0.1)
    bench.admission.release(running, now=0.2)
    assert bench.tick(0.2)[0] == [second]
    bench.admission.release(second, now=0.3)
    counts = bench.admission.describe()["big"]
    assert counts == {"in_flight": 0, "waiting": 0}


def test_lost_capacity_is_waited_for_only_briefly() -> None:
    """Requests of a model whose groups are all gone learn it at once.

    Symptom: callers wait to their deadlines for groups that are gone.
    Sequence: three wait; the last group fails; it stays away.
    Cause: a queue that waits for slots that nobody will free.
    """
    bench = Bench(1)
    bench.fill("big", 1, 0.0)
    waiting = bench.fill("big", 3, 0.0)
    bench.capacity.n_slots = 0
    assert bench.tick(1.0) == ([], [])
    granted, expired = bench.tick(1.0 + GRACE)
    assert sorted(granted) == sorted(waiting)
    assert expired == []


def test_capacity_that_returns_in_time_keeps_the_queue() -> None:
    bench = Bench(1)
    bench.fill("big", 1, 0.0)
    waiting = bench.fill("big", 3, 0.0)
    bench.capacity.n_slots = 0
    bench.tick(1.0)
    bench.capacity.n_slots = 2
    assert bench.tick(1.5)[0] == [waiting[0]]
    bench.capacity.n_slots = 0
    assert bench.tick(1.0 + GRACE) == ([], [])


def test_pools_do_not_wait_for_each_other() -> None:
    bench = Bench(1)
    bench.fill("big", 5, 0.0)
    work = ServiceWork(
        service="bookings", method="GET", path="/", content_type="", body=b""
    )
    assert bench.arrive("big", 0.0, work=work)[1] == Admitted()


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.sampled_from("abc"), st.integers(-3, 3)),
        st.tuples(st.just("release"), st.integers(0, 30), st.just(0)),
        st.tuples(st.just("pass"), st.sampled_from([0.05, 0.5, 3.0, 30.0]), st.just(0)),
        st.tuples(st.just("slots"), st.integers(0, 4), st.just(0)),
        st.tuples(st.just("limit"), st.sampled_from("abc"), st.integers(0, 4)),
        st.tuples(st.just("remove"), st.sampled_from("abc"), st.just(0)),
    ),
    max_size=80,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_every_request_is_released_once_and_counts_hold(steps: list) -> None:
    """Whatever happens, each request is in one state and no limit is exceeded."""
    bench = Bench(3, max_waiting=12, max_waiting_per_account=6)
    bench.accounts.clear()
    declared = replace(DEFAULTS, concurrency=2, rate=5.0, share=0.3)
    bench.accounts.update(dict.fromkeys("abc", declared))
    waiting: dict[str, str] = {}
    running: dict[str, str] = {}
    now = 0.0
    for kind, value, extra in steps:
        if kind == "arrive" and value in bench.accounts:
            request_id, decision = bench.arrive(value, now, timeout=5.0, priority=extra)
            if isinstance(decision, Admitted):
                running[request_id] = value
            elif isinstance(decision, Queued):
                waiting[request_id] = value
        elif kind == "release" and (waiting or running):
            held = sorted([*waiting, *running])
            request_id = held[value % len(held)]
            bench.admission.release(request_id, now=now)
            waiting.pop(request_id, None)
            running.pop(request_id, None)
        elif kind == "pass":
            now += value
        elif kind == "slots":
            bench.capacity.n_slots = value
        elif kind == "limit":
            bench.accounts[value] = replace(declared, concurrency=extra)
        elif kind == "remove":
            bench.accounts.pop(value, None)
        before = {name: list(running.values()).count(name) for name in "abc"}
        granted, expired = bench.tick(now)
        for request_id, _ in expired:
            waiting.pop(request_id)
        for request_id in granted:
            running[request_id] = waiting.pop(request_id)
        counts = bench.admission.describe()
        for name in "abc":
            n_running = list(running.values()).count(name)
            n_waiting = list(waiting.values()).count(name)
            known = counts.get(name, {"in_flight": 0, "waiting": 0})
            assert known == {"in_flight": n_running, "waiting": n_waiting}
            limit = bench.accounts.get(name, declared).concurrency
            if bench.capacity.n_slots:
                assert n_running <= max(limit, before[name])
        assert bench.admission.n_waiting <= 18
    for request_id in [*waiting, *running]:
        bench.admission.release(request_id, now=now)
    assert bench.tick(now) == ([], [])
    assert all(
        known == {"in_flight": 0, "waiting": 0}
        for known in bench.admission.describe().values()
    )
