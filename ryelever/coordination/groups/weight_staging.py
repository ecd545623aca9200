"""Stage weights on servers in advance, within the weight store's load rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from .forming import choose_second_weights, choose_staging
from .orders import GroupOrder, OrderKind

if TYPE_CHECKING:
    from ...state.directory import BackendServer
    from .forming import FormingRules, ServingGroup

__all__ = ["WeightStaging"]

#: Seconds after which an order to stage weights is sent again.
STAGE_RETRY = 20.0

#: Fraction to use of the zone's share of the weight store's load rate.
LOAD_SHARE = 0.8

#: Length in seconds of the sliding window in which loads are counted.
LOAD_WINDOW = 5.0


class _LoadRateLimiter(msgspec.Struct, kw_only=True):
    """Rate limiter for loads from the weight store."""

    start_times: list[float] = msgspec.field(default_factory=list)

    def allow(self, *, rate: float, now: float) -> bool:
        """Return whether a load may start now, and count the load if so."""
        self.start_times = [at for at in self.start_times if now - at < LOAD_WINDOW]
        # If no load started within the window, one may start even if the rate allows
        # less than one: the limit on loads leaves room for three loads beyond the rate.
        if self.start_times and len(self.start_times) + 1 > rate * LOAD_WINDOW:
            return False
        self.start_times.append(now)
        return True


class _StagingOrder(msgspec.Struct, kw_only=True, frozen=True):
    """The last order to stage weights that was sent to a server."""

    server: BackendServer
    model: str
    since: float


class WeightStaging:
    """Decide which servers of one availability zone stage weights, and when."""

    def __init__(self) -> None:
        self._loads = _LoadRateLimiter()
        self._staging_by_id: dict[str, _StagingOrder] = {}

    def orders(
        self,
        free: list[BackendServer],
        serving_groups: list[ServingGroup],
        rules: FormingRules,
        *,
        rate: float,
        n_concurrent: float,
        n_warming_up: int,
        now: float,
    ) -> list[GroupOrder]:
        """Return the orders to stage weights that are due.

        Parameters
        ----------
        rate : float
            Loads per second that the weight store starts for the zone.
        n_concurrent : float
            Loads that the weight store runs for the zone in parallel at full speed.
        n_warming_up : int
            Servers that load weights by joining a warm-up group.
        """
        members = [server for group in serving_groups for server in group.members]
        servers = [*free, *members]
        after_staging = [self._after_staging(server, now=now) for server in servers]
        wanted = choose_staging(after_staging[: len(free)], rules)
        second = choose_second_weights(after_staging, rules)
        if not rules.loads_are_quick:
            # A second model's weights only speed up the repair of a later loss, so
            # their loads must not slow down loads that a group waits for.
            pairs = zip(servers, after_staging, strict=True)
            n_staging = sum(after != before for before, after in pairs)
            n_loading = n_warming_up + n_staging + len(wanted)
            second = second[: max(0, int(n_concurrent) - n_loading)]
        orders = []
        for server, model in wanted + second:
            if not self.try_start_load(rules, rate=rate, now=now):
                break
            self._staging_by_id[server.id] = _StagingOrder(
                server=server, model=model.name, since=now
            )
            orders.append(
                GroupOrder(
                    kind=OrderKind.STAGE,
                    server_id=server.id,
                    address=server.address,
                    model=model.name,
                )
            )
        return orders

    def try_start_load(self, rules: FormingRules, *, rate: float, now: float) -> bool:
        """Return whether a load may start now, and count the load if so.

        Loads before the first request are quick and are not counted.
        """
        if rules.loads_are_quick:
            return True
        return self._loads.allow(rate=LOAD_SHARE * rate, now=now)

    def _after_staging(self, server: BackendServer, *, now: float) -> BackendServer:
        """Return a server's entry as it will be once its staging order is done.

        An order to an earlier incarnation of the server ended with that incarnation.
        """
        staging = self._staging_by_id.get(server.id)
        if staging is None or now - staging.since > STAGE_RETRY:
            return server
        if not server.is_same_incarnation(staging.server):
            return server
        return replace(server, staged=server.staged | {staging.model})
