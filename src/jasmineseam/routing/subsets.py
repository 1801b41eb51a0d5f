"""Subset of a service's servers that one node uses.

With many nodes and servers, connections of each node to each server would grow with the product
of both. Each node therefore uses only some servers of a service. Rendezvous hashing gives every
server to about equally many nodes, and changes few subsets when a node or server comes or goes.
"""

from __future__ import annotations

import math
import typing as t

import xxhash

# smallest subset, so that a few slow servers do not leave a node without a fast one
MIN_SUBSET_SIZE = 8
# Each server is in the subsets of about this many nodes, so that its load does not depend on one.
NODES_PER_SERVER = 4
# With fewer servers in its own failure domain, a node uses servers of all failure domains.
MIN_LOCAL_SERVERS = 2


class SubsetMember(t.NamedTuple):
    """A server that a node may use."""

    server_id: str
    failure_domain: str


def compute_subset_size(server_count: int, node_count: int) -> int:
    """Return the number of servers that each of several nodes uses.

    :param server_count: number of servers that the nodes share.
    :param node_count: number of nodes.

    >>> compute_subset_size(76, 20), compute_subset_size(17000, 260), compute_subset_size(6, 20)
    (16, 262, 6)
    """
    size = max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_SERVER * server_count / max(1, node_count)))
    return min(server_count, size)


def choose_subset(
    servers: t.Iterable[SubsetMember],
    *,
    node_id: str,
    failure_domain: str,
    node_count: int,
    local_node_count: int,
    use_local: bool = True,
) -> list[str]:
    """Return the ids of the servers that a node uses.

    Servers of the node's own failure domain are used if there are at least
    :data:`MIN_LOCAL_SERVERS`.

    :param servers: the servers of the service that may receive requests.
    :param node_id: VM of the node.
    :param failure_domain: failure domain of the node.
    :param node_count: number of all nodes.
    :param local_node_count: number of nodes in the failure domain.
    :param use_local: ``False`` if servers of all failure domains are used in any case.

    >>> servers = [SubsetMember(f"s{number}", "d1" if number < 3 else "d2") for number in range(9)]
    >>> sorted(choose_subset(servers, node_id="n", failure_domain="d1", node_count=4,
    ...                      local_node_count=2))
    ['s0', 's1', 's2']
    """
    candidates = list(servers)
    local = [server for server in candidates if server.failure_domain == failure_domain]
    if use_local and len(local) >= MIN_LOCAL_SERVERS:
        candidates = local
        node_count = local_node_count
    size = compute_subset_size(len(candidates), node_count)
    if size >= len(candidates):
        return [server.server_id for server in candidates]
    candidates.sort(
        key=lambda server: compute_rendezvous_weight(node_id, server.server_id), reverse=True
    )
    return [server.server_id for server in candidates[:size]]


def compute_rendezvous_weight(node_id: str, key: str) -> int:
    """Return the weight of a node for a key, by which all nodes choose the same node for it."""
    return xxhash.xxh3_64_intdigest(f"{node_id} {key}".encode())
