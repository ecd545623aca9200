"""Play the planners' own code against backend servers in simulated time.

No socket, thread or clock: a day of sixty servers takes about a second, and the same
seed gives the same day on every machine.  Nothing that serves imports this package.
"""

from .day import DayResult, LossPattern, play_day
from .deployment import Deployment, EmulatedModel
from .fleet import Fleet

__all__ = [
    "DayResult",
    "Deployment",
    "EmulatedModel",
    "Fleet",
    "LossPattern",
    "play_day",
]
