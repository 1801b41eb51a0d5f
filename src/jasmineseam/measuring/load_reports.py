"""Load reports that servers send in the headers of their responses.

Servers send ``Backend-Load: <in flight>/<slots>`` and ``Backend-State: live | draining | cold``. A
report is stale on arrival and may be wrong. A report therefore only influences the choice of a
server; only the state ``draining`` excludes a server.
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
    """Load that a server reports in the ``Backend-Load`` header.

    :param in_flight: requests at the server, queued ones included.
    :param slots: requests that the server runs concurrently.
    """

    in_flight: int
    slots: int


def parse_load_report(text: str | None) -> LoadReport | None:
    """Parse the value of the ``Backend-Load`` header.

    :returns: the report, ``None`` if the header is missing or malformed.

    >>> parse_load_report("3/4").in_flight
    3
    >>> parse_load_report("many") is None
    True
    """
    if text is None:
        return None
    match = _LOAD_PATTERN.match(text)
    if match is None or match[2] == "0":
        return None
    return LoadReport(in_flight=int(match[1]), slots=int(match[2]))


class DetailedLoadReport(msgspec.Struct, kw_only=True, frozen=True):
    """Load report that counts running and waiting requests separately and adds host slowness.

    The platform defines the header in which servers send it.

    :param running: requests that the server runs now.
    :param waiting: requests in the server's queue.
    :param slots: requests that the server runs concurrently.
    :param slowness: current service time on the server's host as a multiple of the normal one.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
