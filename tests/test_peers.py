"""Messages and links: bad bytes, other versions, lost peers."""

import asyncio
import gc

import pytest
import zmq
import zmq.asyncio
from hypothesis import given
from hypothesis import strategies as st

from jasmineseam.exceptions import InvalidMessageError
from jasmineseam.exceptions import PeerReplyLostError
from jasmineseam.exceptions import PeerUnreachableError
from jasmineseam.peers.messages import DumpReply
from jasmineseam.peers.messages import DumpRequest
from jasmineseam.peers.messages import RefusedReply
from jasmineseam.peers.messages import decode_message
from jasmineseam.peers.messages import encode_message
from jasmineseam.peers.rpc import PeerClient
from jasmineseam.peers.rpc import PeerServer


@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_refused(data):
    for candidate in (data, b"\x01" + data):
        try:
            decode_message(candidate)
        except InvalidMessageError:
            continue


@pytest.mark.parametrize("data", [b"", b"\x02" + encode_message(DumpRequest())[1:], b"\x01\xc1"])
def test_other_versions_and_garbage_are_named(data):
    with pytest.raises(InvalidMessageError):
        decode_message(data)


def run_with_server(handler, use):
    async def run():
        context = zmq.asyncio.Context()
        server = PeerServer(context=context, host="127.0.0.1", port=0, handler=handler)
        serving = asyncio.ensure_future(server.serve())
        link = PeerClient(context=context, address=server.address)
        try:
            await use(context, server, link)
        finally:
            serving.cancel()
            link.close()
            server.close()
            context.destroy(linger=0)

    asyncio.run(run())


async def answer_dump(message):
    return DumpReply(document="{}")


def test_bad_messages_are_dropped_with_a_reason_and_good_ones_still_answered():
    async def use(context, server, link):
        raw = context.socket(zmq.DEALER)
        raw.connect(f"tcp://{server.address}")
        await raw.send_multipart([b"x"])
        await raw.send_multipart([b"12345678", b"\x07not a message"])
        await raw.send_multipart([b"12345678", encode_message(DumpRequest())])
        assert len(await raw.recv_multipart()) == 2
        raw.close(linger=0)
        reply = await link.request(DumpRequest(), 5.0)
        assert reply.document == "{}"
        assert server.dropped == {"frames": 1, "undecodable": 1}

    run_with_server(answer_dump, use)


def test_a_handler_that_fails_refuses_and_the_server_goes_on():
    async def fail(message):
        raise RuntimeError("boom")

    async def use(context, server, link):
        for _ in range(2):
            assert isinstance(await link.request(DumpRequest(), 5.0), RefusedReply)
        assert server.dropped["failed"] == 2

    run_with_server(fail, use)


def test_a_peer_that_is_not_there_takes_nothing():
    async def run():
        context = zmq.asyncio.Context()
        link = PeerClient(context=context, address="127.0.0.1:1")
        with pytest.raises(PeerUnreachableError):
            await link.request(DumpRequest(), 0.2)
        link.close()
        context.destroy(linger=0)

    asyncio.run(run())


def test_a_peer_that_breaks_off_each_connection_leaves_no_unretrieved_error():
    reported = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
        server = await asyncio.start_server(
            lambda reader, writer: writer.transport.abort(), "127.0.0.1", 0
        )
        context = zmq.asyncio.Context()
        port = server.sockets[0].getsockname()[1]
        link = PeerClient(context=context, address=f"127.0.0.1:{port}")
        for _ in range(3):
            with pytest.raises(PeerUnreachableError):
                await link.request(DumpRequest(), 0.3)
        link.close()
        server.close()
        context.destroy(linger=0)
        gc.collect()

    asyncio.run(run())
    assert reported == []


def test_a_broken_connection_gives_up_missing_replies_at_once():
    async def never(message):
        await asyncio.sleep(60)

    async def use(context, server, link):
        waiting = asyncio.ensure_future(link.request(DumpRequest(), 30.0))
        while not server._handlers:
            await asyncio.sleep(0.01)
        server.close()
        async with asyncio.timeout(5.0):
            with pytest.raises(PeerReplyLostError):
                await waiting

    run_with_server(never, use)
