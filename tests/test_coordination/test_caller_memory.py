"""Test which connections' memory is released when all use too much."""

from __future__ import annotations

from ryelever.coordination.caller_memory import SMALL_USE, CallerMemory, MemoryUse

LIMIT = 20 * SMALL_USE


def _use(released: list[str], name: str) -> MemoryUse:
    return MemoryUse(release=lambda: released.append(name))


def test_largest_request_is_refused_first() -> None:
    """Guard against small requests that are refused beside large ones."""
    released: list[str] = []
    memory = CallerMemory(limit=LIMIT)
    small = _use(released, "small")
    memory.update(small, n_bytes=SMALL_USE, n_releasable=SMALL_USE)
    for name, size in (("middle", 4), ("large", 9)):
        n_bytes = size * SMALL_USE
        memory.update(_use(released, name), n_bytes=n_bytes, n_releasable=n_bytes)
    assert released == []
    newest = _use(released, "newest")
    memory.update(newest, n_bytes=3 * SMALL_USE, n_releasable=3 * SMALL_USE)
    assert released == ["large"]
    assert memory.n_bytes == 8 * SMALL_USE


def test_requests_being_answered_are_kept() -> None:
    """Guard against refusing a request that runs; the newest one is refused instead."""
    released: list[str] = []
    memory = CallerMemory(limit=LIMIT)
    for number in range(3):
        running = _use(released, f"running-{number}")
        memory.update(running, n_bytes=5 * SMALL_USE, n_releasable=0)
    newest = _use(released, "newest")
    memory.update(newest, n_bytes=2 * SMALL_USE, n_releasable=2 * SMALL_USE)
    assert released == ["newest"]
    small = _use(released, "small")
    memory.update(small, n_bytes=SMALL_USE, n_releasable=SMALL_USE)
    assert released == ["newest"]


def test_sum_of_small_requests_is_bounded() -> None:
    """Guard against memory that many connections fill with a little each."""
    released: list[str] = []
    memory = CallerMemory(limit=LIMIT)
    for number in range(100):
        use = _use(released, f"small-{number}")
        memory.update(use, n_bytes=SMALL_USE, n_releasable=SMALL_USE)
        assert memory.n_bytes <= LIMIT
    assert len(released) == memory.n_released == 80


def test_single_request_of_the_largest_size_is_kept() -> None:
    """Guard against a limit below the size that one request may have."""
    released: list[str] = []
    memory = CallerMemory(limit=LIMIT)
    memory.allow_request(2 * LIMIT)
    memory.update(_use(released, "only"), n_bytes=2 * LIMIT, n_releasable=2 * LIMIT)
    assert released == []
