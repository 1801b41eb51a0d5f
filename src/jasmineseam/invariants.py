"""Runtime checks of invariants.

A violation is counted and logged in production. After :func:`set_fatal` (tests, demo and soak
test) it also raises :exc:`~jasmineseam.exceptions.InvariantError`.
"""

from __future__ import annotations

import collections

import logbook

from .exceptions import InvariantError

_logger = logbook.Logger("invariants")
_state = {"fatal": False}
violations: collections.Counter[str] = collections.Counter()


def set_fatal(fatal: bool) -> None:
    """Set whether a violation raises an exception.

    :param fatal: whether to raise :exc:`~jasmineseam.exceptions.InvariantError`.
    """
    _state["fatal"] = fatal


def check(condition: bool, name: str, detail: str = "") -> None:
    """Count and log a violation if a condition is false.

    :param condition: the evaluated invariant.
    :param name: a stable identifier, used as the key of the counter.
    :param detail: the observed values.
    :raises InvariantError: if violations are fatal.

    >>> check(1 + 1 == 2, "arithmetic")
    >>> violations["arithmetic"]
    0
    """
    if condition:
        return
    violations[name] += 1
    _logger.error("Invariant {} violated: {}", name, detail)
    if _state["fatal"]:
        raise InvariantError(f"{name}: {detail}")
