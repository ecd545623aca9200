"""Find the requests that crash backend servers, on either interface."""

from .quarantine import Quarantine, Quarantined, is_crash, quarantine_error

__all__ = ["Quarantine", "Quarantined", "is_crash", "quarantine_error"]
