"""Test the fold of publications."""

from __future__ import annotations

from ryelever.state.configuration import Configuration, Model
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.records import Entry, Publication


def _publication(offset: int, base: int, *, author: str, record_id: str = "") -> Entry:
    record = Publication(base_version=base, author=author, document=Configuration())
    return Entry(offset=offset, time=0.0, id=record_id or f"id-{offset}", record=record)


def test_first_of_two_racing_publications_wins() -> None:
    """Publish twice on one base.

    Symptom: an operator's accepted change vanishes.  Sequence: two operators derive
    documents from version 0 and both publish.  Cause: the second did not know of the
    first, so to accept it would undo the first.
    """
    fold = ConfigurationFold()
    fold.apply(_publication(0, -1, author="ana"))
    assert fold.apply(_publication(1, 0, author="ana")) is None
    reason = fold.apply(_publication(2, 0, author="bia"))
    assert reason is not None and "version 1 by ana" in reason
    assert (fold.version, fold.author) == (1, "ana")


def test_repeated_append_changes_nothing() -> None:
    """Read the same record at two offsets.

    Symptom: a change is refused as racing with itself.  Sequence: the answer to an
    append is lost after it took effect, and it is appended again.  Cause: one record
    stands in the log twice.
    """
    fold = ConfigurationFold()
    fold.apply(_publication(0, -1, author="ana", record_id="same"))
    reason = fold.apply(_publication(1, -1, author="ana", record_id="same"))
    assert reason == "repeated append of the record at offset 0"
    assert fold.version == 0


def test_invalid_document_is_ignored_with_its_fault() -> None:
    """Append a faulty document to the log by hand.

    Symptom: groups of no hosts are formed.  Sequence: somebody appends a document
    without the console.  Cause: nothing behind the console checked it again.
    """
    document = Configuration(models={"notes": Model(version="v", hosts_per_group=0)})
    record = Publication(base_version=-1, author="ana", document=document)
    fold = ConfigurationFold()
    reason = fold.apply(Entry(offset=0, time=0.0, id="id", record=record))
    assert reason is not None and "/models/notes/hosts_per_group" in reason
    assert fold.configuration == Configuration()
