"""Nodes while the store is restored from a backup: what was learnt since then must last."""

import asyncio

import pytest

from jasmineseam.exceptions import RecordsTrimmedError
from jasmineseam.exceptions import StoreRestoredError
from jasmineseam.exceptions import StoreUnavailableError
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.platform.store_client import StoreClient
from tests.deployment import ROUTES
from tests.deployment import build_route
from tests.deployment import run_scenario
from tests.deployment import wait_until


async def start_deployment(deployment, *names):
    deployment.write_configuration(version=1)
    for name in names:
        await deployment.add_instance(name)
    return await deployment.add_node("vm-1")


def count_usable(node):
    return node.registry.count_usable()


async def restore(deployment, *, outage_s=0.3):
    """Restore the store from its backup, after an outage that resets all connections."""
    deployment.store.behaviour.failure = "reset"
    await asyncio.sleep(outage_s)
    deployment.store.restore_backup()
    deployment.store.behaviour.failure = ""


def test_restored_store_does_not_revert_what_the_node_has_learnt():
    async def scenario(deployment):
        node = await start_deployment(deployment, "i-1", "i-2", "i-3")
        await wait_until(
            lambda: deployment.store.get_newest("keyed.nodes", "vm-1"), "the node registers"
        )
        deployment.store.remove("keyed.nodes", "vm-1")
        deployment.store.take_backup()
        deployment.write_configuration(version=2, routes=[*ROUTES, build_route("/new/")])
        deployment.write_instance_record("i-1", state="draining")
        deployment.store.remove("keyed.servers", "i-2")
        await wait_until(lambda: count_usable(node) == 1, "only i-3 is usable")
        await wait_until(lambda: node.gateway.routing_table.version == 2, "version 2 is applied")
        await restore(deployment)
        await wait_until(
            lambda: node.registry.position.timeline == 2, "the restored list is read", 3.0
        )
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert count_usable(node) == 1
            assert (await deployment.send_request(node, "/new/1"))[0] == 200
        assert node.gateway.routing_table.version == 2
        for name in ("i-1", "i-2"):
            assert not deployment.instances[name].run_counts
        await wait_until(
            lambda: deployment.store.get_newest("keyed.nodes", "vm-1"),
            "the node's record is written again",
            2.0,
        )
        # The offset of version 2 is assigned again.
        deployment.write_configuration(version=3)
        await wait_until(
            lambda: node.gateway.routing_table.version == 3, "version 3 is applied", 2.5
        )
        await deployment.add_instance("i-4")
        await wait_until(lambda: count_usable(node) == 2, "i-4 is usable", 2.0)

    run_scenario(scenario)


def test_restarted_node_learns_departures_from_peers_after_a_restore():
    async def scenario(deployment):
        first = await start_deployment(deployment, "i-1", "i-2")
        deployment.store.take_backup()
        deployment.write_instance_record("i-1", state="draining")
        await wait_until(lambda: count_usable(first) == 1, "i-1 is not usable")
        deployment.store.remove("keyed.servers", "i-1")
        await wait_until(lambda: first.registry.get_server("i-1") is None, "i-1 is removed")
        await restore(deployment)
        second = await deployment.add_node("vm-2", wait_until_ready=False)
        await wait_until(lambda: second.ready, "the second node is ready")
        await wait_until(lambda: count_usable(second) == 1, "i-1 is not usable", 2.0)
        await asyncio.sleep(1.0)
        assert (count_usable(first), count_usable(second)) == (1, 1)

    run_scenario(scenario)


def test_server_that_the_restored_store_lacks_stays_usable_until_it_registers_again():
    async def scenario(deployment):
        node = await start_deployment(deployment, "i-1")
        deployment.store.take_backup()
        await deployment.add_instance("i-2")
        await wait_until(lambda: count_usable(node) == 2, "i-2 is usable")
        await restore(deployment)
        await wait_until(lambda: node.registry.position.timeline == 2, "the list is read", 3.0)
        assert count_usable(node) == 2
        deployment.write_instance_record("i-2")
        await asyncio.sleep(3.5)
        assert count_usable(node) == 2

    run_scenario(scenario)


TOPIC = "keyed.servers"


async def append_records(deployment, count):
    for number in range(count):
        deployment.store.put(TOPIC, f"i-{number}", b"x")


@pytest.mark.parametrize(
    ("records_after", "error"),
    [
        # the offset does not exist yet, or has been assigned again
        (0, RecordsTrimmedError),
        (1, StoreRestoredError),
    ],
)
def test_position_of_an_earlier_timeline_is_rejected(records_after, error):
    async def scenario(deployment):
        client = StoreClient(address=deployment.store_address)
        deployment.store.take_backup()
        await append_records(deployment, 1)
        batch = await client.read_latest(TOPIC)
        assert batch.end == StorePosition(1, 1)
        deployment.store.restore_backup()
        await append_records(deployment, records_after)
        with pytest.raises(error):
            await client.read_from(TOPIC, batch.end)
        assert client.timeline == 2
        await client.close()

    run_scenario(scenario)


def test_late_response_of_an_earlier_timeline_is_rejected():
    async def scenario(deployment):
        client = StoreClient(address=deployment.store_address)
        deployment.store.take_backup()
        position = (await client.read_latest(TOPIC)).end
        long_poll = asyncio.ensure_future(client.read_from(TOPIC, position, 0.5))
        await wait_until(lambda: deployment.store.waiting_long_polls == 1, "the poll waits")
        deployment.store.restore_backup()
        await append_records(deployment, 2)
        assert (await client.read_latest(TOPIC)).end == StorePosition(2, 2)
        with pytest.raises(StoreUnavailableError):
            await long_poll
        assert client.timeline == 2
        await client.close()

    run_scenario(scenario)


def test_append_returns_the_timeline_that_holds_the_record():
    async def scenario(deployment):
        client = StoreClient(address=deployment.store_address)
        deployment.store.take_backup()
        assert await client.append("keyed.nodes", "vm", b"x") == 1
        deployment.store.restore_backup()
        assert await client.append("keyed.nodes", "vm", b"x") == 2
        await client.close()

    run_scenario(scenario)
