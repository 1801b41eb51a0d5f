"""Applies evacuations of failure domains at one node, and spreads them to the others."""

from __future__ import annotations

import time
import typing as t

import logbook

from ..fleet.spreading import Fleet
from ..membership.evacuations import Evacuations
from ..membership.evacuations import EvacuationState
from ..membership.registry import ServerRegistry
from .gateway import Gateway

_logger = logbook.Logger("evacuation")


class EvacuationNotices:
    """Applies and logs which failure domains are evacuated.

    :param gateway: its queued requests are placed elsewhere, or refused.
    :param registry: leaves out the servers of evacuated domains.
    """

    def __init__(self, *, gateway: Gateway, registry: ServerRegistry) -> None:
        self._gateway = gateway
        self._registry = registry
        self.evacuations = Evacuations(
            clock_ms=lambda: time.time_ns() // 1_000_000, on_change=self._apply_change
        )
        # set when the fleet has been created, which needs the methods of this object
        self.fleet: Fleet | None = None

    def report(self, state: EvacuationState) -> None:
        """Apply what a read of the store has brought, and publish it if it is new."""
        if self.evacuations.apply(state):
            self.fleet.publish(evacuations=self.evacuations.state, urgent=True)

    def add(self, state: EvacuationState) -> EvacuationState | None:
        """Apply what another node knows; return the state to forward, ``None`` if not new."""
        return self.evacuations.state if self.evacuations.apply(state) else None

    def maintain(self) -> None:
        """End retained evacuations whose time is over, and publish those in force here."""
        self.evacuations.expire()
        self.fleet.update_own(evacuated=sorted(self.evacuations.failure_domains))

    def describe(self) -> dict[str, t.Any]:
        """Return the part of the state dump that describes evacuations."""
        evacuations = self.evacuations
        membership = self.fleet.membership
        nodes = membership.list_peers()
        return {
            "position": list(evacuations.state.position),
            "failure_domains": {
                failure_domain: {
                    "since": list(evacuations.get_since(failure_domain)),
                    "retained": failure_domain in evacuations.state.retained,
                    "unaware_nodes": sorted(
                        info.vm_id
                        for info in nodes
                        if failure_domain not in (info.evacuated or ())
                    ),
                    "aware_nodes": sorted(
                        [membership.own.vm_id]
                        + [
                            info.vm_id
                            for info in nodes
                            if failure_domain in (info.evacuated or ())
                        ]
                    ),
                }
                for failure_domain in sorted(evacuations.failure_domains)
            },
        }

    def _apply_change(self, failure_domains: frozenset[str]) -> None:
        before = self._registry.evacuated
        self._registry.set_evacuated(failure_domains)
        self._gateway.dispatchers.place_queued_requests()
        state = self.evacuations.state
        for failure_domain in sorted(failure_domains - before):
            since = self.evacuations.get_since(failure_domain)
            _logger.warning(
                "Failure domain {} is evacuated as of offset {} of timeline {}; its servers get "
                "no requests.",
                failure_domain,
                since.offset,
                since.timeline,
            )
        for failure_domain in sorted(before - failure_domains):
            _logger.warning(
                "Failure domain {} is no longer evacuated as of offset {} of timeline {}; its "
                "servers get requests again.",
                failure_domain,
                state.position.offset,
                state.position.timeline,
            )
        for failure_domain in sorted(state.retained.keys() & failure_domains):
            _logger.warning(
                "The restored store lists no evacuation of failure domain {}; retaining it "
                "until a record withdraws it, or for at most {:.0f} s.",
                failure_domain,
                state.retained[failure_domain].until_ms / 1000 - time.time_ns() / 1e9,
            )
