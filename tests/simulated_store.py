"""A metadata store in virtual time that turns single nodes away, for a simulated fleet.

Only the routing table changes; the list of servers stays as the nodes know it.
"""

import asyncio
import collections

from jasmineseam.exceptions import StoreUnavailableError
from jasmineseam.fleet.store_protocol import NodeRecord
from jasmineseam.fleet.store_protocol import RoutingTableRead
from jasmineseam.fleet.store_watcher import StoreWatcher
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.platform.store_client import CALL_TIMEOUT_S
from jasmineseam.platform.store_client import LONG_CALL_TIMEOUT_S

CALL_TIME_S = 0.004


class SimulatedStore:
    """The store, as all nodes of a simulation see it.

    :param simulation: the :class:`~tests.node_simulation.Simulation`.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self.tables = []
        self._written = asyncio.Event()
        # failure of the calls of each node that is turned away: ``refuse`` or ``hang``
        self.failures = {}
        # timeout of calls unless the one before has timed out
        self.call_timeout_s = CALL_TIMEOUT_S
        # calls by operation
        self.call_counts = collections.Counter()

    def write_table(self, table):
        """Acknowledge a new routing table."""
        self.tables.append(table)
        self._written.set()
        self._written = asyncio.Event()

    def attach(self, simulated):
        """Let a node watch the store."""
        node = simulated.node
        node.store_watcher = StoreWatcher(
            store=_NodeStore(self, simulated.name),
            registry=node.registry,
            on_routing_table=node._apply_routing_table,
            on_server_changes=node._publish_server_changes,
            get_rank=node.fleet.get_reader_rank,
            get_node_count=node.fleet.membership.count,
            set_reachable=lambda reachable: node.fleet.update_own(reads_store=reachable),
            add_contact=node.fleet.add_contact,
            own_record=NodeRecord(
                vm_id=simulated.name, peer_address=node.settings.listeners.notices
            ),
            confirm_routing_table=node.state_sync.table_confirmation.confirm,
            needs_routing_table=node.state_sync.table_confirmation.needs_read,
        )
        simulated._tasks += [
            asyncio.create_task(node.store_watcher.watch_routing_table()),
            asyncio.create_task(node.store_watcher.watch_servers()),
        ]

    def list_readers(self):
        """Return the names of the nodes that read the store."""
        return [
            name
            for name, simulated in self._simulation.nodes.items()
            if simulated.node.store_watcher.is_reader()
        ]

    def get_position(self):
        """Return the position after the newest routing table."""
        return StorePosition(1, len(self.tables))

    async def wait(self):
        """Wait for the next routing table."""
        await self._written.wait()


class _NodeStore:
    """The store as one node sees it."""

    def __init__(self, store, name):
        self._store = store
        self._name = name
        self._long_timeout = False

    async def _call(self, operation, wait_s=0.0, *, is_done=lambda: True):
        store = self._store
        store.call_counts[operation] += 1
        ends_at = asyncio.get_running_loop().time() + wait_s
        timeout_s = LONG_CALL_TIMEOUT_S if self._long_timeout else store.call_timeout_s
        timeout_at = ends_at + timeout_s
        await asyncio.sleep(CALL_TIME_S / 2)
        while self._name not in store.failures and not is_done():
            remaining_s = ends_at - asyncio.get_running_loop().time()
            if remaining_s <= 0.0:
                break
            waiting = asyncio.ensure_future(store.wait())
            await asyncio.wait({waiting}, timeout=min(0.05, remaining_s))
            waiting.cancel()
        failure = store.failures.get(self._name)
        if failure == "hang":
            await asyncio.sleep(timeout_at - asyncio.get_running_loop().time())
            self._long_timeout = True
        if failure is not None:
            raise StoreUnavailableError(operation, failure)
        await asyncio.sleep(CALL_TIME_S / 2)
        self._long_timeout = False

    async def read_routing_table(self):
        await self._call("read-table")
        tables = self._store.tables
        return RoutingTableRead(tables[-1] if tables else None, self._store.get_position())

    async def wait_for_routing_table(self, position, wait_s):
        def is_done():
            return self._store.get_position() > position

        await self._call("poll-table", wait_s, is_done=is_done)
        table = self._store.tables[-1] if is_done() else None
        return RoutingTableRead(table, self._store.get_position())

    async def read_servers(self):
        await self._call("read-servers")
        simulation = self._store._simulation
        return list(simulation._listings.values()), simulation._position

    async def read_server_changes(self, position):
        await self._call("read-changes")
        return [], position
