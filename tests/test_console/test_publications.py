"""Test the outcome that the console reports for a publication."""

from __future__ import annotations

import pytest

from ryelever.console.publications import OutcomeKind, outcome_of
from ryelever.state.configuration import Configuration, Model
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.records import Entry, Publication

INVALID = Configuration(models={"notes": Model(version="")})

#: Rows of (record id, base version, document) in the log, and the expected outcome and
#: version of the record "mine".
CASES = [
    ([], OutcomeKind.NOT_READ_BACK, -1),
    ([("other", -1, None)], OutcomeKind.NOT_READ_BACK, -1),
    ([("mine", -1, None)], OutcomeKind.IN_FORCE, 0),
    ([("mine", -1, None), ("other", 0, None)], OutcomeKind.REPLACED, 0),
    ([("mine", -1, None), ("mine", -1, None)], OutcomeKind.IN_FORCE, 0),
    ([("other", -1, None), ("mine", -1, None)], OutcomeKind.REJECTED, 1),
    ([("mine", -1, INVALID)], OutcomeKind.REJECTED, 0),
    (
        [("other", -1, None), ("mine", -1, None), ("mine", -1, None)],
        OutcomeKind.REJECTED,
        1,
    ),
]


@pytest.mark.parametrize(("rows", "kind", "version"), CASES)
def test_outcome_is_read_from_the_fold(
    rows: list[tuple[str, int, Configuration | None]], kind: OutcomeKind, version: int
) -> None:
    fold = _fold(rows)
    outcome = outcome_of("mine", fold)
    assert (outcome.kind, outcome.version) == (kind, version)


def test_publication_that_was_not_evaluated_is_not_reported_as_accepted() -> None:
    """Read a publication without evaluating it.

    The host adopts a newer version from a peer and then reads the records before that
    version.  If every record without a rejection counted as accepted, the console
    would report a publication as accepted that lost its race.
    """
    fold = _fold([("other", -1, None), ("mine", 0, None)])
    fold.accepted_versions.remove(1)
    fold.version = 5
    assert outcome_of("mine", fold).kind is OutcomeKind.UNKNOWN


def test_publication_read_while_records_are_missing_is_unknown() -> None:
    """Read a publication that this host cannot evaluate.

    The log loses records before this host has read them, and then an operator
    publishes.  If every publication that this host ignores counted as rejected, the
    console would report a version as rejected that is in force on other hosts.
    """
    fold = ConfigurationFold()
    fold.record_loss(before=3, reason="offsets 0 to 2 have expired")
    record = Publication(base_version=2, author="ana", document=Configuration())
    fold.apply(Entry(offset=3, time=0.0, id="mine", record=record))
    assert outcome_of("mine", fold).kind is OutcomeKind.UNKNOWN


def _fold(rows: list[tuple[str, int, Configuration | None]]) -> ConfigurationFold:
    fold = ConfigurationFold()
    for offset, (record_id, base, document) in enumerate(rows):
        record = Publication(
            base_version=base, author="ana", document=document or Configuration()
        )
        fold.apply(Entry(offset=offset, time=0.0, id=record_id, record=record))
    return fold
