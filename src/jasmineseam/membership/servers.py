"""Membership of the backend servers of all services.

A server counts as leaving as soon as a response, a probe, the platform's list of VMs or the
catalogue reports it as such, even if the other sources contradict. The report remains in effect
until the server's VM is replaced (a new id), the list has shown the server as leaving and then as
live again, or the report expires.
"""

from __future__ import annotations

import msgspec

LEAVING_REPORT_TTL_S = 300.0
MAX_VM_LIST_LAG_S = 10.0


class Server(msgspec.Struct, kw_only=True, frozen=True):
    """A backend server's VM, as listed by the platform.

    :param server_id: id of the VM; a replacement VM has another id.
    :param address: ``ip:port``.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    leaving: bool = False


class LeavingReport(msgspec.Struct, kw_only=True, frozen=True):
    """Report that a server is leaving.

    :param source: origin of the report: ``answer`` for a response or probe result of the server,
        ``refusal`` for its rejection of a request, ``list`` for the platform's list of VMs,
        ``catalogue`` for a catalogue entry.
    :param age_s: age of the report, in seconds; sent instead of a time because the clocks of VMs
        are not comparable.
    """

    server_id: str
    source: str
    age_s: float


class ServerMembership:
    """The servers of all services, from the platform's list and reports received by one process.

    :param clock: returns monotonic time in seconds.

    >>> servers = ServerMembership(clock=lambda: 0.0)
    >>> server = Server(server_id="s1", service="fittings", address="127.0.0.1:1",
    ...                 failure_domain="d1")
    >>> servers.replace_servers([server])
    >>> servers.mark_leaving("s1", "answer")
    True
    >>> servers.list_usable("fittings")
    []
    """

    __slots__ = ("_by_service", "_clock", "_leaving", "_reinstated_at", "version")

    def __init__(self, *, clock) -> None:
        self._clock = clock
        self._by_service: dict[str, list[Server]] = {}
        self._leaving: dict[str, tuple[str, float]] = {}
        self._reinstated_at: dict[str, float] = {}
        # incremented with every change of the servers or of the leaving reports
        self.version = 0

    def replace_servers(self, servers: list[Server]) -> None:
        """Replace the list of servers by the newest list of the platform."""
        by_service: dict[str, list[Server]] = {}
        listed_leaving = {server.server_id for server in self.list_all() if server.leaving}
        listed_leaving &= self._leaving.keys()
        for server in servers:
            if server.server_id in listed_leaving and not server.leaving:
                self._reinstate_server(server.server_id)
            by_service.setdefault(server.service, []).append(server)
            if server.leaving:
                self.mark_leaving(server.server_id, "list")
        if by_service != self._by_service:
            self._by_service = by_service
            self.version += 1

    def mark_leaving(self, server_id: str, source: str, age_s: float = 0.0) -> bool:
        """Record that a server is leaving.

        :param source: origin of the report, see :class:`LeavingReport`.
        :param age_s: age of the report, in seconds.
        :returns: whether the report was new.
        """
        reported_at = self._clock() - age_s
        if reported_at < self._reinstated_at.get(server_id, reported_at):
            return False
        if server_id in self._leaving or age_s >= LEAVING_REPORT_TTL_S:
            return False
        self._leaving[server_id] = (source, reported_at)
        self.version += 1
        return True

    def _reinstate_server(self, server_id: str) -> None:
        now = self._clock()
        _, reported_at = self._leaving[server_id]
        # a lagging list may still show a server as live that has just been reported as leaving
        if now - reported_at < MAX_VM_LIST_LAG_S:
            return
        self._reinstated_at[server_id] = now
        del self._leaving[server_id]
        self.version += 1

    def expire_leaving_reports(self) -> None:
        """Drop expired reports."""
        oldest = self._clock() - LEAVING_REPORT_TTL_S
        for server_id, (_, reported_at) in list(self._leaving.items()):
            if reported_at > oldest:
                continue
            del self._leaving[server_id]
            self.version += 1
        for server_id, reinstated_at in list(self._reinstated_at.items()):
            if reinstated_at <= oldest:
                del self._reinstated_at[server_id]

    def is_leaving(self, server_id: str) -> bool:
        """Return whether a server is leaving and must receive no new requests."""
        return server_id in self._leaving

    def list_usable(self, service: str) -> list[Server]:
        """Return the servers of a service that may receive new requests."""
        servers = self._by_service.get(service, [])
        return [server for server in servers if server.server_id not in self._leaving]

    def list_all(self) -> list[Server]:
        """Return the servers of all services, including leaving ones."""
        return [server for servers in self._by_service.values() for server in servers]

    def list_leaving_reports(self) -> list[LeavingReport]:
        """Return all reports of leaving servers, with their current ages."""
        now = self._clock()
        reports = []
        for server_id, (source, reported_at) in self._leaving.items():
            reports.append(
                LeavingReport(server_id=server_id, source=source, age_s=now - reported_at)
            )
        return reports
