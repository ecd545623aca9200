"""Sign operators in and out, and tell whose request it is."""

from __future__ import annotations

from http.cookies import CookieError, SimpleCookie
from typing import TYPE_CHECKING

from ..logs import log_event
from .answers import page, redirect
from .forms import read_form
from .sessions import SESSION_LIFE, Session, Sessions, SignInLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..events import CallerAnswer, CallerRequest

__all__ = ["Access"]

COOKIE = "ryelever_console"

#: Longest name of an operator.
MAX_OPERATOR = 60

#: What a form needs for itself and must not be carried through a sign-in.
_NOT_CARRIED = frozenset({"token", "key", "operator"})


class Access:
    """Own the sign-in of one entry host.

    Parameters
    ----------
    wall_clock, clock : callable
        Seconds since the epoch, for sessions; monotonic seconds, for the limit.
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
        """Return the session that a request belongs to, if there is one."""
        try:
            cookies = SimpleCookie(request.headers.get("cookie", ""))
        except CookieError:
            return None
        morsel = cookies.get(COOKIE)
        token = morsel.value if morsel is not None else ""
        return self._sessions.check(token, now=self._wall_clock())

    def form_token(self, session: Session | None) -> str:
        """Return what each form of a session carries; empty without a session."""
        return self._sessions.form_token(session) if session is not None else ""

    def is_own_form(self, fields: dict[str, str], session: Session) -> bool:
        """Tell whether a posted form was made for this session."""
        return self._sessions.is_form_token(fields.get("token", ""), session)

    def told(
        self,
        request: CallerRequest,
        session: Session | None,
        message: str,
        *,
        status: int,
    ) -> CallerAnswer:
        """Say on a page of its own why nothing was done."""
        return page(
            request,
            "told.html",
            status=status,
            session=session,
            token=self.form_token(session),
            message=message,
        )

    def sign_in_again(
        self, request: CallerRequest, fields: dict[str, str]
    ) -> CallerAnswer:
        """Ask for a sign-in that takes the posted draft along.

        A session can expire while its operator edits.  The draft only ever comes
        back into the edit form, so that a forged one is seen before it can count.
        """
        return self._page(
            request,
            status=401,
            message="Your session has ended. Nothing was done; sign in to go on.",
            carried={
                name: value
                for name, value in fields.items()
                if name not in _NOT_CARRIED
            },
        )

    def sign_in(
        self,
        request: CallerRequest,
        go_on: Callable[
            [CallerRequest, Session, dict[str, str], dict[str, str]], CallerAnswer
        ],
    ) -> CallerAnswer:
        """Show the sign-in form, or check it.

        Parameters
        ----------
        go_on : callable
            Answer the request of an operator who has just signed in; takes the
            request, the session, the carried fields and the answer's headers.
        """
        if request.method != "POST":
            return self._page(request)
        form = read_form(request.body)
        if form.is_error():
            return self._page(request, status=400, message=form.error.message)
        fields = form.ok
        carried = {
            name.removeprefix("carried."): value
            for name, value in fields.items()
            if name.startswith("carried.")
        }
        wait = self._limit.wait(now=self._clock())
        if wait:
            return self._page(
                request,
                status=429,
                message=f"Too many failed sign-ins. Try again in {wait:.0f} s.",
                headers={"Retry-After": f"{wait:.0f}"},
                carried=carried,
            )
        fault = self._fault(request, fields)
        if fault:
            return self._page(request, status=403, message=fault, carried=carried)
        operator = fields["operator"].strip()
        now = self._wall_clock()
        token = self._sessions.start(operator, now=now)
        log_event("signed_in", operator=operator, peer=request.peer)
        headers = {"Set-Cookie": _cookie(request, token, max_age=SESSION_LIFE)}
        return go_on(request, self._sessions.check(token, now=now), carried, headers)

    def sign_out(self, request: CallerRequest) -> CallerAnswer:
        """Take the cookie back."""
        headers = {"Set-Cookie": _cookie(request, "", max_age=0)}
        return redirect(request, "/console/sign-in", headers=headers)

    def _fault(self, request: CallerRequest, fields: dict[str, str]) -> str:
        if not self._sessions.is_key(fields.get("key", "")):
            self._limit.failed()
            log_event("sign_in_failed", peer=request.peer)
            return "This is not the operator key."
        operator = fields.get("operator", "").strip()
        if not operator or len(operator) > MAX_OPERATOR or not operator.isprintable():
            return f"Give your name, in at most {MAX_OPERATOR} characters."
        return ""

    def _page(
        self,
        request: CallerRequest,
        *,
        status: int = 200,
        message: str = "",
        headers: dict[str, str] | None = None,
        carried: dict[str, str] | None = None,
    ) -> CallerAnswer:
        return page(
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
        f"{COOKIE}={token}; Path=/console; Max-Age={max_age:.0f}; "
        "HttpOnly; SameSite=Strict"
    )
    if request.headers.get("x-forwarded-proto", "").lower() == "https":
        cookie += "; Secure"
    return cookie
