"""Configuration and bursts of the runs in which callers contend for capacity."""

from __future__ import annotations

import random
from typing import Any

from ..standins.platform import configuration

__all__ = [
    "MODELS",
    "PATH_BY_ROUTE",
    "PRIORITY_BY_ACCOUNT",
    "SLOTS",
    "burst_of",
    "contended_configuration",
]

#: Requests that each engine states to process at once.
SLOTS = 4

#: Seconds from the start of one burst to that of the next, and seconds that it lasts.
BURST_INTERVAL = 4.0
BURST_DURATION = 1.5

#: Models of the engine service, and paths of its stream routes.
MODELS = ("large", "small")
PATH_BY_ROUTE = {"chat": "/chat/1", "urgent": "/urgent/1"}

#: Client accounts with their priorities; None stands for the route's priority.
PRIORITY_BY_ACCOUNT = {"pawroute": None, "prompt": 0, "patient": 1}


def contended_configuration() -> dict[str, Any]:
    """Return the changed fields of the configuration of a contended run."""
    document = configuration(1)
    chat = next(route for route in document["routes"] if route["name"] == "chat")
    urgent = chat | {"name": "urgent", "path_prefix": "/urgent/", "priority": 0}
    document["services"][0]["engine"]["slots"] = SLOTS
    tenants = [
        {"name": name, "api_keys": [f"key-of-{name}"], "priority": priority}
        for name, priority in PRIORITY_BY_ACCOUNT.items()
    ]
    return {
        "routes": [*document["routes"], urgent],
        "services": document["services"],
        "tenants": tenants,
    }


def burst_of(seed: int, elapsed: float) -> tuple[str, str] | None:
    """Return route and model of the burst at a time of a run, or None without one."""
    number, seconds = divmod(elapsed, BURST_INTERVAL)
    if seconds > BURST_DURATION:
        return None
    generator = random.Random(f"{seed} {number}")
    return generator.choice(list(PATH_BY_ROUTE)), generator.choice(MODELS)
