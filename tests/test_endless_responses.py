"""Responses without end at the stand-alone programs and at the clients of the platform.

How much is read is measured at the server, which sends no more than its peer reads. The memory
that the kernel takes for a connection is part of it.
"""

import asyncio
import contextlib
import time

import aiohttp
import pytest
from aiohttp import web

from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.exceptions import PlatformError
from jasmineseam.membership.servers import Server
from jasmineseam.platform import store_client
from jasmineseam.platform.store_client import StoreClient
from jasmineseam.programs import entry_proxy
from jasmineseam.standalone.log_client import LogClient
from jasmineseam.standalone.vm_list_client import VmListClient
from jasmineseam.transport.response_protocol import open_connector
from tests.deployment import run_scenario
from tests.fakes import EntryUnderTest
from tests.raw_http import RawServer
from tests.stand_alone_probe import send_stand_alone_probe
from tests.test_endless_data import read_memory_bytes

HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "line": (HEAD + b"X-Long: ", b"x"),
    "head": (HEAD, b"X-More: 1\r\n"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "garbage": (b"", b"\x00\x01garbage"),
    "blank-lines": (b"", b"\r\n"),
    "sized": (HEAD + b"Content-Length: 99999999999999\r\n\r\n", b"x"),
    "chunked": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "chunk-size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;x=", b"x"),
    "trailer": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: 1\r\n"),
    "unframed": (HEAD + b"\r\n", b"x"),
    "compressed": (HEAD + b"Content-Encoding: deflate\r\n\r\n", b"x"),
}
# a socket's buffers at both ends, and a read of the event loop
KERNEL_BYTES = 16 * 1024 * 1024


def build_server(address, service, number=0):
    return Server(server_id=f"s{number}", service=service, address=address, failure_domain="d")


async def probe(address):
    assert await send_stand_alone_probe(address) == []


async def read_log(address):
    async with aiohttp.ClientSession(connector=open_connector()) as session:
        with pytest.raises(PlatformError):
            await LogClient(session=session, base_url=f"http://{address}").read("s", 0)


async def read_vm_list(address):
    async with aiohttp.ClientSession(connector=open_connector()) as session:
        with pytest.raises(PlatformError):
            await VmListClient(session=session, url=f"http://{address}/vms").read()


async def read_store(address):
    client = StoreClient(address=address)
    with pytest.raises(PlatformError):
        await client.read_latest("keyed.op")
    await client.close()


READERS = {
    probe: 65_536,
    read_log: store_client.MAX_RESPONSE_BYTES,
    read_vm_list: store_client.MAX_RESPONSE_BYTES,
    read_store: store_client.MAX_RESPONSE_BYTES,
}


@pytest.mark.parametrize(("start", "repeated"), ENDLESS.values(), ids=ENDLESS)
@pytest.mark.parametrize("read", READERS)
def test_reader_stops_at_a_response_without_end(read, start, repeated):
    async def main():
        async with RawServer(start, repeated) as server:
            started_at = time.monotonic()
            with contextlib.suppress(TimeoutError):
                await read(server.address)
            assert time.monotonic() - started_at < 4.0
            assert server.sent_bytes < READERS[read] + KERNEL_BYTES

    asyncio.run(main())


@pytest.mark.parametrize(("start", "repeated"), ENDLESS.values(), ids=ENDLESS)
def test_probe_of_a_node_stops_at_a_response_without_end(start, repeated):
    async def scenario(deployment):
        deployment.write_configuration()
        await deployment.add_instance("i-1")
        node = await deployment.add_node("vm-1")
        node.prober.max_probes_per_s = 0.0
        (load,) = node.gateway.dispatchers.get("fit", None).loads.values()
        async with RawServer(start, repeated) as server:
            load.address = server.address
            with contextlib.suppress(AttemptOutcomeUnknownError, TimeoutError):
                async with asyncio.timeout(1.0):
                    await node.prober.send_probe(node.gateway.dispatchers.get("fit", None), load)
            assert server.sent_bytes < KERNEL_BYTES
            assert node.gateway.connections.count_idle() <= 1

    run_scenario(scenario)


@pytest.mark.parametrize("server_count", [1, 20])
@pytest.mark.parametrize("keyed", [False, True])
@pytest.mark.parametrize(("start", "repeated"), ENDLESS.values(), ids=ENDLESS)
def test_entry_uses_bounded_memory_for_responses_without_end(start, repeated, keyed, server_count):
    """A response without a key is forwarded while it arrives, and not buffered as a whole."""

    async def send(entry, number):
        headers = b"Host: fittings\r\nJasmineseam-Deadline-Ms: 600\r\nContent-Length: 0\r\n"
        if keyed:
            headers += b"Idempotency-Key: %b\r\n" % entry.make_key(f"o{number}").encode()
        host, _, port = entry.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /x HTTP/1.1\r\n" + headers + b"\r\n")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                while await reader.read(65_536):
                    pass
        writer.transport.abort()

    async def main():
        async with EntryUnderTest() as entry, RawServer(start, repeated) as server:
            entry.replica.servers.replace_servers(
                [build_server(server.address, "fittings", n) for n in range(server_count)]
            )
            bytes_before = read_memory_bytes()
            sends = [asyncio.ensure_future(send(entry, number)) for number in range(40)]
            peak_bytes = 0
            while not all(task.done() for task in sends):
                await asyncio.sleep(0.02)
                peak_bytes = max(peak_bytes, read_memory_bytes() - bytes_before)
            # 192 MB of bodies, and the buffers of both ends of 40 connections
            assert peak_bytes < 320_000_000

    asyncio.run(main())


def test_large_responses_to_keys_are_returned_whole():
    """Guards against responses that are dropped although memory suffices for them."""
    body = b"x" * (entry_proxy.MAX_KEYED_RESPONSE_BYTES - 1000)

    async def respond(request):
        return web.Response(body=body)

    async def main():
        async with EntryUnderTest(respond) as entry:
            received = await asyncio.gather(
                *(entry.send("POST", key=entry.make_key(f"o{number}")) for number in range(8))
            )
            assert [one.outcome for one in received] == ["answered"] * 8
            assert all(one.body == body for one in received)

    asyncio.run(main())
