"""Assertion of the properties that must always hold.

In production a violation is counted and logged; with :func:`set_fatal` (tests, demo, soak) it also
raises :exc:`~jasmineseam.exceptions.InvariantError`.
"""

from __future__ import annotations

import collections

import logbook

from .exceptions import InvariantError

_logger = logbook.Logger("invariants")
_state = {"fatal": False}
violations: collections.Counter[str] = collections.Counter()


def set_fatal(fatal: bool) -> None:
    """Choose whether a violation raises."""
    _state["fatal"] = fatal


def check(holds: bool, name: str, detail: str = "") -> None:
    """Count, log and, in tests, raise if an invariant does not hold.

    :param holds: the evaluated condition.
    :param name: a stable identifier, used as the counter's key.
    :param detail: what was seen.

    >>> check(1 + 1 == 2, "arithmetic")
    >>> violations["arithmetic"]
    0
    """
    if holds:
        return
    violations[name] += 1
    _logger.error("Invariant {} violated: {}", name, detail)
    if _state["fatal"]:
        raise InvariantError(f"{name}: {detail}")
