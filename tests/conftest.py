"""Settings and fixtures for all tests."""

import pytest
from hypothesis import settings

from jasmineseam import invariants

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


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
