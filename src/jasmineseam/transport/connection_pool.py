"""Pool of connections to backend servers, which reuses the most recently used one first."""

from __future__ import annotations

import collections
import time

from ..exceptions import AttemptNotRunError
from .server_connection import ServerConnection
from .server_connection import open_connection

CONNECT_TIMEOUT_S = 0.3
MAX_IDLE_CONNECTIONS_PER_SERVER = 16
PURPOSE_REQUEST = "request"
PURPOSE_PROBE = "probe"
PURPOSE_CHECK = "check"
# Reasons for which a connection is opened: the last idle one was closed after its idle limit or by
# the server; it was idle for too long for a request that may run at most once; or there was none,
# because all are in use or none was opened before.
REASON_EXPIRED = "expired"
REASON_TOO_IDLE = "too-idle"
REASON_NONE_IDLE = "none-idle"


class ConnectionPool:
    """The idle connections of one process, by address of the server.

    :param connect_timeout_s: maximum time to open a connection, in seconds.
    """

    def __init__(self, *, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[ServerConnection]] = {}
        # addresses whose last idle connection has expired
        self._expired: set[str] = set()
        # number of opened connections by purpose and reason
        self.opened_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.failed_count = 0

    @property
    def opened_count(self) -> int:
        """Number of opened connections."""
        return self.opened_counts.total()

    async def acquire(
        self,
        address: str,
        max_idle_s: float = float("inf"),
        *,
        purpose: str = PURPOSE_REQUEST,
    ) -> ServerConnection:
        """Return an idle connection, or open a new one.

        :param address: ``ip:port`` of the server.
        :param max_idle_s: maximum idle time of a reused connection, in seconds; connections that
            have been idle for longer stay in the pool.
        :param purpose: use of the connection, for the count of opened connections.
        :raises AttemptNotRunError: if no connection can be opened.
        """
        idle = self._idle.get(address)
        now = time.monotonic()
        reason = REASON_EXPIRED if address in self._expired else REASON_NONE_IDLE
        while idle:
            connection = idle[-1]
            idle_s = now - connection.last_used_at
            usable = connection.is_reusable and idle_s < connection.idle_limit_s
            if usable and idle_s >= max_idle_s:
                reason = REASON_TOO_IDLE
                break
            idle.pop()
            if usable:
                connection.reused = True
                return connection
            connection.close()
            reason = REASON_EXPIRED
        try:
            connection = await self._open(address, self._connect_timeout_s)
        except AttemptNotRunError:
            self.failed_count += 1
            raise
        self.opened_counts[purpose, reason] += 1
        self._expired.discard(address)
        return connection

    async def check(self, address: str, timeout_s: float) -> bool:
        """Return whether a server accepts a new connection, which is added to the pool.

        :param timeout_s: maximum time to open the connection, in seconds.
        """
        try:
            connection = await self._open(address, timeout_s)
        except AttemptNotRunError:
            return False
        self.opened_counts[PURPOSE_CHECK, REASON_NONE_IDLE] += 1
        self.release(address, connection)
        return True

    async def is_refused(self, address: str) -> bool:
        """Return whether a server refuses connections, as after the end of its process.

        No connection is opened if an idle one to the server is still open.
        """
        if self.has_idle(address):
            return False
        try:
            connection = await self._open(address, self._connect_timeout_s)
        except AttemptNotRunError as error:
            return isinstance(error.__cause__, ConnectionError)
        connection.close()
        return False

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to a server is open."""
        return any(connection.is_reusable for connection in self._idle.get(address, ()))

    def has_usable(self, address: str, max_idle_s: float = float("inf")) -> bool:
        """Return whether :meth:`acquire` would return an idle connection.

        :param max_idle_s: maximum idle time of the connection, in seconds.
        """
        now = time.monotonic()
        for connection in self._idle.get(address, ()):
            idle_s = now - connection.last_used_at
            limit_s = min(max_idle_s, connection.idle_limit_s)
            if idle_s < limit_s and connection.is_reusable:
                return True
        return False

    def release(self, address: str, connection: ServerConnection) -> None:
        """Return a connection to the pool.

        It is closed instead if it is not reusable, if it still has data to send, or if the pool
        already holds :data:`MAX_IDLE_CONNECTIONS_PER_SERVER` connections to the server.
        """
        idle = self._idle.setdefault(address, [])
        full = len(idle) >= MAX_IDLE_CONNECTIONS_PER_SERVER
        if full or not connection.is_reusable or not connection.is_write_buffer_empty():
            connection.close()
            return
        connection.end_exchange()
        connection.last_used_at = time.monotonic()
        idle.append(connection)

    def discard(self, address: str) -> None:
        """Close the idle connections to a server, which has restarted."""
        for connection in self._idle.pop(address, []):
            connection.close()
        self._expired.discard(address)

    def expire_connections(self, addresses: set[str]) -> None:
        """Close connections that are no longer reusable or have been idle for too long.

        :param addresses: addresses of the current servers; connections to others are closed too.
        """
        now = time.monotonic()
        self._expired &= addresses
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                idle_s = now - connection.last_used_at
                reusable = address in addresses and connection.is_reusable
                if reusable and idle_s < connection.idle_limit_s:
                    kept.append(connection)
                    continue
                connection.close()
            if kept:
                self._idle[address] = kept
                continue
            del self._idle[address]
            if idle and address in addresses:
                self._expired.add(address)

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(idle) for idle in self._idle.values())

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    async def _open(self, address: str, timeout_s: float) -> ServerConnection:
        return await open_connection(address, timeout_s)
