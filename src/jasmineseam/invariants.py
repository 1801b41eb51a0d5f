"""Runtime checks of invariants.

Every violation is counted and logged. It also raises
:exc:`~jasmineseam.exceptions.InvariantError` if violations were made fatal with :func:`set_fatal`,
as in tests, the demo and the soak test but not in production.
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
    """Check an invariant; count and log a violation if it does not hold.

    :param condition: whether the invariant holds.
    :param name: stable identifier of the invariant, used as the key of the counter.
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
