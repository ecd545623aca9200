"""Stand-in for a plain service with a non-repeatable call."""

from __future__ import annotations

import asyncio
from collections import Counter

import defopt
from aiohttp import web

from .runner import run


class PlainService:
    """Plain service that takes bookings and counts how often each one ran."""

    def __init__(self) -> None:
        self.n_runs_by_key: Counter[str] = Counter()
        self.delay = 0.0
        self.break_answers = False
        self.released = asyncio.Event()
        self.released.set()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/bookings", self.book)
        app.router.add_get("/bookings", self.bookings)
        app.router.add_post("/control", self.control)
        return app

    async def book(self, request: web.Request) -> web.Response:
        """Run a booking and count the run; repeated bookings are not detected."""
        key = request.headers.get("Idempotency-Key", "")
        body = await request.json()
        self.n_runs_by_key[key] += 1
        await asyncio.sleep(self.delay)
        await self.released.wait()
        if self.break_answers:
            request.transport.abort()
        n_runs = self.n_runs_by_key[key]
        return web.json_response({"booked": body, "run": n_runs}, status=201)

    async def bookings(self, request: web.Request) -> web.Response:
        """Return how often each booking ran."""
        return web.json_response(dict(self.n_runs_by_key))

    async def control(self, request: web.Request) -> web.Response:
        """Set switches; ``hold_answers`` delays answers until it is switched off."""
        body = await request.json()
        if "hold_answers" in body:
            (self.released.clear if body["hold_answers"] else self.released.set)()
        self.delay = body.get("delay", self.delay)
        self.break_answers = body.get("break_answers", self.break_answers)
        return web.json_response({})


def main(*, port: int = 0) -> None:
    """Run the plain service.

    Parameters
    ----------
    port : int
        Port; 0 picks a free one.
    """
    run(PlainService().app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
