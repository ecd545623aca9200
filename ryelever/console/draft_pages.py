"""Show drafts of the configuration document for editing and for review."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

from ..protocol.configuration_document import (
    check_document,
    encode_canonical,
    list_changes,
)
from .answers import render_page
from .forms import Draft, draft_of_document, draft_of_form, generate_keys
from .sections import SECTIONS, WEIGHT_NAMES

if TYPE_CHECKING:
    from ..events import CallerAnswer, CallerRequest
    from ..faults import Fault
    from ..state.configuration import Configuration
    from ..state.configuration_fold import ConfigurationFold
    from .access import Access
    from .sessions import Session

__all__ = ["DraftPages", "has_draft", "parse_draft", "parse_version"]

Fields = dict[str, str]


class DraftPages:
    """Build the pages that show or carry a draft.

    Entry hosts do not store drafts: each page contains the whole draft in its form.
    """

    def __init__(self, *, access: Access, configuration: ConfigurationFold) -> None:
        self._access = access
        self._configuration = configuration

    def signed_in_page(
        self, request: CallerRequest, template: str, session: Session, **context: Any
    ) -> CallerAnswer:
        """Return a page for a signed-in operator, rendered from a template."""
        fold = self._configuration
        return render_page(
            request,
            template,
            session=session,
            token=self._access.form_token(session),
            version=fold.version,
            author=fold.author,
            **context,
        )

    def edit_current(self, request: CallerRequest, session: Session) -> CallerAnswer:
        """Show a new draft that starts from the document in force."""
        draft = draft_of_document(self._configuration.configuration)
        return self.edit_page(request, session, draft)

    def continue_editing(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        """Show a posted draft for further editing."""
        if not has_draft(fields):
            return self.refuse_damaged(request, session)
        return self.edit_page(
            request,
            session,
            parse_draft(fields),
            base_version=fields.get("base_version"),
        )

    def refuse_damaged(self, request: CallerRequest, session: Session) -> CallerAnswer:
        """Refuse a form that contains no readable draft."""
        message = "This form is damaged, so nothing was done. Start editing again."
        return self._access.refusal_page(request, session, message, status=400)

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
        """Return the edit form of a draft, with each fault beside its field."""
        version = self._configuration.version
        return self.signed_in_page(
            request,
            "edit.html",
            session,
            status=status,
            headers=headers,
            sections=SECTIONS,
            weight_names=WEIGHT_NAMES,
            draft=draft,
            faults=faults or [],
            base_version=version if base_version is None else base_version,
            message=message,
        )

    def review(
        self, request: CallerRequest, session: Session, fields: Fields
    ) -> CallerAnswer:
        """Show the changes that a posted draft would make, or its faults."""
        if "add" in fields or not has_draft(fields):
            return self.continue_editing(request, session, fields)
        draft = parse_draft(fields)
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
        keys_by_account = generate_keys(draft)
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
        base_version = parse_version(fields.get("base_version", ""))
        return self.signed_in_page(
            request,
            "review.html",
            session,
            changes=list_changes(fold.configuration, document),
            document=encode_canonical(document).decode(),
            base_version=fold.version,
            overtaken=base_version < fold.version,
            behind=base_version > fold.version,
            keys_by_account=keys_by_account,
            record_id=uuid.uuid4().hex,
        )


def has_draft(fields: Fields) -> bool:
    """Return whether a form contains a draft that can be shown again."""
    if "base_version" not in fields:
        return False
    document = fields.get("document")
    return document is None or check_document(document.encode()).is_ok()


def parse_draft(fields: Fields) -> Draft:
    """Return the draft in an edit form, or in a form that contains a whole document."""
    if "document" in fields:
        return draft_of_document(check_document(fields["document"].encode()).ok)
    return draft_of_form(fields)


def parse_version(text: str) -> int:
    """Return the version number in a form field, or -2 if it is unreadable.

    -2 is below every version, so that an unreadable field never matches the version in
    force.
    """
    digits = text.removeprefix("-")
    readable = digits.isdecimal() and digits.isascii() and len(digits) <= 18
    return int(text) if readable else -2
