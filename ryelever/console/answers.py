"""Compose the console's answers: pages from templates, with their headers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from ..events import CallerAnswer

if TYPE_CHECKING:
    import jinja2

    from ..events import CallerRequest

__all__ = ["page", "redirect", "style_sheet"]

#: Scripts never run, forms go nowhere else, and no other site may frame a page.
_SECURITY_HEADERS = {
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'"
    ),
    "X-Content-Type-Options": "nosniff",
    "X-Frame-Options": "DENY",
    "Referrer-Policy": "no-referrer",
    "Cache-Control": "no-store",
}


def page(
    request: CallerRequest,
    template: str,
    *,
    status: int = 200,
    headers: dict[str, str] | None = None,
    **context: Any,
) -> CallerAnswer:
    """Return a page made from a template."""
    text = _templates().get_template(template).render(context)
    return CallerAnswer(
        request_id=request.request_id,
        status=status,
        body=text.encode("utf-8", "replace"),
        content_type="text/html; charset=utf-8",
        headers=_SECURITY_HEADERS | (headers or {}),
    )


def redirect(
    request: CallerRequest, path: str, *, headers: dict[str, str] | None = None
) -> CallerAnswer:
    """Send the browser on to a page, to be read by GET."""
    return CallerAnswer(
        request_id=request.request_id,
        status=303,
        body=b"",
        content_type="text/plain; charset=utf-8",
        headers=_SECURITY_HEADERS | {"Location": path} | (headers or {}),
    )


def style_sheet(request: CallerRequest) -> CallerAnswer:
    """Return the style sheet."""
    text = _templates().get_template("console.css").render()
    return CallerAnswer(
        request_id=request.request_id,
        status=200,
        body=text.encode(),
        content_type="text/css; charset=utf-8",
        headers=_SECURITY_HEADERS | {"Cache-Control": "max-age=300"},
    )


@functools.cache
def _templates() -> jinja2.Environment:
    # Imported with the first page: most entry hosts never show one.
    import jinja2

    return jinja2.Environment(
        loader=jinja2.PackageLoader("ryelever"),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
