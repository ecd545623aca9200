"""Test the console through its forms, without starting processes."""

from __future__ import annotations

import re
from collections.abc import Callable

import pytest

from ryelever.accounts import account_of
from ryelever.console.sessions import SESSION_LIFETIME
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


def test_entries_of_every_section_can_be_added_through_the_form(
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


def test_faults_are_shown_beside_their_fields_and_input_is_kept(
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
    assert "only one model with this name" in page.text
    assert host.fold.version == 0 and not host.appended
    corrected = browser.submit(
        page.form("/console/review"),
        models__0__n_groups="2",
        models__0__hosts_per_group="4",
        models__1__name="other",
        client_accounts__0__name="ab",
        client_accounts__0__share="0.5",
        weights__group_downtime="1",
    )
    assert browser.publish(corrected).status == 200
    assert host.fold.configuration.models["notes"].n_groups == 2


def test_rows_can_be_added_before_the_review(browser: Browser) -> None:
    page = browser.review(models__1__name="more", add="1")
    assert page.status == 200
    fields = page.form("/console/review").fields
    assert fields["models.1.name"] == "more" and fields["models.2.name"] == ""


def test_rejected_publication_names_the_winner_and_keeps_the_draft(
    host: Host, browser: Browser
) -> None:
    """Publish a draft after another operator has published.

    Two operators review drafts of version 0, and the other operator publishes first.
    Only the first publication in the log can replace version 0.  Without the
    rejection, one change is lost, or undoes the other one unnoticed.
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


def test_publication_is_not_called_accepted_while_the_log_is_down(
    host: Host, browser: Browser
) -> None:
    """Publish during an outage of the log, and again after the outage.

    Only reading the record back proves that it was appended.  A console that does not
    wait for this reports a change as published that never takes effect, or that
    takes effect twice when the operator publishes again.
    """
    host.log_available = False
    host.log_age = 30.0
    outcome = _publish(browser, models__0__version="v2")
    assert "Not read back yet" in outcome.text and "30 s ago" in outcome.text
    assert "Accepted" not in outcome.text
    host.log_available = True
    host.read_back()
    again = browser.publish(outcome)
    assert "Accepted as version 1" in again.text
    assert host.fold.version == 1
    assert "repeated append" in host.fold.ignored[-1].reason


def test_append_with_a_lost_answer_is_reported_as_accepted(
    host: Host, browser: Browser
) -> None:
    """Read a publication back from the log after the answer to its append was lost.

    A console that takes the outcome from the answer to the append reports a failure
    although the change is in force.
    """
    host.log_available = False
    outcome = _publish(browser, models__0__version="v2")
    record_id = outcome.form("/console/publish").fields["record_id"]
    host.read_back()
    page = browser.get(f"/console/outcome?id={record_id}")
    assert "Accepted as version 1" in page.text
    host.publish(Configuration(), author="caio")
    page = browser.get(f"/console/outcome?id={record_id}")
    assert "replaced since" in page.text and "Version 2 by caio" in page.text


def test_review_at_a_lagging_entry_host_cannot_be_published(
    host: Host, browser: Browser, new_host: Callable[[], Host]
) -> None:
    """Review a draft at an entry host that has read less of the log.

    The balancer may send the review to an entry host whose version is older than the
    one that the draft is based on.  That host would compare the draft with the old
    version and publish over it.
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
def test_forged_form_is_refused(host: Host, browser: Browser, token: str) -> None:
    """Post a form that another site has made.

    A signed-in operator opens a page of another site that posts a form to the console,
    and the browser sends the session cookie along.  Without the form token, a
    configuration that no operator wrote comes into force.
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
    """Submit a form after the session has expired.

    The operator has to sign in again.  If the sign-in dropped the posted form, an hour
    of editing would be lost.
    """
    edit = browser.get("/console/edit").form("/console/review")
    host.now += SESSION_LIFETIME
    page = browser.submit(edit, models__0__version="v2")
    assert page.status == 401 and host.fold.version == 0
    again = browser.submit(
        page.form("/console/sign-in"), operator="ana", key=OPERATOR_KEY
    )
    assert again.form("/console/review").fields["models.0.version"] == "v2"
    review = browser.submit(again.form("/console/review"))
    assert "Accepted" in browser.publish(review).text


def test_values_are_escaped(host: Host, browser: Browser) -> None:
    """Enter markup as names and values.

    A value that is written into a page without escaping runs as a script in the next
    operator's browser.  Values come from forms and from records of the log.
    """
    markup = '"><script>alert(1)</script>'
    pages = [
        browser.review(
            models__0__name=markup,
            models__0__version=markup,
            models__0__adapters=markup,
            client_accounts__0__name=markup,
            client_accounts__0__key_hash=markup,
            base_version=markup,
            weights__group_downtime=markup,
        ),
        browser.get(f"/console/outcome?id={markup.replace(' ', '')}"),
    ]
    browser.sign_in(key=OPERATOR_KEY, operator=markup)
    pages.append(_publish(browser, models__0__version="v2"))
    pages += [browser.get(f"/console/{name}") for name in ("document", "status")]
    for page in pages:
        assert "script" not in page.tags and "<script" not in page.text
    assert pages[0].form("/console/review").fields["models.0.name"] == markup
    assert host.fold.author == markup


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
def test_wrong_operator_key_is_refused(host: Host, key: str) -> None:
    browser = Browser(exchange=host.exchange)
    page = browser.sign_in(key=key.encode("utf-8", "replace").decode())
    assert page.status == 403 and not browser.cookie


def test_failed_sign_ins_are_rate_limited(host: Host) -> None:
    """Sign in with wrong keys repeatedly.

    If every attempt were checked, the operator key could be guessed with thousands of
    sign-ins per second.
    """
    browser = Browser(exchange=host.exchange)
    statuses = [browser.sign_in(key="wrong").status for _ in range(7)]
    assert statuses == [403] * 5 + [429] * 2
    assert browser.sign_in(key=OPERATOR_KEY).status == 429
    host.now += 10
    assert browser.sign_in(key=OPERATOR_KEY).status == 200


def test_console_without_an_operator_key_is_disabled(
    new_host: Callable[..., Host],
) -> None:
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
