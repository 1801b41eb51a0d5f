"""A stand-in for the platform: an append-only log that forgets, and a list of VMs that lags.

Faults are set by ``POST /admin`` with any of the keys of :class:`Faults`.
"""

from __future__ import annotations

import asyncio
import random
import time

import msgspec
from aiohttp import web


class Faults(msgspec.Struct, kw_only=True):
    """What is wrong with the platform at the moment.

    :param log_down: the log refuses everything.
    :param list_down: the list refuses everything.
    :param slow_s: delay of every answer.
    :param lose_answers: share of appends that take effect, but whose answer is lost.
    :param list_lag_s: age of the list that is told.
    """

    log_down: bool = False
    list_down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0
    list_lag_s: float = 0.0


class Stream:
    """One stream of the log."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[str] = []
        self.appended_at: list[float] = []

    @property
    def end(self) -> int:
        """The next offset."""
        return self.first + len(self.records)

    def trim(self, oldest_at: float) -> None:
        """Forget what was appended before a time."""
        while self.appended_at and self.appended_at[0] < oldest_at:
            self.appended_at.pop(0)
            self.records.pop(0)
            self.first += 1


class Platform:
    """Both services, on one address."""

    def __init__(self, *, retention_s: float, seed: int) -> None:
        self._retention_s = retention_s
        self._random = random.Random(seed)
        self._streams: dict[str, Stream] = {}
        self._lists: list[tuple[float, bytes]] = [(time.monotonic(), b'{"vms":[]}')]
        self.faults = Faults()
        self.appends = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        parts = request.path.strip("/").split("/")
        if parts[0] == "admin":
            return await self._administer(request, parts)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if parts[0] == "vms":
            return self._answer_list()
        if self.faults.log_down:
            return web.Response(status=503)
        stream = self._streams.setdefault(parts[1], Stream())
        stream.trim(time.monotonic() - self._retention_s)
        if request.method == "POST":
            return await self._append(request, stream)
        return self._read(request, stream)

    def _answer_list(self) -> web.Response:
        if self.faults.list_down:
            return web.Response(status=503)
        newest_at = time.monotonic() - self.faults.list_lag_s
        known = [body for at, body in self._lists if at <= newest_at]
        body = known[-1] if known else self._lists[0][1]
        return web.Response(body=body, content_type="application/json")

    async def _append(self, request: web.BaseRequest, stream: Stream) -> web.Response:
        payload = (await request.read()).decode()
        offset = stream.end
        stream.records.append(payload)
        stream.appended_at.append(time.monotonic())
        self.appends += 1
        if self._random.random() < self.faults.lose_answers:
            request.transport.abort()
        return web.json_response({"offset": offset})

    def _read(self, request: web.BaseRequest, stream: Stream) -> web.Response:
        offset = int(request.query["from"])
        limit = int(request.query["limit"])
        page = {"first": stream.first, "end": stream.end, "records": []}
        if offset < stream.first:
            return web.json_response(page, status=410)
        start = offset - stream.first
        page["records"] = stream.records[start : start + limit]
        return web.json_response(page)

    async def _administer(self, request: web.BaseRequest, parts: list[str]) -> web.Response:
        body = await request.read()
        if parts[1:] == ["vms"]:
            self._lists.append((time.monotonic(), body))
            del self._lists[:-50]
        elif parts[1:] == ["faults"]:
            changes = msgspec.json.decode(body)
            self.faults = msgspec.structs.replace(self.faults, **changes)
        elif parts[1:] == ["truncate"]:
            for name, stream in self._streams.items():
                keep = msgspec.json.decode(body).get(name, len(stream.records))
                del stream.records[keep:]
                del stream.appended_at[keep:]
        return web.json_response({"appends": self.appends})
