"""Build the objects that admit, claim, route and retry requests."""

from __future__ import annotations

import uuid
from functools import partial
from typing import TYPE_CHECKING

from .coordination.admission import FairAdmission, GroupCapacity
from .coordination.quarantine import PartQuarantine, Quarantine
from .coordination.requests import Claims, RequestTable, Timeouts
from .coordination.routing import (
    AffinityRouter,
    Departures,
    LoadView,
    RetryBudget,
    RoutingFeedback,
    Stragglers,
    Targets,
)
from .protocol.log import CLAIMS_STREAM, claims_stream, claims_streams
from .quarantine_log import PartLog, QuarantineLog
from .state.claims import ClaimsFold

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.confirmation import Confirmations
    from .coordination.limits import AccountLimits
    from .settings import Settings
    from .state.configuration import ClientAccount
    from .state.fleet import ListedHost
    from .state.placement import PlacementFold

__all__ = ["RequestPath", "build_claims"]

#: Seconds after which a caller should retry when no server can serve its request.
RETRY_AFTER = 2.0

#: Minimum seconds before a verdict on a request that crashes servers: longer than a
#: suspicion takes to reach the other entry hosts of the zone.
SUSPICION_SETTLE = 1.0

#: Seconds without reaching the end of a claims stream after which the log counts as
#: down, in addition to the progress timeout of one connection to the log.
CLAIMS_LAG = 2.0

#: Seconds by which the pause before a new attempt at the same backend server exceeds
#: the maximum age of a report.  After the pause, only a server that has reported again
#: is used for the new attempt.
REPORT_SLACK = 0.5


class RequestPath:
    """Build and hold the objects that decide about requests.

    Parameters
    ----------
    limits : AccountLimits
        This host's shares of the client accounts' limits, as agreed with the other
        entry hosts.
    account : callable
        Return the declaration of a client account, or None.
    n_hosts : callable
        Return the number of entry hosts.
    place : callable
        Return this entry host's index among all entry hosts, and their number.
    peers_reported_since : callable
        Return whether all live entry hosts of the zone have reported everything that
        they had observed up to a given monotonic time.

    Attributes
    ----------
    table : RequestTable
        All requests in flight; uses the other objects for its decisions.
    departures, quarantine, loads
        Observations of this entry host that are exchanged with the other ones.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        claims: Claims,
        placements_by_zone: dict[str, PlacementFold],
        hosts_by_name: dict[str, ListedHost],
        confirmations: Confirmations,
        limits: AccountLimits,
        account: Callable[[str], ClientAccount | None],
        n_hosts: Callable[[], int],
        place: Callable[[], tuple[int, int]],
        peers_reported_since: Callable[[float], bool],
    ) -> None:
        self.departures = Departures(
            confirmations=confirmations, hosts_by_name=hosts_by_name
        )
        settle = SUSPICION_SETTLE if settings.peers else 0.0
        self.quarantine = Quarantine(
            settle=settle,
            peers_reported_since=peers_reported_since,
            reports=QuarantineLog(),
            parts=PartQuarantine(
                peers_reported_since=peers_reported_since if settings.peers else None,
                reports=PartLog(),
            ),
        )
        targets = Targets(
            availability_zone=settings.availability_zone,
            placements_by_zone=placements_by_zone,
            hosts_by_name=hosts_by_name,
            confirmations=confirmations,
            departures=self.departures,
        )
        self.loads = LoadView(targets=targets)
        stragglers = Stragglers()
        retry_budget = RetryBudget()
        self.table = RequestTable(
            admission=FairAdmission(
                capacity=GroupCapacity(
                    targets=targets,
                    confirmations=confirmations,
                    batch_size=lambda: settings.group_batch,
                    n_hosts=n_hosts,
                    n_hosts_waiting=lambda now: limits.n_hosts_waiting(now=now),
                ),
                account=account,
                limits=limits,
            ),
            router=AffinityRouter(
                targets=targets,
                loads=self.loads,
                stragglers=stragglers,
                quarantine=self.quarantine,
                part=place,
            ),
            feedback=RoutingFeedback(
                quarantine=self.quarantine,
                departures=self.departures,
                stragglers=stragglers,
                retry_budget=retry_budget,
            ),
            retry_policy=retry_budget,
            claims=claims,
            account=account,
            new_id=lambda: uuid.uuid4().hex,
            retry_after=lambda: RETRY_AFTER,
            timeouts=Timeouts(
                claim=settings.claim_timeout,
                recovery=settings.recovery_timeout,
                same_target=settings.report_max_age + REPORT_SLACK,
            ),
        )

    @property
    def observers(self) -> list[Departures | Quarantine | LoadView]:
        """Return the objects whose observations the entry hosts exchange."""
        return [self.departures, self.quarantine, self.loads]


def build_claims(*, settings: Settings, owner: str) -> Claims:
    """Return the claims of requests that run at most once, with their folds.

    Parameters
    ----------
    owner : str
        Name of this entry host together with its boot id.
    """
    n_partitions = settings.claims_partitions
    return Claims(
        owner=owner,
        stream=CLAIMS_STREAM,
        folds_by_stream={name: ClaimsFold() for name in claims_streams(n_partitions)},
        stream_of=partial(claims_stream, n_partitions=n_partitions),
        max_lag=CLAIMS_LAG + settings.progress_timeout,
    )
