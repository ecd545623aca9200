"""Stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

import asyncio

import defopt
from aiohttp import web

from .runner import run


class WeightStore:
    """Serve weights of a fixed size at a rate that all readers share."""

    def __init__(self, *, rate: float, size: int) -> None:
        self.rate = rate
        self.size = size
        self.n_loads = 0
        self._transfer_lock = asyncio.Lock()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/weights/{model}/{version}", self.weights)
        app.router.add_get("/control", self.describe)
        return app

    async def weights(self, request: web.Request) -> web.Response:
        """Return weights, one reader after another, as fast as the rate allows."""
        async with self._transfer_lock:
            await asyncio.sleep(self.size / self.rate)
        self.n_loads += 1
        return web.Response(body=b"\0" * min(self.size, 1024))

    async def describe(self, request: web.Request) -> web.Response:
        """Return the number of loads."""
        return web.json_response({"n_loads": self.n_loads})


def main(*, port: int = 0, rate: float = 1e9, size: int = 1_000_000) -> None:
    """Run the weight store.

    Parameters
    ----------
    port : int
        Port; 0 picks a free one.
    rate : float
        Bytes per second, shared by all readers.
    size : int
        Size in bytes of one model's weights for one host.
    """
    run(WeightStore(rate=rate, size=size).app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
