"""Run the group planners of availability zones and carry out their decisions."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent, handler

from .clocks import boot_time
from .coordination.groups import (
    AppendGroups,
    OrderKind,
    OrderOutcome,
    OrderQueue,
    ZonePlanner,
)
from .coordination.host_heartbeats import TAKEOVER_CHECK_TIME
from .coordination.pauses import PauseWatch
from .coordination.topic import TopicFollower
from .errors import Category
from .events import (
    OutboundAnswer,
    OutboundFailure,
    OutboundRequest,
    outbound_send,
    server_reported,
)
from .logs import log_event
from .protocol.forwarding import ForwardingError
from .protocol.keyed_log import Appended
from .transport.http_client import REFUSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.groups import GroupOrder
    from .coordination.host_heartbeats import HostAddress
    from .coordination.relaying import Forwarders, ServerPaths
    from .coordination.topic import TopicUpdates
    from .protocol.keyed_log import KeyedLogInterface
    from .protocol.store_documents import GroupInterface, StoreDocuments
    from .relay_settings import RelaySettings
    from .state.directory import Directory
    from .store_client import StoreAnswer, StoreClient

__all__ = ["GroupPlanning"]

#: Seconds to wait for a backend server's answer to an order, which takes milliseconds,
#: and to wait for the connection to the server.
ORDER_TIMEOUT = 0.8
ORDER_CONNECT_TIMEOUT = 0.4

#: Seconds to wait for the answer to a probe, which needs no slot at the backend server.
PROBE_TIMEOUT = 0.4

#: Seconds without an answer of any backend server after which this host takes the
#: silence of a member for a fault of its own network paths.
MAX_SILENCE = 1.0

#: Seconds between two control ticks beyond which another host may have taken planning
#: over.  Hosts count this one as gone 0.9 s after its last heartbeat, and a new planner
#: decides 0.7 s later unless it hears from this one, which takes up to 0.5 s.
MAX_TICK_GAP = 0.7

#: Errors with which a forwarding host reports that it got no answer from a server.
SILENCE = frozenset(error.value for error in ForwardingError if error.is_timeout)


class _SentOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order in flight, and the planner that decided on it."""

    zone: str
    planner: ZonePlanner | None
    order: GroupOrder


class GroupPlanning(BaseComponent):
    """Run the planners of the zones that this host plans for.

    A planner's group records are appended to the store, and its orders are sent to
    backend servers.

    After a pause of this host its planners decide nothing until heartbeats have shown
    whether another host plans instead.  A planner that goes on is replaced by a new one
    once the log has been listed again; only while the store is unreachable does it
    continue with what it knew before the pause.

    Parameters
    ----------
    plans_for : callable
        Return whether this host should plan for a zone, given the zone and whether
        the host plans for it now.
    still : callable
        Return the heads whose groups are stalled according to any host.
    new_planner : callable
        Return a new planner for a zone.
    paths : ServerPaths
        Tells which servers get orders by way of other hosts.
    """

    channel = "groups"

    def __init__(
        self,
        *,
        settings: RelaySettings,
        log: KeyedLogInterface,
        documents: StoreDocuments,
        groups: GroupInterface,
        store: StoreClient,
        plans_for: Callable[[str, bool], bool],
        still: Callable[[], set[str]],
        new_planner: Callable[[str], ZonePlanner],
        directory: Directory,
        paths: ServerPaths,
        forwarders: Forwarders,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._log = log
        self._documents = documents
        self._groups = groups
        self._store = store
        self._plans_for = plans_for
        self._new_planner = new_planner
        self._get_stalled_heads = still
        self._directory = directory
        self._paths = paths
        self._forwarders = forwarders
        self._forwarder_by_order: dict[str, str] = {}
        self._unanswered_ids: set[str] = set()
        self._ids = itertools.count(1)
        self._orders_by_id: dict[str, _SentOrder] = {}
        self._orders = OrderQueue()
        self._followers_by_zone: dict[str, TopicFollower] = {}
        self._pauses = PauseWatch(max_gap=MAX_TICK_GAP)
        self._outdated_zones: set[str] = set()
        self.planners_by_zone: dict[str, ZonePlanner] = {}

    def n_groups_by_phase(self) -> Counter[str]:
        """Count the groups of the zones that this host plans for, by phase."""
        return Counter(
            phase.value
            for planner in self.planners_by_zone.values()
            for phase in planner.manager.phases().values()
        )

    def stranded_seconds(self) -> dict[str, float]:
        """Return the server-seconds of usable servers in no serving group, by zone."""
        return {
            zone: planner.times.stranded
            for zone, planner in self.planners_by_zone.items()
        }

    def down_seconds(self) -> Counter[str]:
        """Return the group-seconds in which groups weren't serving, by phase."""
        total: Counter[str] = Counter()
        for planner in self.planners_by_zone.values():
            total.update(planner.times.down)
        return total

    def reshaped_zones(self) -> tuple[str, ...]:
        """Return the zones in which this host disbands groups or is about to."""
        return tuple(
            zone for zone, planner in self.planners_by_zone.items() if planner.reshapes
        )

    def announced_zones(self) -> tuple[str, ...]:
        """Return the zones for which this host claims to plan.

        After a pause it claims none, so that no host that plans instead yields to it.
        """
        now = time.monotonic()
        self._notice_pause(now=now)
        return () if self._is_in_doubt(now=now) else tuple(self.planners_by_zone)

    @property
    def resumed_at(self) -> float:
        """Return the monotonic time of the end of this host's last pause."""
        return self._pauses.resumed_at

    @handler("store_returned")
    def _on_store_returned(self) -> None:
        for follower in self._followers_by_zone.values():
            follower.restart_listing()

    @handler("control_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._notice_pause(now=now)
        for zone in self._settings.zones:
            self._update_planner(zone)
        still = self._get_stalled_heads() if self.planners_by_zone else set()
        for zone, planner in self.planners_by_zone.items():
            planner.manager.set_stalled_heads(still)
            if not self._may_decide(zone, now=now):
                continue
            orders, append = planner.run_planning_pass(now=now)
            for order in orders:
                self._orders.add(zone, order)
            if append is not None:
                self._append(zone, planner, append)
        self._send_due_orders()

    # Pauses of this host

    def _notice_pause(self, *, now: float) -> None:
        """Drop what was decided before a pause of this host, if it has just ended."""
        if not self._pauses.observe(now=now, boot_time=boot_time()):
            return
        self._orders.clear()
        for zone in self.planners_by_zone:
            log_event("planner_resumed", zone=zone)
            self._outdated_zones.add(zone)
            self._store.unfollow(self._followers_by_zone[zone])
            self._follow(zone)

    def _is_in_doubt(self, *, now: float) -> bool:
        """Return whether another host may plan that this host hasn't heard yet."""
        return now - self.resumed_at < TAKEOVER_CHECK_TIME

    def _may_decide(self, zone: str, *, now: float) -> bool:
        if self._is_in_doubt(now=now):
            return False
        return zone not in self._outdated_zones or not self._store.is_reachable

    def _update_planner(self, zone: str) -> None:
        planning = zone in self.planners_by_zone
        should_plan = self._plans_for(zone, planning)
        if should_plan == planning:
            return
        log_event("planner_began" if should_plan else "planner_ended", zone=zone)
        if not should_plan:
            del self.planners_by_zone[zone]
            self._outdated_zones.discard(zone)
            self._store.unfollow(self._followers_by_zone.pop(zone))
            return
        self.planners_by_zone[zone] = self._new_planner(zone)
        self._follow(zone)

    def _follow(self, zone: str) -> None:
        """List and then follow the records of a zone's groups."""
        follower = TopicFollower(
            log=self._log,
            topic=self._documents.groups_topic,
            partition=self._partition(zone),
        )
        self._followers_by_zone[zone] = follower
        self._store.follow(
            follower, lambda updates: self._apply_updates(zone, follower, updates)
        )

    def _partition(self, zone: str) -> int:
        return self._settings.zones.index(zone) % self._settings.store_partitions

    # Records

    def _apply_updates(
        self, zone: str, follower: TopicFollower, updates: TopicUpdates
    ) -> None:
        now = time.monotonic()
        self._notice_pause(now=now)
        if follower is not self._followers_by_zone.get(zone):
            return
        if updates.complete and zone in self._outdated_zones:
            self._outdated_zones.remove(zone)
            self.planners_by_zone[zone] = self._new_planner(zone)
        planner = self.planners_by_zone[zone]
        read = [
            (record, self._documents.group(record.key, record.value))
            for record in updates.records
        ]
        if updates.complete:
            groups = [group for _, group in read if group is not None]
            planner.apply_full_list(
                groups, end=follower.offset, era=follower.era, now=now
            )
            return
        for record, group in read:
            if group is None:
                planner.apply_removal(record.key, end=record.offset + 1)
            else:
                planner.apply_record(group, end=record.offset + 1, now=now)

    def _append(self, zone: str, planner: ZonePlanner, append: AppendGroups) -> None:
        records = [
            (group.name, self._documents.group_record(group))
            for group in (*append.formed, *append.restored)
        ]
        records += [(name, b"") for name in append.dropped]
        call = self._log.append(
            self._documents.groups_topic,
            records,
            partition=self._partition(zone),
            at=append.at,
        )
        for group in append.formed:
            log_event(
                "group_decided",
                group=group.name,
                epoch=group.epoch,
                model=group.model,
                members=group.member_ids,
            )
        self._store.call(
            call, lambda answer: self._on_append_answer(zone, planner, append, answer)
        )

    def _on_append_answer(
        self,
        zone: str,
        planner: ZonePlanner,
        append: AppendGroups,
        store_answer: StoreAnswer,
    ) -> None:
        if planner is not self.planners_by_zone.get(zone):
            # A later planner learns from the log whether the append was carried out.
            return
        outcome = self._log.appended(store_answer.status, store_answer.body)
        if outcome.is_error():
            planner.fail_append(end=None)
            status = store_answer.status
            log_event("append_unanswered", zone=zone, at=append.at, status=status)
            return
        answer = outcome.ok
        if isinstance(answer, Appended):
            era = append.era if store_answer.era is None else store_answer.era
            planner.confirm_append(
                append, end=answer.end, era=era, now=time.monotonic()
            )
        else:
            planner.fail_append(end=answer.end)
            log_event("append_refused", zone=zone, at=append.at, end=answer.end)

    # Orders

    def _send_due_orders(self) -> None:
        now = time.monotonic()
        for zone, order in self._orders.take_due(is_wanted=self._is_wanted):
            self._send_order(zone, order, forwarder=self._forwarder(order, now=now))

    def _is_wanted(self, zone: str, order: GroupOrder) -> bool:
        """Return whether a queued order is still needed.

        An order to join a group that has ended in the meantime would make the server
        unavailable for other groups.
        """
        planner = self.planners_by_zone.get(zone)
        return planner is not None and planner.manager.wants(order)

    def _forwarder(self, order: GroupOrder, *, now: float) -> HostAddress | None:
        """Return the host by way of which an order is sent; None to send it directly.

        A server that left the last order without an answer may have ended, or be out
        of this host's reach only.
        """
        if order.server_id not in self._directory.by_id:
            self._unanswered_ids.discard(order.server_id)
            return None
        if self._paths.is_out_of_reach(order.server_id):
            return self._forwarders.choose(now=now)
        if order.server_id in self._unanswered_ids:
            return self._witness(now=now)
        return None

    def _witness(self, *, now: float) -> HostAddress | None:
        """Return another host, of another zone if possible."""
        witnesses = self._forwarders.witnesses(now=now)
        return witnesses[-1] if witnesses else None

    def _send_order(
        self, zone: str, order: GroupOrder, *, forwarder: HostAddress | None
    ) -> None:
        order_id = f"order-{next(self._ids)}"
        self._orders_by_id[order_id] = _SentOrder(
            zone=zone, planner=self.planners_by_zone.get(zone), order=order
        )
        call = self._groups.order(order)
        is_probe = order.kind is OrderKind.PROBE
        timeout = PROBE_TIMEOUT if is_probe else ORDER_TIMEOUT
        request = OutboundRequest(
            id=order_id,
            address=order.address,
            method=call.method,
            path=call.path,
            headers=self._groups.order_headers(order),
            body=call.body,
            reply_channel=self.channel,
            step="order",
            # A kept connection doesn't show that the server's machine still answers.
            new_connection=is_probe,
            connect_timeout=ORDER_CONNECT_TIMEOUT,
            progress_timeout=timeout,
            time_limit=ORDER_CONNECT_TIMEOUT + timeout,
        )
        if forwarder is not None:
            self._forwarder_by_order[order_id] = forwarder.host
            request = request.via(forwarder.address, server_id=order.server_id)
        self.fire(outbound_send(request), "http_client")

    @handler("outbound_answer")
    def _on_answer(self, answer: OutboundAnswer) -> None:
        self._notice_pause(now=time.monotonic())
        order = self._orders_by_id[answer.id].order
        self._forwarder_by_order.pop(answer.id, None)
        self._unanswered_ids.discard(order.server_id)
        self._paths.heard(order.server_id, now=time.monotonic())
        if order.kind is OrderKind.PROBE and answer.status == 200:
            self.fire(server_reported(order.server_id, answer.body), "directory")
        outcome = self._groups.outcome(order, answer.status, answer.body)
        self._record_outcome(answer.id, outcome)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        now = time.monotonic()
        self._notice_pause(now=now)
        sent = self._orders_by_id[failure.id]
        zone, order = sent.zone, sent.order
        forwarder = self._forwarder_by_order.pop(failure.id, None)
        refused = failure.error.code == REFUSED
        if forwarder is not None:
            # The next order to the server is sent directly, unless its path is lost.
            self._unanswered_ids.discard(order.server_id)
            if failure.forwarder_failed:
                self._forwarders.failed(forwarder, now=now)
            is_evidence = failure.error.code in SILENCE
        else:
            self._unanswered_ids.add(order.server_id)
            self._paths.unreached(order.server_id, now=now)
            witness = self._forwarder(order, now=now) if refused else None
            if witness is not None and self._is_from_current_planner(sent, now=now):
                # Only this host may be refused, so another one must confirm that the
                # server's process is gone.
                del self._orders_by_id[failure.id]
                self._send_order(zone, order, forwarder=witness)
                return
            is_evidence = now - self._paths.heard_at <= MAX_SILENCE
        outcome = OrderOutcome.UNKNOWN
        if refused:
            outcome, is_evidence = OrderOutcome.WRONG_INSTANCE, True
        elif _is_pause(order, failure):
            outcome = OrderOutcome.SILENT
        self._record_outcome(failure.id, outcome, is_evidence=is_evidence)

    def _is_from_current_planner(self, sent: _SentOrder, *, now: float) -> bool:
        is_current = sent.planner is self.planners_by_zone.get(sent.zone)
        return is_current and not self._is_in_doubt(now=now)

    def _record_outcome(
        self, order_id: str, outcome: OrderOutcome, *, is_evidence: bool = True
    ) -> None:
        """Record the outcome of an order.

        Parameters
        ----------
        is_evidence : bool
            False if the missing answer to a probe says nothing about the server.
        """
        sent = self._orders_by_id.pop(order_id)
        order = sent.order
        self._orders.record_end()
        log_event(
            "order_answered",
            order=order.kind.value,
            server=order.server_id,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            outcome=outcome.value,
        )
        # What a server did before a pause of this host tells a later planner nothing.
        is_current = sent.planner is self.planners_by_zone.get(sent.zone)
        counts = is_evidence or order.kind is not OrderKind.PROBE
        if sent.planner is not None and is_current and order.group and counts:
            sent.planner.manager.record_outcome(order, outcome, now=time.monotonic())
        self._send_due_orders()


def _is_pause(order: GroupOrder, failure: OutboundFailure) -> bool:
    """Return whether a server that left a probe unanswered may only be paused.

    The machine of a paused process accepts connections; one that is lost does not.
    """
    return (
        order.kind is OrderKind.PROBE
        and failure.error.category is Category.TIMEOUT
        and failure.bytes_sent
    )
