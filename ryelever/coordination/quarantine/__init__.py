"""Quarantine the requests that crash backend servers, on either interface."""

from .evidence import Crash
from .quarantine import Quarantine, Quarantined, is_crash, quarantine_error

__all__ = [
    "Crash",
    "Quarantine",
    "Quarantined",
    "is_crash",
    "quarantine_error",
]
