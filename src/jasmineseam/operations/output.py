"""Standard output that never blocks: lines wait in a bounded buffer, and are dropped beyond it."""

from __future__ import annotations

import asyncio
import collections
import os

FLUSH_INTERVAL_S = 0.2
MAX_BUFFERED_LINES = 2000
MAX_WRITE_BYTES = 65_536


class LineOutput:
    """Writes lines to a file descriptor in batches.

    :param descriptor: where to, 1 for standard output.
    """

    def __init__(self, *, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self.dropped_lines = 0

    def write(self, line: bytes) -> None:
        """Take a line without its end; it is dropped if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(line)

    async def flush_periodically(self) -> None:
        """Write what has come together, again and again, until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._join()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # nobody reads any more, and there is nowhere left to say so
                self.dropped_lines += len(self._lines) + self._rest.count(b"\n")
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _join(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line) + 1
        return b"\n".join(parts) + b"\n"
