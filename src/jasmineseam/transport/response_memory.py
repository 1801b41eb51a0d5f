"""Bound on the memory of all response bodies that a process is receiving."""

from __future__ import annotations

import typing as t


class BodyBuffer:
    """The received part of one body.

    :param abort: closes the connection that the body arrives on.
    """

    __slots__ = ("_abort", "_chunks", "evicted", "size")

    def __init__(self, *, abort: t.Callable[[], None]) -> None:
        self._abort = abort
        self._chunks: list[bytes] = []
        self.size = 0
        self.evicted = False

    def append(self, chunk: bytes) -> None:
        """Add received data; it is dropped if the buffer was evicted."""
        if self.evicted:
            return
        self._chunks.append(chunk)
        self.size += len(chunk)

    def evict(self) -> None:
        """Drop the data and close the connection."""
        self.evicted = True
        self.clear()
        self._abort()

    def clear(self) -> None:
        """Drop the data."""
        self._chunks.clear()
        self.size = 0

    def get_body(self) -> bytes:
        """Return the received data."""
        return b"".join(self._chunks)


class ResponseMemory:
    """Evicts the largest body when all bodies together exceed a limit.

    A server that sends without end thus loses its own response, and not those of others.

    :param max_bytes: maximum size of all bodies together.

    >>> memory = ResponseMemory(max_bytes=10)
    >>> large, small = (memory.open(abort=lambda: None) for _ in range(2))
    >>> memory.append(large, b"12345678")
    >>> memory.append(small, b"1234")
    >>> large.evicted, small.get_body()
    (True, b'1234')
    """

    __slots__ = ("_buffers", "_max_bytes", "evicted_count", "size")

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffers: set[BodyBuffer] = set()
        self.size = 0
        self.evicted_count = 0

    def open(self, *, abort: t.Callable[[], None]) -> BodyBuffer:
        """Return the buffer of a new body; it counts until it is closed."""
        buffer = BodyBuffer(abort=abort)
        self._buffers.add(buffer)
        return buffer

    def append(self, buffer: BodyBuffer, chunk: bytes) -> None:
        """Add received data to a buffer, and evict the largest one if the limit is exceeded."""
        size_before = buffer.size
        buffer.append(chunk)
        self.size += buffer.size - size_before
        while self.size > self._max_bytes:
            largest = max(self._buffers, key=lambda other: other.size)
            self.size -= largest.size
            largest.evict()
            self.evicted_count += 1

    def close(self, buffer: BodyBuffer) -> None:
        """Stop counting a buffer."""
        self._buffers.discard(buffer)
        self.size -= buffer.size
