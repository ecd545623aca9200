"""Eject backend servers that lag behind their siblings, and readmit them by probes."""

from __future__ import annotations

import bisect
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Stragglers"]

#: Weight of the newest sample in a moving average.
NEWEST_WEIGHT = 0.2

#: Minimum number of samples of a backend server before it is compared.
MIN_SAMPLES = 8

#: Seconds between two comparisons of the same siblings.
COMPARE_INTERVAL = 1.0

#: Number of records above which records without recent attempts are dropped.
MAX_RECORDS = 4096

#: Seconds without an attempt after which a record may be dropped.
RECORD_MAX_AGE = 600.0


@dataclass(slots=True, kw_only=True)
class _Record:
    """Moving averages and ejection state of one backend server; times in seconds."""

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
    updated_at: float = float("-inf")


class Stragglers:
    """Eject backend servers that are far slower, or fail far more, than their siblings.

    Siblings are the candidates for the same model or service.  A paused or throttled
    member slows its entire group; no request fails, and the operator sees only the tail
    of the waiting times grow.  An absolute limit would eject all backend servers when
    all are slow.  Each is therefore compared with the median of its siblings, and only
    a share of the siblings may be ejected at a time.

    Parameters
    ----------
    factor : float
        Ratio to the siblings' median above which a backend server counts as lagging.
    max_share : float
        Maximum share of siblings that may be ejected at a time.
    hold : float
        Seconds from an ejection to the first probe; doubled with each consecutive
        ejection.
    max_hold : float
        Maximum of the doubled ``hold``.
    probe_timeout : float
        Seconds after which a probe without a result is abandoned.
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

    def may_receive(self, name: str, *, now: float) -> bool:
        """Return whether a backend server is not ejected or may get a probe."""
        record = self._records_by_name.get(name)
        if record is None or not record.is_ejected:
            return True
        probing = now - record.probe_sent_at < self._probe_timeout
        return now >= record.ejected_until and not probing

    def started(self, name: str, *, now: float) -> None:
        """Record an attempt; at an ejected backend server it is the probe."""
        record = self._records_by_name.get(name)
        if record is not None and record.is_ejected:
            record.probe_sent_at = now

    def first_token(self, name: str, *, seconds: float, now: float) -> None:
        """Record the seconds from sending an attempt to its first token."""
        record = self._record(name, now=now)
        n_samples = record.n_first_tokens
        record.first_token = _average(record.first_token, seconds, n_samples)
        record.n_first_tokens = n_samples + 1

    def ended(
        self, name: str, *, failed: bool, between_tokens: float | None, now: float
    ) -> None:
        """Record the end of an attempt and the mean seconds between its tokens."""
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
            self._evaluate_probe(record, failed=failed, now=now)

    def compare(self, siblings_id: str, names: Sequence[str], *, now: float) -> None:
        """Eject the siblings that lag most.

        Siblings are compared at most once in ``COMPARE_INTERVAL`` seconds.
        """
        compared_at = self._compared_at_by_siblings.get(siblings_id, float("-inf"))
        if now - compared_at < COMPARE_INTERVAL:
            return
        self._compared_at_by_siblings[siblings_id] = now
        known = [
            (name, self._records_by_name[name])
            for name in names
            if name in self._records_by_name
        ]
        n_ejected = sum(record.is_ejected for _, record in known)
        n_allowed = self._n_allowed(len(names)) - n_ejected
        if n_allowed <= 0:
            return
        compared = [record for _, record in known if not record.is_ejected]
        excess = self._excess_ratios(compared)
        worst = sorted(zip(excess, range(len(compared)), strict=True), reverse=True)
        for ratio, index in worst[:n_allowed]:
            if ratio > self._factor:
                compared[index].siblings = names
                self._eject(compared[index], now=now)

    def is_ejected(self, name: str) -> bool:
        """Return whether a backend server is ejected."""
        record = self._records_by_name.get(name)
        return record is not None and record.is_ejected

    def _n_allowed(self, n_siblings: int) -> int:
        if n_siblings < 2:
            return 0
        return max(1, int(n_siblings * self._max_share))

    def _excess_ratios(self, records: list[_Record]) -> list[float]:
        """Return each record's largest ratio to the median of the other records."""
        first = [
            record.first_token if record.n_first_tokens >= MIN_SAMPLES else None
            for record in records
        ]
        between = [
            record.between_tokens if record.n_between_tokens >= MIN_SAMPLES else None
            for record in records
        ]
        # Half a failure in ten attempts is added to both sides of the ratio: one
        # failure among siblings that never fail must not count as infinitely worse.
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
        # The probe is evaluated by its own samples, without those before the ejection.
        record.n_first_tokens = 0
        record.n_between_tokens = 0
        record.n_ended = 0

    def _evaluate_probe(self, record: _Record, *, failed: bool, now: float) -> None:
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
            sample > self._factor * _median_of_positive(values)
            for sample, values in pairs
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
        record.updated_at = now
        return record

    def _drop_old(self, *, now: float) -> None:
        for name, record in list(self._records_by_name.items()):
            if now - record.updated_at > RECORD_MAX_AGE:
                del self._records_by_name[name]


def _average(average: float, sample: float, n_samples: int) -> float:
    """Return the moving average with a new sample; the first samples weigh the same."""
    weight = max(NEWEST_WEIGHT, 1.0 / (n_samples + 1))
    return average + weight * (sample - average)


def _median_of_positive(values: list[float]) -> float:
    positive = [value for value in values if value > 0.0]
    return statistics.median(positive) if positive else float("inf")


def _ratios(column: list[float | None]) -> list[float]:
    """Return each value divided by the median of the others; 0 for None."""
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
