"""A stand-in for a backend server as the users' platform runs them, with its faults.

It speaks HTTP over plain streams, since a faulty one sends what no HTTP library would.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
import struct
import time

import msgspec

_LINGER = struct.Struct("ii")
# time that work takes on an instance that has just started, as a multiple of the usual
COLD_FACTOR = 3.0


class InstanceBehaviour(msgspec.Struct, kw_only=True):
    """How an instance behaves at the moment.

    :param work_s: time that a request takes.
    :param slowness_pct: time that work takes, in percent of the usual.
    :param fail: status of all answers, 0 for success.
    :param fault: what is wrong with answers: ``cut``, ``reset``, ``lost``, ``mute``, ``extra``,
        ``late-extra``, ``unframed``, ``unframed-reset``, ``unsigned``, ``garbage``, ``encoded``.
    :param faults: how many of the next answers are faulty, -1 for all.
    :param mute_when_full: says nothing where it would reject.
    :param healthy: what the health check says.
    """

    work_s: float = 0.005
    slowness_pct: int = 100
    fail: int = 0
    fault: str = ""
    faults: int = -1
    mute_when_full: bool = False
    healthy: bool = True


class StandInInstance:
    """One instance.

    :param instance_id: its id.
    :param service: whose instance it is.
    :param cold_s: for how long after its start its work takes longer, in seconds.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        service: str,
        slots: int = 4,
        queue: int = 8,
        size: int = 32,
        cold_s: float = 0.0,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        self.queue = queue
        self.size = size
        self.behaviour = InstanceBehaviour()
        self.address = ""
        self.warm_at = time.monotonic() + cold_s
        self.running = 0
        self.waiting = 0
        # how often each request id was run, and those whose connection closed before the end
        self.runs: collections.Counter[str] = collections.Counter()
        self.dropped: list[str] = []
        self.heads: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.probes_at: list[float] = []
        self.connections = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._sequence = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """End as by a crash: all connections are reset."""
        if self._server is None:
            return
        self._server.close()
        self.cut_connections()
        self._server = None

    def cut_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    def describe(self, *, state: str = "ready", zone: str = "d1", born: int = 1) -> dict:
        """Return its entry in the store, each with the next sequence number."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup-left": f"{1000 * self._get_cold_s():.0f}ms",
            "sequence": self._sequence,
            "born": born,
        }

    def _get_cold_s(self) -> float:
        return max(0.0, self.warm_at - time.monotonic())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                continue
        except (OSError, asyncio.IncompleteReadError):
            # the caller has closed the connection
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        line, _, rest = head.decode().partition("\r\n")
        method, path, _ = line.split(" ")
        headers = {}
        for text in rest.strip().splitlines():
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/healthz":
            self.probes_at.append(time.monotonic())
            status = 200 if self.behaviour.healthy else 503
            identity = [f"Jasmineseam-Instance-Id: {self.instance_id}"]
            writer.write(self._frame(status, identity, b"ok", signed=False))
            return True
        headers[":path"] = path
        headers[":method"] = method
        self.heads.append(headers)
        self.bodies.append(body)
        expected = headers.get("jasmineseam-expect-instance", self.instance_id)
        if expected != self.instance_id:
            identity = [f"Jasmineseam-Instance-Id: {self.instance_id}"]
            writer.write(self._frame(421, identity, b"", signed=False))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            if self.behaviour.mute_when_full:
                await reader.read(-1)
                return False
            writer.write(self._frame(503, ["Jasmineseam-Not-Executed: 1"], b"", signed=False))
            return True
        return await self._run(reader, writer, headers.get("jasmineseam-request-id", ""))

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_id: str
    ) -> bool:
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs[request_id] += 1
            work = asyncio.ensure_future(self._work())
            closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self.dropped.append(request_id)
                return False
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
        finally:
            self.running -= 1
            self._free.release()
        return await self._answer(writer, request_id)

    async def _work(self) -> None:
        factor = COLD_FACTOR if self._get_cold_s() > 0 else 1.0
        await asyncio.sleep(factor * self.behaviour.work_s * self.behaviour.slowness_pct / 100)

    async def _answer(self, writer: asyncio.StreamWriter, request_id: str) -> bool:
        behaviour = self.behaviour
        fault = behaviour.fault if behaviour.faults else ""
        if fault and behaviour.faults > 0:
            behaviour.faults -= 1
        echo = [f"Jasmineseam-Request-Id: {request_id}"]
        content = f"{request_id} by {self.instance_id} ".encode()
        body = content + b"." * max(0, self.size - len(content))
        status = behaviour.fail or 200
        whole = self._frame(status, echo, body, signed=fault != "unsigned")
        if fault == "mute":
            await asyncio.sleep(30.0)
        if fault in ("lost", "reset"):
            if fault == "reset":
                _reset(writer)
            return False
        if fault == "garbage":
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")
            return True
        if fault == "cut":
            writer.write(whole[: len(whole) - len(body) // 2])
            await writer.drain()
            return False
        if fault.startswith("unframed"):
            head = whole[: whole.index(b"\r\n\r\n")].split(b"\r\n")
            kept = [line for line in head if not line.startswith(b"Content-Length")]
            writer.write(b"\r\n".join(kept) + b"\r\n\r\n" + body[: len(body) // 2])
            await writer.drain()
            await asyncio.sleep(0.01)
            if fault == "unframed-reset":
                _reset(writer)
                return False
            writer.write(body[len(body) // 2 :])
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            return False
        if fault == "encoded":
            whole = self._frame(status, [*echo, "Content-Encoding: gzip"], body, signed=True)
        writer.write(whole)
        if fault == "extra":
            writer.write(whole)
        if fault == "late-extra":
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, writer.write, whole)
        return True

    def _frame(self, status: int, headers: list[str], body: bytes, *, signed: bool) -> bytes:
        lines = [f"HTTP/1.1 {status} Stand-in", *headers]
        load = f"{self.running},{self.waiting},{self.slots},{self.behaviour.slowness_pct}"
        lines.append(f"Jasmineseam-Instance-Load: {load}")
        if signed:
            lines.append("Jasmineseam-Response-Signature: 1.2.3")
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset, not an end."""
    opened = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(1, 0))
    writer.transport.abort()
