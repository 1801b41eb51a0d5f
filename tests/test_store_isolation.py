"""A node that was cut off from the store, and may take that for an outage of the store.

Listings that expire in an outage are back 2 s after its end, so that servers without a listing
are kept for a time. A node that alone was cut off must not use servers that have left, once it has
reached the store for 3 s. All times are virtual.
"""

import asyncio
import random
import time
from unittest import mock

import pytest

from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import StoreUnavailableError
from jasmineseam.fleet.store_protocol import NodeRecord
from jasmineseam.fleet.store_protocol import RoutingTableRead
from jasmineseam.fleet.store_watcher import StoreWatcher
from jasmineseam.membership.registry import ServerChange
from jasmineseam.membership.registry import ServerListing
from jasmineseam.membership.registry import ServerRegistry
from jasmineseam.membership.servers import Server
from jasmineseam.membership.store_position import StorePosition

HEARTBEAT_S = 1.5
# time after the end of a cut from which a node is bound by removals, and time after a removal
# from which it is
STABILITY_S = 3.0
DRAIN_S = 2.0
# time after the end of an outage within which expired listings are back
RETURN_TIME_S = 2.0
CALL_TIME_S = 0.004
FIRST_TIMEOUT_S = 0.7
LATER_TIMEOUT_S = 1.5


class CutStore:
    """A log of server records that answers no call during a cut.

    What is sent during a cut arrives when the sender repeats it, 1 s and 3 s after it was sent.
    """

    def __init__(self):
        self.changes = []
        self.cut = False
        self.refuses = False
        self._timed_out = False

    def write(self, name, listing):
        self.changes.append(ServerChange(server_id=name, listing=listing))

    async def _call(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        timeout_at = started_at + (LATER_TIMEOUT_S if self._timed_out else FIRST_TIMEOUT_S)
        repeats = [started_at + 1.0, started_at + 3.0]
        while self.cut:
            if self.refuses:
                raise StoreUnavailableError("read", "refused")
            due_at = min([timeout_at, *(repeat for repeat in repeats if repeat > loop.time())])
            await asyncio.sleep(due_at - loop.time())
            if loop.time() >= timeout_at:
                self._timed_out = True
                raise StoreUnavailableError("read", "no response")
        await asyncio.sleep(CALL_TIME_S)
        self._timed_out = False

    async def read_servers(self):
        await self._call()
        newest = {}
        for change in self.changes:
            newest[change.server_id] = change.listing
        listings = [listing for listing in newest.values() if listing is not None]
        return listings, StorePosition(1, len(self.changes))

    async def read_server_changes(self, position):
        await self._call()
        return self.changes[position.offset :], StorePosition(1, len(self.changes))

    async def read_routing_table(self):
        await self._call()
        return RoutingTableRead(None, StorePosition(1, 0))


class Scenario:
    """One node beside servers that write heartbeats."""

    def __init__(self, *, server_count=6):
        self.store = CutStore()
        self.registry = ServerRegistry(clock=time.monotonic)
        self.watcher = StoreWatcher(
            store=self.store,
            registry=self.registry,
            on_routing_table=lambda table, source: False,
            on_server_changes=lambda notices: None,
            get_rank=lambda: 0,
            get_node_count=lambda: 1,
            set_reachable=lambda reachable: None,
            add_contact=lambda address: None,
            own_record=NodeRecord(vm_id="vm", peer_address="127.0.0.1:1"),
        )
        self.heartbeats = {}
        self.sequences = {}
        for number in range(server_count):
            self.start_server(f"s{number}", delay_s=number * HEARTBEAT_S / server_count)
        self.tasks = [
            asyncio.create_task(self.watcher.watch_servers()),
            asyncio.create_task(self.watcher.expire_servers_forever()),
        ]

    def start_server(self, name, *, delay_s=0.0):
        self.heartbeats[name] = asyncio.create_task(self._write_heartbeats(name, delay_s))

    async def _write_heartbeats(self, name, delay_s):
        server = Server(
            server_id=name, service="fit", address="10.0.0.1:1", failure_domain="d", leaving=False
        )
        await asyncio.sleep(delay_s)
        while True:
            sequence = self.sequences[name] = self.sequences.get(name, 0) + 1
            self.store.write(
                name, ServerListing(server=server, slots=4, started_ms=1, sequence=sequence)
            )
            await asyncio.sleep(HEARTBEAT_S)

    def stop_heartbeats(self, name):
        self.heartbeats[name].cancel()

    def list_usable(self):
        return {registered.server.server_id for registered in self.registry.list_usable("fit")}

    def close(self):
        for task in (*self.tasks, *self.heartbeats.values()):
            task.cancel()


def run(scenario):
    with mock.patch.object(time, "monotonic", lambda: asyncio.get_running_loop().time()):

        async def play():
            built = Scenario()
            try:
                await scenario(built)
            finally:
                built.close()

        run_in_virtual_time(play)


@pytest.mark.parametrize("refuses", [False, True])
@pytest.mark.parametrize("leaves_after_s", [-2.5, -1.0, 0.05, 0.2, 0.5, 1.0, 1.4])
@pytest.mark.parametrize("cut_s", [2.0, 3.5, 4.1, 4.9, 5.5])
def test_node_that_was_cut_off_does_not_use_servers_that_have_left(cut_s, leaves_after_s, refuses):
    """Guards against an isolation that is taken for an outage for too long.

    A server leaves just before or after the end of the cut.
    """

    async def scenario(played):
        for start_s in (4.0, 4.2, 4.45):
            await asyncio.sleep(start_s - 4.0 + 4.0)
            name = sorted(played.heartbeats)[0]
            store = played.store
            store.refuses = refuses
            store.cut = True
            end_at = time.monotonic() + cut_s
            await asyncio.sleep(cut_s + min(0.0, leaves_after_s))
            if leaves_after_s > 0.0:
                store.cut = False
                await asyncio.sleep(leaves_after_s)
            played.stop_heartbeats(name)
            del played.heartbeats[name]
            store.write(name, None)
            removed_at = time.monotonic()
            if leaves_after_s <= 0.0:
                await asyncio.sleep(end_at - time.monotonic())
                store.cut = False
            bound_at = max(end_at + STABILITY_S, removed_at + DRAIN_S)
            await asyncio.sleep(bound_at - time.monotonic())
            assert name not in played.list_usable()
            await asyncio.sleep(6.0)

    run(scenario)


@pytest.mark.parametrize("refuses", [False, True])
@pytest.mark.parametrize("outage_s", [3.5, 4.3, 5.0, 7.7, 20.0])
@pytest.mark.parametrize("seed", range(3))
def test_servers_whose_listing_expires_in_an_outage_stay_usable(outage_s, refuses, seed):
    """Guards against a node that takes an outage of the store for the end of its servers."""

    async def scenario(played):
        rng = random.Random(seed)
        await asyncio.sleep(4.0 + rng.random())
        names = set(played.heartbeats)
        store = played.store
        store.refuses = refuses
        store.cut = True
        for name in names:
            played.stop_heartbeats(name)
        await asyncio.sleep(outage_s)
        for name in names:
            store.write(name, None)
        store.cut = False
        for name in names:
            played.start_server(name, delay_s=rng.uniform(0.0, RETURN_TIME_S - 0.1))
        ends_at = time.monotonic() + RETURN_TIME_S + 3.0
        while time.monotonic() < ends_at:
            assert played.list_usable() == names
            await asyncio.sleep(0.02)

    run(scenario)
