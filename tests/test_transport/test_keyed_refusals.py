"""Test the run state in refusals of requests that must run at most once."""

from __future__ import annotations

import json

import pytest

from ..callers import new_key
from ..processes import EntryHost, Fleet
from .test_callers import connected, read_answer

BOOKING = "POST /services/bookings/bookings"

#: Name, start line, another header line, idempotency key, status and error code.
REFUSALS = [
    ("service withdrawn", "POST /services/none/x", "", "", 404, "unknown_service"),
    ("account withdrawn", BOOKING, "Authorization: Bearer x.y", "", 401, None),
    ("bad timeout", BOOKING, "X-Request-Timeout: -1", "", 400, "invalid_timeout"),
    ("body missing", BOOKING, "Content-Length: 9", "", 408, "request_timeout"),
    ("head not ended", "", "", "", 408, "request_timeout"),
    ("unusable key", BOOKING, "", "rex", 400, "idempotency_key_invalid"),
    ("no key", "POST /services/none/x", "", None, 404, "unknown_service"),
    ("body missing, no key", "POST /x", "Content-Length: 9", None, 408, None),
]

NOT_RUN = {"unusable key", "no key", "body missing, no key"}


@pytest.mark.parametrize("row", REFUSALS, ids=[row[0] for row in REFUSALS])
def test_refusal_of_a_request_with_a_key(
    served: Fleet, entry: EntryHost, row: tuple
) -> None:
    """Report an unknown outcome if a request is refused before its claim is read.

    Guards against running a booking twice: the booking runs, its answer is lost, and
    the resend is refused as "not run" because the configuration has changed or because
    the resend did not arrive completely.  Such a refusal knows only of this sending,
    not of earlier ones.
    """
    name, start, line, key, status, code = row
    lines = [f"{start or BOOKING} HTTP/1.1", "Host: e"]
    if "Authorization" not in line:
        lines.append(f"Authorization: Bearer {served.keys_by_account['pawroute']}")
    if key is not None:
        lines.append(f"Idempotency-Key: {key or new_key()}")
    lines += [line] if line else []
    head = "\r\n".join([*lines, "", ""] if start else lines)
    with connected(entry) as sock:
        sock.sendall(head.encode())
        answer, body = read_answer(sock)
    error = json.loads(body)["error"]
    assert answer.status == status, body
    assert code in (None, error["code"])
    run_state = "not_run" if name in NOT_RUN else "outcome_unknown"
    assert error["run_state"] == run_state
