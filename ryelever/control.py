"""Control the fleet: read the log, ask the hosts, plan the own zone."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.actions import Arrival, ChatWork, SendOrder, Target
from .coordination.log_writer import LogWriter
from .coordination.planner import PlannerView
from .events import (
    ClaimReadBack,
    OutboundRequest,
    claim_read_back,
    outbound_send,
)
from .logs import log_event, log_warning
from .protocol.backend import Order, read_hosts_list, read_report
from .protocol.json_codec import encode
from .protocol.log import (
    CLAIMS_STREAM,
    CONFIGURATION_STREAM,
    append_request,
    decode_entry,
    encode_record,
    placement_stream,
    read_page,
    read_path,
)
from .state.claims import ClaimsFold
from .state.configuration_fold import NO_VERSION, ConfigurationFold
from .state.placement import PlacementFold
from .state.records import Claim

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.actions import AppendRecord
    from .coordination.confirmation import Confirmations
    from .coordination.planner import Planner
    from .events import OutboundAnswer, OutboundFailure
    from .settings import Settings
    from .state.claims import ClaimState
    from .state.fleet import ListedHost
    from .state.fold import BaseFold
    from .state.records import Entry

__all__ = ["Claims", "Control"]

#: Longest wait of one read for new records, in milliseconds.
READ_WAIT_MS = 1000

#: Records asked for in one read.
READ_LIMIT = 1000

#: Seconds for which an append may still be repeated.
APPEND_DEADLINE = 10.0

#: Seconds between two tries of a read that failed.
READ_RETRY = 0.3

#: Seconds between two looks at the platform's list.
LIST_INTERVAL = 1.0


@dataclass(slots=True, kw_only=True)
class _Stream:
    """Own the reading and writing of one stream of the log.

    Attributes
    ----------
    caught_up_at : float
        Monotonic time, from before the question, of the newest read that reached
        the stream's end.
    """

    name: str
    fold: BaseFold
    writer: LogWriter
    reading: bool = False
    read_again_at: float = 0.0
    caught_up_at: float = float("-inf")
    n_entries: int = 0


class Claims:
    """Look up claims for the request table.

    Parameters
    ----------
    max_lag : float
        Seconds without having reached the stream's end after which the log
        counts as down.
    """

    stream = CLAIMS_STREAM

    def __init__(self, *, owner: str, fold: ClaimsFold, max_lag: float) -> None:
        self.owner = owner
        self.fold = fold
        self.max_lag = max_lag
        self.caught_up_at: Callable[[], float] = lambda: float("-inf")

    def available(self, *, now: float) -> bool:
        """Tell whether the claims stream was read to its end lately."""
        return now - self.caught_up_at() <= self.max_lag

    def lookup(self, key: str) -> ClaimState | None:
        """Return the first claim of a key."""
        return self.fold.claims_by_key.get(key)


class Control(BaseComponent):
    """Own what is agreed and what is confirmed, as this entry host knows it."""

    channel = "control"

    def __init__(
        self,
        *,
        settings: Settings,
        configuration: ConfigurationFold,
        claims: Claims,
        confirmations: Confirmations,
        planner: Planner,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._configuration = configuration
        self._claims = claims
        self.confirmations = confirmations
        self._planner = planner
        self.placements_by_zone = {
            zone: PlacementFold() for zone in settings.availability_zones
        }
        self.streams_by_name = self._streams()
        self.hosts_by_name: dict[str, ListedHost] = {}
        self._listing_due_at = 0.0
        self._asking: dict[str, tuple[str, str]] = {}
        self._asked_at_by_host: dict[str, float] = {}
        claims.caught_up_at = lambda: self.streams_by_name[CLAIMS_STREAM].caught_up_at

    def _streams(self) -> dict[str, _Stream]:
        folds: dict[str, BaseFold] = {
            CONFIGURATION_STREAM: self._configuration,
            CLAIMS_STREAM: self._claims.fold,
        }
        for zone, placement in self.placements_by_zone.items():
            folds[placement_stream(zone)] = placement
        return {
            name: _Stream(name=name, fold=fold, writer=LogWriter())
            for name, fold in folds.items()
        }

    # What serving asks

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is in force and the hosts are known."""
        return self._configuration.version != NO_VERSION and bool(self.hosts_by_name)

    def targets(self, arrival: Arrival, now: float) -> list[Target]:
        """Return the targets that may serve an arrival now, own zone first."""
        if isinstance(arrival.work, ChatWork):
            return self._group_targets(arrival.work, now=now)
        return self._service_targets(arrival.work.service)

    def _group_targets(self, work: ChatWork, *, now: float) -> list[Target]:
        own_zone = self._settings.availability_zone
        zones = sorted(self.placements_by_zone, key=lambda zone: zone != own_zone)
        targets: list[Target] = []
        for zone in zones:
            for group in self.placements_by_zone[zone].groups_by_name.values():
                leader = self.hosts_by_name.get(group.members[0])
                if (
                    group.model == work.model
                    and leader is not None
                    and self.confirmations.is_whole(group, now=now)
                ):
                    targets.append(
                        Target(
                            name=group.name,
                            address=leader.address,
                            fencing=group.fencing,
                            hosts=group.members,
                        )
                    )
            if targets:
                return targets
        return targets

    def _service_targets(self, service: str) -> list[Target]:
        own_zone = self._settings.availability_zone
        listed = [
            host
            for host in self.hosts_by_name.values()
            if host.service == service and host.state == "live"
        ]
        listed.sort(key=lambda host: host.availability_zone != own_zone)
        return [
            Target(name=host.host, address=host.address, hosts=(host.host,))
            for host in listed
        ]

    # Time

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        for stream in self.streams_by_name.values():
            self._read(stream, now=now)
            self._append(stream, now=now)
        self._ask_list(now=now)
        self._ask_reports(now=now)
        self._plan(now=now)

    # The log

    def _read(self, stream: _Stream, *, now: float) -> None:
        if stream.reading or now < stream.read_again_at:
            return
        stream.reading = True
        # Only a reader that knows it has reached the end may wait there: a read of
        # an empty tail would delay that knowledge by the whole wait.
        lagging = now - stream.caught_up_at > 2 * READ_WAIT_MS / 1000
        path = read_path(
            stream.name,
            offset=stream.fold.next_offset,
            wait_ms=0 if lagging else READ_WAIT_MS,
            limit=READ_LIMIT,
        )
        self._send(
            kind="read",
            subject=stream.name,
            method="GET",
            address=self._settings.log_address,
            path=path,
            step="read_log",
            progress_timeout=READ_WAIT_MS / 1000 + self._settings.progress_timeout,
        )

    def _append(self, stream: _Stream, *, now: float) -> None:
        batch = stream.writer.due(now=now)
        if not batch:
            return
        items = [
            encode_record(pending.record, record_id=pending.record_id)
            for pending in batch
        ]
        self._send(
            kind="append",
            subject=stream.name,
            method="POST",
            address=self._settings.log_address,
            path=f"/v1/streams/{stream.name}/records",
            body=append_request(items),
            step="append_log",
            progress_timeout=self._settings.progress_timeout,
        )

    @handler("append_record")
    def _on_append_record(self, action: AppendRecord) -> None:
        now = time.monotonic()
        stream = self.streams_by_name[action.stream]
        stream.writer.add(
            action.record, record_id=action.record_id, deadline=now + APPEND_DEADLINE
        )
        self._append(stream, now=now)

    def _take_page(self, stream: _Stream, answer: OutboundAnswer) -> None:
        page = read_page(answer.body, peer=answer.address)
        if answer.status != 200 or page.is_error():
            self._read_failed(stream, f"answered {answer.status}")
            return
        for raw in page.ok.records:
            entry = decode_entry(raw, peer=answer.address)
            if entry.is_error():
                self._read_failed(stream, entry.error.message)
                return
            self._take_entry(stream, entry.ok)
        stream.reading = False
        if stream.fold.next_offset >= page.ok.next:
            stream.caught_up_at = answer.sent_at
        now = time.monotonic()
        self._read(stream, now=now)
        self._append(stream, now=now)

    def _take_entry(self, stream: _Stream, entry: Entry) -> None:
        stream.n_entries += 1
        repeated = stream.fold.offset_of(entry.id) is not None
        reason = stream.fold.apply(entry)
        stream.writer.read_back(entry.id)
        if reason is not None:
            log_event(
                "record_ignored",
                stream=stream.name,
                offset=entry.offset,
                kind=type(entry.record).__name__,
                reason=reason,
            )
        record = entry.record
        own = isinstance(record, Claim) and record.owner == self._claims.owner
        if own and not repeated:
            message = ClaimReadBack(
                claim_id=entry.id, claim=record, is_first=reason is None
            )
            self.fire(claim_read_back(message), "serving")

    def _read_failed(self, stream: _Stream, message: str) -> None:
        stream.reading = False
        stream.read_again_at = time.monotonic() + READ_RETRY
        log_warning("read_failed", stream=stream.name, message=message)

    # Hosts

    def _ask_list(self, *, now: float) -> None:
        if now < self._listing_due_at:
            return
        self._listing_due_at = now + LIST_INTERVAL
        self._send(
            kind="list",
            subject="",
            method="GET",
            address=self._settings.hosts_list_address,
            path="/v1/hosts",
            step="read_hosts_list",
            progress_timeout=self._settings.progress_timeout,
        )

    def _ask_reports(self, *, now: float) -> None:
        for name, listed in self.hosts_by_name.items():
            asked_at = self._asked_at_by_host.get(name, float("-inf"))
            if (
                listed.kind != "engine"
                or now - asked_at < self._settings.report_interval
            ):
                continue
            self._asked_at_by_host[name] = now
            self._send(
                kind="report",
                subject=name,
                method="GET",
                address=listed.address,
                path="/v1/report",
                step="read_report",
                progress_timeout=self._settings.progress_timeout,
            )

    def _take_list(self, answer: OutboundAnswer) -> None:
        hosts = read_hosts_list(answer.body, peer=answer.address)
        if answer.status != 200 or hosts.is_error():
            log_warning("hosts_list_failed", status=answer.status)
            return
        self.hosts_by_name = {listed.host: listed for listed in hosts.ok.hosts}

    def _take_report(self, answer: OutboundAnswer) -> None:
        report = read_report(answer.body, peer=answer.address)
        if answer.status == 200 and report.is_ok():
            self.confirmations.reported(report.ok, asked_at=answer.sent_at)

    # Planning

    def _plan(self, *, now: float) -> None:
        zone = self._settings.availability_zone
        view = PlannerView(
            configuration=self._configuration.configuration,
            configuration_version=self._configuration.version,
            placement=self.placements_by_zone[zone],
            hosts_by_name={
                name: listed
                for name, listed in self.hosts_by_name.items()
                if listed.kind == "engine" and listed.availability_zone == zone
            },
            confirmations=self.confirmations,
        )
        for action in self._planner.tick(view, now=now):
            if isinstance(action, SendOrder):
                self._send_order(action)
            else:
                self._on_append_record(action)

    def _send_order(self, action: SendOrder) -> None:
        order = Order(
            id=uuid.uuid4().hex,
            kind=action.kind,
            group=action.group,
            fencing=action.fencing,
            rank=action.rank,
            members=action.members,
            model=action.model,
            version=action.version,
            adapters=action.adapters,
        )
        log_event(
            "order_sent",
            host=action.host,
            peer=action.address,
            kind=action.kind,
            group=action.group,
            fencing=action.fencing,
        )
        self._send(
            kind="order",
            subject=action.host,
            method="POST",
            address=action.address,
            path="/v1/orders",
            body=encode(order),
            step="order",
            progress_timeout=self._settings.progress_timeout,
        )

    # Answers

    def _send(
        self,
        *,
        kind: str,
        subject: str,
        method: str,
        address: str,
        path: str,
        step: str,
        progress_timeout: float,
        body: bytes = b"",
    ) -> None:
        request = OutboundRequest(
            id=uuid.uuid4().hex,
            address=address,
            method=method,
            path=path,
            body=body,
            headers=(("Content-Type", "application/json"),) if body else (),
            reply_channel="control",
            step=step,
            progress_timeout=progress_timeout,
        )
        self._asking[request.id] = (kind, subject)
        self.fire(outbound_send(request), "http_client")

    @handler("outbound_answer")
    def _on_outbound_answer(self, answer: OutboundAnswer) -> None:
        kind, subject = self._asking.pop(answer.id)
        match kind:
            case "read":
                self._take_page(self.streams_by_name[subject], answer)
            case "append":
                self._append_answered(self.streams_by_name[subject], answer)
            case "list":
                self._take_list(answer)
            case "report" | "order":
                self._take_report(answer)

    def _append_answered(self, stream: _Stream, answer: OutboundAnswer) -> None:
        stream.writer.answered()
        if answer.status != 200:
            log_warning("append_failed", stream=stream.name, status=answer.status)
        self._append(stream, now=time.monotonic())

    @handler("outbound_failed")
    def _on_outbound_failed(self, failure: OutboundFailure) -> None:
        kind, subject = self._asking.pop(failure.id)
        match kind:
            case "read":
                self._read_failed(self.streams_by_name[subject], failure.error.message)
            case "append":
                self.streams_by_name[subject].writer.failed()
            case "report":
                if not failure.bytes_sent:
                    self.confirmations.unreachable(subject)
            case "list":
                log_warning("hosts_list_failed", message=failure.error.message)
