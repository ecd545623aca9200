"""Test the console with processes of entry hosts and the log stand-in."""

from __future__ import annotations

import httpx
import pytest

from ..processes import (
    OPERATOR_KEY,
    EntryHost,
    Fleet,
    free_udp_addresses,
    wait_until,
)
from .browser import Browser


def _exchange(entry: EntryHost) -> object:
    def exchange(
        method: str, path: str, fields: dict[str, str] | None, cookie: str
    ) -> tuple[int, dict[str, str], str]:
        headers = {"Cookie": cookie} if cookie else {}
        answer = httpx.request(
            method, f"{entry.url}{path}", data=fields, headers=headers, timeout=30
        )
        return answer.status_code, dict(answer.headers), answer.text

    return exchange


@pytest.fixture
def browsers(fleet: Fleet) -> list[Browser]:
    """Return a signed-in browser at each of two entry hosts."""
    fleet.start_platform()
    fleet.publish({"models": {"notes": {"version": "v1"}}})
    browsers = []
    peers = free_udp_addresses(2)
    for name, address in zip(("e1", "e2"), peers, strict=True):
        entry = fleet.start_entry(name, zone="z", peers_address=address, peers=peers)
        wait_until(
            lambda entry=entry: entry.dump()["configuration"]["version"] == 0,
            what=f"{name} has the configuration",
        )
        browser = Browser(exchange=_exchange(entry))
        assert browser.sign_in(key=OPERATOR_KEY, operator=name).status == 200
        browsers.append(browser)
    return browsers


def _versions(fleet: Fleet) -> list[int]:
    return [
        entry.dump()["configuration"]["version"]
        for entry in fleet.entries_by_name.values()
    ]


def test_two_operators_race_and_one_wins(fleet: Fleet, browsers: list[Browser]) -> None:
    """Publish drafts of the same version at two entry hosts.

    Two operators review drafts of version 0 at two entry hosts, and both publish.
    Neither host knows of the other publication when it sends its own.  If both
    publications counted, a change that was reported as accepted would be lost.
    """
    reviews = [
        browser.review(models__0__version=version)
        for browser, version in zip(browsers, ("v2", "v3"), strict=True)
    ]
    first = browsers[0].publish(reviews[0])
    assert "Accepted as version 1" in first.text
    second = browsers[1].publish(reviews[1])
    assert second.status == 409 and "version 1 by e1 is in force" in second.text
    wait_until(lambda: _versions(fleet) == [1, 1], what="version 1 is everywhere")


def test_session_is_valid_at_every_entry_host(browsers: list[Browser]) -> None:
    edit = browsers[0].get("/console/edit").form("/console/review")
    browsers[0].exchange = browsers[1].exchange
    review = browsers[0].submit(edit, models__0__n_groups="2")
    outcome = browsers[0].publish(review)
    assert "Accepted as version 1" in outcome.text
    wait_until(
        lambda: "In force on 2 of 2" in browsers[0].get("/console/document").text,
        what="the page counts both entry hosts",
    )


def test_outage_and_lost_answers_are_not_reported_as_accepted(
    fleet: Fleet, browsers: list[Browser]
) -> None:
    """Publish while the log is down, and while its answers are lost.

    The log first refuses every call, and later appends records but loses the answers.
    If the answer to the append decided the reported outcome, a change could be
    reported as published that is in force nowhere.
    """
    browser = browsers[0]
    review = browser.review(models__0__version="v2")
    fleet.control("log", outage=True)
    outcome = browser.publish(review)
    assert outcome.status == 200 and "Not read back yet" in outcome.text
    fleet.control("log", outage=False, lose_append_answers=True)
    page = outcome

    def is_accepted() -> bool:
        # Entry hosts pause for longer between reads of the log after an outage.  A page
        # that is answered before the next read reports no outcome, and its publication
        # can be sent again under the same id.
        nonlocal page
        page = browser.publish(page)
        accepted = "Accepted as version 1" in page.text
        assert accepted or "Not read back yet" in page.text
        return accepted

    wait_until(is_accepted, what="the publication is accepted")
    wait_until(lambda: _versions(fleet) == [1, 1], what="version 1 is everywhere")


def test_oversized_and_unsigned_posts_are_refused(
    fleet: Fleet, browsers: list[Browser]
) -> None:
    url = fleet.entries_by_name["e1"].url
    stranger = httpx.post(f"{url}/console/publish", data={"document": "{}"})
    assert stranger.status_code == 401
    assert httpx.get(f"{url}/console/status").status_code == 303
    too_long = httpx.post(f"{url}/console/review", content=b"a=" + b"x" * (5 << 20))
    assert too_long.status_code == 413
    assert _versions(fleet) == [0, 0]
