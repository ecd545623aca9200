"""Stand-ins of the users' platform, and helpers to start entry hosts beside them.

Everything speaks the users' pages with the standard library alone.  The stand-ins of
one case live in one event loop; the entry hosts are processes of their own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent

HEARTBEAT = 1.2
DRAIN_TIME = 2.0
STALL_TIME = 6.0
FORM_TIME = 0.3
#: Seconds that a member takes to join a group of the model that it served last.
REJOIN_TIME = 0.2
#: Seconds for which a leaving server remains for the work of its group.
MAX_STAY = 10.0

#: Ports that a host opens on its address.
HOST_PORTS = (8227, 8220, 7340, 9100)

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "calls.example"

SETTINGS = """\
node={name}
role=entry
machine_class=front
serves=front
ip={ip}
zone={zone}
region=r
{zones}
listen.front={ip}:8227
listen.ready={ip}:8220
port_range=7340,7355
first_start=true
in_failure_budget=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,gangs
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=134
bounds.recovery_s=12
bounds.pass_ms=120
bounds.stall_ms=6000
platform.address={store}
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=12
platform.keep_s=300
"""


class Record:
    """The record of one run: what was sent, answered and run, with its times."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._since = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._since

    def write(self, text: str) -> None:
        """Write one line, with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


# HTTP


@dataclass(slots=True, kw_only=True)
class Request:
    """A request that a stand-in has read completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


#: A status, headers and a body; None if the handler wrote its answer itself and the
#: connection may carry another request, False if the connection ends.
Answer = tuple[int, dict[str, str], bytes] | bool | None
Handler = Callable[[Request], Awaitable[Answer]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body; empty at the end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request:
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = b""
    if "transfer-encoding" in headers:
        while chunk := await read_chunk(reader):
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(
        method=method,
        target=target,
        headers=headers,
        body=body,
        reader=reader,
        writer=writer,
    )


def head_bytes(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Server:
    """An HTTP server on a free port of one loopback address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, 0, backlog=512)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop_listening(self) -> None:
        """Refuse new connections; those that are open go on."""
        self._server.close()

    def abort(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        lost = (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ValueError,
        )
        with contextlib.suppress(*lost):
            while True:
                request = await _read_request(reader, writer)
                answer = await self._handler(request)
                if answer is False:
                    break
                if answer is not None:
                    status, headers, body = answer
                    headers = headers | {"Content-Length": str(len(body))}
                    writer.write(head_bytes(status, headers) + body)
                    await writer.drain()
                    if headers.get("Connection") == "close":
                        break
        self._writers.discard(writer)
        with contextlib.suppress(ConnectionError):
            writer.close()


# The store


@dataclass(slots=True)
class _Partition:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """The platform's metadata store: a log of keyed topics."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.era = 1
        self.is_away = False
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._copy: dict[tuple[str, int], _Partition] = {}

    def take_copy(self) -> None:
        """Copy all records, for a later return from this copy."""
        self._copy = {
            key: _Partition(list(item.records), dict(item.newest))
            for key, item in self._partitions.items()
        }

    def come_back(self) -> None:
        """Return from the copy: what was written since is gone."""
        lost = list(self._partitions.values())
        self._partitions = self._copy
        self.era += 1
        self.is_away = False
        for partition in lost:
            partition.grown.set()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record of the operator or of a worker; empty drops the key."""
        if self.is_away:
            return
        name = key.encode()
        self._append(self._partition(topic, 0), [bytes([len(name)]) + name + value])

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _append(self, partition: _Partition, records: list[bytes]) -> None:
        for record in records:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                partition.newest[key] = (len(partition.records), value)
            else:
                partition.newest.pop(key, None)
            partition.records.append(record)
        partition.grown.set()
        partition.grown = asyncio.Event()

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(0.004)
        if self.is_away:
            return False
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        partition = self._partition(query.get("topic", ""), int(query.get("part", 0)))
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        if url.path == "/log-append":
            return self._handle_append(request, query, partition, headers)
        if url.path == "/log-newest":
            keys = sorted(
                key for key in partition.newest if key > query.get("after", "")
            )
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(partition.newest[key][1]).decode(),
                    "offset": partition.newest[key][0],
                }
                for key in keys[:500]
            ]
            page = {
                "items": items,
                "more": len(keys) > 500,
                "end": len(partition.records),
            }
            return 200, headers, json.dumps(page).encode()
        if url.path == "/log-read":
            offset = int(query["from"])
            wait = int(query.get("wait_ms", "0")) / 1000
            if offset == len(partition.records) and wait:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(partition.grown.wait(), wait)
            if self.is_away:
                return False
            partition = self._partition(query["topic"], int(query.get("part", 0)))
            headers["Store-Era"] = str(self.era)
            if offset > len(partition.records):
                return 410, headers, b'{"first": 0}'
            framed = b"".join(
                struct.pack(">I", len(record)) + record
                for record in partition.records[offset:]
            )
            ends = struct.pack(">QQ", len(partition.records), 0)
            return 200, headers, ends + framed
        return 404, headers, b"{}"

    def _handle_append(
        self,
        request: Request,
        query: dict[str, str],
        partition: _Partition,
        headers: dict[str, str],
    ) -> Answer:
        offset = len(partition.records)
        if "at" in query and int(query["at"]) != offset:
            return 412, headers, json.dumps({"end": offset}).encode()
        records, place = [], 0
        while place < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, place)
            records.append(request.body[place + 4 : place + 4 + length])
            place += 4 + length
        self._append(partition, records)
        answer = {"offset": offset, "end": len(partition.records)}
        return 200, headers, json.dumps(answer).encode()


# Workers


@dataclass(slots=True, kw_only=True)
class Model:
    """A model of the engine service."""

    name: str
    size: int
    load_s: float
    warm_s: float


class Fleet:
    """The store, the workers, and what was seen of their groups.

    Attributes
    ----------
    breaches : list of str
        Joins that the rule TWO forbids.
    """

    def __init__(self, record: Record, *, models: list[Model]) -> None:
        self.record = record
        self.store = Store()
        self.models = {model.name: model for model in models}
        self.workers: dict[str, Worker] = {}
        self.breaches: list[str] = []
        self.event_time = 0.03
        self.n_events = 10
        self.has_run = False

    async def start(self, *, n_engines: int, n_plain: int, zone: str = "z") -> None:
        """Start the store and the workers, and write the first manifest."""
        await self.store.server.start()
        self.store.put("keyed.op", "config", json.dumps(self.manifest()).encode())
        for index in range(n_engines):
            await self.add(f"i-engine{index}", "engines", zone=zone)
        for index in range(n_plain):
            await self.add(f"i-plain{index}", "plain", zone=zone)

    async def add(self, name: str, service: str, *, zone: str) -> Worker:
        """Start one worker."""
        worker = Worker(self, name, service, zone=zone)
        await worker.server.start()
        self.workers[name] = worker
        worker.beating = asyncio.create_task(worker.beat())
        return worker

    def manifest(self) -> dict[str, Any]:
        """Return the operator's manifest."""
        common = {
            "host": HOST,
            "priority": 1,
            "public": False,
            "target_latency_ms": 500,
        }
        stream = {"kind": "streaming", "service": "engines", "target_gap_ms": 300}
        limits = {"timeout_ms": 8000, "max_attempts": 2}
        plain = {"service": "plain", "timeout_ms": 3000}
        return {
            "version": 1,
            "routes": [
                common
                | stream
                | limits
                | {"name": "chat", "path_prefix": "/chat/", "resumable": True}
                | {"sticky": True},
                common
                | stream
                | limits
                | {"name": "once", "path_prefix": "/talk/", "resumable": False}
                | {"sticky": True},
                common
                | plain
                | {"name": "book", "path_prefix": "/book/", "kind": "unsafe"}
                | {"max_attempts": 1},
                common
                | plain
                | {"name": "look", "path_prefix": "/look/", "kind": "safe"}
                | {"max_attempts": 2},
            ],
            "services": [
                {
                    "name": "engines",
                    "max_conns": 404,
                    "engine": {
                        "slots": 13,
                        "models": [
                            {
                                "name": model.name,
                                "size": model.size,
                                "pace": 1.0,
                                "share": 1.0 / len(self.models),
                                "load_s": model.load_s,
                                "warm_s": model.warm_s,
                            }
                            for model in self.models.values()
                        ],
                        "step_ms": 6.07,
                        "per_seq_ms": 0.24,
                        "context_per_k": 0.005,
                        "read_per_s": 46000.0,
                        "pairs_per_m": 0.7,
                        "chunk": 2048,
                        "stride": 5,
                        "form_ms": 300,
                        "loads_per_s": 2.0,
                        "loads_at_once": 8,
                        "usual": {"prompt": 674, "answer": 135},
                        "report_lag_ms": 200,
                    },
                },
                {"name": "plain", "max_conns": 100, "health_path": "/health"},
            ],
            "tenants": [{"name": "hule930", "api_keys": [KEY]}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 30000,
            },
        }

    def load_time(self, model: str) -> float:
        """Return the seconds of a load, a tenth of the usual before any request."""
        return self.models[model].load_s * (1.0 if self.has_run else 0.1)

    def check_join(self, worker: Worker, body: dict[str, Any]) -> None:
        """Record a breach of TWO if a worker takes a join while its group serves."""
        group = worker.group
        if group is None or (group["name"], group["epoch"]) == (
            body["group"],
            body["epoch"],
        ):
            return
        head = self.workers.get(worker.members[0])
        if head is None or head.ended or head.group is None:
            return
        same = (head.group["name"], head.group["epoch"]) == (
            group["name"],
            group["epoch"],
        )
        if same and head.group["state"] in ("open", "closing"):
            breach = (
                f"TWO: {worker.id} takes a join of {body['group']} while {head.id}, "
                f"the head of its group {group['name']}, is {head.group['state']} "
                f"with {len(head.running)} requests at work"
            )
            self.breaches.append(breach)
            self.record.write(breach)


class Worker:
    """A worker: an engine that may be a member of a group, or a plain one.

    Attributes
    ----------
    runs : dict of str to list of float
        Times at which each request began to run, by its id.
    """

    def __init__(self, fleet: Fleet, name: str, service: str, *, zone: str) -> None:
        self.fleet = fleet
        self.id = name
        self.service = service
        self.zone = zone
        self.server = Server(self._handle)
        self.state = "ready"
        self.group: dict[str, Any] | None = None
        self.members: tuple[str, ...] = ()
        self.model = ""
        self.last_model = ""
        self.staged: list[str] = []
        self.highest_epoch = -1
        self.joined_with: tuple[str, ...] = ()
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count()
        self.accepts = True
        self.ended = False
        self.running: dict[str, asyncio.StreamWriter] = {}
        self.runs: dict[str, list[float]] = {}
        self.work_time = 0.045
        self.beating: asyncio.Task | None = None
        self._n_orders = 0
        self._tasks: set[asyncio.Task] = set()

    # The entry in the store

    async def beat(self) -> None:
        """Write the entry again and again, each worker at moments of its own."""
        self.write()
        await asyncio.sleep(random.random() * HEARTBEAT)
        while not self.ended:
            self.write()
            await asyncio.sleep(HEARTBEAT)

    def _says(self) -> dict[str, Any]:
        models = [{"name": self.model, "version": 1, "adapters": []}]
        said = {"stage": "colocated", "born": self.born, "domain": "d0"}
        said["models"] = models if self.model else []
        said["staged"] = self.staged
        said["group"] = self.group
        return said

    def write(self) -> None:
        """Write the entry."""
        if self.ended:
            return
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 13 if self.service == "engines" else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._n_orders,
        }
        entry |= self._says() if self.service == "engines" else {"born": self.born}
        self.fleet.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def drain(self, *, longer: float) -> None:
        """Leave: report it, serve on, stop listening, and end with the work.

        Parameters
        ----------
        longer : float
            Seconds for which the worker serves beyond ``DRAIN_TIME``.
        """
        self.state = "draining"
        self.write()
        self.fleet.record.write(f"{self.id} reports draining")
        await asyncio.sleep(DRAIN_TIME + longer)
        self.accepts = False
        self.server.stop_listening()
        self.fleet.record.write(f"{self.id} has stopped listening")
        until = time.monotonic() + MAX_STAY - DRAIN_TIME - longer
        while time.monotonic() < until and self._has_work():
            await asyncio.sleep(0.02)
        self.end()

    def _has_work(self) -> bool:
        head = self.fleet.workers.get(self.members[0]) if self.members else None
        group_works = (
            self.group is not None
            and head is not None
            and head.group is not None
            and head.group["epoch"] == self.group["epoch"]
            and bool(head.running)
        )
        return bool(self.running) or group_works

    def end(self) -> None:
        """End the process of this worker."""
        if not self.ended:
            self.fleet.store.put("keyed.servers", self.id, b"")
            self.ended = True
            self.fleet.record.write(f"{self.id} has ended")
            self.server.abort()

    # Orders

    def _later(self, seconds: float, act: Callable[[], None]) -> None:
        async def wait() -> None:
            await asyncio.sleep(seconds)
            if not self.ended:
                act()
                self.write()

        task = asyncio.create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_in(self, body: dict[str, Any]) -> bool:
        return self.group is not None and (
            self.group["name"],
            self.group["epoch"],
        ) == (body["group"], body["epoch"])

    def _order(self, body: dict[str, Any]) -> int:
        op = body["op"]
        if op == "stage":
            return self._stage(body["model"])
        if op == "join":
            return self._join(body)
        if not self._is_in(body):
            return 409
        if op == "leave":
            self.group, self.members, self.model = None, (), ""
            self.cut_streams("the head has left")
            return 200
        state = self.group["state"]
        if op == "open":
            if state == "open":
                return 200
            if state != "ready" or self.group["rank"]:
                return 409
            group = self.group
            self._later(FORM_TIME, lambda: self._set_state(group, "ready", "open"))
            return 202
        if op == "close":
            if state == "ready":
                return 200
            if state != "open":
                return 409
            self.group = self.group | {"state": "closing"}
            if body.get("close_mode") == "preempt":
                self.cut_streams("closed")
            self._close_when_done()
            return 202
        return 400

    def _set_state(self, group: dict[str, Any], before: str, after: str) -> None:
        if self.group is not None and self.group == group | {"state": before}:
            self.group = group | {"state": after}

    def _close_when_done(self) -> None:
        if self.group is not None and self.group["state"] == "closing":
            if not self.running:
                self.group = self.group | {"state": "ready"}
            else:
                self._later(0.02, self._close_when_done)

    def _stage(self, model: str) -> int:
        if model in self.staged:
            return 200

        def done() -> None:
            self.staged = [model]

        self._later(self.fleet.load_time(model), done)
        return 202

    def _join(self, body: dict[str, Any]) -> int:
        members = tuple(body["members"])
        if body["epoch"] < self.highest_epoch:
            return 412
        if body["epoch"] == self.highest_epoch:
            if members != self.joined_with:
                return 412
            if self._is_in(body):
                return 200
        self.fleet.check_join(self, body)
        model = self.fleet.models[body["model"]]
        if self.last_model == model.name:
            seconds = REJOIN_TIME
        elif model.name in self.staged:
            seconds = model.warm_s
        else:
            seconds = self.fleet.load_time(model.name)
        self.highest_epoch = body["epoch"]
        self.members = self.joined_with = members
        self.model = self.last_model = model.name
        self.staged = [model.name]
        group = {
            "name": body["group"],
            "epoch": body["epoch"],
            "rank": members.index(self.id),
            "state": "joining",
        }
        self.group = group
        self.cut_streams("joined another group")
        self._later(seconds, lambda: self._set_state(group, "joining", "ready"))
        return 202

    # Requests

    async def _handle(self, request: Request) -> Answer:
        path = urlsplit(request.target).path
        target = request.headers.get("target-instance", self.id)
        if target != self.id:
            return 421, {"Not-Executed": "1", "Instance-Id": self.id}, b""
        if path == "/order" and request.method == "POST":
            body = json.loads(request.body)
            status = self._order(body)
            self._n_orders += status == 202
            told = {name: body.get(name) for name in ("group", "epoch", "model")}
            self.fleet.record.write(
                f"{self.id} gets order {body['op']} {told}: {status}"
            )
            self.write()
            return status, {}, b""
        if path in ("/report", "/health"):
            report = self._says() | {"busy": False, "sequence": self._n_orders}
            report |= {"queued": 0, "running": len(self.running)}
            headers = {"Content-Type": "application/json", "Instance-Id": self.id}
            return 200, headers, json.dumps(report).encode()
        return await self._request(request)

    def _common(self, request_id: str) -> dict[str, str]:
        headers = {"Request-Id": request_id}
        if self.state == "draining":
            headers |= {"Server-Leaving": "1", "Connection": "close"}
        return headers

    async def _request(self, request: Request) -> Answer:
        request_id = request.headers.get("request-id", "")
        headers = self._common(request_id)
        if not request_id:
            return 400, headers | {"Not-Executed": "1"}, b""
        engine = self.service == "engines"
        if engine and (self.group is None or self.group["rank"]):
            return 421, headers | {"Not-Executed": "1"}, b""
        if not self.accepts or (engine and self.group["state"] != "open"):
            return 503, headers | {"Not-Executed": "1"}, b""
        self.fleet.has_run = True
        self.runs.setdefault(request_id, []).append(self.fleet.record.now())
        self.fleet.record.write(f"{self.id} runs {request_id}")
        seal = f"3e1b.{self.id}.{len(self.runs)}"
        headers |= {"Response-Seal": seal}
        if not engine:
            await asyncio.sleep(self.work_time)
            body = f"{self.id} {request.method} {request.target}".encode()
            self.fleet.record.write(f"{self.id} has run {request_id}")
            return 200, headers, body
        return await self._stream(request, request_id, headers)

    async def _stream(
        self, request: Request, request_id: str, headers: dict[str, str]
    ) -> Answer:
        writer = request.writer
        self.running[request_id] = writer
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head_bytes(200, headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        n_events = int(request.headers.get("x-events", self.fleet.n_events))
        gone = asyncio.ensure_future(request.reader.read(1))
        try:
            for number in range(first, n_events + 1):
                pause = asyncio.ensure_future(self._step())
                await asyncio.wait({gone, pause}, return_when="FIRST_COMPLETED")
                if gone.done() or self.running.get(request_id) is not writer:
                    pause.cancel()
                    self.fleet.record.write(f"{self.id} drops {request_id}")
                    writer.transport.abort()
                    return False
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.fleet.record.write(f"{self.id} has run {request_id}")
            return False
        finally:
            gone.cancel()
            if self.running.get(request_id) is writer:
                del self.running[request_id]

    async def _step(self) -> None:
        """Wait for the next event; stand still while the group isn't whole."""
        await asyncio.sleep(self.fleet.event_time)
        since = time.monotonic()
        while not self._is_whole():
            await asyncio.sleep(0.02)
            if time.monotonic() - since > STALL_TIME and self.group is not None:
                self.group = self.group | {"state": "broken"}
                self.write()
                self.cut_streams("the group is broken")
                return

    def _is_whole(self) -> bool:
        if self.group is None:
            return True
        key = (self.group["name"], self.group["epoch"])
        members = (self.fleet.workers[name] for name in self.members)
        return all(
            member.group is not None
            and not member.ended
            and (member.group["name"], member.group["epoch"]) == key
            for member in members
        )

    def cut_streams(self, why: str) -> None:
        """Cut off what runs."""
        for request_id in list(self.running):
            self.fleet.record.write(f"{self.id} cuts {request_id}: {why}")
            self.running.pop(request_id).transport.abort()


# Clients


@dataclass(slots=True, kw_only=True)
class Reply:
    """What a client got.

    Attributes
    ----------
    status : int
        0 if the connection ended without a head.
    complete : bool
        True if the answer came to its end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Client:
    """One client's connection, which may carry several requests."""

    def __init__(self, address: str, record: Record) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        connecting = asyncio.open_connection(self._host, self._port)
        self._streams = await asyncio.wait_for(connecting, 1.0)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def call(
        self,
        path: str,
        *,
        model: str = "",
        n_events: int = 0,
        deadline_ms: int = 8000,
        method: str = "POST",
        request_id: str = "",
    ) -> Reply:
        """Send one request and return what came back."""
        request_id = request_id or f"{random.getrandbits(64):016x}"
        if self._streams is None:
            await self.connect()
        reader, writer = self._streams
        body = b"" if method == "GET" else b"a question"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Credential": KEY,
        }
        if model:
            headers |= {"Model": model, "Token-Usage": "674,400"}
            headers |= {"Prefix-Hash": f"5c1e07a2:40,{request_id[:8]}:634"}
        if n_events:
            headers["X-Events"] = str(n_events)
        if body:
            headers["Content-Length"] = str(len(body))
        lines = [
            f"{method} {path} HTTP/1.1",
            *(f"{k}: {v}" for k, v in headers.items()),
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        self._record.write(f"client sends {request_id} {path}")
        reply = Reply()
        lost = (ConnectionError, asyncio.IncompleteReadError, TimeoutError, OSError)
        with contextlib.suppress(*lost):
            limit = deadline_ms / 1000 + 1.0
            await asyncio.wait_for(self._read(reader, reply), limit)
        kept = reply.complete and reply.headers.get("connection", "") != "close"
        how = "complete" if reply.complete else "NOT complete"
        self._record.write(
            f"client gets for {request_id}: {reply.status}, {how}, "
            f"{len(reply.body)} bytes{'' if kept else ', connection ends'}"
        )
        if not kept:
            self.close()
        return reply

    async def _read(self, reader: asyncio.StreamReader, reply: Reply) -> None:
        first, reply.headers = await read_head(reader)
        reply.status = int(first.split(" ")[1])
        if reply.headers.get("transfer-encoding") == "chunked":
            while chunk := await read_chunk(reader):
                reply.body += chunk
        else:
            length = int(reply.headers.get("content-length", "0"))
            reply.body = await reader.readexactly(length)
        reply.complete = True


# Entry hosts


class EntryHost:
    """An entry host, started as the deploy file says, on an address of its own."""

    def __init__(self, name: str, *, ip: str, zone: str = "z") -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front = f"{ip}:8227"
        self._process: subprocess.Popen[bytes] | None = None
        self.log: Path | None = None

    def start(self, directory: Path, *, store: str, zones: tuple[str, ...]) -> None:
        """Start the process."""
        settings = directory / f"{self.name}.conf"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                zones="\n".join(f"zones.{zone}=r" for zone in zones),
                store=store,
            )
        )
        self.log = directory / f"{self.name}.log"
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "RYELEVER_NODE_FILE": str(settings),
            "RYELEVER_METRICS_PORT": "9100",
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "ryelever.relay_host"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def events(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one kind that the process has logged."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                if isinstance(fields, dict) and fields.get("event") == event:
                    found.append(fields)
        return found

    async def is_ready(self) -> bool:
        """Return whether the status check of the platform succeeds."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8220)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return " 200 " in first + " "


def open_heads(fleet: Fleet) -> list[Worker]:
    """Return the heads of the groups that serve."""
    return [
        worker
        for worker in fleet.workers.values()
        if worker.group and not worker.group["rank"] and worker.group["state"] == "open"
    ]


class CaseError(Exception):
    """The case could not run."""


async def until(
    condition: Callable[[], Any], *, what: str, timeout: float = 30.0
) -> Any:
    """Return the first true value of a condition, which may be awaitable."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.02)
    raise CaseError(f"not within {timeout:g} s: {what}")


def free_ips(count: int) -> list[str]:
    """Return loopback addresses on which the ports of a host are free."""
    found = []
    for _ in range(200):
        numbers = [random.randrange(1, 250) for _ in range(3)]
        ip = "127." + ".".join(map(str, numbers))
        if ip not in found and all(_is_free(ip, port) for port in HOST_PORTS):
            found.append(ip)
        if len(found) == count:
            return found
    raise CaseError("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(
    case: Callable[[Record, Path, bool], Awaitable[bool]], folder: Path
) -> int:
    """Run a case and return its exit code: 1 if the rule was broken, 2 for no run.

    Parameters
    ----------
    case : callable
        Run the case, given the record, a temporary folder and whether there is
        trouble; return whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"the case begins, with{'' if trouble else 'out'} the disruption")

    async def limited(directory: Path) -> bool:
        # What stops this process stops the case, which ends what it started.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record, directory, trouble), 110)
        finally:
            # Connections that are open at the end are cancelled without a word.
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    with tempfile.TemporaryDirectory() as directory:
        try:
            held = asyncio.run(limited(Path(directory)))
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
    verdict = "held" if held else "broken"
    record.write(f"the rule was {verdict}")
    print(f"the rule was {verdict}")
    return 0 if held else 1
