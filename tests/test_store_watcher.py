"""Nodes that read the store for others: who reads, what is spread, and who takes over."""

import asyncio
import collections
import random
import time

import pytest

from jasmineseam.fleet import store_watcher
from jasmineseam.fleet.state_sync import ServerChangeLog
from jasmineseam.fleet.store_protocol import NodeRecord
from jasmineseam.fleet.store_watcher import StoreWatcher
from jasmineseam.membership.registry import ServerChange
from jasmineseam.membership.registry import ServerListing
from jasmineseam.membership.registry import ServerRegistry
from jasmineseam.membership.servers import Server
from jasmineseam.membership.store_position import StorePosition
from standins.configuration import build_route
from tests.deployment import run_scenario
from tests.deployment import wait_until


def make_listing(name, sequence, *, leaving=False):
    server = Server(
        server_id=name,
        service="fit",
        address="10.0.0.1:1",
        failure_domain="d",
        leaving=leaving,
    )
    return ServerListing(server=server, slots=4, started_ms=1, sequence=sequence)


class ScriptedStore:
    """A topic of server records, read from any position."""

    def __init__(self):
        self.changes = []

    def append(self, name, listing):
        self.changes.append(ServerChange(server_id=name, listing=listing))

    async def read_servers(self):
        newest = {}
        for change in self.changes:
            newest[change.server_id] = change.listing
        listings = [listing for listing in newest.values() if listing is not None]
        return listings, StorePosition(1, len(self.changes))

    async def read_server_changes(self, position):
        return self.changes[position.offset :], StorePosition(1, len(self.changes))


class Reader:
    """A watcher that is always a reader, with the notices that it has published."""

    def __init__(self, store, clock):
        self.registry = ServerRegistry(clock=clock)
        self.notices = []
        self.watcher = StoreWatcher(
            store=store,
            registry=self.registry,
            on_routing_table=lambda table, source: False,
            on_server_changes=self.notices.extend,
            get_rank=lambda: 0,
            get_node_count=lambda: 2,
            set_reachable=lambda reachable: None,
            add_contact=lambda address: None,
            own_record=NodeRecord(vm_id="vm", peer_address="127.0.0.1:1"),
        )

    def read(self, *, after_failure=False):
        asyncio.run(self.watcher._read_servers(after_failure=after_failure))

    def take_notices(self):
        notices = list(self.notices)
        self.notices.clear()
        return notices


def describe(registry):
    return {
        listing.server.server_id: listing.server.leaving for listing in registry.list_listings()
    }


@pytest.mark.parametrize("seed", range(60))
def test_lists_agree_however_reads_and_notices_interleave(clock, seed):
    """Two readers and two other nodes, with lost, late and reordered notices."""
    rng = random.Random(seed)
    store = ScriptedStore()
    sequences = collections.Counter()
    readers = [Reader(store, clock) for _ in range(2)]
    followers = [ServerRegistry(clock=clock) for _ in range(2)]
    names = [f"s{number}" for number in range(12)]
    for name in names:
        store.append(name, make_listing(name, 0))
    for reader in readers:
        reader.read()
    for follower in followers:
        follower.replace_listings(readers[0].registry.list_listings(), StorePosition(1, 12))
    in_flight = []
    for _ in range(120):
        action = rng.random()
        if action < 0.5:
            for _ in range(rng.choice([1, 1, 9])):
                name = rng.choice(names)
                sequences[name] += 1
                kind = rng.random()
                removed = kind < 0.2
                leaving = kind < 0.4
                store.append(
                    name,
                    None if removed else make_listing(name, sequences[name], leaving=leaving),
                )
        elif action < 0.75:
            reader = rng.choice(readers)
            reader.read()
            for notice in reader.take_notices():
                targets = [*followers, *(other.registry for other in readers)]
                in_flight += [
                    (target, notice)
                    for target in targets
                    if target is not reader.registry and rng.random() > 0.2
                ]
        elif in_flight:
            target, notice = in_flight.pop(rng.randrange(len(in_flight)))
            target.apply_changes(notice.changes, notice.begin, notice.end)
        # Whoever knows a position has the same list as every other node that knows it.
        by_position = {}
        for registry in (*followers, *(reader.registry for reader in readers)):
            known = by_position.setdefault(registry.position, describe(registry))
            assert known == describe(registry)
    for reader in readers:
        reader.read()
        reader.read()
    assert describe(readers[0].registry) == describe(readers[1].registry)


def test_heartbeats_are_not_spread(clock):
    store = ScriptedStore()
    store.append("a", make_listing("a", 0))
    reader = Reader(store, clock)
    reader.read()
    store.append("a", make_listing("a", 1))
    reader.read()
    assert reader.take_notices() == []
    assert reader.registry.position == StorePosition(1, 1)
    store.append("a", make_listing("a", 2, leaving=True))
    store.append("a", make_listing("a", 3, leaving=True))
    reader.read()
    (notice,) = reader.take_notices()
    assert (notice.begin, notice.end) == (StorePosition(1, 1), StorePosition(1, 3))


def test_removal_is_spread_with_the_version_that_the_reader_knows(clock):
    store = ScriptedStore()
    for sequence in range(5):
        store.append("a", make_listing("a", sequence))
    reader = Reader(store, clock)
    reader.read()
    store.append("a", None)
    reader.read()
    (notice,) = reader.take_notices()
    assert notice.changes[0].removed.sequence == 4


def list_usable(registry):
    return sorted(registered.server.server_id for registered in registry.list_usable("fit"))


def play_removal_after_cut(clock, change_between, other_reads_first):
    """Let a reader that was cut off read a removal, and spread what it has read.

    Another reader and a node that reads nothing were not cut off.
    """
    store = ScriptedStore()
    for name in ("a", "b"):
        store.append(name, make_listing(name, 0))
    cut_off, reader = Reader(store, clock), Reader(store, clock)
    for other in (cut_off, reader):
        other.read()
        other.take_notices()
    follower = ServerRegistry(clock=clock)
    follower.replace_listings(reader.registry.list_listings(), StorePosition(1, 2))
    for _ in range(10):
        clock.now += 0.5
        for registry in (reader.registry, follower):
            registry.mark_confirmed()
    cut_off.registry.record_failed_read(clock.now - 0.3)
    store.append("a", None)
    if change_between:
        store.append("b", make_listing("b", 1, leaving=True))
    if other_reads_first:
        reader.read()
    cut_off.read(after_failure=True)
    assert "a" in list_usable(cut_off.registry)
    for notice in cut_off.take_notices() + reader.take_notices():
        for registry in (reader.registry, follower):
            registry.apply_changes(notice.changes, notice.begin, notice.end)
    return cut_off, reader, follower


@pytest.mark.parametrize("other_reads_first", [False, True])
@pytest.mark.parametrize("change_between", [False, True])
def test_removal_that_a_reader_defers_is_not_lost_at_other_nodes(
    clock, change_between, other_reads_first
):
    """Guards against a position that is spread without a removal before it.

    The reader that was cut off keeps the server for a time. To other nodes it must not tell that
    they know the list up to a change behind the removal, since they would never read it then.
    """
    cut_off, reader, follower = play_removal_after_cut(clock, change_between, other_reads_first)
    clock.now += 0.5
    reader.read()
    for notice in reader.take_notices():
        follower.apply_changes(notice.changes, notice.begin, notice.end)
    for registry in (reader.registry, follower):
        assert "a" not in list_usable(registry)
    clock.now += 2.5
    cut_off.registry.expire_servers()
    assert "a" not in list_usable(cut_off.registry)


def test_deferred_removal_does_not_end_a_server_that_has_come_back(clock):
    """Guards against a removal that is spread later, after the server has published itself."""
    cut_off, reader, follower = play_removal_after_cut(clock, True, True)
    store = reader.watcher._store
    clock.now += 2.6
    cut_off.registry.expire_servers()
    store.append("a", make_listing("a", 1))
    for other in (reader, cut_off):
        other.read()
        for notice in other.take_notices():
            for registry in (cut_off.registry, reader.registry, follower):
                registry.apply_changes(notice.changes, notice.begin, notice.end)
    for registry in (cut_off.registry, reader.registry, follower):
        assert "a" in list_usable(registry)


@pytest.mark.parametrize("joins", [False, True])
def test_node_that_gets_its_list_from_a_reader_with_a_deferred_removal(clock, joins):
    """Guards against a server that stays in the list of a node which gets a whole list."""
    cut_off, _, follower = play_removal_after_cut(clock, True, False)
    registry = ServerRegistry(clock=clock) if joins else follower
    if not joins:
        registry.position = StorePosition(1, 2)
    registry.replace_listings(cut_off.registry.list_listings(), cut_off.registry.position)
    clock.now += 2.6
    registry.expire_servers()
    assert "a" not in list_usable(registry)


def test_nodes_that_read_nothing_keep_servers_after_an_outage(clock):
    """Guards against removals of expired listings that are in force at once at other nodes."""
    store = ScriptedStore()
    store.append("a", make_listing("a", 0))
    reader = Reader(store, clock)
    reader.read()
    reader.take_notices()
    follower = ServerRegistry(clock=clock)
    follower.replace_listings(reader.registry.list_listings(), StorePosition(1, 1))
    clock.now += 5.0
    reader.registry.record_failed_read(clock.now - 0.3)
    store.append("a", None)
    reader.read(after_failure=True)
    for notice in reader.take_notices():
        follower.apply_changes(notice.changes, notice.begin, notice.end)
    follower.mark_confirmed()
    for _ in range(20):
        clock.now += 0.1
        reader.registry.expire_servers()
        follower.expire_servers()
        assert list_usable(reader.registry) == list_usable(follower) == ["a"]
    store.append("a", make_listing("a", 1))
    reader.read()
    for notice in reader.take_notices():
        follower.apply_changes(notice.changes, notice.begin, notice.end)
    clock.now += 5.0
    for registry in (reader.registry, follower):
        registry.expire_servers()
        assert list_usable(registry) == ["a"]


def test_many_changes_are_divided_at_their_own_positions(clock):
    store = ScriptedStore()
    for number in range(10):
        store.append(f"s{number}", make_listing(f"s{number}", 0))
    reader = Reader(store, clock)
    reader.read()
    for number in range(10):
        store.append(f"s{number}", make_listing(f"s{number}", 1, leaving=True))
        store.append("s0", make_listing("s0", 2 + number, leaving=True))
    reader.read()
    notices = reader.take_notices()
    assert len(notices) == 3
    assert all(len(notice.changes) <= store_watcher.MAX_CHANGES_PER_NOTICE for notice in notices)
    assert [notice.begin for notice in notices[1:]] == [notice.end for notice in notices[:-1]]
    assert notices[0].end == StorePosition(1, 10 + 7)


def test_change_log_returns_only_complete_changes():
    log = ServerChangeLog()
    change = ServerChange(server_id="a")
    for begin, end in ((3, 5), (5, 9)):
        log.append(
            store_watcher.ServersNotice(
                begin=StorePosition(1, begin), end=StorePosition(1, end), changes=[change]
            )
        )
    assert log.get_changes_since(StorePosition(1, 2)) is None
    assert log.get_changes_since(StorePosition(1, 9)) is None
    assert len(log.get_changes_since(StorePosition(1, 3)).changes) == 2
    assert len(log.get_changes_since(StorePosition(1, 6)).changes) == 1
    assert log.get_changes_since(StorePosition(1, 6)).end == StorePosition(1, 9)


def list_readers(deployment):
    return [node for node in deployment.nodes if node.store_watcher.is_reader()]


async def start_nodes(deployment, count):
    deployment.write_configuration()
    for name in ("i-1", "i-2"):
        await deployment.add_instance(name)
    nodes = [await deployment.add_node(f"vm-{number}") for number in range(count)]
    await wait_until(
        lambda: all(len(node.fleet.membership.list_live()) == count for node in nodes),
        "all nodes know each other",
    )
    await wait_until(lambda: len(list_readers(deployment)) == 2, "two nodes read the store")
    return nodes


def test_calls_to_the_store_do_not_grow_with_the_number_of_nodes():
    async def scenario(deployment):
        await start_nodes(deployment, 6)
        # Nodes that join register and read the lists once.
        await asyncio.sleep(1.5)
        deployment.store.call_paths.clear()
        await asyncio.sleep(3.0)
        # two readers, each with about two reads of servers and one of the table per second
        assert len(deployment.store.call_paths) <= 24

    run_scenario(scenario)


@pytest.mark.parametrize("failure", ["killed", "refused"])
def test_other_nodes_take_over_from_readers(failure):
    async def scenario(deployment):
        nodes = await start_nodes(deployment, 5)
        readers = list_readers(deployment)
        if failure == "killed":
            for node in readers:
                node.fleet.close()
                node.datagrams.close()
        else:
            for node in readers:

                async def refuse(*_args):
                    raise store_watcher.PlatformError("refused")

                node.store_watcher._store.read_server_changes = refuse
        others = [node for node in nodes if node not in readers]
        deployment.write_instance_record("i-1", state="draining")
        for node in others:
            await wait_until(
                lambda node=node: node.registry.count_usable() == 1, "i-1 is leaving", 5.0
            )
        deployment.write_configuration(version=9)
        for node in others:
            await wait_until(
                lambda node=node: node.gateway.routing_table.version == 9, "version 9", 5.0
            )

    run_scenario(scenario)


@pytest.mark.parametrize("failure", ["silent", "busy", "reset"])
def test_changes_are_in_force_in_time_although_the_store_turns_both_readers_away(failure):
    """The bound is the time in which a change must be in force everywhere, 2 s."""

    async def scenario(deployment):
        deployment.write_configuration()
        for name in ("i-1", "i-2"):
            await deployment.add_instance(name)
        for number in range(7):
            address = await deployment.add_store_listener()
            await deployment.add_node(f"vm-{number}", store_address=address)
        await wait_until(lambda: len(list_readers(deployment)) == 2, "two nodes read the store")
        await asyncio.sleep(1.0)
        readers = list_readers(deployment)
        deployment.store.behaviour.failing_ports = [
            int(node.settings.store_address.rpartition(":")[2]) for node in readers
        ]
        deployment.store.behaviour.failure = failure
        deployment.write_instance_record("i-1", state="draining")
        deployment.write_configuration(version=9)
        until = time.monotonic() + 2.0
        for node in deployment.nodes:
            await wait_until(
                lambda node=node: (
                    node.registry.count_usable() == 1 and node.gateway.routing_table.version == 9
                ),
                "the changes are in force",
                until - time.monotonic(),
            )

    run_scenario(scenario)


@pytest.mark.parametrize(("first_start", "ready_in_s"), [(False, 0.6), (True, 4.0)])
def test_restarted_node_does_not_wait_for_contacts_that_are_down(first_start, ready_in_s):
    """After a loss of power, a node is ready before the nodes at its contacts are up again."""

    async def scenario(deployment):
        deployment.write_configuration()
        await deployment.add_instance("i-1")
        started_at = time.monotonic()
        node = await deployment.add_node(
            "vm-1", seed_peers=["127.0.0.1:9"], first_start=first_start
        )
        assert time.monotonic() - started_at < ready_in_s
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


def test_large_routing_table_reaches_all_nodes():
    async def scenario(deployment):
        nodes = await start_nodes(deployment, 4)
        routes = [build_route(f"/p{number}/") for number in range(1400)]
        deployment.write_configuration(version=5, routes=routes)
        for node in nodes:
            await wait_until(
                lambda node=node: node.gateway.routing_table.version == 5, "version 5", 2.0
            )
            assert (await deployment.send_request(node, "/p1399/x"))[0] == 200

    run_scenario(scenario)
