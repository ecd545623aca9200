"""Encode the words between entry hosts that relay requests by Cap'n Proto."""

from __future__ import annotations

from importlib import resources

import capnp
from expression import Error, Ok, Result

from ..coordination.host_words import HostWord
from ..errors import Category, RyeleverError

__all__ = ["decode_word", "encode_word"]

#: Longest datagram, in bytes.
MAX_DATAGRAM = 8192

#: Longest unpacked message, in words: packing shrinks runs of zeros without bound.
MAX_WORDS = 64 * 1024

#: Most backend servers told of in one word, so that it fits into a datagram.
MAX_SERVERS = 160

_FILE = resources.files(__package__.rpartition(".")[0]) / "schema/host_words.capnp"
with resources.as_file(_FILE) as _path:
    _schema = capnp.load(str(_path))


def encode_word(word: HostWord) -> bytes:
    """Return a word as one datagram."""
    message = _schema.HostWord.new_message(
        host=word.host,
        availabilityZone=word.availability_zone,
        boot=word.boot,
        sequence=word.sequence,
        readsStore=word.reads_store,
        stopping=word.stopping,
        configurationVersion=word.configuration_version,
        still=list(word.still[:MAX_SERVERS]),
        leaving=list(word.leaving[:MAX_SERVERS]),
        plans=list(word.plans),
    )
    message.loads = [
        {"server": server, "inFlight": count}
        for server, count in list(word.in_flight_by_server.items())[:MAX_SERVERS]
    ]
    message.demands = [
        {"model": model, "groups": groups}
        for model, groups in word.demand_by_model.items()
    ]
    return message.to_bytes_packed()


def decode_word(data: bytes, *, peer: str) -> Result[HostWord, RyeleverError]:
    """Read a datagram."""
    try:
        message = _schema.HostWord.from_bytes_packed(
            data, traversal_limit_in_words=MAX_WORDS
        )
        return Ok(
            HostWord(
                host=message.host,
                availability_zone=message.availabilityZone,
                boot=message.boot,
                sequence=message.sequence,
                reads_store=message.readsStore,
                stopping=message.stopping,
                configuration_version=message.configurationVersion,
                in_flight_by_server={
                    load.server: load.inFlight for load in message.loads
                },
                demand_by_model={item.model: item.groups for item in message.demands},
                still=tuple(message.still),
                leaving=tuple(message.leaving),
                plans=tuple(message.plans),
            )
        )
    except capnp.KjException as error:
        return Error(
            RyeleverError(
                f"not a word of an entry host: {error}",
                category=Category.BAD_REQUEST,
                step="read_host_word",
                peer=peer,
            )
        )
