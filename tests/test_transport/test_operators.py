"""Test the paths of an entry host for operators and the balancer."""

from __future__ import annotations

import signal
from collections.abc import Callable

import httpx
import pytest
from prometheus_client.parser import text_string_to_metric_families

from ..processes import OPERATOR_KEY, PEER_KEY, EntryHost, Fleet, wait_until

CHAT = {"model": "notes", "messages": [{"role": "user", "content": "Is Rex home?"}]}


def chat(
    served: Fleet, entry: EntryHost, account: str = "pawroute", **fields: object
) -> httpx.Response:
    """Send one chat request."""
    headers = {"Authorization": f"Bearer {served.keys_by_account[account]}"}
    url = f"{entry.url}/v1/chat/completions"
    return httpx.post(url, headers=headers, json=CHAT | {"max_tokens": 3} | fields)


def test_alive_and_ready(entry: EntryHost) -> None:
    assert httpx.get(f"{entry.url}/healthz").json() == {"status": "alive"}
    assert httpx.get(f"{entry.url}/readyz").json() == {"status": "ready"}


def test_alive_but_not_ready_without_a_configuration(fleet: Fleet) -> None:
    """Answer 503 to the readiness probe, and to callers with ``Retry-After``."""
    fleet.start_platform()
    entry = fleet.start_entry("e1", zone="z")
    assert httpx.get(f"{entry.url}/healthz").status_code == 200
    assert httpx.get(f"{entry.url}/readyz").status_code == 503
    answer = httpx.get(f"{entry.url}/v1/models", headers={"Authorization": "Bearer x"})
    assert answer.status_code == 503
    assert answer.json()["error"]["code"] == "not_ready"
    assert int(answer.headers["Retry-After"]) >= 1


def test_metrics_are_valid_and_count(served: Fleet, entry: EntryHost) -> None:
    """Parse the metrics page with the parser of ``prometheus_client``."""

    def samples() -> dict[str, float]:
        answer = httpx.get(f"{entry.url}/metrics")
        assert answer.headers["Content-Type"].startswith("text/plain; version=0.0.4")
        found = {}
        for family in text_string_to_metric_families(answer.text):
            for sample in family.samples:
                label = next(iter(sample.labels.values()), "")
                found[f"{sample.name}{label and ':' + label}"] = sample.value
        return found

    chat(served, entry, stream=True)
    before = samples()
    chat(served, entry, stream=True)
    chat(served, entry, max_tokens=0)
    httpx.request("BREW", entry.url)
    after = samples()
    grown = {
        name: after[name] - before.get(name, 0)
        for name in (
            "ryelever_requests_total:answered",
            "ryelever_requests_total:invalid_request",
            "ryelever_refused_requests_total:method",
            "ryelever_first_token_seconds_count",
        )
    }
    assert set(grown.values()) == {1.0}, grown
    assert 0 < after["ryelever_first_token_seconds:0.5"] < 60
    assert after["ryelever_configuration_version"] >= 0


def test_dump_shows_the_current_state_with_ages(
    served: Fleet, entry: EntryHost
) -> None:
    """Show the group, its lease, its hosts and a request with two connections."""
    headers = {"Authorization": f"Bearer {served.keys_by_account['pawroute']}"}
    body = CHAT | {"max_tokens": 20_000, "stream": True}
    url = f"{entry.url}/v1/chat/completions"
    with httpx.stream("POST", url, headers=headers, json=body) as answer:
        parts = answer.iter_text()
        next(parts)
        state = entry.dump()
    (group,) = state["groups"]
    (request,) = state["requests"]
    assert group["whole"]
    assert request["target"] == group["group"]
    assert request["client_account"] == "pawroute"
    assert state["hosts"]["h0"]["group"] == group["group"]
    assert state["configuration"]["version"] == 0
    connections = state["connections"]
    assert request["request"] in [row["request"] for row in connections["callers"]]
    assert request["attempt"] in [row["request"] for row in connections["outgoing"]]
    aged = [
        group,
        request,
        *state["leases"].values(),
        *connections["callers"],
        *connections["outgoing"],
    ]
    assert all(row["for"] >= 0 for row in aged)


@pytest.mark.parametrize(
    "authorization",
    ["", "Bearer", "Bearer wrong", "Basic x", f"bearer {OPERATOR_KEY}x"],
)
def test_dump_needs_the_operator_key(entry: EntryHost, authorization: str) -> None:
    headers = {"Authorization": authorization} if authorization else {}
    answer = httpx.get(f"{entry.url}/dump", headers=headers)
    assert answer.status_code == 401
    assert answer.json()["error"]["step"] == "dump"


def test_dump_goes_to_the_log_on_a_signal(entry: EntryHost) -> None:
    entry.process.send(signal.SIGUSR1)
    logged = entry.process.wait_for_event("dump")
    assert logged["state"]["settings"]["host"] == "e1"


@pytest.mark.parametrize(
    "read",
    [
        lambda entry: str(entry.dump()),
        lambda entry: httpx.get(f"{entry.url}/metrics").text,
        lambda entry: "\n".join(entry.process.lines()),
    ],
    ids=["dump", "metrics", "log"],
)
def test_no_secret_is_shown(
    served: Fleet, entry: EntryHost, read: Callable[[EntryHost], str]
) -> None:
    """Show no key, and no hash of one, in the dump, the metrics and the log.

    Guards against a key in a log that many people can read: a caller sends its key in
    the wrong place, and the refused request is logged as received.
    """
    secrets = [OPERATOR_KEY, PEER_KEY, *served.keys_by_account.values()]
    key = served.keys_by_account["pawroute"]
    headers = {"Authorization": f"Bearer {key}x"}
    httpx.get(f"{entry.url}/v1/models", headers=headers)
    httpx.get(f"{entry.url}/v1/models", headers={"Authorization": key})
    httpx.get(f"{entry.url}/nothing?key={key}", headers=headers)
    chat(served, entry)
    chat(served, entry, messages="wrong")
    entry.process.send(signal.SIGUSR1)
    wait_until(lambda: entry.process.events("dump"), what="the dump is logged")
    shown = read(entry)
    assert [secret for secret in secrets if secret in shown] == []
    assert "key_hash" not in shown


def test_no_fault_was_logged(entry: EntryHost) -> None:
    """Find no unexpected exception in the log after the other tests of this module."""
    assert entry.process.events("fault") == []
