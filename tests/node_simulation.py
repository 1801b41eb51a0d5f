"""Simulation of a fleet of real nodes in virtual time, with simulated servers and network.

Each node is the product's :class:`~jasmineseam.node.daemon.Node` without its sockets: requests
enter through the gateway's handler, datagrams and requests between nodes pass through a simulated
network, and connections lead to simulated servers. Servers record what they receive, so tests
check promises from the servers' side.
"""

import asyncio
import collections
import contextlib
import itertools
import random
import time
import weakref
from unittest import mock

from multidict import CIMultiDict

from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import AttemptNotRunError
from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.exceptions import PeerReplyLostError
from jasmineseam.membership.registry import ServerChange
from jasmineseam.membership.registry import ServerListing
from jasmineseam.membership.servers import Server
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.node.daemon import Node
from jasmineseam.node.load_prober import LoadProber
from jasmineseam.operations.node_settings import NodeListeners
from jasmineseam.operations.node_settings import NodeOptions
from jasmineseam.operations.node_settings import NodeSettings
from jasmineseam.operations.node_settings import NodeVm
from jasmineseam.operations.node_settings import RetryBudgetSettings
from jasmineseam.operations.node_settings import WarmupSettings
from jasmineseam.operations.output import LineOutput
from jasmineseam.operations.settings import MetricSettings
from jasmineseam.peers.messages import ServersNotice
from jasmineseam.peers.messages import decode_message
from jasmineseam.peers.messages import encode_message
from jasmineseam.platform.headers import HEADER_CODEC
from jasmineseam.platform.program import ENDPOINT_CONFIG
from jasmineseam.routing.routes import Route
from jasmineseam.routing.routes import RoutingTable
from jasmineseam.routing.routes import ServiceInfo
from jasmineseam.routing.routes import WeightedService
from jasmineseam.transport.server_connection import IncomingResponse

HOST = "fit.example"
SERVICE = "fit"
OTHER_SERVICE = "cut"
HEALTH_PATH = "/healthz"
DOMAINS = ("d1", "d2", "d3")
CONTACT_COUNT = 3
MAINTENANCE_INTERVAL_S = 0.5
RETRY_SHARE = 0.2
NO_WARMUP = WarmupSettings()
# time from a crash of a server to its next start, and to the removal of its old listing
RESTART_S = 2.0
LISTING_LAPSE_S = 3.0
OPTIONS = NodeOptions(metrics=MetricSettings(exporter="none"), fatal_invariants=True)


class Arrival:
    """One request that has reached a server.

    :param told_at: when the sending node had first passed on a response that names the server's
        limit, ``None`` if it had not.
    :param path: path of the request.
    """

    __slots__ = ("at", "node", "path", "told_at")

    def __init__(self, *, at, node, path, told_at):
        self.at = at
        self.node = node
        self.path = path
        self.told_at = told_at


class SimulatedServer:
    """A server with slots that records its requests, may name a limit and may crash.

    :param name: the server's id in its first start; each later start has a new one.
    :param service: the service that the server belongs to.
    :param work_s: mean processing time of a request, in seconds.
    """

    def __init__(self, *, name, simulation, domain, work_s, slots=4, service=SERVICE):
        self.name = name
        self.service = service
        self.server_id = name
        self.domain = domain
        self.slots = slots
        self.work_s = work_s
        self.limit_per_s = None
        # (time, limit) of each change
        self.limit_changes = []
        self.arrivals = []
        # time of each crash and path of the request that caused it, empty for none
        self.crashes = []
        self.down = False
        self.running = 0
        self._starts = 1
        self.cold_until = float("-inf")
        self._lists_warmup = False
        # [start, end, time of the first health response that names it] of each time it is cold
        self.cold_periods = []
        self._simulation = simulation
        self._free_slots = asyncio.Semaphore(slots)
        self._exchanges = set()
        self._told_at = {}

    @property
    def address(self):
        """The address, which stays the same in all starts."""
        return f"10.9.0.1:{1000 + int(self.name[1:])}"

    def name_limit(self, limit_per_s):
        """Name a limit in all responses from now on, ``None`` for no limit."""
        if self.limit_per_s is None:
            self._told_at.clear()
        self.limit_per_s = limit_per_s
        self.limit_changes.append((get_time(), limit_per_s))

    def turn_cold(self, warmup_s):
        """Be cold for a time from now on; health responses name it."""
        self.cold_until = get_time() + warmup_s
        self.cold_periods.append([get_time(), self.cold_until, None])

    def restart_cold(self, warmup_s, *, down_s=1.5, listed_after_s=0.3, lists_warmup=False):
        """Break all connections, and start again after a while under the same id.

        :param lists_warmup: whether the listing names the warm-up, as health responses do.
        """
        self.down = True
        self._lists_warmup = lists_warmup
        for exchange in list(self._exchanges):
            if not exchange.done():
                exchange.set_exception(AttemptOutcomeUnknownError("no-response"))

        async def restart():
            await asyncio.sleep(down_s)
            self._starts += 1
            self._free_slots = asyncio.Semaphore(self.slots)
            self.running = 0
            self.down = False
            self.turn_cold(warmup_s)
            await asyncio.sleep(listed_after_s)
            listed = ServerChange(server_id=self.server_id, listing=self.build_listing())
            self._simulation.publish_servers([listed])

        self._simulation.spawn(restart())

    @property
    def start_number(self):
        """The number of starts so far."""
        return self._starts

    def build_listing(self):
        """Return the listing of the current start."""
        server = Server(
            server_id=self.server_id,
            service=self.service,
            address=self.address,
            failure_domain=self.domain,
            leaving=False,
        )
        return ServerListing(
            server=server,
            slots=self.slots,
            warmup_s=max(0.0, self.cold_until - get_time()) if self._lists_warmup else 0.0,
            started_ms=self._starts,
            sequence=1,
        )

    def crash(self, path=""):
        """Break all connections, and start again after a while under a new id."""
        if self.down:
            return
        self.down = True
        self.crashes.append((get_time(), path))
        for exchange in list(self._exchanges):
            if not exchange.done():
                exchange.set_exception(AttemptOutcomeUnknownError("no-response"))
        self._simulation.spawn(self._restart())

    async def _restart(self):
        old_id = self.server_id
        await asyncio.sleep(RESTART_S)
        self._starts += 1
        self.server_id = f"{self.name}.{self._starts}"
        self._free_slots = asyncio.Semaphore(self.slots)
        self.running = 0
        self.down = False
        listed = ServerChange(server_id=self.server_id, listing=self.build_listing())
        self._simulation.publish_servers([listed])
        await asyncio.sleep(LISTING_LAPSE_S - RESTART_S)
        self._simulation.publish_servers([ServerChange(server_id=old_id)])

    def record_arrival(self, node, path):
        """Record a request that has arrived."""
        told_at = self._told_at.get(node.start_id)
        self.arrivals.append(Arrival(at=get_time(), node=node, path=path, told_at=told_at))

    async def run(self, path, headers):
        """Run a request; return status and headers of the response."""
        expected_id = headers.get("Jasmineseam-Expect-Instance", self.server_id)
        if expected_id != self.server_id:
            return 421, {}
        exchange = asyncio.get_running_loop().create_future()
        self._exchanges.add(exchange)
        request_id = headers["Jasmineseam-Request-Id"]
        work = asyncio.create_task(self._work(path, request_id, exchange))
        try:
            await exchange
        finally:
            self._exchanges.discard(exchange)
            work.cancel()
        response_headers = {
            "Jasmineseam-Request-Id": request_id,
            "Jasmineseam-Response-Signature": "1.2.3",
        }
        return 200, response_headers

    async def _work(self, path, request_id, exchange):
        free_slots = self._free_slots
        async with free_slots:
            self.running += 1
            self._simulation.run_counts[request_id] += 1
            try:
                work_s = self.work_s * self._simulation.rng.uniform(0.5, 1.5)
                if self._simulation.crashes_on(path):
                    await asyncio.sleep(0.5 * work_s)
                    self.crash(path)
                    return
                await asyncio.sleep(work_s)
            finally:
                self.running = max(0, self.running - 1)
        if not exchange.done():
            exchange.set_result(None)

    def build_notices(self):
        """Return the headers that all responses have."""
        headers = {"Jasmineseam-Instance-Load": f"{self.running},0,{self.slots},100"}
        if self.limit_per_s is not None:
            headers["Server-Limit"] = f"{self.limit_per_s:g}"
        return headers

    def build_warmup_notice(self):
        """Return the header of health responses that names the time for which it stays cold."""
        left_s = self.cold_until - get_time()
        if left_s <= 0.0:
            return {}
        if self.cold_periods[-1][2] is None:
            self.cold_periods[-1][2] = get_time()
        return {"Jasmineseam-Warmup-Ms": f"{1000 * left_s:.0f}"}

    def record_told(self, node):
        """Record that a node passes on a response that names the limit."""
        if self.limit_per_s is not None:
            self._told_at.setdefault(node.start_id, get_time())


class PathCut:
    """A cut between some nodes and the servers of some services.

    :param names: names of the nodes that are cut off.
    :param services: the services out of reach.
    :param connecting: what new connections do: ``hang`` or ``reset``.
    :param established: what open connections do: ``break``, ``hang`` until the cut ends, or
        ``work``.
    """

    def __init__(self, *, names, services, connecting, established):
        self.names = names
        self.services = services
        self.connecting = connecting
        self.established = established
        self.ended = asyncio.Event()

    def applies(self, node_name, server):
        """Return whether the cut lies between a node and a server."""
        return (
            not self.ended.is_set() and node_name in self.names and server.service in self.services
        )


class _Connection:
    """A connection of one node to one server."""

    def __init__(self, *, node, server):
        self._node = node
        self.server = server
        self._start_id = (server.server_id, server.start_number)
        self._request = None
        self.broken = asyncio.get_running_loop().create_future()
        self.reused = False
        self.probe_count = 0

    def is_usable(self):
        """Return whether the connection is open, as far as the node knows."""
        return not self.broken.done() and self._is_open_at_server()

    def _is_open_at_server(self):
        server = self.server
        return not server.down and (server.server_id, server.start_number) == self._start_id

    async def send(self, method, path, headers, body):
        if not self.is_usable():
            raise AttemptNotRunError("closed-before-sending")
        await self._run_until_broken(self._travel())
        self._request = (path, dict(headers))
        if path != HEALTH_PATH:
            self.server.record_arrival(self._node, path)

    async def receive_head(self, decode):
        path, request_headers = self._request
        if path == HEALTH_PATH:
            if not self._is_open_at_server():
                raise AttemptOutcomeUnknownError("no-response")
            status, headers = 200, {"Jasmineseam-Instance-Id": self.server.server_id}
            headers.update(self.server.build_warmup_notice())
        else:
            status, headers = await self._run_until_broken(self.server.run(path, request_headers))
        headers.update(self.server.build_notices())
        names_limit = path != HEALTH_PATH and status == 200
        await self._run_until_broken(self._travel())
        if names_limit:
            self.server.record_told(self._node)
        head = decode(status, CIMultiDict(headers))
        return IncomingResponse(status, head, "", CIMultiDict(headers), None)

    async def read_body(self, response, limit, memory):
        return b"ok", True

    def close(self):
        if not self.broken.done():
            self.broken.set_result(None)

    async def _travel(self):
        simulation = self._node.simulation
        while (cut := simulation.find_path_cut(self._node.name, self.server)) is not None:
            if cut.established == "work":
                break
            await cut.ended.wait()
        await simulation.travel()

    async def _run_until_broken(self, coroutine):
        """Run a coroutine; if the connection breaks first, a server goes on with its request."""
        task = self._node.simulation.spawn(coroutine)
        try:
            await asyncio.wait({task, self.broken}, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if not task.done():
            raise AttemptOutcomeUnknownError("no-response")
        return task.result()


class _ConnectionPool:
    """Opens connections of one node to simulated servers, and keeps idle ones."""

    CONNECT_TIMEOUT_S = 0.3
    MAX_IDLE = 16

    def __init__(self, node):
        self._node = node
        self._connections = weakref.WeakSet()
        self._idle = collections.defaultdict(list)
        self.opened_count = 0
        self.failed_count = 0
        # times at which connections were opened
        self.opened_at = []

    async def acquire(self, address, max_idle_s=float("inf"), *, purpose=""):
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                connection.reused = True
                return connection
        return await self._open(address, self.CONNECT_TIMEOUT_S)

    async def check(self, address, timeout_s):
        try:
            connection = await self._open(address, timeout_s)
        except AttemptNotRunError:
            return False
        self.release(address, connection)
        return True

    async def is_refused(self, address):
        if any(connection.is_usable() for connection in self._idle[address]):
            return False
        try:
            await self._open(address, self.CONNECT_TIMEOUT_S)
        except AttemptNotRunError as error:
            return isinstance(error.__cause__, ConnectionError)
        return False

    def has_idle(self, address):
        return any(connection.is_usable() for connection in self._idle[address])

    def has_usable(self, address, max_idle_s=float("inf")):
        return self.has_idle(address)

    def release(self, address, connection):
        idle = self._idle[address]
        if len(idle) < self.MAX_IDLE:
            idle.append(connection)

    def discard(self, address):
        self._idle.pop(address, None)

    def expire_connections(self, addresses):
        pass

    def close(self):
        pass

    def break_connections(self, cut):
        """Break all connections through a cut."""
        for connection in list(self._connections):
            if cut.applies(self._node.name, connection.server):
                connection.close()

    async def _open(self, address, timeout_s):
        simulation = self._node.simulation
        server = simulation.servers_by_address[address]
        cut = simulation.find_path_cut(self._node.name, server)
        if cut is not None and cut.connecting == "hang":
            await asyncio.sleep(timeout_s)
            raise AttemptNotRunError("connect")
        await simulation.travel()
        if server.down or cut is not None:
            raise AttemptNotRunError("connect") from ConnectionRefusedError()
        connection = _Connection(node=self._node, server=server)
        self._connections.add(connection)
        self.opened_count += 1
        self.opened_at.append(get_time())
        return connection


class _Transport:
    """Sends a node's datagrams through the simulated network."""

    def __init__(self, node):
        self._node = node

    def sendto(self, data, address):
        self._node.simulation.send_datagram(self._node, f"{address[0]}:{address[1]}", data)

    def is_closing(self):
        return False

    def close(self):
        pass


class _PeerClient:
    """Sends a node's requests to another node through the simulated network."""

    def __init__(self, node, address):
        self._node = node
        self._address = address

    async def request(self, message, timeout_s, *, send_timeout_s=0.5):
        simulation = self._node.simulation
        peer = simulation.find_node(self._address)
        if peer is None or simulation.is_cut(self._node.name, peer.name):
            await asyncio.sleep(timeout_s)
            raise PeerReplyLostError(f"{self._address}: no reply")
        await asyncio.sleep(simulation.delay_s)
        reply = await peer.node.handle_message(decode_message(encode_message(message)))
        await asyncio.sleep(simulation.delay_s)
        return decode_message(encode_message(reply))


class _PeerClients:
    def __init__(self, node):
        self._node = node

    def get(self, address):
        return _PeerClient(self._node, address)

    def close_idle(self, min_idle_s):
        pass

    def close(self):
        pass


class _Listeners:
    def enforce_limits(self, limits):
        pass


class _CallerConnection:
    def begin_request(self):
        return True

    def end_request(self):
        pass

    def close_after_pending(self):
        pass

    def get_arrived_at(self, request):
        return time.monotonic()


class _Request:
    """What the gateway reads of a caller's request."""

    body_exists = False
    raw_headers = ()

    def __init__(self, *, path, method, deadline_ms, request_id, remote):
        self.method = method
        self.raw_path = path
        self.remote = remote
        self.protocol = _CallerConnection()
        self.headers = CIMultiDict(
            {
                "Host": HOST,
                "Jasmineseam-Request-Id": request_id,
                "Jasmineseam-Deadline-Ms": str(int(deadline_ms)),
            }
        )


class SimulatedNode:
    """A node; ``kill`` and a new object of the same name simulate a restart."""

    _start_ids = itertools.count(1)

    def __init__(self, *, name, simulation):
        self.name = name
        self.simulation = simulation
        self.start_id = next(self._start_ids)
        number = int(name[1:])
        host = f"10.0.{number // 250}.{number % 250 + 1}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        settings = NodeSettings(
            vm=NodeVm(id=name, address=host, failure_domain=self.domain),
            listeners=NodeListeners(
                entry=f"{host}:1",
                readiness=f"{host}:2",
                locator=f"{host}:3",
                peers=f"{host}:4",
                notices=f"{host}:5",
            ),
            store_address="",
            seed_peers=[f"10.0.0.{contact + 1}:5" for contact in range(CONTACT_COUNT)],
            retries=RetryBudgetSettings(
                share=RETRY_SHARE, allowance=simulation.retry_allowance, window_s=10.0
            ),
            probes_per_s=60.0,
            grace_s=6.0,
            longest_lifetime_s=5.0,
            warmup=simulation.warmup,
        )
        node = Node(
            settings=settings,
            options=OPTIONS,
            open_store=lambda: (None, None),
            header_codec=HEADER_CODEC,
            endpoint_config=ENDPOINT_CONFIG,
            output=_NullOutput(),
        )
        self.node = node
        node.datagrams.connection_made(_Transport(self))
        node.peer_clients = node.state_sync._peer_clients = _PeerClients(self)
        node.gateway.attempts._server_client.connections = _ConnectionPool(self)
        node._listeners = _Listeners()
        node.prober = LoadProber(
            gateway=node.gateway,
            header_codec=HEADER_CODEC,
            options=OPTIONS.probes,
            max_probes_per_s=settings.probes_per_s,
            grants=node.probe_grants,
        )
        node.gateway.attempts.refresh_loads = node.prober.refresh_loads
        node.path_checker.probe = node.prober.send_probe
        self._tasks = [
            asyncio.create_task(node.fleet.run_forever()),
            asyncio.create_task(node._run_maintenance_forever()),
        ]

    def kill(self):
        """End the node without a message to the others."""
        self.simulation.nodes.pop(self.name, None)
        for task in self._tasks:
            task.cancel()
        self.node.fleet.close()
        self.node.state_sync.close()
        self.node.path_checker.close()

    async def handle(self, path, *, method, deadline_ms, request_id, remote):
        """Handle one request of a caller; return status and headers."""
        request = _Request(
            path=path,
            method=method,
            deadline_ms=deadline_ms,
            request_id=request_id,
            remote=remote,
        )
        response = await self.node.gateway.handle_request(request)
        return response.status, response.headers


class _NullOutput(LineOutput):
    def __init__(self):
        super().__init__(descriptor=2)

    def write(self, line):
        pass


class Simulation:
    """Servers, nodes, callers and the network between them.

    :param other_server_count: number of servers of a second service.
    :param seed: seed of all random numbers.
    :param loss: fraction of the datagrams between nodes that are lost.
    :param warmup_requests_per_s: requests per second that a cold server accepts, 0 for no limit.
    :param warmup: tolerance of this limit.
    """

    def __init__(
        self,
        *,
        node_count,
        server_count,
        other_server_count=0,
        seed=1,
        loss=0.0,
        work_s=0.08,
        retry_allowance=200.0,
        warmup_requests_per_s=0.0,
        warmup=NO_WARMUP,
    ):
        self.warmup_requests_per_s = warmup_requests_per_s
        self.warmup = warmup
        self.rng = random.Random(seed)
        self.delay_s = 0.001
        self.loss = loss
        self.retry_allowance = retry_allowance
        self.is_cut = lambda sender, receiver: False
        self._path_cuts = []
        # additional delay of datagrams by sender
        self.node_delays_s = collections.defaultdict(float)
        self.crashes_on = lambda path: False
        self.outcomes = []
        # time, status and duration of each response
        self.responses = []
        # time, name of the node and status of the first attempt of each call
        self.first_attempts = []
        # ids of the requests that must not run more than once
        self.order_ids = set()
        self.retry_after_s = []
        # runs of each request by its id
        self.run_counts = collections.Counter()
        self.nodes = {}
        self._names_by_host = {}
        self._tasks = set()
        self._request_ids = itertools.count(1)
        self.servers = [
            SimulatedServer(
                name=f"s{number}",
                simulation=self,
                domain=DOMAINS[number % len(DOMAINS)],
                work_s=work_s,
                service=SERVICE if number < server_count else OTHER_SERVICE,
            )
            for number in range(server_count + other_server_count)
        ]
        self.servers_by_address = {server.address: server for server in self.servers}
        self._position = StorePosition(1, 0)
        self._listings = {server.server_id: server.build_listing() for server in self.servers}
        for number in range(node_count):
            self.start_node(f"n{number}")

    def start_node(self, name, *, knows_state=True):
        """Start a node.

        :param knows_state: whether it has the routing table and the list of servers; otherwise it
            gets them from other nodes.
        """
        simulated = SimulatedNode(name=name, simulation=self)
        self.nodes[name] = simulated
        self._names_by_host[simulated.node.settings.vm.address] = name
        if knows_state:
            node = simulated.node
            node._apply_routing_table(build_table(self.warmup_requests_per_s), "store")
            node.registry.replace_listings(list(self._listings.values()), self._position)
            node._publish_own_state()
        return simulated

    def spawn(self, coroutine):
        """Run a coroutine until the simulation ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_until_joined(self):
        """Wait until all nodes know each other."""
        async with asyncio.timeout(30.0):
            while not all(
                len(simulated.node.fleet.membership.list_live()) == len(self.nodes)
                for simulated in self.nodes.values()
            ):
                await asyncio.sleep(0.1)

    def publish_servers(self, changes):
        """Let the node that reads the store spread changes of the list of servers."""
        begin = self._position
        self._position = StorePosition(1, begin.offset + 1)
        for change in changes:
            if change.listing is None:
                self._listings.pop(change.server_id, None)
            else:
                self._listings[change.server_id] = change.listing
        if not self.nodes:
            return
        reader = next(iter(self.nodes.values())).node
        notice = ServersNotice(begin=begin, end=self._position, changes=changes)
        if reader.registry.apply_changes(changes, begin, self._position):
            reader._publish_server_changes([notice])

    def find_node(self, address):
        """Return the running node at an address, ``None`` if there is none."""
        host = address.partition(":")[0]
        return self.nodes.get(self._names_by_host.get(host, ""))

    def send_datagram(self, sender, address, data):
        """Deliver a datagram after its delay, unless it is lost or cut off."""
        receiver = self.find_node(address)
        if receiver is None or self.is_cut(sender.name, receiver.name):
            return
        if self.rng.random() < self.loss:
            return
        delay_s = self.delay_s * self.rng.uniform(0.5, 1.5) + self.node_delays_s[sender.name]
        asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender, receiver, data):
        if self.nodes.get(receiver.name) is receiver:
            receiver.node.datagrams.datagram_received(data, (sender.name, 0))

    def cut_paths(self, names, *, services=(SERVICE, OTHER_SERVICE), **modes):
        """Cut nodes off from the servers of some services; return the cut.

        :param names: names of the nodes.
        :param modes: ``connecting`` and ``established`` of the :class:`PathCut`.
        """
        cut = PathCut(names=set(names), services=services, **modes)
        self._path_cuts.append(cut)
        if cut.established == "break":
            for name in cut.names & set(self.nodes):
                self.nodes[name].node.gateway.connections.break_connections(cut)
        return cut

    def find_path_cut(self, node_name, server):
        """Return a cut between a node and a server, ``None`` if there is none."""
        for cut in self._path_cuts:
            if cut.applies(node_name, server):
                return cut
        return None

    async def travel(self):
        """Take the time of one way between a node and a server."""
        await asyncio.sleep(self.delay_s * self.rng.uniform(0.3, 0.7))

    async def send_request(
        self,
        path=None,
        *,
        kind="safe",
        node=None,
        method="GET",
        remote="100.64.0.1",
        deadline_s=1.5,
    ):
        """Send one request; return its status and headers, 0 if the node was killed."""
        number = next(self._request_ids)
        path = path or f"/{kind}/{number}"
        if path.startswith("/order/"):
            self.order_ids.add(f"q{number}")
        if node is None:
            node = self.rng.choice(list(self.nodes.values()))
        started_at = get_time()
        try:
            async with asyncio.timeout(deadline_s):
                status, headers = await node.handle(
                    path,
                    method=method,
                    deadline_ms=1000 * deadline_s,
                    request_id=f"q{number}",
                    remote=remote,
                )
        except TimeoutError:
            return 0, {}
        self.responses.append((started_at, status, get_time() - started_at))
        if "Retry-After" in headers:
            self.retry_after_s.append(float(headers["Retry-After"]))
        return status, headers

    async def call(self, path=None, *, choose_node=None, attempts=2, deadline_s=1.5, **options):
        """Send a request as callers do: one that is refused returns after the time given."""
        started_at = get_time()
        status = 0
        for number in range(attempts):
            remaining_s = started_at + deadline_s - get_time()
            node = choose_node() if choose_node is not None else None
            node = node or self.rng.choice(list(self.nodes.values()))
            status, headers = await self.send_request(
                path, node=node, deadline_s=remaining_s, **options
            )
            if number == 0:
                self.first_attempts.append((started_at, node.name, status))
            if status != 503 or number == attempts - 1:
                break
            remaining_s = started_at + deadline_s - get_time()
            retry_after_s = float(headers.get("Retry-After", 0.0))
            await asyncio.sleep(min(retry_after_s, remaining_s / 3))
        self.outcomes.append((started_at, status, get_time() - started_at))

    async def send_load(self, requests_per_s, duration_s, **options):
        """Let callers send requests at random times; return when the last has ended."""
        ends_at = get_time() + duration_s
        calls = []
        while get_time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(requests_per_s))
            calls.append(self.spawn(self.call(**options)))
        await asyncio.gather(*calls)

    async def repeat_request(self, path, interval_s, duration_s, **options):
        """Send the same request again and again, at any node and from any address."""
        ends_at = get_time() + duration_s
        while get_time() < ends_at:
            remote = f"100.64.{self.rng.randrange(3)}.{self.rng.randrange(200)}"
            self.spawn(self.send_request(path, remote=remote, **options))
            await asyncio.sleep(interval_s * self.rng.uniform(0.5, 1.5))

    def compute_served_share(self, since, until=float("inf")):
        """Return the fraction of the calls begun in a time that were served."""
        statuses = [status for at, status, _ in self.outcomes if since <= at < until]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))

    async def close(self):
        """End all nodes and tasks."""
        for simulated in list(self.nodes.values()):
            simulated.kill()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def build_table(warmup_requests_per_s=0.0):
    """Return the routing table of the simulated services; 0 = no limit on cold servers."""
    services = [
        ServiceInfo(
            name=name, health_path=HEALTH_PATH, warmup_requests_per_s=warmup_requests_per_s
        )
        for name in (SERVICE, OTHER_SERVICE)
    ]
    routes = [
        Route(
            name=name,
            host=HOST,
            path_prefix=f"/{name}/",
            idempotent=name != "order",
            services=[WeightedService(service=OTHER_SERVICE if name == "other" else SERVICE)],
            max_attempts=2 if name == "order" else 3,
            target_s=0.5,
            timeout_s=1.5,
        )
        for name in ("safe", "order", "other")
    ]
    return RoutingTable(version=1, routes=routes, services=services)


def get_time():
    """Return the virtual time in seconds."""
    return asyncio.get_running_loop().time()


@contextlib.contextmanager
def _patch_time(seed):
    """Let the product's clocks follow the event loop, and its random numbers the seed."""
    seeds = random.Random(seed)
    make_random = random.Random

    def make_seeded_random(*arguments):
        return make_random(*arguments or (seeds.getrandbits(32),))

    with (
        mock.patch.object(time, "monotonic", get_time),
        mock.patch.object(time, "time_ns", lambda: int(1e9 * (1e6 + get_time()))),
        mock.patch.object(random, "Random", make_seeded_random),
    ):
        yield


def run_simulation(scenario, *, seed=1, **options):
    """Run a scenario, a coroutine function, with a simulation whose nodes have joined."""

    async def run():
        with _patch_time(seed):
            simulation = Simulation(seed=seed, **options)
            try:
                await simulation.wait_until_joined()
                await scenario(simulation)
            finally:
                await simulation.close()

    run_in_virtual_time(run)
