"""Test which groups count as complete."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ryelever.coordination.confirmation import Confirmations
from ryelever.state.fleet import HostReport

from ..builders import new_group

GROUP = new_group("g", "h1", "h2", fencing=7)
READY = HostReport(host="h1", boot="b", state="ready", group="g", fencing=7)


@pytest.mark.parametrize(
    ("second_report", "requested_at", "complete"),
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
def test_group_is_complete_only_with_a_fresh_report_of_each_member(
    second_report: HostReport | None, requested_at: float, complete: bool
) -> None:
    """Vary the second member's report, 1 s after the first member's report.

    Guards against a group that serves with a member missing because the placement
    or an old report is used instead of the member's current report.
    """
    confirmations = Confirmations(max_age=2.0)
    confirmations.reported(READY, requested_at=0.0)
    if second_report is not None:
        confirmations.reported(
            replace(second_report, host="h2"), requested_at=requested_at
        )
    assert confirmations.is_complete(GROUP, now=1.0) is complete


def test_late_answer_does_not_replace_a_newer_report() -> None:
    """Record the answer to an earlier request after the answer to a later one."""
    confirmations = Confirmations(max_age=2.0)
    confirmations.reported(replace(READY, state="broken"), requested_at=1.0)
    confirmations.reported(READY, requested_at=0.5)
    assert not confirmations.confirms("h1", GROUP, now=1.0)


def test_refusals_count_until_the_host_reports() -> None:
    """Check that a report resets the number of consecutive refused connections."""
    confirmations = Confirmations(max_age=2.0)
    confirmations.reported(READY, requested_at=0.0)
    confirmations.record_unreachable("h1")
    confirmations.record_unreachable("h1")
    assert confirmations.n_refused("h1") == 2
    assert confirmations.fresh("h1", now=0.0) is None
    confirmations.reported(READY, requested_at=1.0)
    assert confirmations.n_refused("h1") == 0
