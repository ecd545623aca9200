"""Forward TCP between two processes, and break, delay or silence connections."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import defopt
from aiohttp import web

from .runner import run


@dataclass(slots=True, kw_only=True)
class Switches:
    """Faults that are switched on.

    Attributes
    ----------
    refuse : bool
        Abort new connections at once.
    delay_ms : float
        Milliseconds to wait before each chunk of data is forwarded.
    cut_after : int
        Number of bytes of answers after which a connection is aborted; 0 aborts none.
    n_cuts : int
        Number of connections that ``cut_after`` may still abort.
    """

    refuse: bool = False
    delay_ms: float = 0.0
    cut_after: int = 0
    n_cuts: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class _Link:
    """Forwarded connection with its two ends."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    silent: bool = False
    n_answer_bytes: int = 0


class Forwarder:
    """TCP forwarder to one address.

    A silenced connection stays open at both ends but carries no more data, as when a
    device in between has lost its state; connections opened later work.
    """

    def __init__(self, *, target: str) -> None:
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.switches = Switches()
        self.links: set[_Link] = set()
        self.n_links = 0
        self.n_silenced = 0

    def app(self) -> web.Application:
        """Return the HTTP application of the switches."""
        app = web.Application()
        app.router.add_post("/control", self.control)
        app.router.add_get("/control", self.describe)
        app.on_startup.append(self._start)
        return app

    async def _start(self, app: web.Application) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        app["server"] = server
        print(f"forwarding {host}:{port}", flush=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.switches.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writers=[writer, target_writer])
        self.links.add(link)
        self.n_links += 1
        pipes = [
            asyncio.ensure_future(
                self._pipe(link, reader, target_writer, is_answer=False)
            ),
            asyncio.ensure_future(
                self._pipe(link, target_reader, writer, is_answer=True)
            ),
        ]
        await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
        if link.silent:
            await asyncio.wait(pipes)
        for pipe in pipes:
            pipe.cancel()
        self._abort(link)

    async def _pipe(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = await reader.read(65536)
                if self.switches.delay_ms:
                    await asyncio.sleep(self.switches.delay_ms / 1000)
                if link.silent:
                    await asyncio.Event().wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()
                if is_answer and self._must_abort(link, len(data)):
                    return

    def _must_abort(self, link: _Link, n_bytes: int) -> bool:
        """Count bytes of answers; return whether ``cut_after`` ends the connection."""
        link.n_answer_bytes += n_bytes
        switches = self.switches
        may_abort = switches.n_cuts and switches.cut_after
        if not may_abort or link.n_answer_bytes < switches.cut_after:
            return False
        switches.n_cuts -= 1
        return True

    def _abort(self, link: _Link) -> None:
        self.links.discard(link)
        for writer in link.writers:
            writer.transport.abort()

    async def control(self, request: web.Request) -> web.Response:
        """Set switches; ``silence`` silences all connections that are open now."""
        for name, value in (await request.json()).items():
            if name == "silence":
                for link in self.links:
                    self.n_silenced += not link.silent
                    link.silent = True
            else:
                setattr(self.switches, name, value)
        return web.json_response({})

    async def describe(self, request: web.Request) -> web.Response:
        """Return the numbers of forwarded and of silenced connections."""
        counts = {"n_links": self.n_links, "n_silenced": self.n_silenced}
        return web.json_response(counts)


def main(*, target: str, port: int = 0) -> None:
    """Run a TCP forwarder to an address, with an HTTP interface for its switches.

    Parameters
    ----------
    target : str
        Address to forward to.
    port : int
        Port of the HTTP interface; 0 picks a free one.
    """
    run(Forwarder(target=target).app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
