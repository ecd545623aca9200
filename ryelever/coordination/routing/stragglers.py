"""Find backend servers that lag behind their siblings, and probe them back."""

from __future__ import annotations

import bisect
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Stragglers"]

#: Weight of the newest sample in a moving average.
NEWEST = 0.2

#: Samples without which nobody is judged.
MIN_SAMPLES = 8

#: Seconds between two comparisons of the same siblings.
COMPARE_INTERVAL = 1.0

#: Records kept before those of backend servers that are gone are dropped.
MAX_RECORDS = 4096

#: Seconds without an attempt after which a record may be dropped.
RECORD_MAX_AGE = 600.0


@dataclass(slots=True, kw_only=True)
class _Record:
    """Hold what was seen of one backend server; times in seconds."""

    first_token: float = 0.0
    n_first_tokens: int = 0
    between_tokens: float = 0.0
    n_between_tokens: int = 0
    failure_share: float = 0.0
    n_ended: int = 0
    ejected_until: float = float("-inf")
    n_ejections: int = 0
    is_ejected: bool = False
    probe_sent_at: float = float("-inf")
    siblings: Sequence[str] = ()
    seen_at: float = float("-inf")


class Stragglers:
    """Eject what is far slower, or fails far more, than its siblings.

    A paused or throttled member slows its whole group; nothing fails, and the
    operator sees only the tail of the waiting times grow.  An absolute limit would
    eject everyone when all are slow, so each is held against the median of its
    siblings, and only a share of them may be out at a time.

    Parameters
    ----------
    factor : float
        Times the siblings' median that counts as lagging.
    max_share : float
        Largest share of siblings that may be out at a time.
    hold : float
        Seconds until the first probe; doubled with each ejection in a row.
    probe_timeout : float
        Seconds after which a probe without an outcome is given up.
    """

    def __init__(
        self,
        *,
        factor: float = 3.0,
        max_share: float = 0.2,
        hold: float = 10.0,
        max_hold: float = 160.0,
        probe_timeout: float = 30.0,
    ) -> None:
        self._factor = factor
        self._max_share = max_share
        self._hold = hold
        self._max_hold = max_hold
        self._probe_timeout = probe_timeout
        self._records_by_name: dict[str, _Record] = {}
        self._compared_at_by_siblings: dict[str, float] = {}

    def may_take(self, name: str, *, now: float) -> bool:
        """Tell whether it is in, or may get one probe."""
        record = self._records_by_name.get(name)
        if record is None or not record.is_ejected:
            return True
        probing = now - record.probe_sent_at < self._probe_timeout
        return now >= record.ejected_until and not probing

    def started(self, name: str, *, now: float) -> None:
        """Take note of an attempt; to an ejected one it is the probe."""
        record = self._records_by_name.get(name)
        if record is not None and record.is_ejected:
            record.probe_sent_at = now

    def first_token(self, name: str, *, seconds: float, now: float) -> None:
        """Take the time from sending to the first token."""
        record = self._record(name, now=now)
        n_samples = record.n_first_tokens
        record.first_token = _average(record.first_token, seconds, n_samples)
        record.n_first_tokens = n_samples + 1

    def ended(
        self, name: str, *, failed: bool, between_tokens: float | None, now: float
    ) -> None:
        """Take the end of an attempt and the mean time between its tokens."""
        record = self._record(name, now=now)
        failure = float(failed)
        record.failure_share = _average(record.failure_share, failure, record.n_ended)
        record.n_ended += 1
        if between_tokens is not None:
            n_samples = record.n_between_tokens
            record.between_tokens = _average(
                record.between_tokens, between_tokens, n_samples
            )
            record.n_between_tokens = n_samples + 1
        if record.is_ejected and now >= record.ejected_until:
            self._judge_probe(record, failed=failed, now=now)

    def compare(self, siblings_id: str, names: Sequence[str], *, now: float) -> None:
        """Eject the worst of siblings, unless they were compared just now."""
        compared_at = self._compared_at_by_siblings.get(siblings_id, float("-inf"))
        if now - compared_at < COMPARE_INTERVAL:
            return
        self._compared_at_by_siblings[siblings_id] = now
        known = [
            (name, self._records_by_name[name])
            for name in names
            if name in self._records_by_name
        ]
        n_out = sum(record.is_ejected for _, record in known)
        n_allowed = self._n_allowed(len(names)) - n_out
        if n_allowed <= 0:
            return
        judged = [record for _, record in known if not record.is_ejected]
        excess = self._excess_of(judged)
        worst = sorted(zip(excess, range(len(judged)), strict=True), reverse=True)
        for how_much, index in worst[:n_allowed]:
            if how_much > self._factor:
                judged[index].siblings = names
                self._eject(judged[index], now=now)

    def is_ejected(self, name: str) -> bool:
        """Tell whether it is out at present."""
        record = self._records_by_name.get(name)
        return record is not None and record.is_ejected

    def _n_allowed(self, n_siblings: int) -> int:
        if n_siblings < 2:
            return 0
        return max(1, int(n_siblings * self._max_share))

    def _excess_of(self, records: list[_Record]) -> list[float]:
        """Return by how many times each exceeds the median of the others."""
        first = [
            record.first_token if record.n_first_tokens >= MIN_SAMPLES else None
            for record in records
        ]
        between = [
            record.between_tokens if record.n_between_tokens >= MIN_SAMPLES else None
            for record in records
        ]
        # Half a failure in ten is put under both sides of the ratio: one failure
        # among siblings that never fail must not look infinitely worse.
        failures = [
            record.failure_share + 0.05 if record.n_ended >= MIN_SAMPLES else None
            for record in records
        ]
        columns = [_ratios(column) for column in (first, between, failures)]
        return [max(ratios) for ratios in zip(*columns, strict=True)]

    def _eject(self, record: _Record, *, now: float) -> None:
        hold = min(self._max_hold, self._hold * 2**record.n_ejections)
        record.is_ejected = True
        record.n_ejections += 1
        record.ejected_until = now + hold
        record.probe_sent_at = float("-inf")
        # The probe is judged by what it shows itself, not by the past.
        record.n_first_tokens = 0
        record.n_between_tokens = 0
        record.n_ended = 0

    def _judge_probe(self, record: _Record, *, failed: bool, now: float) -> None:
        others = [
            self._records_by_name[name]
            for name in record.siblings
            if name in self._records_by_name and not self.is_ejected(name)
        ]
        pairs = [
            (record.first_token, [other.first_token for other in others]),
            (record.between_tokens, [other.between_tokens for other in others]),
        ]
        lags = failed or any(
            own > self._factor * _median_above_0(values) for own, values in pairs
        )
        if lags:
            self._eject(record, now=now)
            return
        record.is_ejected = False
        record.n_ejections = 0

    def _record(self, name: str, *, now: float) -> _Record:
        record = self._records_by_name.get(name)
        if record is None:
            if len(self._records_by_name) >= MAX_RECORDS:
                self._drop_old(now=now)
            record = self._records_by_name[name] = _Record()
        record.seen_at = now
        return record

    def _drop_old(self, *, now: float) -> None:
        for name, record in list(self._records_by_name.items()):
            if now - record.seen_at > RECORD_MAX_AGE:
                del self._records_by_name[name]


def _average(average: float, sample: float, n_samples: int) -> float:
    """Move an average; the first samples count alike."""
    weight = max(NEWEST, 1.0 / (n_samples + 1))
    return average + weight * (sample - average)


def _median_above_0(values: list[float]) -> float:
    positive = [value for value in values if value > 0.0]
    return statistics.median(positive) if positive else float("inf")


def _ratios(column: list[float | None]) -> list[float]:
    """Return each value over the median of all others; 0 for the unknown."""
    known = sorted(value for value in column if value is not None)
    if len(known) < 2:
        return [0.0] * len(column)
    ratios = []
    for value in column:
        if value is None:
            ratios.append(0.0)
            continue
        middle = _median_without(known, value)
        ratios.append(value / middle if middle > 0.0 else 0.0)
    return ratios


def _median_without(ordered: list[float], value: float) -> float:
    """Return the upper median of sorted values without one of them."""
    middle = (len(ordered) - 1) // 2
    removed = bisect.bisect_left(ordered, value)
    return ordered[middle if middle < removed else middle + 1]
