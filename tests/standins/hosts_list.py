"""Stand in for the platform's lagging list of live and leaving hosts."""

from __future__ import annotations

import time

import defopt
from aiohttp import web

from .runner import run


class HostsListService:
    """Serve the hosts as they were ``lag`` seconds ago."""

    def __init__(self, *, lag: float) -> None:
        self.lag = lag
        self.outage = False
        self._versions: list[tuple[float, list[dict]]] = [(float("-inf"), [])]

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/hosts", self.hosts)
        app.router.add_post("/control", self.control)
        return app

    async def hosts(self, request: web.Request) -> web.Response:
        """Return the list."""
        if self.outage:
            raise web.HTTPServiceUnavailable(text="outage")
        seen_at = time.monotonic() - self.lag
        visible = [hosts for at, hosts in self._versions if at <= seen_at]
        return web.json_response({"hosts": visible[-1]})

    async def control(self, request: web.Request) -> web.Response:
        """Set the hosts, the lag or an outage."""
        body = await request.json()
        if "lag" in body:
            self.lag = body["lag"]
        if "outage" in body:
            self.outage = body["outage"]
        if "hosts" in body:
            self._versions.append((time.monotonic(), body["hosts"]))
        return web.json_response({})


def main(*, port: int = 0, lag: float = 0.0) -> None:
    """Run the list of hosts.

    Parameters
    ----------
    port : int
        Port; 0 picks a free one.
    lag : float
        Seconds by which the list lags.
    """
    run(HostsListService(lag=lag).app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
