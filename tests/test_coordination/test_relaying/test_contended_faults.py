"""Test that each request of a contended service gets one answer, whatever fails."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from ryelever.relay_settings import ContentionMode
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, contended_table, head

#: Seconds in which requests arrive, and after which all must have ended.
ARRIVALS_END, END = 6.0, 16.0


class Trouble:
    """Random arrivals at one host, and random faults of its groups.

    Attributes
    ----------
    n_arrived : int
        Number of requests that have arrived.
    may_have_run : set of int
        Numbers of the requests that a group may have run.
    """

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self.relaying = Relaying(
            n_servers=self._random.choice([0, 1, 3]),
            slots=self._random.choice([1, 2, 5]),
            slack=self._random.choice([1.0, 100.0]),
            seed=seed,
            contention=ContentionMode.ON,
        )
        self.relaying.route_table = contended_table()
        self.relaying.balancer.set_heartbeat_interval(
            interval=self._random.choice([0.0, 0.4]), n_zone_peers=3, n_hosts=8
        )
        self.may_have_run: set[int] = set()
        self.n_arrived = 0

    def step(self, *, now: float) -> None:
        """Let requests arrive, groups answer or fail, and the host tick."""
        if now < ARRIVALS_END:
            self._arrive(now=now)
        requests = self.relaying.requests
        for attempt in list(self.relaying.sent):
            if requests.requests_by_number.get(attempt.request_number) is not None:
                self._answer(attempt.id, attempt.request_number, now=now)
        self._change_groups(now=now)
        requests.tick(now=now)

    def _arrive(self, *, now: float) -> None:
        for _ in range(self._random.choice([0, 0, 1, 1, 3])):
            self.relaying.arrive(
                self._random.choice([RouteKind.STREAM] * 4 + [RouteKind.IDEMPOTENT]),
                number=self.n_arrived,
                now=now,
                key=self._random.choice(["key", "batch"]),
                time_limit=self._random.choice([0.05, 0.5, 3.0, 6.0, 8.0]),
            )
            self.n_arrived += 1

    def _answer(self, attempt_id: str, number: int, *, now: float) -> None:
        requests = self.relaying.requests
        request = requests.requests_by_number[number]
        if request.attempt is None or request.attempt.id != attempt_id:
            return
        request_id = f"r{number}"
        drawn = self._random.random()
        if drawn < 0.05:
            rejected = head(request_id, status=503, not_run=True)
            requests.answer_head(attempt_id, rejected, now=now)
        elif drawn < 0.08:
            sent = self._random.random() < 0.5
            if sent:
                self.may_have_run.add(number)
            requests.attempt_failed(attempt_id, "failed", sent=sent, now=now)
        elif drawn < 0.3:
            self.may_have_run.add(number)
            requests.answer_head(attempt_id, head(request_id), now=now)
            self.relaying.events(request.attempt, round(now * 20) + 1, now=now)
        elif drawn < 0.5:
            self.may_have_run.add(number)
            cut = self._random.random() < 0.1
            requests.answer_end(attempt_id, cut=cut, now=now)

    def _change_groups(self, *, now: float) -> None:
        drawn = self._random.random()
        directory = self.relaying.directory
        if drawn < 0.02 and "h0" in directory.by_id:
            directory.remove("h0", last_renewed_at=now + 1.0)
        elif drawn < 0.07:
            group = self.relaying.engine_head(f"h{self._random.randrange(3)}")
            directory.put(group, now=now)


@pytest.mark.parametrize("seed", range(6))
def test_each_request_gets_one_answer(seed: int) -> None:
    """Guard against requests held for good, answered twice, or refused after a run.

    A request is held for good if it neither waits nor is in flight, or if it remains
    in the fair queues after its end.
    """
    trouble = Trouble(seed=seed)
    relaying, now = trouble.relaying, 0.0
    clock = random.Random(seed)
    while now < END:
        # The clock may stand still, and the process may be suspended.
        now += clock.choice([0.0, 0.05, 0.05, 0.05, 1.5 * (clock.random() < 0.05)])
        trouble.step(now=now)
        n_waiting = sum(row.count for row in relaying.requests.waiting_rows())
        n_without_attempt = sum(
            request.attempt is None and request.contended
            for request in relaying.requests.requests_by_number.values()
        )
        assert n_waiting == n_without_attempt
    assert not relaying.requests.requests_by_number
    assert not relaying.requests.has_waiting
    assert relaying.requests.waiting_rows() == ()
    n_ends = Counter(
        number
        for kind, number, *_ in relaying.out
        if kind in {"answer", "abort", "finish", "refuse"}
    )
    assert n_ends == Counter(range(trouble.n_arrived))
    refused = {
        item[1] for item in relaying.out if item[0] == "refuse" and item[2] == 503
    }
    assert not refused & trouble.may_have_run
