"""Test operators that publish at the same time while the log loses answers."""

from __future__ import annotations

import itertools

import pytest

from ryelever.console.publications import OutcomeKind, outcome_of
from ryelever.coordination.log_writer import LogWriter
from ryelever.state.configuration import Configuration
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.records import Publication

from ..memory_log import MemoryLog, new_reader, read_to_end

#: Result of an append: it takes effect and is answered, takes effect but its answer is
#: lost, or is lost itself.
APPEND_RESULTS = ("answered", "answer lost", "lost")


@pytest.mark.parametrize(
    "results", list(itertools.product(APPEND_RESULTS, repeat=4)), ids="-".join
)
def test_one_operator_wins_and_both_are_notified(results: tuple[str, ...]) -> None:
    """Guard against two operators, or none, whose change is reported as in force.

    Two documents are published on the same base version while answers to appends are
    lost.  The first two appends of each operator have the results of the row.  Each
    operator repeats the append until it is read back, so that a publication may be in
    the log four times.  An answer must not be taken for the outcome, nor a repeated
    append for a competing change.
    """
    log = MemoryLog()
    result_by_attempt = {
        (name, attempt): result
        for name, attempt, result in zip(
            ("ana", "ana", "bia", "bia"), (0, 1, 0, 1), results, strict=True
        )
    }
    writers = {name: LogWriter() for name in ("ana", "bia")}
    readers = {name: new_reader(ConfigurationFold()) for name in writers}
    for name, writer in writers.items():
        record = Publication(base_version=-1, author=name, document=Configuration())
        writer.add(record, record_id=name, deadline=60.0)
    now, n_sent = 0.0, dict.fromkeys(writers, 0)
    while any(writer.pending_by_id for writer in writers.values()):
        now += 2.0
        assert now < 60.0
        for name, writer in writers.items():
            for pending in writer.due(now=now):
                result = result_by_attempt.get((name, n_sent[name]), "answered")
                n_sent[name] += 1
                if result != "lost":
                    log.append(pending.record, record_id=pending.record_id)
                    # The network duplicates the append.
                    log.append(pending.record, record_id=pending.record_id)
                writer.answered() if result == "answered" else writer.failed(now=now)
        for name, reader in readers.items():
            for applied in read_to_end(reader, log):
                writers[name].read_back(applied.entry.id)
    folds = [reader.fold for reader in readers.values()]
    assert len({(fold.version, fold.author) for fold in folds}) == 1
    winner = folds[0].author
    loser = "bia" if winner == "ana" else "ana"
    for fold in folds:
        won, lost = outcome_of(winner, fold), outcome_of(loser, fold)
        assert (won.kind, won.version) == (OutcomeKind.IN_FORCE, fold.version)
        assert lost.kind is OutcomeKind.REJECTED
        assert f"version {fold.version} by {winner}" in lost.reason
