"""Create and check the keys of client accounts, stored only as salted hashes."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .state.configuration import Configuration

__all__ = ["account_of", "hash_key", "new_key"]


def new_key(account: str) -> str:
    """Return a new key for an account: its name, a dot and a random secret."""
    return f"{account}.{secrets.token_urlsafe(32)}"


def hash_key(key: str, *, salt: str = "") -> str:
    """Return the salted hash of a key, as stored in the configuration.

    A fast digest is sufficient because keys are long and random, which rules out
    dictionary attacks.
    """
    salt = salt or secrets.token_hex(8)
    digest = hashlib.sha256(f"{salt}{key}".encode()).hexdigest()
    return f"{salt}${digest}"


def account_of(authorization: str, configuration: Configuration) -> str | None:
    """Return the client account whose key an ``Authorization`` header has, or None."""
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
