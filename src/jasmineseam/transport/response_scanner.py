"""Boundaries of the responses on a connection, and the check of each response's head.

aiohttp's parsers are lenient. They accept any three-digit status, append folded lines to the field
before them, and one of them accepts a space behind some field names. What they return does not
show this, so the check reads the bytes before they are parsed.
"""

from __future__ import annotations

import enum
import re

from .response_heads import REASON_INVALID
from .response_heads import find_head_fault

# size of the largest response head
MAX_HEAD_BYTES = 262_144
_HEAD_START = b"HTTP/1."
_BLANK_LINES = re.compile(rb"[\r\n]*")
_HEAD_END = re.compile(rb"\n\r?\n")
_BODILESS_STATUS = re.compile(rb"HTTP/1\.[01] (?:1..|204|304)")
_CHUNKED = re.compile(rb"\ntransfer-encoding:[^\n]*chunked[ \t]*\r?\n", re.IGNORECASE)
_CONTENT_LENGTH = re.compile(rb"\ncontent-length:[ \t]*([0-9]{1,19})[ \t]*\r?\n", re.IGNORECASE)
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*[;\r\n]")


class _Part(enum.Enum):
    HEAD = enum.auto()
    SIZED_BODY = enum.auto()
    CHUNK_SIZE = enum.auto()
    CHUNK = enum.auto()
    TRAILER = enum.auto()
    # ends with the connection
    UNSIZED_BODY = enum.auto()


class ResponseScanner:
    r"""Follows the responses on a connection.

    :param has_bodies: whether responses may have bodies; those to HEAD have none.

    >>> valid = b"HTTP/1.1 200 OK\nContent-Length: 2\n\nok"
    >>> len(valid), ResponseScanner().scan(valid + b"HTTP/1.1 000 No\n\n")
    (37, 37)
    """

    __slots__ = ("_has_bodies", "_left", "_part", "_pending", "fault", "valid_heads")

    def __init__(self, *, has_bodies: bool = True) -> None:
        self._has_bodies = has_bodies
        self._part = _Part.HEAD
        # bytes that are left of a body or chunk of known size
        self._left = 0
        # start of a head or line whose end has not been received
        self._pending = bytearray()
        # number of heads that are valid, and that the parser has not returned yet
        self.valid_heads = 0
        # why the first invalid head is invalid, empty before there is one
        self.fault = ""

    def scan(self, data: bytes) -> int:
        """Follow received data.

        :returns: the size of the data up to the first invalid head; less than that of *data* only
            if it holds an invalid head.
        """
        position = 0
        while position < len(data):
            part = self._part
            if part is _Part.UNSIZED_BODY:
                return len(data)
            if part is _Part.HEAD:
                end = self._scan_head(data, position)
                if end is None:
                    return position
                position = end
                continue
            if part is _Part.SIZED_BODY or part is _Part.CHUNK:
                size = min(self._left, len(data) - position)
                position += size
                self._left -= size
                if not self._left:
                    self._part = _Part.HEAD if part is _Part.SIZED_BODY else _Part.CHUNK_SIZE
                continue
            position = self._scan_line(data, position)
        return position

    def _scan_head(self, data: bytes, position: int) -> int | None:
        """Return the end of a head or of the received part of it, ``None`` if it is invalid."""
        if self._pending:
            return self._scan_rest_of_head(data, position)
        # Blank lines before a head are skipped, as by the parsers.
        position = _BLANK_LINES.match(data, position).end()
        match = _HEAD_END.search(data, position)
        if match is None:
            return self._scan_rest_of_head(data, position)
        return match.end() if self._check_head(data[position : match.end()]) else None

    def _scan_rest_of_head(self, data: bytes, position: int) -> int | None:
        """Follow a head that was not received at once, as :meth:`_scan_head` does."""
        size_before = len(self._pending)
        self._pending += data[position : position + MAX_HEAD_BYTES]
        match = _HEAD_END.search(self._pending, max(0, size_before - 2))
        if match is not None:
            head = bytes(self._pending[: match.end()])
            self._pending.clear()
            return position + match.end() - size_before if self._check_head(head) else None
        has_valid_start = self._pending.startswith(_HEAD_START[: len(self._pending)])
        if has_valid_start and len(self._pending) < MAX_HEAD_BYTES:
            return len(data)
        self.fault = REASON_INVALID
        return None

    def _check_head(self, head: bytes) -> bool:
        """Return whether a head is valid, and expect its body."""
        self.fault = find_head_fault(head)
        if self.fault:
            return False
        self.valid_heads += 1
        self._begin_body(head)
        return True

    def _begin_body(self, head: bytes) -> None:
        if not self._has_bodies or _BODILESS_STATUS.match(head):
            return
        if _CHUNKED.search(head):
            self._part = _Part.CHUNK_SIZE
            return
        length = _CONTENT_LENGTH.search(head)
        if length is None:
            self._part = _Part.UNSIZED_BODY
            return
        self._left = int(length[1])
        if self._left:
            self._part = _Part.SIZED_BODY

    def _scan_line(self, data: bytes, position: int) -> int:
        """Follow a line of the framing of a chunked body; return the end of its received part."""
        end = data.find(b"\n", position)
        if end < 0:
            self._pending += data[position:]
            return len(data)
        self._pending += data[position : end + 1]
        line = bytes(self._pending)
        self._pending.clear()
        is_empty = not line.strip(b"\r\n")
        if self._part is _Part.TRAILER:
            if is_empty:
                self._part = _Part.HEAD
            return end + 1
        if is_empty:
            # the end of the chunk before
            return end + 1
        size = _CHUNK_SIZE.match(line)
        if size is None:
            # The parser ends the connection.
            self._part = _Part.UNSIZED_BODY
            return end + 1
        self._left = int(size[1], 16)
        self._part = _Part.CHUNK if self._left else _Part.TRAILER
        return end + 1
