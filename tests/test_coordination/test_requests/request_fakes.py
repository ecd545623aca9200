"""Fake the policies and the log around a request table."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from ryelever.coordination.actions import (
    AppendRecord,
    Arrival,
    ChatWork,
    SendAttempt,
    ServiceWork,
    Target,
    Usage,
)
from ryelever.coordination.admission.admission import Admitted, Queued, Refused
from ryelever.coordination.requests.requests import RequestTable, Timeouts
from ryelever.coordination.routing import AttemptFeedback
from ryelever.coordination.routing.retry import RetryBudget
from ryelever.errors import Category, RyeleverError
from ryelever.state.claims import ClaimsFold
from ryelever.state.records import Claim, Entry

TIMEOUTS = Timeouts(claim=5, recovery=8, same_target=2.5, same_target_silent=0.25)
DEADLINE = 60.0

#: Time of issue of ``KEY``, in seconds since the epoch.
ISSUED = 1_800_000_000.0
KEY = f"{int(ISSUED * 1000)}-k"


class FakeAdmission:
    """Admit all requests unless ``decision`` is set.

    ``admitted`` contains the IDs of the admitted requests that are not yet released.
    """

    def __init__(self) -> None:
        self.admitted: set[str] = set()
        self.late: list[str] = []
        self.decision = Admitted()

    def admit(self, arrival, account, *, now):
        if not isinstance(self.decision, Refused):
            self.admitted.add(arrival.request_id)
        return self.decision

    def release(self, request_id, *, now):
        self.admitted.discard(request_id)

    def ready(self, *, now):
        return []

    def expired(self, *, now):
        late, self.late = self.late, []
        return [(request_id, QUEUE_FULL) for request_id in late]


QUEUE_FULL = Refused(reason="the queue is full", retry_after=2.0)


class FakeRouter:
    """Choose the first target in ``names`` that was not tried."""

    def __init__(self) -> None:
        self.names = ["a", "b", "c"]
        self.in_flight: list[str] = []

    def choose(self, arrival, *, tried, now):
        free = [name for name in self.names if name not in tried]
        return Target(name=free[0], address=f"{free[0]}:1") if free else None

    def must_wait(self, arrival, *, now):
        return False

    def is_lost(self, target, arrival, *, now):
        return target.name not in self.names and bool(self.names)

    def started(self, target, *, fingerprint="", now):
        self.in_flight.append(target.name)

    def ended(self, target, *, failed, fingerprint="", now):
        self.in_flight.remove(target.name)


@dataclass(kw_only=True)
class FakeLog:
    """Keep appended records until a test reads them back into the fold."""

    owner: str = "e1/boot"
    stream: str = "claims"
    reachable: bool = True
    fold: ClaimsFold = field(default_factory=ClaimsFold)
    unread: list[AppendRecord] = field(default_factory=list)
    caught_up_at: float = 0.0

    def available(self, *, now):
        return self.reachable

    def has_all_claims(self, key, *, since):
        return self.caught_up_at > since

    def lookup(self, key):
        return self.fold.claims_by_key.get(key)

    def read(self, append: AppendRecord) -> bool:
        """Fold an appended record and return whether it was applied."""
        return self.apply(append.record, record_id=append.record_id)

    def apply(self, record, *, record_id="other") -> bool:
        offset = self.fold.next_offset
        entry = Entry(offset=offset, time=ISSUED + offset, id=record_id, record=record)
        return self.fold.apply(entry) is None


class RequestTableDriver:
    """Send events to a request table and collect its actions, as the process does."""

    def __init__(
        self, *, max_attempts: int = 4, feedback: AttemptFeedback | None = None
    ) -> None:
        ids = itertools.count()
        self.now = 0.0
        self.log = FakeLog()
        self.router = FakeRouter()
        self.admission = FakeAdmission()
        self.table = RequestTable(
            admission=self.admission,
            router=self.router,
            retry_policy=RetryBudget(reserve=1000, max_attempts=max_attempts),
            claims=self.log,
            account=lambda name: object(),
            new_id=lambda: f"id{next(ids)}",
            retry_after=lambda: 1.0,
            timeouts=TIMEOUTS,
            feedback=feedback,
        )
        self.actions: list = []
        self.attempts: list[str] = []
        self.source = -1
        self.cancelled: list[str] = []

    def take(self, actions) -> None:
        """Record the table's actions, its attempts and its appends."""
        for action in actions:
            match action:
                case SendAttempt():
                    self.attempts.append(action.attempt_id)
                case AppendRecord():
                    self.log.unread.append(action)
            self.actions.append(action)

    @property
    def attempt(self) -> str:
        """Return the attempt that answers; the latest one by default."""
        return self.attempts[self.source]

    def step(self, step: str) -> None:
        """Run one step of a fault case: ``name`` or ``name:argument``."""
        name, _, argument = step.partition(":")
        getattr(self, f"do_{name}")(*([argument] if argument else []))

    # Steps of the fault cases

    def do_arrive(self, request_id: str = "r") -> None:
        self.take(self.table.arrive(self.arrival_of(request_id), now=self.now))

    def do_read(self) -> None:
        """Read back all appended records."""
        unread, self.log.unread = self.log.unread, []
        for append in unread:
            self._read(append)

    def do_read_twice(self) -> None:
        append = self.log.unread.pop(0)
        self._read(append)
        self._read(append)

    def _read(self, append: AppendRecord) -> None:
        repeated = self.log.fold.offset_of(append.record_id) is not None
        is_first = self.log.read(append)
        is_local = append.record.owner == self.log.owner
        if isinstance(append.record, Claim) and is_local and not repeated:
            self.take(
                self.table.claim_read_back(
                    append.record_id,
                    claim=append.record,
                    is_first=is_first,
                    now=self.now,
                )
            )

    def append_rival_claim(self, key: str) -> bool:
        """Append another host's claim; return whether it is the first of its key."""
        key = f"acc/{key}"
        unread = [append.record for append in self.log.unread]
        if key in self.log.fold.claims_by_key or any(
            isinstance(record, Claim) and record.key == key for record in unread
        ):
            return False
        claim = Claim(key=key, fingerprint="f", owner="e2", request_id="other")
        append = AppendRecord(
            stream=self.log.stream,
            record=claim,
            record_id=f"rival-{key}",
            retry_for=0.0,
        )
        self.log.unread.append(append)
        return True

    def do_rival(self) -> None:
        """Read another entry host's claim of the same key, which comes first."""
        claim = Claim(key=f"acc/{KEY}", fingerprint="f", owner="e2", request_id="other")
        self.log.apply(claim)

    def do_log_down(self) -> None:
        self.log.reachable = False

    def do_full(self) -> None:
        """Make admission refuse new requests."""
        self.admission.decision = QUEUE_FULL

    def do_queue(self) -> None:
        """Make admission queue new requests."""
        self.admission.decision = Queued()

    def do_queued_too_long(self) -> None:
        """Let admission expire the queued request."""
        self.admission.late = ["r"]
        self.take(self.table.tick(now=self.now))

    def do_draining(self) -> None:
        """Refuse a request as a draining host does."""
        error = RyeleverError(
            "shutting down", category=Category.UNAVAILABLE, step="admit"
        )
        self.take(self.table.refuse(self.arrival_of("r"), error))

    def do_from(self, index: str) -> None:
        """Receive what follows from the attempt ``N``; -1 is the latest one."""
        self.source = int(index)

    def do_tokens(self, first: str, last: str = "") -> None:
        """Receive the token ``N``, or the tokens ``N-M``."""
        start, _, end = first.partition("-")
        tokens = tuple(f"t{i}" for i in range(int(start), int(end or start) + 1))
        self.take(
            self.table.tokens(
                self.attempt,
                index=int(start),
                tokens=tokens,
                now=self.now,
            )
        )

    def do_late_tokens(self) -> None:
        """Receive a token from the first attempt."""
        self.take(
            self.table.tokens(self.attempts[0], index=0, tokens=("x",), now=self.now)
        )

    def do_finish(self) -> None:
        usage = Usage(n_completion_tokens=1)
        self.take(
            self.table.finished(
                self.attempt,
                finish_reason="stop",
                usage=usage,
                now=self.now,
            )
        )

    def do_answer(self, status: str) -> None:
        """Receive the service's answer.

        ``503!`` is its documented refusal; ``201+`` has a body of 5000 bytes, too long
        to be stored.
        """
        body = bytes(5000) if status == "201+" else b"body"
        self.take(
            self.table.service_answered(
                self.attempt,
                status=int(status.rstrip("!+")),
                content_type="text/plain",
                body=body,
                not_run=status.endswith("!"),
                now=self.now,
            )
        )

    def do_refused(self) -> None:
        self._fail(Category.UNAVAILABLE, refused=True)

    def do_broken(self) -> None:
        self._fail(Category.BROKEN, refused=False)

    def do_silent(self) -> None:
        self._fail(Category.TIMEOUT, refused=False)

    def _fail(self, category: Category, *, refused: bool) -> None:
        error = RyeleverError("failed", category=category, step="generate")
        self.take(
            self.table.failed(self.attempt, error=error, refused=refused, now=self.now)
        )

    def do_disconnect(self) -> None:
        self.take(self.table.caller_disconnected("r", now=self.now))

    def do_targets(self, names: str = "") -> None:
        """Set the available targets, separated by commas; none by default."""
        self.router.names = names.split(",") if names else []

    def do_wait(self, seconds: str) -> None:
        self.now += float(seconds)
        if self.log.reachable and float(seconds):
            self.log.caught_up_at = self.now
        self.take(self.table.tick(now=self.now))

    def do_pause(self, seconds: str) -> None:
        """Pause the process: time passes without a tick."""
        self.now += float(seconds)

    def do_end_all(self) -> None:
        """Shut down the process."""
        self.take(self.table.end_all(now=self.now))

    def arrival_of(self, request_id: str) -> Arrival:
        return self.kind(request_id, self.now)


def chat(request_id: str, now: float, *, streamed: bool = True, key: str = ""):
    """Return the arrival of a chat request."""
    work = ChatWork(model="m", messages=[], max_tokens=9, streamed=streamed)
    return _arrival(request_id, now, work, key=key)


def call(request_id: str, now: float, *, key: str = ""):
    """Return the arrival of a call to a plain service."""
    work = ServiceWork(
        service="s", method="POST", path="/", content_type="", body=b"{}"
    )
    return _arrival(request_id, now, work, key=key)


def _arrival(request_id, now, work, *, key):
    return Arrival(
        request_id=request_id,
        client_account="acc",
        work=work,
        arrived_at=now,
        deadline=now + DEADLINE,
        idempotency_key=key,
        fingerprint="f",
    )
