"""Play callers that don't keep to limits, beside ordinary ones, against a process."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import itertools
import socket
import threading
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from .processes import Process

__all__ = [
    "BEHAVIOURS",
    "play_crowd",
    "MACHINE",
    "AbusiveCaller",
    "Door",
    "Machine",
    "OrdinaryCallers",
    "ReadinessProbe",
    "play_beside_ordinary_callers",
    "request_of",
]

#: Bytes that a caller may send as the head and as the body of one request.
MAX_HEAD = 64 * 1024
MAX_BODY = 4 << 20

#: Statuses that say that a request was not run and will not be.
NOT_RUN = frozenset({400, 401, 404, 408, 413, 421, 429, 431, 501, 503, 505})

#: Seconds after which ordinary callers give up a request, and an attempt that gets no
#: answer.
DEADLINE = 4.0
ATTEMPT_TIMEOUT = DEADLINE / 3

#: Maximum attempts of an ordinary caller.
MAX_ATTEMPTS = 4

#: Seconds for which a crowd plays.
PLAY_TIME = 3.0

#: Ordinary requests that are to be served: at the first attempt as many as while most
#: new connections go to one host (RECOVER), and at any attempt all but one in fifty.
MIN_SHARE_FIRST = 3 / 4
MIN_SHARE_SERVED = 49 / 50

#: Probes in a row without an answer after which a host gets no new connections.
MISSES = 2

_numbers = itertools.count(1)


@dataclass(slots=True, kw_only=True, frozen=True)
class Machine:
    """What a process may use: bytes of memory, and descriptors for sockets."""

    memory: int
    max_sockets: int


#: A usual machine of the platform; 200 of its descriptors are for files.
MACHINE = Machine(memory=300_000_000, max_sockets=4100 - 200)


@dataclass(slots=True, kw_only=True, frozen=True)
class Door:
    """An address and a target of a process under test, and the usual headers."""

    address: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    max_head: int = MAX_HEAD

    def head(self, request_id: str, *fields: str, method: str = "POST") -> bytes:
        """Return the head of a request, with further lines such as its length."""
        lines = [f"{method} {self.target} HTTP/1.1", f"Request-Id: {request_id}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        return "\r\n".join([*lines, *fields, "", ""]).encode()


class AbusiveCaller:
    """One connection of a crowd, with the time until which it goes on.

    Attributes
    ----------
    status_by_id : dict of str to int
        Status of the answer to each request of the crowd that got one.
    """

    def __init__(
        self, *, door: Door, until: float, status_by_id: dict[str, int]
    ) -> None:
        self.door = door
        self.until = until
        self.status_by_id = status_by_id
        self.sock: socket.socket | None = None

    @property
    def has_time(self) -> bool:
        """Return whether the crowd goes on."""
        return time.monotonic() < self.until

    def new_id(self) -> str:
        """Return an id that no other request has."""
        return f"{next(_numbers):016x}"

    async def connect(self, *, receive_buffer: int = 0) -> None:
        """Open a connection; ``receive_buffer`` bytes limit what isn't read."""
        self.close()
        sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        host, _, port = self.door.address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))

    async def send(self, data: bytes) -> None:
        """Send all of the bytes."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read_status(self, request_id: str) -> None:
        """Read the first bytes of the answer and record its status."""
        data = await asyncio.get_running_loop().sock_recv(self.sock, 64 * 1024)
        if data.startswith(b"HTTP/1.1 "):
            self.status_by_id[request_id] = int(data[9:12])

    async def hold(self) -> None:
        """Keep the connection open and do nothing until the end."""
        await asyncio.sleep(max(0.0, self.until - time.monotonic()))

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()


async def _send_body(caller: AbusiveCaller, *, pieces: list[bytes], framing: str):
    request_id = caller.new_id()
    await caller.connect()
    await caller.send(caller.door.head(request_id, framing))
    try:
        for piece in pieces:
            await caller.send(piece)
    except (ConnectionError, BrokenPipeError):
        # A refusal may be read although the connection takes no more bytes.
        pass
    await caller.read_status(request_id)


_BODY = b"x" * MAX_BODY
_LENGTH = f"Content-Length: {MAX_BODY}"
_CHUNKED = "Transfer-Encoding: chunked"


async def whole_bodies(caller: AbusiveCaller) -> None:
    """Send a body of legal size in one piece, but for its last byte at first."""
    await _send_body(caller, pieces=[_BODY[:-1], b"x"], framing=_LENGTH)


async def bodies_in_pieces(caller: AbusiveCaller) -> None:
    """Send a body of legal size in small pieces."""
    piece = b"x" * 1024
    pieces = [piece] * (MAX_BODY // len(piece))
    await _send_body(caller, pieces=pieces, framing=_LENGTH)


async def bodies_in_chunks(caller: AbusiveCaller) -> None:
    """Send a body of legal size in chunks."""
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    pieces = [chunk * 4] * (MAX_BODY // 4096) + [b"0\r\n\r\n"]
    await _send_body(caller, pieces=pieces, framing=_CHUNKED)


async def bodies_in_tiny_chunks(caller: AbusiveCaller) -> None:
    """Send a body of legal size in chunks of one byte."""
    pieces = [b"1\r\nx\r\n" * 8192] * (MAX_BODY // 8192) + [b"0\r\n\r\n"]
    await _send_body(caller, pieces=pieces, framing=_CHUNKED)


async def endless_bodies(caller: AbusiveCaller) -> None:
    """Send a body far over the limit, with a length or in chunks."""
    if next(_numbers) % 2:
        framing, piece = f"Content-Length: {1 << 40}", b"x" * 65536
    else:
        framing, piece = _CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"
    pieces = itertools.takewhile(lambda _: caller.has_time, itertools.repeat(piece))
    await _send_body(caller, pieces=pieces, framing=framing)


async def short_fields(caller: AbusiveCaller) -> None:
    """Send a head of legal size that is full of very short fields."""
    request_id = caller.new_id()
    await caller.connect()
    head = caller.door.head(request_id, method="GET")[:-2]
    n_fields = (caller.door.max_head - len(head) - 2) // 4
    await caller.send(head + b"a:\r\n" * n_fields + b"\r\n")
    await caller.read_status(request_id)


async def pipelined_requests(caller: AbusiveCaller) -> None:
    """Send many requests ahead and read no answer."""
    await caller.connect(receive_buffer=4096)
    for _ in range(64):
        heads = (caller.door.head(caller.new_id(), method="GET") for _ in range(256))
        await caller.send(b"".join(heads))
    await caller.hold()


async def slow_senders(caller: AbusiveCaller) -> None:
    """Send the head of a request byte by byte."""
    await caller.connect()
    head = caller.door.head(caller.new_id(), method="GET")
    for index in range(len(head) - 1):
        await caller.send(head[index : index + 1])
        await asyncio.sleep(0.2)


async def slow_readers(caller: AbusiveCaller) -> None:
    """Request answers, one after the other, and read them byte by byte."""
    await caller.connect(receive_buffer=4096)
    heads = [caller.door.head(caller.new_id(), method="GET") for _ in range(32)]
    await caller.send(b"".join(heads))
    while caller.has_time:
        await asyncio.get_running_loop().sock_recv(caller.sock, 1)
        await asyncio.sleep(0.2)


async def half_heads(caller: AbusiveCaller) -> None:
    """Send half of a head and then nothing."""
    await caller.connect()
    await caller.send(caller.door.head(caller.new_id(), method="GET")[:-20])
    await caller.hold()


async def half_bodies(caller: AbusiveCaller) -> None:
    """Send half of a body of legal size and then nothing."""
    await caller.connect()
    await caller.send(caller.door.head(caller.new_id(), _LENGTH))
    await caller.send(_BODY[: MAX_BODY // 2])
    await caller.hold()


async def silent_connections(caller: AbusiveCaller) -> None:
    """Connect and send nothing."""
    await caller.connect()
    await caller.hold()


#: Behaviours of a crowd, and the number of its connections.
BEHAVIOURS: dict[str, tuple[Callable[[AbusiveCaller], Awaitable[None]], int]] = {
    "whole-bodies": (whole_bodies, 150),
    "bodies-in-pieces": (bodies_in_pieces, 150),
    "bodies-in-chunks": (bodies_in_chunks, 150),
    "bodies-in-tiny-chunks": (bodies_in_tiny_chunks, 40),
    "endless-bodies": (endless_bodies, 100),
    "short-fields": (short_fields, 100),
    "pipelined-requests": (pipelined_requests, 100),
    "slow-senders": (slow_senders, 1500),
    "slow-readers": (slow_readers, 500),
    "half-heads": (half_heads, 1500),
    "half-bodies": (half_bodies, 200),
    "silent-connections": (silent_connections, 4500),
}


async def _play(caller: AbusiveCaller, behaviour: Callable) -> None:
    while caller.has_time:
        try:
            async with asyncio.timeout(max(0.01, caller.until - time.monotonic())):
                await behaviour(caller)
        except (OSError, TimeoutError):
            # Refused or closed, as is allowed; the caller comes again.
            await asyncio.sleep(0.05)
    caller.close()


def play_crowd(
    name: str,
    *,
    door: Door,
    seconds: float,
    share: float,
    status_by_id: dict[str, int],
) -> None:
    """Play a crowd to its end, with a share of its usual connections."""
    behaviour, n_connections = BEHAVIOURS[name]
    until = time.monotonic() + seconds

    async def play_all() -> None:
        callers = [
            AbusiveCaller(door=door, until=until, status_by_id=status_by_id)
            for _ in range(int(share * n_connections))
        ]
        await asyncio.gather(*(_play(caller, behaviour) for caller in callers))

    asyncio.run(play_all())


@contextmanager
def crowd_of(
    name: str, *, door: Door, seconds: float
) -> Iterator[tuple[dict[str, int], threading.Event]]:
    """Play a crowd in a thread; yield its statuses by request and its end.

    Parameters
    ----------
    name : str
        Key of ``BEHAVIOURS``.
    """
    status_by_id: dict[str, int] = {}
    ended = threading.Event()

    def run() -> None:
        play_crowd(
            name, door=door, seconds=seconds, share=1.0, status_by_id=status_by_id
        )
        ended.set()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield status_by_id, ended
    finally:
        thread.join()


def request_of(
    address: str,
    method: str,
    target: str,
    *,
    timeout: float,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
) -> tuple[int, Mapping[str, str]]:
    """Send a request on a new connection; return the answer's status and headers.

    Raises
    ------
    OSError, http.client.HTTPException
        If there is no complete answer.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        answer = connection.getresponse()
        answer.read()
        return answer.status, answer.headers
    finally:
        connection.close()


class _Repeated:
    """Call a method in a thread until the context ends."""

    interval = 0.0

    def __enter__(self) -> _Repeated:
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *args: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._step()
            self._stopped.wait(self.interval)

    def _step(self) -> None:
        raise NotImplementedError


class ProcessWatch(_Repeated):
    """Watch the memory of a process, and kill it when it exceeds its limit.

    Counted are its resident memory and the bytes that the kernel has received and not
    delivered, or not sent yet, on connections to its ports.

    Attributes
    ----------
    peak, peak_in_kernel : int
        Largest memory in bytes, and largest part of it in the kernel.
    peak_descriptors : int
        Largest number of open descriptors.
    exceeded : bool
        Whether the process was killed.
    """

    interval = 0.02

    def __init__(self, *, process: Process, addresses: list[str], limit: int) -> None:
        self._process = process
        self._ports = {int(address.rpartition(":")[2]) for address in addresses}
        self._limit = limit
        self.peak = self.peak_in_kernel = self.peak_descriptors = 0
        self.exceeded = False

    def _step(self) -> None:
        directory = Path(f"/proc/{self._process.pid}")
        with contextlib.suppress(OSError, StopIteration):
            lines = (directory / "status").read_text().splitlines()
            resident = next(line for line in lines if line.startswith("VmRSS"))
            n_in_kernel = self._n_in_kernel()
            n_bytes = 1024 * int(resident.split()[1]) + n_in_kernel
            n_descriptors = len(list((directory / "fd").iterdir()))
            self.peak = max(self.peak, n_bytes)
            self.peak_in_kernel = max(self.peak_in_kernel, n_in_kernel)
            self.peak_descriptors = max(self.peak_descriptors, n_descriptors)
        if self.peak > self._limit and not self.exceeded:
            self.exceeded = True
            self._process.kill()

    def _n_in_kernel(self) -> int:
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            if (
                not is_listening
                and int(fields[1].rpartition(":")[2], 16) in self._ports
            ):
                unsent, unread = fields[4].split(":")
                total += int(unsent, 16) + int(unread, 16)
        return total


class ReadinessProbe(_Repeated):
    """Ask whether a host is ready, as the platform's balancer does.

    Attributes
    ----------
    longest_miss : int
        Largest number of successive probes without the answer 200 within a second.
    """

    interval = 0.5

    def __init__(self, *, address: str, target: str) -> None:
        self._address = address
        self._target = target
        self._n_missed = 0
        self.n_probes = 0
        self.longest_miss = 0

    def _step(self) -> None:
        status = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, _ = request_of(self._address, "GET", self._target, timeout=1.0)
        self.n_probes += 1
        self._n_missed = 0 if status == 200 else self._n_missed + 1
        self.longest_miss = max(self.longest_miss, self._n_missed)


@dataclass(slots=True, kw_only=True)
class OrdinaryCallers:
    """Call a host from several threads until an event, with a few attempts each.

    Parameters
    ----------
    call : callable
        Send one request on a new connection, given its id and a timeout in seconds, and
        return the status and the headers of its answer.

    Attributes
    ----------
    outcomes : Counter of str
        ``"first"`` for requests that are served at the first attempt, ``"later"`` for
        those that are served later, and ``"never"``.
    slowest : float
        Longest time in seconds from the first attempt until a request was served.
    failures : Counter of str
        Statuses and errors of the attempts that failed.
    """

    call: Callable[[str, float], tuple[int, Mapping[str, str]]]
    n_threads: int = 4
    outcomes: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    slowest: float = 0.0

    def run(self, *, until: threading.Event) -> None:
        """Call until the event is set."""
        threads = [
            threading.Thread(target=self._run, args=(until,))
            for _ in range(self.n_threads)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    @property
    def n_requests(self) -> int:
        """Return the number of requests, each with all its attempts."""
        return self.outcomes.total()

    @property
    def share_first(self) -> float:
        """Return the share of requests that are served at the first attempt."""
        return self.outcomes["first"] / max(1, self.n_requests)

    @property
    def share_served(self) -> float:
        """Return the share of requests that are served at any attempt."""
        return 1 - self.outcomes["never"] / max(1, self.n_requests)

    def _run(self, until: threading.Event) -> None:
        while not until.is_set():
            started_at = time.monotonic()
            outcome = self._request(started_at)
            self.outcomes[outcome] += 1
            if outcome != "never":
                self.slowest = max(self.slowest, time.monotonic() - started_at)
            until.wait(0.02)

    def _request(self, started_at: float) -> str:
        for number in range(MAX_ATTEMPTS):
            left = started_at + DEADLINE - time.monotonic()
            if left <= 0:
                break
            pause = 0.05
            try:
                timeout = min(left, ATTEMPT_TIMEOUT)
                status, headers = self.call(f"{next(_numbers):016x}", timeout)
            except (OSError, http.client.HTTPException) as error:
                self.failures[type(error).__name__] += 1
            else:
                if status == 200:
                    return "later" if number else "first"
                self.failures[str(status)] += 1
                pause = float(headers.get("Retry-After", pause))
            time.sleep(min(pause, left / 3))
        return "never"


def play_beside_ordinary_callers(
    behaviour: str,
    *,
    door: Door,
    process: Process,
    machine: Machine,
    addresses: list[str],
    ordinary: OrdinaryCallers,
    probe: ReadinessProbe,
    record: Callable[[str, object], None],
) -> dict[str, int]:
    """Play a crowd and check that the process bears it; return statuses by request.

    Parameters
    ----------
    addresses : list of str
        Addresses of all ports at which callers reach the process.
    record : callable
        Record a figure of the play under a name.
    """
    watch = ProcessWatch(process=process, addresses=addresses, limit=machine.memory)
    crowd = crowd_of(behaviour, door=door, seconds=PLAY_TIME)
    with watch, probe, crowd as (status_by_id, ended):
        ordinary.run(until=ended)
    figures = {
        "peak_mb": round(watch.peak / 1e6),
        "kernel_mb": round(watch.peak_in_kernel / 1e6),
        "descriptors": watch.peak_descriptors,
        "n_requests": ordinary.n_requests,
        "first": round(ordinary.share_first, 3),
        "served": round(ordinary.share_served, 3),
        "slowest": round(ordinary.slowest, 2),
        "failures": dict(ordinary.failures),
        "longest_miss": probe.longest_miss,
        "crowd": dict(Counter(status_by_id.values())),
    }
    for name, value in figures.items():
        record(name, value)
    assert not watch.exceeded, figures
    assert process.exit_code is None, figures
    assert watch.peak_descriptors <= machine.max_sockets, figures
    assert probe.longest_miss < MISSES, figures
    assert ordinary.share_first >= MIN_SHARE_FIRST, figures
    assert ordinary.share_served >= MIN_SHARE_SERVED, figures
    return status_by_id
