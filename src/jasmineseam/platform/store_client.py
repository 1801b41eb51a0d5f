"""HTTP client of the platform's metadata store, a partitioned log.

Each record of a keyed topic has a key and a value. The store retains the latest record of each
key (log compaction); a record with an empty value is a tombstone, which removes its key.
"""

from __future__ import annotations

import base64
import binascii
import socket
import struct
import typing as t

import aiohttp
import msgspec

from ..exceptions import RecordsTrimmedError
from ..exceptions import StoreUnavailableError

STORE_CALL_TIMEOUT_S = 1.5
MAX_KB_PER_READ = 4096
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2500
# length of a record in bytes, which precedes the record; the record consists of the length of its
# key in one byte, the key and the value
_LENGTH_PREFIX = struct.Struct("!I")
# start of a log-read response: end offset of the topic and offset of its first retained record
_OFFSET_HEADER = struct.Struct("!QQ")


class KeyedRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A record of a keyed topic.

    :param value: empty if the record is a tombstone.
    """

    key: str
    value: bytes


class RecordBatch(msgspec.Struct, kw_only=True, frozen=True):
    """Consecutive records of a topic.

    :param end: offset to continue reading from.
    """

    records: list[KeyedRecord]
    end: int


class _LatestItem(msgspec.Struct):
    key: str
    # base64
    value: str = ""


class _LatestPage(msgspec.Struct):
    items: list[_LatestItem]
    end: int
    more: bool = False


class _TrimmedResponse(msgspec.Struct):
    first: int = 0


class StoreClient:
    """Calls the metadata store.

    :param address: address of the store, ``ip:port``.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}/api"
        connector = aiohttp.TCPConnector(limit=0, socket_factory=_open_socket)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )
        self.call_count = 0
        self.failed_call_count = 0

    async def read_latest(self, topic: str) -> RecordBatch:
        """Return the latest record of each key.

        The pages are read one by one and are not a consistent snapshot. The batch's end offset is
        that of the first page, so that records appended while later pages are read are not missed.

        :raises StoreUnavailableError: if a call fails.
        """
        records: list[KeyedRecord] = []
        end = None
        params = {"topic": topic, "part": "0"}
        while True:
            page = _decode(await self._call("GET", "log-newest", params), _LatestPage)
            if end is None:
                end = page.end
            records.extend(_decode_item(item) for item in page.items)
            if not page.more or not page.items:
                return RecordBatch(records=records, end=end)
            params["after"] = page.items[-1].key

    async def read_from(self, topic: str, offset: int, wait_s: float = 0.0) -> RecordBatch:
        """Return the records at and after an offset; the batch may be empty.

        :param wait_s: maximum time that the store waits for a new record (long polling), in
            seconds.
        :raises RecordsTrimmedError: if the store no longer holds the records at the offset.
        :raises StoreUnavailableError: if the call fails.
        """
        params = {"topic": topic, "part": "0", "from": str(offset), "max-kb": str(MAX_KB_PER_READ)}
        if wait_s > 0:
            params["wait-ms"] = str(int(wait_s * 1000))
        body = await self._call("GET", "log-read", params, wait_s=wait_s)
        return _decode_records(body, offset)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a keyed topic.

        :raises StoreUnavailableError: if the call fails; the store may have appended the record,
            or may append it later.
        """
        encoded_key = key.encode()
        body = bytes([len(encoded_key)]) + encoded_key + value
        data = _LENGTH_PREFIX.pack(len(body)) + body
        await self._call("POST", "log-append", {"topic": topic, "part": "0"}, data=data)

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
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(total=STORE_CALL_TIMEOUT_S + wait_s)
        self.call_count += 1
        try:
            async with self._session.request(
                method, f"{self._url}/{operation}", params=params, data=data, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.failed_call_count += 1
            raise StoreUnavailableError(operation, repr(error)) from error
        if response.status == 410:
            raise RecordsTrimmedError(_decode(body, _TrimmedResponse).first)
        if response.status != 200:
            self.failed_call_count += 1
            raise StoreUnavailableError(operation, f"unexpected status {response.status}")
        return body


def _open_socket(address_info: tuple) -> socket.socket:
    """Open a socket that detects an unresponsive peer within seconds, by TCP keepalive."""
    family, kind, protocol, _, _ = address_info
    tcp_socket = socket.socket(family=family, type=kind, proto=protocol)
    tcp_socket.setblocking(False)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return tcp_socket


def _decode(body: bytes, response_type: type[t.Any]) -> t.Any:
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError("answer", f"malformed JSON: {error}") from error


def _decode_item(item: _LatestItem) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise StoreUnavailableError(
            "answer", f"value of key {item.key!r} is not base64: {error}"
        ) from error
    return KeyedRecord(key=item.key, value=value)


def _decode_records(body: bytes, offset: int) -> RecordBatch:
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
    except (struct.error, ValueError, IndexError) as error:
        raise StoreUnavailableError("answer", f"malformed records: {error}") from error
    return RecordBatch(records=records, end=min(end, offset + len(records)))


def _decode_keyed_record(content: bytes) -> KeyedRecord:
    key_size = content[0]
    key = content[1 : 1 + key_size]
    return KeyedRecord(key=key.decode(errors="replace"), value=content[1 + key_size :])
