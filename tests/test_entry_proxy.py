"""The request path of an entry: failed, slow and large responses, keyed requests, bad input."""

import asyncio
import gc
import socket
import struct

import pytest
from aiohttp import web

from jasmineseam.exceptions import PeerReplyLostError
from jasmineseam.peers.messages import LedgerConfirmation
from tests.fakes import EntryUnderTest


class ScriptedServer:
    """A server that handles each request with the next step; the last step repeats."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.requests = []

    async def __call__(self, request):
        body = await request.read()
        self.requests.append((request.method, request.raw_path, body, request.headers.copy()))
        step = self.steps[min(len(self.requests), len(self.steps)) - 1]
        return await step(request)


async def respond(request):
    return web.Response(body=f"{request.method} {request.raw_path}".encode())


async def fail(request):
    return web.Response(status=500)


async def drop(request):
    request.transport.abort()
    return web.Response()


async def drop_after_delay(request):
    await asyncio.sleep(0.1)
    return await drop(request)


async def truncate(request):
    response = web.StreamResponse()
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"half")
    request.transport.abort()
    return response


async def echo_wrong_attempt(request):
    number = request.headers["Jasmineseam-Attempt"]
    return web.Response(body=b"other's", headers={"Jasmineseam-Attempt": f"{number}0"})


async def merge_heads(request):
    """Send the start of a success, broken off in a header, and then a failure."""
    number = request.headers["Jasmineseam-Attempt"]
    request.transport.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plHTTP/1.1 500 Failed\r\n"
        b"Jasmineseam-Attempt: " + number.encode() + b"\r\nContent-Length: 4\r\n\r\nfail"
    )
    await asyncio.sleep(0.2)
    request.transport.abort()
    return web.Response()


async def reset_without_length(request):
    """Send a response that ends with the connection, and reset the connection in its body."""
    request.transport.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await asyncio.sleep(0.02)
    tcp_socket = request.transport.get_extra_info("socket")
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    request.transport.abort()
    return web.Response()


def refuse(reason):
    async def step(request):
        return web.Response(status=503, headers={"Backend-Refusal": reason})

    return step


def delay(seconds):
    async def step(request):
        await asyncio.sleep(seconds)
        return await respond(request)

    return step


def run(scenario, *handlers, **options):
    async def main():
        async with EntryUnderTest(*handlers, **options) as entry:
            return await scenario(entry)

    return asyncio.run(main())


FREE_RETRIES = {"limits": {"extra_attempt_share": 1.0, "hedge": False}}


@pytest.mark.parametrize(
    ("first", "method", "outcome", "status", "sent"),
    [
        (respond, "GET", "answered", 200, 1),
        (truncate, "GET", "answered", 200, 2),
        (drop, "GET", "answered", 200, 2),
        (echo_wrong_attempt, "GET", "answered", 200, 2),
        (fail, "GET", "answered", 200, 2),
        (refuse("shed"), "GET", "answered", 200, 2),
        (respond, "POST", "answered", 200, 1),
        (truncate, "POST", "unknown", 502, 1),
        (drop, "POST", "unknown", 502, 1),
        (echo_wrong_attempt, "POST", "unknown", 502, 1),
        (merge_heads, "GET", "answered", 200, 2),
        (merge_heads, "POST", "unknown", 502, 1),
        (reset_without_length, "GET", "answered", 200, 2),
        (reset_without_length, "POST", "unknown", 502, 1),
        (fail, "POST", "answered", 500, 1),
        (refuse("shed"), "POST", "answered", 200, 2),
        (refuse("draining"), "POST", "answered", 200, 2),
    ],
)
def test_outcome_and_retry_for_each_failure_of_the_first_attempt(
    first, method, outcome, status, sent
):
    server = ScriptedServer(first, respond)

    async def scenario(entry):
        return await entry.send(method, "/x?q=1")

    received = run(scenario, server, server, **FREE_RETRIES)
    assert (received.outcome, received.status, len(server.requests)) == (outcome, status, sent)
    if outcome == "answered" and status == 200:
        assert received.body == f"{method} /x?q=1".encode()


def test_non_idempotent_put_is_never_sent_twice():
    # aiohttp by itself retries a PUT when a kept-alive connection breaks
    server = ScriptedServer(respond, drop, respond)
    rules = [{"method": "PUT", "path_prefix": "/seals", "idempotent": False}]

    async def scenario(entry):
        await entry.send("PUT", "/seals/1", data=b"1")
        return await entry.send("PUT", "/seals/2", data=b"2")

    received = run(scenario, server, rules=rules, **FREE_RETRIES)
    assert received.outcome == "unknown"
    assert len(server.requests) == 2


@pytest.mark.parametrize("reason", ["draining", "shed"])
def test_post_refused_by_every_server_is_not_run(reason):
    async def scenario(entry):
        return await entry.send("POST", "/orders")

    received = run(scenario, ScriptedServer(refuse(reason)), **FREE_RETRIES)
    assert (received.outcome, received.status) == ("not-run", 503)
    assert "Retry-After" in received.headers


def test_request_without_servers_is_refused_at_once_with_retry_after():
    async def scenario(entry):
        return await asyncio.wait_for(entry.send("POST"), 1.0)

    received = run(scenario)
    assert (received.outcome, received.status) == ("not-run", 503)
    assert int(received.headers["Retry-After"]) >= 1


def test_server_gets_no_requests_after_it_reports_draining():
    async def drain(request):
        return web.Response(headers={"Backend-State": "draining"})

    async def scenario(entry):
        while not entry.leaving_reports:
            await entry.send()
        before = len(draining.requests)
        for _ in range(20):
            await entry.send()
        return before

    draining, other = ScriptedServer(drain), ScriptedServer(respond)
    before = run(scenario, draining, other)
    assert len(draining.requests) == before


def test_slow_request_is_hedged_only_if_idempotent():
    fast = [respond] * 60
    slow, other = ScriptedServer(*fast, delay(3.0)), ScriptedServer(*fast, delay(3.0), respond)

    async def scenario(entry):
        for _ in range(60):
            await entry.send()
        slow.steps, other.steps = [delay(3.0)], [delay(3.0)]
        began = asyncio.get_running_loop().time()
        before = len(slow.requests) + len(other.requests)
        task = asyncio.ensure_future(entry.send())
        while len(slow.requests) + len(other.requests) < before + 2:
            await asyncio.sleep(0.01)
        order = asyncio.ensure_future(entry.send("POST"))
        await asyncio.sleep(0.3)
        posts = [one for one in slow.requests + other.requests if one[0] == "POST"]
        task.cancel()
        order.cancel()
        return asyncio.get_running_loop().time() - began, len(posts)

    took_s, posts = run(scenario, slow, other, limits={"extra_attempt_share": 0.5})
    assert took_s < 2.0
    assert posts == 1


def test_extra_attempt_of_a_caller_is_not_retried():
    server = ScriptedServer(fail)

    async def scenario(entry):
        return await entry.send(headers={"Jasmineseam-Extra-Attempt": "1"})

    received = run(scenario, server, server, **FREE_RETRIES)
    assert (received.status, len(server.requests)) == (500, 1)


def test_deadline_and_cancellation_reach_the_server():
    cancelled = asyncio.Event()

    async def hang(request):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    server = ScriptedServer(hang)

    async def scenario(entry):
        task = asyncio.ensure_future(entry.send("POST"))
        while not server.requests:
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait_for(cancelled.wait(), 5.0)
        cancelled.clear()
        received = await entry.send(headers={"Jasmineseam-Deadline-Ms": "150"})
        await asyncio.wait_for(cancelled.wait(), 5.0)
        return received

    received = run(scenario, server, limits={"extra_attempt_share": 0.0})
    assert (received.outcome, received.status) == ("unknown", 504)
    assert 0 < int(server.requests[1][3]["Jasmineseam-Deadline-Ms"]) <= 150


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [10, 5_000, 300_000])
def test_large_and_chunked_responses_arrive_whole(size, chunked):
    body = bytes(range(256)) * (size // 256 + 1)

    async def send_large(request):
        if not chunked:
            return web.Response(body=body)
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        for start in range(0, len(body), 1000):
            await response.write(body[start : start + 1000])
        await response.write_eof()
        return response

    async def scenario(entry):
        return [await entry.send(), await entry.send("POST")]

    for received in run(scenario, send_large, limits={"buffer_bytes": 4096}):
        assert received.body == body


def test_truncated_streamed_response_is_detected_by_the_caller():
    async def truncate_large(request):
        response = web.StreamResponse()
        response.content_length = 100_000
        await response.prepare(request)
        await response.write(b"x" * 50_000)
        request.transport.abort()
        return response

    async def scenario(entry):
        with pytest.raises(Exception, match=r"payload|disconnect|reset|closed"):
            await entry.send()

    run(scenario, truncate_large, limits={"buffer_bytes": 4096})


def test_head_responses_keep_their_length():
    async def describe(request):
        return web.Response(body=b"12345" if request.method == "GET" else None, headers={})

    async def scenario(entry):
        return await entry.send("HEAD")

    assert run(scenario, describe).outcome == "answered"


@pytest.mark.parametrize(
    ("options", "status"),
    [
        ({"data": b"x" * 200, "method": "POST"}, 413),
        ({"headers": {"Host": "nobody"}}, 404),
        ({"headers": {"Jasmineseam-Deadline-Ms": "soon"}}, 400),
        ({"method": "POST", "key": "no-prefix"}, 400),
        ({"headers": {"X-Long": "x" * 9000}}, 400),
    ],
)
def test_bad_requests_are_refused_and_never_sent(options, status):
    server = ScriptedServer(respond)

    async def scenario(entry):
        return await entry.send(**options)

    received = run(scenario, server, limits={"body_bytes": 100})
    assert received.status == status
    assert not server.requests


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: fittings\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: fittings\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET http://elsewhere/ HTTP/1.1\r\nHost: fittings\r\n\r\n",
    ],
)
def test_unparsable_http_gets_400_or_is_closed(data):
    server = ScriptedServer(respond)

    async def scenario(entry):
        host, _, port = entry.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        answered = await asyncio.wait_for(reader.read(100), 5.0)
        writer.close()
        assert (await entry.send()).status == 200
        return answered

    answered = run(scenario, server)
    assert answered == b"" or b" 400 " in answered
    assert len(server.requests) == 1


def test_expect_100_continue_is_answered():
    server = ScriptedServer(respond)

    async def scenario(entry):
        return await entry.send("POST", data=b"body", expect100=True)

    received = run(scenario, server)
    assert (received.outcome, server.requests[0][2]) == ("answered", b"body")
    assert "Expect" not in server.requests[0][3]


def test_failure_after_the_caller_disconnected_is_retrieved():
    server = ScriptedServer(drop_after_delay)
    reported = []

    async def scenario(entry):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
        task = asyncio.ensure_future(entry.send("POST", key=entry.make_key("order-1")))
        while not server.requests:
            await asyncio.sleep(0.01)
        task.cancel()
        while entry.keyed_requests.ledger.count_running_keys():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0)
        gc.collect()

    run(scenario, server)
    assert not [one for one in reported if "never retrieved" in one]


@pytest.mark.parametrize("head", [b"", b"GET / HT", b"GET / HTTP/1.1\r\nHost: fit"])
def test_slow_request_head_times_out(head):
    async def scenario(entry):
        host, _, port = entry.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head)
        received = await asyncio.wait_for(reader.read(100), 5.0)
        writer.close()
        return received

    assert run(scenario, ScriptedServer(respond), body_timeout_s=0.3) == b""


def test_slow_request_body_times_out():
    async def scenario(entry):
        async def send_slowly():
            yield b"x"
            await asyncio.sleep(5)

        return await entry.send("POST", data=send_slowly())

    received = run(scenario, ScriptedServer(respond), body_timeout_s=0.2)
    assert (received.status, received.outcome) == (408, "not-run")


def test_key_runs_once_for_concurrent_and_later_requests():
    server = ScriptedServer(delay(0.1))

    async def scenario(entry):
        key = entry.make_key("order-1")
        sends = [entry.send("POST", "/orders", key=key, data=b"1") for _ in range(5)]
        received = await asyncio.gather(*sends)
        received.append(await entry.send("POST", "/orders", key=key, data=b"1"))
        return received

    for received in run(scenario, server, server):
        assert (received.outcome, received.body) == ("answered", b"POST /orders")
    assert len(server.requests) == 1


def test_keyed_request_continues_after_the_caller_disconnects():
    server = ScriptedServer(delay(0.3))

    async def scenario(entry):
        key = entry.make_key("order-1")
        task = asyncio.ensure_future(entry.send("POST", key=key))
        while not server.requests:
            await asyncio.sleep(0.01)
        task.cancel()
        return await entry.send("POST", key=key)

    assert run(scenario, server).outcome == "answered"
    assert len(server.requests) == 1


def test_refused_key_stays_refused():
    server = ScriptedServer(refuse("shed"), respond)

    async def scenario(entry):
        key = entry.make_key("order-1")
        return [await entry.send("POST", key=key) for _ in range(2)]

    limits = {"extra_attempt_share": 0.0}
    received = run(scenario, server, limits=limits)
    assert [one.outcome for one in received] == ["not-run", "not-run"]
    assert len(server.requests) == 1


def test_key_with_lost_attempt_stays_unknown():
    server = ScriptedServer(drop, respond)

    async def scenario(entry):
        key = entry.make_key("order-1")
        return [await entry.send("POST", key=key) for _ in range(2)]

    assert [one.outcome for one in run(scenario, server)] == ["unknown", "unknown"]
    assert len(server.requests) == 1


@pytest.mark.parametrize("known", [False, True])
def test_key_of_unreachable_home_is_unknown(known):
    server = ScriptedServer(respond)

    async def scenario(entry):
        home = "00000000000000ff"
        if known:
            entry.set_peer_entry(home, "127.0.0.1:1")
        return await entry.send("POST", key=f"{home}-0.order-1")

    received = run(scenario, server)
    assert (received.outcome, server.requests) == ("unknown", [])


@pytest.mark.parametrize(("key", "outcome"), [(True, "unknown"), (False, "not-run")])
def test_keyed_request_is_unknown_while_the_entry_is_not_ready(key, outcome):
    async def scenario(entry):
        entry.replica.ready = False
        return await entry.send("POST", key="00000000000000ff-0.order-1" if key else "")

    received = run(scenario, ScriptedServer(respond))
    assert (received.outcome, received.status) == (outcome, 503)
    assert "Retry-After" in received.headers


class FakeSuccessor:
    """RPC clients that all reach one successor; its first reply can be lost."""

    def __init__(self, *, lose_first):
        self.lose_first = lose_first
        self.messages = []

    def get(self, address):
        return self

    def close(self):
        pass

    async def request(self, message, timeout_s):
        self.messages.append(message)
        if self.lose_first and len(self.messages) == 1:
            raise PeerReplyLostError("lost")
        return LedgerConfirmation(incarnation="00000000000000ee")


@pytest.mark.parametrize("lose_first", [False, True])
def test_ledger_is_handed_to_one_successor(lose_first):
    async def scenario(entry):
        key = entry.make_key("order-1")
        await entry.send("POST", key=key)
        entry.set_peer_entry("00000000000000ee", "127.0.0.1:1")
        entry.keyed_requests._peer_clients = successor
        successions = await entry.keyed_requests.hand_over_ledgers(1.0)
        assert not entry.keyed_requests.ledger.accepts_claims
        return successions

    successor = FakeSuccessor(lose_first=lose_first)
    successions = run(scenario, ScriptedServer(respond))
    assert [one.successor for one in successions] == ["00000000000000ee"]
    assert len(successor.messages[0].ledgers[0].records) == 1


def test_key_is_unknown_if_no_successor_accepts_the_ledger():
    server = ScriptedServer(respond)

    async def scenario(entry):
        assert await entry.keyed_requests.hand_over_ledgers(1.0) == []
        return await entry.send("POST", key=entry.make_key("order-1"))

    assert run(scenario, server).outcome == "unknown"
    assert not server.requests
