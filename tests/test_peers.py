"""Messages between processes: malformed bytes, other versions, lost connections."""

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
def test_arbitrary_bytes_are_decoded_or_raise_invalid_message_error(data):
    for candidate in (data, b"\x01" + data):
        try:
            decode_message(candidate)
        except InvalidMessageError:
            continue


@pytest.mark.parametrize("data", [b"", b"\x02" + encode_message(DumpRequest())[1:], b"\x01\xc1"])
def test_other_versions_and_malformed_messages_raise_invalid_message_error(data):
    with pytest.raises(InvalidMessageError):
        decode_message(data)


def run_with_peer_server(handler, scenario):
    async def run():
        context = zmq.asyncio.Context()
        server = PeerServer(context=context, host="127.0.0.1", port=0, handler=handler)
        serving = asyncio.ensure_future(server.serve())
        client = PeerClient(context=context, address=server.address)
        try:
            await scenario(context, server, client)
        finally:
            serving.cancel()
            client.close()
            server.close()
            context.destroy(linger=0)

    asyncio.run(run())


async def reply_to_dump(message):
    return DumpReply(document="{}")


def test_malformed_messages_are_counted_by_reason_and_valid_ones_still_answered():
    async def scenario(context, server, client):
        raw = context.socket(zmq.DEALER)
        raw.connect(f"tcp://{server.address}")
        await raw.send_multipart([b"x"])
        await raw.send_multipart([b"12345678", b"\x07not a message"])
        await raw.send_multipart([b"12345678", encode_message(DumpRequest())])
        assert len(await raw.recv_multipart()) == 2
        raw.close(linger=0)
        reply = await client.request(DumpRequest(), 5.0)
        assert reply.document == "{}"
        assert server.dropped_by_reason == {"frames": 1, "undecodable": 1}

    run_with_peer_server(reply_to_dump, scenario)


def test_failing_handler_sends_refusal_and_server_continues():
    async def fail(message):
        raise RuntimeError("boom")

    async def scenario(context, server, client):
        for _ in range(2):
            assert isinstance(await client.request(DumpRequest(), 5.0), RefusedReply)
        assert server.dropped_by_reason["failed"] == 2

    run_with_peer_server(fail, scenario)


def test_request_to_closed_port_raises_peer_unreachable_error():
    async def run():
        context = zmq.asyncio.Context()
        client = PeerClient(context=context, address="127.0.0.1:1")
        with pytest.raises(PeerUnreachableError):
            await client.request(DumpRequest(), 0.2)
        client.close()
        context.destroy(linger=0)

    asyncio.run(run())


def test_peer_that_aborts_each_connection_leaves_no_unretrieved_error():
    reported = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
        server = await asyncio.start_server(
            lambda reader, writer: writer.transport.abort(), "127.0.0.1", 0
        )
        context = zmq.asyncio.Context()
        port = server.sockets[0].getsockname()[1]
        client = PeerClient(context=context, address=f"127.0.0.1:{port}")
        for _ in range(3):
            with pytest.raises(PeerUnreachableError):
                await client.request(DumpRequest(), 0.3)
        client.close()
        server.close()
        context.destroy(linger=0)
        gc.collect()

    asyncio.run(run())
    assert reported == []


def test_broken_connection_fails_pending_requests_at_once():
    async def never_reply(message):
        await asyncio.sleep(60)

    async def scenario(context, server, client):
        request = asyncio.ensure_future(client.request(DumpRequest(), 30.0))
        while not server._handler_tasks:
            await asyncio.sleep(0.01)
        server.close()
        async with asyncio.timeout(5.0):
            with pytest.raises(PeerReplyLostError):
                await request

    run_with_peer_server(never_reply, scenario)
