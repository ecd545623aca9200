"""Define the actions that decisions return for the process to carry out."""

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
    """A chat completion request to a model."""

    model: str
    messages: list[dict]
    max_tokens: int
    streamed: bool
    adapter: str = ""
    include_usage: bool = False

    @property
    def name(self) -> str:
        """Return the model name used by callers: ``model`` or ``model:adapter``."""
        return f"{self.model}:{self.adapter}" if self.adapter else self.model


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceWork:
    """A call to a plain service, which is forwarded unchanged."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class Arrival:
    """An accepted request of a caller.

    Attributes
    ----------
    deadline : float
        Monotonic time after which the caller has no use for an answer.
    idempotency_key : str
        Set when the request must run at most once.
    fingerprint : str
        Digest of the work; a repeated request has the same digest.
    shared_parts : tuple of str
        Digests of the parts of a prompt that other requests may share.
    """

    request_id: str
    client_account: str
    work: ChatWork | ServiceWork
    arrived_at: float
    deadline: float
    priority: int = 0
    idempotency_key: str = ""
    fingerprint: str = ""
    shared_parts: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return not self.idempotency_key


@dataclass(slots=True, kw_only=True, frozen=True)
class Target:
    """Identify the backend server of an attempt.

    Attributes
    ----------
    name : str
        Group name, or host name of a plain service.
    fencing : int
        Fencing token of the group; -1 for a plain service.
    hosts : tuple of str
        Members of the group, the head first; for a plain service only its host.
    """

    name: str
    address: str
    fencing: int = -1
    hosts: tuple[str, ...] = ()

    @property
    def server(self) -> str:
        """Return the name of the host at ``address``."""
        return self.hosts[0] if self.hosts else self.name


@dataclass(slots=True, kw_only=True, frozen=True)
class Usage:
    """The token counts of an answer."""

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
    """Cancel an attempt whose answer is no longer needed."""

    attempt_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerError:
    """End a request with an error before anything was sent to the caller."""

    request_id: str
    error: RyeleverError


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerComplete:
    """End a chat request with its complete answer."""

    request_id: str
    tokens: tuple[str, ...]
    finish_reason: str
    usage: Usage


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerService:
    """End a service call with the answer of the service."""

    request_id: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamTokens:
    """Forward tokens to a caller that requested a stream."""

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
    retry_for : float
        Seconds during which the append may be retried; 0 selects the default
        deadline of appends.
    """

    stream: str
    record: Record
    record_id: str
    retry_for: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SendOrder:
    """Order a host to join or leave a group.

    Attributes
    ----------
    expires_ms : int
        Time on the engine's clock, in milliseconds, after which the engine must not
        start to execute the order.  The clock is taken from the engine's reports;
        0 when they contain no clock.
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
