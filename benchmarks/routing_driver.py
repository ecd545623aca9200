"""Simulate engines, prompts and entry hosts for routing benchmarks."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.routing_fleet import FakeFleet, chat
from ryelever.coordination.actions import Arrival

#: Characters of one prompt block, the unit of prefix caching.
BLOCK = 256

#: Requests that one engine runs at a time, and blocks that its cache holds.
MAX_RUNNING = 16
MAX_CACHED_BLOCKS = 400

#: Seconds to prefill one block that isn't cached, and seconds between two tokens.  The
#: running requests multiply the latter by up to 2.
PREFILL_OF_BLOCK = 0.010
TOKEN_GAP = 0.012

#: Seconds until an entry host has an engine's report.
REPORT_LAG = 0.3

#: Seconds of a run, and of its start, which isn't counted.
DURATION = 30.0
WARM_UP = 10.0


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One attempt at an engine, with callbacks for its first token and its end."""

    arrival: Arrival
    blocks: tuple[int, ...]
    n_tokens: int
    on_first: Callable[[Job], None]
    on_end: Callable[[Job], None]
    sent_at: float
    first_at: float = 0.0
    n_cached: int = 0
    is_cancelled: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class Engine:
    """Simulated engine that batches requests and caches prompt prefixes.

    ``slowness`` multiplies the times of prefill and decoding.
    """

    name: str
    slowness: float = 1.0
    running: set[Job] = field(default_factory=set)
    waiting: deque[Job] = field(default_factory=deque)
    prefill_free_at: float = 0.0
    cache: OrderedDict[tuple[int, int], None] = field(default_factory=OrderedDict)

    def look_up(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks in the cache, and cache all blocks."""
        prefixes = [(index, hash(blocks[: index + 1])) for index in range(len(blocks))]
        n_cached = 0
        for prefix in prefixes:
            if prefix not in self.cache:
                break
            n_cached += 1
        for prefix in prefixes:
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        while len(self.cache) > MAX_CACHED_BLOCKS:
            self.cache.popitem(last=False)
        return n_cached


class Driver:
    """Simulate engines with one queue of timed callbacks."""

    def __init__(self, *, names: list[str], seed: int) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.engines_by_name = {name: Engine(name=name) for name in names}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a callback for a time in seconds."""
        heapq.heappush(self._heap, (when, next(self._order), call))

    def run(self, until: float) -> None:
        """Run the callbacks that are due before a time."""
        while self._heap and self._heap[0][0] < until:
            self.now, _, call = heapq.heappop(self._heap)
            call()

    def send(self, job: Job, name: str) -> None:
        """Queue an attempt at an engine."""
        engine = self.engines_by_name[name]
        engine.waiting.append(job)
        self._fill(engine)

    def cancel(self, job: Job, name: str) -> None:
        """Cancel an attempt and free its slot at the engine."""
        job.is_cancelled = True
        engine = self.engines_by_name[name]
        engine.running.discard(job)
        self._fill(engine)

    def _fill(self, engine: Engine) -> None:
        while engine.waiting and len(engine.running) < MAX_RUNNING:
            job = engine.waiting.popleft()
            if job.is_cancelled:
                continue
            engine.running.add(job)
            job.n_cached = engine.look_up(job.blocks)
            n_fresh = len(job.blocks) - job.n_cached
            begin = max(self.now, engine.prefill_free_at)
            seconds = (0.005 + n_fresh * PREFILL_OF_BLOCK) * engine.slowness
            engine.prefill_free_at = begin + seconds
            self.at(begin + seconds, lambda job=job: self._first(engine, job))

    def _first(self, engine: Engine, job: Job) -> None:
        if job.is_cancelled:
            return
        job.first_at = self.now
        job.on_first(job)
        crowding = 1.0 + len(engine.running) / MAX_RUNNING
        seconds = job.n_tokens * TOKEN_GAP * crowding * engine.slowness
        self.at(self.now + seconds, lambda: self._end(engine, job))

    def _end(self, engine: Engine, job: Job) -> None:
        if job.is_cancelled:
            return
        engine.running.discard(job)
        self._fill(engine)
        job.on_end(job)


class Workload:
    """Draw random prompts: shared system prompts, conversations and short prompts."""

    def __init__(self, *, seed: int, share_identical: float = 0.02) -> None:
        self._random = random.Random(seed)
        self._share_identical = share_identical
        self._conversations: list[list[int]] = []
        self._last_blocks: tuple[int, ...] = (0,)
        self._weights = [1.0 / (rank + 1) for rank in range(40)]

    def draw(self) -> tuple[tuple[int, ...], int, bool]:
        """Return prompt blocks, tokens to generate, and whether the prompt repeats.

        A prompt repeats if its blocks are those of the previous prompt.
        """
        draw = self._random.random()
        n_tokens = self._random.randint(20, 90)
        if draw < self._share_identical:
            return self._last_blocks, n_tokens, True
        if draw < 0.2:
            blocks = ()
        elif draw < 0.6 and self._conversations:
            conversation = self._random.choice(self._conversations[-400:])
            conversation += self._new_blocks(2)
            blocks = tuple(conversation)
        else:
            system = self._random.choices(range(40), self._weights)[0]
            conversation = [system * 3, system * 3 + 1, system * 3 + 2]
            conversation += self._new_blocks(2)
            self._conversations.append(conversation)
            blocks = tuple(conversation)
        self._last_blocks = blocks
        return blocks, n_tokens, False

    def _new_blocks(self, n_blocks: int) -> list[int]:
        return [self._random.getrandbits(40) + 1000 for _ in range(n_blocks)]


def prompt(blocks: tuple[int, ...], *, number: int, now: float) -> Arrival:
    """Return a chat request whose text consists of the given blocks."""
    text = "".join(f"{block:>{BLOCK}}" for block in blocks) or f"short {number}"
    return chat(text, now=now)


def entry_fleets(zones: dict[str, int], *, n_hosts: int) -> list[tuple[str, FakeFleet]]:
    """Return name and fleet state of each entry host, spread over the zones."""
    fleets = []
    names = list(zones)
    for number in range(n_hosts):
        own = names[number % len(names)]
        ordered = {own: zones[own]} | zones
        fleets.append((f"entry-{number}", FakeFleet(zones=ordered)))
    return fleets
