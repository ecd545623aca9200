"""Show a draft for editing, and what would change if it were published."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

from ..protocol.configuration_document import canonical, check_document, difference
from .answers import page
from .forms import Draft, draft_of_document, draft_of_form, make_keys
from .sections import SECTIONS, WEIGHTS

if TYPE_CHECKING:
    from ..events import CallerAnswer, CallerRequest
    from ..faults import Fault
    from ..state.configuration import Configuration
    from ..state.configuration_fold import ConfigurationFold
    from .access import Access
    from .sessions import Session

__all__ = ["Drafting", "draft_of", "holds_draft", "whole_number"]

Fields = dict[str, str]


class Drafting:
    """Own the pages on which a draft travels."""

    def __init__(self, *, access: Access, configuration: ConfigurationFold) -> None:
        self._access = access
        self._configuration = configuration

    def show(
        self, request: CallerRequest, template: str, session: Session, **context: Any
    ) -> CallerAnswer:
        """Return a page for a signed-in operator."""
        fold = self._configuration
        return page(
            request,
            template,
            session=session,
            token=self._access.form_token(session),
            version=fold.version,
            author=fold.author,
            **context,
        )

    def edit_current(self, request: CallerRequest, session: Session) -> CallerAnswer:
        """Begin a draft with the document in force."""
        draft = draft_of_document(self._configuration.configuration)
        return self.edit_page(request, session, draft)

    def edit_on(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        """Show a posted draft for further editing."""
        if not holds_draft(fields):
            return self.damaged(request, session)
        return self.edit_page(
            request,
            session,
            draft_of(fields),
            base_version=fields.get("base_version"),
        )

    def damaged(self, request: CallerRequest, session: Session) -> CallerAnswer:
        """Refuse a form that holds no draft."""
        message = "This form is damaged, so nothing was done. Edit again."
        return self._access.told(request, session, message, status=400)

    def edit_page(
        self,
        request: CallerRequest,
        session: Session,
        draft: Draft,
        *,
        base_version: str | None = None,
        faults: list[Fault] | None = None,
        message: str = "",
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> CallerAnswer:
        """Show a draft with every fault beside its field."""
        version = self._configuration.version
        return self.show(
            request,
            "edit.html",
            session,
            status=status,
            headers=headers,
            sections=SECTIONS,
            weight_names=WEIGHTS,
            draft=draft,
            faults=faults or [],
            base_version=version if base_version is None else base_version,
            message=message,
        )

    def review(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        """Show what a posted draft would change, or its faults."""
        if "add" in fields or not holds_draft(fields):
            return self.edit_on(request, session, fields)
        draft = draft_of(fields)
        checked = check_document(draft.encoded())
        faults = draft.faults + (checked.error if checked.is_error() else [])
        if faults:
            return self.edit_page(
                request,
                session,
                draft,
                base_version=fields.get("base_version"),
                faults=faults,
                status=422,
            )
        keys_by_account = make_keys(draft)
        document = check_document(draft.encoded()).ok
        return self._review_page(
            request, session, document, fields, keys_by_account=keys_by_account
        )

    def _review_page(
        self,
        request: CallerRequest,
        session: Session,
        document: Configuration,
        fields: Fields,
        *,
        keys_by_account: dict[str, str],
    ) -> CallerAnswer:
        fold = self._configuration
        base_version = whole_number(fields.get("base_version", ""))
        return self.show(
            request,
            "review.html",
            session,
            changes=difference(fold.configuration, document),
            document=canonical(document).decode(),
            base_version=fold.version,
            overtaken=base_version < fold.version,
            behind=base_version > fold.version,
            keys_by_account=keys_by_account,
            record_id=uuid.uuid4().hex,
        )


def holds_draft(fields: Fields) -> bool:
    """Tell whether a form holds a draft that can be shown again."""
    if "base_version" not in fields:
        return False
    document = fields.get("document")
    return document is None or check_document(document.encode()).is_ok()


def draft_of(fields: Fields) -> Draft:
    """Return the draft of an edit form, or of a form that holds a document."""
    if "document" in fields:
        return draft_of_document(check_document(fields["document"].encode()).ok)
    return draft_of_form(fields)


def whole_number(text: str) -> int:
    """Return a version that came with a form.

    An unreadable one is below every version, and so never taken for the current.
    """
    digits = text.removeprefix("-")
    readable = digits.isdecimal() and digits.isascii() and len(digits) <= 18
    return int(text) if readable else -2
