"""Serve the HTTP application of one stand-in."""

from __future__ import annotations

import asyncio

from aiohttp import web

__all__ = ["run"]


def run(app: web.Application, *, port: int) -> None:
    """Serve ``app`` on ``port``, or on a free one for 0, and print the address."""
    asyncio.run(_serve(app, port))


async def _serve(app: web.Application, port: int) -> None:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port, backlog=1024)
    await site.start()
    host, bound_port = runner.addresses[0]
    app["address"] = f"{host}:{bound_port}"
    print(f"listening {host}:{bound_port}", flush=True)
    await asyncio.Event().wait()
