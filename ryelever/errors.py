"""Define the exception that ryelever raises and how its errors are classified."""

from __future__ import annotations

import enum

__all__ = ["Category", "RunState", "RyeleverError"]


class Category(enum.Enum):
    """Classify errors by who can resolve them: caller, operator, or a later retry."""

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
    """Whether a backend server has run a request.

    ``NOT_RUN`` is a guarantee: no byte of the request was sent to a backend server,
    or the backend server refused the request.  Every less certain case is
    ``OUTCOME_UNKNOWN``.
    """

    NOT_RUN = "not_run"
    RUN = "run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RyeleverError(Exception):
    """Report a failure with the step and the peer at which it occurred.

    Parameters
    ----------
    message : str
        Description of the failure and of what the reader can do about it.
    category : Category
        Class of the error.
    step : str
        Step of the work that failed, such as ``"admit"`` or ``"read_log"``.
    peer : str
        Address or name of the other side; empty if there is none.
    code : str
        Stable identifier for programs; the category's value by default.
    run_state : RunState
        Whether the request, if there is one, was run.
    retry_after : float or None
        Seconds after which a retry is useful.
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
