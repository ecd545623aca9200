"""Take apart the addresses by which processes reach each other."""

from __future__ import annotations

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address.

    Parameters
    ----------
    address : str
        ``"<IPv4>:<port>"``, checked before.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
