"""Test how a stream of the log is read and restored from snapshots."""

from __future__ import annotations

import pytest

from ryelever.coordination.log_reader import (
    MAX_GAP_READS,
    MAX_UNREAD_WITHOUT_SNAPSHOT,
    LogReader,
    Read,
    ReadPage,
)
from ryelever.state.claims import ClaimsFold
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.fold import BaseFold
from ryelever.state.placement import PlacementFold
from ryelever.state.records import (
    Claim,
    GroupDissolved,
    GroupFormed,
    HostReleased,
    LeaseTaken,
    Outcome,
    Record,
)

from ..builders import formed, new_claim, new_publication
from ..memory_log import FIRST_APPEND_TIME, MemoryLog, new_reader, read_to_end, state_of


def _claim(key: str, owner: str = "e1/a") -> Claim:
    return new_claim(key, owner, f"r-{owner}")


def _key(name: str) -> str:
    return f"acme/{int(FIRST_APPEND_TIME * 1000)}-{name}"


def _formed(group: str, *members: str) -> GroupFormed:
    return formed(group, *members, adapters=("a",))


def _log(records: list[Record]) -> MemoryLog:
    log = MemoryLog()
    for index, record in enumerate(records):
        log.append(record, record_id=f"id{index}")
    return log


def _new_full_reader(fold: BaseFold, log: MemoryLog) -> LogReader:
    """Return a reader that has read a log to its end."""
    reader = new_reader(fold)
    read_to_end(reader, log)
    return reader


def _append_snapshot(log: MemoryLog, fold: BaseFold, name: str = "s") -> None:
    for part in fold.to_snapshot(snapshot=name):
        log.append(part, record_id=f"{name}-{part.part}")


def _renew(log: MemoryLog, n_times: int) -> None:
    for index in range(n_times):
        record = LeaseTaken(holder="e1/a", term=5.0, previous=index)
        log.append(record, record_id=f"renew-{index}")


CONFIGURATION = [
    new_publication(-1, "1"),
    new_publication(0, "2"),
    new_publication(0, "x"),
]
PLACEMENT = [
    LeaseTaken(holder="e1/a", term=5.0),
    _formed("g1", "h1", "h2"),
    _formed("g2", "h3"),
    GroupDissolved(group="g1", lease=0),
    HostReleased(group="g1", host="h1", lease=0, evidence="left"),
]
CLAIMS = [
    _claim(_key("a")),
    _claim(_key("b")),
    _claim(_key("a"), owner="e2/b"),
    Outcome(key=_key("a"), owner="e1/a", run_state="run", status=201, body="ok"),
    Outcome(key=_key("b"), owner="e1/a", run_state="not_run", status=0),
]
#: Record between the state of a snapshot and the snapshot's own position in the log.
LATE = {
    ConfigurationFold: new_publication(1, "3"),
    PlacementFold: HostReleased(group="g1", host="h2", lease=0, evidence="left"),
    ClaimsFold: _claim(_key("b"), owner="e2/b"),
}
KINDS = [
    (ConfigurationFold, CONFIGURATION),
    (PlacementFold, PLACEMENT),
    (ClaimsFold, CLAIMS),
]


@pytest.mark.parametrize(("fold_class", "records"), KINDS)
@pytest.mark.parametrize("late", [False, True])
def test_restored_reader_is_in_the_state_of_a_full_reader(
    fold_class: type[BaseFold], records: list[Record], late: bool
) -> None:
    """Guard against entry hosts with different states after a restore.

    A snapshot is taken, a record is appended before the snapshot itself, the log
    expires the earlier records, and a host starts.  If the snapshot counted at its own
    offset, the record in between would be lost.  If it left the record ids out, a
    second append of an old record would take effect on one of the hosts.
    """
    log = _log(records)
    full = _new_full_reader(fold_class(), log)
    parts = full.fold.to_snapshot(snapshot="s")
    if late:
        log.append(LATE[fold_class], record_id="late")
    for part in parts:
        log.append(part, record_id=f"s-{part.part}")
    log.append(records[0], record_id="id0")
    log.expire(before=parts[0].as_of)
    restored = _new_full_reader(fold_class(), log)
    read_to_end(full, log)
    assert restored.n_restored == 1 and restored.fold.complete
    assert state_of(restored.fold) == state_of(full.fold)
    assert restored.fold.ignored[-1].reason.startswith("repeated append")


@pytest.mark.parametrize("fold_class", [ConfigurationFold, PlacementFold, ClaimsFold])
def test_reader_without_a_snapshot_knows_that_records_are_missing(
    fold_class: type[BaseFold],
) -> None:
    """Guard against a request that runs a second time.

    A claim expires in the log without a snapshot of it, and then a host starts.  If
    the host treated the oldest remaining record as the first one of the stream, the
    claimed key would look free.
    """
    log = _log(dict(KINDS)[fold_class])
    log.expire(before=2)
    reader = _new_full_reader(fold_class(), log)
    assert not reader.fold.complete
    assert "have expired and no snapshot" in reader.problem


@pytest.mark.parametrize("missing", [False, True])
def test_own_claim_is_not_certain_while_records_are_missing(
    missing: bool,
) -> None:
    """Guard against a booking that runs twice.

    A host appends a claim and pauses for longer than the retention time.  Another host
    claimed the same key earlier, and that claim has expired when the host resumes, so
    the host finds its own claim as the first one.
    """
    log = _log([_claim(_key("a")), _claim(_key("b"), owner="e2/b")])
    log.expire(before=1 if missing else 0)
    reader = new_reader(ClaimsFold())
    applied = read_to_end(reader, log)[-1]
    assert applied.reason is None
    assert applied.is_certain is not missing


def test_configuration_is_kept_when_its_record_and_all_snapshots_expired() -> None:
    """Guard against a host that stops serving or applies a change that others reject.

    An entry host pauses for longer than the retention time, the log expires records
    that the host had not read, and an operator publishes a change based on the version
    that the host knows.  The host must not judge the change, since it has not read
    which changes the other hosts accepted in between.
    """
    log = _log(CONFIGURATION[:1])
    reader = _new_full_reader(ConfigurationFold(), log)
    log.append(new_publication(0, "2"), record_id="lost")
    log.expire(before=2)
    log.append(new_publication(0, "rival"), record_id="rival")
    read_to_end(reader, log)
    assert reader.fold.version == 0 and not reader.fold.complete
    assert "not judged" in (reader.fold.ignored_reason("rival") or "")


def test_gap_is_closed_by_a_later_snapshot() -> None:
    """Check that a reader with missing records restores from a later snapshot."""
    log = _log(PLACEMENT)
    full = _new_full_reader(PlacementFold(), log)
    log.expire(before=5)
    late = _new_full_reader(PlacementFold(), log)
    log.append(LATE[PlacementFold], record_id="late")
    read_to_end(late, log)
    assert not late.fold.complete
    read_to_end(full, log)
    _append_snapshot(log, full.fold)
    read_to_end(late, log)
    read_to_end(full, log)
    assert late.fold.complete
    assert state_of(late.fold) == state_of(full.fold)


def test_claim_read_again_after_a_restore_is_marked_as_seen() -> None:
    """Guard against a key that is released while its request runs.

    A claim is read back and its request is sent.  Then a gap opens, a snapshot from
    before the claim closes the gap, and the claim is read again.  A claim whose request
    no longer waits would look like an abandoned one.
    """
    log = MemoryLog()
    reader = new_reader(ClaimsFold())
    full = new_reader(ClaimsFold())
    log.append_raw("ClaimOfTomorrow", b"{}", record_id="new")
    read_to_end(full, log)
    log.append(_claim(_key("a")), record_id="own")
    read_to_end(reader, log)
    full.fold.gap = None
    _append_snapshot(log, full.fold)
    applied = read_to_end(reader, log)
    again = [item for item in applied if item.entry.id == "own"]
    assert [item.seen_before for item in again] == [True]


def test_parts_of_two_snapshots_are_not_mixed() -> None:
    """Read parts of a snapshot whose writer died, around a complete snapshot."""
    log = _log(CLAIMS)
    full = _new_full_reader(ClaimsFold(), log)
    for index in range(600):
        log.append(_claim(_key(f"many-{index}")), record_id=f"many-{index}")
    read_to_end(full, log)
    dead = full.fold.to_snapshot(snapshot="dead")
    assert len(dead) > 2
    log.append(dead[0], record_id="dead-0")
    _append_snapshot(log, full.fold, "whole")
    log.append(dead[2], record_id="dead-2")
    log.expire(before=dead[0].as_of)
    restored = _new_full_reader(ClaimsFold(), log)
    read_to_end(full, log)
    assert state_of(restored.fold) == state_of(full.fold)


def test_new_reader_of_a_long_stream_starts_from_its_snapshot() -> None:
    """Check that a new reader doesn't read hundreds of thousands of renewals."""
    log = _log(PLACEMENT[:1])
    _renew(log, 2 * MAX_UNREAD_WITHOUT_SNAPSHOT)
    full = _new_full_reader(PlacementFold(), log)
    _append_snapshot(log, full.fold)
    restored = new_reader(PlacementFold())
    n_applied = len(read_to_end(restored, log, max_reads=5))
    read_to_end(full, log)
    assert n_applied == 1
    assert state_of(restored.fold) == state_of(full.fold)


def test_long_stream_without_a_snapshot_is_read_from_its_beginning() -> None:
    """Check that a search without result is followed by a read from the beginning."""
    log = _log(PLACEMENT[:1])
    _renew(log, MAX_UNREAD_WITHOUT_SNAPSHOT)
    reader = new_reader(PlacementFold())
    assert len(read_to_end(reader, log)) == MAX_UNREAD_WITHOUT_SNAPSHOT + 1
    assert reader.fold.complete


def test_claims_need_only_the_window_of_a_long_stream() -> None:
    """Check that the search stops at keys that are too old to be claimed anyway."""
    log = MemoryLog()
    for index in range(3 * MAX_UNREAD_WITHOUT_SNAPSHOT):
        log.time = FIRST_APPEND_TIME + index
        key = f"acme/{int(log.time * 1000)}-{index}"
        log.append(_claim(key), record_id=f"id{index}")
    reader = new_reader(ClaimsFold(window=600.0, max_ahead=30.0))
    assert len(read_to_end(reader, log)) < 2 * MAX_UNREAD_WITHOUT_SNAPSHOT
    full = new_reader(ClaimsFold(window=600.0, max_ahead=30.0))
    for index in range(0, log.next, 1000):
        for entry in log.page(Read(offset=index, limit=1000, wait=0.0)).entries:
            full.fold.apply(entry)
    assert reader.fold.complete
    assert state_of(reader.fold) == state_of(full.fold)


# Incomplete and inconsistent pages


def _reader_at_one() -> tuple[LogReader, MemoryLog]:
    log = _log(CONFIGURATION)
    reader = new_reader(ConfigurationFold())
    read = reader.next_read(now=0.0)
    assert read is not None
    entries = log.page(read).entries
    page = ReadPage(first=0, next=1, entries=entries[:1])
    reader.process_page(page, requested_at=0.0, now=0.0)
    return reader, log


PAGES = [
    # offsets in the page, next offset afterwards, whether the end was reached
    ([1, 2], 3, True),
    ([2, 1], 3, True),
    ([0, 1, 1, 2], 3, True),
    ([1], 2, False),
    ([2], 1, False),
    ([], 1, False),
]


@pytest.mark.parametrize(("offsets", "reached", "caught_up"), PAGES)
def test_page_with_gaps_or_repeated_offsets(
    offsets: list[int], reached: int, caught_up: bool
) -> None:
    """Guard against readers of the same log with different states.

    A page lacks a record or contains a record twice.  The reader must apply the page
    up to its first gap, and each offset once.
    """
    reader, log = _reader_at_one()
    entries = log.page(Read(offset=0, limit=10, wait=0.0)).entries
    page = ReadPage(first=0, next=3, entries=[entries[index] for index in offsets])
    reader.next_read(now=10.0)
    reader.process_page(page, requested_at=10.0, now=10.0)
    assert reader.fold.next_offset == reached
    assert (reader.caught_up_at == 10.0) is caught_up


def test_lost_record_does_not_stop_the_stream() -> None:
    """Guard against a reader that waits forever for a lost record.

    The log has lost one record of a stream, and every page lacks it.  An entry host
    that waited for the record would learn of no further change.
    """
    reader, log = _reader_at_one()
    entry = log.page(Read(offset=2, limit=1, wait=0.0)).entries[0]
    page = ReadPage(first=0, next=3, entries=[entry])
    now = 0.0
    for _ in range(MAX_GAP_READS + 1):
        assert reader.fold.next_offset == 1
        now += 10.0
        reader.next_read(now=now)
        reader.process_page(page, requested_at=now, now=now)
        if reader.fold.gap is not None:
            break
    reader.next_read(now=now + 10.0)
    reader.process_page(page, requested_at=now + 10.0, now=now + 10.0)
    assert reader.fold.next_offset == 3
    assert not reader.fold.complete


def test_truncated_stream_is_not_taken_for_the_one_read_before() -> None:
    """Guard against repeated fencing tokens and versions.

    The log service loses a stream and starts a new one, which ends before the offset
    that the reader has reached.  The reader must not continue as in the same stream.
    """
    reader, _ = _reader_at_one()
    caught_up_at = reader.caught_up_at
    reader.next_read(now=10.0)
    reader.process_page(ReadPage(first=0, next=0), requested_at=10.0, now=10.0)
    assert reader.fold.version == 0
    assert reader.caught_up_at == caught_up_at
    assert "it was replaced or cut" in reader.problem


UNREADABLE = [
    # kind, body, fold, complete afterwards
    ("Publication", b'{"base_version": "x"}', ConfigurationFold, True),
    ("PublicationOfTomorrow", b"{}", ConfigurationFold, True),
    ("Claim", b"[]", ClaimsFold, True),
    ("ClaimOfTomorrow", b"{}", ClaimsFold, False),
]


@pytest.mark.parametrize(("kind", "body", "fold_class", "complete"), UNREADABLE)
def test_undecodable_record_does_not_stop_the_stream(
    kind: str, body: bytes, fold_class: type[BaseFold], complete: bool
) -> None:
    """Guard against a record that stops the readers of all entry hosts.

    A faulty or newer program appends a record that this program cannot decode, and the
    record stays in the stream.
    """
    log = MemoryLog()
    log.append_raw(kind, body, record_id="odd")
    reader = new_reader(fold_class())
    applied = read_to_end(reader, log)
    assert reader.fold.next_offset == 1
    assert "cannot be read" in (applied[0].reason or "")
    assert reader.fold.complete is complete


def test_pauses_after_failed_reads_grow() -> None:
    """Check that pauses after failed reads grow up to the longest pause."""
    reader = new_reader(ConfigurationFold())
    pauses = []
    now = 0.0
    assert reader.next_read(now=now) is not None
    for _ in range(8):
        reader.failed("refused", now=now)
        start = now
        while reader.next_read(now=now) is None:
            now += 0.125
        pauses.append(now - start)
    assert pauses == [0.25, 0.5, 0.875, 1.625, 3.0, 3.0, 3.0, 3.0]
