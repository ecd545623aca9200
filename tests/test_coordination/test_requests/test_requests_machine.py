"""Test the request table with random orders of events (hypothesis)."""

from __future__ import annotations

from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from ryelever.coordination.actions import (
    AnswerComplete,
    AnswerError,
    AnswerService,
    SendAttempt,
    StreamFailed,
    StreamFinished,
    StreamTokens,
    Usage,
)
from ryelever.coordination.requests import RequestState
from ryelever.errors import Category, RunState, RyeleverError

from .request_fakes import KEY, RequestTableDriver, call, chat

FINAL = (AnswerError, AnswerService, AnswerComplete, StreamFailed, StreamFinished)
KEYS = ("", KEY, f"{KEY}2")


class RequestMachine(RuleBasedStateMachine):
    """State machine that sends events in any order, repeatedly, late or never."""

    requests = Bundle("requests")

    def __init__(self) -> None:
        super().__init__()
        self.driver = RequestTableDriver()
        self.arrivals = {}
        self.finals: Counter[str] = Counter()
        self.tokens_by_request: dict[str, list[str]] = {}
        self.sent_by_key: Counter[str] = Counter()
        self.request_by_attempt: dict[str, str] = {}
        self.gone: set[str] = set()
        self.possibly_run: set[str] = set()
        self.refused: set[str] = set()
        self.keys_run_by_rival: set[str] = set()
        self.n_checked = 0

    # Events

    @rule(
        target=requests,
        kind=st.sampled_from(["chat", "unstreamed_chat", "call"]),
        key=st.sampled_from(KEYS),
    )
    def arrive(self, kind: str, key: str) -> str:
        request_id = f"r{len(self.arrivals)}"
        if kind == "call":
            arrival = call(request_id, self.driver.now, key=key)
        else:
            streamed = kind == "chat"
            arrival = chat(request_id, self.driver.now, streamed=streamed, key=key)
        self.arrivals[request_id] = arrival
        self.driver.take(self.driver.table.arrive(arrival, now=self.driver.now))
        return request_id

    @rule(request_id=requests)
    def caller_disconnected(self, request_id: str) -> None:
        if not self.finals[request_id]:
            self.gone.add(request_id)
        table = self.driver.table
        self.driver.take(table.caller_disconnected(request_id, now=self.driver.now))

    @rule()
    def read_back(self) -> None:
        self.driver.do_read()

    @rule()
    def read_to_the_end(self) -> None:
        self.driver.do_read()
        self.driver.log.caught_up_at = self.driver.now

    @rule()
    def read_back_twice(self) -> None:
        if self.driver.log.unread:
            self.driver.do_read_twice()

    @rule()
    def lose_append(self) -> None:
        unread = self.driver.log.unread
        if unread and unread[-1].record.owner == self.driver.log.owner:
            unread.pop()

    @rule(key=st.sampled_from(KEYS[1:]))
    def run_by_rival(self, key: str) -> None:
        """Append another entry host's claim; if first, that host runs it at once."""
        if self.driver.append_rival_claim(key):
            self.keys_run_by_rival.add(key)

    @rule(reachable=st.booleans())
    def log(self, reachable: bool) -> None:
        self.driver.log.reachable = reachable

    @rule(names=st.sets(st.sampled_from("abcd")))
    def targets(self, names: set[str]) -> None:
        self.driver.router.names = sorted(names)

    @rule(request_id=requests)
    def lose_group(self, request_id: str) -> None:
        """Let a member be silent until the group of a request counts as incomplete."""
        request = self.driver.table.requests_by_id.get(request_id)
        if request is None or request.target is None:
            return
        lost = request.target.name
        self.driver.router.names = [name for name in "abcd" if name != lost]
        self.time_passes(0.6, paused=False)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 9.0, 70.0]), paused=st.booleans())
    def time_passes(self, seconds: float, paused: bool) -> None:
        self.driver.now += seconds
        if not paused:
            self.driver.take(self.driver.table.tick(now=self.driver.now))

    @rule(data=st.data(), index=st.integers(0, 5), n_tokens=st.integers(1, 3))
    def tokens(self, data: st.DataObject, index: int, n_tokens: int) -> None:
        attempt = self._attempt(data)
        if attempt is None:
            return
        self._mark_possibly_run(attempt)
        tokens = tuple(f"t{i}" for i in range(index, index + n_tokens))
        table = self.driver.table
        self.driver.take(
            table.tokens(attempt, index=index, tokens=tokens, now=self.driver.now)
        )

    @rule(data=st.data(), status=st.sampled_from([0, 200, 502, 503]))
    def answer(self, data: st.DataObject, status: int) -> None:
        attempt = self._attempt(data)
        if attempt is None:
            return
        self._mark_possibly_run(attempt)
        table, now = self.driver.table, self.driver.now
        if not status:
            actions = table.finished(
                attempt, finish_reason="stop", usage=Usage(), now=now
            )
        else:
            actions = table.service_answered(
                attempt, status=status, content_type="", body=b"b", now=now
            )
        self.driver.take(actions)

    @rule(data=st.data(), refused=st.booleans(), category=st.sampled_from(Category))
    def fail(self, data: st.DataObject, refused: bool, category: Category) -> None:
        attempt = self._attempt(data)
        if attempt is None:
            return
        if not refused:
            self._mark_possibly_run(attempt)
        elif self._is_live(attempt):
            self.refused.add(attempt)
        error = RyeleverError("x", category=category, step="generate")
        table = self.driver.table
        self.driver.take(
            table.failed(attempt, error=error, refused=refused, now=self.driver.now)
        )

    def _attempt(self, data: st.DataObject) -> str | None:
        attempts = self.driver.attempts
        return data.draw(st.sampled_from(attempts)) if attempts else None

    def _is_live(self, attempt: str) -> bool:
        """Return whether an attempt is open; events of an ended one are ignored."""
        requests = self.driver.table.requests_by_id.values()
        return any(attempt in request.attempt_ids for request in requests)

    def _mark_possibly_run(self, attempt: str) -> None:
        if self._is_live(attempt):
            self.possibly_run.add(self.request_by_attempt[attempt])

    # Invariants

    @invariant()
    def check_actions(self) -> None:
        for action in self.driver.actions[self.n_checked :]:
            self._check(action)
        self.n_checked = len(self.driver.actions)

    def _check(self, action: object) -> None:
        if isinstance(action, SendAttempt):
            self._check_send(action)
        elif isinstance(action, StreamTokens):
            tokens = self.tokens_by_request.setdefault(action.request_id, [])
            tokens.extend(action.tokens)
            assert tokens == [f"t{i}" for i in range(len(tokens))]
        elif isinstance(action, FINAL):
            self.finals[action.request_id] += 1
            assert self.finals[action.request_id] == 1
            error = getattr(action, "error", None)
            if error is not None and error.run_state is RunState.NOT_RUN:
                self._check_not_run(action.request_id)

    def _check_send(self, action: SendAttempt) -> None:
        arrival = action.arrival
        assert not self.finals[arrival.request_id]
        assert self.driver.now < arrival.deadline
        self.request_by_attempt[action.attempt_id] = arrival.request_id
        if arrival.idempotency_key:
            earlier = [
                attempt
                for attempt, request_id in self.request_by_attempt.items()
                if self.arrivals[request_id].idempotency_key == arrival.idempotency_key
                and attempt != action.attempt_id
            ]
            assert set(earlier) <= self.refused, "sent again after its first byte"
            assert arrival.idempotency_key not in self.keys_run_by_rival

    def _check_not_run(self, request_id: str) -> None:
        key = self.arrivals[request_id].idempotency_key
        assert key not in self.keys_run_by_rival, "not_run although it ran elsewhere"
        same_key = {request_id} | {
            name
            for name, arrival in self.arrivals.items()
            if key and arrival.idempotency_key == key
        }
        sent = {a for a, r in self.request_by_attempt.items() if r in same_key}
        assert sent <= self.refused, "not_run although an attempt may have run"
        assert not same_key & self.possibly_run

    @invariant()
    def check_tables(self) -> None:
        table = self.driver.table
        waiting = set(table.requests_by_id)
        assert self.driver.admission.admitted == waiting
        n_attempts = sum(len(r.attempt_ids) for r in table.requests_by_id.values())
        assert len(self.driver.router.in_flight) == n_attempts
        for request in table.requests_by_id.values():
            is_streaming = request.state is RequestState.STREAMING
            assert not (is_streaming and request.held_by_id)
        for request_id in self.arrivals:
            ended = self.finals[request_id] or request_id in self.gone
            assert ended or request_id in waiting

    def teardown(self) -> None:
        self.driver.now += 1000
        self.driver.take(self.driver.table.tick(now=self.driver.now))
        self.check_actions()
        self.check_tables()
        assert self.driver.table.n_tracked() == 0


class SilentGroupsMachine(RequestMachine):
    """State machine of repeatable chat requests only, whose groups fall silent."""

    read_back = read_to_the_end = read_back_twice = lose_append = None
    run_by_rival = log = None

    @rule(target=RequestMachine.requests, streamed=st.booleans())
    def arrive(self, streamed: bool) -> str:
        request_id = f"r{len(self.arrivals)}"
        arrival = chat(request_id, self.driver.now, streamed=streamed)
        self.arrivals[request_id] = arrival
        self.driver.take(self.driver.table.arrive(arrival, now=self.driver.now))
        return request_id


SETTINGS = settings(
    derandomize=True,
    max_examples=250,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = SETTINGS
TestSilentGroupsMachine = SilentGroupsMachine.TestCase
TestSilentGroupsMachine.settings = SETTINGS
