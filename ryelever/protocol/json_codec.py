"""Encode and decode JSON with ``msgspec``; decoding errors are returned, not raised."""

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
    """Decode JSON into ``type_``.

    The error contains the step, the peer and the position of the fault in the JSON.
    """
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
