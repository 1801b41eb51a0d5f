"""``jasmineseam-locator``: returns the addresses of live entry processes to callers."""

from __future__ import annotations

import pathlib
import random
import typing as t

import msgspec
from aiohttp import web

from ..membership.entry_ranking import EntryAddress
from ..membership.entry_ranking import rank_entries
from ..operations.daemon import load_settings_or_exit
from ..operations.daemon import run_cli
from ..operations.daemon import run_daemon
from ..operations.metrics import add_counter
from ..operations.settings import Settings
from ..operations.vm_daemon import VmDaemon
from ..peers.messages import Sync
from .agent_replica import AgentReplica

ENTRIES_PATH = "/v1/entries"
IDLE_CONNECTION_TIMEOUT_S = 10.0
NO_ENTRY_RETRY_AFTER_S = 1


class EntriesResponse(msgspec.Struct, kw_only=True):
    """The body of the locator's response.

    :param entries: addresses of entry processes, best first.
    :param lifetime_s: time for which the caller may use the addresses, in seconds.
    """

    entries: list[EntryAddress]
    lifetime_s: float


class Locator(VmDaemon):
    """Serves ``GET /v1/entries?failure_domain=...``.

    :param settings: the VM's settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        super().__init__(
            settings=settings, role="locator", control_port=settings.locator.control_port
        )
        self._random = random.Random()
        self._answered_request_count = 0
        self._stopping = False
        self._runner: web.ServerRunner | None = None
        self.replica = AgentReplica(
            peer_clients=self.peer_clients,
            agent_address=settings.agent_address,
            build_sync=self._build_sync,
        )

    async def on_start(self) -> None:
        """Start to listen for callers and to sync with the agent."""
        await super().on_start()
        self.add_future(self.replica.sync_forever())
        server = web.Server(
            self._handle_request, keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S, access_log=None
        )
        self._runner = web.ServerRunner(server, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.settings.vm.address, self.settings.locator.http_port)
        await site.start()

        def read_answered():
            return [(self._answered_request_count, {})]

        add_counter(
            self.meter_provider, "locator.answers", "1", "Callers answered.", read_answered
        )

    async def stop_gracefully(self) -> None:
        """Stop listening and report the exit to the agent.

        Callers then use the locator of another VM.
        """
        self._stopping = True
        await self._runner.cleanup()
        await self.replica.report_exit()

    def collect_state(self) -> dict[str, t.Any]:
        """Return the part of the state dump that describes this locator."""
        return {"answered": self._answered_request_count, **self.replica.collect_state()}

    def _build_sync(self) -> Sync:
        return Sync(
            name="locator",
            role="locator",
            incarnation=self.incarnation,
            control_address=self.peer_server.address,
            stopping=self._stopping,
        )

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        if request.path != ENTRIES_PATH or request.method != "GET":
            return web.Response(status=404, text=f"only GET {ENTRIES_PATH} is served here\n")
        live_vms = self.replica.live_vms
        if not live_vms:
            headers = {"Retry-After": str(NO_ENTRY_RETRY_AFTER_S)}
            return web.Response(status=503, headers=headers, text="no entry is known yet\n")
        failure_domain = request.query.get("failure_domain", "")
        entries = rank_entries(live_vms, failure_domain, self._random)
        self._answered_request_count += 1
        response = EntriesResponse(entries=entries, lifetime_s=self.settings.locator.lifetime_s)
        body = msgspec.json.encode(response)
        return web.Response(body=body, content_type="application/json")


def run_locator(settings_file: pathlib.Path, *, check: bool = False) -> None:
    """Run the locator of an entry VM.

    :param settings_file: the VM's settings, JSON with comments.
    :param check: only check the settings; exit with 0 if they are valid.
    """
    settings = load_settings_or_exit(settings_file)
    if check:
        return
    run_daemon(lambda loaded: Locator(settings=loaded), settings)


def main() -> None:
    """Run the command line."""
    run_cli(run_locator)
