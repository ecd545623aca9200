"""Track hosts that are leaving, from the earliest evidence of any source."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ...state.observations import LeavingRow

if TYPE_CHECKING:
    from ...state.fleet import ListedHost
    from ...state.observations import Observation
    from ..confirmation import Confirmations

__all__ = ["Departures"]


#: Seconds for which a peer's announcement outweighs the host's own reports: long enough
#: for this entry host's copy of the platform's hosts list to show the departure too.
PEER_HOLD = 3.0

#: Minimum seconds after which a host that sends no reports is tried again.
SERVICE_HOLD = 2.0

#: Seconds for which a refusal is announced to peers.
ANNOUNCED_FOR = 3.0

#: Seconds after which any evidence is dropped.
MAX_AGE = 60.0


@dataclass(slots=True, kw_only=True, frozen=True)
class _Departure:
    """Newest evidence that a host accepts no new requests.

    Attributes
    ----------
    at : float
        Monotonic time of the evidence.
    hold : float
        Seconds for which the evidence holds whatever the host reports.
    announced : bool
        True if the evidence is announced to peers.  Only evidence that this entry host
        observed itself is announced: evidence that two hosts passed back and forth
        would never expire.
    """

    at: float
    hold: float
    announced: bool


class Departures:
    """Track hosts that refused a request, crashed, or were announced as leaving.

    The hosts list lags and keeps listing a leaving host as live; the operator would see
    requests fail on a host that was ordered to leave.  The states in the list and in
    the host's own reports are checked elsewhere (``Targets``, ``Confirmations``); this
    class keeps evidence that neither shows.

    Evidence is dropped after ``MAX_AGE`` seconds.  It ends earlier, but not within its
    ``hold``, with a report of the host that was requested later and does not say that
    the host is leaving.  A host without any report, such as a plain service, is tried
    again after its ``hold``, and not before ``SERVICE_HOLD`` seconds.

    Parameters
    ----------
    confirmations : Confirmations
        The hosts' own reports.
    hosts_by_name : dict of str to ListedHost
        Hosts in the hosts list; kept current by the owner of the dict.
    """

    def __init__(
        self, *, confirmations: Confirmations, hosts_by_name: dict[str, ListedHost]
    ) -> None:
        self._confirmations = confirmations
        self._hosts_by_name = hosts_by_name
        self._departures_by_host: dict[str, _Departure] = {}

    def refused(self, host: str, *, connection: bool, now: float) -> None:
        """Record that a host refused a new request or crashed.

        Parameters
        ----------
        connection : bool
            True if the host refused the connection.  A refusal by answer may be due to
            this single request or to a short peak of load, and is not announced to
            peers.
        """
        self._record_evidence(host, _Departure(at=now, hold=0.0, announced=connection))

    def is_leaving(self, host: str, *, now: float) -> bool:
        """Return whether a host must get no new requests."""
        departure = self._departures_by_host.get(host)
        if departure is None:
            return False
        if self._has_ended(host, departure, now=now):
            del self._departures_by_host[host]
            return False
        return True

    def observations(self, *, now: float) -> list[Observation]:
        """Return the leaving hosts that this entry host itself observed."""
        leaving = {
            host
            for host, departure in list(self._departures_by_host.items())
            if departure.announced
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
        """Record a peer's announcement of a leaving host."""
        if not isinstance(observation, LeavingRow):
            return
        departure = _Departure(at=observed_at, hold=PEER_HOLD, announced=False)
        if not self._has_ended(observation.host, departure, now=now):
            self._record_evidence(observation.host, departure)

    def _record_evidence(self, host: str, departure: _Departure) -> None:
        # The newest evidence counts, until the latest end of either hold.  If a refusal
        # ended the hold of a peer's announcement, the host's next report would bring
        # back a host that the peer's copy of the list shows as leaving, and the copy of
        # this entry host does not yet.
        known = self._departures_by_host.get(host, departure)
        newest = max(departure, known, key=lambda evidence: evidence.at)
        held_until = max(known.at + known.hold, departure.at + departure.hold)
        self._departures_by_host[host] = replace(newest, hold=held_until - newest.at)

    def _has_ended(self, host: str, departure: _Departure, *, now: float) -> bool:
        age = now - departure.at
        if age > MAX_AGE:
            return True
        known = self._confirmations.reports_by_host.get(host)
        if known is None:
            return age >= max(departure.hold, SERVICE_HOLD)
        return (
            known.report.state != "leaving"
            and known.requested_at > departure.at
            and age >= departure.hold
        )
