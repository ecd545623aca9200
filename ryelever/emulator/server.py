"""Emulate one backend server: its orders, its loads and its reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec.structs import replace

from ..coordination.groups import GroupOrder, OrderKind, OrderOutcome
from ..state.directory import BackendServer, GroupReport, GroupState
from ..state.routes import EngineProfile, ModelProfile

__all__ = ["EmulatedServer", "Load"]

#: Seconds to join a group that serves the same model as the server's last group.
REJOIN_TIME = 0.2


@dataclass(slots=True, kw_only=True, eq=False)
class Load:
    """A load of a model's weights from the weight store to a host.

    Attributes
    ----------
    remaining : float
        Remaining seconds if the weight store is not overloaded.
    joins : bool
        True if the server becomes ready in its group when the load is complete.
    """

    model: str
    remaining: float
    joins: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class EmulatedServer:
    """The actual state of one backend server, which the server list shows later.

    Attributes
    ----------
    entry : BackendServer
        The server's current report.
    last_model : str
        Model of the server's last group since its start.  Reports contain the model
        only while the server is in a group.
    lost_at : float or None
        Simulated time at which the server was lost; None while it is running.
    restarts_at : float
        Simulated time at which a lost server restarts, empty except for the weights
        that its host has staged; infinite if the server does not restart.
    stalled_since : float
        Simulated time since which the group that this server heads is stalled because
        it is incomplete; infinite while the group is complete.
    newest_epoch : int
        Highest epoch that the server was ordered to join.
    """

    entry: BackendServer
    last_model: str = ""
    lost_at: float | None = None
    restarts_at: float = float("inf")
    stalled_since: float = float("inf")
    newest_epoch: int = -1
    loads: list[Load] = field(default_factory=list)
    _scheduled_states: list[tuple[float, GroupState]] = field(default_factory=list)

    @property
    def id(self) -> str:
        """Return the server's id."""
        return self.entry.id

    @property
    def is_open_head(self) -> bool:
        """Return whether the server is the head of an open group."""
        report = self.entry.group
        return (
            self.lost_at is None
            and report is not None
            and report.rank == 0
            and report.state is GroupState.OPEN
        )

    def advance(self, *, seconds: float, load_speed: float, now: float) -> None:
        """Advance the server's loads and scheduled group states.

        Parameters
        ----------
        seconds : float
            Simulated seconds to advance by.
        load_speed : float
            Seconds of loading that are completed in one simulated second.
        """
        for load in list(self.loads):
            load.remaining -= seconds * load_speed
            if load.remaining <= 0:
                self.loads.remove(load)
                self._update_entry(staged=frozenset({load.model}))
                if load.joins:
                    self._set_ready(load.model)
        for scheduled in [item for item in self._scheduled_states if item[0] <= now]:
            self._scheduled_states.remove(scheduled)
            if scheduled[1] is GroupState.READY:
                self._set_ready(self.last_model)
            elif self.entry.group is not None:
                self._set_group_state(scheduled[1])

    def execute(
        self, order: GroupOrder, *, engine: EngineProfile, now: float
    ) -> OrderOutcome:
        """Execute an order and return its outcome."""
        report = self.entry.group
        is_member = report is not None and (report.name, report.epoch) == (
            order.group,
            order.epoch,
        )
        if order.kind is OrderKind.PROBE:
            return OrderOutcome.APPLIED if is_member else OrderOutcome.NOT_A_MEMBER
        model = engine.models_by_name.get(order.model)
        if order.kind is OrderKind.STAGE:
            self.loads.append(Load(model=order.model, remaining=model.load_time))
        elif order.kind is OrderKind.JOIN:
            if order.epoch < self.newest_epoch:
                return OrderOutcome.SUPERSEDED
            self.newest_epoch = order.epoch
            self._join(order, model, now=now)
        elif not is_member:
            return OrderOutcome.REFUSED
        elif order.kind is OrderKind.OPEN:
            if report.state is not GroupState.READY:
                return OrderOutcome.REFUSED
            self._scheduled_states.append((now + engine.form_time, GroupState.OPEN))
        elif order.kind is OrderKind.CLOSE:
            self._set_group_state(GroupState.CLOSING)
        elif order.kind is OrderKind.LEAVE:
            self._update_entry(group=None, models=frozenset())
            return OrderOutcome.APPLIED
        return OrderOutcome.IN_PROGRESS

    def report_broken(self) -> None:
        """Report that the server's group was stalled for too long."""
        self._set_group_state(GroupState.BROKEN)

    def _join(self, order: GroupOrder, model: ModelProfile, *, now: float) -> None:
        new_report = GroupReport(
            name=order.group,
            epoch=order.epoch,
            rank=order.members.index(self.id),
            state=GroupState.JOINING,
        )
        self._scheduled_states.clear()
        self.loads = [load for load in self.loads if not load.joins]
        same_model_loads = [load for load in self.loads if load.model == order.model]
        if order.model == self.last_model:
            self._scheduled_states.append((now + REJOIN_TIME, GroupState.READY))
        elif order.model in self.entry.staged:
            self.last_model = order.model
            self._scheduled_states.append((now + model.warm_time, GroupState.READY))
        elif same_model_loads:
            same_model_loads[0].joins = True
        else:
            load = Load(model=order.model, remaining=model.load_time, joins=True)
            self.loads.append(load)
        self._update_entry(group=new_report, models=frozenset())

    def _set_ready(self, model: str) -> None:
        if self.entry.group is None:
            return
        self.last_model = model
        self._update_entry(models=frozenset({model}))
        self._set_group_state(GroupState.READY)

    def _set_group_state(self, state: GroupState) -> None:
        self._update_entry(group=replace(self.entry.group, state=state))

    def _update_entry(self, **changes: object) -> None:
        self.entry = replace(self.entry, **changes)
