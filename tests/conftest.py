"""Settings and fixtures for all tests."""

import pathlib

import pytest
from hypothesis import settings

from jasmineseam import invariants

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Let the known failures, and only these, fail without failing the run."""
    if not KNOWN_FAILURES_FILE.exists():
        return
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    known = {line.strip() for line in lines if line.startswith("tests/")}
    for item in items:
        if item.nodeid.partition("[")[0] in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


@pytest.fixture(autouse=True)
def fatal_invariants():
    """Make a violated invariant fail the test that violates it."""
    invariants.set_fatal(True)
    yield
    invariants.set_fatal(False)
    invariants.violations.clear()


class FakeClock:
    """A clock that advances only when a test sets ``now``."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """Return a clock that advances only when a test sets ``now``."""
    return FakeClock()
