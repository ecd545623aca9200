"""Track which backend servers this host can't reach although other hosts can."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["ServerPaths"]

#: Number of servers of a service, of a zone, or of all, to which the path must be lost
#: while none of them answers, before the paths to all of them count as lost.
MIN_LOST = 2

#: Seconds within which the head of a stalled group answers this host directly, which
#: takes some milliseconds.  Other hosts are asked after this time.
STALL_ANSWER_TIME = 0.1

#: Seconds within which the other hosts' answers follow.
STALL_CHECK_TIME = 0.3

#: Seconds without an answer of any server of a service after which this host's paths
#: are suspected when one of them can't be reached or its group stalls.
MAX_SILENCE = 0.25

#: Minimum seconds between two checks of a server.  A check ends after this time.
CHECK_INTERVAL = 0.5

#: Seconds between two probes of lost paths.
PROBE_INTERVAL = 0.25

#: Maximum number of lost paths that are probed at once while paths are being regained:
#: most paths are lost and regained together.
MAX_PROBES = 8

#: Seconds after a path was regained for which the other ones are probed at once.
REGAINING_TIME = 2.0

#: A set of servers whose paths may be lost together: what they have in common, and its
#: name.
_Scope = tuple[str, str]

_ALL: _Scope = ("all", "")


class _Located(Protocol):
    """A backend server, with what it has in common with others."""

    service: str
    availability_zone: str


class _Check(msgspec.Struct, kw_only=True):
    """A check whether this host and other hosts reach a server.

    Attributes
    ----------
    for_stall : bool
        True if the group of the server has stalled, False if a request could not be
        sent to the server.
    asks_others : bool
        True once other hosts were asked.
    """

    started_at: float
    for_stall: bool
    asks_others: bool


class ServerPaths:
    """Record which servers answer this host, and which only other hosts reach.

    Either a server that can't be reached has ended, or this host has lost its path to
    the server.  A check by way of another host tells which.

    Parameters
    ----------
    servers_by_id : mapping of str to object with ``service`` and ``availability_zone``
        The listed backend servers; kept current by its owner.
    log : callable
        Write one log line, given the name of the event and its fields.

    Attributes
    ----------
    ask_directly, ask_others : callable
        Send a server a status request directly or by way of other hosts; return whether
        there are other hosts, without which nothing is sent.
    on_lost : callable
        Called with the id of a server to which the path was lost.
    heard_at : float
        Monotonic time of the last answer of any server, directly or by way of another
        host.
    """

    def __init__(
        self, *, servers_by_id: Mapping[str, _Located], log: Callable[..., None]
    ) -> None:
        self._servers_by_id = servers_by_id
        self._log = log
        self._checks_by_id: dict[str, _Check] = {}
        self._lost_at_by_id: dict[str, float] = {}
        self._probed_at_by_id: dict[str, float] = {}
        self._heard_at_by_service: dict[str, float] = {}
        self._answered_at_by_scope: dict[_Scope, float] = {}
        self._lost_scopes: frozenset[_Scope] = frozenset()
        self._next_probe_at = float("-inf")
        self._regained_at = float("-inf")
        self.ask_directly: Callable[[str], bool] = lambda server_id: False
        self.ask_others: Callable[[str], bool] = lambda server_id: False
        self.on_lost: Callable[[str], None] = lambda server_id: None
        self.heard_at = float("-inf")

    @property
    def is_cut_off(self) -> bool:
        """Return whether this host reaches no backend server while other hosts do."""
        return _ALL in self._lost_scopes

    @property
    def n_lost(self) -> int:
        """Return the number of servers to which the path is known to be lost."""
        return len(self._lost_at_by_id)

    def is_out_of_reach(self, server_id: str) -> bool:
        """Return whether only other hosts reach a server."""
        if not self._lost_at_by_id:
            return False
        if server_id in self._lost_at_by_id:
            return True
        server = self._servers_by_id.get(server_id)
        return server is not None and not self._lost_scopes.isdisjoint(_scopes(server))

    def hears_nothing(self, server_id: str, *, now: float) -> bool:
        """Return whether no server of a server's service has answered recently.

        Answers by way of other hosts count as well.
        """
        server = self._servers_by_id.get(server_id)
        if server is None:
            return now - self.heard_at > MAX_SILENCE
        heard_at = self._heard_at_by_service.get(server.service, float("-inf"))
        return now - heard_at > MAX_SILENCE

    def is_checking(self, server_id: str) -> bool:
        """Return whether other hosts are being asked for a server."""
        return server_id in self._checks_by_id

    def explains_stall(self, server_id: str, *, now: float) -> bool:
        """Return whether a group may appear stalled for the lack of a path to its head.

        While the head is checked it may; the check takes ``STALL_CHECK_TIME`` at most.
        """
        if self.is_out_of_reach(server_id):
            return True
        check = self._checks_by_id.get(server_id)
        if check is None or not check.for_stall:
            return False
        return now - check.started_at <= STALL_CHECK_TIME

    # Evidence

    def heard(self, server_id: str, *, now: float) -> None:
        """Record any answer of a server, directly or by way of another host."""
        self.heard_at = now
        server = self._servers_by_id.get(server_id)
        if server is not None:
            self._heard_at_by_service[server.service] = now

    def answered(self, server_id: str, *, now: float) -> None:
        """Record that a server answered this host over a new connection."""
        self.heard(server_id, now=now)
        self._checks_by_id.pop(server_id, None)
        if not self._lost_at_by_id:
            return
        server = self._servers_by_id.get(server_id)
        for scope in (_ALL,) if server is None else _scopes(server):
            self._answered_at_by_scope[scope] = now
        if self._lost_at_by_id.pop(server_id, None) is not None:
            self._regained_at = self._next_probe_at = now
            self._log("path_regained", server=server_id, n=self.n_lost)
        self._update_scopes()

    def unreached(self, server_id: str, *, now: float) -> None:
        """Record that a request could not be sent to a server directly."""
        self._check(server_id, for_stall=False, now=now)

    def stalled(self, server_id: str, *, now: float) -> None:
        """Record that the group of a server has stalled."""
        self._check(server_id, for_stall=True, now=now)

    def reached_by_other(self, server_id: str, *, now: float) -> None:
        """Record that a server answered a check by way of another host."""
        self.heard_at = now
        check = self._checks_by_id.pop(server_id, None)
        if check is None or server_id not in self._servers_by_id:
            return
        self._lost_at_by_id[server_id] = now
        self._log("path_lost", server=server_id, n=self.n_lost)
        self._update_scopes()
        self.on_lost(server_id)

    def tick(self, *, now: float) -> None:
        """Continue or end checks, and forget servers that are gone."""
        for server_id, check in list(self._checks_by_id.items()):
            age = now - check.started_at
            if not check.asks_others and age > STALL_ANSWER_TIME:
                check.asks_others = self.ask_others(server_id)
            if age > CHECK_INTERVAL:
                del self._checks_by_id[server_id]
        gone = self._lost_at_by_id.keys() - self._servers_by_id.keys()
        for server_id in gone:
            del self._lost_at_by_id[server_id]
        if gone:
            self._update_scopes()

    def due_probes(self, *, now: float) -> list[str]:
        """Return the servers to probe directly now, to learn that a path is back."""
        if not self._lost_at_by_id or now < self._next_probe_at:
            return []
        self._next_probe_at = now + PROBE_INTERVAL
        is_regaining = now - self._regained_at < REGAINING_TIME
        probed_at = self._probed_at_by_id
        by_age = sorted(
            self._lost_at_by_id, key=lambda item: (probed_at.get(item, 0.0), item)
        )
        due = by_age[: MAX_PROBES if is_regaining else 1]
        self._probed_at_by_id = {
            item: now if item in due else probed_at.get(item, 0.0) for item in by_age
        }
        return due

    # Conclusions

    def _check(self, server_id: str, *, for_stall: bool, now: float) -> None:
        if server_id in self._lost_at_by_id or server_id in self._checks_by_id:
            return
        ask = self.ask_directly if for_stall else self.ask_others
        if ask(server_id):
            self._checks_by_id[server_id] = _Check(
                started_at=now, for_stall=for_stall, asks_others=not for_stall
            )

    def _update_scopes(self) -> None:
        """Find the scopes to which all paths count as lost."""
        answered_at = self._answered_at_by_scope
        n_lost: Counter[_Scope] = Counter(
            scope
            for server_id, lost_at in self._lost_at_by_id.items()
            if server_id in self._servers_by_id
            for scope in _scopes(self._servers_by_id[server_id])
            if lost_at > answered_at.get(scope, float("-inf"))
        )
        was_cut_off = self.is_cut_off
        self._lost_scopes = frozenset(
            scope for scope, count in n_lost.items() if count >= MIN_LOST
        )
        if self.is_cut_off != was_cut_off:
            event = "servers_unreached" if self.is_cut_off else "servers_reached"
            self._log(event, n=self.n_lost)


def _scopes(server: _Located) -> tuple[_Scope, ...]:
    return (
        _ALL,
        ("service", server.service),
        ("zone", server.availability_zone),
    )
