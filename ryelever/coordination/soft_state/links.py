"""Check the tokens and sequence numbers of peers' datagrams, and estimate their age.

Three faults between peers must be detected without relying on a wall clock:

* A recorded datagram is sent again.  Each process draws a random token for every boot
  of every peer from which it receives; rows are accepted only from datagrams with that
  token.  Datagrams recorded before a restart of either side are therefore invalid, and
  a window over the sequence numbers refuses those recorded since.
* A datagram is delayed, in the network or in the buffer of a paused process, so the
  ages in it are too low by the delay.  Ages are counted from the time at which this
  process sent the datagram that the peer echoes, plus the peer's hold.  The peer
  composed its datagram after that time, so an error only makes a row seem older.
* A peer restarts.  Its new boot authenticates itself by sending back the token that it
  was granted; only then is the earlier boot dropped.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from .messages import Have, Message

__all__ = ["MAX_DRIFT", "Link", "Peer", "ReceiveResult"]

#: Maximum relative difference in rate between a peer's monotonic clock and this host's.
MAX_DRIFT = 0.01

#: Distance in sequence numbers within which a reordered datagram is still accepted.
WINDOW = 64

#: Number of this host's newest datagrams to a peer that the peer can echo.
N_ECHOED = 64

#: Seconds of a peer's silence after which a greeting may replace a known boot's token.
TOKEN_REPLACEABLE_AFTER = 10.0

#: Maximum boots of one peer that may wait for their authentication.
MAX_LINKS = 4


@dataclass(slots=True, kw_only=True, eq=False)
class Link:
    """State kept for one boot of a peer.

    Attributes
    ----------
    issued_token : int
        The token that this process has drawn for the boot.
    granted_token : int
        The token that the boot has granted to this process; 0 until known.
    confirmed : bool
        The boot has authenticated itself.
    """

    boot: int
    issued_token: int
    granted_token: int = 0
    confirmed: bool = False
    highest: int = 0
    seen: int = 0
    haves: dict[int, int] = field(default_factory=dict)
    configuration_version: int = -1

    def accept_sequence(self, sequence: int) -> bool:
        """Record a sequence number; return whether it is new and not too old."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, WINDOW)
            self.seen = ((self.seen << shift) | 1) & ((1 << WINDOW) - 1)
            self.highest = sequence
            return True
        bit = 1 << (self.highest - sequence)
        if self.highest - sequence >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True

    def set_haves(self, haves: tuple[Have, ...]) -> None:
        """Replace the table versions that the peer has reported to have."""
        self.haves = {have.origin: have.version for have in haves}


@dataclass(slots=True, kw_only=True, frozen=True)
class ReceiveResult:
    """Result of the checks of a received datagram.

    Attributes
    ----------
    fault : str
        Reason why the datagram's rows are ignored; empty if they are accepted.
    link : Link or None
        The link of the boot that sent the datagram; None if the datagram was replayed.
    composed_at : float or None
        Estimated time on this host's monotonic clock at which the peer composed the
        datagram; the ages in the datagram are counted from this time.  The estimate may
        be too early, but not too late while the rates of the clocks differ by at most
        ``MAX_DRIFT``.  None if the datagram echoes none of the ``N_ECHOED`` newest
        datagrams to the peer.
    newest : bool
        No later datagram of this boot has been received before.
    """

    fault: str
    link: Link | None = None
    composed_at: float | None = None
    newest: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class Peer:
    """State kept for the process at one address.

    Attributes
    ----------
    draw : callable
        Return a random 64-bit number above 0.
    """

    address: str
    draw: Callable[[], int]
    name: str = ""
    availability_zone: str = ""
    current: Link | None = None
    last_received_at: float = float("-inf")
    sent_at: float = float("-inf")
    greeted_at: float = float("-inf")
    unproven_answered_at: float = float("-inf")
    request_answered_at: float = float("-inf")
    links_by_boot: OrderedDict[int, Link] = field(default_factory=OrderedDict)
    _sequence: int = 0
    _sent_at_by_sequence: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _received_sequence: int = 0
    _received_at: float = 0.0

    def next_sequence(self, *, now: float) -> int:
        """Return the sequence number of a datagram that is about to be sent."""
        self._sequence += 1
        self.sent_at = now
        self._sent_at_by_sequence[self._sequence] = now
        if len(self._sent_at_by_sequence) > N_ECHOED:
            self._sent_at_by_sequence.popitem(last=False)
        return self._sequence

    def echo(self, *, now: float) -> tuple[int, float]:
        """Return the newest sequence number received and the seconds since then."""
        if not self._received_sequence:
            return 0, 0.0
        return self._received_sequence, now - self._received_at

    def receive(self, message: Message, *, now: float) -> ReceiveResult:
        """Check the token and the sequence number of a datagram with a valid key."""
        link = self._link(message.boot)
        if message.token != link.issued_token:
            # A replayed greeting must not replace a token that works.
            works = (
                link.confirmed
                and now - self.last_received_at <= TOKEN_REPLACEABLE_AFTER
            )
            if message.grant and not works:
                link.granted_token = message.grant
            return ReceiveResult(fault="unproven", link=link)
        newest = message.sequence > link.highest
        if not link.accept_sequence(message.sequence):
            return ReceiveResult(fault="replayed")
        self._confirm(link, message)
        self.last_received_at = now
        if newest:
            self._received_sequence = message.sequence
            self._received_at = now
        composed_at = self._composed_at(message)
        fault = "" if composed_at is not None else "no_echo"
        return ReceiveResult(
            fault=fault, link=link, composed_at=composed_at, newest=newest
        )

    def _link(self, boot: int) -> Link:
        link = self.links_by_boot.get(boot)
        if link is None:
            link = Link(boot=boot, issued_token=self.draw())
            self.links_by_boot[boot] = link
        while len(self.links_by_boot) > MAX_LINKS:
            del self.links_by_boot[self._oldest_unproven()]
        return link

    def _oldest_unproven(self) -> int:
        return next(
            boot
            for boot, link in self.links_by_boot.items()
            if link is not self.current
        )

    def _confirm(self, link: Link, message: Message) -> None:
        if message.grant:
            link.granted_token = message.grant
        if link is self.current:
            return
        # Drop the tokens of earlier boots, whose datagrams are invalid from now on.
        link.confirmed = True
        self.current = link
        self.links_by_boot = OrderedDict({link.boot: link})
        self._received_sequence = 0
        self.name = message.sender
        self.availability_zone = message.availability_zone

    def _composed_at(self, message: Message) -> float | None:
        sent_at = self._sent_at_by_sequence.get(message.echo)
        if sent_at is None:
            return None
        return sent_at + message.hold * (1 - MAX_DRIFT)
