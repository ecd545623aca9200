"""Test the UDP socket between entry hosts and the handling of bad datagrams."""

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


class DatagramReceiver(Component):
    channel = "receiver"

    def __init__(self) -> None:
        super().__init__()
        self.received: list[Datagram] = []

    @handler("peers_received")
    def _on_peers_received(self, datagrams: list[Datagram]) -> None:
        self.received += datagrams


@pytest.fixture
def receiver() -> Iterator[DatagramReceiver]:
    root = DatagramReceiver()
    Poller().register(root)
    root.peers = Peers(bind=("127.0.0.1", 0), reply_channel="receiver").register(root)
    root.start()
    yield root
    root.stop()
    root.join()
    root.peers._sock.close()


@pytest.fixture
def polled_receiver() -> Iterator[DatagramReceiver]:
    """Yield a receiver that reads only at ``peers_poll``."""
    root = DatagramReceiver()
    Poller().register(root)
    root.peers = Peers(
        bind=("127.0.0.1", 0), reply_channel="receiver", read_on_arrival=False
    ).register(root)
    root.start()
    yield root
    root.stop()
    root.join()
    root.peers._sock.close()


@pytest.fixture
def peer_socket() -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10)
        yield sock


def _address_of(peers: Peers) -> tuple[str, int]:
    host, _, port = peers.address.rpartition(":")
    return host, int(port)


def test_one_poll_reads_the_whole_backlog(
    polled_receiver: DatagramReceiver, peer_socket: socket.socket
) -> None:
    """Read a backlog of several batches in one poll.

    Guards against waking up for each datagram: hosts of a large availability zone woke
    ninety times a second for each other's heartbeats, as dozens of hosts send a few
    datagrams a second each, at independent times.
    """
    peers = polled_receiver.peers
    n_sent = 3 * MAX_BATCH + 1
    for number in range(n_sent):
        peer_socket.sendto(b"%d" % number, _address_of(peers))
    polled_receiver.fire(peers_poll(), "peers")
    wait_until(lambda: len(polled_receiver.received) == n_sent, what="datagrams")
    assert [datagram.data for datagram in polled_receiver.received] == [
        b"%d" % number for number in range(n_sent)
    ]


def test_datagrams_are_sent_and_received(
    receiver: DatagramReceiver, peer_socket: socket.socket
) -> None:
    peer_socket.sendto(b"one", _address_of(receiver.peers))
    peer_socket.sendto(b"two", _address_of(receiver.peers))
    wait_until(lambda: len(receiver.received) == 2, what="datagrams")
    host, port = peer_socket.getsockname()
    assert [datagram.data for datagram in receiver.received] == [b"one", b"two"]
    answer = Datagram(address=f"{host}:{port}", data=b"answer")
    receiver.fire(peers_send([answer]), "peers")
    wait_until(lambda: receiver.peers.n_sent == 1, what="datagrams")
    assert peer_socket.recv(100) == b"answer"


def test_receives_after_sending_to_closed_port_and_bad_route(
    receiver: DatagramReceiver, peer_socket: socket.socket
) -> None:
    """Go on receiving after datagrams were sent to peers that have ended.

    Guards against receiving from no peer after one of them has ended: a datagram to a
    closed port is refused, and the socket reports that error at its next use, for
    whichever peer.
    """
    gone = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    gone.bind(("127.0.0.1", 0))
    port = gone.getsockname()[1]
    gone.close()
    refused = Datagram(address=f"127.0.0.1:{port}", data=b"x")
    unroutable = Datagram(address="255.255.255.255:9", data=b"x")
    receiver.fire(peers_send([refused, unroutable, refused]), "peers")
    wait_until(
        lambda: receiver.peers.n_sent + receiver.peers.n_unsent == 3, what="datagrams"
    )
    assert receiver.peers.n_unsent >= 1
    peer_socket.sendto(b"still here", _address_of(receiver.peers))
    wait_until(lambda: receiver.received, what="datagrams")
    assert receiver.received[0].data == b"still here"


def test_a_too_long_datagram_is_recognizable(
    receiver: DatagramReceiver, peer_socket: socket.socket
) -> None:
    peer_socket.sendto(b"x" * 20_000, _address_of(receiver.peers))
    wait_until(lambda: receiver.received, what="datagrams")
    assert len(receiver.received[0].data) == READ_SIZE


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
