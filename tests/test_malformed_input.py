"""Malformed input from every side must neither end a node nor reach a caller as its answer."""

import asyncio
import contextlib
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from jasmineseam.exceptions import StoreUnavailableError
from jasmineseam.membership.nodes import NodeInfo
from jasmineseam.membership.registry import Departure
from jasmineseam.membership.registry import ServerChange
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.peers.messages import Ack
from jasmineseam.peers.messages import NodesRequest
from jasmineseam.peers.messages import Ping
from jasmineseam.peers.messages import PingRequest
from jasmineseam.peers.messages import ServersNotice
from jasmineseam.peers.messages import StateDigest
from jasmineseam.peers.messages import StateReply
from jasmineseam.peers.messages import StateRequest
from jasmineseam.peers.messages import Update
from jasmineseam.peers.messages import encode_message
from jasmineseam.platform import store_client
from standins.instance import InstanceBehaviour
from tests.deployment import run_scenario

MUTATIONS_PER_MESSAGE = 300


def mutate(data, rng):
    """Return a copy of some bytes with a few random changes."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(changed) + 1)
        kind = rng.random()
        if kind < 0.4 and position < len(changed):
            changed[position] = rng.randrange(256)
        elif kind < 0.6:
            changed[position:position] = rng.randbytes(rng.randint(1, 6))
        elif kind < 0.8:
            del changed[position : position + rng.randint(1, 8)]
        else:
            changed[position:position] = changed[position : position + rng.randint(1, 20)]
    return bytes(changed)


def make_messages(node):
    def make_info(vm_id, version):
        return NodeInfo(
            vm_id=vm_id,
            version=version,
            failure_domain="d1",
            entry_address="127.0.0.1:1",
            notice_address="127.0.0.1:2",
            peer_address="127.0.0.1:3",
            ready=True,
        )

    listing = node.registry.list_listings()[0]
    header = {
        "sender": make_info("vm-x", 7),
        "digest": StateDigest(5, 1, node.registry.position, 10),
    }
    begin = node.registry.position
    end = StorePosition(begin.timeline, begin.offset + 3)
    departure = Departure(server_id="i-9", started_ms=1)
    changes = [
        ServerChange(server_id="i-7", listing=listing),
        ServerChange(server_id="i-8", removed=departure),
    ]
    return [
        Ping(number=1, **header),
        Ack(number=1, answering_id="vm-x", suspected=True, **header),
        PingRequest(number=1, address="127.0.0.1:2", **header),
        NodesRequest(group_hashes=[1] * 16, **header),
        Update(
            nodes=[make_info("vm-y", 3), node.fleet.membership.own],
            suspected=[("vm-1", 2)],
            departures=[departure],
            servers=ServersNotice(begin=begin, end=end, changes=changes),
            **header,
        ),
        StateRequest(table_version=0, servers_position=begin),
        StateReply(table=b"x", servers_position=begin, servers_age_s=0.1),
    ]


@pytest.mark.parametrize("seed", [1, 2])
def test_malformed_datagrams_do_not_end_a_node(seed):
    async def scenario(deployment):
        rng = random.Random(seed)
        deployment.write_configuration()
        await deployment.add_instance("i-1")
        node = await deployment.add_node("vm-1")
        # States with versions above the own one raise it, so that the node stays heard.
        for message in make_messages(node):
            data = encode_message(message)
            for _ in range(MUTATIONS_PER_MESSAGE):
                node.datagrams.datagram_received(mutate(data, rng), ("127.0.0.1", 9))
            await asyncio.sleep(0)
        assert not node.crashed
        assert node.datagrams.dropped_by_reason["failed"] == 0
        encode_message(Ping(number=1, **node.fleet._get_header()))
        deployment.write_instance_record("i-1", born=5)
        assert (await deployment.send_request(node, "/safe/1"))[0] in (200, 503)

    run_scenario(scenario)


REQUEST = (
    b"POST /order/1 HTTP/1.1\r\nHost: fit.example\r\nJasmineseam-Request-Id: q-1\r\n"
    b"Jasmineseam-Deadline-Ms: 500\r\nContent-Length: 3\r\n\r\nabc"
)


def test_malformed_requests_do_not_end_a_node():
    async def scenario(deployment):
        rng = random.Random(3)
        deployment.write_configuration()
        await deployment.add_instance("i-1")
        node = await deployment.add_node("vm-1")
        host, _, port = node.settings.listeners.entry.rpartition(":")

        async def send(data):
            reader, writer = await asyncio.open_connection(host, int(port))
            with contextlib.suppress(OSError):
                writer.write(data)
                writer.write_eof()
                async with asyncio.timeout(3.0):
                    await reader.read()
            writer.close()

        for _ in range(10):
            await asyncio.gather(*(send(mutate(REQUEST, rng)) for _ in range(20)))
        assert not node.crashed
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


def test_malformed_responses_do_not_end_a_node_or_reach_another_caller():
    async def scenario(deployment):
        rng = random.Random(4)
        deployment.write_configuration()
        instance = await deployment.add_instance("i-1")
        node = await deployment.add_node("vm-1")
        for number in range(150):
            body = f"r-{number} by i-1".encode()
            response = (
                b"HTTP/1.1 200 OK\r\nJasmineseam-Response-Signature: 1.2.3\r\n"
                b"Jasmineseam-Request-Id: r-%d\r\nJasmineseam-Instance-Load: 1,0,4,100\r\n"
                b"Content-Length: %d\r\n\r\n" % (number, len(body))
            ) + body
            instance.behaviour = InstanceBehaviour(raw_response=mutate(response, rng))
            status, _, _ = await deployment.send_request(
                node, "/order/1", method="POST", request_id=f"r-{number}", deadline_ms=150
            )
            assert status in (200, 502, 503, 504)
            instance.behaviour = InstanceBehaviour()
            status, _, body = await deployment.send_request(
                node, "/safe/1", request_id=f"s-{number}"
            )
            if status == 200:
                assert body.startswith(f"s-{number} by i-1".encode())
        assert not node.crashed

    run_scenario(scenario)


@hypothesis.given(data=st.binary(max_size=200))
def test_malformed_records_of_the_store_raise_an_error_of_the_store(data):
    with contextlib.suppress(StoreUnavailableError):
        store_client._decode_records(data, StorePosition(1, 0))
    with contextlib.suppress(StoreUnavailableError):
        store_client._decode(data, store_client._LatestPage)


@hypothesis.given(text=st.text(max_size=30))
def test_any_timeline_header_is_a_number_or_ignored(text):
    assert store_client._parse_timeline(text, 7) >= 0
