"""Quarantine the requests that crash backend servers.

``Quarantine`` serves the OpenAI interface, ``CrashEvidence`` hosts that relay requests.
"""

from .crash_evidence import CrashEvidence
from .evidence import Crash
from .quarantine import Quarantine, Quarantined, is_crash, quarantine_error

__all__ = [
    "Crash",
    "CrashEvidence",
    "Quarantine",
    "Quarantined",
    "is_crash",
    "quarantine_error",
]
