"""Measure the processor time and memory of the request table's decisions.

Admission and routing are replaced by the simplest policies, and a record is read back
from the log at once, so that the figures show the cost of the table alone.  Run:
``.venv/bin/python -m benchmarks.request_table``
"""

from __future__ import annotations

import itertools
import time
import tracemalloc

import defopt

from ryelever.coordination.actions import (
    AppendRecord,
    Arrival,
    ChatWork,
    SendAttempt,
    ServiceWork,
    Target,
    Usage,
)
from ryelever.coordination.admission.admission import Admitted
from ryelever.coordination.requests.requests import RequestTable
from ryelever.coordination.routing.retry import RetryBudget
from ryelever.errors import Category, RyeleverError
from ryelever.state.claims import ClaimsFold
from ryelever.state.records import Claim, Entry

N_ROUNDS = 5


class _Admission:
    def admit(self, arrival, account, *, now):
        return Admitted()

    def release(self, request_id, *, now):
        pass

    def ready(self, *, now):
        return ()

    def expired(self, *, now):
        return ()


class _Router:
    def __init__(self) -> None:
        self._targets = [Target(name=name, address=name) for name in "abcd"]

    def choose(self, arrival, *, tried, now):
        return next(target for target in self._targets if target.name not in tried)

    def must_wait(self, arrival, *, now):
        return False

    def is_lost(self, target, arrival, *, now):
        return False

    def started(self, target, *, fingerprint="", now):
        pass

    def ended(self, target, *, failed, fingerprint="", now):
        pass


class _Claims:
    stream = "claims"
    owner = "e1/boot"

    def __init__(self) -> None:
        self.fold = ClaimsFold()

    def available(self, *, now):
        return True

    def has_all_claims(self, key, *, since):
        return True

    def lookup(self, key):
        return self.fold.claims_by_key.get(key)

    def read(self, append: AppendRecord) -> None:
        offset = self.fold.next_offset
        entry = Entry(
            offset=offset, time=1.8e9, id=append.record_id, record=append.record
        )
        self.fold.apply(entry)


class _Driver:
    """Pass requests through a request table."""

    def __init__(self) -> None:
        ids = itertools.count()
        self.claims = _Claims()
        self.table = RequestTable(
            admission=_Admission(),
            router=_Router(),
            retry_policy=RetryBudget(reserve=1e9),
            claims=self.claims,
            account=lambda name: object(),
            new_id=lambda: f"{next(ids):032x}",
            retry_after=lambda: 1.0,
        )
        self._n_arrived = itertools.count()

    def arrive(self, work: ChatWork | ServiceWork, *, key: str = "") -> str:
        """Process a request up to its first attempt and return the attempt's id."""
        arrival = Arrival(
            request_id=f"{next(self._n_arrived):032x}",
            client_account="pawroute",
            work=work,
            arrived_at=0.0,
            deadline=60.0,
            idempotency_key=key,
            fingerprint="f" * 32,
        )
        actions = self.table.arrive(arrival, now=0.0)
        append = actions[0]
        if isinstance(append, AppendRecord) and isinstance(append.record, Claim):
            self.claims.read(append)
            actions = self.table.claim_read_back(
                append.record_id, claim=append.record, is_first=True, now=0.0
            )
        send = actions[0]
        assert isinstance(send, SendAttempt)
        return send.attempt_id

    def stream(self, n_tokens: int, *, broken_at: int = -1) -> None:
        """Complete one stream, in two attempts if it breaks at token ``broken_at``."""
        attempt = self.arrive(_chat())
        for index in range(n_tokens):
            if index == broken_at:
                error = RyeleverError("x", category=Category.BROKEN, step="generate")
                actions = self.table.failed(
                    attempt, error=error, refused=False, now=0.0
                )
                attempt = actions[0].attempt_id
            self.table.tokens(attempt, index=index, tokens=("token ",), now=0.0)
        self.table.finished(attempt, finish_reason="stop", usage=Usage(), now=0.0)

    def call(self, *, key: str = "") -> None:
        """Complete one call to a plain service."""
        attempt = self.arrive(_call(), key=key)
        self.table.service_answered(
            attempt, status=200, content_type="", body=b"{}", now=0.0
        )


def _chat() -> ChatWork:
    messages = [{"role": "user", "content": "x" * 1000}]
    return ChatWork(model="notes", messages=messages, max_tokens=500, streamed=True)


def _call() -> ServiceWork:
    return ServiceWork(
        service="bookings", method="POST", path="/", content_type="", body=b"{}"
    )


def _lowest_us(work: object, n_units: int) -> float:
    """Return the lowest processor time of one unit over all rounds, in µs."""
    times = []
    for _ in range(N_ROUNDS):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times) / n_units * 1e6


def _print_times(n_requests: int, n_tokens: int) -> None:
    def empty_streams() -> None:
        driver = _Driver()
        for _ in range(n_requests):
            driver.stream(0)

    def long_stream() -> None:
        _Driver().stream(n_requests * n_tokens)

    def broken_streams() -> None:
        driver = _Driver()
        for _ in range(n_requests):
            driver.stream(1, broken_at=0)

    def calls() -> None:
        driver = _Driver()
        for _ in range(n_requests):
            driver.call()

    def bookings() -> None:
        driver = _Driver()
        for index in range(n_requests):
            driver.call(key=f"1800000000000-{index}")

    rows = (
        ("stream without tokens", empty_streams, n_requests),
        ("stream that breaks once, 1 token", broken_streams, n_requests),
        ("call", calls, n_requests),
        ("booking, with folding its claim", bookings, n_requests),
        ("one token", long_stream, n_requests * n_tokens),
    )
    for name, work, n_units in rows:
        print(f"{name:36} {_lowest_us(work, n_units):8.2f} us")


def _print_tick_time(n_waiting: int) -> None:
    driver = _Driver()
    for _ in range(n_waiting):
        driver.arrive(_chat())

    def ticks() -> None:
        for _ in range(100):
            driver.table.tick(now=1.0)

    name = f"tick over {n_waiting} requests"
    print(f"{name:36} {_lowest_us(ticks, 100):8.2f} us")


def _print_memory(n_requests: int, n_tokens: int) -> None:
    driver = _Driver()
    tracemalloc.start()
    attempts = [driver.arrive(_chat()) for _ in range(n_requests)]
    waiting = tracemalloc.get_traced_memory()[0] / n_requests
    for attempt in attempts:
        for index in range(n_tokens):
            token = f"token{index} "
            driver.table.tokens(attempt, index=index, tokens=(token,), now=0.0)
    streaming = tracemalloc.get_traced_memory()[0] / n_requests
    for attempt in attempts:
        driver.table.finished(attempt, finish_reason="stop", usage=Usage(), now=0.0)
    del attempts
    left = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"{'waiting request, without its prompt':36} {waiting:8.0f} bytes")
    per_token = (streaming - waiting) / n_tokens
    print(f"{'each delivered token':36} {per_token:8.1f} bytes")
    print(f"{'left after all requests ended':36} {left:8d} bytes in total")


def main(*, n_requests: int = 2000, n_tokens: int = 100) -> None:
    """Print the processor time and memory of the table's operations.

    Parameters
    ----------
    n_requests : int
        Number of requests in each round.
    n_tokens : int
        Number of tokens of each stream.
    """
    _print_times(n_requests, n_tokens)
    for n_waiting in (100, 1000):
        _print_tick_time(n_waiting)
    _print_memory(n_requests // 4, n_tokens)


if __name__ == "__main__":
    defopt.run(main)
