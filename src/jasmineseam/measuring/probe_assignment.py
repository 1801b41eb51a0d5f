"""Which node probes which server, and how often.

Each server has one prober among the nodes, found by rendezvous hashing with the nodes of the
server's own failure domain first. Nodes out of reach keep their servers, since they may well go on
probing; the others probe those too, but so rarely that all nodes together stay within the limit
even if each believes the others to be gone.
"""

from __future__ import annotations

import msgspec
import xxhash

# part of the limit that the prober and its stand-ins may use together
USABLE_LIMIT_FRACTION = 0.9


class ProberCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """A node as a prober.

    :param reachable: whether it was heard lately.
    """

    vm_id: str
    failure_domain: str
    reachable: bool = True


def find_prober(
    server_id: str, failure_domain: str, candidates: list[ProberCandidate]
) -> ProberCandidate | None:
    """Return the node that probes a server.

    >>> here = Prober(vm_id="a", failure_domain="d1")
    >>> there = Prober(vm_id="b", failure_domain="d2")
    >>> find_prober("s", "d2", [here, there]).vm_id
    'b'
    """
    best = None
    best_rank = (False, -1)
    for prober in candidates:
        weight = xxhash.xxh3_64_intdigest(f"{prober.vm_id} {server_id}".encode())
        rank = (prober.failure_domain == failure_domain, weight)
        if rank > best_rank:
            best = prober
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
    """Return how often this node probes a server, ``None`` if it does not.

    :param probers: all nodes, this one included.
    :param wanted_s: time between probes if the limit allows it, in seconds.
    :param limit_per_s: the most probes a second from all nodes together.

    >>> nodes = [Prober(vm_id=name, failure_domain="d") for name in "ab"]
    >>> [compute_interval_s("s1", "d", nodes, own_id=own, wanted_s=0.05, limit_per_s=60.0)
    ...  for own in "ab"]
    [0.05, None]
    """
    if max_probes_per_s <= 0.0:
        return None
    max_probes_per_s *= USABLE_LIMIT_FRACTION
    first = find_prober(server_id, failure_domain, candidates)
    first_rate = min(1.0 / target_interval_s, max_probes_per_s / 2)
    if first is None or first.vm_id == own_vm_id:
        return 1.0 / first_rate
    if first.reachable:
        return None
    reachable = [prober for prober in candidates if prober.reachable]
    second = find_prober(server_id, failure_domain, reachable)
    if second is not None and second.vm_id != own_vm_id:
        return None
    others = max(1, len(candidates) - 1)
    return 1.0 / min(first_rate, (max_probes_per_s - first_rate) / others)
