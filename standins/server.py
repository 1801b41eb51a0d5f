"""Stand-ins for backend servers, several in one process, with a journal of what they have run."""

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


class Behaviour(msgspec.Struct, kw_only=True):
    """How a server behaves at the moment.

    :param slow_until: end of a slowdown, on the monotonic clock.
    :param slow_factor: how much longer everything takes during it.
    :param fail_fast: answers 500 after 1 ms without running anything.
    :param draining: refuses new work.
    :param shed_above: refuses new work when more requests are held.
    :param lying: reports no load.
    :param cut: share of answers that are cut in the middle.
    :param crossed: share of answers that name another attempt.
    :param lost: share of runs whose connection breaks before the answer.
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


class Profile(msgspec.Struct, kw_only=True):
    """What all servers of a process have in common.

    :param mean_s: mean service time; a tenth of the requests take three times the rest's.
    :param noise_period_s: mean time between a neighbour's slowdowns of one server, 0 for none.
    :param probe_s: slot time that a probe takes.
    :param connect_s: extra time of a new connection's first request.
    """

    slots: int = 4
    mean_s: float = 0.01
    noise_period_s: float = 0.0
    probe_s: float = 0.006
    connect_s: float = 0.001


class StandInServer:
    """One server."""

    def __init__(
        self, *, server_id: str, profile: Profile, seed: int, journal: int | None = None
    ) -> None:
        self.server_id = server_id
        # a file descriptor: what was run must outlive a kill
        self._journal = journal
        self._noise: asyncio.Task | None = None
        self.profile = profile
        self.behaviour = Behaviour()
        self.random = random.Random(seed)
        self._slots = asyncio.Semaphore(profile.slots)
        self._connections: weakref.WeakSet = weakref.WeakSet()
        self.held = 0
        self.assigned = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.requests = 0
        self.last_request_at = 0.0
        self.probes_at: list[float] = []
        self.probe_slot_s = 0.0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path == LOAD_PATH:
            return await self._answer_probe()
        body = await request.read() if request.body_exists else b""
        if self.behaviour.draining:
            return self._refuse("draining")
        if self.held >= self.behaviour.shed_above:
            return self._refuse("shed")
        self.requests += 1
        self.last_request_at = time.monotonic()
        if self.behaviour.fail_fast:
            await asyncio.sleep(0.001)
            return web.Response(status=500, headers=self._report())
        self.held += 1
        try:
            async with self._slots:
                await self._run(request)
        finally:
            self.held -= 1
        return await self._build_answer(request, body)

    async def _run(self, request: web.BaseRequest) -> None:
        run_id = request.headers.get("Request-Id", "")
        if run_id:
            self.runs[run_id] += 1
            if self._journal is not None:
                os.write(self._journal, f"{run_id}\n".encode())
        work_s = self._draw_work_s()
        if request.transport not in self._connections:
            self._connections.add(request.transport)
            work_s += self.profile.connect_s
        while work_s > 0:
            # work that a slowdown overtakes goes on slowly until it ends
            now = time.monotonic()
            slow_s = self.behaviour.slow_until - now
            if slow_s > 0:
                step_s = min(slow_s, work_s * self.behaviour.slow_factor)
                await asyncio.sleep(step_s)
                work_s -= (time.monotonic() - now) / self.behaviour.slow_factor
                continue
            began_at = now
            await asyncio.sleep(min(work_s, 0.02))
            work_s -= time.monotonic() - began_at

    def _draw_work_s(self) -> float:
        work_s = self.profile.mean_s / 1.2
        work_s *= self.random.uniform(0.5, 1.5)
        if self.random.random() < 0.1:
            work_s *= 3
        if time.monotonic() < self.behaviour.cold_until:
            work_s *= 4
        return work_s

    async def _answer_probe(self) -> web.Response:
        self.probes_at.append(time.time())
        async with self._slots:
            began_at = time.monotonic()
            await asyncio.sleep(self.profile.probe_s)
            self.probe_slot_s += time.monotonic() - began_at
        return web.Response(headers=self._report())

    async def _build_answer(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        if self.random.random() < self.behaviour.lost:
            request.transport.abort()
        digest = digest_request(request.method, request.raw_path, body)
        answer = msgspec.json.encode({"server": self.server_id, "digest": digest})
        size = int(request.query.get("size", "0"))
        answer += b" " * max(0, size - len(answer))
        headers = self._report()
        number = request.headers.get("Jasmineseam-Attempt", "")
        if self.random.random() < self.behaviour.crossed:
            number += "0"
        headers["Jasmineseam-Attempt"] = number
        if self.random.random() < self.behaviour.cut:
            response = web.StreamResponse(headers=headers)
            response.content_length = len(answer)
            await response.prepare(request)
            await response.write(answer[: len(answer) // 2])
            request.transport.abort()
            return response
        if "chunked" in request.query:
            response = web.StreamResponse(headers=headers)
            response.enable_chunked_encoding()
            await response.prepare(request)
            await response.write(answer[:10])
            await response.write(answer[10:])
            await response.write_eof()
            return response
        return web.Response(body=answer, headers=headers)

    def _refuse(self, reason: str) -> web.Response:
        headers = self._report()
        headers["Backend-Refusal"] = reason
        return web.Response(status=503, headers=headers)

    def _report(self) -> dict[str, str]:
        held = 0 if self.behaviour.lying else max(0, self.held - 1)
        headers = {"Backend-Load": f"{held}/{self.profile.slots}"}
        if self.behaviour.draining:
            headers["Backend-State"] = "draining"
        elif time.monotonic() < self.behaviour.cold_until:
            headers["Backend-State"] = "cold"
        return headers

    def start_noise(self, seed: int) -> None:
        """Begin the slowdowns of a noisy neighbour anew, as the seed draws them."""
        if self._noise is not None:
            self._noise.cancel()
        self.behaviour.slow_until = 0.0
        if self.profile.noise_period_s:
            chooser = random.Random(f"{seed} {self.server_id}")
            self._noise = asyncio.create_task(self._make_noise(chooser))

    async def _make_noise(self, chooser: random.Random) -> None:
        while True:
            await asyncio.sleep(chooser.expovariate(1 / self.profile.noise_period_s))
            self.behaviour.slow_until = time.monotonic() + chooser.uniform(0.05, 0.5)


def digest_request(method: str, path: str, body: bytes) -> str:
    """Digest a request, so that its caller can tell its own answer from others'."""
    return xxhash.xxh3_64_hexdigest(f"{method} {path}\n".encode() + body)


class ServerGroup:
    """All servers of one process, and the address to administer them."""

    def __init__(self, *, servers: list[StandInServer]) -> None:
        self.servers = {server.server_id: server for server in servers}

    async def administer(self, request: web.BaseRequest) -> web.Response:
        """Change behaviours, begin the noise anew, or tell the journal."""
        if request.path == "/noise":
            seed = msgspec.json.decode(await request.read())
            for server in self.servers.values():
                server.start_noise(seed)
            return web.Response()
        if request.path == "/behaviour":
            changes = msgspec.json.decode(await request.read())
            for server_id in changes.pop("servers", list(self.servers)):
                server = self.servers[server_id]
                for name in ("slow_until", "cold_until"):
                    if f"{name}_in_s" in changes:
                        until = time.monotonic() + changes[f"{name}_in_s"]
                        setattr(server.behaviour, name, until)
                plain = {k: v for k, v in changes.items() if not k.endswith("_in_s")}
                server.behaviour = msgspec.structs.replace(server.behaviour, **plain)
            return web.Response()
        journal = {}
        now = time.monotonic()
        for server in self.servers.values():
            journal[server.server_id] = {
                "requests": server.requests,
                "idle_s": now - server.last_request_at,
                "held": server.held,
                "probes_at": server.probes_at,
                "probe_slot_s": server.probe_slot_s,
            }
        return web.Response(body=msgspec.json.encode(journal))


class Oracle(asyncio.DatagramProtocol):
    """Answers each datagram with the id of the server that holds the fewest requests."""

    def __init__(self, *, servers: list[StandInServer]) -> None:
        self._servers = servers
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        """Keep the transport to answer with."""
        self._transport = transport

    def datagram_received(self, data: bytes, address) -> None:
        """Choose, and count the choice until the request arrives."""
        fewest = min(self._servers, key=lambda one: (one.held + one.assigned, one.random.random()))
        fewest.assigned += 1
        asyncio.get_running_loop().call_later(0.004, self._arrive, fewest)
        self._transport.sendto(data + fewest.server_id.encode(), address)

    def _arrive(self, server: StandInServer) -> None:
        server.assigned -= 1
