"""Play one backend server: its orders, its loads and what it reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec.structs import replace

from ..coordination.groups import GroupOrder, OrderKind, OrderOutcome
from ..state.directory import BackendServer, GroupReport, GroupState
from ..state.routes import EngineProfile, ModelProfile

__all__ = ["EmulatedServer", "Load"]

#: Seconds to join a group of the model of the server's last one.
REJOIN_TIME = 0.2


@dataclass(slots=True, kw_only=True, eq=False)
class Load:
    """Hold weights on their way to a host.

    Attributes
    ----------
    remaining : float
        Seconds that it takes yet if the weight store isn't crowded.
    joins : bool
        True where the server becomes ready in its group with it.
    """

    model: str
    remaining: float
    joins: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class EmulatedServer:
    """Hold one backend server as it is, and not as the list shows it.

    Attributes
    ----------
    entry : BackendServer
        What it would report now.
    last_model : str
        Model of its last group since its start; reports show it only in a group.
    lost_at : float or None
        When it was lost; None while it lives.
    back_at : float
        When it starts again, empty but for what its host has staged.
    whole_until : float
        Since when its group, of which it is the head, stands still.
    newest_epoch : int
        Highest epoch that it was told to join.
    """

    entry: BackendServer
    last_model: str = ""
    lost_at: float | None = None
    back_at: float = float("inf")
    whole_until: float = float("inf")
    newest_epoch: int = -1
    loads: list[Load] = field(default_factory=list)
    _due: list[tuple[float, GroupState]] = field(default_factory=list)

    @property
    def id(self) -> str:
        """Return the server's id."""
        return self.entry.id

    @property
    def is_open_head(self) -> bool:
        """Tell whether it takes requests."""
        report = self.entry.group
        return (
            self.lost_at is None
            and report is not None
            and report.rank == 0
            and report.state is GroupState.OPEN
        )

    def advance(self, *, seconds: float, load_pace: float, now: float) -> None:
        """Let time pass.

        Parameters
        ----------
        load_pace : float
            Seconds of loading that are done in a second.
        """
        for load in list(self.loads):
            load.remaining -= seconds * load_pace
            if load.remaining <= 0:
                self.loads.remove(load)
                self._change(staged=frozenset({load.model}))
                if load.joins:
                    self._ready(load.model)
        for due in [item for item in self._due if item[0] <= now]:
            self._due.remove(due)
            if due[1] is GroupState.READY:
                self._ready(self.last_model)
            elif self.entry.group is not None:
                self._report(due[1])

    def obey(
        self, order: GroupOrder, *, engine: EngineProfile, now: float
    ) -> OrderOutcome:
        """Carry out an order; return what it answers."""
        report = self.entry.group
        is_in = report is not None and (report.name, report.epoch) == (
            order.group,
            order.epoch,
        )
        if order.kind is OrderKind.PROBE:
            return OrderOutcome.APPLIED if is_in else OrderOutcome.NOT_A_MEMBER
        model = engine.models_by_name.get(order.model)
        if order.kind is OrderKind.STAGE:
            self.loads.append(Load(model=order.model, remaining=model.load_time))
        elif order.kind is OrderKind.JOIN:
            if order.epoch < self.newest_epoch:
                return OrderOutcome.SUPERSEDED
            self.newest_epoch = order.epoch
            self._join(order, model, now=now)
        elif not is_in:
            return OrderOutcome.REFUSED
        elif order.kind is OrderKind.OPEN:
            if report.state is not GroupState.READY:
                return OrderOutcome.REFUSED
            self._due.append((now + engine.form_time, GroupState.OPEN))
        elif order.kind is OrderKind.CLOSE:
            self._report(GroupState.CLOSING)
        elif order.kind is OrderKind.LEAVE:
            self._change(group=None, models=frozenset())
            return OrderOutcome.APPLIED
        return OrderOutcome.IN_PROGRESS

    def break_off(self) -> None:
        """Report that its group has stood still for too long."""
        self._report(GroupState.BROKEN)

    def _join(self, order: GroupOrder, model: ModelProfile, *, now: float) -> None:
        joined = GroupReport(
            name=order.group,
            epoch=order.epoch,
            rank=order.members.index(self.id),
            state=GroupState.JOINING,
        )
        self._due.clear()
        self.loads = [load for load in self.loads if not load.joins]
        under_way = [load for load in self.loads if load.model == order.model]
        if order.model == self.last_model:
            self._due.append((now + REJOIN_TIME, GroupState.READY))
        elif order.model in self.entry.staged:
            self.last_model = order.model
            self._due.append((now + model.warm_time, GroupState.READY))
        elif under_way:
            under_way[0].joins = True
        else:
            load = Load(model=order.model, remaining=model.load_time, joins=True)
            self.loads.append(load)
        self._change(group=joined, models=frozenset())

    def _ready(self, model: str) -> None:
        if self.entry.group is None:
            return
        self.last_model = model
        self._change(models=frozenset({model}))
        self._report(GroupState.READY)

    def _report(self, state: GroupState) -> None:
        self._change(group=replace(self.entry.group, state=state))

    def _change(self, **changes: object) -> None:
        self.entry = replace(self.entry, **changes)
