"""Test relay decisions with random orders of events (hypothesis)."""

from __future__ import annotations

from collections import Counter, defaultdict

from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, precondition, rule
from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import ForwardingHosts, HostAddress
from ryelever.coordination.relaying import RelayAttempt
from ryelever.relay_settings import ContentionMode
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, contended_table, head, route_table

#: Number of events in each complete stream.
N_EVENTS = 3

#: Seconds after which requests may be ended although a server may answer them.
PATIENCE = 5.9

SENDS = ("event", "event", "end", "error")
FAILS = ("rejected", "unsent", "unsent", "broken")

FINAL = ("answer", "refuse", "finish", "abort")


class RelayMachine(stateful.RuleBasedStateMachine):
    """State machine of servers that answer, reject, fail or fall silent."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.arrivals: list[tuple[RouteKind, float]] = []
        self.ended: set[int] = set()
        self.last_event_by_number: Counter[int] = Counter()
        self.open_by_id: dict[str, RelayAttempt] = {}
        self.last_event_by_attempt: dict[str, int] = {}
        self.possibly_run_by_number: dict[int, set[str]] = defaultdict(set)
        self.n_checked: Counter[str] = Counter()

    @initialize(is_contended=st.booleans(), slack=st.sampled_from([2.0, 100.0]))
    def start(self, is_contended: bool, slack: float) -> None:
        mode = ContentionMode.ON if is_contended else ContentionMode.OFF
        self.relaying = Relaying(n_servers=2, slack=slack, contention=mode)
        self.table = contended_table() if is_contended else route_table()
        self.configure(max_attempts=4, resumable=True)
        self.relaying.paths.ask_others = lambda server_id: True
        host = HostAddress(host="e2", address="e2:1", availability_zone="z")
        hosts = ForwardingHosts(own_zone=(host,), other_zones=())
        self.relaying.forwarding_hosts = hosts

    # Callers, time and the environment

    @precondition(lambda self: len(self.arrivals) - len(self.ended) < 2)
    @rule(kind=st.sampled_from([RouteKind.STREAM, *RouteKind]))
    def arrive(self, kind: RouteKind) -> None:
        self.arrivals.append((kind, self.now))
        self.relaying.arrive(kind, number=len(self.arrivals), now=self.now)

    @rule(n_ticks=st.sampled_from([6, 6, 13]))
    def time_passes(self, n_ticks: int) -> None:
        for _ in range(n_ticks):
            self.now += 0.1
            self.relaying.requests.tick(now=self.now)

    @rule(server_id=st.sampled_from(["h0", "h1", "p0"]), is_lost=st.booleans())
    def path(self, server_id: str, is_lost: bool) -> None:
        paths = self.relaying.paths
        if is_lost:
            paths.unreached(server_id, now=self.now)
            paths.reached_by_other(server_id, now=self.now)
        else:
            paths.answered(server_id, now=self.now)

    @rule(max_attempts=st.integers(1, 4), resumable=st.booleans())
    def configure(self, max_attempts: int, resumable: bool) -> None:
        [(host, routes)] = self.table.routes_by_host.items()
        changes = {"max_attempts": max_attempts, "resumable": resumable}
        routes = [replace(route, **changes) for route in routes]
        self.relaying.route_table = replace(self.table, routes_by_host={host: routes})

    # Attempts

    @precondition(lambda self: self.open_by_id)
    @rule(data=st.data(), outcome=st.sampled_from([*SENDS, *FAILS, "left"]))
    def attempt(self, data: st.DataObject, outcome: str) -> None:
        """Let a caller leave, or its server send something or fail."""
        attempt = data.draw(st.sampled_from(list(self.open_by_id.values())))
        number, requests = attempt.request_number, self.relaying.requests
        if outcome == "left":
            self.ended.add(number)
            requests.caller_disconnected(number)
        elif outcome in SENDS:
            self._answer(attempt, outcome)
        elif outcome == "broken" or attempt.id in self.last_event_by_attempt:
            del self.open_by_id[attempt.id]
            requests.attempt_failed(attempt.id, "reset", sent=True, now=self.now)
        else:
            del self.open_by_id[attempt.id]
            self.possibly_run_by_number[number].discard(attempt.id)
            if outcome == "rejected":
                rejection = head(f"r{number}", status=503, not_run=True)
                requests.answer_head(attempt.id, rejection, now=self.now)
            else:
                requests.attempt_failed(attempt.id, "reset", sent=False, now=self.now)

    def _answer(self, attempt: RelayAttempt, outcome: str) -> None:
        number, requests = attempt.request_number, self.relaying.requests
        status = 200
        if attempt.id not in self.last_event_by_attempt:
            # Servers repeat the event after which a stream resumes.
            resumes_after = int(attempt.last_event_id or 1) - 1
            self.last_event_by_attempt[attempt.id] = resumes_after
            status = 500 if outcome == "error" else 200
            answer = head(f"r{number}", status=status)
            requests.answer_head(attempt.id, answer, now=self.now)
        if requests.is_streaming(attempt.id):
            first = min(N_EVENTS, self.last_event_by_attempt[attempt.id] + 1)
            last = first if outcome == "event" else N_EVENTS
            self.last_event_by_attempt[attempt.id] = last
            self.relaying.events(attempt, *range(first, last + 1), now=self.now)
            assert not requests.requests_by_number[number].held_by_attempt
        if outcome != "event" and attempt.id not in self.relaying.cancelled:
            del self.open_by_id[attempt.id]
            requests.answer_end(attempt.id, cut=False, now=self.now)
            assert status == 500 or number not in requests.requests_by_number

    # Checks

    def _new(self, name: str) -> list:
        """Return the effects of one kind since the last call."""
        items = getattr(self.relaying, name)
        found = items[self.n_checked[name] :]
        self.n_checked[name] = len(items)
        return found

    @invariant()
    def check_effects(self) -> None:
        for attempt in self._new("sent"):
            number = attempt.request_number
            if self.arrivals[number - 1][0] is RouteKind.AT_MOST_ONCE:
                assert not self.possibly_run_by_number[number]
            self.possibly_run_by_number[number].add(attempt.id)
            self.open_by_id[attempt.id] = attempt
        cancelled = [self.open_by_id.pop(item, None) for item in self._new("cancelled")]
        given_up = {item.request_number for item in cancelled if item is not None}
        for kind, number, *rest in self._new("out"):
            assert number not in self.ended
            if kind == "data":
                for event in rest[0].split(b"\n\n")[:-1]:
                    self.last_event_by_number[number] += 1
                    assert event == b"id: %d" % self.last_event_by_number[number]
            elif kind in FINAL:
                self.ended.add(number)
                if kind in ("refuse", "abort") and number in given_up:
                    assert self.now > self.arrivals[number - 1][1] + PATIENCE
                if kind == "finish":
                    assert self.last_event_by_number[number] == N_EVENTS
                if kind == "refuse" and rest[0] == 503:
                    assert not self.possibly_run_by_number[number]

    @invariant()
    def check_tables(self) -> None:
        requests = self.relaying.requests
        numbers = requests.requests_by_number
        waiting = [item for item in numbers.values() if item.attempt is None]
        assert len(waiting) == len(requests._waiting)
        assert all(requests._waiting.includes(item) for item in waiting)
        assert self.ended.isdisjoint(numbers)
        assert len(numbers) + len(self.ended) == len(self.arrivals)
        assert requests._attempts._requests_by_attempt.keys() == self.open_by_id.keys()
        n_open = Counter(item.server_id for item in self.open_by_id.values())
        for server_id, record in self.relaying.balancer.records_by_id.items():
            assert record.in_flight == n_open[server_id]
        for activity in self.relaying.stall_watch._activity_by_id.values():
            assert activity.attempts <= self.open_by_id.keys()
        n_reserved = sum(item.has_reserved_retry for item in waiting)
        assert requests._budget._n_reserved_by_service.total() == n_reserved

    def teardown(self) -> None:
        self.now += 10.0
        self.relaying.requests.tick(now=self.now)
        self.check_effects()
        self.check_tables()
        assert len(self.ended) == len(self.arrivals)


TestRelayMachine = RelayMachine.TestCase
TestRelayMachine.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
