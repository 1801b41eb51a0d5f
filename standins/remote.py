"""Calls of a stand-in in another process, as lines of JSON on its standard input and output.

The process ends when its standard input ends, so that it doesn't outlive the process that started
it.
"""

from __future__ import annotations

import asyncio
import inspect
import os
import sys
import typing as t

import msgspec

# The records of a run can be one line.
MAX_LINE_BYTES = 2**30


async def serve_calls(target: t.Any) -> None:
    """Call the methods of an object that standard input names, until standard input ends.

    Each line holds the name of a method and its keyword arguments. The line written in response
    holds the result.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        method, arguments = msgspec.json.decode(line)
        result = getattr(target, method)(**arguments)
        if inspect.isawaitable(result):
            result = await result
        sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")
        sys.stdout.buffer.flush()


class RemoteStandIn:
    """A stand-in in a process of its own.

    :param kind: the stand-in, as in :mod:`standins.soak_processes`.
    """

    def __init__(self, *, kind: str) -> None:
        self._kind = kind
        self._process: asyncio.subprocess.Process | None = None
        self._lock = asyncio.Lock()

    async def start(self, log_path: os.PathLike) -> None:
        """Start the process; its standard error goes to a file."""
        with open(log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "standins.soak_processes",
                self._kind,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=MAX_LINE_BYTES,
            )

    async def call(self, method: str, **arguments: t.Any) -> t.Any:
        """Call a method of the stand-in and return its result.

        :raises RuntimeError: if the process has ended.
        """
        async with self._lock:
            self._process.stdin.write(msgspec.json.encode((method, arguments)) + b"\n")
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"the process of the stand-in {self._kind!r} has ended")
        return msgspec.json.decode(line)

    async def stop(self) -> None:
        """End the process."""
        if self._process is not None:
            self._process.stdin.close()
            await self._process.wait()
