"""Servers and callers that send without end: bounded memory and time, and a true outcome."""

import asyncio
import pathlib
import resource
import time

import pytest

from jasmineseam.node import server_client
from standins.instance import InstanceBehaviour
from tests.deployment import run_scenario
from tests.deployment import wait_until

FAULTS = [
    "endless-line",
    "endless-head",
    "endless-interim",
    "endless-sized",
    "endless-chunked",
    "endless-unframed",
    "endless-trailer",
    "endless-other",
]
LIMIT_BYTES = 4 * 1024 * 1024


async def start_node(deployment, *names):
    deployment.write_configuration()
    for name in names:
        await deployment.add_instance(name)
    return await deployment.add_node("vm-1")


def read_memory_bytes():
    """Return the resident memory of this process, which runs both the node and the servers."""
    resident_pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return resident_pages * resource.getpagesize()


@pytest.fixture
def small_limits(monkeypatch):
    """Reduce the size limits, so that the tests move less data."""
    monkeypatch.setattr(server_client, "MAX_RESPONSE_BYTES", LIMIT_BYTES)
    monkeypatch.setattr(server_client, "MAX_BUFFERED_BYTES", 3 * LIMIT_BYTES)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("pause_s", [0.0, 1.0])
def test_endless_response_ends_with_a_true_outcome(small_limits, fault, pause_s):
    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        deployment.instances["i-1"].behaviour = InstanceBehaviour(
            fault=fault, endless_pause_s=pause_s
        )
        started_at = time.monotonic()
        status, _, body = await deployment.send_request(
            node, "/order/1", method="POST", request_id="o-1"
        )
        # the route's timeout is 1.5 s
        assert time.monotonic() - started_at < 2.0
        assert status in (502, 504)
        assert len(body) < 100
        (line,) = [line for line in node.lines if line.get("id") == "o-1"]
        (attempt,) = line["tried"]
        assert attempt.split(":")[1] not in ("cancelled", "200")
        await wait_until(
            lambda: (
                not deployment.instances["i-1"]._writers
                or all(w.transport.is_closing() for w in deployment.instances["i-1"]._writers)
                or node.gateway.connections.count_idle() <= 1
            ),
            "the connection is closed",
        )

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["endless-sized", "endless-head", "endless-chunked"])
def test_a_hundred_endless_responses_use_bounded_memory(small_limits, fault):
    async def scenario(deployment):
        node = await start_node(deployment, "i-1", "i-2")
        bad = deployment.instances["i-1"]
        bad.slots = 200
        bad._free_slots = asyncio.Semaphore(200)
        deployment.write_instance_record("i-1")
        deployment.write_instance_record("i-2", state="draining")
        await wait_until(lambda: node.registry.count_usable() == 1, "only i-1 is usable")
        bad.behaviour = InstanceBehaviour(fault=fault)
        bytes_before = read_memory_bytes()
        requests = [
            asyncio.ensure_future(
                deployment.send_request(node, "/order/1", method="POST", deadline_ms=1500)
            )
            for _ in range(100)
        ]
        peak_bytes = 0
        while not all(request.done() for request in requests):
            await asyncio.sleep(0.02)
            peak_bytes = max(peak_bytes, read_memory_bytes() - bytes_before)
        statuses = {status for status, _, _ in await asyncio.gather(*requests)}
        assert statuses <= {502, 503, 504}
        # 12 MB of bodies, and the read buffers of both ends of 100 connections
        assert peak_bytes < 140_000_000
        bad.behaviour = InstanceBehaviour()
        deployment.write_instance_record("i-2")
        await wait_until(lambda: node.registry.count_usable() == 2, "i-2 is usable")
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


def test_endless_responses_do_not_cost_other_responses():
    async def scenario(deployment):
        node = await start_node(deployment, "i-1", "i-2")
        deployment.instances["i-1"].behaviour = InstanceBehaviour(fault="endless-unframed")
        responses = await asyncio.gather(
            *(deployment.send_request(node, "/safe/1") for _ in range(20))
        )
        for status, _, body in responses:
            assert status in (200, 502, 503, 504)
            assert status != 200 or len(body) == 32
        assert [status for status, _, _ in responses].count(200) > 0

    run_scenario(scenario)


@pytest.mark.parametrize("block", [b"x", b"X-More: 1\r\n"])
def test_endless_request_head_is_rejected(block):
    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        host, _, port = node.settings.listeners.entry.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /safe/1 HTTP/1.1\r\nHost: fit.example\r\nX-Long: ")
        sent_bytes = 0
        started_at = time.monotonic()
        try:
            while sent_bytes < 64 * 1024 * 1024:
                writer.write(block * (65_536 // len(block)))
                sent_bytes += 65_536
                await writer.drain()
        except OSError:
            pass
        assert sent_bytes < 32 * 1024 * 1024
        assert time.monotonic() - started_at < 3.0
        writer.close()
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)
