"""Test the reading of the platform's settings file."""

from __future__ import annotations

from pathlib import Path

import pytest

from ryelever.platform.settings import read_node_settings

GOOD = {
    "node": "front-1",
    "ip": "10.1.0.40",
    "zone": "z1",
    "zones.z1": "r",
    "zones.z2": "r",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "port_range": "7340,7355",
    "platform.address": "10.200.1.7:8223",
    "platform.parts": "12",
    "bounds.stall_ms": "6000",
    "bounds.grace_s": "8",
}


def _file(path: Path, **changes: str | None) -> Path:
    lines = GOOD | {name.replace("__", "."): text for name, text in changes.items()}
    file = path / "node.conf"
    file.write_text(
        "".join(f"{key}={text}\n" for key, text in lines.items() if text is not None)
    )
    return file


def test_fields_are_converted_from_their_units(tmp_path: Path) -> None:
    read = read_node_settings(_file(tmp_path, something__new="7")).ok
    assert (read.host, read.availability_zone) == ("front-1", "z1")
    assert read.zones == ("z1", "z2")
    assert read.peers_address == "10.1.0.40:7340"
    assert (read.stall_time, read.grace) == (6.0, 8.0)


def test_released_parts_are_read_as_a_list(tmp_path: Path) -> None:
    assert read_node_settings(_file(tmp_path)).ok.released_parts == ()
    file = _file(tmp_path, quarantine__released_parts="5C1E, 07")
    assert read_node_settings(file).ok.released_parts == ("5c1e", "07")


@pytest.mark.parametrize(
    ("key", "text"),
    [
        pytest.param("node", None, id="absent"),
        pytest.param("node", "", id="empty"),
        pytest.param("listen__front", "here", id="no-address"),
        pytest.param("listen__ready", "10.1.0.40:99999", id="no-port"),
        pytest.param("port_range", "7355", id="one-port"),
        pytest.param("port_range", "7355,7340", id="ports-backwards"),
        pytest.param("platform__address", None, id="no-store"),
        pytest.param("platform__parts", "many", id="no-number"),
        pytest.param("bounds__stall_ms", "-1", id="negative"),
        pytest.param("bounds__stall_ms", "inf", id="infinite"),
        pytest.param("bounds__grace_s", "nan", id="not-a-number"),
        pytest.param("contention__mode", "sometimes", id="no-mode"),
        pytest.param("quarantine__released_parts", "5c1e,part", id="no-part"),
    ],
)
def test_fault_of_a_field_names_its_key_and_value(
    tmp_path: Path, key: str, text: str | None
) -> None:
    faults = read_node_settings(_file(tmp_path, **{key: text})).error
    assert [fault.place for fault in faults] == [key.replace("__", ".")]
    assert repr(text) in str(faults[0])


def test_all_faults_are_returned_together(tmp_path: Path) -> None:
    faults = read_node_settings(_file(tmp_path, node=None, port_range="x")).error
    assert {fault.place for fault in faults} == {"node", "port_range"}


def test_fault_of_an_unreadable_file_names_its_path(tmp_path: Path) -> None:
    faults = read_node_settings(tmp_path / "nowhere").error
    assert "nowhere" in faults[0].place
