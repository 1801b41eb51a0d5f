"""The platform's append-only log, as HTTP and JSON.

Another protocol is put behind this interface by another class with the same two methods.
"""

from __future__ import annotations

import aiohttp
import msgspec

from ..exceptions import LogUnavailableError
from ..exceptions import RecordsTrimmedError

CATALOGUE_STREAM = "catalogue"
SEATS_STREAM = "seats"
CALL_TIMEOUT_S = 3.0
MAX_RECORDS_PER_READ = 1000
TRIMMED_STATUS = 410


class LogPage(msgspec.Struct, kw_only=True):
    """Some records of a stream.

    :param first: the oldest offset still held.
    :param end: the offset that the next append will get.
    :param records: the payloads from the asked offset on, in order.
    """

    first: int
    end: int
    records: list[str] = []


class _Appended(msgspec.Struct, kw_only=True):
    offset: int


class LogClient:
    """Appends to and reads from the log's streams.

    :param session: the HTTP session to use.
    :param base_url: where the log answers.
    """

    def __init__(self, *, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def append(self, stream: str, payload: str) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: the append may nevertheless have taken effect.
        """
        body = await self._call("POST", stream, data=payload.encode())
        return _decode(body, _Appended).offset

    async def read(self, stream: str, offset: int) -> LogPage:
        """Read records from an offset on.

        :raises RecordsTrimmedError: if the log has forgotten the offset.
        :raises LogUnavailableError: if it does not answer.
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
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"{self._base_url}/streams/{stream}"
        try:
            async with self._session.request(
                method, url, data=data, params=params, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise LogUnavailableError(f"{method} {stream}: {error!r}") from error
        if response.status == TRIMMED_STATUS:
            raise RecordsTrimmedError(_decode(body, LogPage).first)
        if response.status != 200:
            raise LogUnavailableError(f"{method} {stream}: status {response.status}")
        return body


def _decode(body: bytes, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(f"answer can't be decoded: {error}") from error
