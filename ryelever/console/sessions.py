"""Issue and verify operators' sessions, and protect forms against forgery.

Any entry host may receive an operator's next request, and entry hosts store no
sessions.  A session is therefore a signed token in a cookie.  Every entry host derives
the same signing key from the operator key and can verify the token.
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

#: Lifetime of a session, in seconds.
SESSION_LIFETIME = 3600.0

#: Largest tolerated difference between the clocks of two entry hosts, in seconds.
MAX_CLOCK_SKEW = 60.0

#: Failed sign-ins that are allowed in a burst, and seconds until another one is
#: allowed.
MAX_FAILURE_BURST = 5
FAILURE_INTERVAL = 10.0

#: Longest session token that is verified, in bytes.
MAX_TOKEN_BYTES = 1024


@dataclass(slots=True, kw_only=True, frozen=True)
class Session:
    """Contents of a session token.

    Attributes
    ----------
    operator : str
        Name that the operator entered at the sign-in; recorded as the author of
        publications.
    nonce : str
        Random value that makes the form token of each session different.
    started_at : float
        Time of the sign-in, in seconds since the epoch.  The wall clock is the only
        clock that entry hosts share.
    """

    operator: str
    nonce: str
    started_at: float


class Sessions:
    """Sign and verify session tokens and the form tokens bound to them.

    Parameters
    ----------
    operator_key : str
        Key from the settings.  Signing in is disabled while the key is empty.
    """

    def __init__(self, *, operator_key: str) -> None:
        self._operator_key = operator_key.encode()
        self._signing_key = _derive(self._operator_key, b"console session")
        self._form_key = _derive(self._operator_key, b"console form")

    @property
    def enabled(self) -> bool:
        """Return whether an operator key is set."""
        return bool(self._operator_key)

    def is_operator_key(self, candidate: str) -> bool:
        """Return whether the candidate is the operator key, in constant time."""
        return self.enabled and hmac.compare_digest(
            _derive(self._operator_key, b"compare"),
            _derive(candidate.encode("utf-8", "surrogatepass"), b"compare"),
        )

    def start(self, operator: str, *, now: float) -> str:
        """Return the token of a new session."""
        session = Session(
            operator=operator, nonce=secrets.token_urlsafe(16), started_at=now
        )
        content = base64.urlsafe_b64encode(msgspec.json.encode(session))
        return f"{content.decode()}.{self._signature(content)}"

    def check(self, token: str, *, now: float) -> Session | None:
        """Return the session of a token, or None if it is forged or has expired."""
        content, _, signature = token.partition(".")
        if not self.enabled or len(token) > MAX_TOKEN_BYTES or not token.isascii():
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
        return session if -MAX_CLOCK_SKEW <= age < SESSION_LIFETIME else None

    def form_token(self, session: Session) -> str:
        """Return the token that every form of this session contains."""
        content = msgspec.json.encode(session)
        return hmac.new(self._form_key, content, hashlib.sha256).hexdigest()

    def is_form_token(self, candidate: str, session: Session) -> bool:
        """Return whether the candidate is the form token of this session.

        A page of another site can make the browser post a form together with the
        session cookie, but cannot read the form token.
        """
        return candidate.isascii() and hmac.compare_digest(
            candidate, self.form_token(session)
        )

    def _signature(self, content: bytes) -> str:
        return hmac.new(self._signing_key, content, hashlib.sha256).hexdigest()


class SignInLimit:
    """Limit the rate of failed sign-ins at this entry host.

    All requests arrive through the platform's balancer, so that callers cannot be
    distinguished by address and share one limit.  Existing sessions are not affected.
    """

    def __init__(self) -> None:
        self._n_allowed = float(MAX_FAILURE_BURST)
        self._refilled_at = float("-inf")

    def retry_after(self, *, now: float) -> float:
        """Return the seconds until another key may be checked, or 0."""
        n_gained = (now - self._refilled_at) / FAILURE_INTERVAL
        self._n_allowed = min(self._n_allowed + n_gained, MAX_FAILURE_BURST)
        self._refilled_at = now
        return 0.0 if self._n_allowed >= 1 else (1 - self._n_allowed) * FAILURE_INTERVAL

    def record_failure(self) -> None:
        """Count a failed sign-in."""
        self._n_allowed -= 1


def _derive(key: bytes, purpose: bytes) -> bytes:
    return hmac.new(key, purpose, hashlib.sha256).digest()
