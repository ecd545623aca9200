"""Let single calls of some classes' methods raise an exception."""

from __future__ import annotations

import functools
import inspect
from collections.abc import Callable, Iterable
from typing import Any

import pytest

__all__ = ["RaisingCall", "spread"]


class RaisingCall:
    """Raise an exception in one of the calls of some methods.

    Parameters
    ----------
    owners : dict of type to collection of str
        Classes and the names of their methods; all but special ones if empty.
    index : int
        Index of the call that raises; negative for none.

    Attributes
    ----------
    names : list of str
        Names of the methods called, in their order.
    """

    def __init__(
        self,
        *,
        owners: dict[type, Iterable[str]],
        index: int,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        self._index = index
        self.names: list[str] = []
        for owner, chosen in owners.items():
            for name, method in list(vars(owner).items()):
                is_chosen = name in chosen if chosen else name[:2] != "__"
                if inspect.isfunction(method) and is_chosen:
                    monkeypatch.setattr(owner, name, self._wrapped(method))

    def _wrapped(self, method: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(method)
        def wrapper(*args: Any, **fields: Any) -> Any:
            self.names.append(method.__qualname__)
            if len(self.names) - 1 == self._index:
                raise ValueError(method.__qualname__)
            return method(*args, **fields)

        return wrapper


def spread(names: list[str], n_each: int) -> list[int]:
    """Return the indices of some calls of each method."""
    indices_by_name: dict[str, list[int]] = {}
    for index, name in enumerate(names):
        indices_by_name.setdefault(name, []).append(index)
    chosen: set[int] = set()
    for indices in indices_by_name.values():
        chosen.update(indices[:: max(1, len(indices) // n_each)])
    return sorted(chosen)
