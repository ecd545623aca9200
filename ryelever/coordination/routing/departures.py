"""Know the backend servers that are leaving, by the first word of anyone."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ...state.observations import LeavingRow

if TYPE_CHECKING:
    from ...state.fleet import ListedHost
    from ...state.observations import Observation
    from ..confirmation import Confirmations

__all__ = ["Departures"]


#: Seconds for which a peer's word counts against the host's own reports: long
#: enough for the own copy of the platform's list to show it too.
PEER_HOLD = 3.0

#: Seconds after which a host that gives no reports is tried again.
SERVICE_HOLD = 2.0

#: Seconds for which peers are told of a refusal.
ANNOUNCED_FOR = 3.0

#: Seconds after which any word is dropped.
MAX_AGE = 60.0


@dataclass(slots=True, kw_only=True, frozen=True)
class _Departure:
    """Hold the newest evidence that a host takes nothing new.

    Attributes
    ----------
    at : float
        Monotonic time of the evidence.
    hold : float
        Seconds for which it stands whatever the host reports.
    told : bool
        Pass it on.  Only what this host saw itself is: a word that two hosts pass
        to and fro would never grow old.
    """

    at: float
    hold: float
    told: bool


class Departures:
    """Hold back work from hosts that refused, or that a peer calls leaving.

    The platform's list lags, so a leaving host goes on being listed as live; the
    operator sees requests fail on a host that was told to go.  The list's and the
    host's own word are read where they are kept (``Targets``, ``Confirmations``);
    here is what neither shows.  A word ends only by evidence that is newer than
    itself: a host's own report that was asked for later.  A plain service gives no
    report and is tried again after a while.

    Parameters
    ----------
    confirmations : Confirmations
        The hosts' own reports.
    hosts_by_name : dict of str to ListedHost
        What the platform's list names; kept current by its owner.
    """

    def __init__(
        self, *, confirmations: Confirmations, hosts_by_name: dict[str, ListedHost]
    ) -> None:
        self._confirmations = confirmations
        self._hosts_by_name = hosts_by_name
        self._departures_by_host: dict[str, _Departure] = {}

    def refused(self, host: str, *, connection: bool, now: float) -> None:
        """Take note that a host refused new work.

        Parameters
        ----------
        connection : bool
            It refused the connection.  A refusal by answer may be due to this one
            request or to a moment's load, and is not passed on to peers.
        """
        self._take(host, _Departure(at=now, hold=0.0, told=connection))

    def is_leaving(self, host: str, *, now: float) -> bool:
        """Tell whether the host must get nothing new."""
        departure = self._departures_by_host.get(host)
        if departure is None:
            return False
        if self._is_refuted(host, departure, now=now):
            del self._departures_by_host[host]
            return False
        return True

    def observations(self, *, now: float) -> list[Observation]:
        """Return the hosts that this entry host itself found to be leaving."""
        leaving = {
            host
            for host, departure in list(self._departures_by_host.items())
            if departure.told
            and now - departure.at <= ANNOUNCED_FOR
            and self.is_leaving(host, now=now)
        }
        for host, listed in self._hosts_by_name.items():
            if listed.state == "leaving":
                leaving.add(host)
        for host, known in self._confirmations.reports_by_host.items():
            if known.report.state == "leaving":
                leaving.add(host)
        return [LeavingRow(host=host) for host in sorted(leaving)]

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Take a peer's word."""
        if not isinstance(observation, LeavingRow):
            return
        departure = _Departure(at=observed_at, hold=PEER_HOLD, told=False)
        if not self._is_refuted(observation.host, departure, now=now):
            self._take(observation.host, departure)

    def _take(self, host: str, departure: _Departure) -> None:
        # The newest evidence counts, for as long as any of it stands.  Were a refusal
        # to end a peer's hold, the host's next report would bring back a host that
        # the peer has seen on the list as leaving, and the own copy has not yet.
        known = self._departures_by_host.get(host, departure)
        newest = max(departure, known, key=lambda evidence: evidence.at)
        until = max(known.at + known.hold, departure.at + departure.hold)
        self._departures_by_host[host] = replace(newest, hold=until - newest.at)

    def _is_refuted(self, host: str, departure: _Departure, *, now: float) -> bool:
        age = now - departure.at
        if age > MAX_AGE:
            return True
        known = self._confirmations.reports_by_host.get(host)
        if known is None:
            return age >= max(departure.hold, SERVICE_HOLD)
        return (
            known.report.state != "leaving"
            and known.asked_at > departure.at
            and age >= departure.hold
        )
