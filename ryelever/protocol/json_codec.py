"""Encode and decode JSON by ``msgspec``, with faults as typed errors."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from ..errors import Category, RyeleverError

__all__ = ["decode", "encode"]

_T = TypeVar("_T")


def encode(value: object) -> bytes:
    """Return ``value`` as JSON."""
    return msgspec.json.encode(value)


def decode(
    data: bytes, type_: type[_T], *, step: str, peer: str
) -> Result[_T, RyeleverError]:
    """Read JSON into ``type_``; the error names the step, the peer and the place."""
    try:
        return Ok(msgspec.json.decode(data, type=type_))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(
            RyeleverError(
                f"not the expected JSON: {error}",
                category=Category.BAD_REQUEST,
                step=step,
                peer=peer,
                code="invalid_json",
            )
        )
