"""Send requests to entry hosts and record the answers."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from ..standins.group_server import DEADLY_PART, POISON_BODY
from .contention import MODELS, PATH_BY_ROUTE, PRIORITY_BY_ACCOUNT, burst_of

__all__ = ["Call", "Callers", "Kind"]

#: Deadline in seconds that a caller sends with each request.  The caller itself waits
#: twice as long on its connection.
CALL_DEADLINE = 4.0

#: Shorter deadline of half of the streams in contended runs.  In a burst, not all of
#: them can be served in time.
SHORT_DEADLINE = 1.0

#: Maximum number of seconds between two requests of one caller.
MAX_PAUSE = 0.08

#: Path of each kind of request.
PATH_BY_KIND = {"stream": "/chat/1", "once": "/once/1", "look": "/look/1"}

Kind = str

#: Number of second parts that prompts of one model share.
N_SUBJECTS = 5

#: Callers of requests that crash servers; ranges of the seconds until such a caller
#: first sends one, and between two of its requests.
N_POISON_CALLERS = 2
POISON_FROM = (1.0, 4.0)
POISON_PAUSES = (0.05, 0.8)


@dataclass(slots=True, kw_only=True)
class Call:
    """One request and its answer.

    Attributes
    ----------
    sent_at, ended_at : float
        Monotonic times.
    status : int
        Status of the answer; 0 if no head of an answer was received.
    route, account : str
        Stream route and client account in a contended run; otherwise empty.
    deadline : float
        Deadline in seconds that the request states.
    seal : str
        Signature of the backend server; empty for the host's own answers.
    answered_id : str
        Request id that the answer bears.
    is_complete : bool
        Whether the answer was received to its regular end.
    retry_after : float
        Seconds after which the caller is to return; 0 if the answer states none.
    parts : tuple of str
        Parts of the prompt that other requests share.
    """

    id: str
    host: str
    kind: Kind
    model: str
    sent_at: float
    route: str = ""
    account: str = ""
    deadline: float = CALL_DEADLINE
    ended_at: float = 0.0
    status: int = 0
    seal: str = ""
    answered_id: str = ""
    body: str = ""
    is_complete: bool = False
    retry_after: float = 0.0
    parts: tuple[str, ...] = ()


class Callers:
    """Threads that send requests of all kinds to entry hosts.

    Parameters
    ----------
    address_of : callable
        Return the current address of a host for callers.
    is_contended : bool
        Whether streams choose among several routes, accounts and deadlines.
    """

    def __init__(
        self,
        *,
        hosts: list[str],
        address_of: Callable[[str], str],
        seed: int,
        is_contended: bool,
    ) -> None:
        self._hosts = hosts
        self._address_of = address_of
        self._seed = seed
        self._numbers = itertools.count(1)
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._started_at = time.monotonic()
        self.is_contended = is_contended
        self.calls: list[Call] = []

    def start(self, *, n_per_host: int, n_in_bursts: int) -> None:
        """Start callers, each of which keeps a connection open to one host.

        ``n_in_bursts`` more callers of each host send requests during bursts only.
        """
        n_steady = n_per_host * len(self._hosts)
        for index in range(n_steady + n_in_bursts * len(self._hosts)):
            args = (self._hosts[index % len(self._hosts)], index, index < n_steady)
            thread = threading.Thread(target=self._run, args=args, daemon=True)
            self._threads.append(thread)
            thread.start()

    def start_poison(self, kind: Kind) -> None:
        """Start callers of requests that crash servers, which choose any host.

        Parameters
        ----------
        kind : str
            ``"poison"`` for one request again and again, ``"deadly"`` for requests that
            have only one part of their prompts in common.
        """
        for index in range(N_POISON_CALLERS):
            thread = threading.Thread(
                target=self._run_poison, args=(kind, index), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop all callers after the requests in flight have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(CALL_DEADLINE * 4)

    def _run(self, host: str, index: int, is_steady: bool) -> None:
        generator = random.Random(self._seed * 1000 + index)
        connection: http.client.HTTPConnection | None = None
        address = ""
        while not self._stopping.wait(generator.uniform(0.0, MAX_PAUSE)):
            elapsed = time.monotonic() - self._started_at
            burst = None if is_steady else burst_of(self._seed, elapsed)
            if not is_steady and burst is None:
                continue
            current = self._address_of(host)
            if connection is None or (connection.sock is None and current != address):
                address = current
                connection = http.client.HTTPConnection(
                    address, timeout=2 * CALL_DEADLINE
                )
            call = self._new_call(host, generator, burst)
            try:
                _exchange(connection, call)
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
            call.ended_at = time.monotonic()
            self.calls.append(call)

    def _run_poison(self, kind: Kind, index: int) -> None:
        generator = random.Random(f"{self._seed} {kind} {index}")
        pause = generator.uniform(*POISON_FROM)
        while not self._stopping.wait(pause):
            pause = generator.uniform(*POISON_PAUSES)
            host = generator.choice(self._hosts)
            call = Call(
                id=f"{host}.{next(self._numbers)}",
                host=host,
                kind=kind,
                model=MODELS[0],
                sent_at=time.monotonic(),
            )
            if kind == "deadly":
                first, subject = _shared_parts(call.model, generator)
                call.parts = (first, DEADLY_PART, subject)
            connection = http.client.HTTPConnection(
                self._address_of(host), timeout=2 * CALL_DEADLINE
            )
            with contextlib.suppress(OSError, http.client.HTTPException):
                _exchange(connection, call)
            connection.close()
            call.ended_at = time.monotonic()
            self.calls.append(call)

    def _new_call(
        self, host: str, generator: random.Random, burst: tuple[str, str] | None
    ) -> Call:
        kind = "stream" if burst else generator.choice(list(PATH_BY_KIND))
        model = generator.choice(MODELS) if kind == "stream" else ""
        call = Call(
            id=f"{host}.{next(self._numbers)}",
            host=host,
            kind=kind,
            model=model,
            sent_at=time.monotonic(),
        )
        if kind == "stream" and self.is_contended:
            call.route = generator.choice(list(PATH_BY_ROUTE))
            call.account = generator.choice(list(PRIORITY_BY_ACCOUNT))
            call.deadline = generator.choice([SHORT_DEADLINE, CALL_DEADLINE])
        if burst:
            call.route, call.model = burst
        if call.model:
            call.parts = _shared_parts(call.model, generator)
        return call


def _shared_parts(model: str, generator: random.Random) -> tuple[str, ...]:
    """Return the first part of a model's prompts, and one of its second parts."""
    first = f"{MODELS.index(model) + 1:x}0"
    return first, f"{first}{generator.randrange(N_SUBJECTS):x}"


def _exchange(connection: http.client.HTTPConnection, call: Call) -> None:
    headers = {
        "Host": "calls.example",
        "Credential": f"key-of-{call.account or 'pawroute'}",
        "Deadline-Ms": str(int(call.deadline * 1000)),
        "Request-Id": call.id,
    }
    if call.model:
        headers |= {"Model": call.model, "Token-Usage": "100,50"}
    if call.parts:
        own = call.id.encode().hex()
        headers["Prefix-Hash"] = ",".join(f"{part}:10" for part in (*call.parts, own))
    method = "GET" if call.kind == "look" else "POST"
    body = None if call.kind == "look" else call.id.encode()
    if call.kind == "poison":
        body = POISON_BODY
    path = PATH_BY_ROUTE.get(call.route) or PATH_BY_KIND.get(call.kind, "/chat/1")
    connection.request(method, path, body=body, headers=headers)
    response = connection.getresponse()
    call.status = response.status
    call.seal = response.headers.get("Response-Seal", "")
    call.retry_after = float(response.headers.get("Retry-After", 0.0))
    call.answered_id = response.headers.get("Request-Id", "")
    with contextlib.suppress(TimeoutError):
        call.body = response.read().decode()
        call.is_complete = True
