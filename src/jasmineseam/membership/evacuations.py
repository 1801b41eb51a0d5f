"""Evacuated failure domains, whose servers get no requests.

The operator evacuates a failure domain by a record in the metadata store. Nodes that read the
store spread the set of evacuated domains, with the store position as of which it holds, to the
others.

A store that is restored from a backup may have lost the record of an evacuation. The evacuation is
therefore retained until a record of the new timeline withdraws it, or for
:data:`RETENTION_S`. An evacuation that the restored store lists is in force, even if it had been
withdrawn after the backup: sending requests to a domain that the operator wants empty does more
harm than leaving out a domain for longer.
"""

from __future__ import annotations

import typing as t

import msgspec
import xxhash

from .store_position import UNKNOWN_POSITION
from .store_position import StorePosition

# An evacuation that a restored store does not list is retained for this time, which is longer than
# the age of any backup of the store, so that the operator can order it again.
RETENTION_S = 300.0


class RetainedEvacuation(msgspec.Struct, array_like=True, frozen=True):
    """An evacuation of a timeline that a restore of the store has ended.

    :param since: store position as of which the domain was evacuated.
    :param until_ms: Unix time until which it is retained, in milliseconds.
    """

    since: StorePosition
    until_ms: int


class EvacuationState(msgspec.Struct, kw_only=True, frozen=True):
    """The evacuated failure domains as of a store position.

    :param position: position in the store's configuration topic up to which records are included.
    :param failure_domains: the domains whose record the store holds, with the position as of which
        a node first read it.
    :param retained: evacuations of earlier timelines that are still in force.
    :param withdrawn: position of the newest known withdrawal of each domain.
    """

    position: StorePosition = UNKNOWN_POSITION
    failure_domains: dict[str, StorePosition] = {}
    retained: dict[str, RetainedEvacuation] = {}
    withdrawn: dict[str, StorePosition] = {}


class Evacuations:
    """The evacuated failure domains as known to one node.

    :param clock_ms: returns Unix time in milliseconds; nodes compare it with each other.
    :param on_change: called with the evacuated domains when they have changed.

    >>> evacuations = Evacuations(clock_ms=lambda: 0)
    >>> evacuated = EvacuationState(
    ...     position=StorePosition(1, 5), failure_domains={"z1": StorePosition(1, 5)})
    >>> evacuations.apply(evacuated), sorted(evacuations.failure_domains)
    (True, ['z1'])
    >>> evacuations.apply(EvacuationState(position=StorePosition(2, 3)))
    True
    >>> sorted(evacuations.failure_domains)
    ['z1']
    """

    __slots__ = ("_clock_ms", "_on_change", "failure_domains", "state")

    def __init__(
        self,
        *,
        clock_ms: t.Callable[[], int],
        on_change: t.Callable[[frozenset[str]], None] = lambda failure_domains: None,
    ) -> None:
        self._clock_ms = clock_ms
        self._on_change = on_change
        self.state = EvacuationState()
        # the domains whose servers get no requests now
        self.failure_domains: frozenset[str] = frozenset()

    @property
    def known(self) -> bool:
        """Whether any state has been received from the store or from another node."""
        return self.state.position != UNKNOWN_POSITION

    def apply(self, state: EvacuationState) -> bool:
        """Merge a state that the store or another node has provided.

        The failure domains of the newer position apply. The result does not depend on the order in
        which states arrive, so that all nodes come to the same set.

        :returns: whether other nodes may lack the result.
        """
        merged = merge_states(self.state, state, now_ms=self._clock_ms())
        changed = (
            merged.position != self.state.position
            or merged.withdrawn != self.state.withdrawn
            or merged.retained.keys() != self.state.retained.keys()
        )
        self.state = merged
        self._update_failure_domains()
        return changed

    def expire(self) -> None:
        """End the retained evacuations whose time is over."""
        if self.state.retained:
            self.state = merge_states(self.state, self.state, now_ms=self._clock_ms())
            self._update_failure_domains()

    def get_since(self, failure_domain: str) -> StorePosition:
        """Return the store position as of which a domain in force is evacuated."""
        since = self.state.failure_domains.get(failure_domain)
        return self.state.retained[failure_domain].since if since is None else since

    def compute_hash(self) -> int:
        """Return a hash over the evacuated domains, 0 if there are none."""
        combined = 0
        for failure_domain in self.failure_domains:
            combined ^= xxhash.xxh3_64_intdigest(failure_domain.encode())
        return combined

    def _update_failure_domains(self) -> None:
        failure_domains = frozenset((*self.state.failure_domains, *self.state.retained))
        if failure_domains != self.failure_domains:
            self.failure_domains = failure_domains
            self._on_change(failure_domains)


def merge_states(
    first: EvacuationState, second: EvacuationState, *, now_ms: int
) -> EvacuationState:
    """Return the state that follows from two, in any order.

    :param now_ms: current Unix time in milliseconds.
    """
    older, newer = sorted((first, second), key=lambda state: state.position)
    withdrawn = dict(older.withdrawn)
    for failure_domain, position in newer.withdrawn.items():
        withdrawn[failure_domain] = max(position, withdrawn.get(failure_domain, UNKNOWN_POSITION))
    retained = dict(older.retained)
    for failure_domain, evacuation in newer.retained.items():
        known = retained.get(failure_domain, evacuation)
        retained[failure_domain] = min(known, evacuation, key=_get_end)
    failure_domains = {}
    for failure_domain, since in newer.failure_domains.items():
        known_since = older.failure_domains.get(failure_domain, since)
        same_timeline = known_since.timeline == since.timeline
        failure_domains[failure_domain] = min(since, known_since) if same_timeline else since
    for failure_domain, since in older.failure_domains.items():
        if failure_domain in newer.failure_domains:
            continue
        if newer.position.timeline == older.position.timeline:
            known_withdrawal = withdrawn.get(failure_domain, UNKNOWN_POSITION)
            if known_withdrawal < since:
                withdrawn[failure_domain] = newer.position
        elif failure_domain not in retained:
            until_ms = now_ms + round(RETENTION_S * 1000)
            retained[failure_domain] = RetainedEvacuation(since, until_ms)
    return EvacuationState(
        position=newer.position,
        failure_domains=failure_domains,
        retained={
            failure_domain: evacuation
            for failure_domain, evacuation in retained.items()
            if evacuation.until_ms > now_ms
            and failure_domain not in failure_domains
            and evacuation.since > withdrawn.get(failure_domain, UNKNOWN_POSITION)
        },
        withdrawn=withdrawn,
    )


def _get_end(evacuation: RetainedEvacuation) -> int:
    return evacuation.until_ms
