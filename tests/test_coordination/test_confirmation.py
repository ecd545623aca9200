"""Test which groups count as whole."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ryelever.coordination.confirmation import Confirmations
from ryelever.state.fleet import HostReport

from ..builders import new_group

GROUP = new_group("g", "h1", "h2", fencing=7)
READY = HostReport(host="h1", boot="b", state="ready", group="g", fencing=7)


@pytest.mark.parametrize(
    ("second", "asked_at", "whole"),
    [
        (READY, 0.0, True),
        (None, 0.0, False),
        (replace(READY, state="loading"), 0.0, False),
        (replace(READY, state="leaving"), 0.0, False),
        (replace(READY, state="broken"), 0.0, False),
        (replace(READY, fencing=6), 0.0, False),
        (replace(READY, group="other"), 0.0, False),
        (replace(READY, state="idle", group="", fencing=-1), 0.0, False),
        (READY, -1.1, False),
    ],
)
def test_group_is_whole_only_by_a_fresh_word_of_each_member(
    second: HostReport | None, asked_at: float, whole: bool
) -> None:
    """Judge a group by its second member's report, 1 s after the first one's.

    Symptom: a group serves with a member missing.  Sequence: the row's.  Cause: the
    placement, or an old report, is taken for the host's own present word.
    """
    confirmations = Confirmations(max_age=2.0)
    confirmations.reported(READY, asked_at=0.0)
    if second is not None:
        confirmations.reported(replace(second, host="h2"), asked_at=asked_at)
    assert confirmations.is_complete(GROUP, now=1.0) is whole


def test_late_answer_does_not_outrank_a_newer_one() -> None:
    """Take the answer to an older question last."""
    confirmations = Confirmations(max_age=2.0)
    confirmations.reported(replace(READY, state="broken"), asked_at=1.0)
    confirmations.reported(READY, asked_at=0.5)
    assert not confirmations.confirms("h1", GROUP, now=1.0)


def test_refusals_count_until_the_host_reports() -> None:
    """Count refused connections in a row."""
    confirmations = Confirmations(max_age=2.0)
    confirmations.reported(READY, asked_at=0.0)
    confirmations.unreachable("h1")
    confirmations.unreachable("h1")
    assert confirmations.n_refused("h1") == 2
    assert confirmations.fresh("h1", now=0.0) is None
    confirmations.reported(READY, asked_at=1.0)
    assert confirmations.n_refused("h1") == 0
