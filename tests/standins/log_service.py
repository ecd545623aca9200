"""Stand in for the platform's append-only log service."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

import defopt
from aiohttp import web

from .runner import run

#: Seconds between two looks at whether reads are still held.
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
    """Hold the faults that are switched on.

    Attributes
    ----------
    outage : bool
        Refuse every call.
    delay_ms : float
        Wait before each answer.
    lose_append_answers : bool
        Take appends and break the connection in place of an answer.
    hold_reads : bool
        Answer no read until it is switched off again.
    retention : int
        Records kept in each stream; 0 keeps all.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_append_answers: bool = False
    hold_reads: bool = False
    retention: int = 0


class LogService:
    """Hold the streams in memory."""

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

    async def _fault(self) -> None:
        if self.switches.delay_ms:
            await asyncio.sleep(self.switches.delay_ms / 1000)
        if self.switches.outage:
            raise web.HTTPServiceUnavailable(text="outage")

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Append records and answer their offsets."""
        await self._fault()
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
        """Return records from an offset, waiting for one if there is none."""
        await self._fault()
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
        await self._fault()
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
        """Return counts."""
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
