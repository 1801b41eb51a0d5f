"""``jasmineseam-entry``: takes callers' requests and brings back servers' answers."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
import typing as t

from aiohttp import web

from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..measuring.reports import DRAINING
from ..membership.vms import EntryProcess
from ..membership.vms import Successor
from ..operations.daemon import EXIT_USAGE
from ..operations.daemon import load_or_exit
from ..operations.daemon import run_command
from ..operations.daemon import run_daemon
from ..operations.metrics import add_counter
from ..operations.metrics import add_gauge
from ..operations.settings import EntryProcessSettings
from ..operations.settings import Settings
from ..operations.vm_daemon import VmDaemon
from ..peers.messages import ForwardedAnswer
from ..peers.messages import ForwardedRequest
from ..peers.messages import LedgerHandover
from ..peers.messages import Message
from ..peers.messages import Refused
from ..peers.messages import Sync
from ..peers.messages import SyncReply
from ..requests.outcome import build_unknown
from ..routing.choice import Choice
from .attempts import Sender
from .attempts import open_session
from .forwarding import Forwarder
from .homes import Homes
from .mirror import Mirror

SPREAD_S = 1.5
DRAIN_CHECK_S = 0.05
LIFETIME_MARGIN_S = 1.0


class Entry(VmDaemon):
    """One entry process.

    :param settings: of the VM.
    :param process: which of the VM's entry processes this is.
    :param make_choice: replaces the choice of a server.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        process: EntryProcessSettings,
        make_choice: t.Callable[[], Choice] | None = None,
    ) -> None:
        super().__init__(settings=settings, role="entry", control_port=process.control_port)
        self._process = process
        self._make_choice = make_choice
        self._stopping = False
        self._successors: list[Successor] = []
        self._probed_seen: set[tuple[str, int, int, str]] = set()
        self._runner: web.ServerRunner | None = None
        self.mirror = Mirror(
            links=self.links,
            agent_address=settings.agent_address,
            describe=self._describe_self,
            on_reply=self._take_reply,
        )

    async def on_start(self) -> None:
        """Listen for callers and follow the agent."""
        await super().on_start()
        self._session = open_session()
        self.sender = Sender(session=self._session, on_leaving=self._note_leaving)
        self.homes = Homes(incarnation=self.incarnation, links=self.links, mirror=self.mirror)
        self.forwarder = Forwarder(
            mirror=self.mirror,
            sender=self.sender,
            homes=self.homes,
            body_timeout_s=self.settings.entry.body_timeout_s,
            make_choice=self._make_choice,
        )
        self.homes.run_claimed = self.forwarder.run_buffered
        self.add_future(self.mirror.follow())
        await self._listen()
        self._add_metrics()

    async def handle(self, message: Message) -> Message:
        """Answer other entries on keys whose home is here."""
        if isinstance(message, ForwardedRequest):
            return await self._run_forwarded(message)
        if isinstance(message, LedgerHandover):
            return self.homes.take_over(message)
        return Refused(reason=f"entry takes no {type(message).__name__}")

    async def stop_gracefully(self) -> None:
        """Stop being named, wait out the answers lent, finish what runs, hand over, leave."""
        self._stopping = True
        self.mirror.hurry()
        await asyncio.sleep(self.settings.locator.lifetime_s + LIFETIME_MARGIN_S)
        self.forwarder.closing = True
        for site in list(self._runner.sites):
            await site.stop()
        await self._drain()
        self._successors = await self.homes.hand_over(self.settings.entry.stop_s)
        self.mirror.hurry()
        await asyncio.sleep(SPREAD_S)
        await self._drain()
        await self.mirror.say_left()

    async def on_stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._session.close()
        await super().on_stop()

    def describe(self) -> dict[str, t.Any]:
        """Return the state for a dump."""
        pools = {}
        for service, pool in self.forwarder.pools.items():
            pools[service] = {
                "in_flight": pool.admission.in_flight,
                "queued": pool.admission.count_queued(),
                "limit": round(pool.admission.limit.value, 1),
                "first_attempts": pool.attempts.first,
                "extra_attempts": pool.attempts.extra,
                "hedge_after_s": round(pool.hedge_after.value_s, 4),
                "servers": {
                    backend.server.server_id: {
                        "in_flight": backend.in_flight,
                        "latency_s": round(backend.latency_s, 4),
                        "ejected": backend.ejected_until > time.monotonic(),
                    }
                    for backend in pool.list_backends()
                },
            }
        outcomes = {f"{kind}:{why}": count for (kind, why), count in self._list_outcomes()}
        return {
            "name": self._process.name,
            "stopping": self._stopping,
            "in_flight": self.forwarder.in_flight,
            "outcomes": outcomes,
            "dropped_answers": dict(self.sender.dropped),
            "ledger_keys": self.homes.count_keys(),
            "homes": self.homes.list_homes(),
            "pools": pools,
            **self.mirror.describe(),
        }

    async def _listen(self) -> None:
        server = web.Server(
            self.forwarder.handle,
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
        while self.forwarder.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_CHECK_S)

    async def _run_forwarded(self, message: ForwardedRequest) -> Message:
        try:
            inbound = self.forwarder.complete(
                message.method, message.path, message.service, message.headers, message.remaining_s
            )
        except NotRunError as error:
            # the ledger was not asked, so an earlier sending of the key may have run
            unknown = UnknownOutcomeError(error.reason, error.status, error.retry_after_s)
            return ForwardedAnswer(answer=build_unknown(unknown))
        inbound.body = message.body
        inbound.key = message.key
        self.forwarder.in_flight += 1
        try:
            return await self.homes.answer_forwarded(message, inbound)
        finally:
            self.forwarder.in_flight -= 1

    def _describe_self(self) -> Sync:
        observed = list(self.sender.observed)
        self.sender.observed.clear()
        vm = self.settings.vm
        process = EntryProcess(
            incarnation=self.incarnation,
            http_address=f"{vm.address}:{self._process.http_port}",
            control_address=self.settings.advertise(self._process.control_port),
            key_prefix=self.homes.ledger.prefix,
            in_flight=self.forwarder.in_flight,
        )
        return Sync(
            name=self._process.name,
            role="entry",
            incarnation=self.incarnation,
            control_address=self.peer_server.address,
            entry=process,
            leaving=self.mirror.servers.list_signs(),
            successors=self._successors,
            observed=observed,
            ejected=self._list_ejected(),
            stopping=self._stopping,
        )

    def _list_ejected(self) -> list[str]:
        now = time.monotonic()
        ejected = []
        for pool in self.forwarder.pools.values():
            for backend in pool.list_backends():
                if backend.ejected_until > now:
                    ejected.append(backend.server.server_id)
        return ejected

    def _list_outcomes(self) -> list[tuple[tuple[str, str], int]]:
        return list(self.forwarder.outcomes.items())

    def _take_reply(self, reply: SyncReply) -> None:
        self.homes.remember_addresses()
        self.forwarder.resize_pools()
        for result in reply.probed:
            if result in self._probed_seen:
                continue
            server_id, _, _, state = result
            self._take_probe(server_id, state)
        self._probed_seen = set(reply.probed)

    def _take_probe(self, server_id: str, state: str) -> None:
        if state == DRAINING:
            self._note_leaving(server_id, "answer")
        for pool in self.forwarder.pools.values():
            pool.note_probe(server_id, state)

    def _note_leaving(self, server_id: str, source: str) -> None:
        if self.mirror.servers.mark_leaving(server_id, source):
            self.logger.info("Server {} is leaving, says its {}.", server_id, source)
            self.mirror.hurry()

    def _add_metrics(self) -> None:
        def read_outcomes():
            return [
                (count, {"outcome": kind, "reason": why})
                for (kind, why), count in self._list_outcomes()
            ]

        def read_attempts():
            values = []
            for service, pool in self.forwarder.pools.items():
                values.append((pool.attempts.first, {"service": service, "kind": "first"}))
                values.append((pool.attempts.extra, {"service": service, "kind": "extra"}))
            return values

        def read_queued():
            pools = self.forwarder.pools.items()
            return [(pool.admission.count_queued(), {"service": name}) for name, pool in pools]

        def read_in_flight():
            return [(self.forwarder.in_flight, {})]

        def read_keys():
            return [(self.homes.count_keys(), {})]

        def read_age():
            return [(self.mirror.get_age_s(), {})]

        add_counter(self.metrics, "requests", "1", "Final answers, by outcome.", read_outcomes)
        add_counter(self.metrics, "attempts", "1", "Attempts at servers.", read_attempts)
        add_gauge(self.metrics, "requests.queued", "1", "Requests that wait.", read_queued)
        add_gauge(self.metrics, "requests.in_flight", "1", "Requests held.", read_in_flight)
        add_gauge(self.metrics, "ledger.keys", "1", "Keys held.", read_keys)
        add_gauge(self.metrics, "state.age", "s", "Age of the agent's state.", read_age)


def find_process(settings: Settings, name: str) -> EntryProcessSettings:
    """Find an entry process's settings by its name, or end with a usage error."""
    for process in settings.entry.processes:
        if process.name == name:
            return process
    names = ", ".join(process.name for process in settings.entry.processes)
    print(f"entry.processes: no process is named {name!r}; there are: {names}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def run_entry(settings_file: pathlib.Path, name: str, *, check: bool = False) -> None:
    """Run one entry process of an entry VM.

    :param settings_file: the VM's settings, JSON with comments.
    :param name: which of ``entry.processes`` to run.
    :param check: only check the settings, and end with 0 if they are right.
    """
    settings = load_or_exit(settings_file)
    process = find_process(settings, name)
    if check:
        return
    run_daemon(lambda loaded: Entry(settings=loaded, process=process), settings)


def main() -> None:
    """Run the program's command line."""
    run_command(run_entry)
