"""Lifecycle of a process: start, planned stop (graceful shutdown) on SIGTERM, and state dumps."""

from __future__ import annotations

import asyncio
import gc
import pathlib
import secrets
import signal
import sys
import time
import typing as t

import logbook
import mode
import msgspec
import zmq.asyncio

from .. import invariants
from ..exceptions import SettingsError
from ..peers.messages import DumpReply
from ..peers.messages import DumpRequest
from ..peers.messages import Message
from ..peers.messages import RefusedReply
from ..peers.rpc import PeerClients
from ..peers.rpc import PeerServer
from .logs import set_up_logs
from .metrics import add_counter
from .metrics import add_gauge
from .metrics import set_up_metrics
from .settings import MetricSettings
from .settings import Settings
from .settings import load_settings

EXIT_USAGE = 2
EXIT_FORCED_STOP = 130


class Daemon(mode.Service):
    """Base class of the programs: server for peer requests, state dump, metrics and planned stop.

    :param vm_id: id of the VM.
    :param address: IP address to bind.
    :param metric_settings: exporter of the metrics.
    :param role: name of the program.
    :param control_port: port for requests from other processes.

    Each start of a process has a random id, its ``incarnation``, which distinguishes it from
    earlier starts.
    """

    abstract = True

    def __init__(
        self,
        *,
        vm_id: str,
        address: str,
        metric_settings: MetricSettings,
        role: str,
        control_port: int,
    ) -> None:
        super().__init__()
        self._vm_id = vm_id
        self._address = address
        self.role = role
        self.incarnation = secrets.token_hex(8)
        self.started_at = time.monotonic()
        self.logger = logbook.Logger(role)
        self.meter_provider = set_up_metrics(metric_settings)
        self._control_port = control_port
        self.zmq_context = zmq.asyncio.Context()
        self.peer_clients = PeerClients(context=self.zmq_context)
        self.peer_server: PeerServer | None = None

    async def on_start(self) -> None:
        """Bind the control address and start serving it."""
        self.peer_server = PeerServer(
            context=self.zmq_context,
            host=self._address,
            port=self._control_port,
            handler=self._dispatch_message,
        )
        self.add_future(self.peer_server.serve())
        self._add_common_metrics()
        self.logger.info("Started as {} on {}.", self.incarnation, self.peer_server.address)

    async def handle_message(self, message: Message) -> Message:
        """Return the reply to a peer's message; overridden by programs."""
        return RefusedReply(reason=f"{self.role} takes no {type(message).__name__}")

    async def stop_gracefully(self) -> None:
        """Complete the work of a planned stop, such as draining; overridden by programs."""

    def reload(self) -> None:
        """Load changed settings; overridden by programs that support it."""

    def collect_state(self) -> dict[str, t.Any]:
        """Return the program's part of a state dump; overridden by programs."""
        return {}

    def dump_state(self) -> str:
        """Return the state dump as a JSON document."""
        document = {
            "role": self.role,
            "vm": self._vm_id,
            "incarnation": self.incarnation,
            "uptime_s": round(time.monotonic() - self.started_at, 3),
            "invariant_violations": dict(invariants.violations),
            "dropped_messages": dict(self.peer_server.dropped_by_reason)
            if self.peer_server
            else {},
        }
        document.update(self.collect_state())
        return msgspec.json.encode(document).decode()

    async def on_stop(self) -> None:
        """Close what :meth:`on_start` opened."""
        self.peer_clients.close()
        if self.peer_server is not None:
            self.peer_server.close()
        self.meter_provider.shutdown()

    async def _dispatch_message(self, message: Message) -> Message:
        if isinstance(message, DumpRequest):
            return DumpReply(document=self.dump_state())
        return await self.handle_message(message)

    def _add_common_metrics(self) -> None:
        def read_violations():
            return [(count, {"invariant": name}) for name, count in invariants.violations.items()]

        def read_dropped():
            return [
                (count, {"reason": name})
                for name, count in self.peer_server.dropped_by_reason.items()
            ]

        def read_uptime():
            return [(time.monotonic() - self.started_at, {"role": self.role})]

        add_counter(
            self.meter_provider, "invariant.violations", "1", "Violations.", read_violations
        )
        add_counter(
            self.meter_provider, "messages.dropped", "1", "Messages dropped.", read_dropped
        )
        add_gauge(self.meter_provider, "uptime", "s", "Time since start.", read_uptime)


async def _run_until_stopped(daemon: Daemon) -> int:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    forced_stop_requested = asyncio.Event()

    def request_stop() -> None:
        if stop_requested.is_set():
            forced_stop_requested.set()
        stop_requested.set()

    def log_state() -> None:
        daemon.logger.info("State: {}", daemon.dump_state())

    def reload() -> None:
        daemon.logger.info("Reload requested by SIGHUP.")
        daemon.reload()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    loop.add_signal_handler(signal.SIGUSR1, log_state)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    # exempts the objects that were created during the start from later garbage collections
    gc.collect()
    gc.freeze()
    daemon_stopped = asyncio.ensure_future(daemon.wait_until_stopped())
    stop_signalled = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait({daemon_stopped, stop_signalled}, return_when=asyncio.FIRST_COMPLETED)
    if daemon.crashed or not stop_requested.is_set():
        daemon.logger.error("Crashed: {!r}", daemon.crash_reason)
        return 1
    daemon.logger.info("Planned stop begins.")
    graceful_stop = asyncio.ensure_future(daemon.stop_gracefully())
    forced_stop = asyncio.ensure_future(forced_stop_requested.wait())
    await asyncio.wait({graceful_stop, forced_stop}, return_when=asyncio.FIRST_COMPLETED)
    if not graceful_stop.done():
        daemon.logger.warning(
            "Received a second stop signal; exiting without completing the planned stop."
        )
        return EXIT_FORCED_STOP
    if graceful_stop.exception() is not None:
        daemon.logger.error("Planned stop failed: {!r}", graceful_stop.exception())
    await daemon.stop()
    daemon.logger.info("Stopped.")
    return 0


def run_daemon(make_daemon: t.Callable[[Settings], Daemon], settings: Settings) -> t.NoReturn:
    """Set up logs, run a daemon until it stops, and exit the process."""
    set_up_logs(settings.logs)
    run_process(lambda: make_daemon(settings), fatal_invariants=settings.fatal_invariants)


def run_process(make_daemon: t.Callable[[], Daemon], *, fatal_invariants: bool) -> t.NoReturn:
    """Run a daemon until it stops, and exit the process; logs must be set up already.

    :param fatal_invariants: whether a violated invariant raises an error, in addition to being
        counted and logged.
    """
    invariants.set_fatal(fatal_invariants)
    sys.exit(asyncio.run(_run_until_stopped(make_daemon())))


def load_settings_or_exit(path: pathlib.Path) -> Settings:
    """Load a settings file; if it is invalid, print every fault and exit the process."""
    try:
        return load_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def run_cli(command: t.Callable) -> None:
    """Run a program's command line."""
    # imported here because it is slow to import, and deploy/node.py does not use it
    import defopt

    defopt.run(command, cli_options="has_default", short={})
