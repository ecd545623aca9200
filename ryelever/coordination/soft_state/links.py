"""Keep what is known of each peer: its tokens, its sequence, its clock's offset.

Three things go wrong between peers, and none may be noticed by a wall clock:

* A datagram that was recorded is sent again.  Each process draws a random token for
  every boot of every peer that it hears; rows are taken only from datagrams which
  bring that token, so what was recorded before a restart of either side is void,
  and a window over the sequence numbers refuses what was recorded since.
* A datagram is late, in the network or in the buffer of a paused process.  An age
  alone would then be too young by the delay.  Ages are counted from the moment at
  which this process sent the datagram that the peer echoes, plus the peer's hold:
  the peer composed its datagram after that moment, so the result errs only towards
  older.
* A peer restarts.  Its new boot proves itself by sending back the token that it was
  granted; only then is the earlier boot forgotten.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from .messages import Have, Message

__all__ = ["MAX_DRIFT", "Link", "Peer", "Receipt"]

#: By how much a peer's monotonic clock may run differently from the own one.
MAX_DRIFT = 0.01

#: How many sequence numbers back a reordered datagram is still taken.
WINDOW = 64

#: How many own datagrams to a peer can still be echoed.
N_ECHOED = 64

#: Seconds of silence after which a greeting may replace the token of a known boot.
GRANT_KEPT = 10.0

#: Boots of one peer that may be waiting to prove themselves.
MAX_LINKS = 4


@dataclass(slots=True, kw_only=True, eq=False)
class Link:
    """Hold what belongs to one boot of a peer.

    Attributes
    ----------
    given, granted : int
        The token that this process draws for the boot, and the one it was given;
        ``granted`` is 0 until known.
    confirmed : bool
        The boot has proved itself.
    """

    boot: int
    given: int
    granted: int = 0
    confirmed: bool = False
    highest: int = 0
    seen: int = 0
    haves: dict[int, int] = field(default_factory=dict)
    configuration_version: int = -1

    def take_sequence(self, sequence: int) -> bool:
        """Note a sequence number; tell whether it is new and not too old."""
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

    def take_haves(self, haves: tuple[Have, ...]) -> None:
        """Replace what the peer has told that it has."""
        self.haves = {have.origin: have.version for have in haves}


@dataclass(slots=True, kw_only=True, frozen=True)
class Receipt:
    """Say what became of a datagram.

    Attributes
    ----------
    fault : str
        Why its rows are not taken; empty when they are.
    link : Link or None
        The link whose boot sent it, unless the datagram was a repetition.
    composed_at : float or None
        Own monotonic time at or before which the peer composed it; None while the
        peer has echoed nothing.
    newest : bool
        No later datagram of this boot has been received before.
    """

    fault: str
    link: Link | None = None
    composed_at: float | None = None
    newest: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class Peer:
    """Hold what is known of the process behind one address.

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
    heard_at: float = float("-inf")
    sent_at: float = float("-inf")
    greeted_at: float = float("-inf")
    answered_at: float = float("-inf")
    brought_at: float = float("-inf")
    links_by_boot: OrderedDict[int, Link] = field(default_factory=OrderedDict)
    _sequence: int = 0
    _sent_at_by_sequence: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _received_sequence: int = 0
    _received_at: float = 0.0

    def next_sequence(self, *, now: float) -> int:
        """Count a datagram that is about to be sent."""
        self._sequence += 1
        self.sent_at = now
        self._sent_at_by_sequence[self._sequence] = now
        if len(self._sent_at_by_sequence) > N_ECHOED:
            self._sent_at_by_sequence.popitem(last=False)
        return self._sequence

    def echo(self, *, now: float) -> tuple[int, float]:
        """Return the newest sequence received and for how long it has been held."""
        if not self._received_sequence:
            return 0, 0.0
        return self._received_sequence, now - self._received_at

    def receive(self, message: Message, *, now: float) -> Receipt:
        """Judge a datagram that bears the right key."""
        link = self._link(message.boot)
        if message.token != link.given:
            # A recorded greeting must not replace a token that works.
            works = link.confirmed and now - self.heard_at <= GRANT_KEPT
            if message.grant and not works:
                link.granted = message.grant
            return Receipt(fault="unproven", link=link)
        newest = message.sequence > link.highest
        if not link.take_sequence(message.sequence):
            return Receipt(fault="replayed")
        self._confirm(link, message)
        self.heard_at = now
        if newest:
            self._received_sequence = message.sequence
            self._received_at = now
        composed_at = self._composed_at(message)
        fault = "" if composed_at is not None else "no_echo"
        return Receipt(fault=fault, link=link, composed_at=composed_at, newest=newest)

    def _link(self, boot: int) -> Link:
        link = self.links_by_boot.get(boot)
        if link is None:
            link = Link(boot=boot, given=self.draw())
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
            link.granted = message.grant
        if link is self.current:
            return
        # The tokens of earlier boots die here: what they sent is void from now on.
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
