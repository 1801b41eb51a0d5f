"""Backend servers: which a service has, and which of them are leaving.

Whichever source first says that a server is leaving is believed, whatever the others say, until
the server's VM is replaced (a new id), the list has shown it leaving and then live again, or the
sign has grown old.
"""

from __future__ import annotations

import msgspec

LEAVING_REPORT_TTL_S = 300.0
MAX_LIST_LAG_S = 10.0


class Server(msgspec.Struct, kw_only=True, frozen=True):
    """A backend server's VM as the platform lists it.

    :param server_id: the VM's id; a replacement has another one.
    :param address: ``ip:port``.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    leaving: bool = False


class LeavingReport(msgspec.Struct, kw_only=True, frozen=True):
    """Somebody has seen that a server is leaving.

    :param source: ``answer``, ``refusal``, ``list`` or ``catalogue``.
    :param age_s: how long ago, in seconds; ages cross VMs, clocks do not.
    """

    server_id: str
    source: str
    age_s: float


class ServerMembership:
    """What one process knows of the servers of all services.

    :param clock: returns seconds, monotonic.

    >>> servers = Servers(clock=lambda: 0.0)
    >>> servers.take_list([Server(server_id="s1", service="fittings", address="127.0.0.1:1",
    ...                           failure_domain="d1")])
    >>> servers.mark_leaving("s1", "answer")
    True
    >>> servers.list_usable("fittings")
    []
    """

    __slots__ = ("_by_service", "_clock", "_leaving", "_returned_at", "version")

    def __init__(self, *, clock) -> None:
        self._clock = clock
        self._by_service: dict[str, list[Server]] = {}
        self._leaving: dict[str, tuple[str, float]] = {}
        self._returned_at: dict[str, float] = {}
        self.version = 0

    def replace_servers(self, servers: list[Server]) -> None:
        """Replace the list of servers by the platform's newest one."""
        by_service: dict[str, list[Server]] = {}
        left = {server.server_id for server in self.list_all() if server.leaving}
        left &= self._leaving.keys()
        for server in servers:
            if server.server_id in left and not server.leaving:
                self._note_returned(server.server_id)
            by_service.setdefault(server.service, []).append(server)
            if server.leaving:
                self.mark_leaving(server.server_id, "list")
        if by_service != self._by_service:
            self._by_service = by_service
            self.version += 1

    def mark_leaving(self, server_id: str, source: str, age_s: float = 0.0) -> bool:
        """Remember that a server is leaving; returns whether that is new."""
        seen_at = self._clock() - age_s
        if seen_at < self._returned_at.get(server_id, seen_at):
            return False
        if server_id in self._leaving or age_s >= LEAVING_REPORT_TTL_S:
            return False
        self._leaving[server_id] = (source, seen_at)
        self.version += 1
        return True

    def _note_returned(self, server_id: str) -> None:
        now = self._clock()
        _, seen_at = self._leaving[server_id]
        # a list that lags may show a leaving server as live once more
        if now - seen_at < MAX_LIST_LAG_S:
            return
        self._returned_at[server_id] = now
        del self._leaving[server_id]
        self.version += 1

    def expire_leaving_reports(self) -> None:
        """Forget signs that have grown old."""
        oldest = self._clock() - LEAVING_REPORT_TTL_S
        for server_id, (_, seen_at) in list(self._leaving.items()):
            if seen_at > oldest:
                continue
            del self._leaving[server_id]
            self.version += 1
        for server_id, returned_at in list(self._returned_at.items()):
            if returned_at <= oldest:
                del self._returned_at[server_id]

    def is_leaving(self, server_id: str) -> bool:
        """Tell whether a server must get no new work."""
        return server_id in self._leaving

    def list_usable(self, service: str) -> list[Server]:
        """Return a service's servers that may get new work."""
        servers = self._by_service.get(service, [])
        return [server for server in servers if server.server_id not in self._leaving]

    def list_all(self) -> list[Server]:
        """Return the servers of all services."""
        return [server for servers in self._by_service.values() for server in servers]

    def list_leaving_reports(self) -> list[LeavingReport]:
        """Return all signs of leaving, with their ages."""
        now = self._clock()
        signs = []
        for server_id, (source, seen_at) in self._leaving.items():
            signs.append(LeavingReport(server_id=server_id, source=source, age_s=now - seen_at))
        return signs
