"""Servers that send an earlier refusal once more on a connection that is used again.

A refusal promises that the request has not run, so that it may be sent to another server. It must
not be taken from a response to another request, also if that one had no id.
"""

import asyncio

import pytest

from tests.deployment import run_scenario
from tests.deployment import wait_until


async def start(deployment):
    deployment.write_configuration()
    instances = [await deployment.add_instance(name) for name in ("i-1", "i-2")]
    node = await deployment.add_node("vm-1")
    node.prober.max_probes_per_s = 0.0
    return node, instances


def get_loads(node):
    return node.gateway.dispatchers.get("fit", None).loads.values()


async def reject_probes(deployment, node, instances):
    """Let the connection to each instance carry a health check that is rejected."""
    for instance in instances:
        instance.behaviour.rejects_probes = True
    for load in get_loads(node):
        await node.prober.send_probe(node.gateway.dispatchers.get("fit", None), load)
        load.health_valid_until = float("inf")


async def reject_requests(deployment, node, instances):
    """Let the connection to each instance carry a request that is rejected without an id."""
    for instance in instances:
        instance.slots = instance.max_queued = 0
    status, _, _ = await deployment.send_request(node, "/order/1", method="POST")
    assert status == 503
    for instance in instances:
        instance.slots = instance.max_queued = 4


async def misdirect_requests(deployment, node, instances):
    """Let the connection to each instance carry a request for another instance."""
    names = [instance.instance_id for instance in instances]
    for instance in instances:
        instance.instance_id = f"other-{instance.instance_id}"
    status, _, _ = await deployment.send_request(node, "/order/1", method="POST")
    assert status == 503
    for instance, name in zip(instances, names, strict=True):
        instance.instance_id = name
        deployment.write_instance_record(name)
    await wait_until(lambda: node.registry.count_usable() == 2, "both instances are usable again")


@pytest.mark.parametrize(("path", "method"), [("/order/2", "POST"), ("/safe/2", "GET")])
@pytest.mark.parametrize("refuse", [reject_probes, reject_requests, misdirect_requests])
def test_repeated_refusal_is_not_taken_for_that_of_a_request_that_runs(refuse, path, method):
    """Guards against a request that runs twice, or is refused although it has run."""

    async def scenario(deployment):
        node, instances = await start(deployment)
        await refuse(deployment, node, instances)
        for load in get_loads(node):
            load.ejected_until = 0.0
        for instance in instances:
            instance.behaviour.fault = "repeated-refusal"
        for number in range(6):
            request_id = f"{refuse.__name__}-{number}"
            status, _, body = await deployment.send_request(
                node, path, method=method, request_id=request_id
            )
            assert deployment.count_runs(request_id) == 1
            assert status == 200
            assert body.startswith(request_id.encode())

    run_scenario(scenario)


def test_late_answer_of_a_probe_is_not_taken_for_that_of_a_request():
    """Guards against a true answer of a probe that arrives after a copy of an earlier one."""

    async def scenario(deployment):
        node, (instance, other) = await start(deployment)
        deployment.store.remove("keyed.servers", other.instance_id)
        await wait_until(lambda: node.registry.count_usable() == 1, "i-2 has left")
        instance.behaviour.reports_load = False
        instance.behaviour.work_s = 0.3
        (load,) = get_loads(node)
        dispatcher = node.gateway.dispatchers.get("fit", None)
        for _ in range(2):
            await node.prober.send_probe(dispatcher, load)
            await asyncio.sleep(0.05)
            probed = set(instance._writers)
            sent = asyncio.ensure_future(
                deployment.send_request(node, "/order/1", method="POST", request_id="late")
            )
            await wait_until(lambda: instance.running == 1, "the request runs")
            if len(instance.probe_times) == 2:
                # The second probe was answered by a copy of the response to the first one.
                for writer in probed & instance._writers:
                    instance._reject(writer, 503, ["Jasmineseam-Not-Executed: 1"])
            status, _, _ = await sent
            assert status == 200
        assert deployment.count_runs("late") == 2

    run_scenario(scenario)


def test_refusal_without_an_id_is_taken_on_a_connection_of_its_own():
    """A server may reject a request before it has read the id."""

    async def scenario(deployment):
        node, instances = await start(deployment)
        instances[0].slots = instances[0].max_queued = 0
        for number in range(4):
            request_id = f"first-{number}"
            status, _, _ = await deployment.send_request(
                node, "/order/1", method="POST", request_id=request_id
            )
            assert status == 200
            assert deployment.count_runs(request_id) == 1
            node.gateway.connections.close()

    run_scenario(scenario)
