"""Test how the platform's list of hosts is polled and applied."""

from __future__ import annotations

import json

import pytest

from ryelever.coordination.confirmation import Confirmations
from ryelever.events import OutboundAnswer, OutboundRequest
from ryelever.fleet_watch import FleetWatch
from ryelever.request_sender import PendingRequest
from ryelever.settings import Settings

TAG = '"7"'
HOST = {
    "host": "w1",
    "address": "127.0.0.1:1",
    "availability_zone": "a",
    "kind": "engine",
    "state": "live",
}


class Watch(FleetWatch):
    """Record requests instead of sending them."""

    def __init__(self) -> None:
        settings = Settings(
            host="e1",
            availability_zone="a",
            report_interval=0.5,
            report_max_age=2.0,
            hosts_list_address="127.0.0.1:1",
            progress_timeout=1.0,
        )
        super().__init__(settings=settings, confirmations=Confirmations(max_age=2.0))
        self.sent: list[OutboundRequest] = []

    def fire(self, event: object, *channels: str) -> None:
        """Record a request."""
        self.sent.append(event.args[0])

    def conditions(self) -> list[str | None]:
        """Return the ETag in each request for the list."""
        requests = [sent for sent in self.sent if sent.step == "read_hosts_list"]
        return [dict(sent.headers).get("If-None-Match") for sent in requests]


def answer(
    status: int, *, names: tuple[str, ...] = (), tag: str = ""
) -> OutboundAnswer:
    body = json.dumps({"hosts": [HOST | {"host": name} for name in names]})
    return OutboundAnswer(
        id="1",
        status=status,
        headers={"etag": tag} if tag else {},
        body=body.encode() if status == 200 else b"",
        address="127.0.0.1:1",
        sent_at=0.0,
    )


# (answers, ETag in the next request, known hosts)
@pytest.mark.parametrize(
    ("answers", "condition", "known"),
    [
        pytest.param([], None, set(), id="first"),
        pytest.param([answer(200, names=("w1",))], None, {"w1"}, id="no_tags"),
        pytest.param([answer(200, names=("w1",), tag=TAG)], TAG, {"w1"}, id="tagged"),
        pytest.param(
            [answer(200, names=("w1",), tag=TAG), answer(304, tag=TAG)],
            TAG,
            {"w1"},
            id="unchanged",
        ),
        pytest.param(
            [answer(200, names=("w1",), tag=TAG), answer(200, names=("w2",))],
            None,
            {"w2"},
            id="tags_ended",
        ),
        pytest.param(
            [answer(200, names=("w1",), tag=TAG), answer(503)],
            TAG,
            {"w1"},
            id="outage",
        ),
        pytest.param([answer(304, tag=TAG)], None, set(), id="unasked_304"),
    ],
)
def test_unchanged_list_is_not_transferred_again(
    answers: list[OutboundAnswer], condition: str | None, known: set[str]
) -> None:
    watch = Watch()
    for each in answers:
        watch.answered(PendingRequest(kind="list"), each)
    watch._request_list(now=100.0)
    assert watch.conditions() == [condition]
    assert watch.hosts_by_name.keys() == known
