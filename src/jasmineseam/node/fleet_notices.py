"""What nodes observe of servers and send each other: departures, request limits and crashes."""

from __future__ import annotations

import logbook

from ..fleet.spreading import Fleet
from ..membership.registry import Departure
from ..membership.registry import ServerRegistry
from ..membership.request_limits import SOURCE_WARMUP
from ..membership.request_limits import RequestLimit
from ..routing.quarantine import CRASH_THRESHOLD
from ..routing.quarantine import CrashReport
from ..routing.quarantine import choose_trial_node
from ..routing.request_shares import ShareCandidate
from .gateway import Gateway

_logger = logbook.Logger("node")
_limits_logger = logbook.Logger("limits")
_quarantine_logger = logbook.Logger("quarantine")


class FleetNotices:
    """Applies and logs what this node or other nodes observe of servers.

    The ``report_*`` methods are called with observations of this node, and publish them. The
    ``add_*`` methods are called with observations of other nodes, and return the new ones, which
    are forwarded.

    :param gateway: holds the limits and the quarantine.
    :param registry: holds the departures.
    """

    def __init__(self, *, gateway: Gateway, registry: ServerRegistry) -> None:
        self._gateway = gateway
        self._registry = registry
        # set when the fleet has been created, which needs the methods of this object
        self.fleet: Fleet | None = None

    def report_departure(self, server_id: str, started_ms: int) -> None:
        """Record and publish that a server has reported its departure in a response."""
        departure = Departure(server_id=server_id, started_ms=started_ms)
        if self._registry.add_departure(departure):
            _logger.info(
                "Server {} reports that it is leaving; it gets no new requests.", server_id
            )
            self.fleet.publish(departures=[departure], urgent=True)

    def add_departures(self, departures: list[Departure]) -> list[Departure]:
        """Record departures that other nodes have observed; return the new ones."""
        return [departure for departure in departures if self._registry.add_departure(departure)]

    def report_request_limit(self, limit: RequestLimit) -> None:
        """Publish a limit that a server has named, moved or withdrawn in a response."""
        self._log_request_limit(limit, "its response")
        self.fleet.publish(request_limits=[limit], urgent=True)

    def add_request_limits(self, limits: list[RequestLimit]) -> list[RequestLimit]:
        """Apply limits that other nodes have observed; return the new ones."""
        new = [limit for limit in limits if self._gateway.request_limits.apply(limit)]
        if new:
            self._gateway.dispatchers.apply_request_limits()
        for limit in new:
            self._log_request_limit(limit, "another node")
        return new

    def report_crashes(self, reports: list[CrashReport]) -> None:
        """Publish crashes of servers under requests, or that they don't count any more."""
        self.fleet.publish(crashes=reports, urgent=True)

    def add_crashes(self, reports: list[CrashReport]) -> list[CrashReport]:
        """Apply reports of crashes that other nodes have observed; return the new ones."""
        quarantine = self._gateway.attempts.quarantine
        new = [report for report in reports if quarantine.apply(report)]
        for fingerprint in {report.fingerprint for report in new}:
            count = quarantine.count_crashes(fingerprint)
            if count >= CRASH_THRESHOLD:
                _quarantine_logger.warning(
                    "Request with fingerprint {} has crashed {} servers, according to other "
                    "nodes; it is refused.",
                    fingerprint.hex(),
                    count,
                )
        return new

    def list_share_candidates(self) -> list[ShareCandidate]:
        """Return the nodes that share the limits which servers name, including this one."""
        membership = self.fleet.membership
        return [
            ShareCandidate(info.vm_id, info.failure_domain)
            for info in (*membership.list_peers(), membership.own)
            if not info.leaving
        ]

    def list_warmup_candidates(self) -> list[ShareCandidate]:
        """Return the nodes that share the limits of cold servers, including this one.

        Nodes that have failed keep their shares until they are forgotten, because they may be
        paused, or cut off from this node. The result is empty as long as this node may not know
        most of the nodes.
        """
        if not self.fleet.has_met_fleet():
            return []
        membership = self.fleet.membership
        return [
            ShareCandidate(info.vm_id, info.failure_domain)
            for info in (*membership.list_peers(), *membership.list_failed(), membership.own)
            if not info.leaving
        ]

    def sends_trial(self, fingerprint: bytes) -> bool:
        """Return whether this node sends the trial of a request after its quarantine."""
        node_ids = [candidate.vm_id for candidate in self.list_share_candidates()]
        return choose_trial_node(fingerprint, node_ids) == self.fleet.membership.own.vm_id

    def _log_request_limit(self, limit: RequestLimit, source: str) -> None:
        if limit.requests_per_s is None:
            _limits_logger.info(
                "Server {} names no limit any more, according to {}; it is used as before.",
                limit.server_id,
                source,
            )
            return
        shares = self._gateway.dispatchers.get_request_shares()
        if limit.source == SOURCE_WARMUP:
            _limits_logger.info(
                "Server {} is cold for {:.2f} s, according to {}; it accepts {:g} requests/s from "
                "all nodes, and this node sends at most {:.3g}/s.",
                limit.server_id,
                limit.left_s,
                source,
                limit.requests_per_s,
                shares.get(limit.server_id, 0.0),
            )
            return
        _limits_logger.info(
            "Server {} accepts {:g} requests/s from all nodes, according to {}; "
            "this node sends at most {:.3g}/s.",
            limit.server_id,
            limit.requests_per_s,
            source,
            shares.get(limit.server_id, 0.0),
        )
