"""Test the UDP socket between entry hosts and what becomes of bad datagrams."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from circuits import Component, handler

from ryelever.events import Datagram, peers_poll, peers_send
from ryelever.metrics import Metrics
from ryelever.peering import Peering
from ryelever.settings import Settings
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.transport.peers import MAX_BATCH, READ_SIZE, Peers
from ryelever.transport.poller import Poller

from ..processes import wait_until

KEY = "key-of-the-tests"


class Taker(Component):
    channel = "taker"

    def __init__(self) -> None:
        super().__init__()
        self.taken: list[Datagram] = []

    @handler("peers_received")
    def _on_peers_received(self, datagrams: list[Datagram]) -> None:
        self.taken += datagrams


@pytest.fixture
def taker() -> Iterator[Taker]:
    root = Taker()
    Poller().register(root)
    root.peers = Peers(bind=("127.0.0.1", 0), reply_channel="taker").register(root)
    root.start()
    yield root
    root.stop()
    root.join()
    root.peers._sock.close()


@pytest.fixture
def looking_taker() -> Iterator[Taker]:
    """Yield a taker that is told when to look, and is not woken."""
    root = Taker()
    Poller().register(root)
    root.peers = Peers(
        bind=("127.0.0.1", 0), reply_channel="taker", wakes=False
    ).register(root)
    root.start()
    yield root
    root.stop()
    root.join()
    root.peers._sock.close()


@pytest.fixture
def outside() -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10)
        yield sock


def _to(peers: Peers) -> tuple[str, int]:
    host, _, port = peers.address.rpartition(":")
    return host, int(port)


def test_all_that_has_come_is_read_at_one_look(
    looking_taker: Taker, outside: socket.socket
) -> None:
    """See that a backlog of several batches is taken in one look.

    Symptom: hosts of a large zone woke ninety times a second for each other's words.
    Sequence: dozens of hosts send a few datagrams a second each, at moments of their
    own.
    Cause: each datagram woke the process.
    """
    peers = looking_taker.peers
    n_sent = 3 * MAX_BATCH + 1
    for number in range(n_sent):
        outside.sendto(b"%d" % number, _to(peers))
    looking_taker.fire(peers_poll(), "peers")
    wait_until(lambda: len(looking_taker.taken) == n_sent, what="datagrams")
    assert [datagram.data for datagram in looking_taker.taken] == [
        b"%d" % number for number in range(n_sent)
    ]


def test_datagrams_go_both_ways(taker: Taker, outside: socket.socket) -> None:
    outside.sendto(b"one", _to(taker.peers))
    outside.sendto(b"two", _to(taker.peers))
    wait_until(lambda: len(taker.taken) == 2, what="datagrams")
    host, port = outside.getsockname()
    assert [datagram.data for datagram in taker.taken] == [b"one", b"two"]
    answer = Datagram(address=f"{host}:{port}", data=b"answer")
    taker.fire(peers_send([answer]), "peers")
    wait_until(lambda: taker.peers.n_sent == 1, what="datagrams")
    assert outside.recv(100) == b"answer"


def test_a_closed_port_and_a_bad_route_stop_nothing(
    taker: Taker, outside: socket.socket
) -> None:
    """Go on receiving after datagrams to peers that are gone.

    Symptom: an entry host hears no peer any more once one of them is gone.
    Sequence: a datagram goes to a closed port, whose refusal comes back as an error.
    Cause: the error surfaces at the next use of the socket, whoever that is for.
    """
    gone = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    gone.bind(("127.0.0.1", 0))
    port = gone.getsockname()[1]
    gone.close()
    refused = Datagram(address=f"127.0.0.1:{port}", data=b"x")
    unroutable = Datagram(address="255.255.255.255:9", data=b"x")
    taker.fire(peers_send([refused, unroutable, refused]), "peers")
    wait_until(lambda: taker.peers.n_sent + taker.peers.n_unsent == 3, what="datagrams")
    assert taker.peers.n_unsent >= 1
    outside.sendto(b"still here", _to(taker.peers))
    wait_until(lambda: taker.taken, what="datagrams")
    assert taker.taken[0].data == b"still here"


def test_a_long_datagram_shows_as_too_long(
    taker: Taker, outside: socket.socket
) -> None:
    outside.sendto(b"x" * 20_000, _to(taker.peers))
    wait_until(lambda: taker.taken, what="datagrams")
    assert len(taker.taken[0].data) == READ_SIZE


def _peering(*, key: str, metrics: Metrics) -> Peering:
    settings = Settings(
        host="e1", availability_zone="a", peers=["127.0.0.1:9"], peer_key=key
    )
    return Peering(
        settings=settings,
        address="127.0.0.1:8",
        configuration=ConfigurationFold(),
        metrics=metrics,
        sources=[],
        aged_sources=[],
        sinks=[],
        set_members=lambda members: None,
    )


@pytest.mark.parametrize(
    ("key", "data", "kind"),
    [
        ("", b"anything", "no_key"),
        (KEY, b"short", "truncated"),
        (KEY, b"x" * 100, "foreign_key"),
        (KEY, b"x" * READ_SIZE, "oversized"),
    ],
)
def test_bad_datagrams_are_counted(key: str, data: bytes, kind: str) -> None:
    metrics = Metrics()
    peering = _peering(key=key, metrics=metrics)
    peering._on_peers_received([Datagram(address="127.0.0.1:7", data=data)])
    line = f'ryelever_peer_datagrams_dropped_total{{kind="{kind}"}} 1.0'
    assert line in metrics.render().decode()
