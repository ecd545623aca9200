"""TCP proxy on loopback that delays, stalls or resets connections on demand."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import functools
import threading
from collections.abc import Iterable

__all__ = ["LoopbackProxy", "ProxyMode"]

CHUNK = 65536

#: Seconds by which ``ProxyMode.DELAYED`` delays each chunk.
DELAY = 0.3


class ProxyMode(enum.Enum):
    """Treatment of the data of all connections.

    ``PASS`` forwards data, ``DELAYED`` forwards data late, ``SILENT`` forwards nothing,
    ``NO_ANSWERS`` forwards requests but no answers, and ``RESET`` aborts connections.
    """

    PASS = "pass"
    DELAYED = "delayed"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"
    RESET = "reset"


class LoopbackProxy:
    """TCP proxy to some addresses, which runs in a separate thread.

    Parameters
    ----------
    targets : iterable of str
        Addresses to which connections are forwarded.

    Attributes
    ----------
    address_by_target : dict of str to str
        The proxy's address for each target.
    """

    def __init__(self, *, targets: Iterable[str]) -> None:
        self._targets = list(targets)
        self._loop = asyncio.new_event_loop()
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = ProxyMode.PASS
        self.address_by_target: dict[str, str] = {}
        self._listening = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._listening.wait()

    def set(self, mode: ProxyMode) -> None:
        """Set the mode for all data from now on; ``RESET`` aborts open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            self._loop.call_soon_threadsafe(self._reset)

    def close(self) -> None:
        """Stop the thread and wait for its end."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen())
        self._loop.run_forever()
        # A stream that is collected later would use the closed loop.
        self._reset()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        cancellation = asyncio.gather(*tasks, return_exceptions=True)
        self._loop.run_until_complete(cancellation)
        self._loop.close()

    async def _listen(self) -> None:
        for target in self._targets:
            accept = functools.partial(self._accept, target)
            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            self.address_by_target[target] = f"{host}:{port}"
        self._listening.set()

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        host, _, port = address.rpartition(":")
        try:
            target = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target[1], is_answer=False),
                self._forward(target[0], writer, is_answer=True),
            )
        self._writers -= {writer, target[1]}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await self._apply_mode(reader, is_answer=is_answer)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

    async def _apply_mode(
        self, reader: asyncio.StreamReader, *, is_answer: bool
    ) -> None:
        """Hold data for as long as the mode demands.

        Raises
        ------
        OSError
            If the sender has reset its connection, with which held data are lost.
        """
        if self.mode is ProxyMode.DELAYED:
            await asyncio.sleep(DELAY)
        while self.mode is ProxyMode.SILENT or (
            is_answer and self.mode is ProxyMode.NO_ANSWERS
        ):
            await asyncio.sleep(DELAY / 10)
            if reader.exception() is not None:
                raise reader.exception()
