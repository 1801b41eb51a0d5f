"""The servers of one service, with its limits and budgets, in one entry process."""

from __future__ import annotations

import random

from .. import invariants
from ..catalogue.entry import CatalogueEntry
from ..measuring.reports import COLD
from ..measuring.reports import LoadReport
from ..membership.servers import Servers
from .admission import Admission
from .backends import Backend
from .choice import Choice
from .choice import make_choice
from .concurrency import ConcurrencyLimit
from .ejection import list_candidates
from .ejection import note_failure
from .ejection import note_success
from .hedging import HEDGE_QUANTILE
from .hedging import MEDIAN_QUANTILE
from .hedging import QuantileEstimate
from .retries import AttemptBudget

HEDGE_FLOOR_S = 0.002


class Pool:
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
        "attempts",
        "entry",
        "hedge_after",
        "usual",
    )

    def __init__(
        self,
        *,
        entry: CatalogueEntry,
        servers: Servers,
        clock,
        choose: Choice | None = None,
    ) -> None:
        self.entry = entry
        self._servers = servers
        self._clock = clock
        self._choose = choose or make_choice(chooser=random.Random())
        self._backends: dict[str, Backend] = {}
        self._usable: list[Backend] = []
        self._servers_version = -1
        self._seen_servers = False
        self.admission = Admission(clock=clock, limit=ConcurrencyLimit())
        self.attempts = AttemptBudget(share=entry.limits.extra_attempt_share)
        self.hedge_after = QuantileEstimate(quantile=HEDGE_QUANTILE)
        self.usual = QuantileEstimate(quantile=MEDIAN_QUANTILE)

    def resize(self, entry: CatalogueEntry, entry_processes: int) -> None:
        """Take a changed catalogue entry, changed servers, or another number of entries."""
        self.entry = entry
        limits = entry.limits
        self.attempts.share = limits.extra_attempt_share
        self._refresh()
        self.admission.limit.resize(
            slots=limits.concurrency_per_server,
            servers=len(self._usable),
            entries=entry_processes,
        )
        self.admission.resize(
            rate_per_s=limits.rate_per_s / max(1, entry_processes),
            queue_size=limits.queue,
        )

    def list_backends(self) -> list[Backend]:
        """Return the servers that may get new work, ejected ones included."""
        if self._servers.version != self._servers_version:
            self._refresh()
        return self._usable

    def pick(self, excluded: set[str]) -> Backend | None:
        """Choose a server for one attempt.

        :param excluded: ids of servers that the request has been at.
        """
        now = self._clock()
        candidates = list_candidates(self.list_backends(), now)
        if excluded:
            candidates = [one for one in candidates if one.server.server_id not in excluded]
        if not candidates:
            return None
        chosen = self._choose(candidates, now, self.usual.value_s)
        if chosen is not None:
            leaving = self._servers.is_leaving(chosen.server.server_id)
            invariants.check(not leaving, "leaving-server-chosen", chosen.server.server_id)
        return chosen

    def note_answer(
        self, backend: Backend, latency_s: float, *, good: bool, extra: bool = False
    ) -> None:
        """Learn from a whole answer.

        :param good: whether it was no server error.
        :param extra: whether it is that of a retry or hedge.
        """
        now = self._clock()
        if not good:
            note_failure(backend, now)
            return
        note_success(backend, now)
        backend.note_latency(latency_s, now)
        if extra:
            return
        self.usual.note(latency_s)
        self.hedge_after.note(latency_s)

    def note_unfinished(self, elapsed_s: float) -> None:
        """Learn from a first attempt that was cancelled after a time, in seconds."""
        self.usual.note_unfinished(elapsed_s)
        self.hedge_after.note_unfinished(elapsed_s)

    def note_lost(self, backend: Backend) -> None:
        """Learn that a connection or an answer was lost."""
        note_failure(backend, self._clock())

    def note_report(self, backend: Backend, report: LoadReport, state: str | None) -> None:
        """Learn from a load report that came with an answer."""
        backend.cold = state == COLD
        self.admission.limit.note_answer(report.in_flight, report.slots)

    def note_probe(self, server_id: str, state: str) -> None:
        """Learn from a probe that the server answers."""
        backend = self._backends.get(server_id)
        if backend is None:
            return
        backend.answered_at = self._clock()
        backend.cold = state == COLD

    def get_hedge_delay_s(self) -> float:
        """Return after what time without an answer a hedge is worth its cost, in seconds."""
        return max(self.hedge_after.value_s, HEDGE_FLOOR_S)

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
