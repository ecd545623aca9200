"""Build the console's HTTP answers: pages rendered from templates, and headers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from ..events import CallerAnswer

if TYPE_CHECKING:
    import jinja2

    from ..events import CallerRequest

__all__ = ["redirect", "render_page", "style_sheet"]

#: Browsers run no scripts, post forms to the console only, and refuse to show its pages
#: in frames of other sites.
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


def render_page(
    request: CallerRequest,
    template: str,
    *,
    status: int = 200,
    headers: dict[str, str] | None = None,
    **context: Any,
) -> CallerAnswer:
    """Return an HTML page rendered from a template."""
    text = _environment().get_template(template).render(context)
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
    """Return a redirect that the browser follows with GET."""
    return CallerAnswer(
        request_id=request.request_id,
        status=303,
        body=b"",
        content_type="text/plain; charset=utf-8",
        headers=_SECURITY_HEADERS | {"Location": path} | (headers or {}),
    )


def style_sheet(request: CallerRequest) -> CallerAnswer:
    """Return the style sheet of the console."""
    text = _environment().get_template("console.css").render()
    return CallerAnswer(
        request_id=request.request_id,
        status=200,
        body=text.encode(),
        content_type="text/css; charset=utf-8",
        headers=_SECURITY_HEADERS | {"Cache-Control": "max-age=300"},
    )


@functools.cache
def _environment() -> jinja2.Environment:
    # Import Jinja when the first page is shown: most entry hosts never show one.
    import jinja2

    return jinja2.Environment(
        loader=jinja2.PackageLoader("ryelever"),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
