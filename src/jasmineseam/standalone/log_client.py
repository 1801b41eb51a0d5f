"""Client of the platform's append-only log, over HTTP with JSON.

A client for another protocol must provide the same two methods as :class:`LogClient`.
"""

from __future__ import annotations

import aiohttp
import msgspec

from ..exceptions import LogUnavailableError
from ..exceptions import RecordsTrimmedError
from ..transport.response_bodies import read_limited_body

CATALOGUE_STREAM = "catalogue"
# claims of seats; a seat is one VM's share of the probe budget, see measuring.seat
SEATS_STREAM = "seats"
LOG_CALL_TIMEOUT_S = 3.0
# A read returns at most 1,000 records; those of checkpoints are the largest, about 52 kB each.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_RECORDS_PER_READ = 1000
TRIMMED_HTTP_STATUS = 410


class LogPage(msgspec.Struct, kw_only=True):
    """Records that one call read from a stream, with the bounds of the stream.

    :param first: the oldest offset that the stream retains.
    :param end: the offset of the next record to be appended to the stream.
    :param records: the payloads of consecutive records, starting at the requested offset.
    """

    first: int
    end: int
    records: list[str] = []


class _AppendResponse(msgspec.Struct, kw_only=True):
    offset: int


class LogClient:
    """Appends to and reads from the streams of the log.

    :param session: the HTTP session to use.
    :param base_url: base URL of the log.
    """

    def __init__(self, *, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def append(self, stream: str, payload: str) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: if there is no valid response; the record may have been
            appended nevertheless.
        """
        body = await self._call("POST", stream, data=payload.encode())
        return _decode(body, _AppendResponse).offset

    async def read(self, stream: str, offset: int) -> LogPage:
        """Read up to :data:`MAX_RECORDS_PER_READ` records, starting at an offset.

        :raises RecordsTrimmedError: if the log has trimmed the record at the offset.
        :raises LogUnavailableError: if there is no valid response.
        """
        params = {"from": str(offset), "limit": str(MAX_RECORDS_PER_READ)}
        body = await self._call("GET", stream, params=params)
        return _decode(body, LogPage)

    async def _call(
        self,
        method: str,
        stream: str,
        *,
        data: bytes | None = None,
        params: dict[str, str] | None = None,
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(total=LOG_CALL_TIMEOUT_S)
        url = f"{self._base_url}/streams/{stream}"
        try:
            async with self._session.request(
                method, url, data=data, params=params, timeout=timeout
            ) as response:
                body = await read_limited_body(response, MAX_RESPONSE_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise LogUnavailableError(f"{method} {stream}: {error!r}") from error
        if response.status == TRIMMED_HTTP_STATUS:
            raise RecordsTrimmedError(_decode(body, LogPage).first)
        if response.status != 200:
            raise LogUnavailableError(f"{method} {stream}: HTTP status {response.status}")
        return body


def _decode(body: bytes, response_type):
    try:
        return msgspec.json.decode(body, type=response_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise LogUnavailableError(f"response of the log cannot be decoded: {error}") from error
