"""Define what decisions ask the process to do, one class an action."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import RyeleverError
from ..state.records import Record

__all__ = [
    "Action",
    "AnswerError",
    "AnswerService",
    "AnswerComplete",
    "AppendRecord",
    "Arrival",
    "CancelAttempt",
    "ChatWork",
    "SendAttempt",
    "SendOrder",
    "ServiceWork",
    "StreamFailed",
    "StreamFinished",
    "StreamTokens",
    "Target",
    "Usage",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class ChatWork:
    """Hold what a model is asked."""

    model: str
    messages: list[dict]
    max_tokens: int
    streamed: bool
    adapter: str = ""
    include_usage: bool = False

    @property
    def name(self) -> str:
        """Return the model as callers name it: ``model`` or ``model:adapter``."""
        return f"{self.model}:{self.adapter}" if self.adapter else self.model


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceWork:
    """Hold a call to a plain service, passed on as it came."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class Arrival:
    """Hold one accepted caller's request.

    Attributes
    ----------
    deadline : float
        Monotonic time at which the answer is of no use any more.
    idempotency_key : str
        Set when the request must run at most once.
    fingerprint : str
        Digest of the work, the same for a resend.
    """

    request_id: str
    client_account: str
    work: ChatWork | ServiceWork
    arrived_at: float
    deadline: float
    priority: int = 0
    idempotency_key: str = ""
    fingerprint: str = ""

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return not self.idempotency_key


@dataclass(slots=True, kw_only=True, frozen=True)
class Target:
    """Name the backend server of one attempt.

    Attributes
    ----------
    name : str
        Group name, or host name of a plain service.
    fencing : int
        Fencing number of the group; -1 for a plain service.
    hosts : tuple of str
        The hosts that die with the attempt.
    """

    name: str
    address: str
    fencing: int = -1
    hosts: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Usage:
    """Count the tokens of one answer."""

    n_prompt_tokens: int = 0
    n_completion_tokens: int = 0
    n_cached_tokens: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class SendAttempt:
    """Send a request to a backend server."""

    attempt_id: str
    arrival: Arrival
    target: Target
    delivered: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class CancelAttempt:
    """Stop an attempt whose answer nobody waits for."""

    attempt_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerError:
    """End a request with an error before anything was sent to the caller."""

    request_id: str
    error: RyeleverError


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerComplete:
    """End a chat request with its whole answer."""

    request_id: str
    tokens: tuple[str, ...]
    finish_reason: str
    usage: Usage


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerService:
    """End a service call with the service's own answer."""

    request_id: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamTokens:
    """Pass tokens on to a caller that asked for a stream."""

    request_id: str
    tokens: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamFinished:
    """End a stream with its terminal event."""

    request_id: str
    finish_reason: str
    usage: Usage


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamFailed:
    """End a stream with an explicit error event."""

    request_id: str
    error: RyeleverError


@dataclass(slots=True, kw_only=True, frozen=True)
class AppendRecord:
    """Append a record to a stream of the log.

    Attributes
    ----------
    kept_for : float
        Seconds for which the append is repeated; 0 leaves it to the writer.
    """

    stream: str
    record: Record
    record_id: str
    kept_for: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SendOrder:
    """Order one host to join or to leave a group.

    Attributes
    ----------
    expires_ms : int
        Reading of the engine's own clock, as its reports give it, after which it
        must not begin to obey; 0 when the engine gave none.
    """

    host: str
    address: str
    kind: str
    group: str
    fencing: int
    rank: int = 0
    members: tuple[str, ...] = field(default_factory=tuple)
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    expires_ms: int = 0


Action = (
    SendAttempt
    | CancelAttempt
    | AnswerError
    | AnswerComplete
    | AnswerService
    | StreamTokens
    | StreamFinished
    | StreamFailed
    | AppendRecord
    | SendOrder
)
