"""Large request bodies: refusal before they are read, memory, servers that answer early."""

import asyncio
import contextlib
import time

import pytest

from jasmineseam.exceptions import NotRunError
from jasmineseam.transport import caller_connections
from jasmineseam.transport import request_body
from jasmineseam.transport.request_body import HeldBodies
from standins.configuration import DEFAULT_LIMITS
from standins.configuration import build_route
from tests.deployment import run_scenario
from tests.deployment import wait_until

MB = 1_000_000
ROUTES = [
    build_route("/safe/"),
    build_route("/order/", kind="unsafe"),
    build_route("/upload/", kind="upload", timeout="3300ms"),
    build_route("/other/", kind="upload", service="other"),
]
KEY = "k-alpha-5e1c"
LIMITS = {**DEFAULT_LIMITS, "max-body-bytes": 20 * MB}


async def start_node(deployment, *names, limits=LIMITS, tenants=()):
    deployment.write_configuration(routes=ROUTES, limits=limits, tenants=tenants)
    for name in names:
        await deployment.add_instance(name)
    return await deployment.add_node("vm-1")


async def connect(node):
    host, _, port = node.settings.listeners.entry.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def build_head(path, *headers, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: fit.example", *headers, "", ""]
    return "\r\n".join(lines).encode()


async def send_forever(writer):
    """Send a body as fast as the node reads it, until it closes the connection."""
    sent = 0
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(b"x" * 65_536)
            await writer.drain()
            sent += 65_536
            await asyncio.sleep(0)


def refuse_route(deployment, node):
    return "/nowhere/1", []


def refuse_key(deployment, node):
    return "/upload/1", ["Authorization: Bearer k-unknown"]


def refuse_size(deployment, node):
    return "/upload/1", [f"Authorization: Bearer {KEY}", "Content-Length: 30000000"]


def refuse_without_server(deployment, node):
    return "/other/1", [f"Authorization: Bearer {KEY}"]


def refuse_evacuated(deployment, node):
    node.registry.set_evacuated(frozenset({"d1"}))
    return "/upload/1", [f"Authorization: Bearer {KEY}"]


def refuse_quota(deployment, node):
    async def refuse(account):
        raise NotRunError("quota", 429, 0.5)

    node.gateway.take_token = refuse
    return "/upload/1", [f"Authorization: Bearer {KEY}"]


def refuse_overload(deployment, node):
    dispatcher = node.gateway.dispatchers.get("fit")
    dispatcher.count_queued = lambda: 2000
    dispatcher.has_suitable_server = lambda request: False
    return "/upload/1", [f"Authorization: Bearer {KEY}"]


@pytest.mark.parametrize("framing", ["Content-Length: 9000000", "Transfer-Encoding: chunked"])
@pytest.mark.parametrize(
    ("refuse", "status"),
    [
        (refuse_route, 404),
        (refuse_key, 401),
        (refuse_size, 413),
        (refuse_without_server, 503),
        (refuse_evacuated, 503),
        (refuse_quota, 429),
        (refuse_overload, 503),
    ],
)
def test_refusal_does_not_wait_for_the_body(refuse, status, framing):
    """Guards against receiving megabytes of a request that is refused in any case."""

    async def scenario(deployment):
        tenants = [{"name": "alpha", "api-keys": [KEY]}]
        node = await start_node(deployment, "i-1", tenants=tenants)
        path, headers = refuse(deployment, node)
        if not any(header.startswith("Content-Length") for header in headers):
            headers = [*headers, framing]
        reader, writer = await connect(node)
        writer.write(build_head(path, *headers))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 0.5)
        assert int(head.split()[1]) == status
        # The caller learns that it need not send the rest.
        assert b"connection: close" in head.lower()
        assert not deployment.instances["i-1"].run_counts
        assert node.gateway.held_bodies.size == 0
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("queued", [1, 2000])
def test_upload_is_not_refused_while_a_server_is_free(queued):
    """Guards against refusing an urgent request because of others, which it precedes."""

    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        dispatcher = node.gateway.dispatchers.get("fit")
        dispatcher.count_queued = lambda: queued
        dispatcher.estimate_wait_s = lambda: 60.0
        status, _, _ = await deployment.send_request(
            node, "/upload/1", method="POST", body=b"x" * MB
        )
        assert status == 200

    run_scenario(scenario)


def test_refused_caller_that_is_still_sending_gets_the_response(monkeypatch):
    """Guards against a reset that overtakes the response, and against a body without end."""
    monkeypatch.setattr(caller_connections, "LINGERING_TIME_S", 0.5)

    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        reader, writer = await connect(node)
        started_at = time.monotonic()
        writer.write(build_head("/nowhere/1", "Content-Length: 999999999999"))
        sending = asyncio.ensure_future(send_forever(writer))
        await asyncio.sleep(0.3)
        # only now the caller looks for a response
        received = await asyncio.wait_for(reader.read(), 1.0)
        assert received.startswith(b"HTTP/1.1 404")
        assert received.endswith(b"no-route\n")
        await asyncio.wait_for(sending, 2.0)
        assert 0.4 < time.monotonic() - started_at < 1.5
        server = node._listeners.caller_server
        await wait_until(lambda: not server.connections, "the connection is closed")

    run_scenario(scenario)


def test_small_refused_body_leaves_the_connection_open():
    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        reader, writer = await connect(node)
        writer.write(build_head("/nowhere/1", "Content-Length: 5000"))
        head = await asyncio.wait_for(reader.readuntil(b"no-route\n"), 0.5)
        assert head.startswith(b"HTTP/1.1 404")
        writer.write(b"x" * 5000 + build_head("/safe/1", method="GET"))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 0.5)
        assert head.startswith(b"HTTP/1.1 200")
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("framing", ["Content-Length: 9000000", "Transfer-Encoding: chunked"])
def test_large_body_beyond_the_memory_bound_is_refused_at_once(framing):
    """Guards against a node that runs out of memory because of many uploads."""

    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        node.gateway.held_bodies = HeldBodies(max_bytes=10 * MB, reserve_bytes=MB)
        first_reader, first = await connect(node)
        first.write(build_head("/upload/1", "Content-Length: 5000000"))
        await wait_until(lambda: node.gateway.held_bodies.size == 5 * MB, "the first is held")
        reader, writer = await connect(node)
        writer.write(build_head("/upload/2", framing))
        if "chunked" in framing:
            writer.write(b"%x\r\n" % (9 * MB) + b"x" * 8 * MB)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
        assert head.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: " in head
        assert await reader.readexactly(12) == b"body-memory\n"
        status, _, _ = await deployment.send_request(
            node, "/order/1", method="POST", body=b"y" * 1000
        )
        assert status == 200
        first.write(b"x" * 5 * MB)
        head = await asyncio.wait_for(first_reader.readuntil(b"\r\n\r\n"), 2.0)
        assert head.startswith(b"HTTP/1.1 200")
        await wait_until(lambda: node.gateway.held_bodies.size == 0, "nothing is held")
        for each in (first, writer):
            each.close()

    run_scenario(scenario)


def test_body_of_a_caller_that_leaves_is_not_held():
    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        returned = []
        node.gateway.take_token = take_token
        node.gateway.give_back_token = returned.append
        _, writer = await connect(node)
        writer.write(build_head("/upload/1", "Content-Length: 5000000") + b"x" * 1000)
        await wait_until(lambda: node.gateway.held_bodies.size == 5 * MB, "it is held")
        writer.close()
        await wait_until(lambda: node.gateway.held_bodies.size == 0, "nothing is held")
        await wait_until(lambda: returned == ["token"], "the token is returned")

    run_scenario(scenario)


async def take_token(account):
    return "token"


@pytest.mark.parametrize("body", ["slow", "malformed", "too-large"])
def test_token_of_a_body_that_does_not_arrive_is_returned(body):
    """Guards against a quota that is used up by requests that never run."""

    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        returned = []
        node.gateway.take_token = take_token
        node.gateway.give_back_token = returned.append
        reader, writer = await connect(node)
        framing = "Content-Length: 5000" if body == "slow" else "Transfer-Encoding: chunked"
        writer.write(build_head("/upload/1", framing, "Jasmineseam-Deadline-Ms: 200"))
        await wait_until(lambda: node.gateway.in_flight, "the head is read")
        if body == "malformed":
            writer.write(b"no size\r\n")
        if body == "too-large":
            writer.write(b"%x\r\n" % (21 * MB) + b"x" * 21 * MB)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
        assert int(head.split()[1]) in (400, 408, 413)
        assert returned == ["token"]
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("body_bytes", [20, 100_000, 12 * MB])
@pytest.mark.parametrize("reads_later", [True, False])
def test_server_that_answers_before_it_has_read_the_body(body_bytes, reads_later):
    """Guards against the bytes of another request on a connection whose body is not read."""

    async def scenario(deployment):
        node = await start_node(deployment, "i-1")
        instance = deployment.instances["i-1"]
        received = []

        async def answer(reader, writer, connection):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            connection.append(head.partition(" HTTP")[0])
            headers = dict(line.lower().split(": ") for line in head.splitlines()[1:] if line)
            id_header = f"Jasmineseam-Request-Id: {headers.get('jasmineseam-request-id', '')}"
            early = "/upload/" in head
            if not early:
                await reader.readexactly(int(headers.get("content-length", "0")))
            status = 413 if early else 200
            writer.write(instance._build_response(status, [id_header], b"done", signed=True))
            if early and not reads_later:
                await asyncio.sleep(1.0)
            await reader.readexactly(body_bytes if early else 0)

        async def serve(reader, writer):
            connection = []
            received.append(connection)
            try:
                while True:
                    await answer(reader, writer, connection)
            except (OSError, asyncio.IncompleteReadError):
                return
            finally:
                writer.close()

        await instance.stop()
        host, _, port = instance.address.rpartition(":")
        server = await asyncio.start_server(serve, host, int(port))
        started_at = time.monotonic()
        status, _, body = await deployment.send_request(
            node, "/upload/1", method="POST", body=b"x" * body_bytes
        )
        assert (status, body) == (413, b"done")
        assert time.monotonic() - started_at < 0.5
        for _ in range(3):
            status, _, _ = await deployment.send_request(
                node, "/order/2", method="POST", body=b"z"
            )
            assert status == 200
        (connection,) = [each for each in received if "POST /upload/1" in each]
        assert connection[-1] == "POST /upload/1"
        # The others share a connection.
        assert any(each.count("POST /order/2") == 3 for each in received)
        server.close()

    run_scenario(scenario)


def test_held_bodies_accept_one_large_body_and_keep_a_reserve():
    held = HeldBodies(max_bytes=4 * MB, reserve_bytes=MB)
    huge, other = held.open(), held.open()
    huge.grow(9 * MB)
    with pytest.raises(NotRunError):
        other.grow(2 * MB)
    other.grow(60_000)
    huge.close()
    other.grow(2 * MB)
    small = [held.open() for _ in range(40)]
    for body in small[:30]:
        body.grow(60_000)
    with pytest.raises(NotRunError):
        for body in small[30:]:
            body.grow(60_000)
    for body in (*small, other):
        body.close()
    assert held.size == 0
    assert request_body.SMALL_BODIES_RESERVE_BYTES < request_body.MAX_HELD_BODY_BYTES
