"""Choice of the best servers for a request among those that a dispatcher uses.

Answers the load of hosts that become several times slower for about a tenth of a second, in
several failure domains. The latency estimate of each server is in ``placement``, the choice
between the failure domains in ``domain_choice``.
"""

from __future__ import annotations

import random
import typing as t

from .domain_choice import RoundTrips
from .domain_choice import choose_domain
from .domain_choice import split_by_domain
from .load import ServerLoad
from .placement import ServerEstimate
from .placement import choose_servers
from .queue_order import PlacementRequest

BestServers = tuple[ServerEstimate | None, ServerEstimate | None]


class ServerChooser:
    """Chooses the best servers for the requests of one dispatcher.

    :param failure_domain: failure domain of this node.
    :param rng: breaks ties between servers.
    :param round_trips: round trips to the failure domains.
    """

    __slots__ = ("_failure_domain", "_rng", "_round_trips")

    def __init__(
        self, *, failure_domain: str, rng: random.Random, round_trips: RoundTrips
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._round_trips = round_trips

    def uses_other_domains(self, loads: t.Iterable[ServerLoad]) -> bool:
        """Return whether servers of other failure domains are used besides own ones."""
        domains = {load.failure_domain for load in loads}
        return len(domains) > 1 and self._failure_domain in domains

    def choose(
        self,
        loads: t.Iterable[ServerLoad],
        request: PlacementRequest,
        now: float,
        *,
        average_slowness: float,
        service_time_s: float,
        get_connect_cost_s: t.Callable[[ServerLoad], float],
    ) -> BestServers:
        """Return the best server with a free slot and the best server overall.

        :param average_slowness: average slowness of the service's hosts.
        :param service_time_s: average service time of all requests, in seconds.
        :param get_connect_cost_s: returns what opening a connection to a server costs, in seconds.
        """

        def choose_among(candidates: list[ServerLoad]) -> BestServers:
            return choose_servers(
                candidates,
                now=now,
                average_slowness=average_slowness,
                service_time_s=service_time_s,
                failure_domain=self._failure_domain,
                rng=self._rng,
                get_connect_cost_s=get_connect_cost_s,
            )

        def choose_nearer(
            own: ServerEstimate | None, other: ServerEstimate | None
        ) -> ServerEstimate | None:
            return choose_domain(
                own,
                None if other is None else self._add_round_trip(other, request),
                service_time_s=request.service_time_s,
                time_to_target_s=request.target_at - now,
                price_s=request.transfer_price_s,
            )

        candidates = [load for load in loads if load.server_id not in request.excluded_server_ids]
        own, others = split_by_domain(candidates, self._failure_domain)
        if not own or not others:
            return choose_among(candidates)
        own_free, own_best = choose_among(own)
        other_free, other_best = choose_among(others)
        return choose_nearer(own_free, other_free), choose_nearer(own_best, other_best)

    def _add_round_trip(
        self, estimate: ServerEstimate, request: PlacementRequest
    ) -> ServerEstimate:
        """Add the longer network path to a server in another failure domain to its latency."""
        extra_s = self._round_trips.get_extra_s(
            estimate.load.failure_domain, own=self._failure_domain
        )
        if request.service_time_s <= 0.0:
            return estimate
        factor = estimate.latency_factor + extra_s / request.service_time_s
        return estimate._replace(latency_factor=factor)
