"""Try other ways to route; none of these is in the product."""

from __future__ import annotations

import random
from collections import OrderedDict

from benchmarks.routing_driver import Driver
from benchmarks.routing_fleet import FakeFleet
from ryelever.coordination.actions import Arrival, Target
from ryelever.coordination.routing.affinity import prefix_key

EVENT_LAG = 2.0
EVENT_LOSS = 0.2


class RoundRobinRouter:
    """Send to one after the other: the plain policy."""

    def __init__(self, *, fleet: FakeFleet) -> None:
        self._fleet = fleet
        self._number = 0

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the next target."""
        targets = self._fleet.targets.for_arrival(arrival, now)
        left = [target for target in targets if target.name not in tried]
        if not left:
            return None
        self._number += 1
        return left[self._number % len(left)]

    def must_wait_for_suspects(self, arrival: Arrival, *, now: float) -> bool:
        """Keep nobody apart."""
        return False

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Wait for the attempt to fail."""
        return False

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Do nothing."""

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Do nothing."""


class ScoredRouter:
    """Order by a score of latency and failures, as eRPC does with its upstreams.

    The best by score gets the request; scores are taken anew each second.
    """

    def __init__(self, *, fleet: FakeFleet) -> None:
        self._fleet = fleet
        self._scored_at = -1.0
        self._order: list[str] = []

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the usable target with the best score."""
        targets = self._fleet.targets.for_arrival(arrival, now)
        records = self._fleet.stragglers._records_by_name
        if now - self._scored_at >= 1.0:
            self._scored_at = now
            self._order = sorted(
                (target.name for target in targets),
                key=lambda name: (
                    records[name].first_token * (1 + records[name].failure_share)
                    if name in records
                    else 0.0
                ),
            )
        by_name = {target.name: target for target in targets}
        for name in self._order:
            if name in by_name and name not in tried:
                return by_name[name]
        return None

    def must_wait_for_suspects(self, arrival: Arrival, *, now: float) -> bool:
        """Keep nobody apart."""
        return False

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Wait for the attempt to fail."""
        return False

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Do nothing."""

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Do nothing."""


class HintedRouter:
    """Prefer where cache events say that the prefix is, else the plain affinity.

    Events come 2 s late, and a fifth of them never; the load bound is the same.
    """

    def __init__(self, *, fleet: FakeFleet, driver: Driver, seed: int) -> None:
        self._router = fleet.router(seed=seed)
        self._fleet = fleet
        self._driver = driver
        self._random = random.Random(seed)
        self._places_by_key: OrderedDict[int, str] = OrderedDict()

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the hinted target while it is not much busier than the other."""
        plain = self._router.choose(arrival, tried=tried, now=now)
        if plain is None:
            return None
        keys = self._keys(arrival)
        known = [key for key in keys if key in self._places_by_key]
        hinted = self._places_by_key[known[-1]] if known else None
        chosen = plain
        if hinted is not None and hinted not in tried:
            found = self._fleet.targets.candidates(arrival.work, now=now)
            by_name = {one.name: one for one in found.local_zone}
            if hinted in by_name and plain.name in by_name:
                loads = self._fleet.loads
                other = loads.estimate(by_name[plain.name], now=now)
                busy = loads.estimate(by_name[hinted], now=now) > 1.25 * other + 2
                target = self._fleet.targets.target(by_name[hinted], now=now)
                if not busy and target is not None:
                    chosen = target
        if keys and self._random.random() > EVENT_LOSS:
            self._driver.at(now + EVENT_LAG, lambda: self._event(keys[-1], chosen.name))
        return chosen

    def _keys(self, arrival: Arrival) -> list[int]:
        """Return the keys of the whole leading blocks, the shortest first."""
        keys: list[int] = []
        for n_blocks in range(1, 33):
            key = prefix_key(arrival.work, n_blocks=n_blocks)
            if key is None or (keys and key == keys[-1]):
                break
            keys.append(key)
        return keys

    def _event(self, key: int, name: str) -> None:
        self._places_by_key[key] = name
        if len(self._places_by_key) > 4096:
            self._places_by_key.popitem(last=False)

    def must_wait_for_suspects(self, arrival: Arrival, *, now: float) -> bool:
        """Ask the router behind."""
        return self._router.must_wait_for_suspects(arrival, now=now)

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Wait for the attempt to fail."""
        return False

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Count the attempt."""
        self._router.started(target, fingerprint=fingerprint, now=now)

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Count the attempt no more."""
        self._router.ended(target, failed=failed, fingerprint=fingerprint, now=now)
