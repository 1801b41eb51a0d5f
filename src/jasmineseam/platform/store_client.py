"""HTTP client of the platform's metadata store, a partitioned log.

Each record of a keyed topic has a key and a value. The store retains the latest record of each
key (log compaction); a record with an empty value is a tombstone, which removes its key.
"""

from __future__ import annotations

import base64
import socket
import struct
import time
import typing as t

import aiohttp
import msgspec

from ..exceptions import RecordsTrimmedError
from ..exceptions import StoreRestoredError
from ..exceptions import StoreUnavailableError
from ..membership.store_position import StorePosition
from ..transport.keepalive import enable_keepalive
from ..transport.response_bodies import read_limited_body
from ..transport.response_protocol import open_connector

CALL_TIMEOUT_S = 0.7
# timeout after a call that has timed out, since the store may only be slow
LONG_CALL_TIMEOUT_S = 1.5
# The short timeout applies again after a call that took no longer than this.
FAST_CALL_S = 0.35
MAX_KB_PER_READ = 4096
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# number of the store's timeline, in every response; each restore from a backup increments it
TIMELINE_HEADER = "Store-Era"
# length of a record in bytes, which precedes the record; the record consists of the length of its
# key in one byte, the key and the value
_LENGTH_PREFIX = struct.Struct("!I")
# start of a log-read response: end offset of the topic and offset of its first retained record
_OFFSET_HEADER = struct.Struct("!QQ")


class KeyedRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A record of a keyed topic.

    :param value: empty if the record is a tombstone.
    :param error: why the key or the value can't be read, empty if both can; ``value`` is what was
        received then, and ``key`` may be empty.
    """

    key: str
    value: bytes
    error: str = ""


class RecordBatch(msgspec.Struct, kw_only=True, frozen=True):
    """Consecutive records of a topic.

    :param end: position to continue reading from.
    """

    records: list[KeyedRecord]
    end: StorePosition


class _LatestItem(msgspec.Struct):
    key: str
    # base64
    value: str = ""


class _LatestPage(msgspec.Struct):
    # decoded one by one, so that an item that can't be decoded does not hide the others
    items: list[msgspec.Raw]
    end: int
    more: bool = False


class _TrimmedResponse(msgspec.Struct):
    first: int = 0


class _StoreResponse(t.NamedTuple):
    body: bytes
    timeline: int


class StoreClient:
    """Calls the metadata store.

    A response of an earlier timeline than the latest one seen describes a state that no longer
    exists, so it counts as a failed call.

    :param address: address of the store, ``ip:port``.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}/api"
        connector = open_connector(limit=0, socket_factory=_open_socket)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )
        self.call_count = 0
        self.failed_call_count = 0
        # latest timeline seen; 0 if the store sends no timelines
        self.timeline = 0
        self._timeout_s = CALL_TIMEOUT_S

    async def read_latest(self, topic: str) -> RecordBatch:
        """Return the latest record of each key.

        The pages are read one by one and are not a consistent snapshot. The batch's end offset is
        that of the first page, so that records appended while later pages are read are not missed.

        :raises StoreRestoredError: if the store is restored between two pages.
        :raises StoreUnavailableError: if a call fails.
        """
        records: list[KeyedRecord] = []
        end = None
        params = {"topic": topic, "part": "0"}
        while True:
            response = await self._call("GET", "log-newest", params)
            page = _decode(response.body, _LatestPage)
            if end is None:
                end = StorePosition(response.timeline, page.end)
            if end.timeline != response.timeline:
                raise StoreRestoredError(response.timeline)
            page_records = [_decode_item(bytes(item)) for item in page.items]
            records += page_records
            if not page.more or not page.items:
                return RecordBatch(records=records, end=end)
            keys = [record.key for record in page_records if record.key]
            if not keys:
                raise StoreUnavailableError("answer", "no key on a page can be read")
            params["after"] = keys[-1]

    async def read_from(
        self, topic: str, position: StorePosition, wait_s: float = 0.0
    ) -> RecordBatch:
        """Return the records at and after a position; the batch may be empty.

        :param wait_s: maximum time that the store waits for a new record (long polling), in
            seconds.
        :raises RecordsTrimmedError: if the store doesn't hold the records at the offset.
        :raises StoreRestoredError: if the store was restored since the position was read.
        :raises StoreUnavailableError: if the call fails.
        """
        offset = position.offset
        params = {"topic": topic, "part": "0", "from": str(offset), "max-kb": str(MAX_KB_PER_READ)}
        if wait_s > 0:
            params["wait-ms"] = str(int(wait_s * 1000))
        response = await self._call("GET", "log-read", params, wait_s=wait_s)
        if response.timeline != position.timeline:
            raise StoreRestoredError(response.timeline)
        return _decode_records(response.body, position)

    async def append(self, topic: str, key: str, value: bytes) -> int:
        """Append one record to a keyed topic; return the timeline that holds it.

        :raises StoreUnavailableError: if the call fails; the store may have appended the record,
            or may append it later.
        """
        encoded_key = key.encode()
        body = bytes([len(encoded_key)]) + encoded_key + value
        data = _LENGTH_PREFIX.pack(len(body)) + body
        params = {"topic": topic, "part": "0"}
        response = await self._call("POST", "log-append", params, data=data)
        return response.timeline

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _call(
        self,
        method: str,
        operation: str,
        params: dict[str, str],
        *,
        data: bytes | None = None,
        wait_s: float = 0.0,
    ) -> _StoreResponse:
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        self.call_count += 1
        started_at = time.monotonic()
        try:
            async with self._session.request(
                method, f"{self._url}/{operation}", params=params, data=data, timeout=timeout
            ) as response:
                body = await read_limited_body(response, MAX_RESPONSE_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.failed_call_count += 1
            if isinstance(error, TimeoutError):
                self._timeout_s = LONG_CALL_TIMEOUT_S
            raise StoreUnavailableError(operation, repr(error)) from error
        if time.monotonic() - started_at <= FAST_CALL_S:
            self._timeout_s = CALL_TIMEOUT_S
        timeline = _parse_timeline(response.headers.get(TIMELINE_HEADER), self.timeline)
        if timeline < self.timeline:
            self.failed_call_count += 1
            raise StoreUnavailableError(
                operation, f"response of timeline {timeline}, which {self.timeline} has replaced"
            )
        self.timeline = timeline
        if response.status == 410:
            raise RecordsTrimmedError(_decode(body, _TrimmedResponse).first)
        if response.status != 200:
            self.failed_call_count += 1
            raise StoreUnavailableError(operation, f"unexpected status {response.status}")
        return _StoreResponse(body, timeline)


def _parse_timeline(text: str | None, default: int) -> int:
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 18:
        return default
    return int(text)


def _open_socket(address_info: tuple) -> socket.socket:
    """Open a socket that detects an unresponsive peer within seconds, by TCP keepalive."""
    family, kind, protocol, _, _ = address_info
    tcp_socket = socket.socket(family=family, type=kind, proto=protocol)
    tcp_socket.setblocking(False)
    enable_keepalive(tcp_socket)
    return tcp_socket


def _decode(body: bytes, response_type: type[t.Any]) -> t.Any:
    try:
        return msgspec.json.decode(body, type=response_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise StoreUnavailableError("answer", f"malformed JSON: {error}") from error


def _decode_item(data: bytes) -> KeyedRecord:
    try:
        item = msgspec.json.decode(data, type=_LatestItem)
    except (msgspec.MsgspecError, RecursionError) as error:
        return KeyedRecord(key="", value=data, error=f"malformed item: {error}")
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        return KeyedRecord(key=item.key, value=data, error=f"value is not base64: {error}")
    return KeyedRecord(key=item.key, value=value)


def _decode_records(body: bytes, position: StorePosition) -> RecordBatch:
    try:
        end, _ = _OFFSET_HEADER.unpack_from(body)
        records = []
        body_index = _OFFSET_HEADER.size
        while body_index < len(body):
            (size,) = _LENGTH_PREFIX.unpack_from(body, body_index)
            body_index += _LENGTH_PREFIX.size
            content = body[body_index : body_index + size]
            if len(content) < size:
                raise ValueError(f"record of {size} bytes is truncated")
            body_index += size
            records.append(_decode_keyed_record(content))
    except (struct.error, ValueError) as error:
        raise StoreUnavailableError("answer", f"malformed records: {error}") from error
    end_offset = min(end, position.offset + len(records))
    return RecordBatch(records=records, end=StorePosition(position.timeline, end_offset))


def _decode_keyed_record(content: bytes) -> KeyedRecord:
    if not content or len(content) <= content[0]:
        return KeyedRecord(key="", value=content, error="record without a complete key")
    key_end = 1 + content[0]
    try:
        key = content[1:key_end].decode()
    except UnicodeDecodeError as error:
        return KeyedRecord(key="", value=content, error=f"malformed key: {error}")
    return KeyedRecord(key=key, value=content[key_end:])
