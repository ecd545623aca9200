"""Test that the newest configuration reaches hosts without access to the log."""

from __future__ import annotations

import hashlib
import random
import zlib
from dataclasses import replace

import pytest

from ryelever.coordination.soft_state.configuration import (
    LOG_GRACE_PERIOD,
    MAX_PIECES,
    ConfigurationTransfer,
)
from ryelever.coordination.soft_state.messages import Piece, Want
from ryelever.state.configuration import ClientAccount, Configuration
from ryelever.state.observations import ConfigurationRow

from .soft_state_network import Network, configuration

SEED = 3


def large(version: int, *, n_accounts: int = 400) -> ConfigurationRow:
    rng = random.Random(version)
    accounts = {
        f"account-{index}": ClientAccount(key_hash=f"{rng.getrandbits(256):x}")
        for index in range(n_accounts)
    }
    return ConfigurationRow(
        version=version,
        author="ana",
        document=Configuration(client_accounts=accounts),
    )


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_configuration_of_many_pieces_arrives_complete(loss: float) -> None:
    """Reassemble a configuration that is longer than a datagram.

    Guards against a host without access to the log that stays at an old version.  A
    large configuration is published and pieces of it are lost; the fault occurs if no
    peer sends a lost piece again.
    """
    network = Network(zones=["a", "a", "b", "b"], seed=SEED)
    network.route = lambda *_: () if network.rng.random() < loss else (0.002,)
    network.run(5.0)
    network.nodes[0].configuration = large(8)
    network.run(60.0)
    assert all(node.configuration == large(8) for node in network.nodes)


def test_no_host_returns_to_an_older_version() -> None:
    """Keep the highest version on every host when a host restarts with an old one."""
    network = Network(zones=["a"] * 3, seed=SEED)
    network.nodes[0].configuration = configuration(9)
    network.run(8.0)
    network.nodes[1].configuration = configuration(9)
    reborn = network.reboot(network.nodes[2])
    reborn.configuration = configuration(4)
    seen = []
    for _ in range(160):
        network.run(0.05)
        seen.append(tuple(n.exchange.configuration.version for n in network.nodes))
    assert seen[-1] == (9, 9, 9)
    assert all(old <= new for old, new in zip(seen, seen[1:], strict=False))


def _spread(current: ConfigurationRow | None) -> ConfigurationTransfer:
    return ConfigurationTransfer(current=lambda: current)


def _fetching(version: int) -> ConfigurationTransfer:
    spread = _spread(None)
    spread.check_peer_version(version, address="p", now=0.0)
    assert spread.wants(now=LOG_GRACE_PERIOD / 2) is None
    assert spread.wants(now=LOG_GRACE_PERIOD) == ("p", Want(version=version, first=0))
    return spread


@pytest.mark.parametrize(
    "broken",
    [
        {"data": b"not compressed"},
        {"index": 7},
        {"n_pieces": MAX_PIECES + 1},
        {"version": 99},
        {"checksum": b""},
    ],
    ids=lambda broken: next(iter(broken)),
)
def test_invalid_piece_is_refused(broken: dict[str, object]) -> None:
    spread = _fetching(8)
    (piece,) = _spread(configuration(8)).pieces(Want(version=8, first=0))
    assert spread.add_piece(replace(piece, **broken), address="p", now=1.0) is None


def test_piece_from_another_peer_is_refused() -> None:
    spread = _fetching(8)
    (piece,) = _spread(configuration(8)).pieces(Want(version=8, first=0))
    assert spread.add_piece(piece, address="q", now=1.0) is None
    assert spread.add_piece(piece, address="p", now=1.0) == configuration(8)


def test_another_peer_is_asked_when_the_first_falls_silent() -> None:
    """Replace a silent provider by the next peer that announces the version."""
    spread = _fetching(8)
    spread.check_peer_version(8, address="q", now=0.8)
    assert spread.wants(now=0.9)[0] == "p"
    spread.check_peer_version(8, address="q", now=3.0)
    assert spread.wants(now=3.0)[0] == "q"


def test_decompression_bomb_is_not_unpacked() -> None:
    """Bound the memory that a small compressed text can expand to."""
    spread = _fetching(8)
    author = b"a" * (16 << 20)
    data = zlib.compress(b'{"author":"' + author + b'","document":{}}', 9)
    pieces = [data[at : at + 1100] for at in range(0, len(data), 1100)]
    taken = [
        spread.add_piece(
            Piece(
                version=8,
                index=index,
                n_pieces=len(pieces),
                checksum=hashlib.sha256(data).digest(),
                data=piece,
            ),
            address="p",
            now=1.0,
        )
        for index, piece in enumerate(pieces)
    ]
    assert taken[-1] is None
    assert spread.n_invalid == 1
