"""Test the exchange between entry hosts that run as processes."""

from __future__ import annotations

import signal
import socket

import httpx

from ..processes import EntryHost, Fleet, free_udp_addresses, wait_until

#: An address on which no process listens.
UNUSED_ADDRESS = "127.0.0.1:9"


def _version(entry: EntryHost) -> int:
    return entry.dump()["configuration"]["version"]


def _document(version: str) -> dict[str, object]:
    return {"models": {"large": {"version": version, "n_groups": 1}}}


def _start(fleet: Fleet, *, cut_off: tuple[str, ...] = ()) -> list[EntryHost]:
    names = ("e0", "e1", "e2")
    addresses = free_udp_addresses(len(names))
    log = fleet.addresses_by_name["log"]
    return [
        fleet.start_entry(
            name,
            zone="brisbane",
            peers_address=address,
            peers=addresses,
            log_address=UNUSED_ADDRESS if name in cut_off else log,
        )
        for name, address in zip(names, addresses, strict=True)
    ]


def _send_malformed_datagrams(address: str) -> None:
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"x", b"y" * 300, b"z" * 9000):
            sock.sendto(data, (host, int(port)))


def test_host_without_the_log_gets_configurations_from_peers(fleet: Fleet) -> None:
    """Put each configuration version in force on a host that cannot read the log.

    Guards against one entry host that serves by last week's configuration.  That host
    can reach its peers but not the log while configurations are published.  The
    host misses new versions if versions reach an entry host only through the log.
    """
    fleet.start_platform()
    entries = _start(fleet, cut_off=("e2",))
    cut_off = entries[2]
    seen = []
    for base_version in (-1, 0, 1):
        fleet.publish(_document(str(base_version)), base_version=base_version)
        version = base_version + 1
        wait_until(lambda: _version(cut_off) >= version, what="version in force")  # noqa: B023
        _send_malformed_datagrams(cut_off.dump()["settings"]["peers_address"])
        seen.append(_version(cut_off))
    assert seen == [0, 1, 2]

    def counted() -> bool:
        text = httpx.get(f"{cut_off.url}/metrics", timeout=5).text
        return (
            'dropped_total{kind="foreign_key"}' in text and 'kind="oversized"' in text
        )

    wait_until(counted, what="malformed datagrams counted")
    assert not cut_off.process.events("fault")


def test_hosts_share_reports_and_tolerate_the_loss_of_a_polling_host(
    fleet: Fleet,
) -> None:
    """Keep a group complete on every entry host while a polling peer is frozen.

    Guards against groups that stop serving on entry hosts that poll none of their
    members.  One entry host is frozen and later resumed; the other entry hosts had
    received members' reports through it, and reports that no entry host passes on
    expire.
    """
    fleet.start_platform()
    fleet.start_engines("h1", "h2", "h3", "h4", zone="brisbane", domain="d1")
    entries = _start(fleet)
    fleet.publish(_document("1"))

    def complete_on(hosts: list[EntryHost]) -> bool:
        return all(entry.n_complete_groups() == 1 for entry in hosts)

    def members(entry: EntryHost) -> list[str]:
        return entry.dump()["peers"]["live_members"]

    wait_until(lambda: complete_on(entries), what="group complete on all hosts")
    wait_until(lambda: len(members(entries[0])) == 2, what="both peers live")
    entries[2].process.send(signal.SIGSTOP)
    wait_until(lambda: members(entries[0]) == ["e1"], what="frozen peer detected")
    wait_until(lambda: complete_on(entries[:2]), what="group complete on the others")
    entries[2].process.send(signal.SIGCONT)
    wait_until(lambda: len(members(entries[0])) == 2, what="resumed peer live")
    wait_until(lambda: complete_on(entries), what="group complete on all hosts again")
    assert not any(entry.process.events("fault") for entry in entries)
