"""Simulate a network of entry hosts that exchange soft state, with faults."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ryelever.coordination.soft_state.exchange import (
    MAX_FLAT,
    Delivery,
    SoftStateExchange,
)
from ryelever.coordination.soft_state.messages import Message, SoftRow
from ryelever.state.configuration import Configuration
from ryelever.state.observations import ConfigurationRow

TICK = 0.05
OBSERVE_INTERVAL = 0.25
LATENCY = 0.002

Route = Callable[["Node", "Node"], tuple[float, ...]]


def direct(sender: Node, receiver: Node) -> tuple[float, ...]:
    """Deliver every datagram once."""
    return (LATENCY,)


@dataclass(kw_only=True, eq=False)
class Node:
    """One entry host's exchange and the deliveries that it has received.

    Attributes
    ----------
    rows : list
        The host's observations, each with its time of observation, or None for rows
        that are observed again at each update.
    inbox : list
        Datagrams that arrived while the process was paused, with their sources.
    """

    name: str
    zone: str
    address: str
    exchange: SoftStateExchange
    rows: list[tuple[SoftRow, float | None]] = field(default_factory=list)
    configuration: ConfigurationRow | None = None
    deliveries: list[Delivery] = field(default_factory=list)
    paused: bool = False
    observe_at: float = 0.0
    clock_rate: float = 1.0
    inbox: list[tuple[str, Message]] = field(default_factory=list)

    def last(self, row: SoftRow, *, peer: str) -> Delivery | None:
        """Return the newest delivery of a row that a peer has observed."""
        found = [d for d in self.deliveries if d.observation == row and d.peer == peer]
        return found[-1] if found else None


class Network:
    """Own the nodes, the simulated time and the datagrams in flight.

    Parameters
    ----------
    zones : sequence of str
        Zone of each node.
    route : callable
        Return the delays in seconds of a datagram's copies: an empty tuple if it is
        lost, two delays if it is repeated.
    """

    def __init__(
        self,
        *,
        zones: list[str],
        seed: int = 1,
        route: Route = direct,
        max_flat: int = MAX_FLAT,
    ) -> None:
        self.rng = random.Random(seed)
        self.route = route
        self.max_flat = max_flat
        self.now = 1000.0
        self.sent: list[tuple[str, str, Message]] = []
        self.on_send: Callable[[str, str, Message], None] | None = None
        self._heap: list[tuple[float, int, str, str, Message]] = []
        self._counter = itertools.count()
        self.nodes_by_address: dict[str, Node] = {}
        addresses = [f"10.0.{i // 256}.{i % 256}:1" for i in range(len(zones))]
        for index, (zone, address) in enumerate(zip(zones, addresses, strict=True)):
            self.boot(f"e{index:03}", zone=zone, address=address, addresses=addresses)

    @property
    def nodes(self) -> list[Node]:
        """Return the nodes in the order of their names."""
        return list(self.nodes_by_address.values())

    def boot(self, name: str, *, zone: str, address: str, addresses: list[str]) -> Node:
        """Start a node; it replaces an earlier node at the same address."""
        node = Node(
            name=name,
            zone=zone,
            address=address,
            exchange=SoftStateExchange(
                host=name,
                availability_zone=zone,
                address=address,
                addresses=[other for other in addresses if other != address],
                boot=self.rng.getrandbits(64) | 1,
                current_configuration=lambda: node.configuration,
                rng=random.Random(self.rng.getrandbits(64)),
                max_flat=self.max_flat,
            ),
        )
        self.nodes_by_address[address] = node
        return node

    def reboot(self, node: Node) -> Node:
        """Replace a node by a new process with the same name."""
        return self.boot(
            node.name,
            zone=node.zone,
            address=node.address,
            addresses=list(self.nodes_by_address),
        )

    def run(self, seconds: float, *, until: Callable[[], bool] | None = None) -> float:
        """Advance the time until a condition holds; return the seconds that passed."""
        start = self.now
        while self.now < start + seconds - 1e-9:
            if until is not None and until():
                break
            self.now += TICK
            self._deliver_due()
            order = self.nodes
            self.rng.shuffle(order)
            for node in order:
                if not node.paused:
                    self._tick(node)
        return self.now - start

    def inject(self, message: Message, *, source: str, to: Node) -> None:
        """Deliver a datagram at once, as if it came from an address."""
        self._receive(to, source, message)

    def _clock(self, node: Node) -> float:
        return self.now * node.clock_rate

    def _tick(self, node: Node) -> None:
        now = self._clock(node)
        for source, message in node.inbox:
            self._receive(node, source, message)
        node.inbox.clear()
        if self.now >= node.observe_at:
            node.observe_at = self.now + OBSERVE_INTERVAL - TICK / 2
            rows = [(row, now if at is None else at) for row, at in node.rows]
            node.exchange.observe(rows, now=now)
        self._send(node, node.exchange.tick(now=now))

    def _send(self, node: Node, messages: list[tuple[str, Message]]) -> None:
        for address, message in messages:
            if self.on_send is not None:
                self.on_send(node.address, address, message)
            receiver = self.nodes_by_address.get(address)
            if receiver is None:
                continue
            for delay in self.route(node, receiver):
                heapq.heappush(
                    self._heap,
                    (
                        self.now + delay,
                        next(self._counter),
                        node.address,
                        address,
                        message,
                    ),
                )

    def _deliver_due(self) -> None:
        while self._heap and self._heap[0][0] <= self.now:
            _, _, source, address, message = heapq.heappop(self._heap)
            node = self.nodes_by_address[address]
            if node.paused:
                node.inbox.append((source, message))
            else:
                self._receive(node, source, message)

    def _receive(self, node: Node, source: str, message: Message) -> None:
        now = self._clock(node)
        received = node.exchange.receive(message, address=source, now=now)
        node.deliveries += received.deliveries
        row = received.configuration
        if row is not None and row.version > node.exchange.configuration.version:
            node.configuration = row
        self._send(node, received.messages)


def configuration(version: int) -> ConfigurationRow:
    """Return a small configuration."""
    return ConfigurationRow(version=version, author="ana", document=Configuration())
