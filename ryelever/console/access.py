"""Sign operators in and out, and find the session of each request."""

from __future__ import annotations

from http.cookies import CookieError, SimpleCookie
from typing import TYPE_CHECKING

from ..logs import log_event
from .answers import redirect, render_page
from .forms import read_form
from .sessions import SESSION_LIFETIME, Session, Sessions, SignInLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..events import CallerAnswer, CallerRequest

__all__ = ["Access"]

COOKIE_NAME = "ryelever_console"

#: Longest name of an operator, in characters.
MAX_OPERATOR_LENGTH = 60

#: Fields that belong to a single form.  They are not copied into the sign-in form along
#: with a draft.
_NOT_CARRIED = frozenset({"token", "key", "operator"})


class Access:
    """Manage sign-in, sign-out and sessions of operators at one entry host.

    Parameters
    ----------
    wall_clock, clock : callable
        Return seconds since the epoch, used for sessions, and monotonic seconds, used
        for the limit on failed sign-ins.
    """

    def __init__(
        self,
        *,
        operator_key: str,
        wall_clock: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._sessions = Sessions(operator_key=operator_key)
        self._limit = SignInLimit()
        self._wall_clock = wall_clock
        self._clock = clock

    def session_of(self, request: CallerRequest) -> Session | None:
        """Return the session of a request, or None if its cookie is not valid."""
        try:
            cookies = SimpleCookie(request.headers.get("cookie", ""))
        except CookieError:
            return None
        morsel = cookies.get(COOKIE_NAME)
        token = morsel.value if morsel is not None else ""
        return self._sessions.check(token, now=self._wall_clock())

    def form_token(self, session: Session | None) -> str:
        """Return the form token of a session; empty without a session."""
        return self._sessions.form_token(session) if session is not None else ""

    def is_form_of_session(self, fields: dict[str, str], session: Session) -> bool:
        """Return whether a posted form contains the form token of this session."""
        return self._sessions.is_form_token(fields.get("token", ""), session)

    def refusal_page(
        self,
        request: CallerRequest,
        session: Session | None,
        message: str,
        *,
        status: int,
    ) -> CallerAnswer:
        """Return a page that states why the request was refused."""
        return render_page(
            request,
            "refusal.html",
            status=status,
            session=session,
            token=self.form_token(session),
            message=message,
        )

    def sign_in_again(
        self, request: CallerRequest, fields: dict[str, str]
    ) -> CallerAnswer:
        """Return a sign-in form that carries the posted draft along.

        A session can expire while its operator is editing.  After the sign-in the draft
        is only shown in the edit form, where the operator sees a forged draft before
        it can be published.
        """
        return self._sign_in_page(
            request,
            status=401,
            message="Your session has ended. Nothing was done; sign in to continue.",
            carried={
                name: value
                for name, value in fields.items()
                if name not in _NOT_CARRIED
            },
        )

    def sign_in(
        self,
        request: CallerRequest,
        on_signed_in: Callable[
            [CallerRequest, Session, dict[str, str], dict[str, str]], CallerAnswer
        ],
    ) -> CallerAnswer:
        """Show the sign-in form, or check a posted one.

        Parameters
        ----------
        on_signed_in : callable
            Return the answer to the request of an operator who has just signed in.
            Called with the request, the session, the carried fields and the headers of
            the answer.
        """
        if request.method != "POST":
            return self._sign_in_page(request)
        form = read_form(request.body)
        if form.is_error():
            return self._sign_in_page(request, status=400, message=form.error.message)
        fields = form.ok
        carried = {
            name.removeprefix("carried."): value
            for name, value in fields.items()
            if name.startswith("carried.")
        }
        wait = self._limit.retry_after(now=self._clock())
        if wait:
            return self._sign_in_page(
                request,
                status=429,
                message=f"Too many failed sign-ins. Try again in {wait:.0f} s.",
                headers={"Retry-After": f"{wait:.0f}"},
                carried=carried,
            )
        fault = self._sign_in_fault(request, fields)
        if fault:
            return self._sign_in_page(
                request, status=403, message=fault, carried=carried
            )
        operator = fields["operator"].strip()
        now = self._wall_clock()
        token = self._sessions.start(operator, now=now)
        log_event("signed_in", operator=operator, peer=request.peer)
        headers = {"Set-Cookie": _cookie(request, token, max_age=SESSION_LIFETIME)}
        return on_signed_in(
            request, self._sessions.check(token, now=now), carried, headers
        )

    def sign_out(self, request: CallerRequest) -> CallerAnswer:
        """Delete the session cookie and redirect to the sign-in form."""
        headers = {"Set-Cookie": _cookie(request, "", max_age=0)}
        return redirect(request, "/console/sign-in", headers=headers)

    def _sign_in_fault(self, request: CallerRequest, fields: dict[str, str]) -> str:
        if not self._sessions.is_operator_key(fields.get("key", "")):
            self._limit.record_failure()
            log_event("sign_in_failed", peer=request.peer)
            return "This is not the operator key."
        operator = fields.get("operator", "").strip()
        if (
            not operator
            or len(operator) > MAX_OPERATOR_LENGTH
            or not operator.isprintable()
        ):
            return f"Enter your name, in at most {MAX_OPERATOR_LENGTH} characters."
        return ""

    def _sign_in_page(
        self,
        request: CallerRequest,
        *,
        status: int = 200,
        message: str = "",
        headers: dict[str, str] | None = None,
        carried: dict[str, str] | None = None,
    ) -> CallerAnswer:
        return render_page(
            request,
            "sign_in.html",
            status=status,
            headers=headers,
            session=None,
            token="",
            enabled=self._sessions.enabled,
            message=message,
            carried=carried or {},
        )


def _cookie(request: CallerRequest, token: str, *, max_age: float) -> str:
    cookie = (
        f"{COOKIE_NAME}={token}; Path=/console; Max-Age={max_age:.0f}; "
        "HttpOnly; SameSite=Strict"
    )
    if request.headers.get("x-forwarded-proto", "").lower() == "https":
        cookie += "; Secure"
    return cookie
