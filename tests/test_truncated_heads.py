"""Servers that stop in the middle of a response and close or reset the connection.

A response that is not whole must not reach a caller as a whole one.
"""

import asyncio
import socket
import struct

import pytest

from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.transport.server_connection import open_connection
from tests.deployment import run_scenario
from tests.test_stuttering_servers import exchange

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nJasmineseam-Request-Id: %b\r\n"
    b"Jasmineseam-Response-Signature: 1.2.3\r\n%b\r\n"
)
FRAMINGS = {
    "length": (b"Content-Length: 5\r\n", b"hello"),
    "chunked": (b"Transfer-Encoding: chunked\r\n", b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
    "trailer": (b"Transfer-Encoding: chunked\r\n", b"5\r\nhello\r\n0\r\nX-A: 1\r\n\r\n"),
    "until-close": (b"", b"hello"),
    "kept": (b"Keep-Alive: timeout=5\r\nContent-Length: 5\r\n", b"hello"),
    "empty": (b"Content-Length: 0\r\n", b""),
}


# number of connections at a time
CONCURRENCY = 20


def divide(data, divided):
    middle = len(data) // 2
    return [data[:middle], data[middle:]] if divided else [data]


def build(framing, request_id):
    header, body = FRAMINGS[framing]
    head = HEAD % (request_id, header)
    return head, head + body


async def receive_part(parts, how):
    """Return what a request gets from a server that sends parts and ends the connection."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.002)
        if how == "reset":
            option = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()
        elif how == "half-close":
            writer.write_eof()
            await reader.read(-1)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    connection = await open_connection(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 1.0)
    try:
        async with asyncio.timeout(1.0):
            return await exchange(connection, "b")
    except AttemptOutcomeUnknownError:
        return None
    finally:
        connection.close()
        server.close()


@pytest.mark.parametrize("divided", [False, True])
@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_that_ends_early_is_no_response(framing, how, divided):
    """Guards against a success with an empty or short body.

    Without a length, the end of the connection ends the body, if it was not reset.
    """

    async def scenario():
        head, whole = build(framing, b"b")
        for start in range(0, len(whole), CONCURRENCY):
            sizes = range(start, min(start + CONCURRENCY, len(whole)))
            results = await asyncio.gather(
                *(receive_part(divide(whole[:size], divided), how) for size in sizes)
            )
            for size, result in zip(sizes, results, strict=True):
                if framing == "until-close" and how != "reset" and size >= len(head):
                    assert result[2] == whole[len(head) : size]
                    continue
                assert result is None, whole[:size]
        if how != "reset":
            assert (await receive_part([whole], how))[2] == b"hello"[: 5 * (framing != "empty")]

    asyncio.run(scenario())


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("framing", ["length", "chunked", "until-close"])
def test_caller_gets_no_success_for_a_head_that_ends_early(framing, method):
    async def scenario(deployment):
        deployment.write_configuration()
        instance = await deployment.add_instance("i-1")
        node = await deployment.add_node("vm-1")
        path = "/safe/1" if method == "GET" else "/order/1"

        async def send_part(writer, request_id):
            head, _ = build(framing, request_id.encode())
            writer.write(head[: sizes.pop() % len(head)])
            await writer.drain()
            return False

        instance._send_response = send_part
        for size in range(0, 160, 23):
            sizes = [size] * 9
            node.gateway.attempts._server_client.connections.close()
            status, _, _ = await deployment.send_request(node, path, method=method)
            assert status in (502, 503)

    run_scenario(scenario)


def test_probe_whose_answer_ends_early_is_no_sign_of_health():
    async def scenario(deployment):
        deployment.write_configuration()
        instance = await deployment.add_instance("i-1")
        node = await deployment.add_node("vm-1")
        node.prober.max_probes_per_s = 0.0
        (load,) = node.gateway.dispatchers.get("fit", None).loads.values()
        whole = instance._build_response(
            200, ["Jasmineseam-Instance-Id: i-1"], b"ok", signed=False
        )
        build_response = instance._build_response
        for size in range(0, len(whole) - 2, 5):
            instance._build_response = lambda *args, size=size, **options: build_response(
                *args, **options
            )[:size]
            task = asyncio.ensure_future(
                node.prober.send_probe(node.gateway.dispatchers.get("fit", None), load)
            )
            await asyncio.sleep(0.01)
            instance.reset_connections()
            with pytest.raises(AttemptOutcomeUnknownError):
                await task
        instance._build_response = build_response

    run_scenario(scenario)
