"""Simulate a browser without scripts that reads the console's pages and forms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from html.parser import HTMLParser

__all__ = ["Browser", "Form", "Page"]


@dataclass(slots=True, kw_only=True)
class Form:
    """A form of a page, with the field values that a browser would submit."""

    action: str
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Page:
    """An HTTP answer; for HTML, with its forms and tags."""

    status: int
    headers: dict[str, str]
    text: str
    forms: list[Form] = field(default_factory=list)
    tags: list[str] = field(default_factory=list)

    def form(self, action: str) -> Form:
        """Return the form that is submitted to this path."""
        return next(form for form in self.forms if form.action == action)


class _Reader(HTMLParser):
    def __init__(self, page: Page) -> None:
        super().__init__()
        self._page = page
        self._textarea = ""

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        values = {name: value or "" for name, value in attrs}
        self._page.tags.append(tag)
        if tag == "form":
            self._page.forms.append(Form(action=values["action"]))
        elif tag == "textarea":
            self._textarea = values["name"]
            self._page.forms[-1].fields[self._textarea] = ""
        elif tag == "input":
            checkbox = values.get("type") == "checkbox"
            if not checkbox or "checked" in values:
                self._page.forms[-1].fields[values["name"]] = values.get("value", "on")

    def handle_endtag(self, tag: str) -> None:
        if tag == "textarea":
            self._textarea = ""

    def handle_data(self, data: str) -> None:
        if self._textarea:
            self._page.forms[-1].fields[self._textarea] += data


#: Sends a request with method, path, form fields and cookie; returns the status, the
#: headers and the text of the answer.
Exchange = Callable[
    [str, str, "dict[str, str] | None", str], tuple[int, dict[str, str], str]
]


@dataclass(slots=True, kw_only=True)
class Browser:
    """Send requests, store the session cookie and follow redirects.

    Attributes
    ----------
    exchange : callable
        Function that reaches one entry host.  Replace it to continue at another one.
    """

    exchange: Exchange
    cookie: str = ""

    def get(self, path: str) -> Page:
        return self._send("GET", path, None)

    def post(self, path: str, fields: dict[str, str]) -> Page:
        return self._send("POST", path, fields)

    def submit(self, form: Form, **changes: str) -> Page:
        """Submit a form with changed fields; ``__`` in a keyword stands for a dot."""
        edits = {name.replace("__", "."): value for name, value in changes.items()}
        return self.post(form.action, form.fields | edits)

    def review(self, **changes: str) -> Page:
        """Open the edit form, change some fields and return the review page."""
        page = self.get("/console/edit")
        return self.submit(page.form("/console/review"), **changes)

    def publish(self, page: Page) -> Page:
        """Submit the publish form of a page."""
        return self.submit(page.form("/console/publish"))

    def sign_in(self, *, key: str, operator: str = "ana") -> Page:
        return self.post("/console/sign-in", {"operator": operator, "key": key})

    def _send(self, method: str, path: str, fields: dict[str, str] | None) -> Page:
        status, headers, text = self.exchange(method, path, fields, self.cookie)
        headers = {name.lower(): value for name, value in headers.items()}
        if "set-cookie" in headers:
            self.cookie = headers["set-cookie"].partition(";")[0]
        if status == 303:
            return self.get(headers["location"])
        page = Page(status=status, headers=headers, text=text)
        if "html" in headers["content-type"]:
            _Reader(page).feed(text)
        return page
