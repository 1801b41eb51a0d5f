"""``jasmineseam-locator``: tells callers which entry addresses to use, and for how long."""

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
REQUEST_HEAD_TIMEOUT_S = 10.0
RETRY_AFTER_S = 1


class EntriesResponse(msgspec.Struct, kw_only=True):
    """The locator's answer.

    :param entries: addresses, best first.
    :param lifetime_s: how long the caller may go on using them, in seconds.
    """

    entries: list[EntryAddress]
    lifetime_s: float


class Locator(VmDaemon):
    """Answers ``GET /v1/entries?failure_domain=...``.

    :param settings: of the VM.
    """

    def __init__(self, *, settings: Settings) -> None:
        super().__init__(
            settings=settings, role="locator", control_port=settings.locator.control_port
        )
        self._random = random.Random()
        self._answered_count = 0
        self._stopping = False
        self._runner: web.ServerRunner | None = None
        self.replica = AgentReplica(
            links=self.peer_clients,
            agent_address=settings.agent_address,
            describe=self._build_sync,
        )

    async def on_start(self) -> None:
        """Listen for callers and follow the agent."""
        await super().on_start()
        self.add_future(self.replica.sync_forever())
        server = web.Server(
            self._handle_request, keepalive_timeout=REQUEST_HEAD_TIMEOUT_S, access_log=None
        )
        self._runner = web.ServerRunner(server, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.settings.vm.address, self.settings.locator.http_port)
        await site.start()

        def read_answered():
            return [(self._answered_count, {})]

        add_counter(
            self.meter_provider, "locator.answers", "1", "Callers answered.", read_answered
        )

    async def stop_gracefully(self) -> None:
        """Stop listening; callers ask another VM's locator."""
        self._stopping = True
        await self._runner.cleanup()
        await self.replica.announce_exit()

    def collect_state(self) -> dict[str, t.Any]:
        """Return the state for a dump."""
        return {"answered": self._answered_count, **self.replica.describe()}

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
        live = self.replica.live_vms
        if not live:
            headers = {"Retry-After": str(RETRY_AFTER_S)}
            return web.Response(status=503, headers=headers, text="no entry is known yet\n")
        failure_domain = request.query.get("failure_domain", "")
        entries = rank_entries(live, failure_domain, self._random)
        self._answered_count += 1
        answer = EntriesResponse(entries=entries, lifetime_s=self.settings.locator.lifetime_s)
        body = msgspec.json.encode(answer)
        return web.Response(body=body, content_type="application/json")


def run_locator(settings_file: pathlib.Path, *, check: bool = False) -> None:
    """Run the locator of an entry VM.

    :param settings_file: the VM's settings, JSON with comments.
    :param check: only check the settings, and end with 0 if they are right.
    """
    settings = load_settings_or_exit(settings_file)
    if check:
        return
    run_daemon(lambda loaded: Locator(settings=loaded), settings)


def main() -> None:
    """Run the program's command line."""
    run_cli(run_locator)
