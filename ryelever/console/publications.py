"""Determine the outcome of a publication from the records read back from the log."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..state.configuration_fold import NOT_EVALUATED

if TYPE_CHECKING:
    from ..state.configuration_fold import ConfigurationFold

__all__ = ["Outcome", "OutcomeKind", "outcome_of"]


class OutcomeKind(enum.Enum):
    """Enumerate the possible states of a publication at this entry host."""

    IN_FORCE = "in force"
    REPLACED = "accepted, and replaced since"
    REJECTED = "rejected"
    NOT_READ_BACK = "not read back"
    UNKNOWN = "judged elsewhere, or too long ago to be known here"


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """The outcome of a publication, as far as this entry host knows.

    Attributes
    ----------
    version : int
        Offset of the publication in the log; -1 until the record is read back.
    reason : str
        Why the publication was rejected or not evaluated; after a lost race, with the
        version that won.
    """

    kind: OutcomeKind
    version: int = -1
    reason: str = ""


def outcome_of(record_id: str, fold: ConfigurationFold) -> Outcome:
    """Return the outcome of the publication with this record id.

    The answer to the append is not considered: it can be lost after the record was
    appended, and it does not show whether the publication won a race.  A missing
    rejection does not imply acceptance either: a host that adopted a newer version
    from a peer has not evaluated the records before that version.
    """
    offset = fold.offset_of(record_id)
    if offset is None:
        return Outcome(kind=OutcomeKind.NOT_READ_BACK)
    for ignored in fold.ignored:
        # A repeated append is also in this list, with the same id and a later offset.
        if ignored.id == record_id and ignored.offset == offset:
            was_evaluated = not ignored.reason.startswith(NOT_EVALUATED)
            kind = OutcomeKind.REJECTED if was_evaluated else OutcomeKind.UNKNOWN
            return Outcome(kind=kind, version=offset, reason=ignored.reason)
    if fold.version == offset:
        return Outcome(kind=OutcomeKind.IN_FORCE, version=offset)
    if offset not in fold.accepted_versions:
        return Outcome(kind=OutcomeKind.UNKNOWN, version=offset)
    return Outcome(kind=OutcomeKind.REPLACED, version=offset)
