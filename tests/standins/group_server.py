"""Stand-ins for backend servers: members of replica groups, and plain servers."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .endless import send_without_end

__all__ = ["DEADLY_PART", "POISON_BODY", "GroupServer", "ServerSwitches"]

#: Body of a request that crashes each server which begins to run it.
POISON_BODY = b"poison"

#: Part of a prompt that crashes each server which begins to run a request with it.
DEADLY_PART = "dead0b"

#: Monotonic time at which a request was received.
RECEIVED_AT = web.RequestKey("received_at", float)

#: Signature that every answer bears.
SIGNATURE = "signature-of-the-tests"


@dataclass(slots=True, kw_only=True)
class ServerSwitches:
    """Faults that are switched on, and the size and pace of streams.

    Attributes
    ----------
    still : bool
        Begin requests but write no event, as when a member of the group is lost.
    still_after : int
        Number of the last event that is written before a stream stalls; 0 for none.
    reject : bool
        Refuse every request as not run.
    fail : bool
        Answer every request with 500.
    lose_answers : bool
        Run requests and abort the connection instead of answering.
    wrong_id : bool
        Answer with another request's id.
    cut_after : int
        Number of the event in the middle of which the connection is aborted; 0 for
        none.
    unframed : str
        Send answers with neither a length nor chunks, which end with their connection:
        ``"closed"`` (complete), ``"cut"`` (closed inside the body or an event) or
        ``"reset"`` (reset there); empty for none.
    endless : str
        Form of ``ENDLESS_FORMS`` in which every request is answered, those for the
        server's state and orders too; empty for none.
    orders : str
        ``"taken"`` (orders are applied and answered), ``"unanswered"`` (applied without
        an answer) or ``"lost"`` (neither applied nor answered).
    limit : str
        Rate limit that answers declare; empty for none.
    pause : str
        Seconds of pause that refusals ask for; empty for none.
    leaving : bool
        State in answers that the server is leaving.
    n_events : int
        Number of events in a stream.
    event_ms : float
        Milliseconds between two events of a stream.
    """

    still: bool = False
    still_after: int = 0
    reject: bool = False
    fail: bool = False
    lose_answers: bool = False
    wrong_id: bool = False
    cut_after: int = 0
    unframed: str = ""
    endless: str = ""
    orders: str = "taken"
    limit: str = ""
    pause: str = ""
    leaving: bool = False
    n_events: int = 5
    event_ms: float = 10.0


@dataclass(slots=True, kw_only=True, eq=False)
class GroupServer:
    """Backend server that keeps its entry in the store up to date.

    Attributes
    ----------
    register : callable
        Write the server's entry into the store.
    observer : callable
        Called with the name of an action and the server whenever the server joins or
        leaves a group or runs a request.
    arrivals : list of (float, str)
        Monotonic times at which requests were received, also while the server was
        suspended, and their ids.
    states : list of (float, str)
        Monotonic times at which the state of the entry was set, and the states.
    limits : list of (float, str)
        Monotonic times at which the declared rate limit was set, and the limits.
    pauses : list of (float, str, float)
        Monotonic times of refusals, the ids of the refused requests, and the seconds
        of pause that the refusals asked for.
    leaving_answers : list of (float, str)
        Monotonic times of answers that state that the server is leaving, and the ids
        of the answered requests.
    starts : list of float
        Monotonic times of the restarts under the same id.
    crashes : list of (float, str)
        Monotonic times at which a request crashed the server, and its ids.
    memberships : list of (float, tuple of str)
        Monotonic times at which the server joined groups, and the groups' members.
    suspensions : list of (float, float)
        Monotonic times between which the server was suspended.
    started_at : int
        Start time that the server states; 0 for none, before its first restart.
    n_endless, n_open_endless : int
        Answers without end so far, and those that are still being sent.
    slots : int
        Requests that the server states to process at once; it doesn't enforce them.
    """

    id: str
    service: str
    zone: str
    domain: str
    is_engine: bool
    register: Callable[[str, dict[str, Any] | None], None]
    address: str = ""
    state: str = "ready"
    group: dict[str, Any] | None = None
    members: tuple[str, ...] = ()
    model: str = ""
    staged: list[str] = field(default_factory=list)
    highest_epoch: int = -1
    switches: ServerSwitches = field(default_factory=ServerSwitches)
    n_runs_by_request: Counter[str] = field(default_factory=Counter)
    request_headers: list[dict[str, str]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    is_listed: bool = True
    observer: Callable[[str, GroupServer], None] = lambda action, server: None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    states: list[tuple[float, str]] = field(default_factory=list)
    limits: list[tuple[float, str]] = field(default_factory=list)
    pauses: list[tuple[float, str, float]] = field(default_factory=list)
    leaving_answers: list[tuple[float, str]] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    memberships: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)
    suspensions: list[tuple[float, float]] = field(default_factory=list)
    n_endless: int = 0
    n_open_endless: int = 0
    running: set[asyncio.Transport] = field(default_factory=set)
    started_at: int = 0
    slots: int = 13
    sequence: Any = field(default_factory=itertools.count)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._hold], client_max_size=8 << 20)
        app.router.add_post("/order", self.order)
        app.router.add_get("/report", self.report)
        app.router.add_get("/health", self.report)
        app.router.add_route("*", "/{rest:.*}", self.run)
        return app

    @web.middleware
    async def _hold(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Hold requests and the ends of answers while the server is suspended.

        A resumed server finds requests in its sockets' buffers, also if their sender
        has closed the connection since then.
        """
        request[RECEIVED_AT] = time.monotonic()
        if self.is_suspended:
            # The body of a closed connection can't be read later.
            await request.read()
            n_starts = len(self.starts)
            await self._resumed()
            if len(self.starts) > n_starts:
                return self._lose(request)
        if self.switches.endless:
            return await self._answer_without_end(request)
        response = await handler(request)
        await self._resumed()
        return response

    async def _answer_without_end(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("Request-Id", "")
        self.arrivals.append((request[RECEIVED_AT], request_id))
        self.n_endless += 1
        self.n_open_endless += 1
        try:
            await send_without_end(
                request.transport, form=self.switches.endless, request_id=request_id
            )
        finally:
            self.n_open_endless -= 1
        return web.Response(status=500)

    def _lose(self, request: web.Request) -> web.StreamResponse:
        """Lose a request that was held by a process that has ended since."""
        if request_id := request.headers.get("Request-Id"):
            self.arrivals.append((request[RECEIVED_AT], request_id))
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    async def _resumed(self) -> None:
        while self.is_suspended:
            await asyncio.sleep(0.01)

    @property
    def is_suspended(self) -> bool:
        """Return whether the server is suspended, as a stopped process is."""
        return bool(self.suspensions) and time.monotonic() < self.suspensions[-1][1]

    def entry(self) -> dict[str, Any]:
        """Return the server's entry for the store, with the next sequence number."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": next(self.sequence),
        }
        if self.started_at:
            entry["born"] = self.started_at
        if self.is_engine:
            models = [{"name": self.model, "version": 1, "adapters": []}]
            entry |= {
                "models": models if self.model else [],
                "domain": self.domain,
                "staged": self.staged,
                "group": self.group,
            }
        return entry

    def write(self) -> None:
        """Write the current entry into the store."""
        self.is_listed = True
        self.register(self.id, self.entry())

    def remove_entry(self) -> None:
        """Remove the entry from the store, as when the server is lost."""
        self.is_listed = False
        self.register(self.id, None)

    # Orders

    async def report(self, request: web.Request) -> web.StreamResponse:
        """Return the server's group; any answer shows that the server is alive."""
        answer: dict[str, Any] = {"busy": False, "group": self.group}
        if self.started_at:
            answer["born"] = self.started_at
        return web.json_response(answer)

    async def order(self, request: web.Request) -> web.StreamResponse:
        """Apply an order, unless it is for another instance or the switches lose it."""
        body = await request.json()
        self.orders.append(body)
        if request.headers.get("Target-Instance", self.id) != self.id:
            return web.Response(status=421, headers={"Instance-Id": self.id})
        if self.switches.orders == "lost":
            request.transport.abort()
            return web.Response(status=500)
        status = self._apply_order(body)
        self.write()
        if self.switches.orders == "unanswered":
            request.transport.abort()
        return web.Response(status=status)

    def _apply_order(self, body: dict[str, Any]) -> int:
        if body["op"] == "stage":
            self.staged = [body["model"]]
            return 202
        if body["op"] == "join":
            return self._join(body)
        is_own_group = self.group is not None and (
            (self.group["name"], self.group["epoch"]) == (body["group"], body["epoch"])
        )
        if not is_own_group:
            return 409
        if body["op"] == "leave":
            self.group = None
        elif body["op"] == "open":
            if self.group["state"] not in ("ready", "open"):
                return 409
            self.group["state"] = "open"
        elif body["op"] == "close":
            self.group["state"] = "ready"
        return 202

    def _join(self, body: dict[str, Any]) -> int:
        if body["epoch"] < self.highest_epoch:
            return 412
        if body["epoch"] == self.highest_epoch:
            if tuple(body["members"]) != self.members:
                return 412
            if self.group is not None:
                return 200
        self.observer("leaves", self)
        self.highest_epoch = body["epoch"]
        self.members = tuple(body["members"])
        self.memberships.append((time.monotonic(), self.members))
        self.model = body["model"]
        self.staged = [self.model]
        rank = self.members.index(self.id)
        self.group = {
            "name": body["group"],
            "epoch": body["epoch"],
            "rank": rank,
            "state": "ready",
        }
        self.observer("joined", self)
        return 202

    # Requests

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or refuse or fail it as the switches demand."""
        request_id = request.headers.get("Request-Id", "")
        self.request_headers.append(
            {name.lower(): text for name, text in request.headers.items()}
        )
        if request.headers.get("Target-Instance", self.id) != self.id:
            return web.Response(status=421, headers={"Instance-Id": self.id})
        self.arrivals.append((request[RECEIVED_AT], request_id))
        serving = not self.is_engine or (self.group and self.group["state"] == "open")
        if self.switches.reject or not serving:
            headers = {"Not-Executed": "1", "Request-Id": request_id}
            headers |= self._notices(request_id)
            if self.switches.pause:
                seconds = float(self.switches.pause)
                self.pauses.append((time.monotonic(), request_id, seconds))
                headers["Retry-After"] = self.switches.pause
            return web.Response(status=503, headers=headers)
        if await _is_poison(request):
            return self._crash(request, request_id)
        self.n_runs_by_request[request_id] += 1
        self.observer("runs", self)
        headers = {
            "Request-Id": "another" if self.switches.wrong_id else request_id,
            "Response-Seal": f"{SIGNATURE}-{self.id}",
        }
        headers |= self._notices(request_id)
        if self.switches.lose_answers:
            request.transport.abort()
        if self.switches.fail:
            return web.Response(status=500, headers=headers, text=self.id)
        if not self.is_engine:
            body = await request.read()
            text = f"{request.method} {request.raw_path} {body.decode()}"
            if self.switches.unframed:
                return self._answer_unframed(request, headers, [text.encode()])
            return web.Response(headers=headers, text=text)
        if self.switches.unframed:
            headers["Content-Type"] = "text/event-stream"
            first = int(request.headers.get("Last-Event-Id", "0")) + 1
            numbers = range(first, self.switches.n_events + 1)
            return self._answer_unframed(request, headers, map(_event, numbers))
        self.running.add(request.transport)
        try:
            return await self._stream(request, headers)
        finally:
            self.running.discard(request.transport)

    def _crash(self, request: web.Request, request_id: str) -> web.StreamResponse:
        """Break off all streams, and start again at once under the same id."""
        self.crashes.append((time.monotonic(), request_id))
        for transport in self.running | {request.transport}:
            # A held request's connection may be closed already.
            if transport is not None:
                transport.abort()
        self.set({"restart": True})
        return web.Response(status=500)

    def _answer_unframed(
        self, request: web.Request, headers: dict[str, str], pieces: Iterable[bytes]
    ) -> web.StreamResponse:
        """Answer with a body that ends with the connection."""
        body = b"".join(pieces)
        if self.switches.unframed != "closed":
            body = body[:-4]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {headers[name]}" for name in headers)]
        head = "".join(f"{line}\r\n" for line in (*lines, "Connection: close", ""))
        request.transport.write(head.encode() + body)
        if self.switches.unframed == "reset":
            linger = struct.pack("ii", 1, 0)
            sock = request.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        request.transport.close()
        return web.Response()

    def _notices(self, request_id: str) -> dict[str, str]:
        """Return the headers by which answers state a limit or the server's leaving."""
        headers = {}
        if self.switches.limit:
            headers["Server-Limit"] = self.switches.limit
        if self.switches.leaving:
            self.leaving_answers.append((time.monotonic(), request_id))
            headers["Server-Leaving"] = "1"
        return headers

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.switches.n_events + 1):
            while (
                self.is_suspended
                or self.switches.still
                or 0 < self.switches.still_after < number
            ):
                await asyncio.sleep(0.01)
            event = _event(number)
            if number == self.switches.cut_after:
                await response.write(event[:8])
                request.transport.abort()
                return response
            await response.write(event)
            await asyncio.sleep(self.switches.event_ms / 1000)
        return response

    # Control

    def set(self, switches: dict[str, Any]) -> None:
        """Set switches; ``state``, ``slots`` and ``listed`` change the stored entry.

        ``restart`` restarts the server with its former id: it is in no group afterwards
        and has lost its model and the highest epoch that it received.  It states its
        start from then on, since an id without a start is not used again.

        ``suspend`` suspends the server until it is False (if True) or for a number of
        seconds: it sends nothing and acts on nothing that it receives, but connections
        stay open and are accepted.  On its own it doesn't write the entry.
        """
        if "suspend" in switches:
            self._suspend(switches.pop("suspend"))
            if not switches:
                return
        if switches.pop("restart", False):
            self.group = None
            self.members = ()
            self.model = ""
            self.staged = []
            self.highest_epoch = -1
            self.starts.append(time.monotonic())
            self.started_at += 1
        listed = switches.pop("listed", None)
        self.state = switches.pop("state", self.state)
        self.slots = switches.pop("slots", self.slots)
        for name, value in switches.items():
            setattr(self.switches, name, value)
        now = time.monotonic()
        self.states.append((now, self.state))
        self.limits.append((now, self.switches.limit))
        if listed is False:
            self.remove_entry()
        else:
            self.write()

    def _suspend(self, seconds: bool | float) -> None:
        now = time.monotonic()
        if self.is_suspended:
            self.suspensions[-1] = (self.suspensions[-1][0], now)
        if seconds:
            end = math.inf if seconds is True else now + seconds
            self.suspensions.append((now, end))

    def describe(self) -> dict[str, Any]:
        """Return the state and history, with the headers of the latest 20 requests."""
        return {
            "address": self.address,
            "domain": self.domain,
            "listed": self.is_listed,
            "group": self.group,
            "members": self.members,
            "n_runs": dict(self.n_runs_by_request),
            "heads": self.request_headers[-20:],
            "orders": self.orders,
            "arrivals": self.arrivals,
            "states": self.states,
            "limits": self.limits,
            "pauses": self.pauses,
            "leaving_answers": self.leaving_answers,
            "starts": self.starts,
            "crashes": self.crashes,
            "memberships": self.memberships,
            "suspensions": self.suspensions,
            "n_endless": self.n_endless,
            "n_open_endless": self.n_open_endless,
            "started_at": self.started_at,
        }


def entry_bytes(entry: dict[str, Any] | None) -> bytes:
    """Return the stored form of an entry; empty bytes remove the entry."""
    return b"" if entry is None else json.dumps(entry).encode()


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


async def _is_poison(request: web.Request) -> bool:
    """Return whether a request crashes the server."""
    parts = request.headers.get("Prefix-Hash", "").split(",")
    if DEADLY_PART in {part.partition(":")[0] for part in parts}:
        return True
    return await request.read() == POISON_BODY
