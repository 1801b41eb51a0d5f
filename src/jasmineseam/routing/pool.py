"""The servers of one service, with its limits and budgets, in one entry process."""

from __future__ import annotations

import random

from .. import invariants
from ..catalogue.entry import CatalogueEntry
from ..measuring.load_reports import COLD
from ..measuring.load_reports import LoadReport
from ..membership.servers import ServerMembership
from .admission import AdmissionController
from .backends import Backend
from .concurrency import ConcurrencyLimit
from .ejection import list_candidates
from .ejection import record_failure
from .ejection import record_success
from .hedging import HEDGE_QUANTILE
from .hedging import MEDIAN_QUANTILE
from .hedging import QuantileEstimator
from .retry_budget import RetryBudget
from .server_selection import ServerSelector
from .server_selection import make_server_selector

MIN_HEDGE_DELAY_S = 0.002


class ServerPool:
    """All that decides where a service's requests go, and whether.

    :param entry: the catalogue's entry.
    :param servers: what is known of the servers.
    :param clock: returns seconds, monotonic.
    :param choose: the choice of a server.
    """

    __slots__ = (
        "_backends",
        "_choose",
        "_clock",
        "_seen_servers",
        "_servers",
        "_servers_version",
        "_usable",
        "admission",
        "attempt_budget",
        "entry",
        "hedge_delay",
        "median_latency",
    )

    def __init__(
        self,
        *,
        entry: CatalogueEntry,
        servers: ServerMembership,
        clock,
        choose: ServerSelector | None = None,
    ) -> None:
        self.entry = entry
        self._servers = servers
        self._clock = clock
        self._choose = choose or make_server_selector(rng=random.Random())
        self._backends: dict[str, Backend] = {}
        self._usable: list[Backend] = []
        self._servers_version = -1
        self._seen_servers = False
        self.admission = AdmissionController(clock=clock, limit=ConcurrencyLimit())
        self.attempt_budget = RetryBudget(share=entry.limits.extra_attempt_share)
        self.hedge_delay = QuantileEstimator(quantile=HEDGE_QUANTILE)
        self.median_latency = QuantileEstimator(quantile=MEDIAN_QUANTILE)

    def reconfigure(self, entry: CatalogueEntry, entry_processes: int) -> None:
        """Take a changed catalogue entry, changed servers, or another number of entries."""
        self.entry = entry
        limits = entry.limits
        self.attempt_budget.share = limits.extra_attempt_share
        self._refresh()
        self.admission.limit.set_capacity(
            slots_per_server=limits.concurrency_per_server,
            server_count=len(self._usable),
            entry_process_count=entry_processes,
        )
        self.admission.set_limits(
            rate_per_s=limits.rate_per_s / max(1, entry_processes),
            queue_size=limits.queue,
        )

    def list_backends(self) -> list[Backend]:
        """Return the servers that may get new work, ejected ones included."""
        if self._servers.version != self._servers_version:
            self._refresh()
        return self._usable

    def choose_server(self, excluded: set[str]) -> Backend | None:
        """Choose a server for one attempt.

        :param excluded: ids of servers that the request has been at.
        """
        now = self._clock()
        candidates = list_candidates(self.list_backends(), now)
        if excluded:
            candidates = [one for one in candidates if one.server.server_id not in excluded]
        if not candidates:
            return None
        chosen = self._choose(candidates, now, self.median_latency.value_s)
        if chosen is not None:
            leaving = self._servers.is_leaving(chosen.server.server_id)
            invariants.check(not leaving, "leaving-server-chosen", chosen.server.server_id)
        return chosen

    def record_response(
        self, backend: Backend, latency_s: float, *, success: bool, extra: bool = False
    ) -> None:
        """Learn from a whole answer.

        :param good: whether it was no server error.
        :param extra: whether it is that of a retry or hedge.
        """
        now = self._clock()
        if not success:
            record_failure(backend, now)
            return
        record_success(backend, now)
        backend.record_latency(latency_s, now)
        if extra:
            return
        self.median_latency.record(latency_s)
        self.hedge_delay.record(latency_s)

    def record_unfinished(self, elapsed_s: float) -> None:
        """Learn from a first attempt that was cancelled after a time, in seconds."""
        self.median_latency.record_unfinished(elapsed_s)
        self.hedge_delay.record_unfinished(elapsed_s)

    def record_lost_attempt(self, backend: Backend) -> None:
        """Learn that a connection or an answer was lost."""
        record_failure(backend, self._clock())

    def record_load_report(self, backend: Backend, report: LoadReport, state: str | None) -> None:
        """Learn from a load report that came with an answer."""
        backend.cold = state == COLD
        self.admission.limit.record_report(report.in_flight, report.slots)

    def record_probe(self, server_id: str, state: str) -> None:
        """Learn from a probe that the server answers."""
        backend = self._backends.get(server_id)
        if backend is None:
            return
        backend.last_response_at = self._clock()
        backend.cold = state == COLD

    def get_hedge_delay_s(self) -> float:
        """Return after what time without an answer a hedge is worth its cost, in seconds."""
        return max(self.hedge_delay.value_s, MIN_HEDGE_DELAY_S)

    def _refresh(self) -> None:
        now = self._clock()
        usable = []
        for server in self._servers.list_usable(self.entry.service):
            backend = self._backends.get(server.server_id)
            if backend is None or backend.server.address != server.address:
                backend = Backend(server=server, now=now, warm=not self._seen_servers)
                self._backends[server.server_id] = backend
            usable.append(backend)
        self._usable = usable
        self._servers_version = self._servers.version
        self._seen_servers = self._seen_servers or bool(usable)
        ids = {backend.server.server_id for backend in usable}
        for server_id in list(self._backends):
            if server_id not in ids and not self._backends[server_id].running:
                del self._backends[server_id]
