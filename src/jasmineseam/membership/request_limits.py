"""Limits on requests that servers name in their responses, as known to one node.

A server in need names the number of requests per second that it accepts from all nodes together.
The limit holds until a response of the server names another one or none. Nodes send each other
what they observe. Each change raises the version of the server's limit, so that news may arrive
late, repeatedly and in any order.

A cold server has a limit as well, which the configuration names and which ends by itself when the
server is warm. Each limit has a source, :data:`SOURCE_SERVER` or :data:`SOURCE_WARMUP`.
"""

from __future__ import annotations

import time
import typing as t

import msgspec
import xxhash

# A change of a limit by a smaller fraction is treated as no change, so that a limit that varies
# slightly from response to response is not published with each one.
MIN_CHANGE_FRACTION = 0.05
# A limit is raised or withdrawn only this long after its last change, so that a server that names
# different limits in quick succession causes little news.
MIN_RAISE_DELAY_S = 0.5
# A withdrawn limit is remembered for this time, so that older news doesn't restore it.
WITHDRAWN_RETENTION_S = 120.0
# The limit of a server that is not listed is kept for this time, since it may be listed again.
UNLISTED_RETENTION_S = 30.0
# Versions count changes and stay far below this. A higher one is malformed.
MAX_VERSION = 2**53
# The server names the limit in its responses.
SOURCE_SERVER = "server"
# The server is cold, and the configuration limits the requests to cold servers.
SOURCE_WARMUP = "warm-up"
# A longer warm-up is malformed, in seconds.
MAX_WARMUP_S = 3600.0
# An end of a warm-up that differs by less is treated as no change. It covers the time that a
# response takes, which would otherwise cause news with each probe.
MIN_END_CHANGE_S = 0.3


class RequestLimit(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The limit of a server, or that it has ceased to name one.

    :param started_ms: Unix time of the server's start, in milliseconds.
    :param version: increases with each change, at whichever node it is observed.
    :param requests_per_s: requests per second that the server accepts from all nodes together,
        ``None`` if it names no limit.
    :param source: :data:`SOURCE_SERVER` or :data:`SOURCE_WARMUP`. The version of a limit by
        warm-up is the Unix time of the observation in milliseconds, so that a node that has just
        started does not reuse a version of an earlier warm-up.
    :param left_s: time until the limit ends, in seconds, ``None`` if it ends only when the server
        withdraws it.
    """

    server_id: str
    started_ms: int
    version: t.Annotated[int, msgspec.Meta(ge=1, le=MAX_VERSION)]
    requests_per_s: t.Annotated[float, msgspec.Meta(ge=0.0)] | None
    source: str = SOURCE_SERVER
    left_s: t.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WARMUP_S)] | None = None

    def is_newer(self, other: RequestLimit) -> bool:
        """Return whether this limit replaces another one of the same server.

        Of two limits that nodes have observed at the same time, the lower one counts.
        """
        return self._get_order() > other._get_order()

    def _get_order(self) -> tuple[int, int, float]:
        limit = float("inf") if self.requests_per_s is None else self.requests_per_s
        return self.started_ms, self.version, -limit


class _KnownLimit:
    """A limit with the circumstances of its last observation.

    :param now: current time, on the clock of the limits.
    """

    __slots__ = ("changed_at", "confirmed_at", "limit", "listed_at", "named_by_probe")

    def __init__(self, limit: RequestLimit, now: float) -> None:
        self.limit = limit
        self.changed_at = now
        # time at which the server was last listed
        self.listed_at = now
        # time at which a response or news last named the limit
        self.confirmed_at = now
        # whether responses to probes name the limit, too
        self.named_by_probe = False


class _KnownWarmup:
    """The newest limit of a server by warm-up.

    :param now: current time, on the clock of the limits.
    """

    __slots__ = ("ends_at", "limit", "observed_at")

    def __init__(self, limit: RequestLimit, now: float) -> None:
        self.limit = limit
        self.observed_at = now
        self.ends_at = now + (limit.left_s or 0.0)


class RequestLimits:
    """The limits that servers name, and those of cold servers.

    :param clock: returns monotonic time in seconds.
    :param read_unix_ms: returns the Unix time in milliseconds.

    >>> now = 1.0
    >>> limits = RequestLimits(clock=lambda: now)
    >>> limits.observe("s1", 1, 4.5, sent_at=0.0).requests_per_s
    4.5
    >>> now = 2.0
    >>> limits.observe("s1", 1, None, sent_at=0.9) is None  # sent before the limit was known
    True
    >>> limits.observe("s1", 1, None, sent_at=1.9).requests_per_s is None
    True
    """

    __slots__ = ("_clock", "_hash", "_known", "_read_unix_ms", "_warmups")

    def __init__(
        self,
        *,
        clock: t.Callable[[], float],
        read_unix_ms: t.Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self._clock = clock
        self._read_unix_ms = read_unix_ms
        self._warmups: dict[str, _KnownWarmup] = {}
        self._known: dict[str, _KnownLimit] = {}
        # hash over the limits in force, ``None`` if they have changed since it was computed
        self._hash: int | None = 0

    def observe(
        self,
        server_id: str,
        started_ms: int,
        requests_per_s: float | None,
        *,
        sent_at: float,
        probe: bool = False,
    ) -> RequestLimit | None:
        """Record what a response says of its server's limit; return the limit if it changed.

        A lower limit counts at once. A response withdraws or raises a limit only if its request
        was sent after the limit was last named, since responses may overtake each other. A
        response to a probe withdraws it only if responses to probes have named it.

        :param started_ms: Unix time of the server's start, in milliseconds.
        :param requests_per_s: the limit, ``None`` if the response names none.
        :param sent_at: time at which the request was sent.
        :param probe: whether the response answers a probe.
        """
        known = self._known.get(server_id)
        if known is not None and known.limit.started_ms > started_ms:
            return None
        current = self.get(server_id, started_ms)
        if requests_per_s is None and current is None:
            return None
        if current is not None:
            now = self._clock()
            if requests_per_s is None:
                if probe and not known.named_by_probe:
                    return None
            else:
                known.named_by_probe |= probe
                if _is_similar(requests_per_s, current):
                    known.confirmed_at = now
                    return None
            raised = requests_per_s is None or requests_per_s > current
            if raised and (
                sent_at < known.confirmed_at or now < known.changed_at + MIN_RAISE_DELAY_S
            ):
                return None
        limit = RequestLimit(
            server_id=server_id,
            started_ms=started_ms,
            version=1 if known is None else known.limit.version + 1,
            requests_per_s=requests_per_s,
        )
        self._put(limit)
        self._known[server_id].named_by_probe = probe
        return limit

    def observe_warmup(
        self,
        server_id: str,
        started_ms: int,
        requests_per_s: float,
        left_s: float,
        *,
        sent_at: float,
    ) -> RequestLimit | None:
        """Record for how long a server will be cold; return its limit if it changed.

        A later end counts at once. An earlier one counts only if the request was sent after the
        known end was observed, since responses may overtake each other.

        :param started_ms: Unix time of the server's start, in milliseconds.
        :param requests_per_s: limit on the requests to the server while it is cold.
        :param left_s: time until the server is warm, in seconds.
        :param sent_at: time at which the request was sent.
        """
        now = self._clock()
        left_s = min(left_s, MAX_WARMUP_S)
        known = self._warmups.get(server_id)
        known_end = now if known is None else max(now, known.ends_at)
        if abs(now + left_s - known_end) <= MIN_END_CHANGE_S:
            return None
        if now + left_s < known_end and sent_at < known.observed_at:
            return None
        version = self._read_unix_ms()
        if known is not None:
            version = max(version, known.limit.version + 1)
        limit = RequestLimit(
            server_id=server_id,
            started_ms=started_ms,
            version=version,
            requests_per_s=requests_per_s,
            source=SOURCE_WARMUP,
            left_s=left_s,
        )
        self._warmups[server_id] = _KnownWarmup(limit, now)
        return limit

    def _apply_warmup(self, limit: RequestLimit) -> bool:
        now = self._clock()
        known = self._warmups.get(limit.server_id)
        if limit.requests_per_s is None or limit.left_s is None:
            return False
        if known is not None and limit.version <= known.limit.version:
            return False
        known_end = now if known is None else max(now, known.ends_at)
        if abs(now + limit.left_s - known_end) <= MIN_END_CHANGE_S:
            return False
        self._warmups[limit.server_id] = _KnownWarmup(limit, now)
        return True

    def get_warmup(self, server_id: str) -> RequestLimit | None:
        """Return the limit of a server that is cold, ``None`` if it is warm.

        It holds for all starts of the server: a response may show that a server has restarted
        before its new listing arrives.
        """
        known = self._warmups.get(server_id)
        if known is None or known.ends_at <= self._clock():
            return None
        return known.limit

    def list_warmups(self) -> list[RequestLimit]:
        """Return the limits of all cold servers, with the time that is left now."""
        now = self._clock()
        return [
            msgspec.structs.replace(known.limit, left_s=known.ends_at - now)
            for known in self._warmups.values()
            if known.ends_at > now
        ]

    def apply(self, limit: RequestLimit) -> bool:
        """Record what another node has observed; return whether it was new."""
        if limit.source == SOURCE_WARMUP:
            return self._apply_warmup(limit)
        if limit.source != SOURCE_SERVER:
            # a later build knows further sources
            return False
        known = self._known.get(limit.server_id)
        if known is not None and not limit.is_newer(known.limit):
            return False
        self._put(limit)
        return True

    def get(self, server_id: str, started_ms: int) -> float | None:
        """Return the limit of one start of a server in requests per second, if it names one."""
        known = self._known.get(server_id)
        if known is None or known.limit.started_ms != started_ms:
            return None
        return known.limit.requests_per_s

    def list_limits(self) -> list[RequestLimit]:
        """Return all limits named by servers, including those that were withdrawn lately."""
        return [known.limit for known in self._known.values()]

    def compute_hash(self) -> int:
        """Return a hash over the limits in force."""
        return self._compute_named_hash() ^ self._compute_warmup_hash()

    def _compute_warmup_hash(self) -> int:
        # Versions are left out: nodes that observe the same warm-up give it different ones.
        now = self._clock()
        combined = 0
        for server_id, known in self._warmups.items():
            if known.ends_at > now:
                combined ^= xxhash.xxh3_64_intdigest(f"{server_id} {SOURCE_WARMUP}".encode())
        return combined

    def _compute_named_hash(self) -> int:
        if self._hash is not None:
            return self._hash
        combined = 0
        for known in self._known.values():
            limit = known.limit
            if limit.requests_per_s is None:
                continue
            text = f"{limit.server_id} {limit.started_ms} {limit.version}"
            combined ^= xxhash.xxh3_64_intdigest(text.encode())
        self._hash = combined
        return combined

    def expire(self, listed_ids: t.Container[str]) -> None:
        """Forget servers that are not listed any more, and limits that were withdrawn long ago."""
        now = self._clock()
        for server_id, warmup in list(self._warmups.items()):
            # A warm-up that has ended is remembered, so that older news doesn't restore it.
            if now - warmup.ends_at >= WITHDRAWN_RETENTION_S:
                del self._warmups[server_id]
        for server_id, known in list(self._known.items()):
            if server_id in listed_ids:
                known.listed_at = now
            withdrawn = known.limit.requests_per_s is None
            if now - known.listed_at >= UNLISTED_RETENTION_S or (
                withdrawn and now - known.changed_at >= WITHDRAWN_RETENTION_S
            ):
                del self._known[server_id]
                self._hash = None

    def _put(self, limit: RequestLimit) -> None:
        self._hash = None
        self._known[limit.server_id] = _KnownLimit(limit, self._clock())


def _is_similar(first: float, second: float) -> bool:
    return abs(first - second) <= MIN_CHANGE_FRACTION * second
