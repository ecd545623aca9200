"""Exchange words with the other entry hosts."""

from __future__ import annotations

import os
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.host_words import HostWord
from .events import Datagram, peers_send, server_news
from .logs import log_event
from .protocol.host_words import decode_datagram, encode_news, encode_word
from .state.keyed_record import ServerNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.host_words import HostAddress, HostWords
    from .coordination.relaying import Balancer, CrashWatch, StillnessWatch
    from .relay_settings import RelaySettings

__all__ = ["HostExchange", "WORD_INTERVAL"]

#: Seconds between two words to the hosts of the same availability zone.  What
#: another host sends to a group is known within this time, a seventh of a stream.
WORD_INTERVAL = 0.2

#: Words to the hosts of other zones, one in so many: bytes between zones are paid
#: for, and load there matters less.
FAR_WORDS = 3


class HostExchange(BaseComponent):
    """Own what this host tells others, and take what they tell.

    Parameters
    ----------
    describe : callable
        Return the parts of this host's word that other components know.
    plans : callable
        Tell whether this host plans for a zone.
    take_version : callable
        Take note that another host has a configuration version in force.
    """

    channel = "exchange"

    def __init__(
        self,
        *,
        settings: RelaySettings,
        words: HostWords,
        balancer: Balancer,
        stillness: StillnessWatch,
        crashes: CrashWatch,
        describe: Callable[[], dict[str, object]],
        plans: Callable[[], bool],
        take_version: Callable[[HostWord], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._words = words
        self._balancer = balancer
        self._stillness = stillness
        self._crashes = crashes
        self._describe = describe
        self._plans = plans
        self._take_version = take_version
        self._boot = int.from_bytes(os.urandom(7), "big")
        self._sequence = 0
        self._heard: set[str] = set()

    @property
    def n_heard(self) -> int:
        """Return how many other entry hosts are heard."""
        return len(self._heard)

    @handler("word_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._sequence += 1
        word = HostWord(
            host=self._settings.host,
            availability_zone=self._settings.availability_zone,
            boot=self._boot,
            sequence=self._sequence,
            in_flight_by_server={
                server_id: record.in_flight
                for server_id, record in self._balancer.records_by_id.items()
                if record.in_flight
            },
            **self._describe(),
        )
        data = encode_word(word)
        far = self._sequence % FAR_WORDS == 0
        self._send(data, lambda address: far or self._is_near(address))
        self._balancer.peers_in_flight_by_id = self._words.in_flight(now=now)
        self._balancer.unheard_zones = self._words.unheard_zones(now=now)
        self._log_hearing(now=now)

    @handler("peers_received")
    def _on_received(self, datagrams: list[Datagram]) -> None:
        now = time.monotonic()
        for datagram in datagrams:
            read = decode_datagram(datagram.data, peer=datagram.address)
            if read.is_error():
                log_event("word_unreadable", peer=datagram.address, why=str(read.error))
                continue
            word = read.ok
            if isinstance(word, ServerNews):
                self._take_news(word)
            elif self._words.take(word, address=datagram.address, now=now):
                self._take_still(word, now=now)
                self._take_version(word)
                if word.suspicions:
                    self._crashes.heard(word.suspicions, host=word.host, now=now)
        self._balancer.peers_in_flight_by_id = self._words.in_flight(now=now)

    @handler("server_news")
    def _on_server_news(self, news: ServerNews) -> None:
        """Pass on what this host has read, so that others need not read it."""
        self._pass_on(news, far=True)

    def _take_news(self, news: ServerNews) -> None:
        self.fire(server_news(news), "directory")
        reader = self._words.addresses_by_host.get(news.reader)
        knows_already = reader is not None and self._is_near(reader)
        if self._plans() and not news.passed_on and not knows_already:
            # News cross between zones once, to the planner, who tells its zone; the
            # reader has told its own.  Where two plan for a moment, each would pass on
            # what the other has, for ever.
            self._pass_on(replace(news, passed_on=True), far=False)

    def _pass_on(self, news: ServerNews, *, far: bool) -> None:
        data = encode_news(news)
        if data is None:
            return
        now = time.monotonic()
        planners = {word.host for word in self._words.living(now=now) if word.plans}
        self._send(
            data,
            lambda address: (
                self._is_near(address) or (far and address.host in planners)
            ),
        )

    def _is_near(self, address: HostAddress) -> bool:
        return address.availability_zone == self._settings.availability_zone

    def _send(self, data: bytes, wanted: Callable[[HostAddress], bool]) -> None:
        """Send one datagram to each of the other hosts that is wanted."""
        datagrams = [
            Datagram(address=address.address, data=data)
            for address in self._words.addresses_by_host.values()
            if address.host != self._settings.host and wanted(address)
        ]
        if datagrams:
            self.fire(peers_send(datagrams), "peers")

    def _take_still(self, word: HostWord, *, now: float) -> None:
        """Leave groups alone that stand still for another host, and not here."""
        for server_id in word.still:
            if not self._stillness.moves(server_id, now=now):
                self._balancer.stands_still(server_id, now=now)

    def _log_hearing(self, *, now: float) -> None:
        heard = {word.host for word in self._words.living(now=now)}
        for host in heard - self._heard:
            log_event("peer_heard", peer=host)
        for host in self._heard - heard:
            log_event("peer_lost", peer=host)
        self._heard = heard
