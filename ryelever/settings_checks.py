"""Check single values of settings, and describe the values that each check accepts."""

from __future__ import annotations

import ipaddress
import math
from typing import Any

__all__ = [
    "ADDRESS",
    "COUNT",
    "NAME",
    "SECONDS",
    "SECRET",
    "SIZE",
    "is_address",
    "is_addresses",
    "is_boolean",
    "is_name",
    "is_names",
    "is_positive",
    "is_secret",
    "is_positive_integer",
]

ADDRESS = "an IPv4 address and a port, such as 127.0.0.1:8080"
COUNT = "a whole number above 0"
NAME = "a name of letters, digits, '-', '_' and '.'"
SECONDS = "a number of seconds above 0"
SECRET = "at least 16 characters, or an empty string to disable its use"
SIZE = "a whole number of bytes above 0"

#: Minimum length of a secret in characters; shorter secrets are open to brute force.
MIN_SECRET_LENGTH = 16

#: Port numbers are smaller than this number.
N_PORTS = 1 << 16


def is_name(value: Any) -> bool:
    """Return whether a value is a name that is valid in a path and in a log line."""
    return (
        isinstance(value, str)
        and bool(value)
        and all(char.isascii() and (char.isalnum() or char in "-_.") for char in value)
    )


def is_address(value: Any) -> bool:
    """Return whether a value is an address of the form ``"<IPv4>:<port>"``."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and int(port) < N_PORTS


def is_addresses(value: Any) -> bool:
    """Return whether a value is a list of addresses."""
    return isinstance(value, list) and all(is_address(item) for item in value)


def is_names(value: Any) -> bool:
    """Return whether a value is a list of names."""
    return isinstance(value, list) and all(is_name(item) for item in value)


def is_boolean(value: Any) -> bool:
    """Return whether a value is true or false."""
    return isinstance(value, bool)


def is_positive(value: Any) -> bool:
    """Return whether a value is a finite number above 0; booleans are not numbers."""
    number = isinstance(value, int | float) and not isinstance(value, bool)
    return number and 0 < value < math.inf


def is_positive_integer(value: Any) -> bool:
    """Return whether a value is a whole number above 0."""
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def is_secret(value: Any) -> bool:
    """Return whether a value is an empty string or a secret of sufficient length."""
    return isinstance(value, str) and (not value or len(value) >= MIN_SECRET_LENGTH)
