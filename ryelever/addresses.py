"""Parse network addresses."""

from __future__ import annotations

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address.

    Parameters
    ----------
    address : str
        Valid address of the form ``"<IPv4>:<port>"``.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
