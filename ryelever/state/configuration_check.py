"""Check a configuration against the rules that types cannot express.

``ConfigurationFold`` and ``check_document`` both call ``find_faults``, which depends on
the configuration alone, so that every process finds the same faults in the same order.
Hosts of two releases that run side by side must apply the same rules: with a stricter
rule, for example, the newer hosts would ignore a publication that the older hosts have
in force.
"""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from ..faults import Fault

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .configuration import ClientAccount, Configuration, Model, Service, Weights

__all__ = ["find_faults", "json_pointer"]

MAX_HOSTS_PER_GROUP = 64
MAX_GROUPS = 10_000
MAX_PRIORITY = 1_000

#: Rounding error allowed in a sum of shares that is meant to be 1.
SHARE_TOLERANCE = 1e-9

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}")
_VERSION = re.compile(r"[!-~]{1,200}")
_KEY_HASH = re.compile(r"[!-#%-~]{1,64}\$[0-9a-f]{64}")
_PREFIX = re.compile(r"/[!-~]{0,200}")

_NAME_EXPECTED = (
    "a name of at most 100 letters, digits, '-', '_' and '.' "
    "that starts with a letter or a digit"
)


def json_pointer(*parts: str) -> str:
    """Return the JSON pointer (RFC 6901) to a place in the document."""
    return "".join("/" + part.replace("~", "~0").replace("/", "~1") for part in parts)


def find_faults(configuration: Configuration) -> list[Fault]:
    """Return all faults of a configuration whose fields have the correct types."""
    faults: list[Fault] = []
    for name, model in configuration.models.items():
        faults += _model_faults(name, model)
    for name, account in configuration.client_accounts.items():
        faults += _account_faults(name, account, models=configuration.models)
    faults += _share_faults(configuration.client_accounts.values())
    for name, service in configuration.services.items():
        faults += _service_faults(name, service)
    faults += _weight_faults(configuration.weights)
    return faults


def _model_faults(name: str, model: Model) -> Iterator[Fault]:
    yield from _name_faults("models", name)
    yield from _version_faults(model.version, "models", name, "version")
    for adapter, version in model.adapters.items():
        yield from _name_faults("models", name, "adapters", adapter)
        yield from _version_faults(version, "models", name, "adapters", adapter)
    yield from _range_faults(
        model.hosts_per_group,
        1,
        MAX_HOSTS_PER_GROUP,
        json_pointer("models", name, "hosts_per_group"),
    )
    yield from _range_faults(
        model.n_groups, 1, MAX_GROUPS, json_pointer("models", name, "n_groups")
    )
    yield from _priority_faults(model.priority, "models", name)


def _account_faults(
    name: str, account: ClientAccount, *, models: dict[str, Model]
) -> Iterator[Fault]:
    yield from _name_faults("client_accounts", name)
    if not _KEY_HASH.fullmatch(account.key_hash):
        yield Fault(
            place=json_pointer("client_accounts", name, "key_hash"),
            expected="a salt, '$' and the SHA-256 digest in 64 hexadecimal digits",
            remedy="create a new key for this client account in the console",
        )
    yield from _priority_faults(account.priority, "client_accounts", name)
    if not (math.isfinite(account.rate) and account.rate > 0):
        yield Fault(
            place=json_pointer("client_accounts", name, "rate"),
            expected="a number of requests per second above 0",
            remedy=f"replace {account.rate}",
        )
    if account.concurrency < 1:
        yield Fault(
            place=json_pointer("client_accounts", name, "concurrency"),
            expected="a whole number of requests, at least 1",
            remedy=f"replace {account.concurrency}",
        )
    yield from _range_faults(
        account.share, 0, 1, json_pointer("client_accounts", name, "share")
    )
    for model in account.models:
        if model not in models:
            yield Fault(
                place=json_pointer("client_accounts", name, "models"),
                expected="names of declared models",
                remedy=f"declare model {model!r} or remove it here",
            )


def _share_faults(accounts: Iterable[ClientAccount]) -> Iterator[Fault]:
    total = sum(account.share for account in accounts)
    if total > 1 + SHARE_TOLERANCE:
        yield Fault(
            place=json_pointer("client_accounts"),
            expected="shares that sum to at most 1",
            remedy=f"lower some: they sum to {total:g}",
        )


def _service_faults(name: str, service: Service) -> Iterator[Fault]:
    yield from _name_faults("services", name)
    for prefix in service.non_repeatable:
        if not _PREFIX.fullmatch(prefix):
            yield Fault(
                place=json_pointer("services", name, "non_repeatable"),
                expected="path prefixes that begin with '/' and contain no spaces",
                remedy=f"replace {prefix!r}",
            )


def _weight_faults(weights: Weights) -> Iterator[Fault]:
    values_by_name = {
        "group_downtime": weights.group_downtime,
        "stranded_accelerators": weights.stranded_accelerators,
    }
    for name, value in values_by_name.items():
        yield from _range_faults(value, 0, 1, json_pointer("weights", name))
    if all(value == 0 for value in values_by_name.values()):
        yield Fault(
            place=json_pointer("weights"),
            expected="at least one weight above 0",
            remedy="raise the weight of the more important measure",
        )


def _name_faults(*parts: str) -> Iterator[Fault]:
    if not _NAME.fullmatch(parts[-1]):
        yield Fault(
            place=json_pointer(*parts),
            expected=_NAME_EXPECTED,
            remedy=f"rename {parts[-1]!r}",
        )


def _version_faults(version: str, *parts: str) -> Iterator[Fault]:
    if not _VERSION.fullmatch(version):
        yield Fault(
            place=json_pointer(*parts),
            expected="a version of 1 to 200 printable characters without spaces",
            remedy="enter a version that the weight store contains",
        )


def _priority_faults(priority: int, *parts: str) -> Iterator[Fault]:
    yield from _range_faults(
        priority, -MAX_PRIORITY, MAX_PRIORITY, json_pointer(*parts, "priority")
    )


def _range_faults(
    value: float, lowest: float, highest: float, place: str
) -> Iterator[Fault]:
    # The negated comparison also rejects NaN.
    if not lowest <= value <= highest:
        yield Fault(
            place=place,
            expected=f"a number from {lowest:g} to {highest:g}",
            remedy=f"replace {value}",
        )
