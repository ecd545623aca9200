"""Stand-in for the engines of many hosts that answer polls but run no requests."""

from __future__ import annotations

import asyncio
import json

import defopt
from aiohttp import web


class IdleEngines:
    """Engines of many hosts, one on each port, that apply every order at once."""

    def __init__(self, *, n_hosts: int, zone: str) -> None:
        self.n_hosts = n_hosts
        self.zone = zone
        self.reports_by_port: dict[int, dict] = {}
        self.n_calls = 0

    async def serve(self) -> None:
        """Listen on one port per host and print the ports."""
        app = web.Application()
        app.router.add_get("/v1/report", self.report)
        app.router.add_post("/v1/orders", self.order)
        app.router.add_get("/control", self.describe)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        for _ in range(self.n_hosts):
            await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
        for index, (_, port) in enumerate(sorted(runner.addresses)):
            self.reports_by_port[port] = {
                "host": f"{self.zone}-{index}",
                "boot": "1",
                "state": "idle",
                "group": "",
                "fencing": -1,
            }
        ports = sorted(self.reports_by_port)
        print(f"listening {json.dumps(ports)}", flush=True)
        await asyncio.Event().wait()

    def _report(self, request: web.Request) -> dict:
        self.n_calls += 1
        port = request.transport.get_extra_info("sockname")[1]
        return self.reports_by_port[port]

    async def report(self, request: web.Request) -> web.Response:
        """Return the report of the host at this port."""
        return web.json_response(self._report(request))

    async def order(self, request: web.Request) -> web.Response:
        """Join or leave a group without loading a model."""
        order = await request.json()
        report = self._report(request)
        joins = order["kind"] == "join"
        report["group"] = order["group"] if joins else ""
        report["state"] = "ready" if joins else "idle"
        report["fencing"] = max(report["fencing"], order["fencing"])
        report["rank"] = order["rank"]
        return web.json_response(report)

    async def describe(self, request: web.Request) -> web.Response:
        """Return the number of polls and orders received."""
        return web.json_response({"n_questions": self.n_calls})


def main(*, n_hosts: int, zone: str) -> None:
    """Run many idle engines in one process.

    Parameters
    ----------
    n_hosts : int
        Number of hosts, each of which listens on a port of its own.
    zone : str
        Availability zone, used as the prefix of the hosts' names.
    """
    asyncio.run(IdleEngines(n_hosts=n_hosts, zone=zone).serve())


if __name__ == "__main__":
    defopt.run(main)
