"""Define the errors that ryelever reports, each with its step and its peer."""

from __future__ import annotations

import enum

__all__ = ["Category", "RunState", "RyeleverError"]


class Category(enum.Enum):
    """Say who can mend an error: the caller, the operator, or time."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    LIMITED = "limited"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    INTERNAL = "internal"


class RunState(enum.Enum):
    """Say whether a request reached a backend server.

    ``NOT_RUN`` is a promise: no byte of the request left for a backend server,
    or the backend server itself refused it.  Anything less certain is
    ``OUTCOME_UNKNOWN``.
    """

    NOT_RUN = "not_run"
    RUN = "run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RyeleverError(Exception):
    """Carry one failure together with where it arose and what to do about it.

    Parameters
    ----------
    message : str
        What went wrong and what the reader can do.
    category : Category
        Who can mend it.
    step : str
        The step of the work, such as ``"admit"`` or ``"read_log"``.
    peer : str
        The other side: an address or a name; empty where there is none.
    code : str
        Stable identifier for programs; the category's value by default.
    run_state : RunState
        Whether the request, if there is one, was run.
    retry_after : float or None
        Seconds after which coming back makes sense.
    """

    def __init__(
        self,
        message: str,
        *,
        category: Category,
        step: str,
        peer: str = "",
        code: str = "",
        run_state: RunState = RunState.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.category = category
        self.step = step
        self.peer = peer
        self.code = code or category.value
        self.run_state = run_state
        self.retry_after = retry_after

    def __repr__(self) -> str:
        return (
            f"{type(self).__name__}({self.code!r}, step={self.step!r}, "
            f"peer={self.peer!r}, run_state={self.run_state.value!r}, "
            f"message={self.message!r})"
        )
