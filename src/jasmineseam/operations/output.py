"""Non-blocking output of lines through a bounded buffer; lines are dropped when it is full."""

from __future__ import annotations

import asyncio
import collections
import os

FLUSH_INTERVAL_S = 0.2
MAX_BUFFERED_LINES = 2000
MAX_WRITE_BYTES = 65_536


class LineOutput:
    """Writes lines to a file descriptor in batches.

    :param descriptor: the file descriptor, 1 for standard output.
    """

    def __init__(self, *, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped_lines = 0

    def write(self, line: bytes) -> None:
        """Add a line, without its line break, to the buffer; drop it if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(line)

    async def flush_periodically(self) -> None:
        """Write the buffered lines periodically until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block; the rest stays in the buffer."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # the reader has closed the pipe; logging the error would write to it as well
                self.dropped_lines += len(self._lines) + self._unwritten.count(b"\n")
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _take_batch(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line) + 1
        return b"\n".join(parts) + b"\n"
