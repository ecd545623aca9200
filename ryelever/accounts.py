"""Check the keys of client accounts, which are kept as salted hashes only."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .state.configuration import Configuration

__all__ = ["account_of", "hash_key", "new_key"]


def new_key(account: str) -> str:
    """Return a fresh key of an account: its name, a dot and a random secret."""
    return f"{account}.{secrets.token_urlsafe(32)}"


def hash_key(key: str, *, salt: str = "") -> str:
    """Return the salted hash of a key for the configuration.

    A key is random and long, so a fast digest is enough: there is no dictionary
    to try.
    """
    salt = salt or secrets.token_hex(8)
    digest = hashlib.sha256(f"{salt}{key}".encode()).hexdigest()
    return f"{salt}${digest}"


def account_of(authorization: str, configuration: Configuration) -> str | None:
    """Return the client account of an ``Authorization`` header, or None."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return None
    name = key.strip().rpartition(".")[0]
    account = configuration.client_accounts.get(name)
    if account is None:
        return None
    salt = account.key_hash.partition("$")[0]
    expected = hash_key(key.strip(), salt=salt)
    return name if hmac.compare_digest(expected, account.key_hash) else None
