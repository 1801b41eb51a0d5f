"""Requests that real nodes relay for a node whose paths to all servers are cut."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from jasmineseam.node.relays import _decode_headers
from jasmineseam.node.relays import _encode_headers
from jasmineseam.transport.connection_pool import ConnectionPool
from jasmineseam.transport.server_connection import open_connection
from standins.instance import InstanceBehaviour
from standins.path_proxy import PathProxy
from tests.deployment import run_scenario
from tests.deployment import wait_until
from tests.path_cuts import CUT_MODES
from tests.path_cuts import STABILITY_S

HANG = {"connecting": "hang", "established": "hang"}
RESET = {"connecting": "reset", "established": "break"}
INSTANCE_COUNT = 4


class ProxiedConnectionPool(ConnectionPool):
    """Connects to the proxies of one node in place of the instances."""

    def __init__(self, *, proxies):
        super().__init__()
        self._proxies = proxies

    async def _open(self, address, timeout_s):
        return await open_connection(self._proxies[address].address, timeout_s)


class CutNode:
    """A node whose paths to all instances can be cut."""

    def __init__(self, *, node, proxies):
        self.node = node
        self._proxies = proxies

    async def cut(self, **modes):
        """Cut the paths to all instances."""
        for proxy in self._proxies.values():
            proxy.cut(**modes)

    async def restore(self):
        for proxy in self._proxies.values():
            await proxy.restore()

    def has_lost_path(self):
        return self.node.path_checker.list_lost_services() == ["fit"]


@contextlib.asynccontextmanager
async def start_nodes(deployment, *, count=2, cut_count=1, **configuration):
    """Start nodes; yield those whose paths can be cut, and the others.

    :param configuration: fields of the routing configuration.
    """
    deployment.write_configuration(**configuration)
    for number in range(INSTANCE_COUNT):
        await deployment.add_instance(f"i-{number}")
    nodes = [await deployment.add_node(f"vm-{number}") for number in range(count)]
    cut_nodes = []
    for node in nodes[:cut_count]:
        proxies = {}
        for instance in deployment.instances.values():
            proxies[instance.address] = PathProxy(target=instance.address)
            await proxies[instance.address].start()
        node.gateway.attempts._server_client.connections = ProxiedConnectionPool(proxies=proxies)
        cut_nodes.append(CutNode(node=node, proxies=proxies))
    await wait_until(
        lambda: all(len(node.fleet.membership.list_live()) == count for node in nodes),
        "all nodes know each other",
    )
    # connections that are open when the cut begins
    await asyncio.gather(
        *(
            deployment.send_request(cut.node, f"/safe/{number}")
            for cut in cut_nodes
            for number in range(10)
        )
    )
    try:
        yield cut_nodes, nodes[cut_count:]
    finally:
        for cut in cut_nodes:
            for proxy in cut._proxies.values():
                proxy.stop()


async def lose_path(deployment, cut, headers=(), **modes):
    """Cut a node off, and wait until it relays.

    :param headers: headers of the requests that notice the cut.
    """
    await cut.cut(**modes)
    while not cut.has_lost_path():
        await deployment.send_request(cut.node, "/safe/1", **dict(headers))


@pytest.mark.parametrize("modes", CUT_MODES)
def test_node_that_is_cut_off_serves_its_callers_through_another_node(modes):
    async def scenario(deployment):
        async with start_nodes(deployment) as ((cut,), _):
            await cut.cut(**modes)
            found_out_by = time.monotonic() + STABILITY_S
            while time.monotonic() < found_out_by and not cut.has_lost_path():
                await deployment.send_request(cut.node, "/safe/1")
            ids = [f"{kind}-{number}" for kind in ("safe", "order") for number in range(20)]
            responses = await asyncio.gather(
                *(
                    deployment.send_request(
                        cut.node, f"/{request_id.partition('-')[0]}/1", request_id=request_id
                    )
                    for request_id in ids
                )
            )
            for request_id, (status, headers, body) in zip(ids, responses, strict=True):
                assert status == 200, request_id
                assert headers["Jasmineseam-Response-Signature"] == "1.2.3"
                assert body.startswith(request_id.encode())
                if request_id.startswith("order"):
                    assert deployment.count_runs(request_id) == 1
            await cut.restore()
            await wait_until(lambda: not cut.has_lost_path(), "the path is back")
            status, _, _ = await deployment.send_request(cut.node, "/order/2")
            assert status == 200

    run_scenario(scenario)


@pytest.mark.parametrize("modes", [HANG, RESET])
def test_request_is_refused_at_once_if_no_node_reaches_a_server(modes):
    async def scenario(deployment):
        async with start_nodes(deployment, cut_count=2) as (cut_nodes, _):
            for cut in cut_nodes:
                await lose_path(deployment, cut, **modes)
            for path in ("/safe/1", "/order/1"):
                started_at = time.monotonic()
                status, headers, _ = await deployment.send_request(cut_nodes[0].node, path)
                assert (status, time.monotonic() - started_at < 0.3) == (503, True)
                assert 0.0 < float(headers["Retry-After"]) <= 2.0
            assert not any(
                cut.node.gateway.attempts.quarantine.list_reports() for cut in cut_nodes
            )

    run_scenario(scenario)


def test_relayed_request_is_cancelled_when_its_caller_leaves():
    async def scenario(deployment):
        async with start_nodes(deployment) as ((cut,), _):
            await lose_path(deployment, cut, **RESET)
            for instance in deployment.instances.values():
                instance.behaviour = InstanceBehaviour(work_s=5.0)
            request = asyncio.create_task(
                deployment.send_request(
                    cut.node, "/order/1", request_id="left-1", deadline_ms=9000
                )
            )
            await wait_until(lambda: deployment.count_runs("left-1") == 1, "the request runs")
            request.cancel()
            await wait_until(
                lambda: any(
                    "left-1" in instance.cancelled_requests
                    for instance in deployment.instances.values()
                ),
                "the server has cancelled the request",
                timeout_s=0.5,
            )

    run_scenario(scenario)


def test_relayed_request_has_the_deadline_of_its_caller():
    async def scenario(deployment):
        async with start_nodes(deployment) as ((cut,), _):
            await lose_path(deployment, cut, **RESET)
            for instance in deployment.instances.values():
                instance.behaviour = InstanceBehaviour(work_s=5.0)
            started_at = time.monotonic()
            status, _, _ = await deployment.send_request(
                cut.node, "/order/1", request_id="late-1", deadline_ms=600
            )
            assert status == 504
            assert time.monotonic() - started_at < 0.9
            (sent,) = [
                headers
                for instance in deployment.instances.values()
                for headers in instance.request_headers
                if headers["jasmineseam-request-id"] == "late-1"
            ]
            assert 0 < int(sent["jasmineseam-deadline-ms"]) < 600

    run_scenario(scenario)


def test_node_that_stops_finishes_the_requests_that_it_relays():
    async def scenario(deployment):
        async with start_nodes(deployment) as ((cut,), (other,)):
            await lose_path(deployment, cut, **RESET)
            for instance in deployment.instances.values():
                instance.behaviour = InstanceBehaviour(work_s=1.2)
            request = asyncio.create_task(
                deployment.send_request(cut.node, "/order/1", request_id="last-1")
            )
            await wait_until(lambda: deployment.count_runs("last-1") == 1, "the request runs")
            stop = asyncio.create_task(other.stop_gracefully())
            status, _, _ = await request
            assert status == 200
            # A node that is stopping takes no further requests.
            status, headers, _ = await deployment.send_request(cut.node, "/order/2")
            assert (status, "Retry-After" in headers) == (503, True)
            await stop

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/order/1", "/safe/1"])
def test_outcome_is_unknown_if_the_relaying_node_is_lost(path):
    async def scenario(deployment):
        async with start_nodes(deployment) as ((cut,), (other,)):
            await lose_path(deployment, cut, **RESET)
            for instance in deployment.instances.values():
                instance.behaviour = InstanceBehaviour(work_s=1.5)
            request = asyncio.create_task(
                deployment.send_request(cut.node, path, request_id="lost-1")
            )
            await wait_until(lambda: deployment.count_runs("lost-1") == 1, "the request runs")
            deployment.nodes.remove(other)
            await other.stop()
            status, _, _ = await request
            assert status in (502, 504)

    run_scenario(scenario)


def test_large_bodies_are_relayed_whole():
    async def scenario(deployment):
        async with start_nodes(deployment) as ((cut,), _):
            await lose_path(deployment, cut, **RESET)
            for instance in deployment.instances.values():
                instance.response_bytes = 3_000_000
            body = bytes(range(256)) * 100
            status, _, received = await deployment.send_request(
                cut.node, "/order/1", method="POST", body=body, request_id="large-1"
            )
            assert (status, len(received)) == (200, 3_000_000)
            assert any(
                body in instance.request_bodies for instance in deployment.instances.values()
            )

    run_scenario(scenario)


def test_headers_that_are_not_utf_8_are_relayed_unchanged():
    raw = [(b"X-Name", b"K\xfcche"), (b"x-name", b"\xff\xfe"), (b"Accept", b"*/*")]
    headers = _decode_headers(raw)
    assert _encode_headers(headers) == raw
    assert headers.getall("X-Name") == ["K\udcfcche", "\udcff\udcfe"]


def test_open_keepalive_connection_of_a_caller_is_served_through_another_node():
    async def scenario(deployment):
        async with start_nodes(deployment) as ((cut,), _):
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                url = f"http://{cut.node.settings.listeners.entry}/safe/1"
                await cut.cut(**RESET)
                for number in range(10):
                    headers = {
                        "Host": "fit.example",
                        "Jasmineseam-Request-Id": f"kept-{number}",
                        "Jasmineseam-Deadline-Ms": "1500",
                    }
                    async with session.get(url, headers=headers) as response:
                        assert response.status == 200
                        assert (await response.read()).startswith(f"kept-{number}".encode())

    run_scenario(scenario)
