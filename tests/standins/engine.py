"""Stand-in for the model engine of one host of a replica group."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import time
import uuid
from collections import OrderedDict
from dataclasses import dataclass, field

import aiohttp
import defopt
from aiohttp import web

from .runner import run

#: Text that crashes the engine when a request contains it.
POISON = "crash-the-engine"

#: Maximum number of prefixes in the cache.
MAX_CACHED = 64

#: Number of words of a block; prefixes of complete blocks are cached.
WORDS_PER_BLOCK = 4


@dataclass(slots=True, kw_only=True, eq=False)
class _Job:
    """One generation, with the queue of items to stream."""

    attempt: str
    seed: str
    priority: int
    n_tokens: int
    position: int
    prefill_steps: int
    n_prompt_tokens: int
    n_cached_tokens: int
    items: asyncio.Queue = field(default_factory=asyncio.Queue)


class Engine:
    """Engine that batches requests continuously, caches prefixes and applies orders."""

    def __init__(
        self,
        *,
        host: str,
        checks_fencing: bool,
        step_ms: float,
        load_ms: float,
        weight_store: str,
        max_batch: int,
    ) -> None:
        self.host = host
        self.checks_fencing = checks_fencing
        self.step = step_ms / 1000
        self.load = load_ms / 1000
        self.weight_store = weight_store
        self.max_batch = max_batch
        self.boot = uuid.uuid4().hex[:12]
        self.state = "idle"
        self.group = ""
        self.fencing = -1
        self.rank = -1
        self.members: tuple[str, ...] = ()
        self.model = ""
        self.version = ""
        self.adapters: tuple[str, ...] = ()
        self.running: list[_Job] = []
        self.waiting: list[_Job] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cache_events: list[dict] = []
        self.n_generated = 0
        self.n_generate_calls = 0
        self.n_cancelled = 0
        self.token_bytes = 0
        self.order_delay = 0.0
        self.n_expired_orders = 0
        self.n_stale_orders = 0
        self.tokens_per_event = 1
        self.is_held = False
        self.held_at = 0
        self.reported_load = (0, 0)
        self._tasks: set[asyncio.Task] = set()
        self._group_task: asyncio.Task | None = None

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=16 << 20)
        app.router.add_get("/v1/report", self.report)
        app.router.add_post("/v1/orders", self.order)
        app.router.add_post("/v1/generate", self.generate)
        app.router.add_post("/v1/cancel", self.cancel)
        app.router.add_get("/v1/cache-events", self.read_cache_events)
        app.router.add_get("/v1/kv/{prefix}", self.export_kv)
        app.router.add_put("/v1/kv/{prefix}", self.import_kv)
        app.router.add_get("/v1/ring", self.ring)
        app.router.add_post("/control", self.control)
        app.router.add_get("/control", self.describe)
        app.on_startup.append(self._start)
        return app

    async def _start(self, app: web.Application) -> None:
        self._spawn(self._run_steps())
        self._spawn(self._report_load())

    def _spawn(self, coroutine: object) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Reports and orders

    def _report(self) -> dict:
        n_running, n_waiting = self.reported_load
        return {
            "host": self.host,
            "boot": self.boot,
            "state": self.state,
            "group": self.group,
            "fencing": self.fencing,
            "rank": self.rank,
            "model": self.model,
            "version": self.version,
            "adapters": self.adapters,
            "running": n_running,
            "waiting": n_waiting,
            "kv_used": len(self.cache) / MAX_CACHED,
            "clock_ms": _clock_ms(),
        }

    async def _report_load(self) -> None:
        while True:
            await asyncio.sleep(0.3)
            self.reported_load = (len(self.running), len(self.waiting))

    async def report(self, request: web.Request) -> web.Response:
        """Return the report of this host."""
        return web.json_response(self._report())

    async def order(self, request: web.Request) -> web.Response:
        """Apply an order, unless it has expired or its fencing token is outdated.

        An order has expired once the engine's own clock is past ``expires_ms``.  Only
        an engine with ``checks_fencing`` checks fencing tokens.
        """
        order = await request.json()
        if self.order_delay:
            # The order is delayed, as in the queue of a slow connection, and is
            # applied although its sender has timed out and gets no answer any more.
            delay, self.order_delay = self.order_delay, 0.0
            self._spawn(self._apply_order_later(order, delay))
            return web.json_response({"error": "timeout"}, status=504)
        return self._apply_order(order)

    async def _apply_order_later(self, order: dict, delay: float) -> None:
        await asyncio.sleep(delay)
        self._apply_order(order)

    def _apply_order(self, order: dict) -> web.Response:
        if 0 < order.get("expires_ms", 0) < _clock_ms():
            self.n_expired_orders += 1
            body = {"error": "expired"} | self._report()
            return web.json_response(body, status=409)
        if self.checks_fencing and order["fencing"] < self.fencing:
            self.n_stale_orders += 1
            body = {"error": "stale_fencing"} | self._report()
            return web.json_response(body, status=409)
        if order["kind"] == "join":
            self._join(order)
        elif order["group"] == self.group:
            self._leave()
        self.fencing = max(self.fencing, order["fencing"])
        return web.json_response(self._report())

    def _join(self, order: dict) -> None:
        is_same = order["group"] == self.group and order["fencing"] == self.fencing
        if is_same and self.state != "broken":
            return
        self._leave()
        self.group = order["group"]
        self.fencing = order["fencing"]
        self.rank = order["rank"]
        self.members = tuple(order["members"])
        self.model = order["model"]
        self.version = order["version"]
        self.adapters = tuple(order["adapters"])
        self.state = "loading"
        self._group_task = self._spawn(self._load_and_watch(self.group, self.fencing))

    def _leave(self) -> None:
        if self._group_task is not None:
            self._group_task.cancel()
            self._group_task = None
        self._abort_all("the host left its group")
        self.state = "idle"
        self.group = ""
        self.rank = -1
        self.members = ()

    def _abort_all(self, reason: str) -> None:
        for job in self.running + self.waiting:
            job.items.put_nowait({"attempt": job.attempt, "error": reason})
        self.running.clear()
        self.waiting.clear()

    async def _load_and_watch(self, group: str, fencing: int) -> None:
        """Load the model, then watch the other members and abort when one is gone."""
        async with aiohttp.ClientSession() as session:
            if self.weight_store:
                path = f"/v1/weights/{self.model}/{self.version}"
                async with session.get(f"http://{self.weight_store}{path}") as answer:
                    await answer.read()
            await asyncio.sleep(self.load)
            self.state = "ready"
            own_rank = self.rank
            other_members = [
                member for rank, member in enumerate(self.members) if rank != own_rank
            ]
            watches = [self._watch(session, member) for member in other_members]
            done, pending = await asyncio.wait(
                [self._spawn(watch) for watch in watches]
                or [self._spawn(_wait_forever())],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in pending:
                task.cancel()
        self._abort_all("a member of the group is gone")
        self.state = "broken"

    async def _watch(self, session: aiohttp.ClientSession, member: str) -> None:
        """Return once the connection to a member of the group has ended."""
        with contextlib.suppress(aiohttp.ClientError, OSError):
            timeout = aiohttp.ClientTimeout(total=None)
            url = f"http://{member}/v1/ring"
            async with session.get(url, timeout=timeout) as answer:
                async for _ in answer.content:
                    pass

    async def ring(self, request: web.Request) -> web.StreamResponse:
        """Keep the connection of another member open until this engine ends."""
        answer = web.StreamResponse()
        await answer.prepare(request)
        await asyncio.Event().wait()
        return answer

    # Generation

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Stream the tokens of a generation as server-sent events."""
        self.n_generate_calls += 1
        body = await request.json()
        is_other = body["group"] != self.group or body["fencing"] != self.fencing
        if is_other or self.rank != 0 or self.state != "ready":
            return web.json_response({"error": "not this group"}, status=409)
        job = self._admit(body)
        answer = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await answer.prepare(request)
        try:
            await self._stream(job, answer)
        except (ConnectionError, asyncio.CancelledError):
            self.n_cancelled += 1
            raise
        finally:
            self._drop(job)
        return answer

    async def _stream(self, job: _Job, answer: web.StreamResponse) -> None:
        while True:
            item = await job.items.get()
            await answer.write(b"data: " + json.dumps(item).encode() + b"\n\n")
            if "error" in item or "finish_reason" in item:
                return

    def _admit(self, body: dict) -> _Job:
        text = json.dumps(body["messages"])
        if POISON in text:
            os._exit(86)
        words = text.split()
        n_cached = self._n_cached_words(words)
        seed = hashlib.sha256(f"{body['model']}{text}".encode()).hexdigest()[:6]
        job = _Job(
            attempt=body["attempt"],
            seed=seed,
            priority=body["priority"],
            n_tokens=body["max_tokens"],
            position=len(body["delivered"]),
            prefill_steps=(len(words) - n_cached) // 256,
            n_prompt_tokens=len(words),
            n_cached_tokens=n_cached,
        )
        self.waiting.append(job)
        self.waiting.sort(key=lambda waiting: -waiting.priority)
        return job

    def _n_cached_words(self, words: list[str]) -> int:
        """Return the length of the longest cached prefix; cache the missing ones."""
        n_cached = 0
        for end in range(WORDS_PER_BLOCK, len(words) + 1, WORDS_PER_BLOCK):
            prefix = hashlib.sha256(" ".join(words[:end]).encode()).hexdigest()[:16]
            if prefix in self.cache:
                n_cached = end
                self.cache.move_to_end(prefix)
            elif end <= 16 * WORDS_PER_BLOCK:
                self._cache_prefix(prefix, end)
        return n_cached

    def _cache_prefix(self, prefix: str, n_words: int) -> None:
        self.cache[prefix] = n_words
        self._add_cache_event("stored", prefix)
        while len(self.cache) > MAX_CACHED:
            evicted, _ = self.cache.popitem(last=False)
            self._add_cache_event("evicted", evicted)

    def _add_cache_event(self, kind: str, prefix: str) -> None:
        sequence = len(self.cache_events)
        self.cache_events.append({"sequence": sequence, "kind": kind, "prefix": prefix})

    def _drop(self, job: _Job) -> None:
        for jobs in (self.running, self.waiting):
            if job in jobs:
                jobs.remove(job)

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        while True:
            # A step begins a fixed time after the beginning of the previous one, so
            # that the rate of steps does not depend on how long a step takes.
            due_at = max(due_at + self.step, loop.time())
            await asyncio.sleep(due_at - loop.time())
            if self.is_held:
                continue
            while self.waiting and len(self.running) < self.max_batch:
                self.running.append(self.waiting.pop(0))
            for job in list(self.running):
                self._step(job)

    def _step(self, job: _Job) -> None:
        if job.prefill_steps:
            job.prefill_steps -= 1
            return
        if 0 < self.held_at <= job.position:
            return
        if job.position >= job.n_tokens:
            self.running.remove(job)
            job.items.put_nowait(
                {
                    "attempt": job.attempt,
                    "finish_reason": "stop",
                    "n_prompt_tokens": job.n_prompt_tokens,
                    "n_cached_tokens": job.n_cached_tokens,
                }
            )
            return
        end = min(job.n_tokens, job.position + self.tokens_per_event)
        tokens = [
            f"{job.seed}-{position} ".ljust(self.token_bytes, ".")
            for position in range(job.position, end)
        ]
        job.items.put_nowait(
            {"attempt": job.attempt, "index": job.position, "tokens": tokens}
        )
        job.position = end
        self.n_generated += len(tokens)

    async def cancel(self, request: web.Request) -> web.Response:
        """Stop the generation of an attempt."""
        attempt = (await request.json())["attempt"]
        for job in self.running + self.waiting:
            if job.attempt == attempt:
                self.n_cancelled += 1
                job.items.put_nowait({"attempt": attempt, "error": "cancelled"})
                self._drop(job)
        return web.json_response({})

    # Prefix cache

    async def read_cache_events(self, request: web.Request) -> web.Response:
        """Return cache events, without every tenth one and without the newest two.

        The omissions simulate events that are lost and events that arrive late.
        """
        start = int(request.query.get("from", "0"))
        events = [
            event
            for event in self.cache_events[start:-2]
            if event["sequence"] % 10 != 9
        ]
        return web.json_response({"events": events})

    async def export_kv(self, request: web.Request) -> web.Response:
        """Return the cached prefix, or 404."""
        n_words = self.cache.get(request.match_info["prefix"])
        if n_words is None:
            raise web.HTTPNotFound(text="not cached")
        return web.json_response({"n_words": n_words})

    async def import_kv(self, request: web.Request) -> web.Response:
        """Store a prefix in the cache."""
        body = await request.json()
        self._cache_prefix(request.match_info["prefix"], body["n_words"])
        return web.json_response({})

    # Switches

    async def control(self, request: web.Request) -> web.Response:
        """Set switches.

        ``leaving`` makes the host report that it leaves; ``held`` stops the generation
        of tokens until it is set to false; ``held_at`` stops each stream at a token
        until it is set to 0.
        """
        body = await request.json()
        self.step = body.get("step_ms", self.step * 1000) / 1000
        self.token_bytes = body.get("token_bytes", self.token_bytes)
        self.order_delay = body.get("order_delay", self.order_delay)
        self.is_held = body.get("held", self.is_held)
        self.held_at = body.get("held_at", self.held_at)
        self.tokens_per_event = body.get("tokens_per_event", self.tokens_per_event)
        if body.get("leaving"):
            self.state = "leaving"
        return web.json_response({})

    async def describe(self, request: web.Request) -> web.Response:
        """Return counts of tokens, of requests by state and of refused orders."""
        return web.json_response(
            {
                "n_generated": self.n_generated,
                "n_asked": self.n_generate_calls,
                "n_cancelled": self.n_cancelled,
                "n_running": len(self.running),
                "n_waiting": len(self.waiting),
                "n_expired_orders": self.n_expired_orders,
                "n_stale_orders": self.n_stale_orders,
            }
        )


def _clock_ms() -> int:
    return int(time.monotonic() * 1000)


async def _wait_forever() -> None:
    await asyncio.Event().wait()


def main(
    *,
    host: str,
    port: int = 0,
    checks_fencing: bool = True,
    step_ms: float = 20.0,
    load_ms: float = 200.0,
    weight_store: str = "",
    max_batch: int = 256,
) -> None:
    """Run the engine of one host.

    Parameters
    ----------
    host : str
        Name of the host.
    port : int
        Port; 0 picks a free one.
    checks_fencing : bool
        Refuse orders with an outdated fencing token.
    step_ms : float
        Duration of one step of the batch in milliseconds.
    load_ms : float
        Milliseconds to load a model.
    weight_store : str
        Address of the weight store; if empty, no weights are fetched.
    max_batch : int
        Maximum number of requests in one batch.
    """
    engine = Engine(
        host=host,
        checks_fencing=checks_fencing,
        step_ms=step_ms,
        load_ms=load_ms,
        weight_store=weight_store,
        max_batch=max_batch,
    )
    run(engine.app(), port=port)


if __name__ == "__main__":
    defopt.run(main)
