"""A stand-in for the metadata store: keyed topics over HTTP, with configurable failures."""

from __future__ import annotations

import asyncio
import base64
import struct
import typing as t

import msgspec
from aiohttp import web

_LENGTH_PREFIX = struct.Struct("!I")
_OFFSET_BOUNDS = struct.Struct("!QQ")
MAX_KEPT_RESPONSES_PER_PRODUCER = 5


class StoreBehaviour(msgspec.Struct, kw_only=True):
    """The current behaviour of the store.

    :param failure: how calls fail: ``busy`` (503), ``reset`` or ``silent``; empty for no failure.
    :param failing_ports: the store's ports on which calls fail in this way; empty for all ports.
    :param response_delay_s: delay of each response, in seconds.
    :param stall_long_polls: long polls ignore new records and end only at their timeout.
    :param unanswered_writes: how many of the next writes take effect without a response.
    :param unanswered_write_delay_s: time from the arrival of a write without a response until it
        takes effect, in seconds.
    """

    failure: str = ""
    failing_ports: list[int] = []
    response_delay_s: float = 0.0
    stall_long_polls: bool = False
    unanswered_writes: int = 0
    unanswered_write_delay_s: float = 0.0


class _Producer:
    """A producer's epoch, highest sequence number and newest responses by sequence number."""

    __slots__ = ("epoch", "responses", "sequence")

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.sequence: int | None = None
        self.responses: dict[int, dict[str, int]] = {}


class _Topic:
    __slots__ = ("first_offset", "newest_offsets", "producers", "record_added", "records")

    def __init__(self) -> None:
        # offset 0 is the first record ever appended; reads before first_offset are rejected
        self.records: list[tuple[str, bytes]] = []
        self.first_offset = 0
        self.newest_offsets: dict[str, int] = {}
        self.producers: dict[str, _Producer] = {}
        self.record_added = asyncio.Event()

    def append(self, key: str, value: bytes) -> int:
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest_offsets[key] = offset
        else:
            self.newest_offsets.pop(key, None)
        self.record_added.set()
        self.record_added = asyncio.Event()
        return offset


class StandInStore:
    """The store as one aiohttp request handler."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self.behaviour = StoreBehaviour()
        self.call_paths: list[str] = []
        self.waiting_long_polls = 0
        # number in the header of each response; a restore from a backup increments it
        self.era = 1
        self._backup: dict[str, tuple[list[tuple[str, bytes]], int, dict[str, int]]] = {}

    def put(self, topic: str, key: str, value: t.Any) -> int:
        """Append a record, in place of the operator or a server.

        :param value: the bytes of the value, or an object to encode as JSON.
        :returns: the record's offset.
        """
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        return self._get_topic(topic).append(key, value)

    def remove(self, topic: str, key: str) -> None:
        """Append a record without a value, which deletes the key."""
        self._get_topic(topic).append(key, b"")

    def drop_history(self, topic: str) -> None:
        """Make all records of a topic unreadable by offset; the newest value of each key stays."""
        topic_state = self._get_topic(topic)
        topic_state.first_offset = len(topic_state.records)
        topic_state.record_added.set()
        topic_state.record_added = asyncio.Event()

    def take_backup(self) -> None:
        """Remember all records for :meth:`restore_backup`."""
        self._backup = {
            name: (list(topic.records), topic.first_offset, dict(topic.newest_offsets))
            for name, topic in self._topics.items()
        }

    def restore_backup(self) -> None:
        """Lose all records since the backup, and begin a new era.

        Long polls that are waiting end at their timeout, with the earlier era in their response.
        """
        self.era += 1
        self._topics = {}
        for name, (records, first_offset, newest_offsets) in self._backup.items():
            topic = self._topics[name] = _Topic()
            topic.records = list(records)
            topic.first_offset = first_offset
            topic.newest_offsets = dict(newest_offsets)

    def get_newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key, or ``None`` if it has none."""
        topic_state = self._get_topic(topic)
        offset = topic_state.newest_offsets.get(key)
        return None if offset is None else topic_state.records[offset][1]

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handle one call."""
        self.call_paths.append(request.path)
        era = self.era
        response = await self._respond(request)
        response.headers["Store-Era"] = str(era)
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        failure_response = await self._apply_failure(request)
        if failure_response is not None:
            return failure_response
        await asyncio.sleep(self.behaviour.response_delay_s)
        topic = self._get_topic(request.query["topic"])
        if request.path == "/api/log-append":
            return await self._append(request, topic)
        if request.path == "/api/log-newest":
            return self._list_newest(request, topic)
        if request.path == "/api/log-read":
            return await self._read(request, topic)
        return web.Response(status=404)

    def _get_topic(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())

    async def _apply_failure(self, request: web.BaseRequest) -> web.Response | None:
        behaviour = self.behaviour
        if not behaviour.failure:
            return None
        _, port = request.transport.get_extra_info("sockname")
        if behaviour.failing_ports and port not in behaviour.failing_ports:
            return None
        if behaviour.failure == "busy":
            return web.Response(status=503)
        if behaviour.failure == "silent":
            await asyncio.sleep(30.0)
        request.transport.abort()
        return web.Response(status=503)

    async def _append(self, request: web.BaseRequest, topic: _Topic) -> web.Response:
        body = await request.read()
        error_response = self._check_expected_end(request, topic) or self._check_producer(
            request, topic
        )
        if error_response is not None:
            return error_response
        if self.behaviour.unanswered_writes > 0:
            self.behaviour.unanswered_writes -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.behaviour.unanswered_write_delay_s, self._append_records, topic, body
            )
            await asyncio.sleep(30.0)
        offset = self._append_records(topic, body)
        document = {"offset": offset, "end": len(topic.records)}
        producer = topic.producers.get(request.query.get("producer", ""))
        if producer is not None and producer.sequence is not None:
            producer.responses[producer.sequence] = document
            for sequence in sorted(producer.responses)[:-MAX_KEPT_RESPONSES_PER_PRODUCER]:
                del producer.responses[sequence]
        return web.json_response(document)

    def _check_expected_end(self, request: web.BaseRequest, topic: _Topic) -> web.Response | None:
        """Return an error if the topic doesn't end at the offset in the query parameter ``at``."""
        end = len(topic.records)
        if int(request.query.get("at", end)) == end:
            return None
        return web.json_response({"end": end}, status=412)

    def _check_producer(self, request: web.BaseRequest, topic: _Topic) -> web.Response | None:
        """Check a producer's epoch and sequence number.

        :returns: an error for an older epoch or a gap, the first response for a repeated append,
            ``None`` if the append may take effect.
        """
        name = request.query.get("producer")
        if name is None:
            return None
        epoch = int(request.query["epoch"])
        sequence = request.query.get("sequence")
        producer = topic.producers.setdefault(name, _Producer(epoch))
        if epoch < producer.epoch:
            return web.json_response({"why": "fenced"}, status=409)
        if epoch > producer.epoch:
            producer = topic.producers[name] = _Producer(epoch)
        if sequence is None:
            return None
        sequence_number = int(sequence)
        if sequence_number in producer.responses:
            return web.json_response(producer.responses[sequence_number])
        if producer.sequence is not None and sequence_number != producer.sequence + 1:
            return web.json_response({"why": "seq", "sequence": producer.sequence + 1}, status=409)
        producer.sequence = sequence_number
        return None

    def _append_records(self, topic: _Topic, body: bytes) -> int:
        offset = len(topic.records)
        position = 0
        while position < len(body):
            (size,) = _LENGTH_PREFIX.unpack_from(body, position)
            position += _LENGTH_PREFIX.size
            content = body[position : position + size]
            position += size
            key_size = content[0]
            topic.append(content[1 : 1 + key_size].decode(), content[1 + key_size :])
        return offset

    def _list_newest(self, request: web.BaseRequest, topic: _Topic) -> web.Response:
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest_offsets if key > after)
        items = []
        for key in keys[:500]:
            offset = topic.newest_offsets[key]
            value = base64.b64encode(topic.records[offset][1]).decode()
            items.append({"key": key, "value": value, "offset": offset})
        more = len(keys) > 500
        return web.json_response({"items": items, "more": more, "end": len(topic.records)})

    async def _read(self, request: web.BaseRequest, topic: _Topic) -> web.Response:
        offset = int(request.query["from"])
        wait_s = int(request.query.get("wait-ms", "0")) / 1000
        if offset >= len(topic.records) and wait_s and offset >= topic.first_offset:
            self.waiting_long_polls += 1
            try:
                async with asyncio.timeout(wait_s):
                    while len(topic.records) <= offset or self.behaviour.stall_long_polls:
                        await topic.record_added.wait()
            except TimeoutError:
                pass
            finally:
                self.waiting_long_polls -= 1
        if offset < topic.first_offset or offset > len(topic.records):
            return web.json_response({"first": topic.first_offset}, status=410)
        parts = [_OFFSET_BOUNDS.pack(len(topic.records), topic.first_offset)]
        for key, value in topic.records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            parts.append(_LENGTH_PREFIX.pack(len(content)) + content)
        return web.Response(body=b"".join(parts))
