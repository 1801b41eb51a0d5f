"""How the nodes share the limit on the probes of a server by demand, on a clock that is passed in.

It answers a load in which many nodes use the same servers and each has a request only now and
then. With equal shares, a node could then probe a server once in seconds, while most shares are
unused.

The limit is divided twice. A part is divided equally among the nodes that use the server, which
spend it without asking. The rest is divided among the failure domains. In each of them one node,
the owner, grants it to the nodes that have a request, and passes on the newest report that it
knows. The more probes the equal shares allow, the smaller is the part that is granted. If they
allow a probe whenever a report becomes too old, nothing is left to grant, and no node asks.
"""

from __future__ import annotations

import collections
import math
import typing as t

import msgspec
import xxhash

from ..measuring.load_reports import DetailedLoadReport
from .subsets import MIN_LOCAL_SERVERS
from .subsets import compute_rendezvous_weight
from .subsets import compute_subset_size

# Part of the limit that the nodes use; what remains covers one probe more per owner and differing
# views of which nodes and servers exist.
USABLE_LIMIT_FRACTION = 0.8
# A load report is useful for placements up to this age, in seconds.
USEFUL_REPORT_AGE_S = 0.05
# Smallest part of the usable limit that is shared equally. It serves the nodes while there is no
# owner, for about 2 s after the last one failed.
MIN_OWN_FRACTION = 0.25
# A node that does not have a server in its subset counts as this many nodes that have.
BORROWER_WEIGHT = 0.2
# With random subsets, a server has up to this many standard deviations more users than the mean.
SUBSET_DEVIATIONS = 2.0
# Shares below one probe per period are drawn for each period, in seconds.
DRAW_PERIOD_S = 1.0
# A node grants probes when it has been the owner for this time, in seconds. By then, the nodes
# have learnt that the earlier owner has failed, or that this node has joined.
OWNER_SETTLE_S = 1.0
# Longest interval between two calls of ``ProbeGranter.confirm``, in seconds. After a longer one
# the process was paused, and another node may be the owner.
MAX_CONFIRMATION_GAP_S = 1.0
# An older report is not passed on, since it must be useful when it arrives; in seconds.
MAX_SHARED_REPORT_AGE_S = 0.04
# A younger report is passed on without a new probe, in seconds.
MIN_GRANT_REPORT_AGE_S = 0.015
# Time in which the report of a granted probe is expected, in seconds. Nodes that ask meanwhile
# get that report instead of a probe.
REPORT_DELAY_S = 0.03
# The owner wants the reports of granted probes if there are at least this many requests for a
# server in the time in which a report is useful.
MIN_SHARED_DEMAND = 0.1
# Half-life of the measured demand, in seconds.
DEMAND_HALF_LIFE_S = 1.0
# Servers without a request for this time are forgotten, in seconds.
RETENTION_S = 30.0


class ProbeShare(t.NamedTuple):
    """The probes of one server that nodes of one failure domain may send.

    :param own_per_s: probes per second that a node with the server in its subset sends unasked.
    :param borrower_per_s: the same for a node without the server in its subset.
    :param granted_per_s: probes per second that the owner grants to all nodes of the domain.
    """

    own_per_s: float
    borrower_per_s: float
    granted_per_s: float


def compute_share(
    limit_per_s: float,
    *,
    server_domain: str,
    domain: str,
    server_counts: t.Mapping[str, int],
    node_counts: t.Mapping[str, int],
    reachable_count: int,
) -> ProbeShare:
    """Return the share of the probes of a server for the nodes of one failure domain.

    The shares of all nodes and owners add up to at most the usable part of the limit if all nodes
    know the same servers and nodes. Owners that can't reach each other divide the part of their
    domain by the nodes that they reach.

    :param limit_per_s: probes per second that the server may receive.
    :param server_domain: failure domain of the server.
    :param domain: failure domain of the nodes.
    :param server_counts: number of servers of the service by failure domain.
    :param node_counts: number of nodes by failure domain, with those that failed a short time ago.
    :param reachable_count: number of nodes in *domain* that have not failed.

    >>> compute_share(60.0, server_domain="a", domain="a", server_counts={"a": 5},
    ...               node_counts={"a": 2}, reachable_count=2)
    ProbeShare(own_per_s=24.0, borrower_per_s=0.0, granted_per_s=0.0)
    >>> share = compute_share(42.0, server_domain="a", domain="a", server_counts={"a": 5},
    ...                       node_counts={"a": 84}, reachable_count=84)
    >>> round(share.own_per_s, 3), round(share.granted_per_s, 3)
    (0.1, 25.2)
    """
    usable_per_s = USABLE_LIMIT_FRACTION * limit_per_s
    total_users = 0.0
    domain_users = 0.0
    random_subsets = False
    for name, node_count in node_counts.items():
        fraction = _compute_user_fraction(name, server_domain, server_counts, node_counts)
        users = node_count * (fraction + BORROWER_WEIGHT * (1.0 - fraction))
        total_users += users
        random_subsets = random_subsets or 0.0 < fraction < 1.0
        if name == domain:
            domain_users = users
    if usable_per_s <= 0.0 or domain_users <= 0.0:
        return ProbeShare(0.0, 0.0, 0.0)
    equal_per_s = usable_per_s / max(1.0, total_users)
    own_fraction = min(1.0, max(MIN_OWN_FRACTION, equal_per_s * USEFUL_REPORT_AGE_S))
    own_users = max(1.0, total_users)
    if random_subsets:
        own_users += SUBSET_DEVIATIONS * math.sqrt(total_users)
    own_per_s = own_fraction * usable_per_s / own_users
    own_part = _compute_user_fraction(domain, server_domain, server_counts, node_counts)
    granted_per_s = (1.0 - own_fraction) * usable_per_s * domain_users / total_users
    granted_per_s *= min(1.0, reachable_count / node_counts[domain])
    borrower_per_s = BORROWER_WEIGHT * own_per_s if own_part < 1.0 else 0.0
    return ProbeShare(own_per_s, borrower_per_s, granted_per_s)


def _compute_user_fraction(
    domain: str,
    server_domain: str,
    server_counts: t.Mapping[str, int],
    node_counts: t.Mapping[str, int],
) -> float:
    """Return the fraction of a failure domain's nodes that have a server in their subset.

    The rule is that of :func:`.subsets.choose_subset`.
    """
    local_servers = server_counts.get(domain, 0)
    if local_servers >= MIN_LOCAL_SERVERS:
        if domain != server_domain:
            return 0.0
        size = compute_subset_size(local_servers, node_counts.get(domain, 1))
        return size / local_servers
    server_count = max(1, sum(server_counts.values()))
    return compute_subset_size(server_count, sum(node_counts.values())) / server_count


def choose_owner(service: str, node_ids: t.Iterable[str]) -> str | None:
    """Return the node that grants the probes of a service, ``None`` if there is no node.

    :param node_ids: the live nodes of one failure domain.

    >>> choose_owner("fit", ["n1", "n2", "n3"]) == choose_owner("fit", ["n3", "n2", "n1"])
    True
    """
    return max(
        node_ids,
        key=lambda node_id: compute_rendezvous_weight(node_id, f"probes {service}"),
        default=None,
    )


class OwnProbes:
    """Bounds the probes that one node sends without asking.

    :param node_id: VM of the node.

    >>> probes = OwnProbes(node_id="n1")
    >>> probes.may_probe("s1", 2.0, 10.0)
    True
    >>> probes.record_probe("s1", 10.0)
    >>> probes.may_probe("s1", 2.0, 10.4), probes.may_probe("s1", 2.0, 10.5)
    (False, True)
    """

    __slots__ = ("_node_id", "_pruned_at", "_sent_at")

    def __init__(self, *, node_id: str) -> None:
        self._node_id = node_id
        # time of the last probe of each server, also of those that were only borrowed
        self._sent_at: dict[str, float] = {}
        self._pruned_at = float("-inf")

    def may_probe(self, server_id: str, probes_per_s: float, now: float) -> bool:
        """Return whether this node may probe a server now.

        A share below one probe per period is drawn for each server and period. A fixed interval
        would allow each of many nodes a probe at the same time.
        """
        if probes_per_s <= 0.0:
            return False
        elapsed_s = now - self._sent_at.get(server_id, float("-inf"))
        if probes_per_s >= 1.0 / DRAW_PERIOD_S:
            return elapsed_s >= 1.0 / probes_per_s
        if elapsed_s < DRAW_PERIOD_S:
            return False
        period = int(now / DRAW_PERIOD_S)
        draw = xxhash.xxh3_64_intdigest(f"{self._node_id} {server_id} {period}".encode())
        return draw < probes_per_s * DRAW_PERIOD_S * 2**64

    def record_probe(self, server_id: str, now: float) -> None:
        """Record that a probe is sent to a server, granted or not."""
        self._sent_at[server_id] = now
        if now - self._pruned_at >= RETENTION_S:
            self._pruned_at = now
            self._sent_at = {
                key: sent_at
                for key, sent_at in self._sent_at.items()
                if now - sent_at < RETENTION_S
            }


class SharedReport(t.NamedTuple):
    """A load report that an owner passes on.

    :param age_s: time since the report was received from the server.
    """

    server_id: str
    report: DetailedLoadReport
    age_s: float


class Grant(t.NamedTuple):
    """An owner's answer to a node that has a request.

    :param server_ids: servers that the node may probe once.
    :param reports: the newest reports that the owner knows.
    :param awaited_ids: servers whose report the owner expects from another node and passes on.
    :param shares_reports: whether the owner wants the reports of the granted probes.
    """

    server_ids: list[str]
    reports: list[SharedReport]
    awaited_ids: list[str]
    shares_reports: bool


NO_GRANT = Grant([], [], [], False)


class _GrantedServer:
    __slots__ = (
        "demand_per_s",
        "demanded_at",
        "expected_requests",
        "granted_at",
        "refilled_at",
        "report",
        "reported_at",
        "tokens",
    )

    def __init__(self, refilled_at: float) -> None:
        self.tokens = 0.0
        self.refilled_at = refilled_at
        self.granted_at = float("-inf")
        self.report: DetailedLoadReport | None = None
        self.reported_at = float("-inf")
        # requests that nodes have probably sent to the server since the report
        self.expected_requests = 0
        self.demand_per_s = 0.0
        self.demanded_at = refilled_at


class ProbeGranter:
    """Grants the probes of one service as the owner in one failure domain.

    In any span of time, the probes granted for a server are at most the rate times the span, and
    one more. A new owner grants nothing until it is known as the owner, and starts with no probes
    saved.

    :param clock: returns monotonic time in seconds.

    >>> now = [0.0]
    >>> granter = ProbeGranter(clock=lambda: now[0])
    >>> granter.confirm(); granter.grant(["s1"], 1, lambda server_id: 10.0).server_ids
    []
    >>> now[0] = 0.9; granter.confirm(); now[0] = 1.2
    >>> granter.grant(["s1"], 1, lambda server_id: 10.0).server_ids
    ['s1']
    >>> granter.grant(["s1"], 1, lambda server_id: 10.0)._replace(shares_reports=False)
    Grant(server_ids=[], reports=[], awaited_ids=['s1'], shares_reports=False)
    """

    __slots__ = ("_clock", "_confirmed_at", "_owner_since", "_servers", "granted_count")

    def __init__(self, *, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._owner_since = clock()
        self._confirmed_at = self._owner_since
        self._servers: dict[str, _GrantedServer] = {}
        self.granted_count = 0

    def confirm(self) -> None:
        """Record that this node is still the owner, as far as it knows."""
        now = self._clock()
        self._restart_after_pause(now)
        self._confirmed_at = now
        self._servers = {
            server_id: server
            for server_id, server in self._servers.items()
            if now - server.demanded_at < RETENTION_S
        }

    def is_settled(self) -> bool:
        """Return whether this node has been the owner long enough to grant probes."""
        now = self._clock()
        self._restart_after_pause(now)
        return now - self._owner_since >= OWNER_SETTLE_S

    def grant(
        self, server_ids: list[str], count: int, get_rate: t.Callable[[str], float]
    ) -> Grant:
        """Answer a node that needs reports.

        :param server_ids: servers of which the node needs reports, in the order of preference.
        :param count: number of reports that it needs.
        :param get_rate: returns the probes per second to grant for a server.
        """
        if not self.is_settled():
            return NO_GRANT
        now = self._clock()
        granted: list[str] = []
        reports: list[SharedReport] = []
        awaited: list[str] = []
        shares_reports = False
        for server_id in server_ids:
            server = self._get_server(server_id)
            self._count_demand(server, now)
            if server.demand_per_s * USEFUL_REPORT_AGE_S >= MIN_SHARED_DEMAND:
                shares_reports = True
            self._refill(server, get_rate(server_id), now)
            age_s = now - server.reported_at
            awaits_report = now - server.granted_at < REPORT_DELAY_S and (
                server.reported_at < server.granted_at
            )
            if server.report is not None and age_s <= MAX_SHARED_REPORT_AGE_S:
                reports.append(SharedReport(server_id, self._add_expected(server), age_s))
            if len(granted) >= count or age_s < MIN_GRANT_REPORT_AGE_S:
                continue
            if awaits_report:
                awaited.append(server_id)
                continue
            if server.tokens >= 1.0:
                server.tokens -= 1.0
                server.granted_at = now
                granted.append(server_id)
        self._expect_placement(reports)
        self.granted_count += len(granted)
        return Grant(granted, reports, awaited, shares_reports)

    def record_report(
        self, server_id: str, report: DetailedLoadReport, observed_at: float
    ) -> None:
        """Store the report of a server that nodes have asked for, if it is the newest.

        :param observed_at: time at which the report was received from the server, in seconds.
        """
        server = self._servers.get(server_id)
        if server is not None and observed_at > server.reported_at:
            server.report = report
            server.reported_at = observed_at
            server.expected_requests = 0

    def _add_expected(self, server: _GrantedServer) -> DetailedLoadReport:
        """Return the report of a server with the requests expected since then."""
        running = server.report.running + server.expected_requests
        return msgspec.structs.replace(server.report, running=running)

    def _expect_placement(self, reports: list[SharedReport]) -> None:
        """Count the request of a node that gets reports at the server that it will choose.

        Without this, all nodes that get the same report would choose the same server.
        """
        if not reports:
            return
        best = min(reports, key=_estimate_latency_factor)
        self._servers[best.server_id].expected_requests += 1

    def _restart_after_pause(self, now: float) -> None:
        if now - self._confirmed_at > MAX_CONFIRMATION_GAP_S:
            self._owner_since = self._confirmed_at = now
            self._servers.clear()

    def _get_server(self, server_id: str) -> _GrantedServer:
        server = self._servers.get(server_id)
        if server is None:
            server = _GrantedServer(self._owner_since + OWNER_SETTLE_S)
            self._servers[server_id] = server
        return server

    def _refill(self, server: _GrantedServer, rate_per_s: float, now: float) -> None:
        gained = max(0.0, now - server.refilled_at) * rate_per_s
        server.tokens = min(1.0, server.tokens + gained)
        server.refilled_at = now

    def _count_demand(self, server: _GrantedServer, now: float) -> None:
        decay = 0.5 ** ((now - server.demanded_at) / DEMAND_HALF_LIFE_S)
        server.demand_per_s = server.demand_per_s * decay + math.log(2.0) / DEMAND_HALF_LIFE_S
        server.demanded_at = now


def _estimate_latency_factor(shared: SharedReport) -> float:
    """Return about the time that a request takes, as a multiple of that on an idle server."""
    report = shared.report
    in_flight = report.running + report.waiting + 1
    return max(1.0, report.slowness) * max(1.0, in_flight / max(1, report.slots))


def count_by_domain(domains: t.Iterable[str]) -> dict[str, int]:
    """Return how often each failure domain occurs."""
    return dict(collections.Counter(domains))
