"""Compare folding all records of a stream with restoring the state from a snapshot.

Prints for each kind of stream and number of records the time to decode and fold all
records, the times to write a snapshot and to restore from the snapshot, the size of the
snapshot, and the memory that the folded state takes.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator

import defopt

from ryelever.protocol.json_codec import decode, encode
from ryelever.protocol.log import RawEntry, decode_entry, encode_record
from ryelever.state.claims import ClaimsFold
from ryelever.state.configuration import ClientAccount, Configuration, Model
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.fold import BaseFold
from ryelever.state.placement import PlacementFold
from ryelever.state.records import (
    Claim,
    Entry,
    GroupFormed,
    LeaseTaken,
    Outcome,
    Publication,
    Record,
)

EPOCH = 1_800_000_000.0

#: Groups formed in the placement stream; its other records renew the lease.
N_GROUPS = 195

HEADER = (
    f"{'stream':<14}{'records':>8}{'entries':>8}{'fold ms':>9}{'write ms':>9}"
    f"{'restore ms':>11}{'snapshot KB':>12}{'memory KB':>10}{'B/entry':>8}"
)


def _claims(n_records: int) -> Iterator[Record]:
    # Issued over half of the retention window, which keeps all claims in the fold.
    for index in range(n_records // 2):
        issued = int((EPOCH + 300.0 * index / n_records) * 1000)
        key = f"account-{index % 10}/{issued}-{index:032x}"
        owner = f"entry-{index % 8}/0123456789ab"
        request = f"{index:032x}"
        yield Claim(
            key=key, fingerprint=f"{index:064x}", owner=owner, request_id=request
        )
        yield Outcome(
            key=key,
            owner=owner,
            run_state="run",
            status=201,
            content_type="application/json",
            body='{"booked": "2027-01-15T08:00", "dog": "Rex"}',
            request_id=request,
        )


def _placement(n_records: int) -> Iterator[Record]:
    yield LeaseTaken(holder="entry-1/0123456789ab", term=6.0)
    for index in range(N_GROUPS):
        yield GroupFormed(
            group=f"{index:032x}",
            model="notes",
            version="v1",
            adapters=("a",),
            members=tuple(f"host-{index}-{rank}" for rank in range(4)),
            lease=0,
            configuration_version=0,
            reason="model notes has fewer groups than wanted",
        )
    previous = 0
    for offset in range(N_GROUPS + 1, n_records):
        yield LeaseTaken(holder="entry-1/0123456789ab", term=6.0, previous=previous)
        previous = offset


def _configuration(n_records: int) -> Iterator[Record]:
    accounts = {f"account-{i}": ClientAccount(key_hash="0" * 97) for i in range(10)}
    for index in range(n_records):
        models = {f"model-{i}": Model(version=f"v{index}") for i in range(5)}
        document = Configuration(models=models, client_accounts=accounts)
        yield Publication(base_version=index - 1, author="ana", document=document)


KINDS: dict[str, tuple[type[BaseFold], Callable[[int], Iterator[Record]]]] = {
    "claims": (ClaimsFold, _claims),
    "placement": (PlacementFold, _placement),
    "configuration": (ConfigurationFold, _configuration),
}


def main(*, n_records: list[int] = [1_000, 10_000, 100_000]) -> None:  # noqa: B006
    """Print the times, sizes and memory of each stream.

    Parameters
    ----------
    n_records : list[int]
        Numbers of records to fold, one row each.
    """
    print(HEADER)
    for name, (fold_class, records) in KINDS.items():
        for n in n_records:
            _measure(name, fold_class, _encode_page(records(n), n))


def _encode_page(records: Iterator[Record], n_records: int) -> bytes:
    raw = []
    for offset, record in enumerate(records):
        item = encode_record(record, record_id=f"{offset:032x}")
        raw.append(
            RawEntry(
                offset=offset,
                time=EPOCH + 150.0 * offset / n_records,
                id=item.id,
                kind=item.kind,
                body=item.body,
            )
        )
    return encode(raw)


def _decode(page: bytes) -> list[Entry]:
    raw = decode(page, list[RawEntry], step="read_log", peer="log").ok
    return [decode_entry(item, peer="log") for item in raw]


def _fold(fold_class: type[BaseFold], page: bytes) -> BaseFold:
    fold = fold_class()
    for entry in _decode(page):
        fold.apply(entry)
    return fold


def _measure(name: str, fold_class: type[BaseFold], page: bytes) -> None:
    started = time.perf_counter()
    fold = _fold(fold_class, page)
    folded = time.perf_counter()
    parts = fold.to_snapshot(snapshot="0" * 32)
    items = [encode_record(part, record_id=f"{part.part:032x}") for part in parts]
    body = encode(
        [
            RawEntry(offset=0, time=EPOCH, id=item.id, kind=item.kind, body=item.body)
            for item in items
        ]
    )
    written = time.perf_counter()
    restored = fold_class()
    restored.from_snapshot([entry.record for entry in _decode(body)])
    done = time.perf_counter()
    assert restored.to_snapshot(snapshot="0" * 32) == parts
    n_entries = fold.next_offset
    memory = _memory(fold_class, page)
    n_kept = _n_kept(fold)
    print(
        f"{name:<14}{n_entries:>8}{n_kept:>8}{(folded - started) * 1e3:>9.1f}"
        f"{(written - folded) * 1e3:>9.1f}{(done - written) * 1e3:>11.1f}"
        f"{len(body) / 1024:>12.1f}{memory / 1024:>10.1f}{memory / n_kept:>8.0f}"
    )


def _n_kept(fold: BaseFold) -> int:
    if isinstance(fold, ClaimsFold):
        return len(fold.claims_by_key)
    if isinstance(fold, PlacementFold):
        return len(fold.groups_by_name)
    return 1


def _memory(fold_class: type[BaseFold], page: bytes) -> int:
    tracemalloc.start()
    fold = _fold(fold_class, page)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del fold
    return size


if __name__ == "__main__":
    defopt.run(main)
