"""Watch the hosts: the platform's list and each host's own report."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from circuits import handler

from .asking import Asker, Question
from .logs import log_warning
from .protocol.outside import HTTP_ENGINE, HTTP_HOSTS_LIST

if TYPE_CHECKING:
    from .coordination.confirmation import Confirmations
    from .events import HostReported, OutboundAnswer, OutboundFailure
    from .protocol.outside import EngineInterface, HostsListInterface
    from .settings import Settings
    from .state.fleet import ListedHost

__all__ = ["FleetWatch"]

#: Seconds between two looks at the platform's list.
LIST_INTERVAL = 1.0


class FleetWatch(Asker):
    """Own what the hosts say, and since when.

    Attributes
    ----------
    hosts_by_name : dict of str to ListedHost
        What the platform's list names.  Changed in place: others read it.
    """

    channel = "fleet"

    def __init__(
        self,
        *,
        settings: Settings,
        confirmations: Confirmations,
        hosts_list: HostsListInterface = HTTP_HOSTS_LIST,
        engine: EngineInterface = HTTP_ENGINE,
    ) -> None:
        super().__init__()
        self._hosts_list = hosts_list
        self._engine = engine
        self._settings = settings
        self.confirmations = confirmations
        self.hosts_by_name: dict[str, ListedHost] = {}
        self._list_due_at = 0.0
        self._asked_at_by_host: dict[str, float] = {}

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        self._ask_list(now=now)
        self._ask_reports(now=now)

    @handler("host_reported")
    def _on_host_reported(self, message: HostReported) -> None:
        self.confirmations.reported(message.report, asked_at=message.asked_at)

    def _ask_list(self, *, now: float) -> None:
        if now < self._list_due_at:
            return
        self._list_due_at = now + LIST_INTERVAL
        self.ask(
            Question(kind="list"),
            address=self._settings.hosts_list_address,
            path=self._hosts_list.list().path,
            step="read_hosts_list",
            progress_timeout=self._settings.progress_timeout,
        )

    def _ask_reports(self, *, now: float) -> None:
        for name, listed in self.hosts_by_name.items():
            asked_at = self._asked_at_by_host.get(name, float("-inf"))
            due = now - asked_at >= self._settings.report_interval
            if listed.kind != "engine" or not due:
                continue
            self._asked_at_by_host[name] = now
            self.ask(
                Question(kind="report", subject=name),
                address=listed.address,
                path=self._engine.report().path,
                step="read_report",
                progress_timeout=self._settings.progress_timeout,
            )

    def _take_list(self, answer: OutboundAnswer) -> None:
        hosts = self._hosts_list.hosts(answer.body, peer=answer.address)
        if answer.status != 200 or hosts.is_error():
            log_warning("hosts_list_failed", status=answer.status)
            return
        self.hosts_by_name.clear()
        self.hosts_by_name.update((listed.host, listed) for listed in hosts.ok.hosts)

    def answered(self, question: Question, answer: OutboundAnswer) -> None:
        """Take the list or a report."""
        if question.kind == "list":
            self._take_list(answer)
            return
        report = self._engine.host_report(answer.body, peer=answer.address)
        if answer.status == 200 and report.is_ok():
            self.confirmations.reported(report.ok, asked_at=answer.sent_at)

    def failed(self, question: Question, failure: OutboundFailure) -> None:
        """Keep the last list; a host that refuses connections counts as gone."""
        if question.kind == "list":
            log_warning("hosts_list_failed", message=failure.error.message)
        elif not failure.bytes_sent:
            self.confirmations.unreachable(question.subject)
