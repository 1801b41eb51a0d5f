"""Membership of nodes, with versioned states and suspicion before a node counts as failed.

Each node publishes its own state with a version that only the node itself increases. A newer
version replaces an older one, so states may arrive late, repeatedly and from any node. A node that
does not answer is suspected first; it can refute the suspicion with a newer version of its state.
"""

from __future__ import annotations

import collections
import enum
import typing as t

import msgspec
import xxhash

# A suspected node counts as failed if it does not refute the suspicion within this time.
SUSPICION_TIMEOUT_S = 1.5
# A failed node is counted, and contacted now and then, for this time.
FAILED_RETENTION_S = 30.0
# Failed nodes are forgotten after this time; until then, an old state does not bring them back.
FORGET_AFTER_S = 120.0
# Versions are Unix times in milliseconds with a few increments, far below this. A state with a
# higher version is malformed.
MAX_VERSION = 2**53
# value of ``NodeInfo.message_kinds`` from which a node understands messages about probes
PROBE_MESSAGE_KINDS = 1
# value that this build publishes
OWN_MESSAGE_KINDS = 1
# Nodes are divided into this many groups, whose states are compared between two nodes.
DIGEST_GROUP_COUNT = 16


class NodeInfo(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The state that a node publishes.

    :param version: increases with each change; starts with the Unix time of the node's start in
        milliseconds, so that a restarted node continues with higher versions.
    :param entry_address: ``ip:port`` for requests of callers.
    :param notice_address: ``ip:port`` for datagrams of other nodes.
    :param peer_address: ``ip:port`` for requests of other nodes.
    :param ready: whether callers may send requests to the node.
    :param leaving: whether the node is shutting down.
    :param reads_store: whether the node has no failing access to the metadata store.
    :param lost_services: services whose servers other nodes reach, but this node does not.
    :param evacuated: the failure domains that are evacuated as far as the node knows; ``None``
        from builds without evacuations.
    :param message_kinds: counts the extensions of the messages between nodes; a node is sent only
        messages that it understands. Nodes of builds before the first extension have 0.
    :param grants_quotas: whether the node takes part in the quotas of client accounts. Nodes of
        earlier builds don't, and leave the field out of states that they forward.
    """

    vm_id: str
    version: t.Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    failure_domain: str
    entry_address: str
    notice_address: str
    peer_address: str
    ready: bool = False
    leaving: bool = False
    reads_store: bool = True
    lost_services: list[str] = []
    evacuated: list[str] | None = None
    message_kinds: int = 0
    grants_quotas: bool = False


class NodeStatus(enum.Enum):
    """What this node believes of another one."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"


class _Member:
    __slots__ = ("digested", "heard_at", "info", "status", "status_at")

    def __init__(self, info: NodeInfo, now: float) -> None:
        self.info = info
        self.status = NodeStatus.ALIVE
        self.status_at = now
        # time of the last message of the node itself, or of a newer state from another node
        self.heard_at = now
        # whether the hashes of the membership include the state
        self.digested = False


class NodeMembership:
    """The nodes of the fleet as known to one node.

    :param own: the state of this node.
    :param clock: returns monotonic time in seconds.

    >>> def make_info(vm_id, version=1):
    ...     return NodeInfo(vm_id=vm_id, version=version, failure_domain="d", entry_address="",
    ...                     notice_address=vm_id, peer_address="", ready=True)
    >>> membership = NodeMembership(own=make_info("a"), clock=lambda: 0.0)
    >>> membership.apply(make_info("b", 2)), membership.apply(make_info("b", 1))
    (True, False)
    >>> membership.suspect("b", 2)
    True
    >>> [info.vm_id for info in membership.list_live()]
    ['a']
    """

    __slots__ = (
        "_clock",
        "_digested_own",
        "_digests",
        "_distrusted_at",
        "_domain_counts",
        "_domain_counts_until",
        "_members",
        "own",
        "state_changes",
    )

    def __init__(self, *, own: NodeInfo, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._members: dict[str, _Member] = {}
        self.own = own
        # number of changes of other nodes' states and of their status
        self.state_changes = 0
        # what was known before this time does not count
        self._distrusted_at = float("-inf")
        # result of count_by_domain and the time until which it holds; ``None`` after a change
        self._domain_counts: collections.Counter[str] | None = None
        self._domain_counts_until = float("inf")
        # Hashes over the states of groups of nodes. They are updated with each change, because a
        # node of a large fleet compares them with each of many messages that change its members.
        self._digests = [0] * DIGEST_GROUP_COUNT
        self._digested_own = own
        self._toggle_digest(own)

    def update_own(self, **changes: t.Any) -> bool:
        """Change fields of the own state; return whether any differs, with a new version."""
        if all(getattr(self.own, name) == value for name, value in changes.items()):
            return False
        changes.setdefault("version", self.own.version + 1)
        self.own = msgspec.structs.replace(self.own, **changes)
        return True

    def refute(self, version: int) -> bool:
        """Raise the own version above one that others suspect or hold; return if it changed."""
        if version < self.own.version or version >= MAX_VERSION:
            return False
        return self.update_own(version=version + 1)

    def apply(self, info: NodeInfo) -> bool:
        """Store a node's state if it is newer than the known one; return whether it was.

        A state of this node itself, from before its restart, raises the own version instead.
        """
        if info.vm_id == self.own.vm_id:
            return info != self.own and self.refute(info.version)
        member = self._members.get(info.vm_id)
        if member is not None and info.version <= member.info.version:
            if info.version == member.info.version and (
                info.grants_quotas and not member.info.grants_quotas
            ):
                # An earlier build has forwarded this state without the field.
                member.info = info
                self.state_changes += 1
            return False
        if member is not None and member.digested:
            self._toggle_digest(member.info)
        if (
            member is None
            or member.status is NodeStatus.FAILED
            or _get_counted(member.info) != _get_counted(info)
        ):
            self._domain_counts = None
        self._members[info.vm_id] = member = _Member(info, self._clock())
        self._update_digest(member)
        self.state_changes += 1
        return True

    def record_contact(self, info: NodeInfo) -> bool:
        """Record a message that a node itself has sent; return whether its state was new.

        The message proves that the node is alive, so a suspicion ends.
        """
        new = self.apply(info)
        member = self._members.get(info.vm_id)
        if member is not None and info.version == member.info.version:
            # A node of an earlier build passes on states without fields that it doesn't know.
            if info.message_kinds > member.info.message_kinds:
                member.info = info
                self.state_changes += 1
            if not self._is_trusted(member):
                self.state_changes += 1
            member.heard_at = self._clock()
            self._set_status(member, NodeStatus.ALIVE)
            self._update_digest(member)
        return new

    def distrust(self) -> None:
        """Take no node as alive until it is heard of again.

        Called after a pause of this node, in which any other node may have failed.
        """
        self._distrusted_at = self._clock()
        for member in self._members.values():
            member.heard_at = min(member.heard_at, self._distrusted_at - 1.0)
            self._update_digest(member)
        self.state_changes += 1

    def list_distrusted(self) -> list[NodeInfo]:
        """Return the nodes that have not been heard of since a pause, and have not failed."""
        return [
            member.info
            for member in self._members.values()
            if member.status is not NodeStatus.FAILED and not self._is_trusted(member)
        ]

    def is_suspected(self, info: NodeInfo) -> bool:
        """Return whether the node is suspected or failed in the version of the given state."""
        member = self._members.get(info.vm_id)
        if member is None or member.info.version > info.version:
            return False
        return member.status is not NodeStatus.ALIVE

    def suspect(self, vm_id: str, version: int) -> bool:
        """Suspect a node in one version of its state; return whether this was new.

        A suspicion of this node itself raises the own version.
        """
        if vm_id == self.own.vm_id:
            return self.refute(version)
        member = self._members.get(vm_id)
        if member is None or member.info.version != version:
            return False
        if member.status is not NodeStatus.ALIVE:
            return False
        self._set_status(member, NodeStatus.SUSPECTED)
        return True

    def expire(self) -> list[NodeInfo]:
        """Mark nodes as failed whose suspicion was not refuted; return them.

        Nodes that failed long ago are forgotten.
        """
        now = self._clock()
        failed = []
        for vm_id, member in list(self._members.items()):
            age_s = now - member.status_at
            if member.status is NodeStatus.SUSPECTED and age_s >= SUSPICION_TIMEOUT_S:
                self._set_status(member, NodeStatus.FAILED)
                failed.append(member.info)
                continue
            if member.status is NodeStatus.FAILED and age_s >= FORGET_AFTER_S:
                del self._members[vm_id]
                self.state_changes += 1
        return failed

    def get(self, vm_id: str) -> NodeInfo | None:
        """Return the state of a node, ``None`` if it is unknown."""
        if vm_id == self.own.vm_id:
            return self.own
        member = self._members.get(vm_id)
        return None if member is None else member.info

    def list_statuses(self) -> dict[str, str]:
        """Return the status of each other node by its VM id."""
        return {vm_id: member.status.value for vm_id, member in self._members.items()}

    def list_peers(self) -> list[NodeInfo]:
        """Return the other nodes that have not failed."""
        return [
            member.info
            for member in self._members.values()
            if member.status is not NodeStatus.FAILED
        ]

    def list_failed(self) -> list[NodeInfo]:
        """Return the nodes that have failed and are not forgotten."""
        return [
            member.info for member in self._members.values() if member.status is NodeStatus.FAILED
        ]

    def list_live(self) -> list[NodeInfo]:
        """Return the nodes that callers may send requests to, including this one."""
        live = [
            member.info
            for member in self._members.values()
            if self._is_alive(member) and member.info.ready and not member.info.leaving
        ]
        if self.own.ready and not self.own.leaving:
            live.append(self.own)
        return live

    def count(self, failure_domain: str | None = None) -> int:
        """Return the number of nodes that share the fleet's limits, at least 1.

        It includes this node and nodes that failed recently, which may only be unreachable.

        :param failure_domain: if set, only nodes in it are counted.
        """
        counts = self.count_by_domain()
        if failure_domain is None:
            return sum(counts.values())
        return max(1, counts.get(failure_domain, 0))

    def count_by_domain(self) -> dict[str, int]:
        """Return the number of nodes of each failure domain that share the fleet's limits.

        The nodes are those of :meth:`count`.
        """
        now = self._clock()
        if self._domain_counts is None or now >= self._domain_counts_until:
            self._domain_counts, self._domain_counts_until = self._compute_domain_counts(now)
        return dict(self._domain_counts)

    def _compute_domain_counts(self, now: float) -> tuple[collections.Counter[str], float]:
        """Return the result of :meth:`count_by_domain`, and the time until which it holds."""
        counts: collections.Counter[str] = collections.Counter([self.own.failure_domain])
        until = float("inf")
        for member in self._members.values():
            if member.info.leaving:
                continue
            if member.status is NodeStatus.FAILED:
                counted_until = member.status_at + FAILED_RETENTION_S
                if now >= counted_until:
                    continue
                until = min(until, counted_until)
            counts[member.info.failure_domain] += 1
        return counts, until

    def count_reachable(self, failure_domain: str, *, message_kinds: int = 0) -> int:
        """Return the number of nodes of a failure domain that answer, including this node.

        :param message_kinds: smallest value of the nodes' ``message_kinds``.
        """
        nodes = [self.own]
        nodes += [
            member.info
            for member in self._members.values()
            if member.status is NodeStatus.ALIVE and not member.info.leaving
        ]
        return sum(
            info.failure_domain == failure_domain and info.message_kinds >= message_kinds
            for info in nodes
        )

    def count_alive(self) -> int:
        """Return the number of nodes of :meth:`count` that are neither suspected nor failed."""
        return 1 + sum(
            member.status is NodeStatus.ALIVE and not member.info.leaving
            for member in self._members.values()
        )

    def compute_digests(self) -> list[int]:
        """Return one hash per group of nodes, over the versions of alive nodes' states."""
        if self._digested_own is not self.own:
            self._toggle_digest(self._digested_own)
            self._toggle_digest(self.own)
            self._digested_own = self.own
        return list(self._digests)

    def list_differing(self, digests: list[int]) -> tuple[list[NodeInfo], list[tuple[str, int]]]:
        """Return the nodes of all groups whose hash differs from the one in a list of hashes.

        :returns: the states of alive nodes, and the VM ids and versions of suspected and failed
            ones.
        """
        own_digests = self.compute_digests()

        def differs(info: NodeInfo) -> bool:
            group = _get_group(info)
            return len(digests) != len(own_digests) or digests[group] != own_digests[group]

        suspected = [
            (vm_id, member.info.version)
            for vm_id, member in self._members.items()
            if member.status is not NodeStatus.ALIVE and differs(member.info)
        ]
        return [info for info in self._list_alive() if differs(info)], suspected

    def _list_alive(self) -> list[NodeInfo]:
        alive = [member.info for member in self._members.values() if self._is_alive(member)]
        alive.append(self.own)
        return alive

    def _is_trusted(self, member: _Member) -> bool:
        return member.heard_at >= self._distrusted_at

    def _is_alive(self, member: _Member) -> bool:
        return member.status is NodeStatus.ALIVE and self._is_trusted(member)

    def _set_status(self, member: _Member, status: NodeStatus) -> None:
        if member.status is status:
            return
        if NodeStatus.FAILED in (member.status, status):
            self._domain_counts = None
        member.status = status
        member.status_at = self._clock()
        self._update_digest(member)
        self.state_changes += 1

    def _update_digest(self, member: _Member) -> None:
        """Add a state to the hashes or remove it, as the node is taken as alive or not."""
        if self._is_alive(member) == member.digested:
            return
        member.digested = not member.digested
        self._toggle_digest(member.info)

    def _toggle_digest(self, info: NodeInfo) -> None:
        self._digests[_get_group(info)] ^= xxhash.xxh3_64_intdigest(
            f"{info.vm_id} {info.version}".encode()
        )


def combine_digests(digests: list[int]) -> int:
    """Return one hash over the hashes of all groups.

    >>> combine_digests([1, 2, 4])
    7
    """
    combined = 0
    for digest in digests:
        combined ^= digest
    return combined


def _get_counted(info: NodeInfo) -> tuple[str, bool]:
    """Return what decides whether and where a node is counted."""
    return info.failure_domain, info.leaving


def _get_group(info: NodeInfo) -> int:
    return xxhash.xxh3_64_intdigest(info.vm_id.encode()) % DIGEST_GROUP_COUNT
