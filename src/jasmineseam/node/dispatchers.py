"""Dispatchers of all services, updated from the routing table and the server registry."""

from __future__ import annotations

import random
import time
import typing as t

from ..measuring.load_reports import DetailedLoadReport
from ..membership.registry import RegisteredServer
from ..membership.registry import ServerRegistry
from ..membership.request_limits import RequestLimits
from ..operations.node_settings import WarmupSettings
from ..routing.dispatch import Dispatcher
from ..routing.domain_choice import RoundTrips
from ..routing.domain_choice import TransferPrices
from ..routing.hedging import RouteLatencies
from ..routing.load import ServerLoad
from ..routing.request_shares import WARMUP_HOLD_S
from ..routing.request_shares import RequestShare
from ..routing.request_shares import ShareCandidate
from ..routing.request_shares import TokenBucket
from ..routing.request_shares import combine_shares
from ..routing.request_shares import compute_share
from ..routing.request_shares import compute_warmup_share
from ..routing.request_shares import rank_node
from ..routing.service_times import ServiceTimes
from ..routing.subsets import SubsetMember
from ..routing.subsets import choose_subset

# time for which a server outside of the subset is used
BORROW_TIME_S = 3.0
# While a smaller part of the servers in a node's failure domain is warm, the node uses servers of
# all failure domains. The load of a failure domain fits into its servers with about this reserve.
MIN_WARM_FRACTION = 0.75


class Dispatchers:
    """Holds one dispatcher for each service in the routing table.

    :param node_id: the VM of this node.
    :param failure_domain: the failure domain of this node.
    :param registry: the registered servers.
    :param request_limits: the limits that servers name.
    :param is_warmup_limited: returns whether requests to cold servers of a service are limited.
    :param on_server_replaced: called with the address of a server that has restarted.
    :param transfer_prices: prices of sending requests to other failure domains.
    """

    def __init__(
        self,
        *,
        node_id: str,
        failure_domain: str,
        registry: ServerRegistry,
        request_limits: RequestLimits,
        is_warmup_limited: t.Callable[[str], bool] = lambda service: False,
        on_server_replaced: t.Callable[[str], None] = lambda address: None,
        transfer_prices: TransferPrices | None = None,
    ) -> None:
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._registry = registry
        self._on_server_replaced = on_server_replaced
        # end of the pause of each paused server, by its id and the Unix time of its start in
        # milliseconds; kept while the server is not listed
        self._paused_until: dict[tuple[str, int], float] = {}
        self._request_limits = request_limits
        # this node's shares of the limits that servers name, by the server's id and the Unix time
        # of its start in milliseconds
        self._request_buckets: dict[tuple[str, int], TokenBucket] = {}
        self._share_candidates: list[ShareCandidate] = []
        # this node's rank for the limit of each server, among the current candidates
        self._share_ranks: dict[str, int | None] = {}
        # Returns all nodes that may send requests, including this one.
        self.list_share_candidates: t.Callable[[], list[ShareCandidate]] = lambda: [
            ShareCandidate(node_id, failure_domain)
        ]
        # Returns the nodes that may send requests to cold servers, including this one and those
        # that have failed; empty while this node may not know most of them.
        self.list_warmup_candidates: t.Callable[[], list[ShareCandidate]] = lambda: [
            ShareCandidate(node_id, failure_domain)
        ]
        self.warmup_settings = WarmupSettings()
        self._is_warmup_limited = is_warmup_limited
        self._warmup_candidates: list[ShareCandidate] = []
        self._warmup_ranks: dict[str, int | None] = {}
        self._cold_ids: set[str] = set()
        self._rng = random.Random()
        self._service_times = ServiceTimes()
        self.route_latencies = RouteLatencies()
        self.round_trips = RoundTrips()
        self.transfer_prices = transfer_prices or TransferPrices(price_s_per_mb=0.0)
        # The requests of each set of home regions have a dispatcher of their own.
        self._by_service: dict[tuple[str, frozenset[str] | None], Dispatcher] = {}
        # region of each failure domain; empty if there is only one region
        self.regions: t.Mapping[str, str] = {}
        # Called with a dispatcher when one of its requests has to wait for a server.
        self.on_queued: t.Callable[[Dispatcher], None] = lambda dispatcher: None
        # Returns whether an open connection to an address is idle.
        self.is_connected: t.Callable[[str], bool] = lambda address: True
        # Called with a dispatcher whose path to its servers is in doubt.
        self.on_path_doubt: t.Callable[[Dispatcher], None] = lambda dispatcher: None
        # Number of all nodes, and of those in this node's failure domain.
        self.node_count = 1
        self._local_node_count = 1

    def list_all(self) -> list[Dispatcher]:
        """Return all dispatchers."""
        return list(self._by_service.values())

    def get(self, service: str, regions: frozenset[str] | None = None) -> Dispatcher:
        """Return the dispatcher of a service; create it if there is none.

        :param regions: regions of the servers that it uses, ``None`` for all; without effect if
            there is only one region.
        """
        if not self.regions:
            regions = None
        dispatcher = self._by_service.get((service, regions))
        if dispatcher is None:
            dispatcher = Dispatcher(
                service=service,
                failure_domain=self._failure_domain,
                clock=time.monotonic,
                rng=self._rng,
                service_times=self._service_times,
                round_trips=self.round_trips,
                regions=regions,
            )
            dispatcher.on_queued = self.on_queued
            dispatcher.is_connected = lambda address: self.is_connected(address)
            dispatcher.path.on_doubt = lambda: self.on_path_doubt(dispatcher)
            self._by_service[service, regions] = dispatcher
            self._refresh_dispatcher(dispatcher)
        return dispatcher

    def count(self, service: str) -> int:
        """Return the number of dispatchers of a service, one for each set of home regions."""
        if not self.regions:
            return 1
        return sum(dispatcher.service == service for dispatcher in self.list_all())

    def count_queued(self, service: str) -> int:
        """Return the number of requests that wait for a server of a service."""
        return sum(
            dispatcher.count_queued()
            for dispatcher in self._by_service.values()
            if dispatcher.service == service
        )

    def has_servers(self, service: str) -> bool:
        """Return whether servers of a service are listed."""
        return bool(self._registry.list_usable(service))

    def set_node_counts(self, node_count: int, local_node_count: int) -> None:
        """Set how many nodes use the same servers.

        :param node_count: the number of all nodes.
        :param local_node_count: the number of nodes in this node's failure domain.
        """
        if (node_count, local_node_count) == (self.node_count, self._local_node_count):
            return
        self.node_count = node_count
        self._local_node_count = local_node_count
        for dispatcher in self._by_service.values():
            self._refresh_dispatcher(dispatcher)

    def follow_share_candidates(self) -> None:
        """Apply a change of the nodes that share the limits, and the end of warm-ups."""
        if not self._request_buckets and not self._cold_ids:
            return
        cold_ids = {limit.server_id for limit in self._request_limits.list_warmups()}
        if (
            cold_ids != self._cold_ids
            or self.list_share_candidates() != self._share_candidates
            or (cold_ids and self.list_warmup_candidates() != self._warmup_candidates)
        ):
            self.apply_request_limits()

    def apply_request_limits(self) -> None:
        """Apply changed limits that servers name."""
        if not self._update_request_buckets():
            return
        for dispatcher in self._by_service.values():
            self._refresh_dispatcher(dispatcher)
            dispatcher.place_queued_requests()

    def get_request_shares(self) -> dict[str, float]:
        """Return this node's requests per second for each server that names a limit."""
        return {
            server_id: bucket.share.requests_per_s
            for (server_id, _), bucket in self._request_buckets.items()
        }

    def _update_request_buckets(self) -> bool:
        """Compute this node's shares of the limits; a server may be listed after its limit.

        :returns: whether this node may use other servers than before.
        """
        now = time.monotonic()
        shared_before = self._get_shared()
        candidates = self.list_share_candidates()
        if candidates != self._share_candidates:
            self._share_candidates = candidates
            self._share_ranks.clear()
        buckets = {}
        shares: dict[tuple[str, int], RequestShare] = {}
        ranks = {}
        for limit in self._request_limits.list_limits():
            registered = self._registry.get_server(limit.server_id)
            if limit.requests_per_s is None or registered is None:
                continue
            rank = ranks[limit.server_id] = self._get_share_rank(registered)
            share = compute_share(limit.requests_per_s, rank=rank, node_count=len(candidates))
            shares[limit.server_id, limit.started_ms] = share
        named = set(shares)
        warmup_shares = self._compute_warmup_shares()
        for key, share in warmup_shares.items():
            shares[key] = combine_shares(shares[key], share) if key in shares else share
        for key, share in shares.items():
            hold_s = WARMUP_HOLD_S if key in warmup_shares else 0.0
            bucket = self._request_buckets.get(key)
            if bucket is None:
                bucket = TokenBucket(share=share, now=now, hold_s=hold_s)
            else:
                bucket.set_share(share, now, hold_s=hold_s)
            bucket.limits_probes = key in named
            buckets[key] = bucket
        self._request_buckets = buckets
        self._share_ranks = ranks
        return self._get_shared() != shared_before

    def _compute_warmup_shares(self) -> dict[tuple[str, int], RequestShare]:
        """Return this node's shares of the limits of cold servers."""
        warmups = self._request_limits.list_warmups()
        self._cold_ids = {limit.server_id for limit in warmups}
        if not warmups:
            return {}
        candidates = self.list_warmup_candidates()
        if candidates != self._warmup_candidates:
            self._warmup_candidates = candidates
            self._warmup_ranks.clear()
        shares = {}
        ranks = {}
        for limit in warmups:
            registered = self._registry.get_server(limit.server_id)
            if registered is None:
                continue
            server = registered.server
            if server.server_id in self._warmup_ranks:
                rank = self._warmup_ranks[server.server_id]
            else:
                rank = rank_node(
                    self._node_id,
                    server_id=server.server_id,
                    failure_domain=server.failure_domain,
                    nodes=candidates,
                )
            ranks[server.server_id] = rank
            settings = self.warmup_settings
            shares[server.server_id, registered.listing.started_ms] = compute_warmup_share(
                limit.requests_per_s,
                bound=settings.overage * limit.requests_per_s + settings.slack,
                rank=rank,
                node_count=len(candidates),
            )
        self._warmup_ranks = ranks
        return shares

    def _get_shared(self) -> dict[tuple[str, int], bool]:
        """Return whether this node has a share, for each server that names a limit."""
        return {
            key: bucket.share.requests_per_s > 0.0 for key, bucket in self._request_buckets.items()
        }

    def _get_share_rank(self, registered: RegisteredServer) -> int | None:
        """Return this node's rank for the limit of a server."""
        server = registered.server
        if server.server_id in self._share_ranks:
            return self._share_ranks[server.server_id]
        return rank_node(
            self._node_id,
            server_id=server.server_id,
            failure_domain=server.failure_domain,
            nodes=self._share_candidates,
        )

    def borrow_servers(self, dispatcher: Dispatcher, count: int) -> list[ServerLoad]:
        """Add servers outside of this node's subset for a while; return them.

        Servers of this node's failure domain come first. The others are added only when all of
        these are in use. Servers with an open connection come first, as no other is opened then.

        :param count: the maximum number of servers to add.
        """
        candidates = [
            registered
            for registered in self._list_usable(dispatcher)
            if registered.server.server_id not in dispatcher.loads
            and self._get_request_bucket(registered) is None
        ]
        local = [
            registered
            for registered in candidates
            if registered.server.failure_domain == self._failure_domain
        ]
        candidates = local or candidates
        now = time.monotonic()
        borrowed = []
        self._rng.shuffle(candidates)
        candidates.sort(
            key=lambda registered: self.is_connected(registered.server.address), reverse=True
        )
        for registered in candidates[:count]:
            load = self._create_load(registered, now)
            load.borrowed_until = now + BORROW_TIME_S
            dispatcher.loads[load.server_id] = load
            borrowed.append(load)
        return borrowed

    def expire_borrowed(self) -> None:
        """Remove the borrowed servers that this node no longer uses."""
        now = time.monotonic()
        for dispatcher in self._by_service.values():
            for server_id, load in list(dispatcher.loads.items()):
                if load.borrowed_until is not None and not _is_borrowed(load, now):
                    del dispatcher.loads[server_id]

    def pause_server(self, load: ServerLoad, until: float) -> None:
        """Send a server no requests and no probes until a time.

        :param until: monotonic time, in seconds; a later end that is already recorded stays.
        """
        now = time.monotonic()
        self._paused_until = {
            start: paused_until
            for start, paused_until in self._paused_until.items()
            if paused_until > now
        }
        load.paused_until = max(load.paused_until, until)
        self._paused_until[load.server_id, load.started_ms] = load.paused_until

    def record_report(
        self,
        dispatcher: Dispatcher,
        load: ServerLoad,
        report: DetailedLoadReport,
        observed_at: float,
    ) -> bool:
        """Record a load report unless a newer one is recorded; return whether it was recorded.

        :param observed_at: monotonic time at which the report was received, in seconds.
        """
        if not load.record_report(report, observed_at):
            return False
        dispatcher.average_slowness.record_slowness(report.slowness)
        dispatcher.report_value.record_report(
            slowness=report.slowness, is_full=report.running + report.waiting >= load.slots
        )
        return True

    def retain_routes(self, route_names: set[str]) -> None:
        """Forget what was learned of routes that are not in the routing table any more."""
        self._service_times.retain_routes(route_names)
        self.route_latencies.retain_routes(route_names)
        self.transfer_prices.retain_routes(route_names)

    def place_queued_requests(self) -> None:
        """Place or refuse the queued requests after a change of the servers in use."""
        for dispatcher in self.list_all():
            dispatcher.place_queued_requests()

    def refresh_servers(self, services: t.Iterable[str]) -> None:
        """Update the dispatchers from the server registry.

        :param services: the services in the routing table.
        """
        self._update_request_buckets()
        for service in services:
            self._refresh_dispatcher(self.get(service))
        for dispatcher in self.list_all():
            if dispatcher.regions is not None:
                self._refresh_dispatcher(dispatcher)

    def _list_usable(self, dispatcher: Dispatcher) -> list[RegisteredServer]:
        """Return the usable servers in the regions of a dispatcher."""
        usable = self._registry.list_usable(dispatcher.service)
        if dispatcher.regions is None:
            return usable
        return [
            registered
            for registered in usable
            if self.regions.get(registered.server.failure_domain) in dispatcher.regions
        ]

    def _find_load(
        self, dispatcher: Dispatcher, registered: RegisteredServer
    ) -> ServerLoad | None:
        """Return the load state of a server that another dispatcher of the service uses.

        Requests of all dispatchers count as load, and probes within one budget.
        """
        for other in self._by_service.values():
            if other is dispatcher or other.service != dispatcher.service:
                continue
            load = other.loads.get(registered.server.server_id)
            if (
                load is not None
                and load.borrowed_until is None
                and load.address == registered.server.address
                and load.started_ms == registered.listing.started_ms
            ):
                return load
        return None

    def _refresh_dispatcher(self, dispatcher: Dispatcher) -> None:
        now = time.monotonic()
        loads = {}
        usable = [
            (registered, self._get_request_bucket(registered))
            for registered in self._list_usable(dispatcher)
        ]
        subset = self._choose_subset(
            dispatcher, [registered for registered, bucket in usable if bucket is None]
        )
        for registered, bucket in usable:
            server = registered.server
            load = dispatcher.loads.get(server.server_id)
            if bucket is not None and not bucket.share.requests_per_s:
                continue
            # This node uses each server of whose limit it has a share.
            in_subset = bucket is not None or server.server_id in subset
            if not in_subset and (load is None or not _is_borrowed(load, now)):
                continue
            # Load state is created for a new server, and replaced if the address or the start time
            # of the server has changed.
            new_or_moved = load is None or load.address != server.address
            started_ms = registered.listing.started_ms
            if not new_or_moved and load.started_ms != started_ms:
                self._on_server_replaced(server.address)
            if new_or_moved or load.started_ms != started_ms:
                borrowed_until = None if load is None else load.borrowed_until
                shared = self._find_load(dispatcher, registered) if in_subset else None
                load = shared or self._create_load(registered, now)
                load.borrowed_until = borrowed_until
            if in_subset:
                load.borrowed_until = None
            load.request_bucket = bucket
            load.warmup_ends_at = registered.warmup_ends_at
            loads[server.server_id] = load
        requires_health = self._is_warmup_limited(dispatcher.service)
        for load in loads.values():
            load.requires_health = requires_health
        dispatcher.loads = loads
        dispatcher.path.server_count = len(loads)

    def _choose_subset(self, dispatcher: Dispatcher, usable: list[RegisteredServer]) -> set[str]:
        """Choose the servers that this node uses."""
        members = [
            SubsetMember(registered.server.server_id, registered.server.failure_domain)
            for registered in usable
        ]
        subset = choose_subset(
            members,
            node_id=self._node_id,
            failure_domain=self._failure_domain,
            node_count=self.node_count,
            local_node_count=self._local_node_count,
            use_local=self._has_enough_warm_servers(dispatcher.service),
        )
        dispatcher.node_count = max(1.0, self.node_count * len(subset) / max(1, len(usable)))
        return set(subset)

    def _has_enough_warm_servers(self, service: str) -> bool:
        """Return whether the servers in this node's failure domain can carry its load."""
        if not self._cold_ids:
            return True
        local_ids = [
            registered.server.server_id
            for registered in self._registry.list_usable(service)
            if registered.server.failure_domain == self._failure_domain
        ]
        warm_count = sum(server_id not in self._cold_ids for server_id in local_ids)
        return warm_count >= MIN_WARM_FRACTION * len(local_ids)

    def _get_request_bucket(self, registered: RegisteredServer) -> TokenBucket | None:
        """Return this node's share of the limit that a server names, ``None`` without a limit."""
        if not self._request_buckets:
            return None
        key = (registered.server.server_id, registered.listing.started_ms)
        return self._request_buckets.get(key)

    def _create_load(self, registered: RegisteredServer, now: float) -> ServerLoad:
        server = registered.server
        started_ms = registered.listing.started_ms
        load = ServerLoad(
            server_id=server.server_id,
            address=server.address,
            failure_domain=server.failure_domain,
            slots=registered.listing.slots,
            now=now,
        )
        load.started_ms = started_ms
        load.paused_until = self._paused_until.get((server.server_id, started_ms), 0.0)
        load.warmup_ends_at = registered.warmup_ends_at
        return load


def _is_borrowed(load: ServerLoad, now: float) -> bool:
    if load.borrowed_until is None:
        return False
    return now < load.borrowed_until or bool(load.request_start_times)
