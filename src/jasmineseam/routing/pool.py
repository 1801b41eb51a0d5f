"""Servers, limits and budgets of one service in one entry process."""

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
    """Routing state of one service.

    :param entry: the service's catalogue entry.
    :param servers: membership of the servers of all services.
    :param clock: returns monotonic time in seconds.
    :param select_server: selects the server of an attempt; defaults to the result of
        :func:`~jasmineseam.routing.server_selection.make_server_selector`.
    """

    __slots__ = (
        "_backends",
        "_clock",
        "_had_usable_servers",
        "_select_server",
        "_servers",
        "_servers_version",
        "_usable_backends",
        "admission",
        "entry",
        "hedge_delay",
        "median_latency",
        "retry_budget",
    )

    def __init__(
        self,
        *,
        entry: CatalogueEntry,
        servers: ServerMembership,
        clock,
        select_server: ServerSelector | None = None,
    ) -> None:
        self.entry = entry
        self._servers = servers
        self._clock = clock
        self._select_server = select_server or make_server_selector(rng=random.Random())
        self._backends: dict[str, Backend] = {}
        self._usable_backends: list[Backend] = []
        self._servers_version = -1
        self._had_usable_servers = False
        self.admission = AdmissionController(clock=clock, concurrency_limit=ConcurrencyLimit())
        self.retry_budget = RetryBudget(extra_attempt_share=entry.limits.extra_attempt_share)
        self.hedge_delay = QuantileEstimator(quantile=HEDGE_QUANTILE)
        self.median_latency = QuantileEstimator(quantile=MEDIAN_QUANTILE)

    def reconfigure(self, entry: CatalogueEntry, entry_process_count: int) -> None:
        """Apply a changed catalogue entry, list of servers or number of entry processes.

        :param entry_process_count: number of entry processes that share the servers.
        """
        self.entry = entry
        limits = entry.limits
        self.retry_budget.extra_attempt_share = limits.extra_attempt_share
        self._refresh_backends()
        self.admission.concurrency_limit.set_capacity(
            slots_per_server=limits.concurrency_per_server,
            server_count=len(self._usable_backends),
            entry_process_count=entry_process_count,
        )
        self.admission.set_limits(
            rate_per_s=limits.rate_per_s / max(1, entry_process_count),
            queue_size=limits.queue,
        )

    def list_backends(self) -> list[Backend]:
        """Return the servers that are not leaving, including ejected servers."""
        if self._servers.version != self._servers_version:
            self._refresh_backends()
        return self._usable_backends

    def choose_server(self, excluded_server_ids: set[str]) -> Backend | None:
        """Return the server for one attempt, ``None`` if there is none.

        :param excluded_server_ids: servers that already received an attempt of the request.
        """
        now = self._clock()
        candidates = list_candidates(self.list_backends(), now)
        if excluded_server_ids:
            candidates = [
                backend
                for backend in candidates
                if backend.server.server_id not in excluded_server_ids
            ]
        if not candidates:
            return None
        chosen = self._select_server(candidates, now, self.median_latency.value_s)
        if chosen is not None:
            leaving = self._servers.is_leaving(chosen.server.server_id)
            invariants.check(not leaving, "leaving-server-chosen", chosen.server.server_id)
        return chosen

    def record_response(
        self, backend: Backend, latency_s: float, *, success: bool, extra: bool = False
    ) -> None:
        """Update the statistics from a complete response.

        :param latency_s: time from sending the request to the end of the response, in seconds.
        :param success: ``False`` if the response is a server error.
        :param extra: whether the response belongs to a retry or hedge.
        """
        now = self._clock()
        if not success:
            record_failure(backend, now)
            return
        record_success(backend, now)
        backend.record_latency(latency_s, now)
        if extra:
            return
        self.median_latency.record_latency(latency_s)
        self.hedge_delay.record_latency(latency_s)

    def record_cancelled_attempt(self, elapsed_s: float) -> None:
        """Record a first attempt that was cancelled before its response.

        :param elapsed_s: time from sending the request to its cancellation, in seconds.
        """
        self.median_latency.record_cancelled_request(elapsed_s)
        self.hedge_delay.record_cancelled_request(elapsed_s)

    def record_failed_attempt(self, backend: Backend) -> None:
        """Record an attempt that failed to connect or whose response was lost."""
        record_failure(backend, self._clock())

    def record_load_report(self, backend: Backend, report: LoadReport, state: str | None) -> None:
        """Apply the load report of a response.

        :param state: the reported server state, ``None`` if it was not reported.
        """
        backend.cold = state == COLD
        self.admission.concurrency_limit.record_report(report.in_flight, report.slots)

    def record_probe_response(self, server_id: str, state: str) -> None:
        """Record that a server responded to a probe."""
        backend = self._backends.get(server_id)
        if backend is None:
            return
        backend.last_response_at = self._clock()
        backend.cold = state == COLD

    def get_hedge_delay_s(self) -> float:
        """Return the time without a response after which a hedge is sent, in seconds."""
        return max(self.hedge_delay.value_s, MIN_HEDGE_DELAY_S)

    def _refresh_backends(self) -> None:
        now = self._clock()
        usable = []
        for server in self._servers.list_usable(self.entry.service):
            backend = self._backends.get(server.server_id)
            if backend is None or backend.server.address != server.address:
                backend = Backend(
                    server=server, now=now, skip_slow_start=not self._had_usable_servers
                )
                self._backends[server.server_id] = backend
            usable.append(backend)
        self._usable_backends = usable
        self._servers_version = self._servers.version
        self._had_usable_servers = self._had_usable_servers or bool(usable)
        server_ids = {backend.server.server_id for backend in usable}
        for server_id in list(self._backends):
            if server_id not in server_ids and not self._backends[server_id].request_start_times:
                del self._backends[server_id]
