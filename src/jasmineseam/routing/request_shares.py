"""Each node's share of the limit on requests that a server names for all nodes together.

A few nodes share the limit of a server equally, and the others send it nothing. All nodes choose
the same few by rendezvous hashing over the membership, without exchanging messages. With a share
for each node, the shares of a large fleet would be too small to use, and the first requests of all
nodes alone could exceed the limit.
"""

from __future__ import annotations

import typing as t

from .subsets import compute_rendezvous_weight

# Fraction of the limit that the nodes use, so that they stay within it while nodes that don't know
# of each other's start or failure yet share it among too few.
USABLE_LIMIT_FRACTION = 0.9
# requests that all nodes may send at once, in addition to those that the server accepts in 1 s
BURST_REQUESTS = 2
# All nodes together send at least this many requests per second. Only a response can show that a
# server which accepts nearly no requests has withdrawn its limit.
MIN_REQUESTS_PER_S = 0.1
# probes per second that all nodes send to a server that names a limit
PROBES_PER_S = 0.5
# A node that gets a share of a cold server's limit gains no tokens for this time, in seconds, so
# that the other nodes know of the change before the share is used.
WARMUP_HOLD_S = 0.5


class RequestShare(t.NamedTuple):
    """The part of a server's limit that one node may use.

    :param requests_per_s: 0 if the node may send no requests.
    :param burst: number of requests that the node may send at once.
    :param node_count: number of nodes that share the limit.
    """

    requests_per_s: float
    burst: float
    node_count: int


NO_SHARE = RequestShare(0.0, 0.0, 0)


class ShareCandidate(t.NamedTuple):
    """A node that may get a share of a server's limit."""

    vm_id: str
    failure_domain: str


def rank_node(
    node_id: str,
    *,
    server_id: str,
    failure_domain: str,
    nodes: t.Iterable[ShareCandidate],
) -> int | None:
    """Return the rank of a node among those that may get a share of a server's limit.

    Nodes in the server's failure domain come first. The result is ``None`` if the node is not
    among them.

    :param failure_domain: failure domain of the server.
    :param nodes: all nodes.

    >>> nodes = [ShareCandidate(f"n{number}", "d1") for number in range(3)]
    >>> sorted(
    ...     rank_node(node.vm_id, server_id="s", failure_domain="d1", nodes=nodes)
    ...     for node in nodes
    ... )
    [0, 1, 2]
    """
    ranking_keys = {
        node.vm_id: (
            node.failure_domain != failure_domain,
            compute_rendezvous_weight(node.vm_id, server_id),
        )
        for node in nodes
    }
    own_key = ranking_keys.get(node_id)
    if own_key is None:
        return None
    return sum(key < own_key for key in ranking_keys.values())


def compute_share(limit_per_s: float, *, rank: int | None, node_count: int) -> RequestShare:
    """Return a node's share of a server's limit.

    :param limit_per_s: requests per second that the server accepts from all nodes together.
    :param rank: rank of the node, ``None`` if it gets no share.
    :param node_count: number of all nodes.

    >>> shares = [compute_share(1.0, rank=rank, node_count=9) for rank in range(9)]
    >>> round(sum(share.requests_per_s for share in shares), 3)
    0.9
    >>> sum(share.burst for share in shares)
    3.0
    """
    burst = BURST_REQUESTS + limit_per_s
    count = max(1, min(node_count, int(burst)))
    if rank is None or rank >= count:
        return NO_SHARE
    requests_per_s = max(MIN_REQUESTS_PER_S, USABLE_LIMIT_FRACTION * limit_per_s)
    return RequestShare(requests_per_s / count, max(1.0, burst / count), count)


def compute_warmup_share(
    limit_per_s: float, *, bound: float, rank: int | None, node_count: int
) -> RequestShare:
    """Return a node's share of the limit of a cold server.

    Each bucket holds one token. The shares of all nodes therefore allow at most one request for
    each node with a share, and the sum of the rates, within any second. The number of nodes takes
    half of the part of the bound above the rate. The other half is left for requests that are
    delayed on their way and for nodes that disagree on the membership for a moment.

    :param limit_per_s: requests per second that a cold server accepts.
    :param bound: requests that a cold server may get within any second.
    :param rank: rank of the node, ``None`` if it gets no share.
    :param node_count: number of all nodes.

    >>> compute_warmup_share(7.0, bound=18.5, rank=0, node_count=51).node_count
    5
    >>> compute_warmup_share(0.5, bound=0.5, rank=0, node_count=51) == NO_SHARE
    True
    """
    count = max(1, min(node_count, int((bound - limit_per_s) / 2)))
    requests_per_s = USABLE_LIMIT_FRACTION * min(limit_per_s, bound - count)
    if rank is None or rank >= count or requests_per_s <= 0.0:
        return NO_SHARE
    return RequestShare(requests_per_s / count, 1.0, count)


def combine_shares(first: RequestShare, second: RequestShare) -> RequestShare:
    """Return the share of a node in a server with two limits, which keeps both of them."""
    if not first.requests_per_s or not second.requests_per_s:
        return NO_SHARE
    return RequestShare(
        min(first.requests_per_s, second.requests_per_s),
        min(first.burst, second.burst),
        max(first.node_count, second.node_count),
    )


class TokenBucket:
    """Bounds the requests of one node to one server. It starts empty.

    :param share: rate and capacity of the bucket.
    :param now: current monotonic time, in seconds.
    :param hold_s: time for which it gains no tokens, in seconds.
    :param limits_probes: whether the server gets few probes, too.

    >>> bucket = TokenBucket(share=RequestShare(2.0, 1.0, 1), now=0.0)
    >>> bucket.get_available_at(0.0), bucket.get_available_at(0.6)
    (0.5, 0.6)
    >>> bucket.take(0.6)
    >>> bucket.get_available_at(0.6)
    1.1
    """

    __slots__ = ("_refilled_at", "_tokens", "limits_probes", "share")

    def __init__(
        self,
        *,
        share: RequestShare,
        now: float,
        hold_s: float = 0.0,
        limits_probes: bool = True,
    ) -> None:
        self.share = share
        self.limits_probes = limits_probes
        self._tokens = 0.0
        self._refilled_at = now + hold_s

    def set_share(self, share: RequestShare, now: float, *, hold_s: float = 0.0) -> None:
        """Replace rate and capacity; tokens above the new capacity are lost.

        :param hold_s: time for which the bucket gains no tokens if it had no share before.
        """
        self._refill(now)
        if not self.share.requests_per_s and share.requests_per_s:
            self._refilled_at = now + hold_s
        self.share = share
        self._tokens = min(self._tokens, share.burst)

    def get_available_at(self, now: float) -> float:
        """Return the time from which a request may be sent."""
        self._refill(now)
        if self._tokens >= 1.0:
            return now
        if self.share.requests_per_s <= 0.0:
            return float("inf")
        return self._refilled_at + (1.0 - self._tokens) / self.share.requests_per_s

    def take(self, now: float) -> None:
        """Count one request."""
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self.share.requests_per_s
        self._tokens = min(self.share.burst, self._tokens + gained)
        self._refilled_at = max(self._refilled_at, now)
