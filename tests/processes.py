"""Start, control and stop stand-ins and entry hosts as processes.

System tests, benchmarks and the demo use this module.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from ryelever.accounts import hash_key

__all__ = ["Fleet", "Process", "running_fleet", "wait_until"]

#: Seconds after which waiting for a condition fails; ample also for a busy machine.
WAIT_TIMEOUT = 30.0

PEER_KEY = "peer-key-of-the-tests"
OPERATOR_KEY = "operator-key-of-the-tests"

#: Keeps aiohttp from reading all of the machine's certificates on import, which takes a
#: sixth of the time to start a stand-in.  Stand-ins do not use TLS.
STANDIN_ENVIRONMENT = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}

#: Arguments of the interpreter that run ryelever from its source.
SOURCE_PROGRAM = ("-m", "ryelever")


def wait_until(
    condition: Callable[[], Any], *, what: str, timeout: float = WAIT_TIMEOUT
) -> Any:
    """Evaluate a condition every 0.02 s and return its first true value.

    Parameters
    ----------
    what : str
        Description of the condition, for the error message.
    timeout : float
        Seconds to wait.

    Raises
    ------
    AssertionError
        If the condition has no true value within the timeout.
    """
    pause = threading.Event()
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        pause.wait(0.02)
    raise AssertionError(f"{what}: not within {timeout:g} s")


class Process:
    """Python process that was started for a test and writes its output to a file."""

    def __init__(
        self,
        *,
        name: str,
        arguments: list[str],
        log: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log = log
        self._stream = log.open("wb")
        self.started_at = time.time()
        self._popen = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=self._stream,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env=os.environ | (environment or {}),
        )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def lines(self) -> list[str]:
        """Return the lines that the process has written so far."""
        return self.log.read_text(errors="replace").splitlines()

    def wait_for_line(self, start: str) -> str:
        """Wait for a line that starts with ``start`` and return its remainder."""

        def found() -> str | None:
            if self._popen.poll() is not None:
                raise AssertionError(f"{self.name} has ended: {self.lines()[-5:]}")
            for line in self.lines():
                if line.startswith(start):
                    return line[len(start) :].strip()
            return None

        return wait_until(found, what=f"{self.name} prints {start!r}")

    def wait_for_event(self, event: str) -> dict[str, Any]:
        """Wait for a structured log line of an event and return the first one."""

        def found() -> dict[str, Any] | None:
            if self._popen.poll() is not None:
                raise AssertionError(f"{self.name} has ended: {self.lines()[-5:]}")
            return next(iter(self.events(event)), None)

        return wait_until(found, what=f"{self.name} logs {event!r}")

    def events(self, event: str) -> list[dict[str, Any]]:
        """Return all structured log lines of an event so far."""
        found = []
        for line in self.lines():
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                if isinstance(fields, dict) and fields.get("event") == event:
                    found.append(fields)
        return found

    def send(self, signal_number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self._popen.poll() is None:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Kill the process with SIGKILL, also if it is paused, and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._popen.wait()
        self._stream.close()

    def stop(self) -> int:
        """Send SIGTERM, wait for the process to end and return its exit code."""
        self.send(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        code = self._popen.wait(WAIT_TIMEOUT)
        self._stream.close()
        return code

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._popen.poll()


@dataclass(slots=True, kw_only=True)
class EntryHost:
    """Entry host that was started as a process."""

    process: Process
    address: str
    availability_zone: str

    @property
    def url(self) -> str:
        """Return the base URL of the host's interface for callers."""
        return f"http://{self.address}"

    def dump(self) -> dict[str, Any]:
        """Return the host's state dump."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return httpx.get(f"{self.url}/dump", headers=headers, timeout=5).json()

    def n_complete_groups(self) -> int:
        """Return the number of groups that the host sees as complete."""
        return sum(group["whole"] for group in self.dump()["groups"])


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Processes of one test: stand-ins and entry hosts, started on demand.

    Attributes
    ----------
    directory : Path
        Directory of the processes' output and settings files.
    listed_by_name : dict of str to dict
        Rows of the platform's list of hosts; ``publish_list`` sends them.
    """

    directory: Path
    processes_by_name: dict[str, Process] = field(default_factory=dict)
    entries_by_name: dict[str, EntryHost] = field(default_factory=dict)
    addresses_by_name: dict[str, str] = field(default_factory=dict)
    listed_by_name: dict[str, dict[str, Any]] = field(default_factory=dict)
    keys_by_account: dict[str, str] = field(default_factory=dict)

    # Stand-ins

    def launch_standin(self, name: str, module: str, *arguments: str) -> Process:
        """Start a stand-in without waiting until it serves."""
        process = Process(
            name=name,
            arguments=["-m", f"tests.standins.{module}", *arguments],
            log=self.directory / f"{name}.log",
            environment=STANDIN_ENVIRONMENT,
        )
        self.processes_by_name[name] = process
        return process

    def await_standin(self, name: str) -> str:
        """Wait until a launched stand-in serves and return its address."""
        process = self.processes_by_name[name]
        self.addresses_by_name[name] = process.wait_for_line("listening ")
        return self.addresses_by_name[name]

    def start_standin(self, name: str, module: str, *arguments: str) -> str:
        """Start a stand-in, wait until it serves and return its address."""
        self.launch_standin(name, module, *arguments)
        return self.await_standin(name)

    def start_platform(self, *, list_lag: float = 0.0) -> None:
        """Start the log service and the service of the list of hosts."""
        self.launch_standin("log", "log_service")
        self.launch_standin("list", "hosts_list", "--lag", str(list_lag))
        for name in ("log", "list"):
            self.await_standin(name)

    def start_engines(
        self, *names: str, zone: str, domain: str, arguments: tuple[str, ...] = ()
    ) -> None:
        """Start one engine per name, all in one fabric domain, and publish the list."""
        self.launch_engines(*names, arguments=arguments)
        self.list_engines(*names, zone=zone, domain=domain)
        self.publish_list()

    def launch_engines(self, *names: str, arguments: tuple[str, ...] = ()) -> None:
        """Start one engine per name without waiting until they serve."""
        for name in names:
            self.launch_standin(name, "engine", "--host", name, *arguments)

    def list_engines(self, *names: str, zone: str, domain: str) -> None:
        """Wait until launched engines serve and add them to the list of hosts."""
        for name in names:
            self.listed_by_name[name] = {
                "host": name,
                "address": self.await_standin(name),
                "availability_zone": zone,
                "fabric_domain": domain,
                "accelerators": 8,
                "kind": "engine",
                "state": "live",
            }

    def start_service(self, name: str, *, zone: str, service: str) -> None:
        """Start a plain service and publish the list with it."""
        self.launch_standin(name, "plain_service")
        self.list_service(name, zone=zone, service=service)
        self.publish_list()

    def list_service(self, name: str, *, zone: str, service: str) -> None:
        """Wait until a launched service serves and add it to the list of hosts."""
        self.listed_by_name[name] = {
            "host": name,
            "address": self.await_standin(name),
            "availability_zone": zone,
            "kind": "service",
            "service": service,
            "state": "live",
        }

    def start_forwarder(self, name: str) -> str:
        """Start a forwarder to a stand-in and return the forwarder's address.

        Afterwards ``addresses_by_name`` has the forwarder's address under the name of
        the stand-in, the stand-in's own address under ``"<name>-direct"``, and the
        address of the forwarder's switches under ``"<name>-cut"``.
        """
        direct = self.addresses_by_name[name]
        self.addresses_by_name[f"{name}-direct"] = direct
        process = self.launch_standin(f"{name}-cut", "forwarder", "--target", direct)
        self.await_standin(f"{name}-cut")
        address = process.wait_for_line("forwarding ")
        self.addresses_by_name[name] = address
        if name in self.listed_by_name:
            self.listed_by_name[name]["address"] = address
        return address

    def start_world(
        self,
        *,
        entries: tuple[str, ...] = ("e1", "e2"),
        n_groups: int = 1,
        engine: tuple[str, ...] = (),
        cut: tuple[str, ...] = (),
        **settings: Any,
    ) -> None:
        """Start a complete availability zone and wait until its groups are complete.

        The zone has ``n_groups`` groups of four hosts each (``d0-0`` to ``d0-3`` and so
        on), the service ``bookings``, the client account ``pawroute`` and entry hosts.

        Parameters
        ----------
        entries : tuple of str
            Names of the entry hosts.
        engine : tuple of str
            Command-line arguments of the engines.
        cut : tuple of str
            Names of the stand-ins that are reached through a forwarder.
        settings : dict
            Settings of the entry hosts.
        """
        domains = [f"d{index}" for index in range(n_groups)]
        hosts_by_domain = {
            domain: [f"{domain}-{rank}" for rank in range(4)] for domain in domains
        }
        self.launch_standin("service", "plain_service")
        for hosts in hosts_by_domain.values():
            self.launch_engines(*hosts, arguments=engine)
        self.start_platform()
        for domain, hosts in hosts_by_domain.items():
            self.list_engines(*hosts, zone="z", domain=domain)
        self.list_service("service", zone="z", service="bookings")
        document = {
            "models": {"notes": {"version": "v1", "n_groups": n_groups}},
            "client_accounts": {"pawroute": self.account("pawroute", concurrency=500)},
            "services": {"bookings": {"non_repeatable": ["/bookings"]}},
        }
        self.publish(document)
        for name in cut:
            self.start_forwarder(name)
        self.publish_list()
        self.start_entries(*entries, zone="z", **settings)
        self.wait_complete_groups(n_groups)

    def wait_complete_groups(self, n_groups: int) -> None:
        """Wait until every running entry host sees ``n_groups`` complete groups."""
        wait_until(
            lambda: all(
                entry.n_complete_groups() == n_groups
                for entry in self.entries_by_name.values()
                if entry.process.exit_code is None
            ),
            what=f"{n_groups} groups are complete",
        )

    def n_runs(self) -> list[int]:
        """Return the number of runs of each booking."""
        address = self.addresses_by_name["service"]
        return list(httpx.get(f"http://{address}/bookings").json().values())

    def publish_list(self) -> None:
        """Send the rows of ``listed_by_name`` to the service of the list of hosts."""
        self.control("list", hosts=list(self.listed_by_name.values()))

    def control(self, name: str, **switches: Any) -> None:
        """Set switches of a stand-in."""
        url = f"http://{self.addresses_by_name[name]}/control"
        httpx.post(url, json=switches, timeout=5).raise_for_status()

    def counts(self, name: str) -> dict[str, Any]:
        """Return the counts and the state that a stand-in reports."""
        url = f"http://{self.addresses_by_name[name]}/control"
        return httpx.get(url, timeout=5).json()

    # Configuration

    def account(self, name: str, **fields: Any) -> dict[str, Any]:
        """Return the declaration of a client account, and record a new key for it."""
        key = f"{name}.secret-of-the-tests-{name}"
        self.keys_by_account[name] = key
        return {"key_hash": hash_key(key)} | fields

    def publish(
        self, document: dict[str, Any], *, base_version: int = -1, author: str = "ana"
    ) -> None:
        """Append a publication of a configuration to the log, as the console does."""
        body = {"base_version": base_version, "author": author, "document": document}
        record = {"id": uuid.uuid4().hex, "kind": "Publication", "body": body}
        url = f"http://{self.addresses_by_name['log']}/v1/streams/configuration/records"
        answer = httpx.post(url, json={"records": [record]}, timeout=5)
        answer.raise_for_status()

    # Entry hosts

    def start_entry(
        self,
        name: str,
        *,
        zone: str,
        program: tuple[str, ...] = SOURCE_PROGRAM,
        **settings: Any,
    ) -> EntryHost:
        """Start an entry host on a free port and wait until it has started.

        Parameters
        ----------
        program : tuple of str
            Arguments of the interpreter that run ryelever, such as the path of the
            archive.
        settings : dict
            Settings in addition to, or instead of, those that every test uses.
        """
        self._launch_entry(name, zone=zone, settings=settings, program=program)
        return self._await_entry(name, zone=zone)

    def start_entries(self, *names: str, zone: str, **settings: Any) -> list[EntryHost]:
        """Start several entry hosts at the same time and wait for all of them."""
        for name in names:
            self._launch_entry(name, zone=zone, settings=settings)
        return [self._await_entry(name, zone=zone) for name in names]

    def _launch_entry(
        self,
        name: str,
        *,
        zone: str,
        settings: dict[str, Any],
        program: tuple[str, ...] = SOURCE_PROGRAM,
    ) -> None:
        values = {
            "host": name,
            "availability_zone": zone,
            "availability_zones": [zone],
            "callers_address": "127.0.0.1:0",
            "log_address": self.addresses_by_name["log"],
            "hosts_list_address": self.addresses_by_name["list"],
            "peer_key": PEER_KEY,
            "operator_key": OPERATOR_KEY,
            "drain_grace": 0.3,
        } | settings
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(values))
        self.processes_by_name[name] = Process(
            name=name,
            arguments=[*program, "serve", "--settings", str(path)],
            log=self.directory / f"{name}.log",
        )

    def _await_entry(self, name: str, *, zone: str) -> EntryHost:
        process = self.processes_by_name[name]
        started = process.wait_for_event("started")
        entry = EntryHost(
            process=process,
            address=f"127.0.0.1:{started['callers_port']}",
            availability_zone=zone,
        )
        self.entries_by_name[name] = entry
        return entry

    def stop_all(self) -> None:
        """Kill every process."""
        for process in self.processes_by_name.values():
            process.kill()


@contextlib.contextmanager
def running_fleet(directory: Path) -> Iterator[Fleet]:
    """Yield a fleet, and afterwards kill all processes that it started."""
    fleet = Fleet(directory=directory)
    try:
        yield fleet
    finally:
        fleet.stop_all()


def free_udp_addresses(n_addresses: int) -> list[str]:
    """Return distinct loopback addresses whose UDP ports are free at the moment."""
    socks = [
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(n_addresses)
    ]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]
    for sock in socks:
        sock.close()
    return addresses
