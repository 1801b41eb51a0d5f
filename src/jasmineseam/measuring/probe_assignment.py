"""Assignment of servers to the nodes that probe them, and the probe intervals.

Each server is probed by one node, chosen by rendezvous hashing; nodes in the server's own failure
domain take precedence. An unreachable node keeps its servers, because it may still be probing
them. A second node, the substitute, then probes them as well. The probe rate of a substitute is so
low that all nodes together stay within the limit on probes per second to one server, even if no
node receives messages from any other: the prober uses at most half of the limit, and each other
node, as a possible substitute, uses at most an equal share of the rest.
"""

from __future__ import annotations

import msgspec
import xxhash

# fraction of ``max_probes_per_s`` that a server's prober and its substitutes use together
USABLE_LIMIT_FRACTION = 0.9


class ProberCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """A node to which servers can be assigned for probing.

    :param reachable: whether the node's last heartbeat is recent enough for it to count as alive.
    """

    vm_id: str
    failure_domain: str
    reachable: bool = True


def find_prober(
    server_id: str, failure_domain: str, candidates: list[ProberCandidate]
) -> ProberCandidate | None:
    """Return the node that probes a server, ``None`` if there are no candidates.

    >>> here = ProberCandidate(vm_id="a", failure_domain="d1")
    >>> there = ProberCandidate(vm_id="b", failure_domain="d2")
    >>> find_prober("s", "d2", [here, there]).vm_id
    'b'
    """
    best = None
    best_rank = (False, -1)
    for candidate in candidates:
        weight = xxhash.xxh3_64_intdigest(f"{candidate.vm_id} {server_id}".encode())
        rank = (candidate.failure_domain == failure_domain, weight)
        if rank > best_rank:
            best = candidate
            best_rank = rank
    return best


def compute_probe_interval_s(
    server_id: str,
    failure_domain: str,
    candidates: list[ProberCandidate],
    *,
    own_vm_id: str,
    target_interval_s: float,
    max_probes_per_s: float,
) -> float | None:
    """Return the interval at which this node probes a server, ``None`` if it does not probe it.

    :param candidates: all nodes, including this one.
    :param own_vm_id: VM of this node.
    :param target_interval_s: interval between probes if the limit allows it, in seconds.
    :param max_probes_per_s: maximum number of probes per second that the server may receive from
        all nodes together.

    >>> nodes = [ProberCandidate(vm_id=name, failure_domain="d") for name in "ab"]
    >>> [compute_probe_interval_s("s1", "d", nodes, own_vm_id=vm_id, target_interval_s=0.05,
    ...  max_probes_per_s=60.0) for vm_id in "ab"]
    [0.05, None]
    """
    if max_probes_per_s <= 0.0:
        return None
    max_probes_per_s *= USABLE_LIMIT_FRACTION
    prober = find_prober(server_id, failure_domain, candidates)
    prober_rate_per_s = min(1.0 / target_interval_s, max_probes_per_s / 2)
    if prober is None or prober.vm_id == own_vm_id:
        return 1.0 / prober_rate_per_s
    if prober.reachable:
        return None
    reachable = [candidate for candidate in candidates if candidate.reachable]
    substitute = find_prober(server_id, failure_domain, reachable)
    if substitute is not None and substitute.vm_id != own_vm_id:
        return None
    other_node_count = max(1, len(candidates) - 1)
    return 1.0 / min(prober_rate_per_s, (max_probes_per_s - prober_rate_per_s) / other_node_count)
