"""Serve the operators' pages: health, readiness, metrics and the state dump."""

from __future__ import annotations

import contextlib
import hmac
import signal
import time
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from .errors import Category, RyeleverError
from .events import CallerAnswer, control_tick, dump_requested
from .logs import log_event
from .protocol.json_codec import encode
from .protocol.openai import error_body, http_status
from .state.configuration_fold import NO_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.confirmation import LatestReport
    from .entry_host import EntryHost
    from .events import CallerRequest
    from .state.fleet import ListedHost

__all__ = ["Dump"]

#: Seconds between two checks of groups and leases for changes.
OBSERVE_INTERVAL = 1.0

#: Maximum number of ignored records shown for each stream, newest last.
N_SHOWN_IGNORED = 5


class Dump(BaseComponent):
    """Describe the state of the process without secrets.

    An operator gets the state at ``/dump``.  SIGUSR1 writes the state to the log, for
    a process whose callers' interface does not answer.
    """

    channel = "dump"

    def __init__(self, *, application: EntryHost) -> None:
        super().__init__()
        self._application = application
        self._states_by_subject: dict[tuple[str, ...], tuple[object, float]] = {}

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        self._application.timers.every(OBSERVE_INTERVAL, control_tick, self.channel)
        # Only the main thread may set signal handlers; others get a ValueError.
        with contextlib.suppress(ValueError):
            signal.signal(signal.SIGUSR1, self._on_signal_number)

    def _on_signal_number(self, signal_number: int, frame: object) -> None:
        self.fire(dump_requested(), self.channel)

    @handler("dump_requested")
    def _on_dump_requested(self) -> None:
        log_event("dump", state=self.describe())

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        self._record_changes(now=time.monotonic())

    def _record_changes(self, *, now: float) -> None:
        """Record the time at which the state of a group or a lease changes."""
        application = self._application
        observed: dict[tuple[str, ...], object] = {}
        for zone, placement in application.placements_by_zone.items():
            lease = placement.lease
            observed["lease", zone] = None if lease is None else lease.holder
            for group in placement.groups_by_name.values():
                is_complete = application.confirmations.is_complete(group, now=now)
                observed["group", group.name] = (is_complete, group.dissolved)
        known = self._states_by_subject
        self._states_by_subject = {
            subject: known[subject]
            if subject in known and known[subject][0] == state
            else (state, now)
            for subject, state in observed.items()
        }

    def _unchanged_for(self, *subject: str, now: float) -> float:
        return round(now - self._states_by_subject[subject][1], 3)

    def pages(self) -> dict[str, Callable[[CallerRequest], CallerAnswer]]:
        """Return the functions that answer each path."""
        return {
            "/healthz": self._health,
            "/readyz": self._readiness,
            "/metrics": self._metrics,
            "/dump": self._dump,
        }

    def _health(self, request: CallerRequest) -> CallerAnswer:
        return _json(request, 200, {"status": "alive"})

    def _readiness(self, request: CallerRequest) -> CallerAnswer:
        application = self._application
        if application.serving.draining:
            return _json(request, 503, {"status": "draining"})
        if application.configuration.version == NO_VERSION:
            return _json(request, 503, {"status": "no configuration yet"})
        if not application.ready:
            return _json(request, 503, {"status": "fleet not known yet"})
        return _json(request, 200, {"status": "ready"})

    def _metrics(self, request: CallerRequest) -> CallerAnswer:
        return CallerAnswer(
            request_id=request.request_id,
            status=200,
            body=self._application.metrics.render_recent(),
            content_type="text/plain; version=0.0.4; charset=utf-8",
        )

    def _dump(self, request: CallerRequest) -> CallerAnswer:
        key = self._application.settings.operator_key
        sent_key = request.headers.get("authorization", "").removeprefix("Bearer ")
        if not key or not hmac.compare_digest(key.encode(), sent_key.encode()):
            error = RyeleverError(
                "send the operator key: Authorization: Bearer KEY",
                category=Category.UNAUTHORIZED,
                step="dump",
            )
            return CallerAnswer(
                request_id=request.request_id,
                status=http_status(error),
                body=error_body(error),
            )
        return _json(request, 200, self.describe())

    def describe(self) -> dict[str, Any]:
        """Return the complete state of the process."""
        application = self._application
        now = time.monotonic()
        self._record_changes(now=now)
        return {
            "settings": application.settings.public(),
            "boot": application.boot,
            "draining": application.serving.draining,
            "configuration": {
                "version": application.configuration.version,
                "author": application.configuration.author,
            },
            "streams": self._streams(now=now),
            "groups": self._groups(now=now),
            "leases": self._leases(now=now),
            "repairs": [asdict(line) for line in application.planning.repairs.lines],
            "suspects": application.request_path.quarantine.describe(now=now),
            "hosts": self._hosts(now=now),
            "requests": self._requests(now=now),
            "connections": {
                "callers": application.callers.describe(),
                "outgoing": application.http_client.describe(),
            },
            "peers": application.peering.describe(),
        }

    def _streams(self, *, now: float) -> dict[str, Any]:
        return {
            name: {
                "next_offset": stream.fold.next_offset,
                "caught_up_for": _age(stream.caught_up_at, now=now),
                "pending_appends": len(stream.writer.pending_by_id),
                "complete": stream.fold.complete,
                "problem": stream.reader.problem,
                "n_restored": stream.reader.n_restored,
                "n_unreadable": stream.fold.n_unreadable,
                "snapshot_offset": stream.fold.snapshot_offset,
                "n_appends": stream.writer.n_appends,
                "n_appended_records": stream.writer.n_records,
                "n_late_records": stream.writer.n_late,
                "ignored": [
                    {"offset": ignored.offset, "reason": ignored.reason}
                    for ignored in stream.fold.ignored[-N_SHOWN_IGNORED:]
                ],
            }
            for name, stream in self._application.streams.streams_by_name.items()
        }

    def _groups(self, *, now: float) -> list[dict[str, Any]]:
        application = self._application
        return [
            {
                "group": group.name,
                "availability_zone": zone,
                "model": group.model,
                "fencing": group.fencing,
                "members": group.members,
                "whole": application.confirmations.is_complete(group, now=now),
                "dissolved": group.dissolved,
                "for": self._unchanged_for("group", group.name, now=now),
                "reason": group.dissolved_reason or group.reason,
            }
            for zone, placement in application.placements_by_zone.items()
            for group in placement.groups_by_name.values()
        ]

    def _leases(self, *, now: float) -> dict[str, Any]:
        placements = self._application.placements_by_zone
        return {
            zone: {
                "holder": placement.lease.holder,
                "offset": placement.lease.offset,
                "term": placement.lease.term,
                "for": self._unchanged_for("lease", zone, now=now),
            }
            for zone, placement in placements.items()
            if placement.lease is not None
        }

    def _hosts(self, *, now: float) -> dict[str, Any]:
        application = self._application
        described = {}
        for name, listed in application.fleet.hosts_by_name.items():
            latest = application.confirmations.reports_by_host.get(name)
            described[name] = {
                "address": listed.address,
                "listed": listed.state,
                "reported": latest.report.state if latest else None,
                "group": latest.report.group if latest else None,
                "leaving": _is_leaving(listed, latest)
                or application.request_path.departures.is_leaving(name, now=now),
                "report_age": _age(latest.requested_at, now=now) if latest else None,
            }
        return described

    def _requests(self, *, now: float) -> list[dict[str, Any]]:
        return [
            {
                "request": request.arrival.request_id,
                "client_account": request.arrival.client_account,
                "state": request.state.value,
                "for": _age(request.since, now=now),
                "attempt": request.attempt_id,
                "held": list(request.held_by_id),
                "target": request.target.name if request.target else None,
                "tried": request.tried,
                "n_delivered": len(request.delivered),
            }
            for request in self._application.table.requests_by_id.values()
        ]


def _is_leaving(listed: ListedHost, latest: LatestReport | None) -> bool:
    reported = latest.report.state if latest is not None else ""
    return "leaving" in (listed.state, reported)


def _age(at: float, *, now: float) -> float | None:
    return None if at == float("-inf") else round(now - at, 3)


def _json(request: CallerRequest, status: int, value: dict[str, Any]) -> CallerAnswer:
    return CallerAnswer(
        request_id=request.request_id, status=status, body=encode(value)
    )
