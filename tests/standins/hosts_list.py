"""Stand-in for the platform's lagging list of live and leaving hosts."""

from __future__ import annotations

import time
import uuid

import defopt
from aiohttp import web

from .runner import run


class HostsListService:
    """Serve the list of hosts as it was ``lag`` seconds ago."""

    def __init__(self, *, lag: float) -> None:
        self.lag = lag
        self.outage = False
        self.tagged = True
        self.boot = uuid.uuid4().hex
        self.n_read = 0
        self.n_not_modified = 0
        self._versions: list[tuple[float, list[dict]]] = [(float("-inf"), [])]

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/hosts", self.hosts)
        app.router.add_post("/control", self.control)
        app.router.add_get("/control", self.describe)
        return app

    async def hosts(self, request: web.Request) -> web.Response:
        """Return the list of hosts, or 304 if its tag has not changed."""
        if self.outage:
            raise web.HTTPServiceUnavailable(text="outage")
        visible_at = time.monotonic() - self.lag
        visible = [hosts for at, hosts in self._versions if at <= visible_at]
        tag = f'"{len(visible)}-{self.boot}"'
        self.n_read += 1
        if self.tagged and request.headers.get("If-None-Match") == tag:
            self.n_not_modified += 1
            return web.Response(status=304, headers={"ETag": tag})
        headers = {"ETag": tag} if self.tagged else {}
        return web.json_response({"hosts": visible[-1]}, headers=headers)

    async def describe(self, request: web.Request) -> web.Response:
        """Return the number of reads, and of reads that were answered with 304."""
        return web.json_response(
            {"n_read": self.n_read, "n_not_modified": self.n_not_modified}
        )

    async def control(self, request: web.Request) -> web.Response:
        """Set the hosts, the lag, an outage, or whether answers bear an ``ETag``."""
        body = await request.json()
        if "lag" in body:
            self.lag = body["lag"]
        if "outage" in body:
            self.outage = body["outage"]
        if "tagged" in body:
            self.tagged = body["tagged"]
        if "hosts" in body:
            self._versions.append((time.monotonic(), body["hosts"]))
        return web.json_response({})


def main(*, port: int = 0, lag: float = 0.0) -> None:
    """Run the service that returns the list of hosts.

    Parameters
    ----------
    port : int
        Port; 0 picks a free one.
    lag : float
        Seconds by which the list lags behind changes.
    """
    run(HostsListService(lag=lag).app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
