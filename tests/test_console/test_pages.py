"""Test the console through its forms, without a process."""

from __future__ import annotations

import re
from collections.abc import Callable

import pytest

from ryelever.accounts import account_of
from ryelever.console.sessions import SESSION_LIFE
from ryelever.state.configuration import Configuration

from ..builders import declared
from .browser import Browser, Page
from .conftest import OPERATOR_KEY, Host


def _publish(browser: Browser, **changes: str) -> Page:
    return browser.publish(browser.review(**changes))


def test_change_is_reviewed_published_and_read_back(
    host: Host, browser: Browser
) -> None:
    review = browser.review(models__0__version="v2")
    assert "/models/notes/version" in review.text
    assert "v1" in review.text and "v2" in review.text
    assert host.fold.version == 0
    outcome = browser.publish(review)
    assert "Accepted as version 1" in outcome.text
    assert "In force on 1 of 1" in outcome.text
    assert host.fold.author == "ana"
    assert host.fold.configuration.models["notes"].version == "v2"


def test_every_section_can_be_added_through_the_form(
    host: Host, browser: Browser
) -> None:
    outcome = _publish(
        browser,
        models__1__name="receipts",
        models__1__version="r1",
        models__1__adapters="gate = g1\nhome = h2",
        client_accounts__0__name="pawroute",
        client_accounts__0__share="0.6",
        client_accounts__0__models="notes\nreceipts",
        services__0__name="bookings",
        services__0__non_repeatable="/bookings\n/charges",
        weights__group_downtime="0.8",
    )
    assert "Accepted" in outcome.text
    document = host.fold.configuration
    assert document.models["receipts"].adapters == {"gate": "g1", "home": "h2"}
    assert document.client_accounts["pawroute"].models == ("notes", "receipts")
    assert document.services["bookings"].non_repeatable == ("/bookings", "/charges")
    assert document.weights.group_downtime == 0.8


def test_entry_is_removed_by_its_checkbox(host: Host, browser: Browser) -> None:
    _publish(browser, models__0__remove="on")
    assert host.fold.configuration.models == {}


def test_key_is_shown_once_and_only_its_hash_is_published(
    host: Host, browser: Browser
) -> None:
    review = browser.review(client_accounts__0__name="pawroute")
    key = re.search(r"pawroute\.[\w-]{20,}", review.text)[0]
    again = browser.submit(review.form("/console/edit"))
    assert key not in again.text
    outcome = browser.publish(review)
    assert key not in outcome.text + browser.get("/console/document").text
    assert account_of(f"Bearer {key}", host.fold.configuration) == "pawroute"
    unchanged = browser.review()
    assert "nothing\nto publish" in unchanged.text.replace("there is ", "")
    new = browser.review(client_accounts__0__make_key="on")
    browser.publish(new)
    assert account_of(f"Bearer {key}", host.fold.configuration) is None


def test_every_fault_stands_beside_its_field_and_nothing_is_lost(
    host: Host, browser: Browser
) -> None:
    page = browser.review(
        models__0__n_groups="many",
        models__0__hosts_per_group="0",
        models__1__name="notes",
        models__1__version="v9",
        client_accounts__0__name="a b",
        client_accounts__0__share="1.5",
        weights__group_downtime="2",
    )
    assert page.status == 422
    fields = page.form("/console/review").fields
    assert fields["models.0.n_groups"] == "many"
    assert fields["client_accounts.0.name"] == "a b"
    assert page.text.count('class="faulty"') >= 5
    assert "one model of this name" in page.text
    assert host.fold.version == 0 and not host.appended
    mended = browser.submit(
        page.form("/console/review"),
        models__0__n_groups="2",
        models__0__hosts_per_group="4",
        models__1__name="other",
        client_accounts__0__name="ab",
        client_accounts__0__share="0.5",
        weights__group_downtime="1",
    )
    assert browser.publish(mended).status == 200
    assert host.fold.configuration.models["notes"].n_groups == 2


def test_rows_can_be_added_before_the_review(browser: Browser) -> None:
    page = browser.review(models__1__name="more", add="1")
    assert page.status == 200
    fields = page.form("/console/review").fields
    assert fields["models.1.name"] == "more" and fields["models.2.name"] == ""


def test_loser_of_a_race_sees_who_won_and_keeps_the_draft(
    host: Host, browser: Browser
) -> None:
    """Publish what somebody else has overtaken.

    Symptom: an operator's change vanishes, or undoes another's unseen.  Sequence:
    both review on version 0, the other one publishes first.  Cause: both drafts have
    one base, and only the first in the log can follow it.
    """
    review = browser.review(models__0__version="v2")
    host.publish(declared("w", model="notes"), author="caio")
    outcome = browser.publish(review)
    assert outcome.status == 409
    assert "version 1 by caio is in force" in outcome.text
    assert host.fold.configuration.models["notes"].version == "w"
    edit = browser.submit(outcome.form("/console/edit"))
    assert edit.form("/console/review").fields["models.0.version"] == "v2"
    second = browser.submit(edit.form("/console/review"))
    assert "would\nundo" in second.text and "by caio" not in second.text
    accepted = browser.publish(second)
    assert "Accepted as version 3" in accepted.text


def test_nothing_is_claimed_while_the_log_is_down(host: Host, browser: Browser) -> None:
    """Publish during an outage of the log, then again after it.

    Symptom: a change that was called published never takes effect, or counts twice.
    Sequence: the log is down, the operator publishes, the log comes back, the operator
    publishes again.  Cause: only reading the record back proves that it was taken.
    """
    host.log_is_up = False
    host.log_age = 30.0
    outcome = _publish(browser, models__0__version="v2")
    assert "Not read back yet" in outcome.text and "30 s ago" in outcome.text
    assert "Accepted" not in outcome.text
    host.log_is_up = True
    host.read_back()
    again = browser.publish(outcome)
    assert "Accepted as version 1" in again.text
    assert host.fold.version == 1
    assert "repeated append" in host.fold.ignored[-1].reason


def test_lost_answer_to_the_append_does_not_hide_success(
    host: Host, browser: Browser
) -> None:
    """Read back what was appended although its answer was lost.

    Symptom: the console reports a failure, the change is in force all the same.
    Sequence: the append takes effect, its answer is lost.  Cause: the outcome was
    taken from the answer.
    """
    host.log_is_up = False
    outcome = _publish(browser, models__0__version="v2")
    record_id = outcome.form("/console/publish").fields["record_id"]
    host.read_back()
    page = browser.get(f"/console/outcome?id={record_id}")
    assert "Accepted as version 1" in page.text
    host.publish(Configuration(), author="caio")
    page = browser.get(f"/console/outcome?id={record_id}")
    assert "replaced since" in page.text and "Version 2 by caio" in page.text


def test_next_request_may_reach_another_entry_host(
    host: Host, browser: Browser, new_host: Callable[[], Host]
) -> None:
    """Go on at an entry host that has read less of the log.

    Symptom: a draft is compared with, and published over, an old version.  Sequence:
    the balancer sends the review to a host that lags.  Cause: its version is not the
    one that the draft began with.
    """
    edit = browser.get("/console/edit").form("/console/review")
    other = new_host()
    browser.exchange = other.exchange
    behind = browser.submit(edit, models__0__version="v2")
    assert "has not read yet" in behind.text
    assert all(form.action != "/console/publish" for form in behind.forms)
    other.publish(declared(model="notes"), author="bia")
    review = browser.submit(edit, models__0__version="v2")
    assert "Accepted" in browser.publish(review).text


@pytest.mark.parametrize("token", ["", "0" * 64, "é"])
def test_forged_form_does_nothing(host: Host, browser: Browser, token: str) -> None:
    """Post a form that another site has made.

    Symptom: a configuration that no operator wrote is in force.  Sequence: a
    signed-in operator opens a page that posts a form to the console.  Cause: the
    browser sends the cookie along.
    """
    form = browser.review(models__0__version="v2").form("/console/publish")
    page = browser.submit(form, token=token)
    assert page.status == 403 and "nothing was done" in page.text
    assert host.fold.version == 0 and not host.appended
    assert page.form("/console/review").fields["models.0.version"] == "v2"


def test_form_of_another_session_is_refused(
    host: Host, browser: Browser, new_host: Callable[[], Host]
) -> None:
    form = browser.review(models__0__version="v2").form("/console/publish")
    browser.sign_in(key=OPERATOR_KEY)
    assert browser.submit(form).status == 403
    assert host.fold.version == 0


def test_expired_session_keeps_the_draft(host: Host, browser: Browser) -> None:
    """Send a form after the session has ended.

    Symptom: an hour of editing is lost.  Sequence: the session expires, the operator
    sends the form and has to sign in.  Cause: the form was dropped on the way.
    """
    edit = browser.get("/console/edit").form("/console/review")
    host.now += SESSION_LIFE
    page = browser.submit(edit, models__0__version="v2")
    assert page.status == 401 and host.fold.version == 0
    again = browser.submit(
        page.form("/console/sign-in"), operator="ana", key=OPERATOR_KEY
    )
    assert again.form("/console/review").fields["models.0.version"] == "v2"
    review = browser.submit(again.form("/console/review"))
    assert "Accepted" in browser.publish(review).text


def test_values_are_escaped(host: Host, browser: Browser) -> None:
    """Name things after markup.

    Symptom: a name runs as a script in the next operator's browser.  Sequence: it is
    typed into a form, or comes with a record.  Cause: values were written into pages
    as they stood.
    """
    evil = '"><script>alert(1)</script>'
    pages = [
        browser.review(
            models__0__name=evil,
            models__0__version=evil,
            models__0__adapters=evil,
            client_accounts__0__name=evil,
            client_accounts__0__key_hash=evil,
            base_version=evil,
            weights__group_downtime=evil,
        ),
        browser.get(f"/console/outcome?id={evil.replace(' ', '')}"),
    ]
    browser.sign_in(key=OPERATOR_KEY, operator=evil)
    pages.append(_publish(browser, models__0__version="v2"))
    pages += [browser.get(f"/console/{name}") for name in ("document", "status")]
    for page in pages:
        assert "script" not in page.tags and "<script" not in page.text
    assert pages[0].form("/console/review").fields["models.0.name"] == evil
    assert host.fold.author == evil


def test_document_in_force_that_holds_markup_is_escaped(
    host: Host, browser: Browser
) -> None:
    host.fold.configuration = declared("<b>", model="<script>")
    for name in ("document", "edit"):
        page = browser.get(f"/console/{name}")
        assert "script" not in page.tags and "&lt;script&gt;" in page.text


def test_pages_carry_security_headers(browser: Browser) -> None:
    headers = browser.get("/console/document").headers
    assert "default-src 'none'" in headers["content-security-policy"]
    assert "script-src" not in headers["content-security-policy"]
    assert headers["x-content-type-options"] == "nosniff"
    assert headers["cache-control"] == "no-store"


@pytest.mark.parametrize(
    "path",
    ["/console/document", "/console/status", "/console/edit", "/console/outcome?id=x"],
)
def test_pages_need_a_session(host: Host, path: str) -> None:
    page = Browser(exchange=host.exchange).get(path)
    assert "Operator key" in page.text and "notes" not in page.text


@pytest.mark.parametrize("key", ["", "wrong", OPERATOR_KEY + "x", "\udcff"])
def test_wrong_key_signs_nobody_in(host: Host, key: str) -> None:
    browser = Browser(exchange=host.exchange)
    page = browser.sign_in(key=key.encode("utf-8", "replace").decode())
    assert page.status == 403 and not browser.cookie


def test_failed_sign_ins_are_bounded(host: Host) -> None:
    """Try keys without end.

    Symptom: somebody guesses the operator key.  Sequence: thousands of sign-ins a
    second.  Cause: each was looked at.
    """
    browser = Browser(exchange=host.exchange)
    statuses = [browser.sign_in(key="wrong").status for _ in range(7)]
    assert statuses == [403] * 5 + [429] * 2
    assert browser.sign_in(key=OPERATOR_KEY).status == 429
    host.now += 10
    assert browser.sign_in(key=OPERATOR_KEY).status == 200


def test_console_without_a_key_is_off(new_host: Callable[..., Host]) -> None:
    browser = Browser(exchange=new_host(operator_key="").exchange)
    assert browser.sign_in(key="").status == 403
    assert "switched off" in browser.get("/console").text


def test_sign_out_ends_the_session(browser: Browser) -> None:
    page = browser.get("/console/document")
    assert "Operator key" in browser.submit(page.form("/console/sign-out")).text
    assert "Operator key" in browser.get("/console/document").text


def test_oversized_form_is_refused(host: Host, browser: Browser) -> None:
    page = browser.review(models__0__adapters="a = b\n" * 100_000)
    assert page.status == 413 and "smaller steps" in page.text
    assert host.fold.version == 0


@pytest.mark.parametrize(
    "changes",
    [{"document": "{"}, {"document": "{}", "record_id": "x"}, {"document": ""}],
)
def test_damaged_form_publishes_nothing(
    host: Host, browser: Browser, changes: dict[str, str]
) -> None:
    form = browser.review(models__0__version="v2").form("/console/publish")
    assert browser.submit(form, **changes).status == 400
    assert not host.appended and host.fold.version == 0
