"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

import defopt
from aiohttp import web

from .runner import run

#: Seconds between two checks of whether ``hold_reads`` is still on.
HOLD_CHECK = 0.02


@dataclass(slots=True, kw_only=True)
class _Stream:
    first: int = 0
    entries: list[dict] = field(default_factory=list)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        return self.first + len(self.entries)


@dataclass(slots=True, kw_only=True)
class Switches:
    """Faults that are switched on.

    Attributes
    ----------
    outage : bool
        Refuse every call with 503.
    delay_ms : float
        Milliseconds to wait before each call is processed.
    lose_append_answers : bool
        Apply appends and abort the connection instead of answering.
    hold_reads : bool
        Delay the answers to all reads until the switch is off again.
    retention : int
        Number of newest records kept in each stream; 0 keeps all.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_append_answers: bool = False
    hold_reads: bool = False
    retention: int = 0


class LogService:
    """Log service that keeps its streams in memory."""

    def __init__(self) -> None:
        self.streams_by_name: dict[str, _Stream] = {}
        self.switches = Switches()
        self.n_appends = 0
        self.n_append_bytes = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=16 << 20)
        app.router.add_post("/v1/streams/{name}/records", self.append)
        app.router.add_get("/v1/streams/{name}/records", self.read)
        app.router.add_post("/control", self.control)
        app.router.add_get("/control", self.describe)
        return app

    def _stream(self, request: web.Request) -> _Stream:
        return self.streams_by_name.setdefault(request.match_info["name"], _Stream())

    async def _apply_fault(self) -> None:
        if self.switches.delay_ms:
            await asyncio.sleep(self.switches.delay_ms / 1000)
        if self.switches.outage:
            raise web.HTTPServiceUnavailable(text="outage")

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Append records and return their offsets."""
        await self._apply_fault()
        stream = self._stream(request)
        raw = await request.read()
        items = (await request.json())["records"]
        self.n_appends += 1
        self.n_append_bytes += len(raw)
        offsets = [self._append_one(stream, item) for item in items]
        stream.grown.set()
        stream.grown = asyncio.Event()
        if self.switches.lose_append_answers:
            request.transport.abort()
        return web.json_response({"offsets": offsets})

    def _append_one(self, stream: _Stream, item: dict) -> int:
        offset = stream.next
        stream.entries.append({"offset": offset, "time": time.time(), **item})
        if self.switches.retention and len(stream.entries) > self.switches.retention:
            n_expired = len(stream.entries) - self.switches.retention
            del stream.entries[:n_expired]
            stream.first += n_expired
        return offset

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset; wait up to ``wait_ms`` if there are none."""
        await self._apply_fault()
        stream = self._stream(request)
        offset = int(request.query["from"])
        limit = int(request.query.get("limit", "1000"))
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if offset < stream.first:
            body = {"first": stream.first, "next": stream.next}
            return web.json_response(body, status=410)
        if offset >= stream.next and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.grown.wait(), wait)
        while self.switches.hold_reads:
            await asyncio.sleep(HOLD_CHECK)
        await self._apply_fault()
        start = max(0, offset - stream.first)
        page = stream.entries[start : start + limit]
        body = {"first": stream.first, "next": stream.next, "records": page}
        return web.json_response(body)

    async def control(self, request: web.Request) -> web.Response:
        """Set switches."""
        for name, value in (await request.json()).items():
            setattr(self.switches, name, value)
        return web.json_response({})

    async def describe(self, request: web.Request) -> web.Response:
        """Return the ends of the streams, and counts of appends and their bytes."""
        streams = {
            name: {"first": stream.first, "next": stream.next}
            for name, stream in self.streams_by_name.items()
        }
        counts = {"n_appends": self.n_appends, "n_append_bytes": self.n_append_bytes}
        return web.json_response({"streams": streams} | counts)


def main(*, port: int = 0) -> None:
    """Run the log service.

    Parameters
    ----------
    port : int
        Port; 0 picks a free one.
    """
    run(LogService().app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
