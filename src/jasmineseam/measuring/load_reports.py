"""Load reports: what a server says of itself in the headers of its answers.

``Backend-Load: <in flight>/<slots>`` and ``Backend-State: live | draining | cold``. Reports are
old on arrival and may mislead, so they only tilt choices and never forbid one, but for
``draining``.
"""

from __future__ import annotations

import re

import msgspec

LOAD_HEADER = "Backend-Load"
STATE_HEADER = "Backend-State"
DRAINING = "draining"
COLD = "cold"
_LOAD_PATTERN = re.compile(r"^([0-9]{1,6})/([0-9]{1,6})$")


class LoadReport(msgspec.Struct, kw_only=True, frozen=True):
    """A server's word on its load.

    :param in_flight: requests that it holds, waiting ones included.
    :param slots: requests that it runs at once.
    """

    in_flight: int
    slots: int


def parse_load_report(text: str | None) -> LoadReport | None:
    """Parse a report; one that makes no sense is no report.

    >>> parse_load("3/4").in_flight
    3
    >>> parse_load("many") is None
    True
    """
    if text is None:
        return None
    match = _LOAD_PATTERN.match(text)
    if match is None or match[2] == "0":
        return None
    return LoadReport(in_flight=int(match[1]), slots=int(match[2]))


class ServerReport(msgspec.Struct, kw_only=True, frozen=True):
    """A server's word on its load and on its host.

    :param running: requests that it runs.
    :param waiting: requests in its queue.
    :param slots: requests that it runs at once.
    :param slowness: time that work takes now, as a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
