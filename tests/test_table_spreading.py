"""Time until a new routing table is in force at all nodes of a simulated fleet.

A key that the table removes must not be valid at any node 2.5 s after the store has acknowledged
the table, also if the store turns nodes away.
"""

import asyncio

import msgspec
import pytest

from jasmineseam.fleet.state_sync import compress_table
from jasmineseam.fleet.table_confirmation import MAX_TABLE_AGE_S
from jasmineseam.routing.routes import ClientAccount
from jasmineseam.routing.routes import hash_key
from tests.node_simulation import build_table
from tests.node_simulation import get_time
from tests.node_simulation import run_simulation
from tests.simulated_store import SimulatedStore

BOUND_S = 2.5
# Time from which two nodes read the store and the others know each confirmation.
SETTLED_S = 5.0


async def attach_store(simulation, *, loss=0.0):
    """Let all nodes watch a store, at times that differ; return it when the fleet is settled."""
    store = SimulatedStore(simulation)
    store.write_table(build_table())

    async def attach(simulated):
        await asyncio.sleep(simulation.rng.uniform(0.0, 1.0))
        store.attach(simulated)

    for simulated in list(simulation.nodes.values()):
        simulation.spawn(attach(simulated))
    await asyncio.sleep(SETTLED_S + simulation.rng.uniform(0.0, 1.0))
    simulation.loss = loss
    await asyncio.sleep(1.0)
    return store


def write_next_table(store):
    version = store.tables[-1].version + 1
    store.write_table(msgspec.structs.replace(store.tables[-1], version=version))
    return version


async def measure_spreading(simulation, store):
    """Write a routing table; return the time until the last node has applied it."""
    started_at = get_time()
    version = write_next_table(store)
    while any(
        simulated.node.gateway.routing_table.version < version
        for simulated in simulation.nodes.values()
    ):
        assert get_time() < started_at + BOUND_S
        await asyncio.sleep(0.01)
    return get_time() - started_at


@pytest.mark.parametrize(("count", "loss"), [(6, 0.0), (6, 0.3), (45, 0.0), (45, 0.3)])
@pytest.mark.parametrize(
    ("turned_away", "failure"),
    [("nobody", ""), ("other", "hang"), ("readers", "refuse"), ("readers", "hang")],
)
def test_new_table_is_in_force_at_all_nodes_in_time(count, loss, turned_away, failure):
    async def scenario(simulation):
        store = await attach_store(simulation, loss=loss)
        readers = store.list_readers()
        others = [name for name in simulation.nodes if name not in readers]
        names = {"nobody": [], "other": others[:1], "readers": readers}[turned_away]
        store.failures.update(dict.fromkeys(names, failure))
        duration_s = await measure_spreading(simulation, store)
        # Without a failing reader, the bound leaves time for a lost datagram and a ping period.
        assert duration_s <= (BOUND_S if turned_away == "readers" else 1.0)

    run_simulation(scenario, node_count=count, server_count=3)


@pytest.mark.parametrize("count", [6, 45])
def test_new_table_is_in_force_in_time_while_the_store_is_slow(count):
    """After a call that timed out, calls to the store time out after 1.5 s instead of 0.7 s."""

    async def scenario(simulation):
        store = await attach_store(simulation)
        store.call_timeout_s = 1.5
        await asyncio.sleep(2.0)
        store.failures.update(dict.fromkeys(store.list_readers(), "hang"))
        await measure_spreading(simulation, store)

    run_simulation(scenario, node_count=count, server_count=3)


@pytest.mark.parametrize("count", [6, 45])
def test_all_nodes_know_that_their_table_is_current(count):
    """Guards against 503 in place of 401, and refusals by fail-closed, without trouble."""

    async def scenario(simulation):
        store = await attach_store(simulation)
        store.call_counts.clear()
        started_at = get_time()
        while get_time() < started_at + 10.0:
            await asyncio.sleep(0.1)
            for simulated in simulation.nodes.values():
                confirmation = simulated.node.state_sync.table_confirmation
                assert confirmation.is_current(), confirmation.get_age_s()
        # Two readers read the list twice and the table once per second, and poll for the table.
        assert store.call_counts["read-changes"] <= 2 * 21
        assert store.call_counts["read-table"] <= 2 * 12
        assert store.call_counts["poll-table"] <= 2 * 3

    run_simulation(scenario, node_count=count, server_count=3)


def test_node_without_news_does_not_take_its_table_for_current():
    async def scenario(simulation):
        store = await attach_store(simulation)
        (name,) = [name for name in simulation.nodes if name not in store.list_readers()][:1]
        simulation.is_cut = lambda sender, receiver: name in (sender, receiver)
        store.failures[name] = "hang"
        confirmation = simulation.nodes[name].node.state_sync.table_confirmation
        assert confirmation.is_current()
        await asyncio.sleep(MAX_TABLE_AGE_S + 1.0)
        assert not confirmation.is_current()
        write_next_table(store)
        simulation.is_cut = lambda sender, receiver: False
        await asyncio.sleep(3.0)
        assert confirmation.is_current()
        assert simulation.nodes[name].node.gateway.routing_table.version == 2

    run_simulation(scenario, node_count=6, server_count=3)


def act_as_earlier_build(simulated):
    """Let a node send digests and routing tables as a node of commit f908b59 does."""
    sync = simulated.node.state_sync
    build_digest = sync.build_digest
    simulated.node.fleet._handlers = simulated.node.fleet._handlers._replace(
        get_digest=lambda nodes_hash: msgspec.structs.replace(
            build_digest(nodes_hash), table_age_ms=-1
        )
    )
    sync._get_compressed_table = lambda: compress_table(
        msgspec.structs.replace(simulated.node.gateway.routing_table, accounts=[])
    )


def get_account_count(simulated):
    table = simulated.node.gateway.routing_table
    return 0 if table is None else len(table.accounts)


@pytest.mark.parametrize("earlier", ["readers", "all-others"])
def test_accounts_are_not_lost_by_way_of_nodes_of_an_earlier_build(earlier):
    """Such nodes know no accounts and leave them out of the tables that they send."""

    async def scenario(simulation):
        store = await attach_store(simulation)
        names = list(simulation.nodes)
        kept = next(name for name in names if name not in store.list_readers())
        earlier_names = store.list_readers() if earlier == "readers" else set(names) - {kept}
        for name in earlier_names:
            act_as_earlier_build(simulation.nodes[name])
        account = ClientAccount(name="alpha", key_hashes=[hash_key("k1")])
        store.write_table(msgspec.structs.replace(store.tables[-1], version=2, accounts=[account]))
        others = [simulation.nodes[name] for name in names if name not in earlier_names]
        started_at = get_time()
        while get_time() < started_at + BOUND_S:
            await asyncio.sleep(0.01)
            for simulated in others:
                if simulated.node.gateway.routing_table.version == 2:
                    assert get_account_count(simulated) == 1
        assert all(get_account_count(simulated) == 1 for simulated in others)

    run_simulation(scenario, node_count=6, server_count=3)


def test_node_that_joins_nodes_of_an_earlier_build_completes_its_table():
    """It serves with what they send, and sends the incomplete table to nobody."""

    async def scenario(simulation):
        store = await attach_store(simulation)
        for simulated in simulation.nodes.values():
            act_as_earlier_build(simulated)
        account = ClientAccount(name="alpha", key_hashes=[hash_key("k1")])
        store.write_table(msgspec.structs.replace(store.tables[-1], version=2, accounts=[account]))
        await asyncio.sleep(1.0)
        store.failures["n9"] = "hang"
        joined = simulation.start_node("n9", knows_state=False)
        store.attach(joined)
        await asyncio.sleep(2.0)
        sync = joined.node.state_sync
        assert joined.node.gateway.routing_table.version == 2
        assert (get_account_count(joined), sync.build_digest(0).table_age_ms) == (0, -1)
        del store.failures["n9"]
        await asyncio.sleep(3.0)
        assert (get_account_count(joined), sync.table_confirmation.provisional) == (1, False)

    run_simulation(scenario, node_count=6, server_count=3)
