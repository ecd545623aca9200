"""Define the state of one relayed request."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from ...state.routes import RouteKind
from .actions import RelayAttempt
from .ranks import MAX_STEP, rank_step

if TYPE_CHECKING:
    from ...state.directory import BackendServer
    from ...state.routes import Route, RouteAccount, RouteTable
    from ..host_heartbeats import HostAddress
    from .messages import AnswerHead, RelayArrival

__all__ = [
    "FINAL_ANSWER_MARGIN",
    "HeldAttempt",
    "RelayRequest",
    "RequestPhase",
    "is_after",
    "routed_request",
]

#: Seconds before the caller's deadline from which a tick sends the final answer. The
#: answer takes a few milliseconds to arrive, and ticks are 0.05 s apart then.
FINAL_ANSWER_MARGIN = 0.06

#: Share of the latency objective. Waiting requests that arrived longer ago than this
#: share are probably late already, and are served after the others.
ON_TIME_WAIT_SHARE = 0.6


class RequestPhase(enum.Enum):
    """The phase of a relayed request."""

    WAITING = "waiting"
    SENT = "sent"
    STREAMING = "streaming"
    ENDED = "ended"


class HeldAttempt(msgspec.Struct, kw_only=True, frozen=True):
    """An open attempt that is silent, and what it has yielded so far.

    The attributes are those of the request while the attempt was its current one.
    """

    attempt: RelayAttempt
    head: AnswerHead | None
    body: bytearray
    n_events: int
    sent_at: float
    answering_since: float
    expected_at_server: float
    is_checked: bool


class RelayRequest(msgspec.Struct, kw_only=True, eq=False):
    """The state of one request.

    Attributes
    ----------
    version : int
        Version of the configuration that determined the route and the account.
    deadline : float
        Monotonic time at which the backend server may stop.
    times_out_at : float
        Monotonic time by which the final answer is sent.
    on_time_until : float
        Monotonic time after which a waiting request is served after those for which
        this time has not passed.
    contended : bool
        True if entry hosts share the capacity of the request's service.
    rank : tuple of (int, int)
        Priorities of the account and of the route; 0 is served first.
    age_at_arrival : float
        Seconds for which the caller had tried before, at any host.
    may_have_run : bool
        True once an attempt may have reached a backend server that did not promise not
        to have run the request.
    n_rejected : int
        Number of attempts that backend servers promised not to have run.
    rejected_by : set of str
        Ids of the backend servers that did not run the request, as they were full, and
        have not been tried again.
    held_by_attempt : dict of str to HeldAttempt
        Silent attempts that may go on, by their ids, besides the current attempt.
    obstacle : str
        Why the request was last not sent again; empty if it was.
    has_reserved_retry : bool
        True while a retry of the request is reserved in the retry budget.
    waits_until : float
        Monotonic time until which the request waits for a free slot at a backend
        server.
    draw : float
        Random number that decides whether a request of a contended service gets one of
        the free slots for which others compete.
    drawn_until : float
        Monotonic time until which ``draw`` holds.
    estimated_at : float
        Monotonic time at which the wait was last estimated.
    expected_first_event : float
        Seconds from sending to the first event that are expected at a server with a
        free slot.
    expected_at_server : float
        Seconds from sending to the first event that are expected at the server of the
        current attempt; 0 if unknown.
    tried : set of str
        Ids of the backend servers to which the request was sent.
    unreached : set of str
        Ids of those of them to which this host could not send it directly.
    prefers_forwarder : bool
        True once an attempt failed in a way in which the next direct one may fail too,
        because this host has lost its paths to the servers.
    is_checked : bool
        True once it was checked whether this host reaches the server of the current
        attempt, since its answer took unusually long.
    last_event_id : str
        The last event forwarded, or the one after which the caller resumes.
    sent_at : float
        Monotonic time of the last attempt.
    first_sent_at, first_event_at, last_event_at : float
        Monotonic times of the first attempt, and of the first and the last event
        forwarded; 0 if there was none.
    answering_since : float
        Monotonic time of the first event of the current attempt.
    has_cleared_parts : bool
        True once the answer has shown that the parts of the prompt crash no servers.
    longest_pause : float
        Longest pause between two events so far, in seconds.
    """

    number: int
    version: int
    arrival: RelayArrival
    route: Route
    service: str
    account: str
    priority: int
    deadline: float
    times_out_at: float
    on_time_until: float
    contended: bool = False
    rank: tuple[int, int] = (0, 0)
    age_at_arrival: float = 0.0
    phase: RequestPhase = RequestPhase.WAITING
    attempt: RelayAttempt | None = None
    head: AnswerHead | None = None
    may_have_run: bool = False
    n_sent: int = 0
    n_rejected: int = 0
    rejected_by: set[str] = msgspec.field(default_factory=set)
    held_by_attempt: dict[str, HeldAttempt] = msgspec.field(default_factory=dict)
    obstacle: str = ""
    has_reserved_retry: bool = False
    waits_until: float = 0.0
    draw: float = 0.0
    drawn_until: float = float("-inf")
    estimated_at: float = float("-inf")
    expected_first_event: float = 0.0
    expected_at_server: float = 0.0
    tried: set[str] = msgspec.field(default_factory=set)
    unreached: set[str] = msgspec.field(default_factory=set)
    prefers_forwarder: bool = False
    is_checked: bool = False
    last_event_id: str = ""
    body: bytearray = msgspec.field(default_factory=bytearray)
    n_events: int = 0
    sent_at: float = 0.0
    first_sent_at: float = 0.0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    answering_since: float = 0.0
    has_cleared_parts: bool = False
    longest_pause: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def n_answer_bytes(self) -> int:
        """Return the length of the answers that are kept until they are complete."""
        held = self.held_by_attempt.values()
        return len(self.body) + sum(len(attempt.body) for attempt in held)

    @property
    def work(self) -> tuple[str, str]:
        """Return the service and the model."""
        return self.service, self.arrival.model

    def attempt_priority(self, *, now: float) -> int:
        """Return the priority that is sent to backend servers, from 0 to 9.

        Of a contended service, requests that may still be on time have 0 to 4 and late
        ones 5 to 9. A server that is full then admits those on time first.
        """
        if not self.contended:
            return min(MAX_STEP, self.priority)
        n_each = (MAX_STEP + 1) // 2
        urgency = min(n_each - 1, (rank_step(self.rank) + 1) // 2)
        return urgency + n_each * (now > self.on_time_until)

    def begin_attempt(
        self,
        attempt_id: str,
        server: BackendServer,
        *,
        forwarder: HostAddress | None = None,
        now: float,
    ) -> RelayAttempt:
        """Begin an attempt to send the request to a server, and return the attempt.

        Parameters
        ----------
        forwarder : HostAddress or None
            Entry host that forwards the request; None to send it directly.
        """
        self.attempt = RelayAttempt(
            id=attempt_id,
            request_number=self.number,
            server_id=server.id,
            started_at=server.started_at,
            address=server.address if forwarder is None else forwarder.address,
            deadline=self.deadline,
            account=self.account,
            priority=self.attempt_priority(now=now),
            last_event_id=self.last_event_id,
            new_connection=not self.route.repeatable or forwarder is not None,
            forwarder="" if forwarder is None else forwarder.host,
        )
        self.expected_at_server = 0.0
        self.is_checked = False
        self.head = None
        self.body.clear()
        self.n_events = 0
        self.n_sent += 1
        self.sent_at = now
        self.tried.add(server.id)
        if self.phase is RequestPhase.WAITING:
            self.phase = RequestPhase.SENT
        return self.attempt

    def hold_attempt(self) -> None:
        """Keep the current attempt open while there is none or another one."""
        self.held_by_attempt[self.attempt.id] = HeldAttempt(
            attempt=self.attempt,
            head=self.head,
            body=self.body,
            n_events=self.n_events,
            sent_at=self.sent_at,
            answering_since=self.answering_since,
            expected_at_server=self.expected_at_server,
            is_checked=self.is_checked,
        )
        self.attempt = None
        self.body = bytearray()

    def resume_attempt(self, attempt_id: str) -> None:
        """Make a held attempt the current one."""
        held = self.held_by_attempt.pop(attempt_id)
        self.attempt = held.attempt
        self.head = held.head
        self.body = held.body
        self.n_events = held.n_events
        self.sent_at = held.sent_at
        self.answering_since = held.answering_since
        self.expected_at_server = held.expected_at_server
        self.is_checked = held.is_checked
        if self.phase is RequestPhase.WAITING:
            self.phase = RequestPhase.SENT


class ArrivalRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """The status and reason of a refusal on arrival."""

    status: int
    reason: str


def routed_request(
    number: int, arrival: RelayArrival, route_table: RouteTable
) -> Result[RelayRequest, ArrivalRefusal]:
    """Create a request from its arrival, with its route and client account.

    Parameters
    ----------
    number : int
        The request's number in this process.
    """
    route = route_table.match(host=arrival.host, path=arrival.path)
    if route is None:
        return Error(ArrivalRefusal(status=404, reason="no_route"))
    account: RouteAccount | None = None
    if route_table.requires_keys and not route.public:
        account = route_table.account_by_key.get(arrival.key or "")
        if account is None:
            return Error(ArrivalRefusal(status=401, reason="unknown_key"))
    request = _new_request(
        number,
        version=route_table.version,
        arrival=arrival,
        route=route,
        account=account,
    )
    return Ok(request)


def _new_request(
    number: int,
    *,
    version: int,
    arrival: RelayArrival,
    route: Route,
    account: RouteAccount | None,
) -> RelayRequest:
    """Return a request with the times and priority that follow from its route."""
    now = arrival.arrived_at
    time_limit = route.timeout if route.timeout else float("inf")
    timed_out_at = now + time_limit
    deadline = timed_out_at if arrival.deadline is None else arrival.deadline
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return RelayRequest(
        number=number,
        version=version,
        arrival=arrival,
        route=route,
        service=route.service_of(arrival.request_id),
        account=account.name if account else "",
        priority=priority,
        deadline=min(deadline, timed_out_at + FINAL_ANSWER_MARGIN),
        times_out_at=min(deadline - FINAL_ANSWER_MARGIN, timed_out_at),
        on_time_until=now + ON_TIME_WAIT_SHARE * route.latency_objective,
        last_event_id=arrival.last_event_id,
    )


def is_after(event_id: str, last_event_id: str) -> bool:
    """Return whether an event comes after the last event forwarded."""
    if not last_event_id:
        return True
    if event_id.isdecimal() and last_event_id.isdecimal():
        return int(event_id) > int(last_event_id)
    return event_id != last_event_id
