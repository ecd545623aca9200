"""Simulate an engine group that reads prompts, preempts streams and may forget some."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ryelever.coordination.relaying.overtaken import OvertakenWatch

__all__ = ["Engine", "Run", "Stream"]

#: Seconds between two checks of the watch.
TICK = 0.1


@dataclass(slots=True, kw_only=True, eq=False)
class Stream:
    """One request at the group.

    Attributes
    ----------
    forgotten_after : int or None
        Events after which the group sends nothing more; None for all sound streams.
    """

    number: int
    sent_at: float
    urgency: int
    n_prompt: int
    n_answer: int
    is_own: bool
    forgotten_after: int | None = None
    n_done: int = 0
    n_events: int = 0
    silent_since: float = 0.0
    noticed_at: float | None = None

    @property
    def n_tokens(self) -> int:
        """Return the tokens that the request occupies in the group's memory."""
        return self.n_prompt + self.n_done

    @property
    def is_forgotten(self) -> bool:
        """Return whether the group sends nothing more."""
        return (
            self.forgotten_after is not None and self.n_events >= self.forgotten_after
        )


@dataclass(slots=True, kw_only=True)
class Engine:
    """A group that runs streams in passes.

    Attributes
    ----------
    memory : int
        Tokens of all running streams together.  When there are more, the group preempts
        the stream that it admitted last.
    skips : bool
        True if requests that find too little memory let smaller ones go first.
    requeues_last : bool
        True if a preempted stream goes behind all that wait.
    """

    slots: int = 8
    memory: int = 1_000_000
    reading_rate: float = 20_000.0
    step: float = 0.012
    step_per_stream: float = 0.001
    tokens_per_event: int = 5
    skips: bool = False
    requeues_last: bool = False
    waiting: list[Stream] = field(default_factory=list)
    running: list[Stream] = field(default_factory=list)
    n_preempted: int = 0

    def run_pass(self) -> tuple[float, list[Stream]]:
        """Run one pass; return its seconds and the streams that have an event."""
        seconds = sum(item.n_tokens for item in self._admit()) / self.reading_rate
        per_step = self.step + self.step_per_stream * len(self.running)
        seconds += per_step * self.tokens_per_event
        progressed = [item for item in self.running if not item.is_forgotten]
        for stream in progressed:
            stream.n_done += self.tokens_per_event
        self.running = [
            item
            for item in self.running
            if item.is_forgotten or item.n_done < item.n_answer
        ]
        while len(self.running) > 1 and self._n_tokens() > self.memory:
            self.n_preempted += 1
            self.waiting.insert(
                len(self.waiting) if self.requeues_last else 0, self.running.pop()
            )
        return seconds, progressed

    def _n_tokens(self) -> int:
        return sum(item.n_tokens for item in self.running)

    def _admit(self) -> list[Stream]:
        """Move streams from the queue into the batch, the most urgent ones first."""
        admitted = []
        for stream in sorted(self.waiting, key=lambda item: item.urgency):
            if len(self.running) >= self.slots:
                break
            if self.running and self._n_tokens() + stream.n_tokens > self.memory:
                if self.skips:
                    continue
                break
            self.waiting.remove(stream)
            self.running.append(stream)
            admitted.append(stream)
        return admitted


class Run:
    """Run streams of several hosts at one group, of which one host watches its own.

    Parameters
    ----------
    rate : float
        Requests a second of all hosts together.
    own_share : float
        Part of them that the watching host sends.
    forgotten : float
        Part of the requests that the group forgets.
    long_share : float
        Part of the requests whose prompt has ``long_prompt`` tokens instead of some
        hundreds.

    Attributes
    ----------
    streams : list of Stream
        The streams of the watching host.
    """

    def __init__(
        self,
        engine: Engine,
        *,
        seed: int,
        rate: float,
        own_share: float = 0.3,
        forgotten: float = 0.0,
        long_share: float = 0.0,
        long_prompt: int = 20_000,
        is_published: bool = True,
        patience: float = 2.0,
    ) -> None:
        self.engine = engine
        self.streams: list[Stream] = []
        self.watch = OvertakenWatch()
        self._random = random.Random(seed)
        self._rate = rate
        self._own_share = own_share
        self._forgotten = forgotten
        self._long_share = long_share
        self._long_prompt = long_prompt
        self._is_published = is_published
        self._patience = patience
        self._n_arrived = 0

    def play(self, seconds: float) -> None:
        """Let requests arrive and the group run for some seconds, from 0.0."""
        now = next_arrival = next_tick = 0.0
        while now < seconds:
            pass_seconds, progressed = self.engine.run_pass()
            end = now + pass_seconds
            while min(next_arrival, next_tick) < end:
                if next_tick <= next_arrival:
                    self._tick(now=next_tick)
                    next_tick += TICK
                else:
                    self._arrive(now=next_arrival)
                    next_arrival += self._random.expovariate(self._rate)
            now = end
            self._deliver(progressed, now=now)

    def _arrive(self, *, now: float) -> None:
        draw = self._random
        is_long = draw.random() < self._long_share
        self._n_arrived += 1
        stream = Stream(
            number=self._n_arrived,
            sent_at=now,
            urgency=draw.choice([0, 1, 1, 2]),
            n_prompt=self._long_prompt if is_long else draw.randint(50, 1500),
            n_answer=draw.randint(20, 300),
            is_own=draw.random() < self._own_share,
            silent_since=now,
        )
        if draw.random() < self._forgotten:
            stream.forgotten_after = draw.choice([0, 0, draw.randint(1, 10)])
        self.engine.waiting.append(stream)
        if not stream.is_own:
            return
        self.streams.append(stream)
        expected = stream.n_prompt / self.engine.reading_rate + 0.1
        self.watch.sent(
            "h0",
            str(stream.number),
            urgency=stream.urgency,
            n_prompt=stream.n_prompt,
            expected=expected if self._is_published else 0.0,
            now=now,
        )

    def _deliver(self, progressed: list[Stream], *, now: float) -> None:
        for stream in progressed:
            stream.n_events += 1
            stream.silent_since = now
            if not stream.is_own:
                continue
            self.watch.progressed(str(stream.number), now=now)
            if stream.n_done >= stream.n_answer:
                self.watch.ended(str(stream.number))

    def _tick(self, *, now: float) -> None:
        noticed = set(self.watch.overtaken(now=now))
        for stream in self.streams:
            if str(stream.number) in noticed and stream.noticed_at is None:
                stream.noticed_at = now
        for streams in (self.engine.running, self.engine.waiting):
            for stream in list(streams):
                if now - stream.silent_since > self._patience:
                    streams.remove(stream)
                    self.watch.ended(str(stream.number))

    def taken_wrongly(self) -> list[Stream]:
        """Return the streams that counted as overtaken at a sound group."""
        return [
            item
            for item in self.streams
            if item.noticed_at is not None and not item.is_forgotten
        ]
