"""Test how news of the backend servers spread among entry hosts."""

from __future__ import annotations

import pytest

from ryelever.coordination.host_words import HostAddress, HostWords
from ryelever.coordination.relaying import Balancer, CrashWatch, StillnessWatch
from ryelever.coordination.routing import Quarantine
from ryelever.events import Datagram
from ryelever.host_exchange import FAR_WORDS, HostExchange
from ryelever.state.directory import Directory
from ryelever.state.keyed_record import KeyedRecord, ServerNews

from .test_fleet_directory import settings_of

#: Availability zones of the hosts by their names.
ZONE_BY_HOST = {"a": "x", "b": "y", "c": "y", "d": "y"}


class Network:
    """Hold the exchanges of several hosts, all of which plan for their zones.

    Attributes
    ----------
    n_sent : int
        Datagrams that were delivered.
    taken_by_host : dict of str to list of ServerNews
        What each host took for its own list.
    """

    def __init__(self) -> None:
        self.n_sent = 0
        self.taken_by_host: dict[str, list[ServerNews]] = {}
        self.exchanges_by_host: dict[str, HostExchange] = {}
        self._waiting: list[tuple[str, Datagram]] = []
        for host in ZONE_BY_HOST:
            self.taken_by_host[host] = []
            self.exchanges_by_host[host] = self._exchange(host)

    def _exchange(self, host: str) -> HostExchange:
        zone = ZONE_BY_HOST[host]
        words = HostWords(host=host, zone=zone)
        for other, other_zone in ZONE_BY_HOST.items():
            words.addresses_by_host[other] = HostAddress(
                host=other, address=other, availability_zone=other_zone
            )
        exchange = HostExchange(
            settings=settings_of(host, zone=zone),
            words=words,
            balancer=Balancer(directory=Directory(), zone=zone),
            stillness=StillnessWatch(),
            crashes=CrashWatch(quarantine=Quarantine()),
            describe=lambda: {
                "reads_store": True,
                "stopping": False,
                "configuration_version": 1,
                "plans": (zone,),
            },
            plans=lambda: True,
            take_version=lambda word: None,
        )
        exchange.fire = lambda event, channel: self._fired(host, event, channel)
        return exchange

    def _fired(self, host: str, event: object, channel: str) -> None:
        if channel == "directory":
            self.taken_by_host[host] += event.args
        elif channel == "peers":
            for datagram in event.args[0]:
                self._waiting.append(
                    (datagram.address, Datagram(address=host, data=datagram.data))
                )

    def deliver(self, *, at_most: int) -> None:
        """Deliver what is under way, and what comes of it."""
        while self._waiting and self.n_sent < at_most:
            host, datagram = self._waiting.pop(0)
            self.n_sent += 1
            self.exchanges_by_host[host]._on_received([datagram])


@pytest.fixture
def network() -> Network:
    """Return hosts that have heard each other."""
    network = Network()
    for _ in range(FAR_WORDS):
        for exchange in network.exchanges_by_host.values():
            exchange._on_tick()
    network.deliver(at_most=100)
    return network


def _read(network: Network, reader: str) -> int:
    """Let a host read something; return how many datagrams come of it."""
    before = network.n_sent
    records = [KeyedRecord(key="i1", value=b"{}", offset=4)]
    news = ServerNews(reader=reader, start=4, end=5, records=records)
    network.exchanges_by_host[reader]._on_server_news(news)
    network.deliver(at_most=before + 1000)
    return network.n_sent - before


def test_news_are_passed_on_once(network: Network) -> None:
    """Show that hosts of a zone don't pass the same news to each other for ever.

    Symptom: a zone's links and processors are full for as long as several of its
    hosts take themselves for the planner, as all do in the first moment.
    Sequence: news come from another zone; each planner passes them on to its zone,
    where the other planners do the same.
    Cause: whoever planned passed on all that came, also what had been passed on.
    """
    # To three planners, each of which tells the two others of its zone.
    assert _read(network, "a") == 3 + 3 * 2
    for host in "bcd":
        assert [taken.records for taken in network.taken_by_host[host]]


def test_a_reader_tells_its_own_zone_itself(network: Network) -> None:
    assert _read(network, "b") == 3
