"""Provide alternative routers for comparison; the product uses none of them."""

from __future__ import annotations

import random
from collections import OrderedDict

from benchmarks.routing_driver import Driver
from benchmarks.routing_fleet import FakeFleet
from ryelever.coordination.actions import Arrival, Target
from ryelever.coordination.routing.affinity import prefix_key

CACHE_EVENT_LAG = 2.0
CACHE_EVENT_LOSS = 0.2


class RoundRobinRouter:
    """Choose the targets in turn."""

    def __init__(self, *, fleet: FakeFleet) -> None:
        self._fleet = fleet
        self._number = 0

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the next target that was not tried, if any."""
        targets = self._fleet.targets.for_arrival(arrival, now)
        left = [target for target in targets if target.name not in tried]
        if not left:
            return None
        self._number += 1
        return left[self._number % len(left)]

    def must_wait(self, arrival: Arrival, *, now: float) -> bool:
        """Return False: this router treats suspects like any other request."""
        return False

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Return False: an attempt is lost only when it fails."""
        return False

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Ignore the attempt."""

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Ignore the attempt."""


class ScoredRouter:
    """Order targets by a score of latency and failures, as eRPC does with upstreams.

    The target with the best score gets the request.  Scores are computed once a second.
    """

    def __init__(self, *, fleet: FakeFleet) -> None:
        self._fleet = fleet
        self._scored_at = -1.0
        self._order: list[str] = []

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the target with the best score that was not tried, if any."""
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

    def must_wait(self, arrival: Arrival, *, now: float) -> bool:
        """Return False: this router treats suspects like any other request."""
        return False

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Return False: an attempt is lost only when it fails."""
        return False

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Ignore the attempt."""

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Ignore the attempt."""


class HintedRouter:
    """Prefer the target whose cache holds the prefix according to cache events.

    Cache events arrive 2 s late, and a fifth of them are lost.  Without an event, or if
    the hinted target exceeds the load bound, the affinity router's choice is used.
    """

    def __init__(self, *, fleet: FakeFleet, driver: Driver, seed: int) -> None:
        self._router = fleet.router(seed=seed)
        self._fleet = fleet
        self._driver = driver
        self._random = random.Random(seed)
        self._target_by_key: OrderedDict[int, str] = OrderedDict()

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the hinted target unless it is much busier than the default."""
        default = self._router.choose(arrival, tried=tried, now=now)
        if default is None:
            return None
        keys = self._keys(arrival)
        known = [key for key in keys if key in self._target_by_key]
        hinted = self._target_by_key[known[-1]] if known else None
        chosen = default
        if hinted is not None and hinted not in tried:
            found = self._fleet.targets.candidates(arrival.work, now=now)
            by_name = {one.name: one for one in found.local_zone}
            if hinted in by_name and default.name in by_name:
                loads = self._fleet.loads
                other = loads.estimate(by_name[default.name], now=now)
                busy = loads.estimate(by_name[hinted], now=now) > 1.25 * other + 2
                target = self._fleet.targets.target(by_name[hinted], now=now)
                if not busy and target is not None:
                    chosen = target
        if keys and self._random.random() > CACHE_EVENT_LOSS:
            self._driver.at(
                now + CACHE_EVENT_LAG,
                lambda: self._record_cache_event(keys[-1], chosen.name),
            )
        return chosen

    def _keys(self, arrival: Arrival) -> list[int]:
        """Return the keys of all prefixes of complete blocks, the shortest first."""
        keys: list[int] = []
        for n_blocks in range(1, 33):
            key = prefix_key(arrival.work, n_blocks=n_blocks)
            if key is None or (keys and key == keys[-1]):
                break
            keys.append(key)
        return keys

    def _record_cache_event(self, key: int, name: str) -> None:
        self._target_by_key[key] = name
        if len(self._target_by_key) > 4096:
            self._target_by_key.popitem(last=False)

    def must_wait(self, arrival: Arrival, *, now: float) -> bool:
        """Return the answer of the affinity router."""
        return self._router.must_wait(arrival, now=now)

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Return False: an attempt is lost only when it fails."""
        return False

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Count the attempt as in flight."""
        self._router.started(target, fingerprint=fingerprint, now=now)

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Stop counting the attempt as in flight."""
        self._router.ended(target, failed=failed, fingerprint=fingerprint, now=now)
