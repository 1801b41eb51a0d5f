"""Quarantine of requests that crash the servers that run them.

A request is known by its fingerprint. Nodes send each other reports of the crashes under which it
ran, so that all of them count the same crashes. After :data:`CRASH_THRESHOLD` crashes it is
refused everywhere. A request that only ran beside the cause of a crash is cleared as soon as a
server responds to it.

When a quarantine ends, one node sends the request to one server as a trial. If that server
crashes too, the next quarantine takes twice as long.
"""

from __future__ import annotations

import typing as t

import msgspec
import xxhash

from .subsets import compute_rendezvous_weight

# A request that has crashed this many servers is quarantined.
CRASH_THRESHOLD = 3
QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 3600.0
# A crash of a request that is not quarantined counts for this time.
SUSPICION_RETENTION_S = 300.0
# A quarantined request is forgotten after this time without a crash.
QUARANTINE_RETENTION_S = 2 * MAX_QUARANTINE_S
# Interval between two trials of a request, and the Retry-After time during a trial.
TRIAL_INTERVAL_S = 10.0
# The oldest suspicions are dropped if there are more.
MAX_SUSPECTS = 2000
MAX_CRASHES_PER_SUSPECT = 16


class CrashReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A server's crash while it ran a request.

    :param fingerprint: of the request.
    :param started_ms: Unix time of the server's start, in milliseconds.
    :param age_ms: time since the crash, in milliseconds.
    :param cleared: whether a server has responded to the request since then, so that the crash
        has another cause.
    """

    fingerprint: t.Annotated[bytes, msgspec.Meta(max_length=32)]
    server_id: t.Annotated[str, msgspec.Meta(max_length=200)]
    started_ms: int
    age_ms: t.Annotated[int, msgspec.Meta(ge=0, le=2**31)] = 0
    cleared: bool = False


class _Crash:
    __slots__ = ("cleared", "crashed_at")

    def __init__(self, crashed_at: float, cleared: bool) -> None:
        self.crashed_at = crashed_at
        self.cleared = cleared


class _Suspect:
    """A request that ran on servers that crashed.

    :param crashes: crashes by the server's id and start.
    """

    __slots__ = ("crashes", "quarantine_count", "quarantined_until", "trial_at")

    def __init__(self) -> None:
        self.crashes: dict[tuple[str, int], _Crash] = {}
        # end of the current or last quarantine, ``None`` if there was none
        self.quarantined_until: float | None = None
        self.quarantine_count = 0
        self.trial_at = float("-inf")

    def list_crash_times(self) -> list[float]:
        """Return the times of the crashes that count, in order."""
        return sorted(crash.crashed_at for crash in self.crashes.values() if not crash.cleared)

    def ignores_crash(self, crashed_at: float) -> bool:
        """Return whether a further crash at a time makes no difference."""
        if len(self.crashes) >= MAX_CRASHES_PER_SUSPECT:
            return True
        return self.quarantined_until is not None and crashed_at < self.quarantined_until

    def update(self) -> None:
        """Compute the end of the quarantine from the crashes."""
        times = self.list_crash_times()
        self.quarantined_until = None
        self.quarantine_count = 0
        if len(times) < CRASH_THRESHOLD:
            return
        duration_s = QUARANTINE_S
        until = times[CRASH_THRESHOLD - 1] + duration_s
        self.quarantine_count = 1
        for crashed_at in times[CRASH_THRESHOLD:]:
            if crashed_at < until:
                continue
            duration_s = min(2 * duration_s, MAX_QUARANTINE_S)
            until = crashed_at + duration_s
            self.quarantine_count += 1
        self.quarantined_until = until


class Admission(t.NamedTuple):
    """Whether a request may be sent to a server.

    :param retry_after_s: time until the request may be admitted, in seconds; ``None`` if it is
        admitted now.
    :param trial: whether it is admitted as the trial after a quarantine.
    """

    retry_after_s: float | None = None
    trial: bool = False


ADMITTED = Admission()


class CrashQuarantine:
    """The requests that ran on servers that crashed, as known to one node.

    :param clock: returns monotonic time in seconds.

    >>> quarantine = CrashQuarantine(clock=lambda: 0.0)
    >>> for server_id in ("s1", "s2", "s3"):
    ...     report = quarantine.record_crash(b"request", server_id, 1)
    >>> quarantine.admit(b"request").retry_after_s
    120.0
    >>> quarantine.admit(b"another") is ADMITTED
    True
    """

    __slots__ = ("_clock", "_hash", "_suspects", "crash_count")

    def __init__(self, *, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._suspects: dict[bytes, _Suspect] = {}
        # hash over all crashes, ``None`` if they have changed since it was computed
        self._hash: int | None = 0
        # crashes observed by this node
        self.crash_count = 0

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected."""
        return bool(self._suspects)

    def record_crash(
        self, fingerprint: bytes, server_id: str, started_ms: int
    ) -> CrashReport | None:
        """Record a crash that this node has observed; return the report if it is new."""
        report = CrashReport(fingerprint=fingerprint, server_id=server_id, started_ms=started_ms)
        if not self.apply(report):
            return None
        self.crash_count += 1
        return report

    def record_response(self, fingerprint: bytes) -> list[CrashReport]:
        """Clear a request to which a server has responded; return the reports that say so."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return []
        cleared = []
        for key, crash in suspect.crashes.items():
            if crash.cleared:
                continue
            crash.cleared = True
            cleared.append(self._build_report(fingerprint, key, crash))
        if cleared:
            self._hash = None
            suspect.update()
        return cleared

    def apply(self, report: CrashReport) -> bool:
        """Record a report of another node; return whether it was new."""
        suspect = self._suspects.get(report.fingerprint)
        key = (report.server_id, report.started_ms)
        known = None if suspect is None else suspect.crashes.get(key)
        if known is not None:
            if known.cleared or not report.cleared:
                return False
            known.cleared = True
        else:
            crashed_at = self._clock() - report.age_ms / 1000
            if suspect is None:
                suspect = self._suspects[report.fingerprint] = _Suspect()
            elif suspect.ignores_crash(crashed_at):
                return False
            suspect.crashes[key] = _Crash(crashed_at, report.cleared)
        self._hash = None
        suspect.update()
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop_oldest()
        return True

    def count_crashes(self, fingerprint: bytes) -> int:
        """Return the number of crashes that count against a request."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else len(suspect.list_crash_times())

    def count_quarantined(self) -> int:
        """Return the number of requests that are quarantined or await a trial."""
        return sum(suspect.quarantined_until is not None for suspect in self._suspects.values())

    def admit(
        self, fingerprint: bytes, may_try: t.Callable[[bytes], bool] = lambda fingerprint: True
    ) -> Admission:
        """Return whether a request may be sent to a server now.

        :param may_try: returns whether this node sends the trial after a quarantine.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined_until is None:
            return ADMITTED
        now = self._clock()
        if now < suspect.quarantined_until:
            return Admission(retry_after_s=suspect.quarantined_until - now)
        if now < suspect.trial_at + TRIAL_INTERVAL_S or not may_try(fingerprint):
            return Admission(retry_after_s=TRIAL_INTERVAL_S)
        suspect.trial_at = now
        return Admission(trial=True)

    def list_reports(self) -> list[CrashReport]:
        """Return reports of all crashes."""
        return [
            self._build_report(fingerprint, key, crash)
            for fingerprint, suspect in self._suspects.items()
            for key, crash in suspect.crashes.items()
        ]

    def compute_hash(self) -> int:
        """Return a hash over the crashes and the quarantined requests."""
        if self._hash is None:
            combined = 0
            for fingerprint, suspect in self._suspects.items():
                if suspect.quarantine_count:
                    # Nodes may have quarantined the request because of different crashes.
                    text = f"{fingerprint.hex()} {suspect.quarantine_count}"
                    combined ^= xxhash.xxh3_64_intdigest(text.encode())
                    continue
                for (server_id, started_ms), crash in suspect.crashes.items():
                    text = f"{fingerprint.hex()} {server_id} {started_ms} {crash.cleared}"
                    combined ^= xxhash.xxh3_64_intdigest(text.encode())
            self._hash = combined
        return self._hash

    def expire(self) -> None:
        """Forget requests whose last crash was long ago."""
        now = self._clock()
        for fingerprint, suspect in list(self._suspects.items()):
            age_s = now - max(crash.crashed_at for crash in suspect.crashes.values())
            quarantined = suspect.quarantined_until is not None
            if age_s >= (QUARANTINE_RETENTION_S if quarantined else SUSPICION_RETENTION_S):
                del self._suspects[fingerprint]
                self._hash = None

    def _build_report(
        self, fingerprint: bytes, key: tuple[str, int], crash: _Crash
    ) -> CrashReport:
        age_s = max(0.0, self._clock() - crash.crashed_at)
        return CrashReport(
            fingerprint=fingerprint,
            server_id=key[0],
            started_ms=key[1],
            age_ms=min(round(age_s * 1000), 2**31),
            cleared=crash.cleared,
        )

    def _drop_oldest(self) -> None:
        """Drop the suspicion with the oldest crash; quarantined requests go last."""

        def sort_key(item: tuple[bytes, _Suspect]) -> tuple[bool, float]:
            suspect = item[1]
            newest = max(crash.crashed_at for crash in suspect.crashes.values())
            return suspect.quarantined_until is not None, newest

        fingerprint, _ = min(self._suspects.items(), key=sort_key)
        del self._suspects[fingerprint]
        self._hash = None


def choose_trial_node(fingerprint: bytes, node_ids: t.Iterable[str]) -> str:
    """Return the node that sends the trial of a request, empty if there are no nodes.

    >>> nodes = ["n1", "n2"]
    >>> choose_trial_node(b"request", nodes) == choose_trial_node(b"request", nodes[::-1])
    True
    """
    return max(
        node_ids,
        key=lambda node_id: compute_rendezvous_weight(node_id, fingerprint.hex()),
        default="",
    )
