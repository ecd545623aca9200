"""Quarantine the requests that crash backend servers.

``Quarantine`` serves the OpenAI interface, ``CrashEvidence`` hosts that relay requests.
"""

from .crash_evidence import CrashEvidence
from .evidence import Crash
from .part_quarantine import PartQuarantine
from .quarantine import Quarantine, is_crash, quarantine_error
from .quarantined import Quarantined

__all__ = [
    "Crash",
    "CrashEvidence",
    "PartQuarantine",
    "Quarantine",
    "Quarantined",
    "is_crash",
    "quarantine_error",
]
