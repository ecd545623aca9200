"""Describe the desired state that operators publish."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = [
    "ClientAccount",
    "Configuration",
    "Model",
    "Service",
    "Weights",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class Model:
    """Declare one model that is to be served.

    Attributes
    ----------
    version : str
        Version of the weights in the weight store.
    adapters : dict of str to str
        Version by adapter name.
    hosts_per_group : int
        Members of one replica group.
    n_groups : int
        Replica groups wanted in each availability zone.
    priority : int
        Higher goes first when hosts are short.
    """

    version: str
    adapters: dict[str, str] = field(default_factory=dict)
    hosts_per_group: int = 4
    n_groups: int = 1
    priority: int = 0

    @property
    def adapter_versions(self) -> tuple[str, ...]:
        """Return ``"<name>@<version>"`` of each adapter, in order of name."""
        return tuple(
            f"{name}@{version}" for name, version in sorted(self.adapters.items())
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class ClientAccount:
    """Declare one client account and its limits.

    Attributes
    ----------
    key_hash : str
        ``"<salt>$<sha256 of salt and secret, hexadecimal>"``.
    priority : int
        Higher goes first.
    rate : float
        Requests a second over all entry hosts.
    concurrency : int
        Requests in flight over all entry hosts.
    share : float
        Part of the donated capacity, 0 to 1.
    models : tuple of str
        Models it may use; all when empty.
    """

    key_hash: str
    priority: int = 0
    rate: float = 100.0
    concurrency: int = 100
    share: float = 0.1
    models: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """Declare one plain service beside the model engines.

    Attributes
    ----------
    non_repeatable : tuple of str
        Path prefixes, relative to the service, whose calls run at most once and
        therefore need an ``Idempotency-Key``.
    """

    non_repeatable: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Weights:
    """Weigh the two measures against each other."""

    group_downtime: float = 0.5
    stranded_accelerators: float = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """Hold one whole desired state; collections are keyed by name."""

    models: dict[str, Model] = field(default_factory=dict)
    client_accounts: dict[str, ClientAccount] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
