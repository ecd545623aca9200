"""Test the path of a request from caller to backend server with real processes."""

from __future__ import annotations

from collections.abc import Iterator

import httpx
import pytest

from ..callers import Caller, new_key
from ..processes import Fleet, running_fleet


@pytest.fixture(scope="module")
def small_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Start one group, one plain service and two entry hosts in one zone."""
    with running_fleet(tmp_path_factory.mktemp("path")) as fleet:
        fleet.start_world()
        yield fleet


def test_resent_booking_runs_once(small_fleet: Fleet) -> None:
    """Send the same booking again through another entry host.

    Guards against charging a customer twice.  The booking runs, its answer is lost on
    the way, the caller sends the booking again, and the balancer picks another entry
    host, which has to know of the first run.
    """
    caller, key = Caller(small_fleet), new_key()
    entries = small_fleet.entries_by_name.values()
    answers = [caller.book(entry, key) for entry in entries]
    assert [answer.status_code for answer in answers] == [201, 201]
    assert answers[0].content == answers[1].content
    assert small_fleet.n_runs() == [1]


@pytest.mark.parametrize("timeout", ["0", "-1", "nan", "inf", "601", "soon", ""])
def test_invalid_deadline_is_refused(small_fleet: Fleet, timeout: str) -> None:
    """Refuse an invalid deadline with an error that names the header at fault."""
    answer = _chat(small_fleet, timeout, stream=False)
    assert answer.status_code == 400
    error = answer.json()["error"]
    assert error["code"] == "invalid_timeout"
    assert "X-Request-Timeout" in error["message"]


def test_stream_ends_at_the_deadline_of_its_caller(small_fleet: Fleet) -> None:
    """End a stream at the deadline that its caller set.

    Guards against a request that still occupies a slot in the engine's batch although
    its caller timed out long ago.  Generating the answer takes longer than the caller
    waits, and one deadline for all callers would not end the request.
    """
    answer = _chat(small_fleet, "0.5", stream=True)
    assert answer.status_code == 200
    assert '"code":"timeout"' in answer.text
    assert answer.text.endswith("data: [DONE]\n\n")


def test_entry_host_exits_with_code_0_on_sigterm(fleet: Fleet) -> None:
    """Exit with code 0 on SIGTERM when no request is in flight."""
    fleet.start_world()
    codes = [entry.process.stop() for entry in fleet.entries_by_name.values()]
    assert codes == [0, 0]


def _chat(fleet: Fleet, timeout: str, *, stream: bool) -> httpx.Response:
    body = {
        "model": "notes",
        "messages": [{"role": "user", "content": "much"}],
        "max_tokens": 1000,
        "stream": stream,
    }
    return httpx.post(
        f"{fleet.entries_by_name['e1'].url}/v1/chat/completions",
        headers={
            "Authorization": f"Bearer {fleet.keys_by_account['pawroute']}",
            "X-Request-Timeout": timeout,
        },
        json=body,
        timeout=20,
    )
