"""Tell what became of a publication, by what was read back from the log."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..state.configuration_fold import NOT_JUDGED

if TYPE_CHECKING:
    from ..state.configuration_fold import ConfigurationFold

__all__ = ["Outcome", "OutcomeKind", "outcome_of"]


class OutcomeKind(enum.Enum):
    """Say what is known of a publication."""

    IN_FORCE = "in force"
    REPLACED = "accepted, and replaced since"
    REJECTED = "rejected"
    NOT_READ_BACK = "not read back"
    UNKNOWN = "judged elsewhere, or too long ago to be known here"


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """Hold what is known of a publication at this entry host.

    Attributes
    ----------
    version : int
        Its offset in the log; -1 while it was not read back.
    reason : str
        Why it was rejected; names the version that won.
    """

    kind: OutcomeKind
    version: int = -1
    reason: str = ""


def outcome_of(record_id: str, fold: ConfigurationFold) -> Outcome:
    """Return what the fold knows of the record with this id.

    The answer to the append plays no part: it can be lost after the record was
    taken, and it says nothing of a race.  Nor is acceptance concluded from the lack
    of a rejection: a host that took a newer version from a peer has not judged the
    records below it.
    """
    offset = fold.offset_of(record_id)
    if offset is None:
        return Outcome(kind=OutcomeKind.NOT_READ_BACK)
    for ignored in fold.ignored:
        # A repeated append is ignored under the same id at a later offset.
        if ignored.id == record_id and ignored.offset == offset:
            judged = not ignored.reason.startswith(NOT_JUDGED)
            kind = OutcomeKind.REJECTED if judged else OutcomeKind.UNKNOWN
            return Outcome(kind=kind, version=offset, reason=ignored.reason)
    if fold.version == offset:
        return Outcome(kind=OutcomeKind.IN_FORCE, version=offset)
    if offset not in fold.accepted_versions:
        return Outcome(kind=OutcomeKind.UNKNOWN, version=offset)
    return Outcome(kind=OutcomeKind.REPLACED, version=offset)
