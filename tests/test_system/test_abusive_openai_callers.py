"""Test the OpenAI interface and the console before callers that break limits."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping

import pytest

from ..abusive_callers import (
    BEHAVIOURS,
    MACHINE,
    Door,
    OrdinaryCallers,
    ReadinessProbe,
    play_beside_ordinary_callers,
    request_of,
)
from ..processes import EntryHost, Fleet, running_fleet, wait_until

#: Maximum bytes of a request's head at this interface.
MAX_HEAD = 16 * 1024

TARGET_BY_DOOR = {
    "route": "/v1/chat/completions",
    "no-route": "/nowhere",
    "ready": "/readyz",
    "metrics": "/metrics",
    "console": "/console/sign-in",
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with running_fleet(tmp_path_factory.mktemp("abusive-openai")) as running:
        running.start_world(entries=("e0",))
        yield running


@pytest.fixture
def entry(fleet: Fleet) -> Iterator[EntryHost]:
    started = fleet.start_entry(f"e{len(fleet.entries_by_name)}", zone="z")
    wait_until(lambda: started.n_complete_groups() == 1, what="the group is complete")
    yield started
    started.process.kill()


def _authorization(fleet: Fleet) -> dict[str, str]:
    return {"Authorization": f"Bearer {fleet.keys_by_account['pawroute']}"}


def _ordinary_callers(fleet: Fleet, entry: EntryHost) -> OrdinaryCallers:
    body = {
        "model": "notes",
        "messages": [{"role": "user", "content": "x" * 6000}],
        "max_tokens": 5,
    }

    def call(request_id: str, timeout: float) -> tuple[int, Mapping[str, str]]:
        return request_of(
            entry.address,
            "POST",
            TARGET_BY_DOOR["route"],
            timeout=timeout,
            headers=_authorization(fleet),
            body=json.dumps(body).encode(),
        )

    return OrdinaryCallers(call=call)


@pytest.mark.parametrize("door", TARGET_BY_DOOR)
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_ordinary_callers_are_served_beside_a_crowd(
    fleet: Fleet,
    entry: EntryHost,
    behaviour: str,
    door: str,
    record_property: Callable[[str, object], None],
) -> None:
    """Guard against callers that use up a host's memory, time, places or descriptors.

    Nothing of what the crowd sends can run, whether it is refused or not.
    """
    headers = _authorization(fleet) | {"Host": "entry.example"}
    play_beside_ordinary_callers(
        behaviour,
        door=Door(
            address=entry.address,
            target=TARGET_BY_DOOR[door],
            headers=tuple(headers.items()),
            max_head=MAX_HEAD,
        ),
        process=entry.process,
        machine=MACHINE,
        addresses=[entry.address],
        ordinary=_ordinary_callers(fleet, entry),
        probe=ReadinessProbe(address=entry.address, target=TARGET_BY_DOOR["ready"]),
        record=record_property,
    )
