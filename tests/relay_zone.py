"""Run entry hosts that relay requests, with stand-ins of the platform."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from .partition import Partition
from .processes import SOURCE_PROGRAM, STANDIN_ENVIRONMENT, Process, wait_until

__all__ = [
    "RelayHost",
    "RelayZone",
    "events_of_stream",
    "unused_loopback_address",
    "running_relay_zone",
]

HEADERS = {
    "Host": "calls.example",
    "Credential": "key-of-pawroute",
    "Deadline-Ms": "4000",
}

SETTINGS = """\
node={name}
ip={ip}
zone=z
zones.z=r
listen.front=127.0.0.1:0
listen.ready=127.0.0.1:0
port_range={peers_port},{peers_port}
platform.address={store}
platform.parts=12
heartbeat_ms=1200
bounds.drain_ms=2000
bounds.grace_s={grace}
bounds.stall_ms=1000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=100
some.new.field=ignored
"""


@dataclass(slots=True, kw_only=True)
class RelayHost:
    """Running entry host with its addresses."""

    process: Process
    callers_address: str
    ready_address: str

    def is_ready(self) -> bool:
        """Return whether the readiness probe, as the platform sends it, succeeds."""
        url = f"http://{self.ready_address}/ready"
        return httpx.get(url, timeout=5).status_code == 200

    def call(
        self, path: str, *, request_id: str, method: str = "GET", **headers: str
    ) -> httpx.Response:
        """Send one request as a caller and return the complete answer."""
        url = f"http://{self.callers_address}{path}"
        body = b"a body" if method == "POST" else None
        sent = HEADERS | {"Request-Id": request_id}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        return httpx.request(method, url, headers=sent, content=body, timeout=10)

    def chat(
        self, *, request_id: str, model: str = "large", **headers: str
    ) -> httpx.Response:
        """Request a streamed answer from a model."""
        headers = {"Model": model, "Token_Usage": "100,50"} | headers
        return self.call("/chat/1", request_id=request_id, method="POST", **headers)


@dataclass(slots=True, kw_only=True)
class RelayZone:
    """Start and control entry hosts and the stand-ins of the platform."""

    directory: Path
    processes: list[Process] = field(default_factory=list)
    hosts_by_name: dict[str, RelayHost] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)

    def start_platform(
        self, *, n_engines: int = 4, n_plain: int = 2, n_domains: int = 1
    ) -> None:
        """Start the stand-in of the store and the backend servers."""
        process = Process(
            name="platform",
            arguments=[
                "-m",
                "tests.standins.platform",
                "--n-engines",
                str(n_engines),
                "--n-plain",
                str(n_plain),
                "--n-domains",
                str(n_domains),
            ],
            log=self.directory / "platform.log",
            environment=STANDIN_ENVIRONMENT,
        )
        self.processes.append(process)
        self.addresses = json.loads(process.wait_for_line("listening "))

    def start_host(
        self,
        name: str,
        *,
        grace: float = 8,
        wait: bool = True,
        store_endpoint: str = "store",
        ip: str = "127.0.0.1",
        peers_port: int = 0,
        metrics_port: int = 0,
        partition: Partition | None = None,
        limits: dict[str, int] | None = None,
    ) -> RelayHost:
        """Start an entry host and, if ``wait`` is true, wait until it is ready.

        Parameters
        ----------
        store_endpoint : str
            Address at which the host reaches the store: ``"store"`` or
            ``"side-door"``.
        ip : str
            Address of the ports for peers and metrics.  A fixed port needs an address
            that no other process uses, as processes on a shared address take its
            ports at any time.
        peers_port : int
            Port for other entry hosts; 0 picks a free port.
        metrics_port : int
            Additional port for metrics, which are also served on the readiness
            address; 0 for none.
        partition : Partition or None
            Partition between this host and the backend servers, if there is to be one.
        limits : dict of str to int
            Limits of the machine, by their names in the settings.
        """
        path = self.directory / f"{name}.conf"
        path.write_text(
            SETTINGS.format(
                name=name,
                store=self.addresses[store_endpoint],
                grace=grace,
                ip=ip,
                peers_port=peers_port,
            )
            + "".join(f"limits.{key}={n}\n" for key, n in (limits or {}).items())
        )
        process = Process(
            name=name,
            arguments=[
                *(partition.program if partition else SOURCE_PROGRAM),
                "serve",
                "--settings",
                str(path),
                "--metrics-port",
                str(metrics_port),
            ],
            log=self.directory / f"{name}.log",
        )
        self.processes.append(process)
        started = process.wait_for_event("started")
        host = RelayHost(
            process=process,
            callers_address=f"127.0.0.1:{started['callers_port']}",
            ready_address=f"127.0.0.1:{started['ready_port']}",
        )
        self.hosts_by_name[name] = host
        if wait:
            wait_until(host.is_ready, what=f"{name} is ready")
        return host

    def control(self, **switches: Any) -> None:
        """Set switches, by server id or ``store``; ``_`` stands for a hyphen."""
        url = f"http://{self.addresses['control']}/control"
        body = {name.replace("_", "-"): value for name, value in switches.items()}
        httpx.post(url, json=body, timeout=5).raise_for_status()

    def platform_state(self) -> dict[str, Any]:
        """Return the state that the stand-in of the platform has recorded."""
        return httpx.get(f"http://{self.addresses['control']}/control").json()

    def servers(self) -> dict[str, Any]:
        """Return the recorded state of each backend server, by id."""
        return self.platform_state()["servers"]

    def server_addresses(self) -> list[str]:
        """Return the addresses of all backend servers."""
        return [server["address"] for server in self.servers().values()]

    def open_heads(self) -> list[str]:
        """Return the heads of the serving groups."""
        return [
            name
            for name, server in self.servers().items()
            if server["group"]
            and server["group"]["rank"] == 0
            and server["group"]["state"] == "open"
        ]

    def head_of(self, size: int) -> str:
        """Wait for a serving group of the given size, and return its head."""
        servers = self.servers
        return wait_until(
            lambda: next(
                (
                    name
                    for name in self.open_heads()
                    if len(servers()[name]["members"]) == size
                ),
                None,
            ),
            what=f"a group of {size} serves",
        )

    def slow_engines(self, *, n_events: int, event_ms: float = 100.0) -> None:
        """Make streams last long enough for a test to act during a stream."""
        switches = {"event_ms": event_ms, "n_events": n_events}
        engines = [name for name in self.servers() if name.startswith("engine")]
        self.control(**{name.replace("-", "_"): dict(switches) for name in engines})

    def end_answers_with_connections(self, how: str) -> None:
        """Let all servers answer without a length; see ``ServerSwitches.unframed``."""
        switches = {
            name.replace("-", "_"): {"unframed": how} for name in self.servers()
        }
        self.control(**switches)

    def server_that_runs(self, request_id: str, *, other_than: str = "") -> str | None:
        """Return a backend server that has started a request, or None."""
        for name, server in self.servers().items():
            if request_id in server["n_runs"] and name != other_than:
                return name
        return None

    def n_runs(self) -> dict[str, int]:
        """Return how often each request was run on all backend servers together."""
        total: dict[str, int] = {}
        for server in self.servers().values():
            for request_id, count in server["n_runs"].items():
                total[request_id] = total.get(request_id, 0) + count
        return total


def unused_loopback_address() -> str:
    """Return a loopback IP address derived from the process id.

    No other process uses this address.
    """
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high // 250}.{high % 250}.{1 + low}"


def events_of_stream(n_events: int) -> str:
    """Return a complete stream as the stand-in backend servers send it."""
    return "".join(
        f"id: {number}\ndata: piece {number}\n\n" for number in range(1, n_events + 1)
    )


@contextmanager
def running_relay_zone(directory: Path) -> Iterator[RelayZone]:
    """Yield a zone whose processes are killed afterwards."""
    zone = RelayZone(directory=directory)
    try:
        yield zone
    finally:
        for process in reversed(zone.processes):
            process.kill()
