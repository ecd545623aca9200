"""Answer the requests of the operators' console.

Every change takes the same steps: edit a draft, review the differences, publish, and
read the publication back from the log.  Only reading it back shows the outcome.
"""

from __future__ import annotations

import re
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, quote

from circuits import BaseComponent, handler

from ..coordination.actions import AppendRecord
from ..errors import Category
from ..events import append_record, caller_answer
from ..logs import log_event
from ..protocol.configuration_document import check_document
from ..protocol.log import CONFIGURATION_STREAM
from ..state.records import Publication
from .access import Access
from .answers import redirect, style_sheet
from .draft_pages import DraftPages, has_draft, parse_draft, parse_version
from .forms import read_form
from .publications import OutcomeKind, outcome_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..events import CallerAnswer, CallerRequest
    from ..state.configuration_fold import ConfigurationFold
    from .sessions import Session
    from .status import Status

__all__ = ["Console"]

#: Seconds for which the answer to a publication waits until it is read back.
READ_BACK_TIMEOUT = 3.0

#: Number of recently ignored publications that are shown below the document.
MAX_SHOWN_IGNORED = 10

#: Record id in the form of ``uuid.uuid4().hex``.
_RECORD_ID = re.compile(r"[0-9a-f]{32}")

Fields = dict[str, str]


@dataclass(slots=True, kw_only=True)
class _PendingPublication:
    """A publication that is answered once it is read back from the log."""

    request: CallerRequest
    session: Session
    fields: Fields
    deadline: float


class Console(BaseComponent):
    """Serve the console of one entry host.

    Parameters
    ----------
    configuration : ConfigurationFold
        Fold with the configuration in force.
    status : Status
        Source of the contents of the status page.
    versions_by_host : callable
        Return the version in force at each known entry host.
    log_age : callable
        Return the seconds since the end of the log was last read; None if never.
    wall_clock, clock : callable
        Return seconds since the epoch, used for sessions, and monotonic seconds, used
        for everything else.
    """

    channel = "console"

    def __init__(
        self,
        *,
        operator_key: str,
        configuration: ConfigurationFold,
        status: Status,
        versions_by_host: Callable[[], dict[str, int]],
        log_age: Callable[[], float | None],
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._access = Access(
            operator_key=operator_key, wall_clock=wall_clock, clock=clock
        )
        self._draft_pages = DraftPages(access=self._access, configuration=configuration)
        self._configuration = configuration
        self._status = status
        self._versions_by_host = versions_by_host
        self._log_age = log_age
        self._clock = clock
        self._pending: list[_PendingPublication] = []

    def pages(self) -> dict[str, Callable[[CallerRequest], CallerAnswer | None]]:
        """Return the request handlers by path.

        A handler returns None when its answer is sent later, by an event.
        """
        with_session, with_form, draft_pages = (
            self._with_session,
            self._with_form,
            self._draft_pages,
        )
        return {
            "/console": with_session(self._home),
            "/console/": with_session(self._home),
            "/console/console.css": style_sheet,
            "/console/sign-in": self._sign_in,
            "/console/sign-out": with_form(self._sign_out),
            "/console/document": with_session(self._show_document),
            "/console/status": with_session(self._show_status),
            "/console/outcome": with_session(self._show_outcome),
            "/console/edit": self._edit,
            "/console/review": with_form(draft_pages.review),
            "/console/publish": with_form(self._publish),
        }

    @property
    def n_waiting(self) -> int:
        """Return the number of publications that wait to be read back and answered."""
        return len(self._pending)

    # Checks of the session and the form

    def _with_session(
        self, handle: Callable[[CallerRequest, Session], CallerAnswer]
    ) -> Callable[[CallerRequest], CallerAnswer]:
        """Return a handler that redirects to the sign-in form if no session exists."""

        def answer(request: CallerRequest) -> CallerAnswer:
            session = self._access.session_of(request)
            if session is None:
                return redirect(request, "/console/sign-in")
            return handle(request, session)

        return answer

    def _with_form(
        self, handle: Callable[[CallerRequest, Session, Fields], CallerAnswer | None]
    ) -> Callable[[CallerRequest], CallerAnswer | None]:
        """Return a handler that checks the session and the form token of a POST."""

        def answer(request: CallerRequest) -> CallerAnswer | None:
            if request.method != "POST":
                return redirect(request, "/console")
            session = self._access.session_of(request)
            form = read_form(request.body)
            if form.is_error():
                too_large = form.error.category is Category.TOO_LARGE
                status = 413 if too_large else 400
                message = form.error.message
                return self._access.refusal_page(
                    request, session, message, status=status
                )
            if session is None:
                return self._access.sign_in_again(request, form.ok)
            if not self._access.is_form_of_session(form.ok, session):
                return self._refuse_forged(request, session, form.ok)
            return handle(request, session, form.ok)

        return answer

    def _refuse_forged(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        message = (
            "This form does not belong to your current session, so nothing was done. "
            "Check its contents before you continue."
        )
        if not has_draft(fields):
            return self._access.refusal_page(request, session, message, status=403)
        return self._draft_pages.edit_page(
            request, session, parse_draft(fields), status=403, message=message
        )

    # Signing in and out

    def _home(self, request: CallerRequest, session: Session) -> CallerAnswer:
        return redirect(request, "/console/document")

    def _sign_in(self, request: CallerRequest) -> CallerAnswer:
        return self._access.sign_in(request, self._after_sign_in)

    def _after_sign_in(
        self,
        request: CallerRequest,
        session: Session,
        carried: Fields,
        headers: dict[str, str],
    ) -> CallerAnswer:
        if not has_draft(carried):
            return redirect(request, "/console/document", headers=headers)
        return self._draft_pages.edit_page(
            request,
            session,
            parse_draft(carried),
            base_version=carried["base_version"],
            message="You are signed in again. This is your draft.",
            headers=headers,
        )

    def _sign_out(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        return self._access.sign_out(request)

    # Read-only pages

    def _show_document(self, request: CallerRequest, session: Session) -> CallerAnswer:
        return self._draft_pages.signed_in_page(
            request,
            "document.html",
            session,
            configuration=self._configuration.configuration,
            ignored=list(reversed(self._configuration.ignored[-MAX_SHOWN_IGNORED:])),
            versions_by_host=self._versions_by_host(),
            log_age=self._log_age(),
        )

    def _show_status(self, request: CallerRequest, session: Session) -> CallerAnswer:
        view = self._status.view(now=self._clock())
        return self._draft_pages.signed_in_page(
            request, "status.html", session, view=view
        )

    def _show_outcome(self, request: CallerRequest, session: Session) -> CallerAnswer:
        record_id = parse_qs(request.query).get("id", [""])[0]
        return self._outcome_page(request, session, {"record_id": record_id})

    def _edit(self, request: CallerRequest) -> CallerAnswer | None:
        if request.method == "POST":
            return self._with_form(self._draft_pages.continue_editing)(request)
        return self._with_session(self._draft_pages.edit_current)(request)

    # Publishing

    def _publish(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer | None:
        checked = check_document(fields.get("document", "").encode())
        record_id = fields.get("record_id", "")
        if checked.is_error() or not _is_record_id(record_id):
            return self._draft_pages.refuse_damaged(request, session)
        record = Publication(
            base_version=parse_version(fields.get("base_version", "")),
            author=session.operator,
            document=checked.ok,
        )
        log_event("publishing", operator=session.operator, record=record_id)
        action = AppendRecord(
            stream=CONFIGURATION_STREAM, record_id=record_id, record=record
        )
        self.fire(append_record(action), "streams")
        self._pending.append(
            _PendingPublication(
                request=request,
                session=session,
                fields=fields,
                deadline=self._clock() + READ_BACK_TIMEOUT,
            )
        )
        return None

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        if not self._pending:
            return
        now = self._clock()
        waiting, self._pending = self._pending, []
        for each in waiting:
            outcome = outcome_of(each.fields["record_id"], self._configuration)
            if outcome.kind is OutcomeKind.NOT_READ_BACK and now < each.deadline:
                self._pending.append(each)
                continue
            answer = self._publication_answer(each, outcome.kind)
            self.fire(caller_answer(answer), "callers")

    def _publication_answer(
        self, waiting: _PendingPublication, kind: OutcomeKind
    ) -> CallerAnswer:
        if kind in (OutcomeKind.IN_FORCE, OutcomeKind.REPLACED):
            record_id = quote(waiting.fields["record_id"])
            return redirect(waiting.request, f"/console/outcome?id={record_id}")
        # The page includes the draft of a publication that lost a race or is not read
        # back yet.  The operator can edit the draft, or publish it again under the same
        # id, instead of losing it.
        return self._outcome_page(waiting.request, waiting.session, waiting.fields)

    def _outcome_page(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        record_id = fields["record_id"]
        outcome = outcome_of(record_id, self._configuration)
        return self._draft_pages.signed_in_page(
            request,
            "outcome.html",
            session,
            status=409 if outcome.kind is OutcomeKind.REJECTED else 200,
            outcome=outcome,
            kind=outcome.kind.name,
            record_id=record_id,
            document=fields.get("document", ""),
            base_version=fields.get("base_version", ""),
            versions_by_host=self._versions_by_host(),
            log_age=self._log_age(),
        )


def _is_record_id(text: str) -> bool:
    return _RECORD_ID.fullmatch(text) is not None
