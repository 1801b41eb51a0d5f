"""A stand-in for the users' metadata store: keyed topics over HTTP, and its failures."""

from __future__ import annotations

import asyncio
import base64
import struct
import typing as t

import msgspec
from aiohttp import web

_PREFIX = struct.Struct("!I")
_BOUNDS = struct.Struct("!QQ")
REMEMBERED_ANSWERS = 5


class StoreBehaviour(msgspec.Struct, kw_only=True):
    """How the store behaves at the moment.

    :param down: how calls fail: ``busy`` (503), ``reset`` or ``silent``; empty if they do not.
    :param turned_away: the store's own ports whose calls fail so; empty for all of them.
    :param delay_s: extra time of each answer.
    :param deaf: waiting calls are not told of new records, and end with their time.
    :param lost_writes: how many of the next writes are done but not answered.
    :param late_write_s: how much later those are done, in seconds.
    """

    down: str = ""
    turned_away: list[int] = []
    delay_s: float = 0.0
    deaf: bool = False
    lost_writes: int = 0
    late_write_s: float = 0.0


class _Producer:
    """One writer's epoch, its last sequence number, and its last answers by sequence number."""

    __slots__ = ("answers", "epoch", "sequence")

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.sequence: int | None = None
        self.answers: dict[int, dict[str, int]] = {}


class _Topic:
    __slots__ = ("changed", "first", "newest", "producers", "records")

    def __init__(self) -> None:
        # offset 0 is the first record ever; those before *first* are forgotten
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        self.newest: dict[str, int] = {}
        self.producers: dict[str, _Producer] = {}
        self.changed = asyncio.Event()

    def append(self, key: str, value: bytes) -> int:
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = offset
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class StandInStore:
    """The store, as one aiohttp handler."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self.behaviour = StoreBehaviour()
        self.calls: list[str] = []
        # calls that wait for a record now
        self.waiting = 0

    def put(self, topic: str, key: str, value: t.Any) -> int:
        """Write a record as the operator and the servers do.

        :param value: bytes, or something to be encoded as JSON.
        """
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        return self._get(topic).append(key, value)

    def remove(self, topic: str, key: str) -> None:
        """Remove a key."""
        self._get(topic).append(key, b"")

    def forget(self, topic: str) -> None:
        """Drop the history of a topic; the newest records stay."""
        held = self._get(topic)
        held.first = len(held.records)
        held.changed.set()
        held.changed = asyncio.Event()

    def get_newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key."""
        held = self._get(topic)
        offset = held.newest.get(key)
        return None if offset is None else held.records[offset][1]

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        self.calls.append(request.path)
        failed = await self._fail(request)
        if failed is not None:
            return failed
        await asyncio.sleep(self.behaviour.delay_s)
        topic = self._get(request.query["topic"])
        if request.path == "/api/log-append":
            return await self._append(request, topic)
        if request.path == "/api/log-newest":
            return self._list_newest(request, topic)
        if request.path == "/api/log-read":
            return await self._read(request, topic)
        return web.Response(status=404)

    def _get(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())

    async def _fail(self, request: web.BaseRequest) -> web.Response | None:
        behaviour = self.behaviour
        if not behaviour.down:
            return None
        _, port = request.transport.get_extra_info("sockname")
        if behaviour.turned_away and port not in behaviour.turned_away:
            return None
        if behaviour.down == "busy":
            return web.Response(status=503)
        if behaviour.down == "silent":
            await asyncio.sleep(30.0)
        request.transport.abort()
        return web.Response(status=503)

    async def _append(self, request: web.BaseRequest, topic: _Topic) -> web.Response:
        body = await request.read()
        refused = self._check_condition(request, topic) or self._check_producer(request, topic)
        if refused is not None:
            return refused
        if self.behaviour.lost_writes > 0:
            self.behaviour.lost_writes -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.behaviour.late_write_s, self._apply, topic, body)
            await asyncio.sleep(30.0)
        offset = self._apply(topic, body)
        document = {"offset": offset, "end": len(topic.records)}
        producer = topic.producers.get(request.query.get("producer", ""))
        if producer is not None and producer.sequence is not None:
            producer.answers[producer.sequence] = document
            for sequence in sorted(producer.answers)[:-REMEMBERED_ANSWERS]:
                del producer.answers[sequence]
        return web.json_response(document)

    def _check_condition(self, request: web.BaseRequest, topic: _Topic) -> web.Response | None:
        end = len(topic.records)
        if int(request.query.get("at", end)) == end:
            return None
        return web.json_response({"end": end}, status=412)

    def _check_producer(self, request: web.BaseRequest, topic: _Topic) -> web.Response | None:
        """Refuse a fenced writer and a gap, answer a repeat; ``None`` if the append is due."""
        name = request.query.get("producer")
        if name is None:
            return None
        epoch = int(request.query["epoch"])
        sequence = request.query.get("sequence")
        held = topic.producers.setdefault(name, _Producer(epoch))
        if epoch < held.epoch:
            return web.json_response({"why": "fenced"}, status=409)
        if epoch > held.epoch:
            held = topic.producers[name] = _Producer(epoch)
        if sequence is None:
            return None
        number = int(sequence)
        if number in held.answers:
            return web.json_response(held.answers[number])
        if held.sequence is not None and number != held.sequence + 1:
            return web.json_response({"why": "seq", "sequence": held.sequence + 1}, status=409)
        held.sequence = number
        return None

    def _apply(self, topic: _Topic, body: bytes) -> int:
        offset = len(topic.records)
        position = 0
        while position < len(body):
            (size,) = _PREFIX.unpack_from(body, position)
            position += _PREFIX.size
            content = body[position : position + size]
            position += size
            key_size = content[0]
            topic.append(content[1 : 1 + key_size].decode(), content[1 + key_size :])
        return offset

    def _list_newest(self, request: web.BaseRequest, topic: _Topic) -> web.Response:
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:500]:
            offset = topic.newest[key]
            value = base64.b64encode(topic.records[offset][1]).decode()
            items.append({"key": key, "value": value, "offset": offset})
        more = len(keys) > 500
        return web.json_response({"items": items, "more": more, "end": len(topic.records)})

    async def _read(self, request: web.BaseRequest, topic: _Topic) -> web.Response:
        offset = int(request.query["from"])
        wait_s = int(request.query.get("wait-ms", "0")) / 1000
        if offset >= len(topic.records) and wait_s and offset >= topic.first:
            self.waiting += 1
            try:
                async with asyncio.timeout(wait_s):
                    while len(topic.records) <= offset or self.behaviour.deaf:
                        await topic.changed.wait()
            except TimeoutError:
                pass
            finally:
                self.waiting -= 1
        if offset < topic.first:
            return web.json_response({"first": topic.first}, status=410)
        parts = [_BOUNDS.pack(len(topic.records), topic.first)]
        for key, value in topic.records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            parts.append(_PREFIX.pack(len(content)) + content)
        return web.Response(body=b"".join(parts))
