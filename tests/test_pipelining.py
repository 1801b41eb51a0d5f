"""Pipelined requests: read ahead within bounds, responses in order, and what closes cancel."""

import asyncio
import contextlib
import re
import time

import pytest
from aiohttp import web

from jasmineseam.transport import caller_connections
from jasmineseam.transport.caller_connections import CallerServer
from standins.configuration import build_route
from standins.instance import _reset_connection
from tests.deployment import run_scenario
from tests.deployment import wait_until

ROUTES = [
    build_route("/safe/"),
    build_route("/slow/", service="other"),
    build_route("/order/", kind="unsafe"),
]


class Handler:
    """Handles a request as its path says: ``/<name>/<kind>/<seconds>``, and records it.

    Requests of the kind ``once`` may run at most once; the response to ``close`` closes the
    connection; ``drain`` marks the connection as one of a node that stops.
    """

    def __init__(self):
        self.started = []
        self.ended = []
        self.cancelled = []

    async def handle(self, request):
        connection = request.protocol
        _, name, kind, seconds = request.path.split("/")
        connection.begin_request()
        self.started.append(name)
        try:
            await asyncio.sleep(float(seconds))
            response = web.Response(text=name)
            if kind == "close":
                response.force_close()
            if kind == "drain":
                connection.close_after_pending()
            self.ended.append(name)
            return response
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        finally:
            connection.end_request()


def get_read_ahead_bytes(message):
    return None if "/once/" in message.path else 1000


def build_requests(*names, kind="safe", seconds=0.1, headers=()):
    lines = ["Host: h", *headers, "", ""]
    return b"".join(
        f"GET /{name}/{kind}/{seconds} HTTP/1.1\r\n".encode() + "\r\n".join(lines).encode()
        for name in names
    )


async def read_responses(reader, timeout_s=2.0):
    """Return the status and body of each response until the end of the connection."""
    received = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(timeout_s):
            while chunk := await reader.read(65_536):
                received += chunk
    return [
        (int(status), body.decode())
        for status, body in re.findall(
            rb"HTTP/1\.[01] (\d{3}) .*?\r\n\r\n([^H]*)", received, re.DOTALL
        )
    ]


def run(scenario):
    """Run a scenario with a server of callers' connections, without a node."""

    async def run_with_server():
        handler = Handler()
        server = CallerServer(
            handler.handle,
            get_read_ahead_bytes=get_read_ahead_bytes,
            access_log=None,
            max_field_size=65_536,
        )
        runner = web.ServerRunner(server, access_log=None, shutdown_timeout=0.05)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        try:
            await scenario(server, handler, reader, writer)
        finally:
            writer.close()
            await runner.cleanup()

    asyncio.run(run_with_server())


def test_idempotent_requests_run_concurrently_and_are_answered_in_order():
    """Guards against a slow request that delays all behind it, and against swapped responses."""

    async def scenario(server, handler, reader, writer):
        started_at = time.monotonic()
        writer.write(
            build_requests("a", seconds=0.3)
            + build_requests("b", seconds=0.05)
            + build_requests("c", seconds=0.2, headers=["Connection: close"])
        )
        assert await read_responses(reader) == [(200, "a"), (200, "b"), (200, "c")]
        assert time.monotonic() - started_at < 0.45
        assert handler.ended == ["b", "c", "a"]

    run(scenario)


@pytest.mark.parametrize(
    ("limits", "header", "most"),
    [
        ({"MAX_READ_AHEAD_REQUESTS": 2}, "x", 3),
        ({"MAX_READ_AHEAD_BYTES": 2500}, "x" * 1000, 3),
        ({"MAX_READ_AHEAD_BYTES": 500}, "x" * 1000, 1),
        ({"MAX_EARLY_RESPONSE_BYTES": 2500}, "x", 3),
    ],
)
def test_read_ahead_is_bounded_for_each_connection(monkeypatch, limits, header, most):
    """Guards against one connection that takes all slots or much memory of a node."""
    for name, value in limits.items():
        monkeypatch.setattr(caller_connections, name, value)

    async def scenario(server, handler, reader, writer):
        names = [str(number) for number in range(60)]
        writer.write(build_requests(*names, seconds=0.02, headers=[f"X-Long: {header}"]))
        running = 0
        while len(handler.ended) < len(names):
            running = max(running, len(handler.started) - len(handler.ended))
            await asyncio.sleep(0.001)
        assert running == most
        assert [body for _, body in await read_responses(reader, 0.3)] == names

    run(scenario)


def test_queued_requests_use_bounded_memory():
    """Guards against a caller that fills the memory behind a request that takes long."""

    async def scenario(server, handler, reader, writer):
        writer.write(build_requests("a", kind="once", seconds=0.5))
        (connection,) = await wait_for_connections(server)
        large = build_requests("b", seconds=0, headers=["X-Long: " + "x" * 50_000])
        writer.write(large * 400)
        await asyncio.sleep(0.2)
        held = sum(len(value) for m, _ in connection._messages for _, value in m.raw_headers)
        assert held < 3 * caller_connections.MAX_READ_AHEAD_BYTES
        assert not connection.is_idle(0.0)
        responses = await read_responses(reader, 5.0)
        assert responses == [(200, "a"), *([(200, "b")] * 400)]

    run(scenario)


async def wait_for_connections(server):
    await wait_until(lambda: server.connections, "the connection is accepted")
    return server.connections


def test_nothing_behind_an_at_most_once_request_starts_before_its_response():
    async def scenario(server, handler, reader, writer):
        writer.write(
            build_requests("a", seconds=0.1)
            + build_requests("b", kind="once", seconds=0.1)
            + build_requests("c", "d", seconds=0.05)
        )
        await wait_until(lambda: handler.started == ["a"], "a is started")
        await asyncio.sleep(0.05)
        assert handler.started == ["a"]
        await wait_until(lambda: "b" in handler.started, "b is started")
        # more data arrives while b runs
        writer.write(build_requests("e", seconds=0.05, headers=["Connection: close"]))
        await asyncio.sleep(0.05)
        assert handler.started == ["a", "b"]
        responses = await read_responses(reader)
        assert [body for _, body in responses] == ["a", "b", "c", "d", "e"]

    run(scenario)


@pytest.mark.parametrize("later_s", [0.0, 0.3])
def test_requests_behind_a_closing_response_do_not_run_afterwards(later_s):
    """Guards against requests that run although their caller sends them again elsewhere."""

    async def scenario(server, handler, reader, writer):
        writer.write(
            build_requests("a", kind="close", seconds=0.1)
            + build_requests("b", seconds=later_s)
            + build_requests("c", kind="once", seconds=0)
            + build_requests("d", seconds=0)
        )
        assert await read_responses(reader) == [(200, "a")]
        assert handler.started == ["a", "b"]
        await asyncio.sleep(0.05)
        assert handler.cancelled == (["b"] if later_s else [])
        writer.write(build_requests("e"))
        await asyncio.sleep(0.4)
        assert handler.started == ["a", "b"]
        assert handler.ended == ["a"] if later_s else ["b", "a"]

    run(scenario)


def test_requests_behind_a_protocol_error_do_not_run():
    async def scenario(server, handler, reader, writer):
        writer.write(build_requests("a", "b", seconds=0.1))
        await asyncio.sleep(0.02)
        writer.write(b"no request at all\r\n\r\n" + build_requests("c"))
        statuses = [status for status, _ in await read_responses(reader)]
        assert statuses == [200, 200, 400]
        assert handler.started == ["a", "b"]

    run(scenario)


def test_planned_stop_answers_all_requests_that_were_received():
    """Guards against a stop that closes a connection with requests that it has read."""

    async def scenario(server, handler, reader, writer):
        writer.write(
            build_requests("a", kind="drain", seconds=0.1)
            + build_requests("b", seconds=0.3)
            + build_requests("c", kind="once", seconds=0)
        )
        await asyncio.sleep(0.2)
        writer.write(build_requests("d", seconds=0))
        server.close_idle_connections(0.0)
        assert await read_responses(reader) == [(200, "a"), (200, "b"), (200, "c"), (200, "d")]
        assert handler.started == ["a", "b", "c", "d"]
        assert not handler.cancelled

    run(scenario)


@pytest.mark.parametrize(
    ("flood_count", "close"),
    [
        (0, asyncio.StreamWriter.close),
        (0, _reset_connection),
        (7, asyncio.StreamWriter.close),
        (7, _reset_connection),
        (99, _reset_connection),
    ],
)
def test_close_by_the_caller_cancels_all_requests(flood_count, close):
    """Guards against work for a caller that left, also while the node does not read from it.

    The end of a connection with more data than the node's kernel holds is not sent.
    """
    flood = build_requests("z", headers=["X: " + "x" * 50_000]) * flood_count

    async def scenario(server, handler, reader, writer):
        writer.write(build_requests("a", "b", seconds=5.0))
        writer.write(build_requests("c", kind="once", seconds=5.0) + flood)
        await wait_until(lambda: handler.started == ["a", "b"], "both are started")
        await asyncio.sleep(0.1)
        close(writer)
        await asyncio.sleep(0.1)
        server.close_left_connections()
        await wait_until(lambda: sorted(handler.cancelled) == ["a", "b"], "both are cancelled")
        assert handler.started == ["a", "b"]

    run(scenario)


def test_idle_close_spares_requests_that_are_queued_or_answered_early():
    async def scenario(server, handler, reader, writer):
        writer.write(build_requests("a", seconds=0.3) + build_requests("b", seconds=0))
        await wait_until(lambda: handler.started, "a is started")
        for _ in range(40):
            server.close_idle_connections(0.0)
            await asyncio.sleep(0.005)
        assert await read_responses(reader, 0.5) == [(200, "a"), (200, "b")]
        server.close_idle_connections(0.0)
        assert await reader.read() == b""

    run(scenario)


@pytest.mark.parametrize("before", [b"", build_requests("a", seconds=0.4)])
@pytest.mark.parametrize("together", [True, False])
def test_slow_head_keeps_its_time_limit(before, together):
    """Guards against a head without end, also behind a pending request."""

    async def scenario(server, handler, reader, writer):
        parts = [before, b"GET /b/safe/0 HTTP/1.1\r\nHost"]
        for part in [b"".join(parts)] if together else parts:
            writer.write(part)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        server.time_out_slow_heads(0.1)
        writer.write(b": h\r\n\r\n")
        responses = await read_responses(reader)
        if before:
            assert responses == [(200, "a")]
            assert handler.started == ["a"]
        else:
            assert responses == [(408, "")]
        writer.close()
        await wait_until(lambda: not server.connections, "the connection is closed")

    run(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        build_requests("a", "b", seconds=0.3),
        b"POST /a/safe/0.3 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n01234",
        b"POST /a/once/0.3 HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n01234",
        b"POST /a/safe/0.3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\nx\r\n0\r\n\r\n",
    ],
)
def test_complete_heads_and_bodies_are_not_taken_for_slow_heads(sent):
    async def scenario(server, handler, reader, writer):
        writer.write(sent)
        await asyncio.sleep(0.1)
        server.time_out_slow_heads(0.05)
        responses = await read_responses(reader, 0.5)
        assert (200, "a") in responses
        assert len(responses) == sent.count(b" HTTP/1.1")

    run(scenario)


def test_endless_head_behind_a_pending_request_is_bounded():
    async def scenario(server, handler, reader, writer):
        writer.write(build_requests("a", seconds=0.3))
        await wait_until(lambda: handler.started, "a is started")
        sent = b"GET /b/safe/0 HTTP/1.1\r\n" + b"X-More: " + b"x" * 30_000 + b"\r\n"
        with contextlib.suppress(ConnectionError):
            for _ in range(100):
                writer.write(sent if _ == 0 else sent.partition(b"\r\n")[2])
                await asyncio.sleep(0)
        assert await read_responses(reader) in ([(200, "a")], [(200, "a"), (400, "")])
        assert handler.started == ["a"]

    run(scenario)


async def start_node(deployment):
    deployment.write_configuration(routes=ROUTES)
    await deployment.add_instance("i-1", slots=20)
    await deployment.add_instance("i-2", "other", slots=20)
    deployment.instances["i-2"].behaviour.work_s = 0.3
    node = await deployment.add_node("vm-1")
    host, _, port = node.settings.listeners.entry.rpartition(":")
    return node, *await asyncio.open_connection(host, int(port))


def build_node_requests(*paths):
    return b"".join(
        f"GET {path} HTTP/1.1\r\nHost: fit.example\r\nJasmineseam-Request-Id: {path}\r\n"
        "Jasmineseam-Deadline-Ms: 1400\r\n\r\n".encode()
        for path in paths
    )


async def read_ids(reader, timeout_s=1.5):
    received = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(timeout_s):
            while chunk := await reader.read(65_536):
                received += chunk
    return [text.decode() for text in re.findall(rb"\r\n\r\n(/\S+) by ", received)]


def test_node_reads_ahead_by_route_and_answers_in_order():
    """The route says what is idempotent: ``/order/`` is not, although the method is GET."""

    async def scenario(deployment):
        node, reader, writer = await start_node(deployment)
        paths = ["/slow/1", "/safe/1", "/slow/2", "/order/1", "/safe/2"]
        writer.write(build_node_requests(*paths))
        await wait_until(lambda: deployment.count_runs("/safe/1"), "a fast one has run")
        await asyncio.sleep(0.1)
        assert deployment.count_runs("/slow/2") == 1
        assert deployment.count_runs("/order/1") == deployment.count_runs("/safe/2") == 0
        assert await read_ids(reader) == paths
        assert node.gateway.read_ahead_counts["started"] == 2
        writer.close()

    run_scenario(scenario)


def test_caller_that_leaves_cancels_its_requests_at_the_servers():
    async def scenario(deployment):
        _, _, writer = await start_node(deployment)
        slow = deployment.instances["i-2"]
        slow.behaviour.work_s = 1.0
        writer.write(build_node_requests("/slow/1", "/slow/2", "/order/1"))
        await wait_until(lambda: slow.running == 2, "both run")
        writer.close()
        await wait_until(lambda: len(slow.cancelled_requests) == 2, "both are cancelled")
        assert deployment.count_runs("/order/1") == 0

    run_scenario(scenario)


def test_planned_stop_of_a_node_with_pipelined_requests():
    async def scenario(deployment):
        node, reader, writer = await start_node(deployment)
        slow = deployment.instances["i-2"]
        slow.behaviour.work_s = 0.4
        writer.write(build_node_requests("/slow/1", "/slow/2", "/order/1", "/safe/1"))
        await wait_until(lambda: slow.running == 2, "both run")
        stop = asyncio.ensure_future(node.stop_gracefully())
        assert await read_ids(reader) == ["/slow/1", "/slow/2", "/order/1", "/safe/1"]
        await wait_until(
            lambda: not node._listeners.caller_server.connections, "the connection is closed"
        )
        await stop
        assert deployment.count_runs("/order/1") == deployment.count_runs("/safe/1") == 1

    run_scenario(scenario)


def test_deadline_counts_from_the_arrival_of_a_queued_request():
    """Guards against running a request whose caller has given up while it waited for its turn."""

    async def scenario(deployment):
        node, reader, writer = await start_node(deployment)
        deployment.instances["i-2"].behaviour.work_s = 0.5
        requests = build_node_requests("/slow/1", "/order/1")
        writer.write(requests.replace(b"Ms: 1400", b"Ms: 300", 2).replace(b"300", b"1400", 1))
        assert await read_ids(reader, 1.0) == ["/slow/1"]
        assert deployment.count_runs("/order/1") == 0
        (line,) = [line for line in node.lines if line.get("id") == "/order/1"]
        assert line["status"] in (408, 503, 504)
        writer.close()

    run_scenario(scenario)
