"""Stand-ins for backend servers, several per process, with a journal of the executed requests.

They implement the protocol of the ``Backend-*`` headers; :mod:`standins.instance` implements the
protocol of the ``Jasmineseam-Instance-*`` headers.
"""

from __future__ import annotations

import asyncio
import collections
import os
import random
import time
import weakref

import msgspec
import xxhash
from aiohttp import web

LOAD_PATH = "/load"


class ServerBehaviour(msgspec.Struct, kw_only=True):
    """The current behaviour of a server.

    ``POST /behaviour`` sets the fields by name; ``slow_until_in_s`` and ``cold_until_in_s`` set
    the two times relative to now.

    :param slow_until: end of a slowdown, on the monotonic clock.
    :param slow_factor: factor by which processing takes longer during a slowdown.
    :param fail_fast: responds with status 500 after 1 ms without running the request.
    :param draining: rejects new requests and reports that the server is draining.
    :param cold_until: end of the warm-up, on the monotonic clock.
    :param shed_above: rejects new requests once this many are in flight.
    :param lying: always reports a load of zero.
    :param cut: fraction of responses that are truncated in the middle.
    :param crossed: fraction of responses that carry another attempt's number.
    :param lost: fraction of runs whose connection is reset before the response.
    """

    slow_until: float = 0.0
    slow_factor: float = 10.0
    fail_fast: bool = False
    draining: bool = False
    cold_until: float = 0.0
    shed_above: int = 64
    lying: bool = False
    cut: float = 0.0
    crossed: float = 0.0
    lost: float = 0.0


class ServerProfile(msgspec.Struct, kw_only=True):
    """Settings that all servers of a process share.

    :param slots: how many requests a server runs at the same time.
    :param mean_service_s: mean service time, in seconds; a tenth of the requests take three times
        as long as the others.
    :param noise_period_s: mean time between slowdowns of one server by a noisy neighbour, in
        seconds; 0 for none.
    :param probe_s: time that a probe occupies a slot, in seconds.
    :param connection_setup_s: extra time of the first request on a connection, in seconds.
    """

    slots: int = 4
    mean_service_s: float = 0.01
    noise_period_s: float = 0.0
    probe_s: float = 0.006
    connection_setup_s: float = 0.001


class StandInServer:
    """One server.

    :param server_id: the server's id.
    :param profile: settings shared with the other servers of the process.
    :param seed: seed of all random values.
    :param journal_fd: descriptor of the journal, to which the server appends one line with the
        request id for each executed request.
    """

    def __init__(
        self, *, server_id: str, profile: ServerProfile, seed: int, journal_fd: int | None = None
    ) -> None:
        self.server_id = server_id
        # an unbuffered descriptor, so that no run is missing from the file after a SIGKILL
        self._journal_fd = journal_fd
        self._slowdown_task: asyncio.Task | None = None
        self.profile = profile
        self.behaviour = ServerBehaviour()
        self.random = random.Random(seed)
        self._slots = asyncio.Semaphore(profile.slots)
        self._known_connections: weakref.WeakSet = weakref.WeakSet()
        self.in_flight = 0
        # number of recent selections by the oracle whose requests may not have arrived yet
        self.unconfirmed_assignments = 0
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.request_count = 0
        self.last_request_at = 0.0
        self.probe_unix_times: list[float] = []
        self.total_probe_slot_s = 0.0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request or probe."""
        if request.path == LOAD_PATH:
            return await self._handle_probe()
        body = await request.read() if request.body_exists else b""
        if self.behaviour.draining:
            return self._reject("draining")
        if self.in_flight >= self.behaviour.shed_above:
            return self._reject("shed")
        self.request_count += 1
        self.last_request_at = time.monotonic()
        if self.behaviour.fail_fast:
            await asyncio.sleep(0.001)
            return web.Response(status=500, headers=self._build_load_headers())
        self.in_flight += 1
        try:
            async with self._slots:
                await self._run(request)
        finally:
            self.in_flight -= 1
        return await self._build_response(request, body)

    async def _run(self, request: web.BaseRequest) -> None:
        run_id = request.headers.get("Request-Id", "")
        if run_id:
            self.run_counts[run_id] += 1
            if self._journal_fd is not None:
                os.write(self._journal_fd, f"{run_id}\n".encode())
        work_s = self._sample_work_s()
        if request.transport not in self._known_connections:
            self._known_connections.add(request.transport)
            work_s += self.profile.connection_setup_s
        while work_s > 0:
            # a slowdown also affects requests that are already running
            now = time.monotonic()
            slow_s = self.behaviour.slow_until - now
            if slow_s > 0:
                step_s = min(slow_s, work_s * self.behaviour.slow_factor)
                await asyncio.sleep(step_s)
                work_s -= (time.monotonic() - now) / self.behaviour.slow_factor
                continue
            started_at = now
            await asyncio.sleep(min(work_s, 0.02))
            work_s -= time.monotonic() - started_at

    def _sample_work_s(self) -> float:
        # 1.2 is the mean of the factors below during normal operation: 0.9 * 1 + 0.1 * 3
        work_s = self.profile.mean_service_s / 1.2
        work_s *= self.random.uniform(0.5, 1.5)
        if self.random.random() < 0.1:
            work_s *= 3
        if time.monotonic() < self.behaviour.cold_until:
            work_s *= 4
        return work_s

    async def _handle_probe(self) -> web.Response:
        self.probe_unix_times.append(time.time())
        async with self._slots:
            started_at = time.monotonic()
            await asyncio.sleep(self.profile.probe_s)
            self.total_probe_slot_s += time.monotonic() - started_at
        return web.Response(headers=self._build_load_headers())

    async def _build_response(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        if self.random.random() < self.behaviour.lost:
            request.transport.abort()
        digest = digest_request(request.method, request.raw_path, body)
        response_body = msgspec.json.encode({"server": self.server_id, "digest": digest})
        size = int(request.query.get("size", "0"))
        response_body += b" " * max(0, size - len(response_body))
        headers = self._build_load_headers()
        attempt_number = request.headers.get("Jasmineseam-Attempt", "")
        if self.random.random() < self.behaviour.crossed:
            attempt_number += "0"
        headers["Jasmineseam-Attempt"] = attempt_number
        if self.random.random() < self.behaviour.cut:
            response = web.StreamResponse(headers=headers)
            response.content_length = len(response_body)
            await response.prepare(request)
            await response.write(response_body[: len(response_body) // 2])
            request.transport.abort()
            return response
        if "chunked" in request.query:
            response = web.StreamResponse(headers=headers)
            response.enable_chunked_encoding()
            await response.prepare(request)
            await response.write(response_body[:10])
            await response.write(response_body[10:])
            await response.write_eof()
            return response
        return web.Response(body=response_body, headers=headers)

    def _reject(self, reason: str) -> web.Response:
        headers = self._build_load_headers()
        headers["Backend-Refusal"] = reason
        return web.Response(status=503, headers=headers)

    def _build_load_headers(self) -> dict[str, str]:
        reported_in_flight = 0 if self.behaviour.lying else max(0, self.in_flight - 1)
        headers = {"Backend-Load": f"{reported_in_flight}/{self.profile.slots}"}
        if self.behaviour.draining:
            headers["Backend-State"] = "draining"
        elif time.monotonic() < self.behaviour.cold_until:
            headers["Backend-State"] = "cold"
        return headers

    def restart_slowdowns(self, seed: int) -> None:
        """Start the random slowdowns by a noisy neighbour; cancels those of an earlier seed."""
        if self._slowdown_task is not None:
            self._slowdown_task.cancel()
        self.behaviour.slow_until = 0.0
        if self.profile.noise_period_s:
            slowdown_random = random.Random(f"{seed} {self.server_id}")
            self._slowdown_task = asyncio.create_task(self._run_slowdowns(slowdown_random))

    async def _run_slowdowns(self, slowdown_random: random.Random) -> None:
        while True:
            await asyncio.sleep(slowdown_random.expovariate(1 / self.profile.noise_period_s))
            self.behaviour.slow_until = time.monotonic() + slowdown_random.uniform(0.05, 0.5)


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return a request's digest, by which a caller verifies that a response is its own."""
    return xxhash.xxh3_64_hexdigest(f"{method} {path}\n".encode() + body)


class ServerGroup:
    """The servers of one process and their admin endpoint."""

    def __init__(self, *, servers: list[StandInServer]) -> None:
        self.servers = {server.server_id: server for server in servers}

    async def handle_admin_request(self, request: web.BaseRequest) -> web.Response:
        """Change behaviours (``/behaviour``), restart slowdowns (``/noise``) or return counts."""
        if request.path == "/noise":
            seed = msgspec.json.decode(await request.read())
            for server in self.servers.values():
                server.restart_slowdowns(seed)
            return web.Response()
        if request.path == "/behaviour":
            changes = msgspec.json.decode(await request.read())
            for server_id in changes.pop("servers", list(self.servers)):
                server = self.servers[server_id]
                for name in ("slow_until", "cold_until"):
                    if f"{name}_in_s" in changes:
                        until = time.monotonic() + changes[f"{name}_in_s"]
                        setattr(server.behaviour, name, until)
                fields = {k: v for k, v in changes.items() if not k.endswith("_in_s")}
                server.behaviour = msgspec.structs.replace(server.behaviour, **fields)
            return web.Response()
        counts_by_server = {}
        now = time.monotonic()
        for server in self.servers.values():
            counts_by_server[server.server_id] = {
                "requests": server.request_count,
                "idle_s": now - server.last_request_at,
                "held": server.in_flight,
                "probes_at": server.probe_unix_times,
                "probe_slot_s": server.total_probe_slot_s,
            }
        return web.Response(body=msgspec.json.encode(counts_by_server))


class Oracle(asyncio.DatagramProtocol):
    """Replies to each datagram with the id of the server with the fewest requests in flight."""

    def __init__(self, *, servers: list[StandInServer]) -> None:
        self._servers = servers
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        """Store the transport for the replies."""
        self._transport = transport

    def datagram_received(self, data: bytes, address) -> None:
        """Select a server and count the selection as load for 4 ms, until its request arrives."""
        least_loaded = min(
            self._servers,
            key=lambda server: (
                server.in_flight + server.unconfirmed_assignments,
                server.random.random(),
            ),
        )
        least_loaded.unconfirmed_assignments += 1
        asyncio.get_running_loop().call_later(0.004, self._release_assignment, least_loaded)
        self._transport.sendto(data + least_loaded.server_id.encode(), address)

    def _release_assignment(self, server: StandInServer) -> None:
        server.unconfirmed_assignments -= 1
