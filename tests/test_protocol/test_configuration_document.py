"""Test the check, the encoding and the comparison of configuration documents."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryelever.accounts import hash_key
from ryelever.protocol.configuration_document import (
    check_document,
    encode_canonical,
    list_changes,
)
from ryelever.state.configuration import Configuration, Model

KEY_HASH = hash_key("pawroute.key", salt="0123456789abcdef")


def _document(path: str = "", value: object = None) -> dict:
    """Return a valid document, with ``value`` set at a dotted path if one is given."""
    document = {
        "models": {"notes": {"version": "v1", "adapters": {"walks": "v2"}}},
        "client_accounts": {"pawroute": {"key_hash": KEY_HASH, "models": ["notes"]}},
        "services": {"bookings": {"non_repeatable": ["/bookings"]}},
        "weights": {"group_downtime": 0.7, "stranded_accelerators": 0.3},
    }
    *parents, last = path.split(".")
    place = document
    for name in parents:
        place = place.setdefault(name, {})
    if path:
        place[last] = value
    return document


def _faults(document: object) -> dict[str, str]:
    checked = check_document(json.dumps(document).encode())
    assert checked.is_error()
    return {fault.place: str(fault) for fault in checked.error}


def test_valid_document_with_comments_is_read() -> None:
    text = "// wanted\n" + json.dumps(_document())
    checked = check_document(text.encode())
    assert checked.ok.models["notes"].adapters == {"walks": "v2"}


#: Place that the fault must name, the invalid value, and the dotted path at which the
#: value is set; an empty path means the path of the place.
FAULTS = [
    ("/models/notes/version", "", ""),
    ("/models/notes/version", 3, ""),
    ("/models/notes/hosts_per_group", 0, ""),
    ("/models/notes/hosts_per_group", "4", ""),
    ("/models/notes/hosts_per_group", True, ""),
    ("/models/notes/n_groups", 0, ""),
    ("/models/notes/n_groups", 1.5, ""),
    ("/models/notes/n_group", 1, ""),
    ("/models/notes/priority", 10**9, ""),
    ("/models/notes/adapters/a b", {"a b": "v"}, "models.notes.adapters"),
    ("/models/notes", [], ""),
    ("/models", None, ""),
    ("/models/<script>", {"version": "v"}, ""),
    ("/models/a~1b", {"version": "v"}, "models.a/b"),
    ("/models/other/version", {}, "models.other"),
    ("/client_accounts/p/key_hash", {}, "client_accounts.p"),
    ("/client_accounts/pawroute/key_hash", "secret", ""),
    ("/client_accounts/pawroute/rate", 0, ""),
    ("/client_accounts/pawroute/rate", float("inf"), ""),
    ("/client_accounts/pawroute/share", float("nan"), ""),
    ("/client_accounts/pawroute/share", 1.1, ""),
    ("/client_accounts/pawroute/concurrency", 0, ""),
    ("/client_accounts/pawroute/models", ["nots"], ""),
    ("/services/bookings/non_repeatable", ["bookings"], ""),
    ("/weights/group_downtime", -0.1, ""),
    ("/weights", {"group_downtime": 0, "stranded_accelerators": 0}, ""),
    ("/wieghts", {}, ""),
]


@pytest.mark.parametrize(("place", "value", "path"), FAULTS)
def test_fault_is_named_with_its_place(place: str, value: object, path: str) -> None:
    path = path or place[1:].replace("/", ".")
    assert place in _faults(_document(path, value))


def test_shares_may_not_sum_above_one() -> None:
    document = _document("client_accounts.other", {"key_hash": KEY_HASH, "share": 0.95})
    assert "they sum to 1.05" in _faults(document)["/client_accounts"]


def test_ten_shares_of_a_tenth_sum_to_one() -> None:
    accounts = {f"a{n}": {"key_hash": KEY_HASH} for n in range(10)}
    assert check_document(json.dumps({"client_accounts": accounts}).encode()).is_ok()


def test_every_fault_is_named_in_one_run() -> None:
    document = _document("models.notes.n_groups", "two")
    document["models"]["notes"]["hosts_per_group"] = 0
    document["client_accounts"]["pawroute"]["models"] = ["gone"]
    document["extra"] = 1
    assert set(_faults(document)) == {
        "/extra",
        "/models/notes/n_groups",
        "/models/notes/hosts_per_group",
        "/client_accounts/pawroute/models",
    }


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b'{"models": {}, "models": {}}',
        b"[" * 100_000,
        b"{}" + b" " * (2 << 20),
    ],
)
def test_unreadable_document_gives_one_fault_at_its_root(data: bytes) -> None:
    checked = check_document(data)
    assert [fault.place for fault in checked.error] == ["/"]


def test_canonical_encoding_does_not_depend_on_order() -> None:
    one = {"b": Model(version="1"), "a": Model(version="2")}
    other = dict(reversed(one.items()))
    first = encode_canonical(Configuration(models=one))
    assert first == encode_canonical(Configuration(models=other))
    assert check_document(first).ok == Configuration(models=one)


_NAMES = st.sampled_from(
    ["models", "client_accounts", "services", "weights", "version", "key_hash", "share"]
    + ["adapters", "n_groups", "non_repeatable", "group_downtime", "a/b~", "\x00"]
)
_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(_NAMES, inner, max_size=4)
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.dictionaries(_NAMES, _VALUES, max_size=4))
def test_any_object_is_refused_with_faults_or_survives_re_encoding(
    document: dict,
) -> None:
    checked = check_document(json.dumps(document).encode())
    if checked.is_ok():
        assert check_document(encode_canonical(checked.ok)).ok == checked.ok
    else:
        assert checked.error
        assert all(fault.place.startswith("/") for fault in checked.error)


def test_difference_names_place_before_and_after() -> None:
    before = check_document(json.dumps(_document()).encode()).ok
    document = _document("models.notes.version", "v9")
    after = check_document(json.dumps(document).encode()).ok
    assert list_changes(before, before) == []
    (change,) = list_changes(before, after)
    assert change.place == "/models/notes/version"
    assert (change.before, change.after) == ('"v1"', '"v9"')


def test_difference_lists_every_added_field() -> None:
    after = Configuration(models={"m": Model(version="1")})
    changes = list_changes(Configuration(), after)
    after_by_place = {change.place: change.after for change in changes}
    assert after_by_place["/models/m/version"] == '"1"'
    assert {change.before for change in changes} == {""}
