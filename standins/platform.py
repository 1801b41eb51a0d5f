"""A stand-in for the platform: an append-only log with limited retention, and a VM list.

``POST /admin/vms`` replaces the VM list. ``POST /admin/faults`` sets faults; its JSON keys are any
of the fields of :class:`Faults`. ``POST /admin/truncate`` removes the newest records of streams;
its JSON object maps the name of a stream to the number of records to keep.
"""

from __future__ import annotations

import asyncio
import random
import time

import msgspec
from aiohttp import web


class Faults(msgspec.Struct, kw_only=True):
    """The platform's active faults.

    :param log_down: the log rejects every request with status 503.
    :param list_down: the VM list rejects every request with status 503.
    :param slow_s: delay of every response, in seconds.
    :param lose_answers: fraction of appends that take effect but whose response is lost.
    :param list_lag_s: minimum age of the VM list that is returned, in seconds.
    """

    log_down: bool = False
    list_down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0
    list_lag_s: float = 0.0


class Stream:
    """One stream of the log."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[str] = []
        # on the monotonic clock, one for each record
        self.append_times: list[float] = []

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.records)

    def trim(self, cutoff_at: float) -> None:
        """Drop the records that were appended before a time.

        :param cutoff_at: the time, on the monotonic clock.
        """
        while self.append_times and self.append_times[0] < cutoff_at:
            self.append_times.pop(0)
            self.records.pop(0)
            self.first_offset += 1


class StandInPlatform:
    """The log and the VM list on one address.

    :param retention_s: how long the log keeps records, in seconds.
    :param seed: seed of the random selection of lost responses.
    """

    def __init__(self, *, retention_s: float, seed: int) -> None:
        self._retention_s = retention_s
        self._random = random.Random(seed)
        self._streams: dict[str, Stream] = {}
        self._vm_lists: list[tuple[float, bytes]] = [(time.monotonic(), b'{"vms":[]}')]
        self.faults = Faults()
        self.append_count = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request for the log, the VM list or the admin endpoint."""
        parts = request.path.strip("/").split("/")
        if parts[0] == "admin":
            return await self._handle_admin_request(request, parts)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if parts[0] == "vms":
            return self._respond_with_vm_list()
        if self.faults.log_down:
            return web.Response(status=503)
        stream = self._streams.setdefault(parts[1], Stream())
        stream.trim(time.monotonic() - self._retention_s)
        if request.method == "POST":
            return await self._append(request, stream)
        return self._read(request, stream)

    def _respond_with_vm_list(self) -> web.Response:
        if self.faults.list_down:
            return web.Response(status=503)
        newest_at = time.monotonic() - self.faults.list_lag_s
        bodies = [body for at, body in self._vm_lists if at <= newest_at]
        body = bodies[-1] if bodies else self._vm_lists[0][1]
        return web.Response(body=body, content_type="application/json")

    async def _append(self, request: web.BaseRequest, stream: Stream) -> web.Response:
        payload = (await request.read()).decode()
        offset = stream.end_offset
        stream.records.append(payload)
        stream.append_times.append(time.monotonic())
        self.append_count += 1
        if self._random.random() < self.faults.lose_answers:
            request.transport.abort()
        return web.json_response({"offset": offset})

    def _read(self, request: web.BaseRequest, stream: Stream) -> web.Response:
        offset = int(request.query["from"])
        limit = int(request.query["limit"])
        page = {"first": stream.first_offset, "end": stream.end_offset, "records": []}
        if offset < stream.first_offset:
            return web.json_response(page, status=410)
        start = offset - stream.first_offset
        page["records"] = stream.records[start : start + limit]
        return web.json_response(page)

    async def _handle_admin_request(
        self, request: web.BaseRequest, parts: list[str]
    ) -> web.Response:
        body = await request.read()
        if parts[1:] == ["vms"]:
            self._vm_lists.append((time.monotonic(), body))
            del self._vm_lists[:-50]
        elif parts[1:] == ["faults"]:
            changes = msgspec.json.decode(body)
            self.faults = msgspec.structs.replace(self.faults, **changes)
        elif parts[1:] == ["truncate"]:
            for name, stream in self._streams.items():
                keep = msgspec.json.decode(body).get(name, len(stream.records))
                del stream.records[keep:]
                del stream.append_times[keep:]
        return web.json_response({"appends": self.append_count})
