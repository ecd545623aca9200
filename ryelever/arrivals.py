"""Validate callers' requests and convert them to arrivals for the request table."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING
from urllib.parse import unquote

from expression import Error, Ok

from .accounts import account_of
from .coordination.actions import Arrival, ChatWork, ServiceWork
from .coordination.requests import KEY_IN_FUTURE, check_key, mark_outcome_unknown
from .errors import Category, RyeleverError
from .protocol.openai import (
    decode_chat_request,
    fingerprint,
    model_body,
    models_list,
    shared_parts,
)
from .state.configuration_fold import NO_VERSION
from .state.idempotency_key import issued_at

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from .events import CallerRequest
    from .settings import Settings
    from .state.configuration_fold import ConfigurationFold

__all__ = ["ArrivalReader"]

SERVICES_PREFIX = "/services/"
MODELS_PATH = "/v1/models"

#: Header in which a caller sets the deadline of its request, in seconds from now.
TIMEOUT_HEADER = "x-request-timeout"

#: Header with the idempotency key of a request that must run at most once.
KEY_HEADER = "idempotency-key"


class ArrivalReader:
    """Validate requests against the configuration in force.

    Parameters
    ----------
    log_time : callable
        Return the newest append time read from the log, in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        configuration: ConfigurationFold,
        log_time: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._log_time = log_time
        self._configuration = configuration

    def read(self, request: CallerRequest) -> Result[Arrival | None, RyeleverError]:
        """Return the arrival, or None if the caller requests the list of models.

        A resend with a valid idempotency key that is refused here may have run before:
        the configuration may have changed since the first attempt, or another entry
        host may have read a newer version.  The error then reports an unknown outcome,
        unless the key was issued in the future.
        """
        arrival = self._read(request)
        key = request.headers.get(KEY_HEADER, "")
        if arrival.is_error() and key and issued_at(key) is not None:
            is_certain = arrival.error.code == KEY_IN_FUTURE
            return arrival if is_certain else Error(mark_outcome_unknown(arrival.error))
        return arrival

    def _read(self, request: CallerRequest) -> Result[Arrival | None, RyeleverError]:
        if self._configuration.version == NO_VERSION:
            return _error(
                "this entry host has read no configuration yet; ask again",
                category=Category.UNAVAILABLE,
                code="not_ready",
                retry_after=1.0,
            )
        account = account_of(
            request.headers.get("authorization", ""), self._configuration.configuration
        )
        if account is None:
            return _error(
                "no client account has this key; send Authorization: Bearer KEY",
                category=Category.UNAUTHORIZED,
                code="invalid_api_key",
            )
        if request.path == MODELS_PATH or request.path.startswith(MODELS_PATH + "/"):
            if request.method not in ("GET", "HEAD"):
                return _error("use GET", category=Category.BAD_REQUEST, code="use_get")
            return _ok(None)
        if request.path == "/v1/chat/completions":
            if request.method != "POST":
                return _error(
                    "use POST", category=Category.BAD_REQUEST, code="use_post"
                )
            return self._chat_arrival(request, account)
        if request.path.startswith(SERVICES_PREFIX):
            return self._service_arrival(request, account)
        return _error(
            f"there is nothing at {request.path}",
            category=Category.NOT_FOUND,
            code="unknown_path",
        )

    def models_answer(self, request: CallerRequest) -> Result[bytes, RyeleverError]:
        """Return the body that lists the account's models, or describes one of them."""
        configuration = self._configuration.configuration
        account = account_of(request.headers["authorization"], configuration)
        allowed = configuration.client_accounts[account].models
        names = []
        for name, model in sorted(configuration.models.items()):
            if allowed and name not in allowed:
                continue
            names.append(name)
            names += [f"{name}:{adapter}" for adapter in sorted(model.adapters)]
        requested = unquote(request.path.removeprefix(MODELS_PATH).lstrip("/"))
        if not requested:
            return Ok(models_list(names, created=0))
        if requested not in names:
            return _model_not_found(requested)
        return Ok(model_body(requested, created=0))

    def _chat_arrival(
        self, request: CallerRequest, account: str
    ) -> Result[Arrival | None, RyeleverError]:
        work = decode_chat_request(request.body)
        if work.is_error():
            return work
        configuration = self._configuration.configuration
        model = configuration.models.get(work.ok.model)
        allowed = configuration.client_accounts[account].models
        known = model is not None and (not allowed or work.ok.model in allowed)
        if not known or (work.ok.adapter and work.ok.adapter not in model.adapters):
            return _model_not_found(work.ok.name)
        return self._new_arrival(request, account, work.ok)

    def _service_arrival(
        self, request: CallerRequest, account: str
    ) -> Result[Arrival | None, RyeleverError]:
        name, _, rest = request.path[len(SERVICES_PREFIX) :].partition("/")
        service = self._configuration.configuration.services.get(name)
        if service is None:
            return _error(
                f"service {name!r} is not declared",
                category=Category.NOT_FOUND,
                code="unknown_service",
            )
        path = "/" + rest + (f"?{request.query}" if request.query else "")
        needs_key = any(path.startswith(prefix) for prefix in service.non_repeatable)
        key = request.headers.get(KEY_HEADER, "")
        if needs_key and request.method not in ("GET", "HEAD") and not key:
            return _error(
                "this call runs at most once; send an Idempotency-Key",
                category=Category.BAD_REQUEST,
                code="idempotency_key_missing",
            )
        work = ServiceWork(
            service=name,
            method=request.method,
            path=path,
            content_type=request.headers.get("content-type", ""),
            body=request.body,
        )
        return self._new_arrival(request, account, work)

    def _new_arrival(
        self, request: CallerRequest, account: str, work: ChatWork | ServiceWork
    ) -> Result[Arrival | None, RyeleverError]:
        timeout = self._timeout(request)
        if timeout.is_error():
            return timeout
        key = request.headers.get(KEY_HEADER, "")
        # A host whose clock is slow would refuse a key as issued in the future, and
        # report "not run", although another host has claimed the key and run the
        # request.  The append time of that claim shows that the key is not too new.
        wall_time = max(time.time(), self._log_time())
        checked = check_key(key, wall_time=wall_time) if key else Ok(0.0)
        if checked.is_error():
            return checked
        now = time.monotonic()
        declared = self._configuration.configuration.client_accounts[account]
        arrival = Arrival(
            request_id=request.request_id,
            client_account=account,
            work=work,
            arrived_at=now,
            deadline=now + timeout.ok,
            priority=declared.priority,
            idempotency_key=key,
            fingerprint=fingerprint(
                request.method.encode(),
                request.path.encode(),
                request.query.encode(),
                request.body,
            ),
            shared_parts=shared_parts(work) if isinstance(work, ChatWork) else (),
        )
        return _ok(arrival)

    def _timeout(self, request: CallerRequest) -> Result[float, RyeleverError]:
        text = request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return Ok(self._settings.request_timeout)
        max_timeout = self._settings.max_request_timeout
        try:
            seconds = float(text)
        except ValueError:
            seconds = math.nan
        if 0 < seconds <= max_timeout:
            return Ok(seconds)
        return _error(
            f"X-Request-Timeout must be a number of seconds above 0 and up to "
            f"{max_timeout:g}",
            category=Category.BAD_REQUEST,
            code="invalid_timeout",
        )


def _ok(arrival: Arrival | None) -> Result[Arrival | None, RyeleverError]:
    return Ok(arrival)


def _model_not_found(name: str) -> Result[Arrival | None, RyeleverError]:
    return _error(
        f"model {name!r} is not served to this client account; "
        "GET /v1/models names those that are",
        category=Category.NOT_FOUND,
        code="model_not_found",
    )


def _error(
    message: str,
    *,
    category: Category,
    code: str,
    retry_after: float | None = None,
) -> Result[Arrival | None, RyeleverError]:
    return Error(
        RyeleverError(
            message,
            category=category,
            step="read_request",
            code=code,
            retry_after=retry_after,
        )
    )
