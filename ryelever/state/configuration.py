"""Define the configuration that operators publish: the desired state."""

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
    """Declare one model to serve.

    Attributes
    ----------
    version : str
        Version of the weights in the weight store.
    adapters : dict of str to str
        Adapter versions by adapter name.
    hosts_per_group : int
        Number of members of one replica group.
    n_groups : int
        Desired number of replica groups in each availability zone.
    priority : int
        Models with a higher priority get their hosts first when hosts are scarce.
    """

    version: str
    adapters: dict[str, str] = field(default_factory=dict)
    hosts_per_group: int = 4
    n_groups: int = 1
    priority: int = 0

    @property
    def adapter_versions(self) -> tuple[str, ...]:
        """Return ``"<name>@<version>"`` of each adapter, sorted by name."""
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
        Requests of accounts with a higher priority are served first.
    rate : float
        Limit in requests per second over all entry hosts.
    concurrency : int
        Limit of requests in flight over all entry hosts.
    share : float
        Share of the donated capacity, 0 to 1.
    models : tuple of str
        Models that the account may use; empty allows all models.
    """

    key_hash: str
    priority: int = 0
    rate: float = 100.0
    concurrency: int = 100
    share: float = 0.1
    models: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """Declare one plain service, which runs beside the model engines.

    Attributes
    ----------
    non_repeatable : tuple of str
        Path prefixes, relative to the service, whose calls run at most once and
        therefore need an ``Idempotency-Key``.
    """

    non_repeatable: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Weights:
    """Relative weights of group downtime and stranded accelerators."""

    group_downtime: float = 0.5
    stranded_accelerators: float = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """The complete desired state; collections are keyed by name."""

    models: dict[str, Model] = field(default_factory=dict)
    client_accounts: dict[str, ClientAccount] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
