"""Servers that send an answer a second time, whole or in part, before the next answer.

The response to a caller must be the answer to its own request, with its own status.
"""

import asyncio

import pytest
from multidict import CIMultiDict

from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.platform.headers import decode_response_headers
from jasmineseam.transport.response_memory import ResponseMemory
from jasmineseam.transport.server_connection import open_connection

BODY = b"hello"


def build_answer(status, request_id, *, headers=(), id_first=True):
    lines = [
        f"Jasmineseam-Request-Id: {request_id}",
        f"Jasmineseam-Response-Signature: signature-{request_id}",
        "Content-Type: text/plain",
        *headers,
        f"Content-Length: {len(BODY)}",
    ]
    if not id_first:
        lines.reverse()
    return "\r\n".join([f"HTTP/1.1 {status}", *lines]).encode() + b"\r\n\r\n" + BODY


class ScriptedServer:
    """Answers each request with the next list of parts, which are sent one after the other."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.request_count = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while self._answers:
                await reader.readuntil(b"\r\n\r\n")
                self.request_count += 1
                for part in self._answers.pop(0):
                    writer.write(part)
                    await writer.drain()
                    # The parts arrive at different times.
                    await asyncio.sleep(0.002)
            await reader.read(-1)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


async def exchange(connection, request_id):
    """Send a request and return the status, the headers and the body of its answer."""

    def decode(status, headers):
        head = decode_response_headers(status, headers)
        return head if head.request_id == request_id else None

    await connection.send("GET", "/safe/1", CIMultiDict({"Host": "a"}), b"")
    response = await connection.receive_head(decode)
    body, _ = await connection.read_body(response, 2**20, ResponseMemory(max_bytes=2**20))
    connection.end_exchange()
    return response.status, response.headers, body


async def play_late_part(part, answer):
    """Return what a request gets, before whose answer a part of the answer before arrives."""
    first = build_answer("200 OK", "a")
    async with ScriptedServer([[first], [part, answer]]) as server:
        connection = await open_connection(server.address, 1.0)
        try:
            await exchange(connection, "a")
            async with asyncio.timeout(0.5):
                return await exchange(connection, "b")
        except (AttemptOutcomeUnknownError, TimeoutError):
            return None
        finally:
            connection.close()


@pytest.mark.parametrize("id_first", [True, False])
@pytest.mark.parametrize("status", ["500 Internal Server Error", "503 Full", "404 None: such"])
def test_late_part_of_an_answer_does_not_replace_the_status_of_the_next_one(status, id_first):
    """Guards against a success whose server has answered with a failure.

    The second copy of a success breaks off in its reason phrase or in the value of a header. The
    status line of the failure that follows then continues that line, so that the rest of its
    head, with the id of the request, seems to belong to the success.
    """
    copy = build_answer("200 OK", "a", id_first=id_first)
    head_size = copy.index(b"\r\n\r\n") + 4
    answer = build_answer(status, "b")

    async def scenario():
        for start in range(0, head_size, 8):
            results = await asyncio.gather(
                *(
                    play_late_part(copy[:size], answer)
                    for size in range(start, min(start + 8, head_size))
                )
            )
            for size, result in enumerate(results, start):
                if result is not None:
                    assert result[0] == int(status[:3]), copy[:size]
                    assert result[2] == BODY

    asyncio.run(scenario())


def test_whole_late_copies_are_skipped():
    async def scenario():
        copy = build_answer("200 OK", "a")
        for copies in ([copy], [copy, copy], [copy + copy]):
            result = await play_late_part(
                b"".join(copies), build_answer("500 Internal Server Error", "b")
            )
            assert result is not None
            assert result[0] == 500

    asyncio.run(scenario())


def test_header_that_names_a_protocol_is_no_status_line():
    async def scenario():
        answer = build_answer("200 OK", "b", headers=["Via: HTTP/1.1 edge-7", "X: HTTP/1.1 20"])
        assert (await play_late_part(b"", answer))[0] == 200

    asyncio.run(scenario())
