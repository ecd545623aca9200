"""Test how a stream is read and restored."""

from __future__ import annotations

import pytest

from ryelever.coordination.log_reader import (
    LONG_TAIL,
    N_GAP_READS,
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
from ..memory_log import EPOCH, MemoryLog, new_reader, read_to_end, state_of


def _claim(key: str, owner: str = "e1/a") -> Claim:
    return new_claim(key, owner, f"r-{owner}")


def _key(name: str) -> str:
    return f"acme/{int(EPOCH * 1000)}-{name}"


def _formed(group: str, *members: str) -> GroupFormed:
    return formed(group, *members, adapters=("a",))


def _log(records: list[Record]) -> MemoryLog:
    log = MemoryLog()
    for index, record in enumerate(records):
        log.append(record, record_id=f"id{index}")
    return log


def _read_whole(fold: BaseFold, log: MemoryLog) -> LogReader:
    """Return a reader that has reached the end of a log."""
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
#: What comes between the state of a snapshot and its own place in the log.
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
    """Restore after the first records have expired.

    Symptom: two entry hosts disagree on what is in force, or a second append of an
    old record takes effect on one of them.  Sequence: a snapshot is taken, a record
    is appended before the snapshot is, the log expires what came before, and a host
    starts.  Cause: the snapshot counts at its own offset, or leaves the ids out.
    """
    log = _log(records)
    full = _read_whole(fold_class(), log)
    parts = full.fold.to_snapshot(snapshot="s")
    if late:
        log.append(LATE[fold_class], record_id="late")
    for part in parts:
        log.append(part, record_id=f"s-{part.part}")
    log.append(records[0], record_id="id0")
    log.expire(before=parts[0].as_of)
    restored = _read_whole(fold_class(), log)
    read_to_end(full, log)
    assert restored.n_restored == 1 and restored.fold.complete
    assert state_of(restored.fold) == state_of(full.fold)
    assert restored.fold.ignored[-1].reason.startswith("repeated append")


@pytest.mark.parametrize("fold_class", [ConfigurationFold, PlacementFold, ClaimsFold])
def test_reader_that_finds_no_snapshot_does_not_pretend_to_know(
    fold_class: type[BaseFold],
) -> None:
    """Start when the first records have expired and nobody wrote them again.

    Symptom: a key that was claimed looks free and its request runs a second time.
    Sequence: a claim expires in the log, then a host starts.  Cause: it takes the
    oldest record that it finds for the beginning.
    """
    log = _log(dict(KINDS)[fold_class])
    log.expire(before=2)
    reader = _read_whole(fold_class(), log)
    assert not reader.fold.complete
    assert "have expired and no snapshot" in reader.problem


@pytest.mark.parametrize("missing", [False, True])
def test_own_claim_is_not_the_first_for_certain_while_records_are_missing(
    missing: bool,
) -> None:
    """Read back an own claim after a pause beyond the retention.

    Symptom: a booking runs twice.  Sequence: a host appends a claim and pauses, the
    same key was claimed earlier at another one, both records' forerunners expire, and
    the host wakes.  Cause: its own claim is the first that it finds.
    """
    log = _log([_claim(_key("a")), _claim(_key("b"), owner="e2/b")])
    log.expire(before=1 if missing else 0)
    reader = new_reader(ClaimsFold())
    applied = read_to_end(reader, log)[-1]
    assert applied.reason is None
    assert applied.certain is not missing


def test_configuration_is_kept_when_its_record_and_all_snapshots_expired() -> None:
    """Wake up after the retention.

    Symptom: an entry host that serves stops to, or takes in a change that all others
    refused.  Sequence: it pauses, the log expires what it had not read, and somebody
    publishes on the base it knows.  Cause: it judges without having read what others
    accepted in between.
    """
    log = _log(CONFIGURATION[:1])
    reader = _read_whole(ConfigurationFold(), log)
    log.append(new_publication(0, "2"), record_id="lost")
    log.expire(before=2)
    log.append(new_publication(0, "rival"), record_id="rival")
    read_to_end(reader, log)
    assert reader.fold.version == 0 and not reader.fold.complete
    assert "not judged" in (reader.fold.reason_of("rival") or "")


def test_gap_is_closed_by_a_snapshot_that_comes_later() -> None:
    """Meet a snapshot while records are missing, and read again from its state."""
    log = _log(PLACEMENT)
    full = _read_whole(PlacementFold(), log)
    log.expire(before=5)
    late = _read_whole(PlacementFold(), log)
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
    """Go back to the state of a snapshot and meet an own claim again.

    Symptom: a key is freed while its request runs.  Sequence: the claim is read back
    and the request sent; a gap opens and a snapshot from before the claim closes it;
    the claim is read again.  Cause: a claim whose request is no longer waiting looks
    like one that was given up.
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
    """Read the first half of a snapshot whose writer died, then a whole one."""
    log = _log(CLAIMS)
    full = _read_whole(ClaimsFold(), log)
    for index in range(600):
        log.append(_claim(_key(f"many-{index}")), record_id=f"many-{index}")
    read_to_end(full, log)
    dead = full.fold.to_snapshot(snapshot="dead")
    assert len(dead) > 2
    log.append(dead[0], record_id="dead-0")
    _append_snapshot(log, full.fold, "whole")
    log.append(dead[2], record_id="dead-2")
    log.expire(before=dead[0].as_of)
    restored = _read_whole(ClaimsFold(), log)
    read_to_end(full, log)
    assert state_of(restored.fold) == state_of(full.fold)


def test_new_reader_of_a_long_stream_starts_from_its_snapshot() -> None:
    """Search backwards rather than read hundreds of thousands of renewals."""
    log = _log(PLACEMENT[:1])
    _renew(log, 2 * LONG_TAIL)
    full = _read_whole(PlacementFold(), log)
    _append_snapshot(log, full.fold)
    restored = new_reader(PlacementFold())
    n_applied = len(read_to_end(restored, log, max_reads=5))
    read_to_end(full, log)
    assert n_applied == 1
    assert state_of(restored.fold) == state_of(full.fold)


def test_long_stream_without_a_snapshot_is_read_whole() -> None:
    """Search in vain, then read from the beginning, and know everything."""
    log = _log(PLACEMENT[:1])
    _renew(log, LONG_TAIL)
    reader = new_reader(PlacementFold())
    assert len(read_to_end(reader, log)) == LONG_TAIL + 1
    assert reader.fold.complete


def test_claims_need_only_the_window_of_a_long_stream() -> None:
    """Stop searching where the keys are too old to be claimed anyway."""
    log = MemoryLog()
    for index in range(3 * LONG_TAIL):
        log.time = EPOCH + index
        key = f"acme/{int(log.time * 1000)}-{index}"
        log.append(_claim(key), record_id=f"id{index}")
    reader = new_reader(ClaimsFold(window=600.0, max_ahead=30.0))
    assert len(read_to_end(reader, log)) < 2 * LONG_TAIL
    full = new_reader(ClaimsFold(window=600.0, max_ahead=30.0))
    for index in range(0, log.next, 1000):
        for entry in log.page(Read(offset=index, limit=1000, wait=0.0)).entries:
            full.fold.apply(entry)
    assert reader.fold.complete
    assert state_of(reader.fold) == state_of(full.fold)


# Pages that are not as they should be


def _reader_at_one() -> tuple[LogReader, MemoryLog]:
    log = _log(CONFIGURATION)
    reader = new_reader(ConfigurationFold())
    read = reader.next_read(now=0.0)
    assert read is not None
    entries = log.page(read).entries
    page = ReadPage(first=0, next=1, entries=entries[:1])
    reader.read(page, asked_at=0.0, now=0.0)
    return reader, log


PAGES = [
    # offsets in the page, offset reached, caught up
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
    """Apply a page up to its first gap, each offset once.

    Symptom: two readers of one log hold two states.  Sequence: a page leaves a record
    out, or has one twice.  Cause: the reader trusts the page rather than the offsets.
    """
    reader, log = _reader_at_one()
    entries = log.page(Read(offset=0, limit=10, wait=0.0)).entries
    page = ReadPage(first=0, next=3, entries=[entries[index] for index in offsets])
    reader.next_read(now=10.0)
    reader.read(page, asked_at=10.0, now=10.0)
    assert reader.fold.next_offset == reached
    assert (reader.caught_up_at == 10.0) is caught_up


def test_record_that_never_comes_does_not_stop_the_stream() -> None:
    """Read a page that lacks a record again and again.

    Symptom: an entry host never learns of a change any more.  Sequence: the log has
    lost one record of a stream.  Cause: the reader waits for it for ever.
    """
    reader, log = _reader_at_one()
    entry = log.page(Read(offset=2, limit=1, wait=0.0)).entries[0]
    page = ReadPage(first=0, next=3, entries=[entry])
    now = 0.0
    for _ in range(N_GAP_READS + 1):
        assert reader.fold.next_offset == 1
        now += 10.0
        reader.next_read(now=now)
        reader.read(page, asked_at=now, now=now)
        if reader.fold.gap is not None:
            break
    reader.next_read(now=now + 10.0)
    reader.read(page, asked_at=now + 10.0, now=now + 10.0)
    assert reader.fold.next_offset == 3
    assert not reader.fold.complete


def test_stream_that_was_cut_is_not_taken_for_the_one_read_before() -> None:
    """Read a stream whose end lies before what was read.

    Symptom: fencing numbers and versions repeat.  Sequence: the log service loses a
    stream and starts it anew.  Cause: the reader goes on as if it were the same.
    """
    reader, _ = _reader_at_one()
    caught_up_at = reader.caught_up_at
    reader.next_read(now=10.0)
    reader.read(ReadPage(first=0, next=0), asked_at=10.0, now=10.0)
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
def test_unreadable_record_neither_stops_the_stream_nor_is_guessed_at(
    kind: str, body: bytes, fold_class: type[BaseFold], complete: bool
) -> None:
    """Read a record that this program cannot decode.

    Symptom: no change reaches any entry host any more.  Sequence: a faulty or newer
    program appends one record.  Cause: the readers stop at it, and it stays.
    """
    log = MemoryLog()
    log.append_raw(kind, body, record_id="odd")
    reader = new_reader(fold_class())
    applied = read_to_end(reader, log)
    assert reader.fold.next_offset == 1
    assert "cannot be read" in (applied[0].reason or "")
    assert reader.fold.complete is complete


def test_failed_reads_pause_longer_and_longer() -> None:
    """Leave a service that is down alone."""
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
