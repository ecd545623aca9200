"""Sign operators in, and protect their forms against forgery.

Any entry host may get an operator's next request, and none keeps anything.  A
session is therefore a signed token in a cookie; every entry host derives the same
signing key from the operator key and so accepts it.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import secrets
from dataclasses import dataclass

import msgspec

__all__ = ["Session", "Sessions", "SignInLimit"]

#: Seconds for which a session lasts.
SESSION_LIFE = 3600.0

#: Seconds by which the clocks of two entry hosts may differ.
MAX_CLOCK_SKEW = 60.0

#: Failed sign-ins that are answered at once, and seconds after which one more is.
N_FAILED_AT_ONCE = 5
FAILED_INTERVAL = 10.0

#: Longest cookie that is looked at, in bytes.
MAX_TOKEN = 1024


@dataclass(slots=True, kw_only=True, frozen=True)
class Session:
    """Hold what a session token says.

    Attributes
    ----------
    operator : str
        Name that the operator gave; the author of what is published.
    nonce : str
        Makes each session's form token a different one.
    started_at : float
        Wall-clock time, seconds since the epoch: hosts share no other clock.
    """

    operator: str
    nonce: str
    started_at: float


class Sessions:
    """Sign and check session tokens and the form tokens bound to them.

    Parameters
    ----------
    operator_key : str
        Key from the settings; nobody can sign in while it is empty.
    """

    def __init__(self, *, operator_key: str) -> None:
        self._operator_key = operator_key.encode()
        self._signing_key = _derived(self._operator_key, b"console session")
        self._form_key = _derived(self._operator_key, b"console form")

    @property
    def enabled(self) -> bool:
        """Tell whether there is a key to sign in with."""
        return bool(self._operator_key)

    def is_key(self, given: str) -> bool:
        """Tell in constant time whether this is the operator key."""
        return self.enabled and hmac.compare_digest(
            _derived(self._operator_key, b"compare"),
            _derived(given.encode("utf-8", "surrogatepass"), b"compare"),
        )

    def start(self, operator: str, *, now: float) -> str:
        """Return the token of a new session."""
        session = Session(
            operator=operator, nonce=secrets.token_urlsafe(16), started_at=now
        )
        content = base64.urlsafe_b64encode(msgspec.json.encode(session))
        return f"{content.decode()}.{self._signature(content)}"

    def check(self, token: str, *, now: float) -> Session | None:
        """Return the session of a token that is genuine and has not expired."""
        content, _, signature = token.partition(".")
        if not self.enabled or len(token) > MAX_TOKEN or not token.isascii():
            return None
        if not hmac.compare_digest(signature, self._signature(content.encode())):
            return None
        try:
            session = msgspec.json.decode(
                base64.urlsafe_b64decode(content), type=Session
            )
        except (binascii.Error, msgspec.DecodeError):
            return None
        age = now - session.started_at
        return session if -MAX_CLOCK_SKEW <= age < SESSION_LIFE else None

    def form_token(self, session: Session) -> str:
        """Return the token that every form of this session carries."""
        content = msgspec.json.encode(session)
        return hmac.new(self._form_key, content, hashlib.sha256).hexdigest()

    def is_form_token(self, given: str, session: Session) -> bool:
        """Tell whether a form was made for this session.

        Another site can make a browser send the cookie along with a form of its
        own; it cannot read this token, though.
        """
        return given.isascii() and hmac.compare_digest(given, self.form_token(session))

    def _signature(self, content: bytes) -> str:
        return hmac.new(self._signing_key, content, hashlib.sha256).hexdigest()


class SignInLimit:
    """Bound the rate of failed sign-ins at this entry host.

    All callers come through the platform's balancer, so that failures cannot be
    told apart by their address.  Sessions that exist go on.
    """

    def __init__(self) -> None:
        self._n_left = float(N_FAILED_AT_ONCE)
        self._filled_at = float("-inf")

    def wait(self, *, now: float) -> float:
        """Return the seconds to wait before a key is looked at; 0 if none."""
        n_gained = (now - self._filled_at) / FAILED_INTERVAL
        self._n_left = min(self._n_left + n_gained, N_FAILED_AT_ONCE)
        self._filled_at = now
        return 0.0 if self._n_left >= 1 else (1 - self._n_left) * FAILED_INTERVAL

    def failed(self) -> None:
        """Take note of a failed sign-in."""
        self._n_left -= 1


def _derived(key: bytes, purpose: bytes) -> bytes:
    return hmac.new(key, purpose, hashlib.sha256).digest()
