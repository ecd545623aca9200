"""Simulate callers whose prompts share parts, one of which crashes backend servers."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from functools import partial

import pytest

from ryelever.coordination.relaying.actions import RelayAttempt

from .crashing_fleet import CALLER_PATIENCE, Caller, CrashingFleet
from .limited_fleet import SimulatedHost

__all__ = ["DEADLY_PART", "PartsCase", "PartsFleet"]

#: Part that crashes each server which begins to run a request with it.
DEADLY_PART = "dead"

#: Numbers of first parts, and of second parts beside each of them, of sound prompts.
N_FIRST_PARTS = 3
N_SUBJECTS = 8


@dataclass(slots=True, kw_only=True, frozen=True)
class PartsCase:
    """How requests with the deadly part come, and what else happens.

    Attributes
    ----------
    prompt : str
        Parts of a deadly request: ``f`` is the first part and ``s`` the subject of
        sound prompts, ``d`` the deadly part, ``n`` a part that is new each time.
    pause : float
        Mean seconds between deadly requests, or between groups of them.
    n_at_once : int
        Number of deadly requests that are sent at the same time.
    load : float
        Sound requests a second as a ratio of those that all servers can run.
    n_first_parts, n_subjects : int
        Number of first parts among all sound requests, and of second parts beside each
        of them.
    n_servers : int
        Number of servers in each zone.
    share_lost : float
        Share of the datagrams between hosts that are lost.
    other_crashes : float
        Mean seconds between crashes of other causes; 0 for none.
    """

    prompt: str = "fds"
    pause: float = 0.4
    n_at_once: int = 1
    load: float = 0.6
    n_first_parts: int = N_FIRST_PARTS
    n_subjects: int = N_SUBJECTS
    n_servers: int = 4
    share_lost: float = 0.0
    other_crashes: float = 0.0


class PartsFleet(CrashingFleet):
    """Run hosts before servers that a part of a prompt can crash."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *, case: PartsCase, seed: int = 1
    ) -> None:
        self._case = case
        self._deadly_numbers = itertools.count(1)
        self._sent_at_by_number: dict[int, float] = {}
        self._served: set[int] = set()
        super().__init__(
            monkeypatch, load=case.load, n_servers=case.n_servers, seed=seed
        )
        if case.share_lost:
            self.lost = lambda sender, receiver: self._random.random() < case.share_lost

    def start_deadly(self, *, at: float) -> None:
        """Let requests with the deadly part come from a time on, at any host."""
        self.at(at, self._send_deadly)
        if self._case.other_crashes:
            self.at(at, self._crash_any)

    def n_late(self, *, after: float) -> int:
        """Return how many deadly requests reached servers after the fifth crash.

        Parameters
        ----------
        after : float
            Seconds from the fifth crash by the part; earlier arrivals are left out.
        """
        if len(self.poison_crashes) < 5:
            return 0
        return self.n_poison(after=self.poison_crashes[4] + after)

    def refused_sound(self) -> set[str]:
        """Return the contents of sound requests that were refused for crashes."""
        return {
            content
            for _, content in self.quarantined
            if not content.startswith(DEADLY_PART)
        }

    def quarantined_parts(self) -> set[str]:
        """Return the parts on which hosts have given verdicts."""
        return {
            part
            for host in self.hosts.values()
            for part in host.crashes.quarantined_parts
        }

    def share_served(self, start: float, end: float) -> float:
        """Return the share of sound first requests of a time that were served."""
        sent = {
            number
            for number, at in self._sent_at_by_number.items()
            if start <= at < end
        }
        return len(sent & self._served) / len(sent)

    def _send_deadly(self) -> None:
        for _ in range(self._case.n_at_once):
            caller = Caller(
                content=f"{DEADLY_PART}-{next(self._deadly_numbers)}",
                gives_up_at=self.now + CALLER_PATIENCE,
                is_poison=True,
                parts=self._deadly_prompt(),
            )
            self._send_again(caller)
        pause = self._random.expovariate(1.0 / self._case.pause)
        self.at(self.now + pause, self._send_deadly)

    def _deadly_prompt(self) -> tuple[str, ...]:
        first, subject = self._sound_prompt()
        part_by_sign = {"f": first, "s": subject, "d": DEADLY_PART}
        part_by_sign["n"] = f"{self._random.randrange(1 << 32):08x}"
        return tuple(part_by_sign[sign] for sign in self._case.prompt)

    def _sound_prompt(self) -> tuple[str, str]:
        first = self._random.randrange(self._case.n_first_parts)
        subject = self._random.randrange(self._case.n_subjects)
        return f"f{first}", f"{first}5{subject}"

    def _send_new(self, host: SimulatedHost) -> None:
        caller = Caller(
            content=f"content-{len(self._callers_by_number)}",
            gives_up_at=self.now + CALLER_PATIENCE,
            parts=self._sound_prompt(),
        )
        self._send(caller, host)
        self._sent_at_by_number[next(reversed(self._callers_by_number))] = self.now

    def _answer(self, host: SimulatedHost, attempt: RelayAttempt) -> None:
        super()._answer(host, attempt)
        self._served.add(attempt.request_number)

    def _crash_any(self) -> None:
        running = sorted(self._running_by_id)
        if running:
            self._crash(self._random.choice(running))
        pause = self._random.expovariate(1.0 / self._case.other_crashes)
        self.at(self.now + pause, partial(self._crash_any))
