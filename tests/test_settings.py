"""Settings files: all faults are reported, examples are valid, conflicts are detected."""

import json
import pathlib

import jsonc
import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasmineseam.catalogue.entry import check_entry
from jasmineseam.exceptions import SettingsError
from jasmineseam.operations.settings import load_settings
from jasmineseam.operations.settings import parse_settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def make_document(**changes):
    document = {
        "vm": {
            "id": "vm-0",
            "address": "127.0.0.1",
            "failure_domain": "d0",
            "seat": 0,
            "seats": 6,
        },
        "platform": {"log_url": "http://127.0.0.1:1", "vm_list_url": "http://127.0.0.1:2"},
        "agent": {"control_port": 1},
        "entry": {"processes": [{"name": "entry-0", "http_port": 2, "control_port": 3}]},
        "locator": {"http_port": 4, "control_port": 5},
    }
    for path, value in changes.items():
        target = document
        *parents, last = path.split("__")
        for parent in parents:
            target = target.setdefault(parent, {})
        target[last] = value
    return document


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/vm-*.json")), ids=lambda path: str(path))
def test_example_settings_are_valid(path):
    assert load_settings(path).vm.seats == 6


@pytest.mark.parametrize(
    "path", sorted(EXAMPLES.glob("*/entry-*.json")), ids=lambda path: str(path)
)
def test_example_entries_are_valid(path):
    assert check_entry(str(path), jsonc.loads(path.read_text())).owner


def test_comments_are_allowed():
    text = "// which VM\n" + json.dumps(make_document()) + "\n/* end */"
    assert parse_settings(text).vm.id == "vm-0"


@pytest.mark.parametrize(
    ("changes", "paths"),
    [
        ({"vm__seat": 6}, ["vm.seat"]),
        ({"vm__seat": -1, "logs__level": "loud"}, ["vm.seat", "logs.level"]),
        ({"vm__address": "localhost", "vm__x": 1}, ["vm.address", "vm.x"]),
        ({"agent__control_port": 70000}, ["agent.control_port"]),
        ({"locator__http_port": 2}, ["entry.processes[0].http_port"]),
        ({"entry__processes": []}, ["entry.processes"]),
        ({"entry__processes": [{"name": "a"}]}, ["entry.processes[0].http_port"]),
        ({"platform__log_url": "ftp://x"}, ["platform.log_url"]),
        ({"agent__peers": ["nowhere"]}, ["agent.peers[0]"]),
        ({"metrics__exporter": "otlp"}, ["metrics.exporter"]),
        ({"metrics__exporter": 1, "extra": {}}, ["metrics.exporter", "extra"]),
    ],
)
def test_every_fault_is_reported_with_its_path(changes, paths):
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(make_document(**changes)))
    assert sorted(fault.path for fault in caught.value.faults if fault.path in paths) == sorted(
        paths
    )


@given(st.text(max_size=100))
def test_arbitrary_text_raises_settings_error(text):
    with pytest.raises(SettingsError):
        parse_settings(text)
