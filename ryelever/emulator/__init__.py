"""Run the planners' own code against emulated backend servers in simulated time.

The emulation uses no sockets, threads or clocks: a day of sixty servers takes about a
second, and the same seed gives the same day on every machine.  Entry hosts do not
import this package.
"""

from .day import DayResult, LossPattern, simulate_day
from .deployment import Burst, Deployment, EmulatedModel
from .fleet import Fleet

__all__ = [
    "Burst",
    "DayResult",
    "Deployment",
    "EmulatedModel",
    "Fleet",
    "LossPattern",
    "simulate_day",
]
