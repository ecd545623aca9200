"""Test admission on one host: limits, fairness, deadlines and faults."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryelever.coordination.actions import Arrival, ChatWork, ServiceWork
from ryelever.coordination.admission.admission import Admitted, Queued, Refused
from ryelever.coordination.admission.capacity import FixedCapacity
from ryelever.coordination.admission.fair_admission import FairAdmission
from ryelever.coordination.admission.pools import LOSS_GRACE_PERIOD
from ryelever.state.configuration import ClientAccount

DEFAULTS = ClientAccount(key_hash="", rate=1000.0, concurrency=1000, share=0.3)


class AdmissionDriver:
    """Drive one ``FairAdmission`` with given times, accounts and slots."""

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
def test_admission_stops_at_each_limit(
    declared: ClientAccount, n_slots: int, n_admitted: int
) -> None:
    driver = AdmissionDriver(n_slots)
    driver.accounts["big"] = declared
    decisions = [driver.arrive("big", 0.0)[1] for _ in range(8)]
    assert [type(decision) for decision in decisions] == [Admitted] * n_admitted + [
        Queued
    ] * (8 - n_admitted)


def test_waiting_requests_are_admitted_at_the_accounts_rate() -> None:
    driver = AdmissionDriver(100)
    driver.accounts["big"] = replace(DEFAULTS, rate=2.0)
    driver.fill("big", 6, 0.0)
    n_granted = [len(driver.tick(now / 2)[0]) for now in range(6)]
    assert n_granted == [0, 1, 1, 1, 1, 0]


def test_small_account_is_served_before_the_burst_of_another() -> None:
    """Queue a burst of a large account before one request of a small account.

    Guards against the small account waiting for the whole burst, as with one first-in
    first-out queue for all accounts.  The large account fills all slots and queues 50
    requests, the small one sends a request, and one slot becomes free.
    """
    driver = AdmissionDriver(2)
    running = driver.fill("big", 2, 0.0)
    driver.fill("big", 50, 0.0)
    small, decision = driver.arrive("small", 0.1)
    assert decision == Queued()
    driver.admission.release(running[0], now=0.2)
    assert driver.tick(0.2)[0] == [small]


def test_lent_share_returns_with_each_free_slot() -> None:
    """Let an idle account, whose share was lent, send requests.

    Guards against an account that was idle and waits behind the borrowers of its share.
    One account uses all of ten slots and has 20 more requests waiting, the lender with
    the same share sends 20 requests, and slots become free one by one.  The lender must
    get the next slots until it has its share.  The fault occurs if the tags let the
    borrower keep the slots that it was lent.
    """
    driver = AdmissionDriver(10)
    driver.accounts["small"] = replace(DEFAULTS, share=0.3)
    running = driver.fill("big", 10, 0.0)
    driver.fill("big", 20, 0.0)
    driver.fill("small", 20, 1.0)
    granted = []
    for index in range(8):
        now = 2.0 + index / 10
        driver.admission.release(running[index], now=now)
        granted += driver.tick(now)[0]
    assert sum(name.startswith("small") for name in granted) >= 5
    assert driver.admission.n_in_flight("big") + len(granted) >= 10


@pytest.mark.parametrize("priority", [-1000, -1, 0, 1, 1000])
def test_no_priority_starves(priority: int) -> None:
    """Serve an account of low priority against unlimited demand of the highest one.

    Guards against a request of low priority that waits until its deadline, while an
    account of the highest priority always has ten requests waiting.  Strict
    priorities without ageing have this fault.
    """
    driver = AdmissionDriver(1)
    driver.accounts["big"] = replace(DEFAULTS, priority=1000)
    driver.accounts["small"] = replace(DEFAULTS, priority=priority, share=0.1)
    (running,) = driver.fill("big", 1, 0.0, priority=1000)
    driver.fill("big", 10, 0.0, priority=1000)
    small, _ = driver.arrive("small", 0.0, timeout=600.0, priority=priority)
    now = 0.0
    while running != small and now < 120.0:
        now += 1.0
        driver.arrive("big", now, priority=1000)
        driver.admission.release(running, now=now)
        (running,) = driver.tick(now)[0]
    assert running == small


def end_one_by_one(
    driver: AdmissionDriver, running: str, n_ended: int, now: float
) -> list[str]:
    """End one request after another, and return the requests granted in their place."""
    granted = []
    for _ in range(n_ended):
        now += 1.0
        driver.admission.release(running, now=now)
        (running,) = driver.tick(now)[0]
        granted.append(running)
    return granted


@pytest.mark.parametrize(("priority", "n_low_first"), [(0, 5), (4, 2)])
def test_priority_is_a_bounded_head_start(priority: int, n_low_first: int) -> None:
    """At equal shares, a step of priority is worth 1 s of waiting and no more."""
    driver = AdmissionDriver(1)
    driver.accounts["small"] = replace(DEFAULTS, priority=priority)
    (running,) = driver.fill("big", 1, 0.0)
    driver.fill("big", 20, 0.0)
    driver.fill("small", 20, 0.0, priority=priority)
    granted = end_one_by_one(driver, running, 10, 0.0)
    n_low = sum(name.startswith("big") for name in granted[:10])
    assert n_low <= n_low_first + 2
    assert n_low >= n_low_first - 1


def test_unused_share_does_not_accumulate() -> None:
    """Give an account no more than its share after a time of low use.

    Guards against an account that gets no slots for a long time after another one sent
    few requests.  One account only runs three long requests while the other is served
    40 times; then both have requests waiting.  The fault occurs if the tag of the first
    account is not advanced while it has no requests waiting.
    """
    driver = AdmissionDriver(10)
    driver.accounts["small"] = DEFAULTS
    driver.fill("small", 3, 0.0)
    (running, *_) = driver.fill("big", 7, 0.0)
    driver.fill("big", 100, 0.0, timeout=1000.0)
    running = end_one_by_one(driver, running, 40, 0.0)[-1]
    driver.fill("small", 20, 40.0)
    granted = end_one_by_one(driver, running, 10, 40.0)
    assert 4 <= sum(name.startswith("big") for name in granted) <= 6


def test_late_arrivals_are_refused_with_spread_retry_times() -> None:
    """Refuse requests on arrival that would wait beyond their deadlines.

    Guards against callers that wait until their deadlines for a refusal and then all
    retry at the same time, because the wait is not estimated and the retry time is
    constant.  One slot, requests of 1 s each, deadlines of 5 s, 40 arrivals at once.
    """
    driver = AdmissionDriver(1)
    decisions = [driver.arrive("big", 0.0, timeout=5.0)[1] for _ in range(40)]
    refused = [decision for decision in decisions if isinstance(decision, Refused)]
    assert 30 <= len(refused) <= 38
    times = [decision.retry_after for decision in refused]
    assert len({round(time, 3) for time in times}) > len(times) * 0.9
    assert min(times) >= 0.5


def test_retry_after_grows_with_the_wait() -> None:
    means = []
    for n_waiting in (10, 40):
        driver = AdmissionDriver(1)
        driver.fill("big", n_waiting, 0.0)
        decisions = [driver.arrive("big", 0.0, timeout=2.0)[1] for _ in range(50)]
        assert all(isinstance(decision, Refused) for decision in decisions)
        means.append(sum(decision.retry_after for decision in decisions) / 50)
    assert means[1] > 2.0 * means[0]


def test_waiting_requests_are_refused_once_certainly_late() -> None:
    """Lower an account's rate while its requests wait.

    Guards against callers that are refused only shortly before their deadlines,
    although the refusal was certain long before, because waits are estimated only on
    arrival.  Twenty requests with 8 s each wait at a rate of 10 per second, and the
    rate falls to 1.
    """
    driver = AdmissionDriver(100)
    driver.accounts["big"] = replace(DEFAULTS, rate=10.0)
    driver.fill("big", 30, 0.0, timeout=8.0)
    assert driver.tick(0.25)[1] == []
    driver.accounts["big"] = replace(DEFAULTS, rate=1.0)
    expired = driver.tick(0.5)[1]
    assert 10 <= len(expired) <= 16
    assert all("in time" in refused.reason for _, refused in expired)
    assert driver.tick(0.75)[1] == []


def test_request_past_its_deadline_is_refused_and_not_granted() -> None:
    driver = AdmissionDriver(1)
    (running,) = driver.fill("big", 1, 0.0)
    late, _ = driver.arrive("big", 0.0, timeout=4.0)
    driver.admission.release(running, now=4.5)
    granted, expired = driver.tick(4.5)
    assert granted == []
    assert [name for name, _ in expired] == [late]


def test_request_past_its_deadline_inside_the_queue_is_refused() -> None:
    """Refuse a request past its deadline although later ones behind it may wait."""
    driver = AdmissionDriver(1)
    driver.fill("big", 1, 0.0)
    late, _ = driver.arrive("big", 0.0, timeout=4.0)
    driver.fill("big", 3, 0.1, timeout=60.0)
    assert [name for name, _ in driver.tick(4.5)[1]] == [late]


@pytest.mark.parametrize(
    ("max_waiting", "per_account", "n_big", "small_decision"),
    [(10, 500, 10, Queued), (100, 5, 5, Queued), (10, 5, 5, Queued)],
)
def test_queue_is_bounded_but_open_to_other_accounts(
    max_waiting: int, per_account: int, n_big: int, small_decision: type
) -> None:
    """A burst fills only its own part of the queue; other accounts may still queue."""
    driver = AdmissionDriver(
        1, max_waiting=max_waiting, max_waiting_per_account=per_account
    )
    driver.fill("big", 1, 0.0)
    decisions = [driver.arrive("big", 0.0, timeout=600.0)[1] for _ in range(50)]
    assert sum(isinstance(decision, Queued) for decision in decisions) == n_big
    decision = driver.arrive("small", 0.0, timeout=600.0)[1]
    assert isinstance(decision, small_decision)


def test_pause_of_the_process_does_not_lengthen_estimates() -> None:
    """Pause the process for 30 s while requests of 1 s run; then new ones arrive.

    Guards against an entry host that refuses nearly all requests after a pause, even
    those that it can serve in time, because the pause counts as part of the time that
    requests need.
    """
    driver = AdmissionDriver(4)
    running = driver.fill("big", 4, 0.0)
    driver.tick(0.5)
    driver.tick(30.5)
    for request_id in running:
        driver.admission.release(request_id, now=31.0)
    assert driver.tick(31.0) == ([], [])
    decisions = [driver.arrive("big", 31.0, timeout=8.0)[1] for _ in range(20)]
    assert not any(isinstance(decision, Refused) for decision in decisions)


def test_pause_of_the_process_adds_no_more_tokens_than_the_burst() -> None:
    driver = AdmissionDriver(1000)
    driver.accounts["big"] = replace(DEFAULTS, rate=5.0)
    driver.fill("big", 5, 0.0)
    driver.tick(0.0)
    driver.tick(30.0)
    decisions = [driver.arrive("big", 30.0)[1] for _ in range(20)]
    assert decisions.count(Admitted()) == 5


def test_removing_an_account_refuses_only_its_waiting_requests() -> None:
    """Refuse a removed account's waiting requests at once; running ones continue."""
    driver = AdmissionDriver(1)
    (running,) = driver.fill("big", 1, 0.0)
    waiting = driver.fill("big", 3, 0.0)
    small, _ = driver.arrive("small", 0.0)
    del driver.accounts["big"]
    granted, expired = driver.tick(0.1)
    assert sorted(name for name, _ in expired) == sorted(waiting)
    assert granted == []
    driver.admission.release(running, now=0.2)
    assert driver.tick(0.2) == ([small], [])
    driver.tick(0.6)
    assert "big" not in driver.admission.describe()


def test_changed_limit_applies_to_waiting_requests() -> None:
    driver = AdmissionDriver(10)
    driver.accounts["big"] = replace(DEFAULTS, concurrency=1)
    driver.fill("big", 5, 0.0)
    driver.accounts["big"] = replace(DEFAULTS, concurrency=3)
    driver.tick(0.1)
    assert driver.admission.n_in_flight("big") == 3


def test_caller_that_disconnects_while_waiting_leaves_the_queue() -> None:
    """Disconnect the caller of a waiting request, and free a slot.

    Guards against a slot that is granted to the disconnected caller's request,
    because the queue keeps released requests.  The next request must get the slot,
    and a repeated release must not be counted twice.
    """
    driver = AdmissionDriver(1)
    (running,) = driver.fill("big", 1, 0.0)
    first, second = driver.fill("big", 2, 0.0)
    driver.admission.release(first, now=0.1)
    driver.admission.release(first, now=0.1)
    driver.admission.release(running, now=0.2)
    assert driver.tick(0.2)[0] == [second]
    driver.admission.release(second, now=0.3)
    counts = driver.admission.describe()["big"]
    assert counts == {"in_flight": 0, "waiting": 0}


def test_requests_wait_only_briefly_for_lost_capacity() -> None:
    """Pass waiting requests on to the router soon after the last group has failed.

    Guards against callers that wait until their deadlines for lost groups, because
    the queue waits for slots that will not become free.  Three requests wait, the
    last group fails, and no group returns.
    """
    driver = AdmissionDriver(1)
    driver.fill("big", 1, 0.0)
    waiting = driver.fill("big", 3, 0.0)
    driver.capacity.n_slots = 0
    assert driver.tick(1.0) == ([], [])
    granted, expired = driver.tick(1.0 + LOSS_GRACE_PERIOD)
    assert sorted(granted) == sorted(waiting)
    assert expired == []


def test_capacity_that_returns_in_time_keeps_the_queue() -> None:
    driver = AdmissionDriver(1)
    driver.fill("big", 1, 0.0)
    waiting = driver.fill("big", 3, 0.0)
    driver.capacity.n_slots = 0
    driver.tick(1.0)
    driver.capacity.n_slots = 2
    assert driver.tick(1.5)[0] == [waiting[0]]
    driver.capacity.n_slots = 0
    assert driver.tick(1.0 + LOSS_GRACE_PERIOD) == ([], [])


def test_pools_do_not_wait_for_each_other() -> None:
    driver = AdmissionDriver(1)
    driver.fill("big", 5, 0.0)
    work = ServiceWork(
        service="bookings", method="GET", path="/", content_type="", body=b""
    )
    assert driver.arrive("big", 0.0, work=work)[1] == Admitted()


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
    driver = AdmissionDriver(3, max_waiting=12, max_waiting_per_account=6)
    driver.accounts.clear()
    declared = replace(DEFAULTS, concurrency=2, rate=5.0, share=0.3)
    driver.accounts.update(dict.fromkeys("abc", declared))
    waiting: dict[str, str] = {}
    running: dict[str, str] = {}
    now = 0.0
    for kind, value, extra in steps:
        if kind == "arrive" and value in driver.accounts:
            request_id, decision = driver.arrive(
                value, now, timeout=5.0, priority=extra
            )
            if isinstance(decision, Admitted):
                running[request_id] = value
            elif isinstance(decision, Queued):
                waiting[request_id] = value
        elif kind == "release" and (waiting or running):
            held = sorted([*waiting, *running])
            request_id = held[value % len(held)]
            driver.admission.release(request_id, now=now)
            waiting.pop(request_id, None)
            running.pop(request_id, None)
        elif kind == "pass":
            now += value
        elif kind == "slots":
            driver.capacity.n_slots = value
        elif kind == "limit":
            driver.accounts[value] = replace(declared, concurrency=extra)
        elif kind == "remove":
            driver.accounts.pop(value, None)
        before = {name: list(running.values()).count(name) for name in "abc"}
        granted, expired = driver.tick(now)
        for request_id, _ in expired:
            waiting.pop(request_id)
        for request_id in granted:
            running[request_id] = waiting.pop(request_id)
        counts = driver.admission.describe()
        for name in "abc":
            n_running = list(running.values()).count(name)
            n_waiting = list(waiting.values()).count(name)
            known = counts.get(name, {"in_flight": 0, "waiting": 0})
            assert known == {"in_flight": n_running, "waiting": n_waiting}
            limit = driver.accounts.get(name, declared).concurrency
            if driver.capacity.n_slots:
                assert n_running <= max(limit, before[name])
        assert driver.admission.n_waiting <= 18
    for request_id in [*waiting, *running]:
        driver.admission.release(request_id, now=now)
    assert driver.tick(now) == ([], [])
    assert all(
        known == {"in_flight": 0, "waiting": 0}
        for known in driver.admission.describe().values()
    )
