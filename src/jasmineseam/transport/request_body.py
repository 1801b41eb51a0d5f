"""Reading the request body from a caller, within a bound on all bodies of a process."""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import web

from ..exceptions import NotRunError

BODY_CHUNK_BYTES = 65_536
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# For the bodies of all requests that a node holds. A VM has 200 to 550 MB, of which responses
# may take 96 MB. While a body is put together from its parts it needs twice its size.
MAX_HELD_BODY_BYTES = 64 * 1024 * 1024
# Part of the bound that large bodies leave to small ones, which are most requests.
SMALL_BODIES_RESERVE_BYTES = 16 * 1024 * 1024
SMALL_BODY_BYTES = 65_536
# An upload of several MB takes about this long to arrive and to be sent on.
HELD_BODIES_RETRY_AFTER_S = 0.5


class HeldBodies:
    """Bounds the size of all request bodies that a process holds.

    A large body that does not fit is refused at once. One large body is always accepted, so that
    each size that the configuration allows can be sent.

    :param max_bytes: maximum size of all bodies together.
    :param reserve_bytes: part of it that large bodies may not use.

    >>> held = HeldBodies(max_bytes=300_000, reserve_bytes=100_000)
    >>> first, second, small = held.open(), held.open(), held.open()
    >>> first.grow(150_000)
    >>> second.grow(150_000)
    Traceback (most recent call last):
    jasmineseam.exceptions.NotRunError: not run: body-memory
    >>> small.grow(60_000)
    >>> first.close()
    >>> second.grow(150_000), held.size
    (None, 210000)
    """

    __slots__ = ("_large_bytes", "_max_bytes", "_max_large_bytes", "refused_count", "size")

    def __init__(
        self,
        *,
        max_bytes: int = MAX_HELD_BODY_BYTES,
        reserve_bytes: int = SMALL_BODIES_RESERVE_BYTES,
    ) -> None:
        self._max_bytes = max_bytes
        self._max_large_bytes = max_bytes - reserve_bytes
        self._large_bytes = 0
        self.size = 0
        self.refused_count = 0

    def open(self) -> HeldBody:
        """Return the place of a new body; it counts until it is closed."""
        return HeldBody(held=self)

    def change(self, old: int, new: int) -> None:
        """Change the size of a body.

        :raises NotRunError: if it does not fit.
        """
        old_large = old if old > SMALL_BODY_BYTES else 0
        new_large = new if new > SMALL_BODY_BYTES else 0
        if new > old:
            others = self._large_bytes - old_large
            if new_large:
                refused = others > 0 and others + new_large > self._max_large_bytes
            else:
                reserve = self._max_bytes - self._max_large_bytes
                most = max(self._max_bytes, self._large_bytes + reserve)
                refused = self.size - old + new > most
            if refused:
                self.refused_count += 1
                raise NotRunError("body-memory", 503, HELD_BODIES_RETRY_AFTER_S)
        self._large_bytes += new_large - old_large
        self.size += new - old


class HeldBody:
    """The part of the bound that one body uses.

    :param held: the bound.
    """

    __slots__ = ("_held", "size")

    def __init__(self, *, held: HeldBodies) -> None:
        self._held = held
        self.size = 0

    def grow(self, size: int) -> None:
        """Hold at least *size* bytes.

        :raises NotRunError: if they do not fit.
        """
        if size > self.size:
            self._held.change(self.size, size)
            self.size = size

    def close(self) -> None:
        """Hold nothing any more."""
        self._held.change(self.size, 0)
        self.size = 0


async def read_body(
    request: web.BaseRequest,
    max_bytes: int,
    timeout_s: float,
    grow: t.Callable[[int], None] = lambda size: None,
) -> bytes:
    """Read the complete request body.

    :param max_bytes: the maximum size of the body, in bytes.
    :param timeout_s: the maximum time for receiving the body, in seconds.
    :param grow: called with the size of the body in bytes before that much is received; raises
        NotRunError if there is no memory for it.
    :raises NotRunError: if the body is too large, arrives too slowly or is malformed.
    """
    check_content_length(request, max_bytes)
    grow(request.content_length or 0)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
    chunks = []
    received_bytes = 0
    try:
        async with asyncio.timeout(timeout_s):
            while chunk := await request.content.read(BODY_CHUNK_BYTES):
                chunks.append(chunk)
                received_bytes += len(chunk)
                if received_bytes > max_bytes:
                    raise NotRunError("body-too-large", 413)
                grow(received_bytes)
    except TimeoutError as error:
        raise NotRunError("body-timeout", 408) from error
    except (OSError, ValueError, web.HTTPException) as error:
        raise NotRunError("body-malformed", 400) from error
    return b"".join(chunks)


def check_content_length(request: web.BaseRequest, max_bytes: int) -> None:
    """Check the size of a body that its head names.

    :raises NotRunError: if the body is too large.
    """
    content_length = request.content_length
    if content_length is not None and content_length > max_bytes:
        raise NotRunError("body-too-large", 413)
