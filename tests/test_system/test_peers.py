"""Test entry hosts that talk to each other as processes."""

from __future__ import annotations

import signal
import socket

import httpx

from ..processes import EntryHost, Fleet, free_udp_addresses, wait_until

#: Where nothing listens.
NOWHERE = "127.0.0.1:9"


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
            log_address=NOWHERE if name in cut_off else log,
        )
        for name, address in zip(names, addresses, strict=True)
    ]


def _throw_rubbish(address: str) -> None:
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"x", b"y" * 300, b"z" * 9000):
            sock.sendto(data, (host, int(port)))


def test_a_host_cut_off_from_the_log_follows_its_peers(fleet: Fleet) -> None:
    """Put each version in force on a host that cannot read the log.

    Symptom: one entry host serves by last week's configuration.
    Sequence: it loses the log, not its peers; configurations are published.
    Cause: the log would be the only way for a version to arrive.
    """
    fleet.start_platform()
    entries = _start(fleet, cut_off=("e2",))
    cut_off = entries[2]
    seen = []
    for base_version in (-1, 0, 1):
        fleet.publish(_document(str(base_version)), base_version=base_version)
        version = base_version + 1
        wait_until(lambda: _version(cut_off) >= version, what="version in force")  # noqa: B023
        _throw_rubbish(cut_off.dump()["settings"]["peers_address"])
        seen.append(_version(cut_off))
    assert seen == [0, 1, 2]

    def counted() -> bool:
        text = httpx.get(f"{cut_off.url}/metrics", timeout=5).text
        return (
            'dropped_total{kind="foreign_key"}' in text and 'kind="oversized"' in text
        )

    wait_until(counted, what="rubbish counted")
    assert not cut_off.process.events("fault")


def test_hosts_share_questions_and_outlive_an_asker(fleet: Fleet) -> None:
    """Hold a group for whole on every host while askers come and go.

    Symptom: groups stop serving on hosts that ask none of their members.
    Sequence: one entry host is frozen, then killed; the others had learned from it.
    Cause: reports that nobody passes on grow old.
    """
    fleet.start_platform()
    fleet.start_engines("h1", "h2", "h3", "h4", zone="brisbane", domain="d1")
    entries = _start(fleet)
    fleet.publish(_document("1"))

    def all_whole(hosts: list[EntryHost]) -> bool:
        return all(entry.n_complete_groups() == 1 for entry in hosts)

    def members(entry: EntryHost) -> list[str]:
        return entry.dump()["peers"]["live_members"]

    wait_until(lambda: all_whole(entries), what="a group, whole to all")
    wait_until(lambda: len(members(entries[0])) == 2, what="peers known")
    entries[2].process.send(signal.SIGSTOP)
    wait_until(lambda: members(entries[0]) == ["e1"], what="frozen peer noticed")
    wait_until(lambda: all_whole(entries[:2]), what="whole to those left")
    entries[2].process.send(signal.SIGCONT)
    wait_until(lambda: len(members(entries[0])) == 2, what="peer back")
    wait_until(lambda: all_whole(entries), what="whole to all again")
    assert not any(entry.process.events("fault") for entry in entries)
