"""The scanner finds the same heads as the parsers do, however the data is divided."""

import asyncio
import itertools
import types

import pytest
from aiohttp.http_parser import HttpResponseParser
from aiohttp.http_parser import HttpResponseParserPy

from jasmineseam.transport import response_scanner
from jasmineseam.transport.response_protocol import ResponseProtocol
from jasmineseam.transport.response_scanner import ResponseScanner

RESPONSES = {
    "sized": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe\n\nl",
    "lower-case": b"HTTP/1.1 200 OK\r\ncontent-length:5\r\n\r\nhello",
    "empty": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "interim": b"HTTP/1.1 102 Processing\r\n\r\n",
    "no-content": b"HTTP/1.1 204 None\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\n\r\n\r\nA;x=1\r\n"
    b"HTTP/1.1 2\r\n0\r\n\r\n",
    "trailer": b"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-A: 1\r\n\r\n",
    "newlines": b"HTTP/1.1 200 OK\nContent-Length: 1\n\nx",
    "blank-lines": b"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
}
INVALID = b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("names", list(itertools.permutations(RESPONSES, 2)), ids=":".join)
def test_scanner_finds_each_head_however_the_data_is_divided(names):
    data = b"".join(RESPONSES[name] for name in names)
    for size in range(len(data) + 1):
        scanner = ResponseScanner()
        assert scanner.scan(data[:size]) == size
        assert scanner.scan(data[size:]) == len(data) - size
        assert scanner.valid_heads == 2
        assert scanner.scan(INVALID) == 0


@pytest.mark.parametrize("part_size", [1, 2, 7])
@pytest.mark.parametrize("parser", [HttpResponseParser, HttpResponseParserPy])
def test_scanner_finds_as_many_heads_as_the_parsers(parser, part_size):
    # The Python parser refuses a divided blank line before a head.
    names = [name for name in RESPONSES if name != "blank-lines"]
    data = b"".join(RESPONSES[name] for name in names)

    async def main():
        loop = asyncio.get_running_loop()
        parse = parser(ResponseProtocol(loop), loop, 65_536, read_until_eof=True)
        scanner = ResponseScanner()
        for start in range(0, len(data), part_size):
            part = data[start : start + part_size]
            assert scanner.scan(part) == len(part)
            messages, _, _ = parse.feed_data(part)
            scanner.valid_heads -= len(messages)
            assert scanner.valid_heads == 0

    asyncio.run(main())


def test_head_without_end_is_invalid():
    scanner = ResponseScanner()
    block = b"X-More: 1\r\n" * 1000
    assert scanner.scan(b"HTTP/1.1 200 OK\r\n") == 17
    size = 0
    while scanner.scan(block) == len(block):
        size += len(block)
    assert size <= response_scanner.MAX_HEAD_BYTES


@pytest.mark.parametrize("data", [b"x", b"HTTX", b"\x00garbage", b"\r\nHTTP/2", b"http/1.1"])
def test_bytes_that_begin_no_head_are_invalid_at_once(data):
    """Guards against a caller that waits for the end of what is no head."""
    for size in range(1, len(data) + 1):
        scanner = ResponseScanner()
        if scanner.scan(data[:size]) < size:
            return
    pytest.fail("accepted")


def test_head_that_only_the_parser_finds_ends_the_connection():
    """Guards against a difference between the scanner and a parser."""

    async def main():
        protocol = ResponseProtocol(asyncio.get_running_loop())
        protocol.set_response_params(read_until_eof=True)
        protocol._scanner = types.SimpleNamespace(scan=len, valid_heads=0)
        protocol.data_received(RESPONSES["empty"])
        assert protocol.should_close
        assert len(protocol) == 0

    asyncio.run(main())
