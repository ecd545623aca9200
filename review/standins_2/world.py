"""Stand-ins of the platform for the cases of the second review.

They follow PROTOCOL.md and NEWS.md, use the standard library alone and run in the
process of the case.  The entry hosts are separate processes.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """\
node={name}
role=entry
machine_class=front
serves=front
ip={ip}
zone={zone}
region=r
{zones}listen.front={ip}:{front}
listen.ready={ip}:{ready}
port_range={peers},{peers}
first_start=true
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.stall_ms=6000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=134
platform.address={store}
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=12
platform.keep_s=300
"""


def free_port(ip: str) -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            with contextlib.suppress(OSError):
                udp.bind((ip, tcp.getsockname()[1]))
                return tcp.getsockname()[1]


class Record:
    """Record of what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._since = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the time."""
        line = f"{time.monotonic() - self._since:8.3f}  {text}"
        print(line, file=self._file, flush=True)


async def read_message(reader: asyncio.StreamReader) -> tuple | None:
    """Return the first line, headers and body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return first, headers | {"cut": "1"}, body
    return first, headers, body


def message(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return an answer; ``_`` in the names of headers stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: keyed topics of one partition each, without expiry."""

    def __init__(self) -> None:
        self.address = ""
        self._logs: dict[tuple[str, int], list[bytes]] = {}
        self._newest: dict[tuple[str, int], dict[str, tuple[bytes, int]]] = {}
        self._changed = asyncio.Condition()
        self.era = 0
        self.is_away = False
        self._copy: tuple[dict, dict] | None = None

    def copy(self) -> None:
        """Keep a copy of all records."""
        self._copy = (
            {part: list(log) for part, log in self._logs.items()},
            {part: dict(newest) for part, newest in self._newest.items()},
        )

    async def restore(self) -> None:
        """Come back from the copy, in the next era."""
        logs, newest = self._copy
        self._logs = {part: list(log) for part, log in logs.items()}
        self._newest = {part: dict(items) for part, items in newest.items()}
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as the operator or as a worker."""
        record = bytes([len(key)]) + key.encode() + value
        await self._append((topic, 0), [record])

    async def _append(self, part: tuple[str, int], records: list[bytes]) -> int:
        log = self._logs.setdefault(part, [])
        first = len(log)
        for record in records:
            n_key = record[0]
            key = record[1 : 1 + n_key].decode("utf-8", "replace")
            value = record[1 + n_key :]
            newest = self._newest.setdefault(part, {})
            newest.pop(key, None)
            if value:
                newest[key] = (value, len(log))
            log.append(record)
        async with self._changed:
            self._changed.notify_all()
        return first

    async def _serve(self, reader, writer) -> None:
        while (received := await read_message(reader)) is not None:
            first, _, body = received
            method, target, _ = first.split(" ")
            url = urlsplit(target)
            query = {name: item[0] for name, item in parse_qs(url.query).items()}
            era = self.era
            answer = message(503)
            if not self.is_away:
                answer = await self._answer(url.path, query, body)
            if self.is_away or era != self.era:
                answer = message(503)
            era_line = f"\r\nStore-Era: {self.era}\r\n".encode()
            writer.write(answer.replace(b"\r\n", era_line, 1))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, query: dict, body: bytes) -> bytes:
        await asyncio.sleep(0.004)
        part = query["topic"], int(query["part"])
        log = self._logs.setdefault(part, [])
        if path == "/log-append":
            if "at" in query and int(query["at"]) != len(log):
                return message(412, json.dumps({"end": len(log)}).encode())
            records = []
            while body:
                (length,) = struct.unpack(">I", body[:4])
                records.append(body[4 : 4 + length])
                body = body[4 + length :]
            offset = await self._append(part, records)
            told = {"offset": offset, "end": len(log)}
            return message(200, json.dumps(told).encode())
        if path == "/log-newest":
            items = sorted(self._newest.get(part, {}).items())
            items = [item for item in items if item[0] > query.get("after", "")]
            rows = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (value, at) in items[:500]
            ]
            told = {"items": rows, "more": len(items) > 500, "end": len(log)}
            return message(200, json.dumps(told).encode())
        offset = int(query["from"])
        if offset > len(log):
            return message(410, b'{"first": 0}')
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(log) <= offset and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()
        frames = [struct.pack(">I", len(item)) + item for item in log[offset:]]
        return message(200, struct.pack(">QQ", len(log), 0) + b"".join(frames))


class Worker:
    """A worker: plain, or an engine that may join groups."""

    def __init__(self, world: World, name: str, service: str, *, engine=False) -> None:
        self.world = world
        self.id = name
        self.service = service
        self.engine = engine
        self.address = ""
        self.group: dict | None = None
        self.members: list[str] = []
        self.model = ""
        self.last_model = ""
        self.staged: list[str] = []
        self.top_epoch = -1
        self.sequence = itertools.count(1)
        self.n_orders = 0
        self.born = int(time.time() * 1000)
        self.handle = None
        self.n_events = 20
        self.event_s = 0.1

    async def start(self) -> None:
        """Listen on a free port and keep the entry up to date."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.world.tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self) -> None:
        while True:
            await self.write()
            await asyncio.sleep(1.2)

    def entry(self) -> dict:
        """Return the entry that this worker writes about itself."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 13,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": next(self.sequence),
            "born": self.born,
        }
        return entry | self._state() if self.engine else entry

    def _state(self) -> dict:
        models = [{"name": self.model, "version": 1, "adapters": []}]
        return {
            "stage": "colocated",
            "models": models if self.model else [],
            "domain": "d",
            "staged": self.staged,
            "group": self.group,
        }

    async def write(self) -> None:
        """Write the entry."""
        value = json.dumps(self.entry()).encode()
        await self.world.store.put("keyed.servers", self.id, value)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while (received := await read_message(reader)) is not None:
                first, headers, body = received
                if "cut" in headers:
                    break
                method, target, _ = first.split(" ")
                if not await self._answer(method, target, headers, body, writer):
                    break
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, headers, body, writer) -> bool:
        if target in ("/report", "/health"):
            told = self._state() | {
                "busy": False,
                "sequence": self.n_orders,
                "born": self.born,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 700000,
                "handles": 0,
            }
            writer.write(message(200, json.dumps(told).encode(), Instance_Id=self.id))
            return True
        if headers.get("target-instance", self.id) != self.id:
            writer.write(message(421))
            return True
        if target == "/order":
            writer.write(message(await self._order(json.loads(body))))
            return True
        return await self.run(method, target, headers, body, writer)

    async def run(self, method, target, headers, body, writer) -> bool:
        """Run a request; return whether the connection is kept."""
        if self.handle is not None:
            return await self.handle(self, method, target, headers, body, writer)
        request_id = headers["request-id"]
        if self.engine:
            return await self._stream(headers, writer)
        self.world.record(f"{self.id} runs {request_id}")
        self.world.runs.append((time.monotonic(), self.id, request_id))
        writer.write(
            message(
                200, b"x" * 100, Request_Id=request_id, Response_Seal="s-" + request_id
            )
        )
        return True

    # Groups

    async def _order(self, order: dict) -> int:
        op = order["op"]
        self.n_orders += 1
        mine = self.group is not None and (
            (self.group["name"], self.group["epoch"])
            == (order.get("group"), order.get("epoch"))
        )
        if op == "stage":
            self.world.tasks.append(asyncio.create_task(self._stage(order["model"])))
            return 202
        if op == "join":
            return await self._join(order, mine=mine)
        if not mine:
            return 409
        if op == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready" or self.group["rank"]:
                return 409
            self.world.tasks.append(asyncio.create_task(self._open(dict(self.group))))
            return 202
        if op == "close":
            self.group["state"] = "ready"
        elif op == "leave":
            self.world.record(f"{self.id} leaves {self.group['name']}")
            self.group, self.members, self.model = None, [], ""
        await self.write()
        return 200

    async def _stage(self, model: str) -> None:
        await asyncio.sleep(1.0)
        self.staged = [model]
        await self.write()

    async def _join(self, order: dict, *, mine: bool) -> int:
        epoch = order["epoch"]
        if epoch < self.top_epoch or (mine and order["members"] != self.members):
            return 412
        if mine:
            return 200
        self.world.joins(self, order)
        self.top_epoch = epoch
        self.members = order["members"]
        rank = self.members.index(self.id)
        self.group = {
            "name": order["group"],
            "epoch": epoch,
            "rank": rank,
            "state": "joining",
        }
        self.world.record(
            f"{self.id} joins {order['group']} epoch {epoch} of {order['members']}"
        )
        join = self._become_ready(self.group, order["model"])
        self.world.tasks.append(asyncio.create_task(join))
        await self.write()
        return 202

    async def _become_ready(self, group: dict, model: str) -> None:
        if model == self.last_model:
            await asyncio.sleep(0.2)
        else:
            await asyncio.sleep(0.3 if model in self.staged else 1.0)
            self.staged = [model]
        if self.group is group:
            self.model = self.last_model = model
            group["state"] = "ready"
            self.world.were_ready.add(
                (self.id, group["name"], group["epoch"], tuple(self.members))
            )
            await self.write()

    async def _open(self, group: dict) -> None:
        await asyncio.sleep(0.3)
        if self.group is not None and self.group["name"] == group["name"]:
            self.group["state"] = "open"
            self.world.record(f"{self.id} opens {group['name']}")
            await self.write()

    async def _stream(self, headers: dict, writer) -> bool:
        request_id = headers["request-id"]
        if self.group is None or self.group["rank"] or self.group["state"] != "open":
            writer.write(message(421, Request_Id=request_id, At_Server=self.id))
            return True
        name = self.group["name"]
        self.world.record(f"{self.id} runs {request_id} in {name}")
        self.world.check_whole(self)
        self.world.runs.append((time.monotonic(), self.id, request_id))
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Seal: s-{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, self.n_events + 1):
            await asyncio.sleep(self.event_s)
            if not self.world.is_whole(self, name):
                # A member is gone: nothing moves until the group breaks.
                self.world.record(f"{self.id} stands still in {name}")
                await asyncio.sleep(6)
                writer.transport.abort()
                return False
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Host:
    """An entry host as a process of its own."""

    def __init__(self, world: World, name: str, ip: str) -> None:
        self.world = world
        self.name = name
        self.ip = ip
        self.front = free_port(ip)
        self.ready_port = free_port(ip)
        self.peers = free_port(ip)
        self.process = None
        self.store = world.store.address
        self.zone = "z"
        self.zones = ["z"]

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.world.temporary / f"{self.name}.conf"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                front=self.front,
                ready=self.ready_port,
                peers=self.peers,
                store=self.store,
                zone=self.zone,
                zones="".join(f"zones.{zone}=r\n" for zone in self.zones),
            )
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        _, *arguments = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "RYELEVER_NODE_FILE": str(path),
            "RYELEVER_METRICS_PORT": str(free_port(self.ip)),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.world.temporary / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )

    async def is_ready(self) -> bool:
        """Return whether the host answers the readiness probe with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        received = await read_message(reader)
        writer.close()
        return received is not None and received[0].split(" ")[1] == "200"

    async def wait_ready(self) -> None:
        """Wait until the host is ready."""
        for _ in range(300):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    def log(self) -> list[dict]:
        """Return the log lines of the process."""
        lines = (self.world.temporary / f"{self.name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class CannotRunError(Exception):
    """Raised if a case could not run."""


class World:
    """The store, workers and entry hosts of one case."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record = Record(folder)
        self.temporary = temporary
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.hosts: dict[str, Host] = {}
        self.tasks: list[asyncio.Task] = []
        self.runs: list[tuple[float, str, str]] = []
        self.early_joins: list[str] = []
        self.were_ready: set[tuple] = set()
        self.partial: list[str] = []
        self._ids = itertools.count(1)

    def joins(self, worker: Worker, order: dict) -> None:
        """Check the rule TWO as a worker takes an order to join."""
        former = worker.group
        if former is None or (former["name"], former["epoch"]) == (
            order["group"],
            order["epoch"],
        ):
            return
        head = self.workers[worker.members[0]]
        if head.group is not None and head.group["name"] == former["name"]:
            state = head.group["state"]
            if state in ("open", "closing"):
                told = (
                    f"{worker.id} takes a join of {order['group']} while {head.id}, "
                    f"the head of its group {former['name']}, is {state}"
                )
                self.early_joins.append(told)
                self.record(f"BROKEN TWO: {told}")

    def check_whole(self, head: Worker) -> None:
        """Check the rule PARTIAL as a request begins to run."""
        name, epoch = head.group["name"], head.group["epoch"]
        members = tuple(head.members)
        missing = [
            item
            for item in members
            if (item, name, epoch, members) not in self.were_ready
        ]
        if missing or len(members) != ENGINE["models"][0]["size"]:
            self.partial.append(f"{name} of {members}: never ready {missing}")
            self.record(f"BROKEN PARTIAL: {self.partial[-1]}")

    def is_whole(self, head: Worker, name: str) -> bool:
        """Return whether all members are in the group of a head."""
        if head.group is None or head.group["name"] != name:
            return False
        members = [self.workers[item] for item in head.members]
        return all(item.group and item.group["name"] == name for item in members)

    async def add_worker(self, name: str, service: str, *, engine=False) -> Worker:
        """Start a worker."""
        worker = self.workers[name] = Worker(self, name, service, engine=engine)
        await worker.start()
        return worker

    def new_host(self, name: str) -> Host:
        """Return a host on a loopback address of its own."""
        high, low = divmod(os.getpid(), 250)
        ip = f"127.{20 + len(self.hosts)}.{high % 250}.{1 + low}"
        host = self.hosts[name] = Host(self, name, ip)
        return host

    def request_id(self) -> str:
        """Return a new id of a request."""
        return f"{next(self._ids):016x}"

    async def stop(self) -> None:
        """End the processes that this case started, and only those."""
        for host in self.hosts.values():
            if host.process is not None and host.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                await host.process.wait()
        for task in self.tasks:
            task.cancel()


class Caller:
    """A client with one connection, kept for its requests."""

    def __init__(self, world: World, host: Host) -> None:
        self.world = world
        self.host = host
        self._connection = None

    @property
    def is_connected(self) -> bool:
        """Return whether the connection of the last request is kept."""
        return self._connection is not None

    async def send(
        self, path: str, *, method="POST", body=b"a body", deadline=8000, **headers
    ) -> tuple[int | None, dict, bytes]:
        """Send a request; return the status (None if none came), headers and body."""
        request_id = headers.pop("request_id", None) or self.world.request_id()
        if self._connection is None:
            try:
                self._connection = await asyncio.open_connection(
                    self.host.ip, self.host.front
                )
            except OSError:
                self.world.record(f"{request_id}: no connection to {self.host.name}")
                return None, {"request-id": request_id}, b""
        reader, writer = self._connection
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: calls.example",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline}",
            "Credential: key-of-t",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.world.record(f"{request_id} sent to {self.host.name}: {method} {path}")
        with contextlib.suppress(ConnectionError):
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        received = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(deadline / 1000):
                received = await read_message(reader)
        if received is None:
            self.close()
            self.world.record(f"{request_id} gets no answer")
            return None, {"request-id": request_id}, b""
        first, answered, content = received
        status = int(first.split(" ")[1])
        if answered.get("connection") == "close" or "cut" in answered:
            self.close()
        self.world.record(
            f"{request_id} gets {status}, id {answered.get('request-id')}, seal "
            f"{answered.get('response-seal')}, {len(content)} bytes"
            + (", cut off" if "cut" in answered else "")
        )
        return status, answered | {"sent-id": request_id}, content

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


def manifest(version: int = 1, *, engine: dict | None = None, **limits: int) -> bytes:
    """Return a manifest with a plain service and, if given, an engine service."""

    def route(name: str, kind: str, service: str, **more: object) -> dict:
        return {
            "name": name,
            "host": "calls.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 8000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": False,
        } | more

    routes = [
        route("read", "safe", "app"),
        route("book", "unsafe", "app", max_attempts=1),
    ]
    services = [{"name": "app", "health_path": "/health", "max_conns": 400}]
    if engine is not None:
        more = {"sticky": True, "resumable": True, "target_gap_ms": 300}
        routes.append(route("chat", "streaming", "pool", **more))
        pool = {"name": "pool", "health_path": "/health", "max_conns": 400}
        services.append(pool | {"engine": engine})
    told = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        | limits,
        "tenants": [{"name": "t", "api_keys": ["key-of-t"], "priority": 1}],
    }
    return json.dumps(told).encode()


ENGINE = {
    "slots": 13,
    "kv_capacity_tokens": 700000,
    "stride": 5,
    "models": [
        {
            "name": "m",
            "size": 2,
            "share": 1.0,
            "pace": 1.0,
            "load_s": 1.0,
            "warm_s": 0.3,
        }
    ],
    "step_ms": 6.07,
    "per_seq_ms": 0.482,
    "context_per_k": 0.00976,
    "read_per_s": 46000.0,
    "pairs_per_m": 0.7,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "loads_per_s": 4.0,
    "loads_at_once": 6,
    "usual": {"prompt": 1000, "answer": 100},
    "cached_prefixes": 1,
    "far_x": 4.0,
    "form_ms": 300.0,
}


def play(case, folder: str) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if it couldn't run.

    ``case`` is a coroutine function of the world and of whether the disruption is to
    happen; it returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(world: World) -> bool:
        # Connections of the stand-ins that are still open are cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            async with asyncio.timeout(110):
                await world.store.start()
                return await case(world, trouble)
        finally:
            await world.stop()

    with tempfile.TemporaryDirectory() as temporary:
        world = World(Path(folder), Path(temporary))
        try:
            broken = asyncio.run(run(world))
        except Exception as error:
            world.record(f"could not run: {error!r}")
            if os.environ.get("KEEP_LOGS"):
                raise
            sys.exit(2)
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                for path in Path(temporary).glob("*.log"):
                    (Path(keep) / path.name).write_bytes(path.read_bytes())
    world.record("broken" if broken else "held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
