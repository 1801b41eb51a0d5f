"""``jasmineseam-entry``: reverse proxy from callers to backend servers."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
import typing as t

from aiohttp import web

from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..measuring.load_reports import DRAINING
from ..membership.vms import EntryProcess
from ..membership.vms import Succession
from ..operations.daemon import EXIT_USAGE
from ..operations.daemon import load_settings_or_exit
from ..operations.daemon import run_cli
from ..operations.daemon import run_daemon
from ..operations.metrics import add_counter
from ..operations.metrics import add_gauge
from ..operations.settings import EntryProcessSettings
from ..operations.settings import Settings
from ..operations.vm_daemon import VmDaemon
from ..peers.messages import ForwardedRequest
from ..peers.messages import ForwardedResponse
from ..peers.messages import LedgerHandover
from ..peers.messages import Message
from ..peers.messages import RefusedReply
from ..peers.messages import Sync
from ..peers.messages import SyncReply
from ..requests.outcome import build_unknown_outcome_response
from ..routing.server_selection import ServerSelector
from .agent_replica import AgentReplica
from .attempt_sender import AttemptSender
from .attempt_sender import open_session
from .entry_proxy import EntryProxy
from .keyed_requests import KeyedRequests

SUCCESSION_PROPAGATION_S = 1.5
DRAIN_POLL_INTERVAL_S = 0.05
ENTRY_LIST_LIFETIME_MARGIN_S = 1.0


class EntryDaemon(VmDaemon):
    """One entry process of a VM.

    :param settings: the VM's settings.
    :param process: the settings of this entry process.
    :param make_server_selector: creates the server selector of a pool; ``None`` selects the
        default selector.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        process: EntryProcessSettings,
        make_server_selector: t.Callable[[], ServerSelector] | None = None,
    ) -> None:
        super().__init__(settings=settings, role="entry", control_port=process.control_port)
        self._process = process
        self._make_server_selector = make_server_selector
        self._stopping = False
        self._successions: list[Succession] = []
        self._applied_probe_results: set[tuple[str, int, int, str]] = set()
        self._runner: web.ServerRunner | None = None
        self.replica = AgentReplica(
            peer_clients=self.peer_clients,
            agent_address=settings.agent_address,
            build_sync=self._build_sync,
            on_reply=self._apply_sync_reply,
        )

    async def on_start(self) -> None:
        """Start to listen for callers and to sync with the agent."""
        await super().on_start()
        self._session = open_session()
        self.sender = AttemptSender(session=self._session, on_server_leaving=self._mark_leaving)
        self.keyed_requests = KeyedRequests(
            incarnation=self.incarnation, peer_clients=self.peer_clients, replica=self.replica
        )
        self.proxy = EntryProxy(
            replica=self.replica,
            sender=self.sender,
            keyed_requests=self.keyed_requests,
            body_timeout_s=self.settings.entry.body_timeout_s,
            make_server_selector=self._make_server_selector,
        )
        self.keyed_requests.run_request = self.proxy.run_keyed_request
        self.add_future(self.replica.sync_forever())
        await self._listen()
        self._add_metrics()

    async def handle_message(self, message: Message) -> Message:
        """Handle forwarded keyed requests and ledger handovers from other entry processes."""
        if isinstance(message, ForwardedRequest):
            return await self._run_forwarded_request(message)
        if isinstance(message, LedgerHandover):
            return self.keyed_requests.accept_ledgers(message)
        return RefusedReply(reason=f"entry takes no {type(message).__name__}")

    async def stop_gracefully(self) -> None:
        """Drain this process and hand its idempotency ledgers over to another entry process.

        A caller may use this process until the address list that it received from a locator
        expires. The process therefore keeps listening for the lifetime of such a list. It then
        finishes the requests in flight and hands its ledgers over to a successor. For another
        ``SUCCESSION_PROPAGATION_S``, in which the other VMs receive the id of the successor, it
        still answers the requests that other entry processes forward to it.
        """
        self._stopping = True
        self.replica.trigger_sync()
        await asyncio.sleep(self.settings.locator.lifetime_s + ENTRY_LIST_LIFETIME_MARGIN_S)
        self.proxy.draining = True
        for site in list(self._runner.sites):
            await site.stop()
        await self._drain()
        self._successions = await self.keyed_requests.hand_over_ledgers(self.settings.entry.stop_s)
        self.replica.trigger_sync()
        await asyncio.sleep(SUCCESSION_PROPAGATION_S)
        await self._drain()
        await self.replica.report_exit()

    async def on_stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._session.close()
        await super().on_stop()

    def collect_state(self) -> dict[str, t.Any]:
        """Return the part of the state dump that describes this entry process."""
        pools = {}
        for service, pool in self.proxy.pools.items():
            pools[service] = {
                "in_flight": pool.admission.in_flight,
                "queued": pool.admission.count_queued(),
                "limit": round(pool.admission.concurrency_limit.value, 1),
                "first_attempts": pool.retry_budget.first_attempts,
                "extra_attempts": pool.retry_budget.extra_attempts,
                "hedge_after_s": round(pool.hedge_delay.value_s, 4),
                "servers": {
                    backend.server.server_id: {
                        "in_flight": backend.in_flight,
                        "latency_s": round(backend.average_latency_s, 4),
                        "ejected": backend.ejected_until > time.monotonic(),
                    }
                    for backend in pool.list_backends()
                },
            }
        outcomes = {
            f"{outcome}:{reason}": count
            for (outcome, reason), count in self._list_outcome_counts()
        }
        return {
            "name": self._process.name,
            "stopping": self._stopping,
            "in_flight": self.proxy.in_flight,
            "outcomes": outcomes,
            "dropped_answers": dict(self.sender.dropped_responses),
            "ledger_keys": self.keyed_requests.count_keys(),
            "homes": self.keyed_requests.list_homes(),
            "pools": pools,
            **self.replica.collect_state(),
        }

    async def _listen(self) -> None:
        server = web.Server(
            self.proxy.handle,
            handler_cancellation=True,
            keepalive_timeout=self.settings.entry.body_timeout_s,
            max_line_size=self.settings.entry.head_bytes,
            max_field_size=self.settings.entry.head_bytes,
            access_log=None,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(server, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.settings.vm.address, self._process.http_port)
        await site.start()

    async def _drain(self) -> None:
        deadline = time.monotonic() + self.settings.entry.stop_s
        while self.proxy.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _run_forwarded_request(self, message: ForwardedRequest) -> Message:
        try:
            inbound = self.proxy.build_inbound_request(
                message.method, message.path, message.service, message.headers, message.remaining_s
            )
        except NotRunError as error:
            # the ledger was not consulted, so an earlier request with this key may have run
            unknown = UnknownOutcomeError(error.reason, error.status, error.retry_after_s)
            return ForwardedResponse(answer=build_unknown_outcome_response(unknown))
        inbound.body = message.body
        inbound.key = message.key
        self.proxy.in_flight += 1
        try:
            return await self.keyed_requests.handle_forwarded(message, inbound)
        finally:
            self.proxy.in_flight -= 1

    def _build_sync(self) -> Sync:
        responding_server_ids = list(self.sender.responding_server_ids)
        self.sender.responding_server_ids.clear()
        vm = self.settings.vm
        process = EntryProcess(
            incarnation=self.incarnation,
            http_address=f"{vm.address}:{self._process.http_port}",
            control_address=self.settings.get_advertised_address(self._process.control_port),
            key_prefix=self.keyed_requests.ledger.key_prefix,
            in_flight=self.proxy.in_flight,
        )
        return Sync(
            name=self._process.name,
            role="entry",
            incarnation=self.incarnation,
            control_address=self.peer_server.address,
            entry=process,
            leaving=self.replica.servers.list_leaving_reports(),
            successors=self._successions,
            observed=responding_server_ids,
            ejected=self._list_ejected_servers(),
            stopping=self._stopping,
        )

    def _list_ejected_servers(self) -> list[str]:
        now = time.monotonic()
        ejected = []
        for pool in self.proxy.pools.values():
            for backend in pool.list_backends():
                if backend.ejected_until > now:
                    ejected.append(backend.server.server_id)
        return ejected

    def _list_outcome_counts(self) -> list[tuple[tuple[str, str], int]]:
        return list(self.proxy.outcome_counts.items())

    def _apply_sync_reply(self, reply: SyncReply) -> None:
        self.keyed_requests.update_control_addresses()
        self.proxy.update_pools()
        for result in reply.probed:
            if result in self._applied_probe_results:
                continue
            server_id, _, _, state = result
            self._apply_probe_result(server_id, state)
        self._applied_probe_results = set(reply.probed)

    def _apply_probe_result(self, server_id: str, state: str) -> None:
        if state == DRAINING:
            self._mark_leaving(server_id, "answer")
        for pool in self.proxy.pools.values():
            pool.record_probe_response(server_id, state)

    def _mark_leaving(self, server_id: str, source: str) -> None:
        if self.replica.servers.mark_leaving(server_id, source):
            self.logger.info(
                "Server {} is leaving (source of the report: {}); it receives no new requests.",
                server_id,
                source,
            )
            self.replica.trigger_sync()

    def _add_metrics(self) -> None:
        def read_outcomes():
            return [
                (count, {"outcome": outcome, "reason": reason})
                for (outcome, reason), count in self._list_outcome_counts()
            ]

        def read_attempts():
            values = []
            for service, pool in self.proxy.pools.items():
                values.append(
                    (pool.retry_budget.first_attempts, {"service": service, "kind": "first"})
                )
                values.append(
                    (pool.retry_budget.extra_attempts, {"service": service, "kind": "extra"})
                )
            return values

        def read_queued():
            pools = self.proxy.pools.items()
            return [(pool.admission.count_queued(), {"service": name}) for name, pool in pools]

        def read_in_flight():
            return [(self.proxy.in_flight, {})]

        def read_ledger_keys():
            return [(self.keyed_requests.count_keys(), {})]

        def read_state_age():
            return [(self.replica.get_age_s(), {})]

        add_counter(
            self.meter_provider, "requests", "1", "Final answers, by outcome.", read_outcomes
        )
        add_counter(self.meter_provider, "attempts", "1", "Attempts at servers.", read_attempts)
        add_gauge(self.meter_provider, "requests.queued", "1", "Requests that wait.", read_queued)
        add_gauge(self.meter_provider, "requests.in_flight", "1", "Requests held.", read_in_flight)
        add_gauge(self.meter_provider, "ledger.keys", "1", "Keys held.", read_ledger_keys)
        add_gauge(
            self.meter_provider, "state.age", "s", "Age of the agent's state.", read_state_age
        )


def find_process(settings: Settings, name: str) -> EntryProcessSettings:
    """Return the settings of an entry process; exit with a usage error if there is none.

    :param name: name of the process, one of ``entry.processes``.
    """
    for process in settings.entry.processes:
        if process.name == name:
            return process
    names = ", ".join(process.name for process in settings.entry.processes)
    print(
        f"entry.processes: no process has the name {name!r}; defined names: {names}",
        file=sys.stderr,
    )
    sys.exit(EXIT_USAGE)


def run_entry(settings_file: pathlib.Path, name: str, *, check: bool = False) -> None:
    """Run one entry process of an entry VM.

    :param settings_file: the VM's settings, JSON with comments.
    :param name: the name of the process to run, one of ``entry.processes``.
    :param check: only check the settings; exit with 0 if they are valid.
    """
    settings = load_settings_or_exit(settings_file)
    process = find_process(settings, name)
    if check:
        return
    run_daemon(lambda loaded: EntryDaemon(settings=loaded, process=process), settings)


def main() -> None:
    """Run the command line."""
    run_cli(run_entry)
