"""Test how attempts are sent and cancelled."""

from __future__ import annotations

from unittest.mock import Mock

from ryelever.attempts import Attempts
from ryelever.coordination.actions import Arrival, ChatWork, SendAttempt, Target
from ryelever.events import OutboundRequest

from .builders import direct_access


def test_cancel_goes_over_a_new_connection() -> None:
    """Cancel an attempt when the network path to the engine loses all packets.

    If the cancellation were sent over an idle connection that uses the same path, it
    would be lost, and the engine would generate the complete answer for no caller.
    """
    sent: list[OutboundRequest] = []
    attempts = Attempts(
        settings=Mock(progress_timeout=1.0, first_token_timeout=1.0),
        table=Mock(),
        fire=lambda event, channel: sent.extend(
            message for message in event.args if isinstance(message, OutboundRequest)
        ),
        access=direct_access(),
    )
    work = ChatWork(model="notes", messages=[], max_tokens=1, streamed=True)
    arrival = Arrival(
        request_id="r", client_account="a", work=work, arrived_at=0.0, deadline=1.0
    )
    target = Target(name="g", address="127.0.0.1:1")
    attempts.send(SendAttempt(attempt_id="t", arrival=arrival, target=target))
    attempts.cancel("t")
    assert [(request.step, request.new_connection) for request in sent] == [
        ("generate", False),
        ("cancel", True),
    ]
