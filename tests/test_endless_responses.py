"""Responses without end at the stand-alone programs and at the clients of the platform.

How much is read is measured at the server, which sends no more than its peer reads. The memory
that the kernel takes for a connection is part of it.
"""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from jasmineseam.catalogue.entry import check_entry
from jasmineseam.exceptions import PlatformError
from jasmineseam.membership.servers import Server
from jasmineseam.platform import store_client
from jasmineseam.platform.store_client import StoreClient
from jasmineseam.programs.server_prober import ServerProber
from jasmineseam.standalone.log_client import LogClient
from jasmineseam.standalone.vm_list_client import VmListClient
from jasmineseam.transport.response_protocol import open_connector
from tests.raw_http import EndlessServer

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


async def probe(address):
    entry = check_entry("t", {"service": "s", "owner": "t", "measuring": {"probes": 10}})
    async with aiohttp.ClientSession(connector=open_connector()) as session:
        prober = ServerProber(
            seat_number=0,
            seat_count=1,
            holder="a",
            log=None,
            session=session,
            servers=None,
            list_entries=list,
        )
        server = Server(server_id="s0", service="s", address=address, failure_domain="d")
        await prober._send_probe(entry, server)
        assert prober.probe_results == []


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
        async with EndlessServer(start, repeated) as server:
            started_at = time.monotonic()
            with contextlib.suppress(TimeoutError):
                await read(server.address)
            assert time.monotonic() - started_at < 4.0
            assert server.sent_bytes < READERS[read] + KERNEL_BYTES

    asyncio.run(main())
