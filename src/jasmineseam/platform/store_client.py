"""Calls of the platform's metadata store, a partitioned log over HTTP.

In a keyed topic a record is a key and a value, and the store retains the newest record of each
key; a record without a value removes its key.
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
MAX_READ_KB = 4096
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2500
_PREFIX = struct.Struct("!I")
_BOUNDS = struct.Struct("!QQ")


class KeyedRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A record of a keyed topic.

    :param value: empty if the key was removed.
    """

    key: str
    value: bytes


class RecordBatch(msgspec.Struct, kw_only=True, frozen=True):
    """Some records of a topic, in their order.

    :param end: the offset to go on reading from.
    """

    records: list[KeyedRecord]
    end: int


class _Item(msgspec.Struct):
    key: str
    # base64
    value: str = ""


class _Newest(msgspec.Struct):
    items: list[_Item]
    end: int
    more: bool = False


class _Trimmed(msgspec.Struct):
    first: int = 0


class StoreClient:
    """Calls the store.

    :param address: the store's ``ip:port``.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}/api"
        connector = aiohttp.TCPConnector(limit=0, socket_factory=_open_socket)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )
        self.calls = 0
        self.failed_calls = 0

    async def read_latest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key.

        The pages are not a snapshot, so reading goes on from the first page's end.

        :raises StoreUnavailableError: if the store does not answer.
        """
        records: list[KeyedRecord] = []
        end = None
        params = {"topic": topic, "part": "0"}
        while True:
            page = _decode(await self._call("GET", "log-newest", params), _Newest)
            if end is None:
                end = page.end
            records.extend(_decode_item(item) for item in page.items)
            if not page.more or not page.items:
                return RecordBatch(records=records, end=end)
            params["after"] = page.items[-1].key

    async def read_from(self, topic: str, offset: int, wait_s: float = 0.0) -> RecordBatch:
        """Return the records from an offset on.

        :param wait_s: how long the store may wait for a record, in seconds.
        :raises RecordsTrimmedError: if the store has forgotten the offset.
        :raises StoreUnavailableError: if it does not answer.
        """
        params = {"topic": topic, "part": "0", "from": str(offset), "max-kb": str(MAX_READ_KB)}
        if wait_s > 0:
            params["wait-ms"] = str(int(wait_s * 1000))
        body = await self._call("GET", "log-read", params, wait_s=wait_s)
        return _split_records(body, offset)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a keyed topic.

        :raises StoreUnavailableError: the append may nevertheless take effect, also later.
        """
        name = key.encode()
        body = bytes([len(name)]) + name + value
        data = _PREFIX.pack(len(body)) + body
        await self._call("POST", "log-append", {"topic": topic, "part": "0"}, data=data)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _call(
        self,
        method: str,
        name: str,
        params: dict[str, str],
        *,
        data: bytes | None = None,
        wait_s: float = 0.0,
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(total=STORE_CALL_TIMEOUT_S + wait_s)
        self.calls += 1
        try:
            async with self._session.request(
                method, f"{self._url}/{name}", params=params, data=data, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.failed_calls += 1
            raise StoreUnavailableError(name, repr(error)) from error
        if response.status == 410:
            raise RecordsTrimmedError(_decode(body, _Trimmed).first)
        if response.status != 200:
            self.failed_calls += 1
            raise StoreUnavailableError(name, f"status {response.status}")
        return body


def _open_socket(address_info: tuple) -> socket.socket:
    """Open a socket that notices within seconds that the other side has fallen silent."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return opened


def _decode(body: bytes, kind: type[t.Any]) -> t.Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError("answer", f"can't be decoded: {error}") from error


def _decode_item(item: _Item) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise StoreUnavailableError("answer", f"value of {item.key!r}: {error}") from error
    return KeyedRecord(key=item.key, value=value)


def _split_records(body: bytes, offset: int) -> RecordBatch:
    try:
        end, _ = _BOUNDS.unpack_from(body)
        records = []
        position = _BOUNDS.size
        while position < len(body):
            (size,) = _PREFIX.unpack_from(body, position)
            position += _PREFIX.size
            content = body[position : position + size]
            if len(content) < size:
                raise ValueError(f"a record of {size} bytes ends early")
            position += size
            records.append(_split_key(content))
    except (struct.error, ValueError, IndexError) as error:
        raise StoreUnavailableError("answer", f"can't be decoded: {error}") from error
    return RecordBatch(records=records, end=min(end, offset + len(records)))


def _split_key(content: bytes) -> KeyedRecord:
    size = content[0]
    name = content[1 : 1 + size]
    return KeyedRecord(key=name.decode(errors="replace"), value=content[1 + size :])
