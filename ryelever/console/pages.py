"""Answer the operators' forms.

Every change goes the same way: edit, review the difference, publish, read back what
became of it.  Only reading back tells the outcome.
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
from .drafting import Drafting, draft_of, holds_draft, whole_number
from .forms import read_form
from .publications import OutcomeKind, outcome_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..events import CallerAnswer, CallerRequest
    from ..state.configuration_fold import ConfigurationFold
    from .sessions import Session
    from .status import Status

__all__ = ["Console"]

#: Seconds for which the answer to a publication waits for the log.
PUBLISH_WAIT = 3.0

#: Publications that were ignored lately and are shown beside the document.
N_SHOWN_IGNORED = 10

#: A record id as ``uuid.uuid4().hex`` makes it.
_RECORD_ID = re.compile(r"[0-9a-f]{32}")

Fields = dict[str, str]


@dataclass(slots=True, kw_only=True)
class _Waiting:
    """Hold a publication whose answer waits until it is read back."""

    request: CallerRequest
    session: Session
    fields: Fields
    deadline: float


class Console(BaseComponent):
    """Own the console of one entry host.

    Parameters
    ----------
    configuration : ConfigurationFold
        What is in force.
    status : Status
        What the status page shows.
    versions_by_host : callable
        Return the version in force at each entry host that is known of.
    log_age : callable
        Return the seconds since the end of the log was last read; None if never.
    wall_clock, clock : callable
        Seconds since the epoch, for sessions; monotonic seconds, for all else.
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
        self._drafting = Drafting(access=self._access, configuration=configuration)
        self._configuration = configuration
        self._status = status
        self._versions_by_host = versions_by_host
        self._log_age = log_age
        self._clock = clock
        self._waiting: list[_Waiting] = []

    def pages(self) -> dict[str, Callable[[CallerRequest], CallerAnswer | None]]:
        """Return the pages by path; None means that the answer comes later."""
        reading, posting, drafting = self._reading, self._posting, self._drafting
        return {
            "/console": reading(self._home),
            "/console/": reading(self._home),
            "/console/console.css": style_sheet,
            "/console/sign-in": self._sign_in,
            "/console/sign-out": posting(self._sign_out),
            "/console/document": reading(self._show_document),
            "/console/status": reading(self._show_status),
            "/console/outcome": reading(self._show_outcome),
            "/console/edit": self._edit,
            "/console/review": posting(drafting.review),
            "/console/publish": posting(self._publish),
        }

    @property
    def n_waiting(self) -> int:
        """Return how many publications wait to be read back and answered."""
        return len(self._waiting)

    # Who asks

    def _reading(
        self, show: Callable[[CallerRequest, Session], CallerAnswer]
    ) -> Callable[[CallerRequest], CallerAnswer]:
        def answer(request: CallerRequest) -> CallerAnswer:
            session = self._access.session_of(request)
            if session is None:
                return redirect(request, "/console/sign-in")
            return show(request, session)

        return answer

    def _posting(
        self, act: Callable[[CallerRequest, Session, Fields], CallerAnswer | None]
    ) -> Callable[[CallerRequest], CallerAnswer | None]:
        def answer(request: CallerRequest) -> CallerAnswer | None:
            if request.method != "POST":
                return redirect(request, "/console")
            session = self._access.session_of(request)
            form = read_form(request.body)
            if form.is_error():
                too_large = form.error.category is Category.TOO_LARGE
                status = 413 if too_large else 400
                message = form.error.message
                return self._access.told(request, session, message, status=status)
            if session is None:
                return self._access.sign_in_again(request, form.ok)
            if not self._access.is_own_form(form.ok, session):
                return self._refuse_forged(request, session, form.ok)
            return act(request, session, form.ok)

        return answer

    def _refuse_forged(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        message = (
            "This form was not made for your present session, so nothing was done. "
            "Look through it before you go on."
        )
        if not holds_draft(fields):
            return self._access.told(request, session, message, status=403)
        return self._drafting.edit_page(
            request, session, draft_of(fields), status=403, message=message
        )

    # Signing in and out

    def _home(self, request: CallerRequest, session: Session) -> CallerAnswer:
        return redirect(request, "/console/document")

    def _sign_in(self, request: CallerRequest) -> CallerAnswer:
        return self._access.sign_in(request, self._signed_in)

    def _signed_in(
        self,
        request: CallerRequest,
        session: Session,
        carried: Fields,
        headers: dict[str, str],
    ) -> CallerAnswer:
        if not holds_draft(carried):
            return redirect(request, "/console/document", headers=headers)
        return self._drafting.edit_page(
            request,
            session,
            draft_of(carried),
            base_version=carried["base_version"],
            message="You are signed in again; here is your draft.",
            headers=headers,
        )

    def _sign_out(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        return self._access.sign_out(request)

    # Reading

    def _show_document(self, request: CallerRequest, session: Session) -> CallerAnswer:
        return self._drafting.show(
            request,
            "document.html",
            session,
            configuration=self._configuration.configuration,
            ignored=list(reversed(self._configuration.ignored[-N_SHOWN_IGNORED:])),
            versions_by_host=self._versions_by_host(),
            log_age=self._log_age(),
        )

    def _show_status(self, request: CallerRequest, session: Session) -> CallerAnswer:
        view = self._status.view(now=self._clock())
        return self._drafting.show(request, "status.html", session, view=view)

    def _show_outcome(self, request: CallerRequest, session: Session) -> CallerAnswer:
        record_id = parse_qs(request.query).get("id", [""])[0]
        return self._outcome_page(request, session, {"record_id": record_id})

    def _edit(self, request: CallerRequest) -> CallerAnswer | None:
        if request.method == "POST":
            return self._posting(self._drafting.edit_on)(request)
        return self._reading(self._drafting.edit_current)(request)

    # Publishing

    def _publish(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer | None:
        checked = check_document(fields.get("document", "").encode())
        record_id = fields.get("record_id", "")
        if checked.is_error() or not _is_record_id(record_id):
            return self._drafting.damaged(request, session)
        record = Publication(
            base_version=whole_number(fields.get("base_version", "")),
            author=session.operator,
            document=checked.ok,
        )
        log_event("publishing", operator=session.operator, record=record_id)
        action = AppendRecord(
            stream=CONFIGURATION_STREAM, record_id=record_id, record=record
        )
        self.fire(append_record(action), "streams")
        self._waiting.append(
            _Waiting(
                request=request,
                session=session,
                fields=fields,
                deadline=self._clock() + PUBLISH_WAIT,
            )
        )
        return None

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        if not self._waiting:
            return
        now = self._clock()
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            outcome = outcome_of(each.fields["record_id"], self._configuration)
            if outcome.kind is OutcomeKind.NOT_READ_BACK and now < each.deadline:
                self._waiting.append(each)
                continue
            answer = self._published(each, outcome.kind)
            self.fire(caller_answer(answer), "callers")

    def _published(self, waiting: _Waiting, kind: OutcomeKind) -> CallerAnswer:
        if kind in (OutcomeKind.IN_FORCE, OutcomeKind.REPLACED):
            record_id = quote(waiting.fields["record_id"])
            return redirect(waiting.request, f"/console/outcome?id={record_id}")
        # A draft that lost the race or is not read back yet must not be lost: the
        # answer carries it, to be edited or published again under the same id.
        return self._outcome_page(waiting.request, waiting.session, waiting.fields)

    def _outcome_page(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        record_id = fields["record_id"]
        outcome = outcome_of(record_id, self._configuration)
        return self._drafting.show(
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
