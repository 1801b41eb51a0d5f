"""A request's way through the entry: answers late, crossed, cut and large; keys; bad input."""

import asyncio
import gc

import pytest
from aiohttp import web

from jasmineseam.exceptions import PeerReplyLostError
from jasmineseam.peers.messages import LedgerConfirmation
from tests.fakes import EntryUnderTest


class Script:
    """A server that answers each request by the next step; the last step repeats."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.seen = []

    async def __call__(self, request):
        body = await request.read()
        self.seen.append((request.method, request.raw_path, body, request.headers.copy()))
        step = self.steps[min(len(self.seen), len(self.steps)) - 1]
        return await step(request)


async def answer(request):
    return web.Response(body=f"{request.method} {request.raw_path}".encode())


async def fail(request):
    return web.Response(status=500)


async def drop(request):
    request.transport.abort()
    return web.Response()


async def drop_late(request):
    await asyncio.sleep(0.1)
    return await drop(request)


async def cut(request):
    response = web.StreamResponse()
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"half")
    request.transport.abort()
    return response


async def cross(request):
    number = request.headers["Jasmineseam-Attempt"]
    return web.Response(body=b"other's", headers={"Jasmineseam-Attempt": f"{number}0"})


def refuse(reason):
    async def step(request):
        return web.Response(status=503, headers={"Backend-Refusal": reason})

    return step


def wait(seconds):
    async def step(request):
        await asyncio.sleep(seconds)
        return await answer(request)

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
        (answer, "GET", "answered", 200, 1),
        (cut, "GET", "answered", 200, 2),
        (drop, "GET", "answered", 200, 2),
        (cross, "GET", "answered", 200, 2),
        (fail, "GET", "answered", 200, 2),
        (refuse("shed"), "GET", "answered", 200, 2),
        (answer, "POST", "answered", 200, 1),
        (cut, "POST", "unknown", 502, 1),
        (drop, "POST", "unknown", 502, 1),
        (cross, "POST", "unknown", 502, 1),
        (fail, "POST", "answered", 500, 1),
        (refuse("shed"), "POST", "answered", 200, 2),
        (refuse("draining"), "POST", "answered", 200, 2),
    ],
)
def test_each_failure_of_a_first_attempt(first, method, outcome, status, sent):
    script = Script(first, answer)

    async def scenario(entry):
        return await entry.send(method, "/x?q=1")

    received = run(scenario, script, script, **FREE_RETRIES)
    assert (received.outcome, received.status, len(script.seen)) == (outcome, status, sent)
    if outcome == "answered" and status == 200:
        assert received.body == f"{method} /x?q=1".encode()


def test_a_put_that_is_not_idempotent_is_never_sent_twice():
    # aiohttp alone would repeat a PUT when a kept connection breaks
    script = Script(answer, drop, answer)
    rules = [{"method": "PUT", "path_prefix": "/seals", "idempotent": False}]

    async def scenario(entry):
        await entry.send("PUT", "/seals/1", data=b"1")
        return await entry.send("PUT", "/seals/2", data=b"2")

    received = run(scenario, script, rules=rules, **FREE_RETRIES)
    assert received.outcome == "unknown"
    assert len(script.seen) == 2


@pytest.mark.parametrize("reason", ["draining", "shed"])
def test_only_the_servers_own_refusal_makes_an_order_not_run(reason):
    async def scenario(entry):
        return await entry.send("POST", "/orders")

    received = run(scenario, Script(refuse(reason)), **FREE_RETRIES)
    assert (received.outcome, received.status) == ("not-run", 503)
    assert "Retry-After" in received.headers


def test_no_server_is_refused_at_once_with_a_time_to_come_back():
    async def scenario(entry):
        return await asyncio.wait_for(entry.send("POST"), 1.0)

    received = run(scenario)
    assert (received.outcome, received.status) == ("not-run", 503)
    assert int(received.headers["Retry-After"]) >= 1


def test_a_draining_answer_is_the_last_that_the_server_gets():
    async def drain(request):
        return web.Response(headers={"Backend-State": "draining"})

    async def scenario(entry):
        while not entry.leaving:
            await entry.send()
        before = len(draining.seen)
        for _ in range(20):
            await entry.send()
        return before

    draining, other = Script(drain), Script(answer)
    before = run(scenario, draining, other)
    assert len(draining.seen) == before


def test_a_slow_answer_is_hedged_and_only_if_idempotent():
    fast = [answer] * 60
    slow, other = Script(*fast, wait(3.0)), Script(*fast, wait(3.0), answer)

    async def scenario(entry):
        for _ in range(60):
            await entry.send()
        slow.steps, other.steps = [wait(3.0)], [wait(3.0)]
        began = asyncio.get_running_loop().time()
        before = len(slow.seen) + len(other.seen)
        task = asyncio.ensure_future(entry.send())
        while len(slow.seen) + len(other.seen) < before + 2:
            await asyncio.sleep(0.01)
        order = asyncio.ensure_future(entry.send("POST"))
        await asyncio.sleep(0.3)
        posts = [one for one in slow.seen + other.seen if one[0] == "POST"]
        task.cancel()
        order.cancel()
        return asyncio.get_running_loop().time() - began, len(posts)

    took_s, posts = run(scenario, slow, other, limits={"extra_attempt_share": 0.5})
    assert took_s < 2.0
    assert posts == 1


def test_a_request_that_is_itself_an_extra_attempt_gets_none():
    script = Script(fail)

    async def scenario(entry):
        return await entry.send(headers={"Jasmineseam-Extra-Attempt": "1"})

    received = run(scenario, script, script, **FREE_RETRIES)
    assert (received.status, len(script.seen)) == (500, 1)


def test_deadline_and_cancellation_reach_the_server():
    cancelled = asyncio.Event()

    async def hang(request):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    script = Script(hang)

    async def scenario(entry):
        task = asyncio.ensure_future(entry.send("POST"))
        while not script.seen:
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait_for(cancelled.wait(), 5.0)
        cancelled.clear()
        received = await entry.send(headers={"Jasmineseam-Deadline-Ms": "150"})
        await asyncio.wait_for(cancelled.wait(), 5.0)
        return received

    received = run(scenario, script, limits={"extra_attempt_share": 0.0})
    assert (received.outcome, received.status) == ("unknown", 504)
    assert 0 < int(script.seen[1][3]["Jasmineseam-Deadline-Ms"]) <= 150


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [10, 5_000, 300_000])
def test_large_and_chunked_answers_arrive_whole(size, chunked):
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


def test_a_streamed_answer_that_is_cut_does_not_look_whole():
    async def cut_large(request):
        response = web.StreamResponse()
        response.content_length = 100_000
        await response.prepare(request)
        await response.write(b"x" * 50_000)
        request.transport.abort()
        return response

    async def scenario(entry):
        with pytest.raises(Exception, match=r"payload|disconnect|reset|closed"):
            await entry.send()

    run(scenario, cut_large, limits={"buffer_bytes": 4096})


def test_head_answers_keep_their_length():
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
def test_bad_requests_are_answered_and_never_sent(options, status):
    script = Script(answer)

    async def scenario(entry):
        return await entry.send(**options)

    received = run(scenario, script, limits={"body_bytes": 100})
    assert received.status == status
    assert not script.seen


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
def test_unparsable_http_is_answered_or_dropped(data):
    script = Script(answer)

    async def scenario(entry):
        host, _, port = entry.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        answered = await asyncio.wait_for(reader.read(100), 5.0)
        writer.close()
        assert (await entry.send()).status == 200
        return answered

    answered = run(scenario, script)
    assert answered == b"" or b" 400 " in answered
    assert len(script.seen) == 1


def test_a_caller_that_waits_for_100_continue_is_told_to_go_on():
    script = Script(answer)

    async def scenario(entry):
        return await entry.send("POST", data=b"body", expect100=True)

    received = run(scenario, script)
    assert (received.outcome, script.seen[0][2]) == ("answered", b"body")
    assert "Expect" not in script.seen[0][3]


def test_a_run_that_fails_after_its_caller_left_is_no_unretrieved_error():
    script = Script(drop_late)
    reported = []

    async def scenario(entry):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
        task = asyncio.ensure_future(entry.send("POST", key=entry.make_key("order-1")))
        while not script.seen:
            await asyncio.sleep(0.01)
        task.cancel()
        while entry.homes.ledger.count_running():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0)
        gc.collect()

    run(scenario, script)
    assert not [one for one in reported if "never retrieved" in one]


@pytest.mark.parametrize("head", [b"", b"GET / HT", b"GET / HTTP/1.1\r\nHost: fit"])
def test_a_slow_head_is_timed_out(head):
    async def scenario(entry):
        host, _, port = entry.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head)
        received = await asyncio.wait_for(reader.read(100), 5.0)
        writer.close()
        return received

    assert run(scenario, Script(answer), body_timeout_s=0.3) == b""


def test_a_slow_body_is_timed_out():
    async def scenario(entry):
        async def drip():
            yield b"x"
            await asyncio.sleep(5)

        return await entry.send("POST", data=drip())

    received = run(scenario, Script(answer), body_timeout_s=0.2)
    assert (received.status, received.outcome) == (408, "not-run")


def test_a_key_runs_once_at_once_and_late():
    script = Script(wait(0.1))

    async def scenario(entry):
        key = entry.make_key("order-1")
        sends = [entry.send("POST", "/orders", key=key, data=b"1") for _ in range(5)]
        received = await asyncio.gather(*sends)
        received.append(await entry.send("POST", "/orders", key=key, data=b"1"))
        return received

    for received in run(scenario, script, script):
        assert (received.outcome, received.body) == ("answered", b"POST /orders")
    assert len(script.seen) == 1


def test_a_caller_that_leaves_does_not_end_its_keyed_run():
    script = Script(wait(0.3))

    async def scenario(entry):
        key = entry.make_key("order-1")
        task = asyncio.ensure_future(entry.send("POST", key=key))
        while not script.seen:
            await asyncio.sleep(0.01)
        task.cancel()
        return await entry.send("POST", key=key)

    assert run(scenario, script).outcome == "answered"
    assert len(script.seen) == 1


def test_a_refused_key_stays_refused():
    script = Script(refuse("shed"), answer)

    async def scenario(entry):
        key = entry.make_key("order-1")
        return [await entry.send("POST", key=key) for _ in range(2)]

    limits = {"extra_attempt_share": 0.0}
    received = run(scenario, script, limits=limits)
    assert [one.outcome for one in received] == ["not-run", "not-run"]
    assert len(script.seen) == 1


def test_a_lost_run_stays_unknown():
    script = Script(drop, answer)

    async def scenario(entry):
        key = entry.make_key("order-1")
        return [await entry.send("POST", key=key) for _ in range(2)]

    assert [one.outcome for one in run(scenario, script)] == ["unknown", "unknown"]
    assert len(script.seen) == 1


@pytest.mark.parametrize("known", [False, True])
def test_a_home_that_is_gone_is_answered_as_unknown(known):
    script = Script(answer)

    async def scenario(entry):
        home = "00000000000000ff"
        if known:
            entry.set_peer(home, "127.0.0.1:1")
        return await entry.send("POST", key=f"{home}-0.order-1")

    received = run(scenario, script)
    assert (received.outcome, script.seen) == ("unknown", [])


@pytest.mark.parametrize(("key", "outcome"), [(True, "unknown"), (False, "not-run")])
def test_an_entry_that_is_not_ready_does_not_judge_keys_of_others(key, outcome):
    async def scenario(entry):
        entry.mirror.ready = False
        return await entry.send("POST", key="00000000000000ff-0.order-1" if key else "")

    received = run(scenario, Script(answer))
    assert (received.outcome, received.status) == (outcome, 503)
    assert "Retry-After" in received.headers


class FakeSuccessor:
    """Stands in for the link to a successor."""

    def __init__(self, *, lose_first):
        self.lose_first = lose_first
        self.taken = []

    def get(self, address):
        return self

    def close(self):
        pass

    async def request(self, message, timeout_s):
        self.taken.append(message)
        if self.lose_first and len(self.taken) == 1:
            raise PeerReplyLostError("lost")
        return LedgerConfirmation(incarnation="00000000000000ee")


@pytest.mark.parametrize("lose_first", [False, True])
def test_a_planned_stop_hands_the_ledger_to_one_successor(lose_first):
    async def scenario(entry):
        key = entry.make_key("order-1")
        await entry.send("POST", key=key)
        entry.set_peer("00000000000000ee", "127.0.0.1:1")
        entry.homes._links = successor
        successions = await entry.homes.hand_over(1.0)
        assert not entry.homes.ledger.deciding
        return successions

    successor = FakeSuccessor(lose_first=lose_first)
    successions = run(scenario, Script(answer))
    assert [one.successor for one in successions] == ["00000000000000ee"]
    assert len(successor.taken[0].ledgers[0].records) == 1


def test_without_a_successor_nobody_decides():
    script = Script(answer)

    async def scenario(entry):
        assert await entry.homes.hand_over(1.0) == []
        return await entry.send("POST", key=entry.make_key("order-1"))

    assert run(scenario, script).outcome == "unknown"
    assert not script.seen
