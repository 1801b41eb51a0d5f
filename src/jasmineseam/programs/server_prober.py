"""Probes backend servers within one share of the probe budget, and renews the lease on the share.

Each VM has a numbered seat, to which one share of the probe budget of each service belongs. Only
the agent that holds the lease on the seat sends probes, see :mod:`~jasmineseam.measuring.seat`.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing as t

import aiohttp
import logbook
import msgspec

from ..catalogue.entry import CatalogueEntry
from ..exceptions import PlatformError
from ..exceptions import RecordsTrimmedError
from ..measuring.load_reports import LOAD_HEADER
from ..measuring.load_reports import STATE_HEADER
from ..measuring.load_reports import parse_load_report
from ..measuring.probe_budget import ProbeBudget
from ..measuring.probe_budget import compute_probe_share
from ..measuring.seat import SeatClaim
from ..measuring.seat import SeatLease
from ..membership.servers import Server
from ..membership.servers import ServerMembership
from ..standalone.log_client import SEATS_STREAM
from ..standalone.log_client import LogClient
from ..transport.response_bodies import read_limited_body
from ..transport.response_protocol import InvalidResponseError

SEAT_RENEWAL_INTERVAL_S = 1.5
PROBE_POLL_INTERVAL_S = 0.1
# a server that has responded or was probed within this time needs no probe
OBSERVATION_FRESHNESS_S = 1.0
MAX_RETAINED_PROBE_RESULTS = 200
MAX_PROBE_BODY_BYTES = 65_536
_logger = logbook.Logger("measuring")


def read_boottime_clock() -> float:
    """Return the seconds of a monotonic clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ProbeResult(msgspec.Struct, kw_only=True):
    """The load report in the response to a probe.

    :param server_id: id of the probed server.
    :param in_flight: requests at the server, queued ones included.
    :param slots: requests that the server runs concurrently.
    :param state: the reported server state, empty if it was not reported.
    """

    server_id: str
    in_flight: int
    slots: int
    state: str


class ServerProber:
    """Probes the servers that have not responded recently, while the lease of the seat is held.

    :param seat_number: the number of the VM's seat.
    :param seat_count: how many seats share the probe budgets.
    :param holder: the agent's incarnation, the holder of the seat's lease.
    :param log: client of the platform's log, which holds the seat claims.
    :param session: HTTP client session for the probes.
    :param servers: the servers that may be probed.
    :param list_entries: returns the catalogue entries.
    """

    def __init__(
        self,
        *,
        seat_number: int,
        seat_count: int,
        holder: str,
        log: LogClient,
        session: aiohttp.ClientSession,
        servers: ServerMembership,
        list_entries: t.Callable[[], list[CatalogueEntry]],
    ) -> None:
        self.seat = SeatLease(seat=seat_number, holder=holder, clock=read_boottime_clock)
        self._seat_count = seat_count
        self._log = log
        self._session = session
        self._servers = servers
        self._list_entries = list_entries
        self._budgets: dict[str, ProbeBudget] = {}
        self._observed_at: dict[str, float] = {}
        self._ejected_ids: set[str] = set()
        # next offset to read in the stream of seat claims
        self._seats_offset = 0
        self._newest_claim_holder = ""
        self.probe_results: list[ProbeResult] = []
        self.stopped = False

    def record_observations(self, server_ids: list[str], ejected_ids: list[str]) -> None:
        """Record which servers responded to an entry process, and which it has ejected."""
        now = read_boottime_clock()
        for server_id in server_ids:
            self._observed_at[server_id] = now
        self._ejected_ids = set(ejected_ids)

    def count_sent_probes(self) -> dict[str, int]:
        """Return the number of probes sent, by service."""
        return {service: budget.sent_count for service, budget in self._budgets.items()}

    async def renew_seat_forever(self) -> None:
        """Claim the seat once, then renew its lease by reading the log, until cancelled."""
        while True:
            with contextlib.suppress(PlatformError):
                await self._renew_lease()
            await asyncio.sleep(SEAT_RENEWAL_INTERVAL_S)

    async def probe_forever(self) -> None:
        """Send probes within the budgets until stopped or cancelled."""
        while not self.stopped:
            await asyncio.sleep(PROBE_POLL_INTERVAL_S)
            if not self.seat.is_held():
                continue
            for entry in self._list_entries():
                await self._probe_service(entry)

    async def _renew_lease(self) -> None:
        started_at = read_boottime_clock()
        while True:
            try:
                page = await self._log.read(SEATS_STREAM, self._seats_offset)
            except RecordsTrimmedError as error:
                self._seats_offset = error.first_offset
                continue
            if page.end < self._seats_offset:
                self._seats_offset = 0
                continue
            for payload in page.records:
                self._apply_claim(payload)
            self._seats_offset += len(page.records)
            if self._seats_offset >= page.end:
                break
        if self.seat.claimed or self._newest_claim_holder == self.seat.holder:
            self.seat.record_read(self._newest_claim_holder, started_at)
            return
        claim = SeatClaim(seat=self.seat.seat, holder=self.seat.holder)
        await self._log.append(SEATS_STREAM, msgspec.json.encode(claim).decode())
        self.seat.record_claim()

    def _apply_claim(self, payload: str) -> None:
        try:
            claim = msgspec.json.decode(payload, type=SeatClaim)
        except (msgspec.MsgspecError, RecursionError):
            return
        if claim.seat == self.seat.seat:
            self._newest_claim_holder = claim.holder

    async def _probe_service(self, entry: CatalogueEntry) -> None:
        measuring = entry.measuring
        share = compute_probe_share(measuring.probes, self.seat.seat, self._seat_count)
        budget = self._budgets.get(entry.service)
        if budget is None:
            budget = ProbeBudget(clock=read_boottime_clock, share=0, window_s=measuring.window_s)
            self._budgets[entry.service] = budget
        budget.set_limits(share, measuring.window_s)
        if share == 0:
            return
        server = self._choose_server_to_probe(entry.service)
        # checked right before sending: the lease may have expired while the process was paused
        if server is None or not self.seat.is_held() or not budget.start_probe():
            return
        try:
            await self._send_probe(entry, server)
        finally:
            budget.finish_probe()

    def _choose_server_to_probe(self, service: str) -> Server | None:
        servers = self._servers.list_usable(service)
        now = read_boottime_clock()
        stalest = None
        stalest_at = now - OBSERVATION_FRESHNESS_S
        for server in servers:
            observed_at = self._observed_at.get(server.server_id, float("-inf"))
            if server.server_id in self._ejected_ids:
                # an ejected server is probed even if it has responded recently
                observed_at -= OBSERVATION_FRESHNESS_S
            if observed_at >= stalest_at:
                continue
            stalest = server
            stalest_at = observed_at
        return stalest

    async def _send_probe(self, entry: CatalogueEntry, server: Server) -> None:
        slot_s = entry.measuring.slot_ms / 1000
        self._observed_at[server.server_id] = read_boottime_clock()
        headers = {"Host": entry.service, "Jasmineseam-Deadline-Ms": str(entry.measuring.slot_ms)}
        try:
            async with self._session.get(
                f"http://{server.address}{entry.measuring.path}",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=slot_s * 2),
            ) as response:
                await read_limited_body(response, MAX_PROBE_BODY_BYTES)
        except InvalidResponseError as error:
            _logger.warning(
                "Server {} sent an invalid response to a probe; it is probed again later: {}",
                server.server_id,
                error,
            )
            return
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            _logger.debug(
                "Probe of server {} failed; it is probed again later: {!r}",
                server.server_id,
                error,
            )
            return
        report = parse_load_report(response.headers.get(LOAD_HEADER))
        if report is None:
            return
        result = ProbeResult(
            server_id=server.server_id,
            in_flight=report.in_flight,
            slots=report.slots,
            state=response.headers.get(STATE_HEADER, ""),
        )
        self.probe_results.append(result)
        del self.probe_results[:-MAX_RETAINED_PROBE_RESULTS]
