"""Stand-in for the platform's keyed store: a log of topics and each key's newest value.

Each topic has partitions of appended records.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import copy
import struct
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import web

__all__ = ["PlatformStore", "StoreSwitches"]

_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


@dataclass(slots=True, kw_only=True)
class StoreSwitches:
    """Faults that are switched on.

    Attributes
    ----------
    refuse : bool
        Answer every call with 503.
    silent : bool
        Leave every call unanswered.
    lose_answers : bool
        Apply appends and abort the connection instead of answering.
    """

    refuse: bool = False
    silent: bool = False
    lose_answers: bool = False


@dataclass(slots=True, kw_only=True)
class _Partition:
    first: int = 0
    records: list[bytes] = field(default_factory=list)
    newest_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def copied(self) -> _Partition:
        """Return a copy that later appends do not change."""
        return _Partition(
            first=self.first,
            records=list(self.records),
            newest_by_key=copy.copy(self.newest_by_key),
        )


class PlatformStore:
    """Keyed store that keeps its topics in memory."""

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], _Partition] = {}
        self.switches_by_endpoint: dict[str, StoreSwitches] = {}
        self.n_calls = 0
        self.n_calls_by_topic: Counter[str] = Counter()
        self.n_appends = 0
        self.era = 1
        self._copy: dict[tuple[str, int], _Partition] = {}

    def app(self, *, endpoint: str = "store") -> web.Application:
        """Return the HTTP application of one endpoint, which has its own switches."""
        app = web.Application(client_max_size=4 << 20)
        app["endpoint"] = endpoint
        app.on_response_prepare.append(self._add_era_header)
        self.switches_by_endpoint[endpoint] = StoreSwitches()
        app.router.add_post("/log-append", self.append)
        app.router.add_get("/log-read", self.read)
        app.router.add_get("/log-newest", self.newest)
        return app

    def _partition(self, request: web.Request) -> _Partition:
        key = (request.query["topic"], int(request.query["part"]))
        return self.partitions.setdefault(key, _Partition())

    def _switches(self, request: web.Request) -> StoreSwitches:
        return self.switches_by_endpoint[request.app["endpoint"]]

    async def _apply_fault(self, request: web.Request) -> None:
        self.n_calls += 1
        self.n_calls_by_topic[request.query["topic"]] += 1
        if self._switches(request).silent:
            await asyncio.Event().wait()
        if self._switches(request).refuse:
            raise web.HTTPServiceUnavailable

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to partition 0, as the operator or a backend server does."""
        partition = self.partitions.setdefault((topic, 0), _Partition())
        name = key.encode()
        self._append_one(partition, bytes([len(name)]) + name + value)
        self._wake(partition)

    async def _add_era_header(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self.era)

    def take_copy(self) -> None:
        """Copy all partitions, for a later restore."""
        self._copy = {key: item.copied() for key, item in self.partitions.items()}

    def restore_copy(self) -> None:
        """Restore the copy in a new era; records appended since the copy are lost."""
        lost = list(self.partitions.values())
        self.partitions = {key: item.copied() for key, item in self._copy.items()}
        self.era += 1
        for partition in lost:
            self._wake(partition)

    def drop_history(self, topic: str) -> None:
        """Drop the records of a topic; the newest record of each key stays readable."""
        partition = self.partitions[topic, 0]
        partition.first = partition.end
        partition.records.clear()

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Append all records of a call, or none if ``at`` is not the end."""
        await self._apply_fault(request)
        self.n_appends += 1
        partition = self._partition(request)
        body = await request.read()
        at = request.query.get("at")
        if at is not None and int(at) != partition.end:
            return web.json_response({"end": partition.end}, status=412)
        offset = partition.end
        place = 0
        while place < len(body):
            (length,) = _LENGTH.unpack_from(body, place)
            place += _LENGTH.size
            self._append_one(partition, body[place : place + length])
            place += length
        self._wake(partition)
        if self._switches(request).lose_answers:
            request.transport.abort()
        return web.json_response({"offset": offset, "end": partition.end})

    def _append_one(self, partition: _Partition, record: bytes) -> None:
        offset = partition.end
        partition.records.append(record)
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        if value:
            partition.newest_by_key[key] = (offset, value)
        else:
            partition.newest_by_key.pop(key, None)

    def _wake(self, partition: _Partition) -> None:
        partition.grown.set()
        partition.grown = asyncio.Event()

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset; wait up to ``wait_ms`` if there are none."""
        await self._apply_fault(request)
        partition = self._partition(request)
        offset = int(request.query["from"])
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if offset < partition.first or offset > partition.end:
            return web.json_response({"first": partition.first}, status=410)
        if offset >= partition.end and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.grown.wait(), wait)
        await self._apply_fault(request)
        partition = self._partition(request)
        if offset > partition.end:
            return web.json_response({"first": partition.first}, status=410)
        records = partition.records[max(0, offset - partition.first) :]
        framed = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        return web.Response(body=_ENDS.pack(partition.end, partition.first) + framed)

    async def newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key after ``after``, up to five hundred."""
        await self._apply_fault(request)
        partition = self._partition(request)
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest_by_key if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest_by_key[key][1]).decode(),
                "offset": partition.newest_by_key[key][0],
            }
            for key in keys[:500]
        ]
        more = len(keys) > 500
        return web.json_response({"items": items, "more": more, "end": partition.end})
