"""Test how long a read waits at the end of each stream."""

from __future__ import annotations

import pytest

from ryelever.coordination.log_reader import (
    LONG_READ_WAIT,
    READ_WAIT,
    LogReader,
    ReadPage,
)
from ryelever.protocol.log import claims_streams, placement_stream
from ryelever.settings_reader import read_settings
from ryelever.state.claims import ClaimsFold
from ryelever.state.placement import PlacementFold
from ryelever.streams import Streams


class _Claims:
    owner = "e1/boot"
    folds_by_stream = {name: ClaimsFold() for name in claims_streams(1)}


@pytest.mark.parametrize(
    ("stream", "wait"),
    [
        (claims_streams(1)[0], READ_WAIT),
        (placement_stream("a"), READ_WAIT),
        (placement_stream("b"), LONG_READ_WAIT),
    ],
)
def test_only_urgent_streams_are_read_often(stream: str, wait: float) -> None:
    """Wait longer at the end of streams whose records are not urgent.

    If every stream were read with the shortest wait that any of them needs, once a
    second, hundreds of entry hosts would send the log thousands of reads a second
    that return nothing.
    """
    settings = read_settings(
        '{"host": "e1", "availability_zone": "a", "availability_zones": ["a", "b"],'
        '"callers_address": "127.0.0.1:0", "log_address": "127.0.0.1:1",'
        '"hosts_list_address": "127.0.0.1:1"}'
    ).ok
    folds = {placement_stream(zone): PlacementFold() for zone in "ab"}
    streams = Streams(settings=settings, folds_by_stream=folds, claims=_Claims())
    reader: LogReader = streams.streams_by_name[stream].reader
    assert reader.next_read(now=0.0).wait == 0.0
    reader.process_page(ReadPage(first=0, next=0), requested_at=0.0, now=0.0)
    assert reader.next_read(now=0.0).wait == wait
