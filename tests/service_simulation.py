"""Simulation of nodes and servers of several services, with idle timeouts and slow hosts.

Extends the simulation of a fleet by what connections depend on: each node has the product's pool,
servers close idle connections, opening one takes a round trip and a slot for a while, and the
network is slower between failure domains.
"""

import asyncio
import collections

from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import AttemptNotRunError
from jasmineseam.routing.routes import Route
from jasmineseam.routing.routes import RoutingTable
from jasmineseam.routing.routes import ServiceInfo
from jasmineseam.routing.routes import WeightedService
from jasmineseam.transport.connection_pool import ConnectionPool

from . import node_simulation
from .node_simulation import DOMAINS
from .node_simulation import HEALTH_PATH
from .node_simulation import HOST
from .node_simulation import get_time

# part of a slot's time that a new connection takes at a server
CONNECT_WORK_S = 0.001


class ServiceLoad:
    """One service and the requests for it.

    :param slow_share: part of the requests that take ``slow_factor`` times as long.
    :param spread: half width of the distribution of service times, as a fraction of the mean.
    """

    def __init__(
        self,
        *,
        name,
        servers,
        requests_per_s,
        work_s,
        target_s,
        slots=3,
        slow_share=0.0,
        slow_factor=7.0,
        spread=0.2,
        once_share=0.0,
    ):
        self.name = name
        self.servers = servers
        self.requests_per_s = requests_per_s
        self.work_s = work_s
        self.target_s = target_s
        self.slots = slots
        self.slow_share = slow_share
        self.slow_factor = slow_factor
        self.spread = spread
        self.once_share = once_share


class LoadedServer(node_simulation.SimulatedServer):
    """A server whose host becomes slow at times, and that closes idle connections."""

    def __init__(self, *, load, **options):
        super().__init__(work_s=load.work_s, slots=load.slots, service=load.name, **options)
        self.load = load
        self.slowness = 1.0
        self.connection_count = 0

    async def spend(self, work_s):
        """Occupy a slot."""
        async with self._free_slots:
            await asyncio.sleep(work_s)

    async def _work(self, path, request_id, exchange):
        load = self.load
        async with self._free_slots:
            self.running += 1
            self._simulation.run_counts[request_id] += 1
            rng = self._simulation.rng
            work_s = self.work_s * rng.uniform(1.0 - load.spread, 1.0 + load.spread)
            if rng.random() < load.slow_share:
                work_s *= load.slow_factor
            try:
                await asyncio.sleep(work_s * self.slowness)
            finally:
                self.running = max(0, self.running - 1)
        if not exchange.done():
            exchange.set_result(None)

    def build_notices(self):
        """Return the headers that all responses have."""
        load = f"{self.running},0,{self.slots},{100 * self.slowness:.0f}"
        return {"Jasmineseam-Instance-Load": load}


class _Connection(node_simulation._Connection):
    """A simulated connection with the interface that the product's pool uses."""

    def __init__(self, *, node, server):
        super().__init__(node=node, server=server)
        simulation = node.simulation
        self.last_used_at = get_time()
        self.idle_limit_s = simulation.idle_limit_s
        server.connection_count += 1

    @property
    def is_reusable(self):
        idle_s = get_time() - self.last_used_at
        return self.is_usable() and idle_s < self._node.simulation.server_idle_s

    def end_exchange(self):
        """Expect no response until the next exchange."""

    def is_write_buffer_empty(self):
        return True

    def close(self):
        if not self.broken.done():
            self.server.connection_count -= 1
        super().close()

    async def _travel(self):
        await self._node.simulation.travel_to(self._node, self.server)


class LoadedPool(ConnectionPool):
    """The product's pool of connections, to simulated servers."""

    def __init__(self, node):
        super().__init__()
        self._node = node

    async def _open(self, address, timeout_s):
        simulation = self._node.simulation
        server = simulation.servers_by_address[address]
        await simulation.travel_to(self._node, server)
        await simulation.travel_to(self._node, server)
        if server.down:
            raise AttemptNotRunError("connect") from ConnectionRefusedError()
        simulation.spawn(server.spend(CONNECT_WORK_S))
        return _Connection(node=self._node, server=server)


class ServiceSimulation(node_simulation.Simulation):
    """Nodes that send requests of several services to their servers.

    :param loads: the services.
    :param local_s, remote_s: one-way latency within a failure domain and to another one.
    :param server_idle_s: idle time after which servers close connections.
    :param idle_limit_s: idle time after which nodes close connections.
    :param noise: part of the time in which a host is slow, and factor by which it is.
    """

    def __init__(
        self,
        *,
        loads,
        node_count,
        local_s=0.0003,
        remote_s=0.0034,
        server_idle_s=5.0,
        idle_limit_s=4.0,
        noise=(0.0, 5.0),
        probes_per_s=42.0,
        seed=1,
        **options,
    ):
        super().__init__(node_count=0, server_count=0, seed=seed, **options)
        self.loads = loads
        self.local_s = local_s
        self.remote_s = remote_s
        self.server_idle_s = server_idle_s
        self.idle_limit_s = idle_limit_s
        self.noise = noise
        self.probes_per_s = probes_per_s
        self.table = build_service_table(loads)
        for load in loads:
            for _ in range(load.servers):
                number = len(self.servers)
                self.servers.append(
                    LoadedServer(
                        name=f"s{number}",
                        simulation=self,
                        domain=DOMAINS[number % len(DOMAINS)],
                        load=load,
                    )
                )
        self.servers_by_address = {server.address: server for server in self.servers}
        self._listings = {server.server_id: server.build_listing() for server in self.servers}
        # latency of each request that was served, by service
        self.latencies = collections.defaultdict(list)
        self.statuses = collections.Counter()
        for number in range(node_count):
            self.start_node(f"n{number}")

    def start_node(self, name, *, knows_state=True):
        """Start a node with the services' routing table."""
        simulated = super().start_node(name, knows_state=False)
        node = simulated.node
        node.gateway.attempts._server_client.connections = LoadedPool(simulated)
        node.prober.max_probes_per_s = self.probes_per_s
        if knows_state:
            node._apply_routing_table(self.table, "store")
            node.registry.replace_listings(list(self._listings.values()), self._position)
            node._publish_own_state()
        return simulated

    async def travel_to(self, node, server):
        """Take the time of one way between a node and a server."""
        one_way_s = self.local_s if node.domain == server.domain else self.remote_s
        await asyncio.sleep(one_way_s * self.rng.uniform(0.95, 1.1))

    async def vary_slowness(self, server):
        """Let the host of a server be slow for a part of the time."""
        share, factor = self.noise
        while share > 0.0:
            server.slowness = factor if self.rng.random() < share else 1.0
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * 0.15)

    async def send_service_load(self, duration_s, factor=1.0):
        """Send the requests of all services; return when all have ended."""
        noises = [self.spawn(self.vary_slowness(server)) for server in self.servers]
        await asyncio.gather(
            *(self._send_requests(load, duration_s, factor) for load in self.loads)
        )
        for task in noises:
            task.cancel()

    async def _send_requests(self, load, duration_s, factor):
        ends_at = get_time() + duration_s
        requests = []
        while get_time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(factor * load.requests_per_s))
            kind = "once" if self.rng.random() < load.once_share else "safe"
            requests.append(self.spawn(self._send_service_request(load, kind)))
        await asyncio.gather(*requests)

    async def _send_service_request(self, load, kind):
        started_at = get_time()
        status, _ = await self.send_request(
            kind=f"{load.name}/{kind}", deadline_s=4 * load.target_s
        )
        self.statuses[status] += 1
        if status == 200:
            self.latencies[load.name].append(get_time() - started_at)

    def sum_opened(self):
        """Return the number of connections that the nodes have opened."""
        return sum(node.node.gateway.connections.opened_count for node in self.nodes.values())


def build_service_table(loads):
    """Return the routing table: of each service a route of each kind."""
    routes = [
        Route(
            name=f"{load.name}-{kind}",
            host=HOST,
            path_prefix=f"/{load.name}/{kind}/",
            idempotent=kind == "safe",
            services=[WeightedService(service=load.name)],
            max_attempts=3,
            target_s=load.target_s,
            timeout_s=4 * load.target_s,
        )
        for load in loads
        for kind in ("safe", "once")
    ]
    services = [ServiceInfo(name=load.name, health_path=HEALTH_PATH) for load in loads]
    return RoutingTable(version=1, routes=routes, services=services)


def run_service_simulation(scenario, *, seed=1, **options):
    """Run a scenario with a simulation whose nodes have joined; return its result."""

    async def run():
        with node_simulation._patch_time(seed):
            simulation = ServiceSimulation(seed=seed, **options)
            try:
                await simulation.wait_until_joined()
                return await scenario(simulation)
            finally:
                await simulation.close()

    return run_in_virtual_time(run)


def compute_quantile(values, quantile):
    """Return a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


# Deployment B: its services, with the requests for the three larger ones by their servers.
DEPLOYMENT_B = (
    ServiceLoad(
        name="a", servers=36, requests_per_s=133.0, work_s=0.11, target_s=0.35, once_share=0.3
    ),
    ServiceLoad(
        name="b", servers=25, requests_per_s=91.0, work_s=0.11, target_s=0.35, once_share=0.3
    ),
    ServiceLoad(
        name="c", servers=34, requests_per_s=125.0, work_s=0.11, target_s=0.35, once_share=0.3
    ),
    ServiceLoad(
        name="d", servers=5, requests_per_s=58.0, work_s=0.047, target_s=0.179, slow_share=0.03
    ),
)
