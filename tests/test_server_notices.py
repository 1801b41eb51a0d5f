"""What servers say of themselves in responses: that they are leaving, or want no requests."""

import asyncio
import time

import logbook
import msgspec
import pytest

from jasmineseam.operations.node_settings import ProbeOptions
from standins.instance import InstanceBehaviour
from tests.deployment import NODE_OPTIONS
from tests.deployment import run_scenario
from tests.deployment import wait_until

WITHOUT_PROBES = msgspec.structs.replace(NODE_OPTIONS, probes=ProbeOptions(per_placement=0))


async def start_nodes(deployment, *instance_names, node_count=1, options=WITHOUT_PROBES):
    deployment.write_configuration()
    for name in instance_names:
        await deployment.add_instance(name)
    return [
        await deployment.add_node(f"vm-{number}", options=options) for number in range(node_count)
    ]


def list_usable_ids(node):
    return {registered.server.server_id for registered in node.registry.list_usable("fit")}


async def send_until_run_by(deployment, node, instance):
    async def send_requests():
        while not instance.request_headers:
            await asyncio.gather(*(deployment.send_request(node, "/safe/1") for _ in range(8)))

    async with asyncio.timeout(10.0):
        await send_requests()


async def wait_until_unused(deployment, node, name):
    """Send requests, for whose placement servers are probed, until a server is not used."""
    async with asyncio.timeout(10.0):
        while name in list_usable_ids(node):
            await deployment.send_request(node, "/safe/1")


async def wait_until_limited(deployment, node, name):
    """Send requests until a server's limit is known."""
    async with asyncio.timeout(5.0):
        while node.gateway.request_limits.get(name, 1) is None:
            await deployment.send_request(node, "/safe/1")


@pytest.mark.parametrize(
    ("source", "options"), [("response", WITHOUT_PROBES), ("health-check", NODE_OPTIONS)]
)
def test_server_that_reports_its_departure_gets_no_new_requests(source, options):
    async def scenario(deployment):
        first, second = await start_nodes(deployment, "i-1", "i-2", node_count=2, options=options)
        await wait_until(
            lambda: len(first.fleet.membership.list_live()) == 2, "the nodes are linked"
        )
        leaving = deployment.instances["i-1"]
        leaving.behaviour = InstanceBehaviour(leaving=True)
        if source == "response":
            await send_until_run_by(deployment, first, leaving)
        else:
            await wait_until_unused(deployment, first, "i-1")
        for node in (first, second):
            await wait_until(
                lambda node=node: list_usable_ids(node) == {"i-2"}, "i-1 is not used", 2.0
            )
        # The store still lists the server as ready, and goes on to do so.
        deployment.write_instance_record("i-1")
        await asyncio.sleep(0.8)
        count_before = len(leaving.request_headers)
        for node in (first, second):
            for _ in range(10):
                assert (await deployment.send_request(node, "/safe/1"))[0] == 200
        assert len(leaving.request_headers) == count_before
        # Only a restarted server is used again.
        leaving.behaviour = InstanceBehaviour()
        deployment.write_instance_record("i-1", born=2)
        for node in (first, second):
            await wait_until(
                lambda node=node: list_usable_ids(node) == {"i-1", "i-2"}, "i-1 is used", 2.0
            )

    run_scenario(scenario)


def test_departure_is_acted_on_while_the_store_is_down():
    async def scenario(deployment):
        (node,) = await start_nodes(deployment, "i-1", "i-2")
        deployment.store.behaviour.failure = "busy"
        deployment.instances["i-1"].behaviour = InstanceBehaviour(leaving=True)
        await send_until_run_by(deployment, node, deployment.instances["i-1"])
        await wait_until(lambda: list_usable_ids(node) == {"i-2"}, "i-1 is not used", 1.0)

    run_scenario(scenario)


def test_restarted_node_learns_a_reported_departure_from_its_peers():
    async def scenario(deployment):
        (first,) = await start_nodes(deployment, "i-1", "i-2")
        deployment.instances["i-1"].behaviour = InstanceBehaviour(leaving=True)
        await send_until_run_by(deployment, first, deployment.instances["i-1"])
        await wait_until(lambda: list_usable_ids(first) == {"i-2"}, "i-1 is not used", 1.0)
        second = await deployment.add_node("vm-9", wait_until_ready=False)
        await wait_until(lambda: second.ready, "the second node is ready")
        await wait_until(lambda: list_usable_ids(second) == {"i-2"}, "i-1 is not used", 2.0)

    run_scenario(scenario)


def test_server_with_a_retry_time_gets_no_requests_until_it_is_over():
    async def scenario(deployment):
        (node,) = await start_nodes(deployment, "i-1", "i-2")
        busy = deployment.instances["i-1"]
        busy.behaviour = InstanceBehaviour(retry_after_s=1.5)
        # without the retry time, i-1 would be the better choice
        deployment.instances["i-2"].behaviour = InstanceBehaviour(slowness_pct=900)
        statuses = []
        while not busy.rejection_times:
            statuses.append((await deployment.send_request(node, "/order/1", method="POST"))[0])
        rejected_at = busy.rejection_times[0]
        while time.monotonic() < rejected_at + 1.3:
            statuses.append((await deployment.send_request(node, "/safe/1"))[0])
            # The listing is replaced while the pause lasts.
            deployment.store.remove("keyed.servers", "i-1")
            deployment.write_instance_record("i-1")
            await asyncio.sleep(0.02)
        assert set(statuses) == {200}
        assert len(busy.rejection_times) == 1
        assert not [at for at in busy.probe_times if rejected_at + 0.5 < at < rejected_at + 1.3]
        busy.behaviour = InstanceBehaviour()
        await wait_until(
            lambda: "i-1" in node.gateway.dispatchers.get("fit").loads, "i-1 is listed"
        )
        count_before = len(busy.request_headers)
        async with asyncio.timeout(5.0):
            while len(busy.request_headers) == count_before:
                await deployment.send_request(node, "/safe/1")

    run_scenario(scenario)


def test_request_is_refused_with_the_retry_time_of_the_only_server():
    async def scenario(deployment):
        (node,) = await start_nodes(deployment, "i-1")
        deployment.instances["i-1"].behaviour = InstanceBehaviour(retry_after_s=5.0)
        for _ in range(2):
            status, headers, _ = await deployment.send_request(node, "/safe/1")
            assert status == 503
            assert 4.0 < float(headers["Retry-After"]) <= 5.0
        assert len(deployment.instances["i-1"].rejection_times) == 1

    run_scenario(scenario)


def test_restart_under_the_same_id_ends_the_pause_and_closes_connections():
    async def scenario(deployment):
        (node,) = await start_nodes(deployment, "i-1")
        instance = deployment.instances["i-1"]
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200
        instance.behaviour = InstanceBehaviour(retry_after_s=60.0)
        assert (await deployment.send_request(node, "/safe/1"))[0] == 503
        connections_before = instance.connection_count
        instance.behaviour = InstanceBehaviour()
        deployment.write_instance_record("i-1", born=2)
        await wait_until(
            lambda: node.gateway.dispatchers.get("fit").loads["i-1"].started_ms == 2,
            "the restart is known",
        )
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200
        assert instance.connection_count > connections_before

    run_scenario(scenario)


def test_silent_server_completes_its_running_request():
    """A server whose listing expires while it runs a request still answers it."""

    async def scenario(deployment):
        (node,) = await start_nodes(deployment, "i-1", "i-2")
        for instance in deployment.instances.values():
            instance.behaviour = InstanceBehaviour(work_s=1.2)
        request = asyncio.ensure_future(
            deployment.send_request(node, "/order/1", method="POST", request_id="o-1")
        )
        await wait_until(lambda: deployment.count_runs("o-1"), "the request is running")
        (name,) = [n for n, i in deployment.instances.items() if i.run_counts["o-1"]]
        deployment.store.remove("keyed.servers", name)
        await wait_until(lambda: node.registry.get_server(name) is None, "the server is removed")
        status, _, _ = await request
        assert (status, deployment.count_runs("o-1")) == (200, 1)

    run_scenario(scenario)


def test_request_limit_of_a_server_is_logged_when_it_is_named_moved_and_withdrawn():
    async def scenario(deployment):
        (node,) = await start_nodes(deployment, "i-1")
        for limit in (50.0, 20.0, None):
            deployment.instances["i-1"].behaviour = InstanceBehaviour(request_limit_per_s=limit)
            async with asyncio.timeout(5.0):
                while node.gateway.request_limits.get("i-1", 1) != limit:
                    await deployment.send_request(node, "/safe/1")

    with logbook.TestHandler() as handler:
        run_scenario(scenario)
    messages = [record.message for record in handler.records if record.channel == "limits"]
    assert [message for message in messages if "i-1" in message] == messages
    assert len(messages) == 3


def test_request_limit_is_kept_by_three_nodes_together():
    async def scenario(deployment):
        nodes = await start_nodes(deployment, "i-1", "i-2", node_count=3, options=NODE_OPTIONS)
        await wait_until(
            lambda: all(len(node.fleet.membership.list_live()) == 3 for node in nodes),
            "the nodes are linked",
        )
        limited = deployment.instances["i-1"]
        limited.behaviour = InstanceBehaviour(request_limit_per_s=2.0)
        await wait_until_limited(deployment, nodes[0], "i-1")
        await wait_until(
            lambda: all(node.gateway.request_limits.get("i-1", 1) for node in nodes),
            "all nodes know the limit",
        )
        count_before = len(limited.request_headers)
        started_at = time.monotonic()
        while time.monotonic() < started_at + 2.0:
            responses = await asyncio.gather(
                *(deployment.send_request(node, "/safe/1") for node in nodes)
            )
            assert {status for status, _, _ in responses} == {200}
        assert len(limited.request_headers) - count_before <= 1.5 * 2.0 * 2.0 + 5

    run_scenario(scenario)
