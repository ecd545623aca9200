"""Stand-in for the complete platform of one availability zone, in one process."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import defopt
from aiohttp import web

from .group_monitor import GroupMonitor
from .group_server import GroupServer, entry_bytes
from .platform_store import PlatformStore

#: Models of the engine service: "large" has groups of two members, "small" of one.
MODELS = [
    {"name": "large", "size": 2, "share": 0.67, "load_s": 1.0, "warm_s": 0.5},
    {"name": "small", "size": 1, "share": 0.33, "load_s": 1.0, "warm_s": 0.5},
]

ROUTES = [
    {
        "name": "chat",
        "path_prefix": "/chat/",
        "kind": "streaming",
        "service": "engines",
        "resumable": True,
    },
    {
        "name": "once",
        "path_prefix": "/once/",
        "kind": "unsafe",
        "service": "plain",
    },
    {
        "name": "look",
        "path_prefix": "/look/",
        "kind": "safe",
        "service": "plain",
    },
]


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return the operator's configuration, with ``changes`` to its top-level fields."""
    routes = [
        {
            "host": "calls.example",
            "timeout_ms": 5000,
            "target_latency_ms": 500,
            "target_gap_ms": 300,
            "priority": 1,
            "max_attempts": 3,
            "public": False,
        }
        | route
        for route in ROUTES
    ]
    engine = {
        "slots": 13,
        "models": MODELS,
        "step_ms": 6.0,
        "per_seq_ms": 0.5,
        "read_per_s": 46000.0,
        "stride": 5,
        "loads_per_s": 100.0,
        "usual": {"prompt": 1000, "answer": 100},
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "engine": engine},
            {"name": "plain", "health_path": "/health"},
        ],
        "tenants": [{"name": "pawroute", "api_keys": ["key-of-pawroute"]}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000},
    } | changes


class Platform:
    """Store and backend servers of one availability zone."""

    def __init__(self) -> None:
        self.store = PlatformStore()
        self.servers_by_id: dict[str, GroupServer] = {}
        self.configuration: dict[str, Any] = {}
        self.monitor = GroupMonitor(servers_by_id=self.servers_by_id)

    def register(self, server_id: str, entry: dict[str, Any] | None) -> None:
        """Write a server's entry into the store; None removes the entry."""
        self.store.put("keyed.servers", server_id, entry_bytes(entry))

    async def start(
        self, n_engines: int, n_plain: int, n_domains: int
    ) -> dict[str, str]:
        """Start the store, the control interface and the servers; return addresses.

        The engines are divided among the fabric domains.

        Returns
        -------
        dict of str to str
            Addresses of both endpoints of the store and of the control interface.
        """
        addresses = {
            endpoint: await _listen(self.store.app(endpoint=endpoint))
            for endpoint in ("store", "side-door")
        }
        addresses["control"] = await _listen(self._control_app())
        self.put_configuration(configuration(1))
        for index in range(n_engines):
            # Some servers don't state when they started until they start again.
            started_at = index % 2
            await self._start_server(
                f"engine-{index}",
                is_engine=True,
                started_at=started_at,
                domain=f"d{index % n_domains}",
            )
        for index in range(n_plain):
            await self._start_server(f"plain-{index}", is_engine=False, started_at=1)
        return addresses

    def put_configuration(self, document: dict[str, Any]) -> None:
        """Write a configuration into the store, as the operator does."""
        self.configuration = document
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def _start_server(
        self, server_id: str, *, is_engine: bool, started_at: int, domain: str = ""
    ) -> None:
        server = GroupServer(
            id=server_id,
            service="engines" if is_engine else "plain",
            zone="z",
            domain=domain,
            is_engine=is_engine,
            started_at=started_at,
            register=self.register,
            observer=self.monitor.record,
        )
        server.address = await _listen(server.app())
        self.servers_by_id[server_id] = server
        server.write()

    def _control_app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/control", self.control)
        app.router.add_get("/control", self.describe)
        return app

    async def control(self, request: web.Request) -> web.Response:
        """Set switches of the store or of a server, or publish a configuration."""
        body = await request.json()
        for name, switches in body.items():
            if name == "drill":
                self._drill(switches)
            elif name in self.store.switches_by_endpoint:
                if switches.pop("forget", False):
                    self.store.drop_history("keyed.servers")
                for switch, value in switches.items():
                    setattr(self.store.switches_by_endpoint[name], switch, value)
            elif name == "configuration":
                self.put_configuration(configuration(**switches))
            else:
                self.servers_by_id[name].set(switches)
        return web.json_response({})

    def _drill(self, step: str) -> None:
        """Copy the store, restore it from its copy, or write all entries again."""
        if step == "copy":
            self.store.take_copy()
        elif step == "come-back":
            self.store.restore_copy()
        elif step == "write-again":
            self.put_configuration(self.configuration)
            for server in self.servers_by_id.values():
                if server.is_listed:
                    server.write()

    async def describe(self, request: web.Request) -> web.Response:
        """Return the state of each server, the store's call counts and group faults."""
        servers = {
            name: server.describe() for name, server in self.servers_by_id.items()
        }
        store = {"n_calls": self.store.n_calls, "n_appends": self.store.n_appends}
        store["n_calls_by_topic"] = dict(self.store.n_calls_by_topic)
        faults = self.monitor.faults
        return web.json_response(
            {"servers": servers, "store": store, "group_faults": faults}
        )


async def _listen(app: web.Application) -> str:
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=0.1, max_headers=1 << 15
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, backlog=1024)
    await site.start()
    host, port = runner.addresses[0]
    return f"{host}:{port}"


async def _run(n_engines: int, n_plain: int, n_domains: int) -> None:
    addresses = await Platform().start(n_engines, n_plain, n_domains)
    print(f"listening {json.dumps(addresses)}", flush=True)
    await asyncio.Event().wait()


def main(*, n_engines: int = 4, n_plain: int = 2, n_domains: int = 1) -> None:
    """Run the platform of one availability zone.

    Parameters
    ----------
    n_engines : int
        Number of engines, which can become members of groups.
    n_plain : int
        Number of plain backend servers.
    n_domains : int
        Number of fabric domains of the engines.
    """
    asyncio.run(_run(n_engines, n_plain, n_domains))


if __name__ == "__main__":
    defopt.run(main)
