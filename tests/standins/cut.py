"""Stand between two processes and cut, delay or silence what flows."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import defopt
from aiohttp import web

from .runner import run


@dataclass(slots=True, kw_only=True)
class Switches:
    """Hold the faults that are switched on.

    Attributes
    ----------
    refuse : bool
        Close new connections at once.
    delay_ms : float
        Wait before passing each piece on.
    cut_after : int
        Break a connection after this many bytes of answers; 0 never does.
    n_cuts : int
        Connections that ``cut_after`` may still break.
    """

    refuse: bool = False
    delay_ms: float = 0.0
    cut_after: int = 0
    n_cuts: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class _Link:
    """Hold one connection with its two ends."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    silent: bool = False
    n_answered: int = 0


class Cut:
    """Forward TCP to one address.

    A silenced connection stays open at both ends and passes nothing on, as when a
    device in between has lost track of it; connections made later work.
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
        server = await asyncio.start_server(self._link, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        app["server"] = server
        print(f"forwarding {host}:{port}", flush=True)

    async def _link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.switches.refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writers=[writer, far_writer])
        self.links.add(link)
        self.n_links += 1
        pipes = [
            asyncio.ensure_future(self._pipe(link, reader, far_writer, answers=False)),
            asyncio.ensure_future(self._pipe(link, far_reader, writer, answers=True)),
        ]
        await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
        if link.silent:
            await asyncio.wait(pipes)
        for pipe in pipes:
            pipe.cancel()
        self._break(link)

    async def _pipe(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
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
                if answers and self._is_due(link, len(data)):
                    return

    def _is_due(self, link: _Link, n_bytes: int) -> bool:
        link.n_answered += n_bytes
        switches = self.switches
        due = switches.n_cuts and switches.cut_after
        if not due or link.n_answered < switches.cut_after:
            return False
        switches.n_cuts -= 1
        return True

    def _break(self, link: _Link) -> None:
        self.links.discard(link)
        for writer in link.writers:
            writer.transport.abort()

    async def control(self, request: web.Request) -> web.Response:
        """Set switches; ``silence`` drops what is open now without a word."""
        for name, value in (await request.json()).items():
            if name == "silence":
                for link in self.links:
                    self.n_silenced += not link.silent
                    link.silent = True
            else:
                setattr(self.switches, name, value)
        return web.json_response({})

    async def describe(self, request: web.Request) -> web.Response:
        """Return counts."""
        counts = {"n_links": self.n_links, "n_silenced": self.n_silenced}
        return web.json_response(counts)


def main(*, target: str, port: int = 0) -> None:
    """Forward TCP to an address, and serve the switches.

    Parameters
    ----------
    target : str
        Address to forward to.
    port : int
        Port of the switches; 0 picks a free one.
    """
    run(Cut(target=target).app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
