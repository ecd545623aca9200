"""Find the requests that crash backend servers, on either interface."""

from .evidence import Crash
from .quarantine import Quarantine, Quarantined, is_crash, quarantine_error
from .reports import QuarantineReports

__all__ = [
    "Crash",
    "Quarantine",
    "QuarantineReports",
    "Quarantined",
    "is_crash",
    "quarantine_error",
]
