"""A stand-in for a backend server that the metadata store lists, with configurable faults.

It speaks the protocol of the ``Jasmineseam-Instance-*`` headers; :mod:`standins.server` implements
the protocol of the ``Backend-*`` headers. It implements HTTP on asyncio streams, because an HTTP
library can't send malformed responses.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
import struct
import time
import typing as t

import msgspec

_SO_LINGER_VALUE = struct.Struct("ii")
# processing time during warm-up, as a multiple of the usual time
WARMUP_SLOWDOWN_FACTOR = 3.0


class InstanceBehaviour(msgspec.Struct, kw_only=True):
    """The current behaviour of an instance.

    :param work_s: processing time of a request, in seconds.
    :param slowness_pct: processing time in percent of the usual time.
    :param error_status: status of all responses, 0 for success.
    :param raw_response: bytes that are sent in place of a response to a request, empty for none.
    :param leaving: whether all responses report that the instance is leaving.
    :param retry_after_s: a request is rejected with this Retry-After time in seconds, unless it
        is 0.
    :param crash_path: a request with this path crashes the instance that runs it; empty for none.
    :param request_limit_per_s: all responses name this limit on requests from all nodes, unless
        it is ``None``.
    :param endless_pause_s: pause between two bytes of an ``endless-*`` fault, in seconds; 0 to
        send as fast as possible.
    :param fault: the fault of the responses, empty for none:
        ``cut``: the connection is closed in the middle of the body.
        ``reset``, ``lost``: the connection is reset or closed instead of a response.
        ``mute``: the response is delayed by 30 s.
        ``extra``, ``late-extra``: the response is sent twice, at once or after 20 ms.
        ``repeated-refusal``: before the response, the last rejection on the connection is sent
        once more.
        ``unframed``: no Content-Length header; the end of the connection ends the body.
        ``unframed-reset``: as ``unframed``, with a reset in the middle of the body.
        ``unsigned``: no signature header.
        ``garbage``: bytes that are no HTTP response.
        ``encoded``: a Content-Encoding header, although the body is not encoded.
        ``endless-line``, ``endless-head``: a header line, or header lines, without end.
        ``endless-interim``: interim responses without end.
        ``endless-sized``, ``endless-chunked``, ``endless-unframed``: a body without end that
        announces a huge size, is chunked, or ends with the connection.
        ``endless-trailer``: a complete chunked body with trailer lines without end.
        ``endless-other``: a body without end in a response to another request.
    :param fault_count: how many of the next responses are faulty, -1 for all.
    :param silent_when_full: sends no response where it would reject a request.
    :param healthy: whether health checks succeed.
    :param rejects_probes: whether health checks are rejected, as by an instance that is full.
    :param reports_load: whether responses report the load.
    """

    work_s: float = 0.005
    slowness_pct: int = 100
    error_status: int = 0
    fault: str = ""
    fault_count: int = -1
    silent_when_full: bool = False
    healthy: bool = True
    rejects_probes: bool = False
    reports_load: bool = True
    raw_response: bytes = b""
    leaving: bool = False
    retry_after_s: float = 0.0
    crash_path: str = ""
    request_limit_per_s: float | None = None
    endless_pause_s: float = 0.0


class StandInInstance:
    """One instance.

    :param instance_id: the instance's id.
    :param service: the service that the instance belongs to.
    :param slots: how many requests run at the same time.
    :param max_queued: how many requests wait for a slot before further ones are rejected.
    :param response_bytes: minimum size of a response body, in bytes.
    :param warmup_s: duration of the warm-up after the start, in seconds.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        service: str,
        slots: int = 4,
        max_queued: int = 8,
        response_bytes: int = 32,
        warmup_s: float = 0.0,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        self.max_queued = max_queued
        self.response_bytes = response_bytes
        self.behaviour = InstanceBehaviour()
        self.address = ""
        self.warmup_ends_at = time.monotonic() + warmup_s
        self.running = 0
        self.waiting = 0
        # number of executions by request id
        self.run_counts: collections.Counter[str] = collections.Counter()
        # ids of the requests that were cancelled because the client closed the connection
        self.cancelled_requests: list[str] = []
        self.request_headers: list[dict[str, str]] = []
        self.request_bodies: list[bytes] = []
        self.probe_times: list[float] = []
        self.rejection_times: list[float] = []
        self.endless_bytes = 0
        self.connection_count = 0
        # called with the headers of each request that is meant for this instance, and of each run
        self.on_arrival: t.Callable[[dict[str, str]], None] = lambda headers: None
        self.on_run: t.Callable[[dict[str, str]], None] = lambda headers: None
        self._free_slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # the last rejection that was sent on each open connection
        self._rejections: dict[asyncio.StreamWriter, bytes] = {}
        self._sequence = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen; port 0 lets the kernel choose."""
        self._server = await asyncio.start_server(self._serve_connection, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop as in a crash: all connections are reset."""
        if self._server is None:
            return
        self._server.close()
        self.reset_connections()
        self._server = None

    def is_stopped(self) -> bool:
        """Return whether the instance does not listen."""
        return self._server is None

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset_connection(writer)

    def build_store_record(self, *, state: str = "ready", zone: str = "d1", born: int = 1) -> dict:
        """Return a store record of this instance; each call increments its sequence number."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup-left": f"{1000 * self._get_remaining_warmup_s():.0f}ms",
            "sequence": self._sequence,
            "born": born,
        }

    def is_cold(self) -> bool:
        """Return whether the instance is warming up."""
        return self._get_remaining_warmup_s() > 0.0

    def _get_remaining_warmup_s(self) -> float:
        return max(0.0, self.warmup_ends_at - time.monotonic())

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                continue
        except (OSError, asyncio.IncompleteReadError):
            # the client closed the connection
            pass
        finally:
            self._writers.discard(writer)
            self._rejections.pop(writer, None)
            writer.transport.abort()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, _, header_lines = head.decode().partition("\r\n")
        method, path, _ = request_line.split(" ")
        headers = {}
        for line in header_lines.strip().splitlines():
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/healthz":
            self.probe_times.append(time.monotonic())
            if self.behaviour.rejects_probes:
                self._reject(writer, 503, ["Jasmineseam-Not-Executed: 1"])
                return True
            status = 200 if self.behaviour.healthy else 503
            id_header = [f"Jasmineseam-Instance-Id: {self.instance_id}"]
            if self.is_cold():
                warmup_ms = 1000 * self._get_remaining_warmup_s()
                id_header.append(f"Jasmineseam-Warmup-Ms: {warmup_ms:.0f}")
            writer.write(self._build_response(status, id_header, b"ok", signed=False))
            return True
        headers[":path"] = path
        headers[":method"] = method
        self.request_headers.append(headers)
        self.request_bodies.append(body)
        expected_id = headers.get("jasmineseam-expect-instance", self.instance_id)
        if expected_id != self.instance_id:
            id_header = [f"Jasmineseam-Instance-Id: {self.instance_id}"]
            self._reject(writer, 421, id_header)
            return True
        self.on_arrival(headers)
        if self.behaviour.retry_after_s:
            headers_sent = [
                "Jasmineseam-Not-Executed: 1",
                f"Retry-After: {self.behaviour.retry_after_s:g}",
            ]
            self.rejection_times.append(time.monotonic())
            self._reject(writer, 503, headers_sent)
            return True
        if self.running >= self.slots and self.waiting >= self.max_queued:
            if self.behaviour.silent_when_full:
                await reader.read(-1)
                return False
            self._reject(writer, 503, ["Jasmineseam-Not-Executed: 1"])
            return True
        request_id = headers.get("jasmineseam-request-id", "")
        if path == self.behaviour.crash_path:
            self.run_counts[request_id] += 1
            await self.stop()
            return False
        return await self._run_request(reader, writer, headers)

    def _reject(self, writer: asyncio.StreamWriter, status: int, headers: list[str]) -> None:
        response = self._build_response(status, headers, b"", signed=False)
        self._rejections[writer] = response
        writer.write(response)

    async def _run_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        request_id = headers.get("jasmineseam-request-id", "")
        self.waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.run_counts[request_id] += 1
            self.on_run(headers)
            if self.behaviour.fault == "repeated-refusal":
                writer.write(self._rejections.get(writer, b""))
            work_task = asyncio.ensure_future(self._simulate_processing())
            # completes when the client closes the connection; the request is then cancelled
            read_task = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work_task, read_task}, return_when=asyncio.FIRST_COMPLETED)
            if not work_task.done():
                work_task.cancel()
                self.cancelled_requests.append(request_id)
                return False
            read_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await read_task
        finally:
            self.running -= 1
            self._free_slots.release()
        return await self._send_response(writer, request_id)

    async def _simulate_processing(self) -> None:
        factor = WARMUP_SLOWDOWN_FACTOR if self.is_cold() else 1.0
        await asyncio.sleep(factor * self.behaviour.work_s * self.behaviour.slowness_pct / 100)

    async def _send_response(self, writer: asyncio.StreamWriter, request_id: str) -> bool:
        behaviour = self.behaviour
        fault = behaviour.fault if behaviour.fault_count else ""
        if fault and behaviour.fault_count > 0:
            behaviour.fault_count -= 1
        request_id_header = [f"Jasmineseam-Request-Id: {request_id}"]
        content = f"{request_id} by {self.instance_id} ".encode()
        body = content + b"." * max(0, self.response_bytes - len(content))
        status = behaviour.error_status or 200
        response = self._build_response(
            status, request_id_header, body, signed=fault != "unsigned"
        )
        if fault == "mute":
            await asyncio.sleep(30.0)
        if fault in ("lost", "reset"):
            if fault == "reset":
                _reset_connection(writer)
            return False
        if fault.startswith("endless-"):
            await self._send_without_end(writer, fault, request_id)
            return False
        if behaviour.raw_response:
            writer.write(behaviour.raw_response)
            return True
        if fault == "garbage":
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")
            return True
        if fault == "cut":
            writer.write(response[: len(response) - len(body) // 2])
            await writer.drain()
            return False
        if fault.startswith("unframed"):
            header_lines = response[: response.index(b"\r\n\r\n")].split(b"\r\n")
            kept_lines = [line for line in header_lines if not line.startswith(b"Content-Length")]
            writer.write(b"\r\n".join(kept_lines) + b"\r\n\r\n" + body[: len(body) // 2])
            await writer.drain()
            await asyncio.sleep(0.01)
            if fault == "unframed-reset":
                _reset_connection(writer)
                return False
            writer.write(body[len(body) // 2 :])
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            return False
        if fault == "encoded":
            response = self._build_response(
                status, [*request_id_header, "Content-Encoding: gzip"], body, signed=True
            )
        writer.write(response)
        if fault == "extra":
            writer.write(response)
        if fault == "late-extra":
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, writer.write, response)
        return True

    async def _send_without_end(
        self, writer: asyncio.StreamWriter, fault: str, request_id: str
    ) -> None:
        """Send the start of a response, then the same bytes again until the client closes."""
        other_id = "another-request" if fault == "endless-other" else request_id
        head = (
            "HTTP/1.1 200 Stand-in\r\nJasmineseam-Response-Signature: 1.2.3\r\n"
            f"Jasmineseam-Request-Id: {other_id}\r\n"
        )
        start, repeated = {
            "endless-line": (head + "X-Long: ", "x"),
            "endless-head": (head, "X-More: 1\r\n"),
            "endless-interim": ("", "HTTP/1.1 102 Processing\r\n\r\n"),
            "endless-sized": (head + "Content-Length: 99999999999999\r\n\r\n", "x"),
            "endless-chunked": (head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
            "endless-unframed": (head + "\r\n", "x"),
            "endless-trailer": (
                head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                "X-More: 1\r\n",
            ),
            "endless-other": (head + "Content-Length: 99999999999999\r\n\r\n", "x"),
        }[fault]
        writer.write(start.encode())
        block = repeated.encode()
        if self.behaviour.endless_pause_s:
            while True:
                for byte in block:
                    writer.write(bytes([byte]))
                    await writer.drain()
                    await asyncio.sleep(self.behaviour.endless_pause_s)
        block *= 65_536 // len(block)
        while True:
            writer.write(block)
            self.endless_bytes += len(block)
            await writer.drain()
            await asyncio.sleep(0)

    def _build_response(
        self, status: int, headers: list[str], body: bytes, *, signed: bool
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Stand-in", *headers]
        load = f"{self.running},{self.waiting},{self.slots},{self.behaviour.slowness_pct}"
        if self.behaviour.reports_load:
            lines.append(f"Jasmineseam-Instance-Load: {load}")
        if self.behaviour.leaving:
            lines.append("Server-Leaving: 1")
        if self.behaviour.request_limit_per_s is not None:
            lines.append(f"Server-Limit: {self.behaviour.request_limit_per_s:g}")
        if signed:
            lines.append("Jasmineseam-Response-Signature: 1.2.3")
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of an orderly shutdown."""
    connection_socket = writer.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _SO_LINGER_VALUE.pack(1, 0))
    writer.transport.abort()
