"""Checks of this node's paths to the servers of its services, by opening connections."""

from __future__ import annotations

import asyncio
import random
import time
import typing as t

import logbook

from ..exceptions import AttemptError
from ..routing.dispatch import Dispatcher
from ..routing.load import ServerLoad
from ..transport.connection_pool import ConnectionPool
from .dispatchers import Dispatchers

# number of servers that one check connects to at most
SERVERS_PER_CHECK = 3
CONNECT_TIMEOUT_S = 0.2
PROBE_TIMEOUT_S = 0.2
# interval between two checks of a lost path; drawn between 0.8 and 1.2 times this
CHECK_INTERVAL_S = 0.25
# servers that must accept a connection before a lost path is used again, unless there are fewer
ACCEPTING_SERVERS_TO_RETURN = 2
_logger = logbook.Logger("paths")


class PathChecker:
    """Verifies paths that are in doubt, and finds out when lost paths are back.

    :param dispatchers: the dispatchers, with the path of each service.
    :param get_connections: returns the pool of connections to servers.
    """

    def __init__(
        self, *, dispatchers: Dispatchers, get_connections: t.Callable[[], ConnectionPool]
    ) -> None:
        self._dispatchers = dispatchers
        self._get_connections = get_connections
        self._rng = random.Random()
        self._tasks: dict[str, asyncio.Task] = {}
        # set when it is known whether a path in doubt is lost, by service
        self._verdicts: dict[str, asyncio.Event] = {}
        # services with lost paths that other nodes have reached
        self._reached_by_others: set[str] = set()
        self.lost_count = 0
        # Probes a server on an open connection.
        self.probe: t.Callable[[Dispatcher, ServerLoad], t.Awaitable[None]] = _skip_probe
        # Called when a path was lost or is back, and when other nodes begin or cease to reach a
        # service whose path is lost.
        self.on_change: t.Callable[[], None] = lambda: None
        dispatchers.on_path_doubt = self._handle_doubt

    def list_lost_services(self) -> list[str]:
        """Return the services that this node does not reach."""
        return sorted(
            dispatcher.service
            for dispatcher in self._dispatchers.list_all()
            if dispatcher.path.lost and dispatcher.regions is None
        )

    def list_own_losses(self) -> list[str]:
        """Return the services that this node does not reach, while others reach any of them.

        If no other node does, the servers may have failed, and the result is empty.
        """
        return self.list_lost_services() if self._reached_by_others else []

    def record_relay_result(self, service: str, reached: bool) -> None:
        """Record whether another node has reached a service."""
        if (service in self._reached_by_others) == reached:
            return
        if not reached:
            self._reached_by_others.discard(service)
        elif self._dispatchers.get(service).path.lost:
            self._reached_by_others.add(service)
        self.on_change()

    def is_in_doubt(self, service: str) -> bool:
        """Return whether it is being checked if the path to a service is lost."""
        return service in self._verdicts

    async def wait_for_verdict(self, dispatcher: Dispatcher) -> bool:
        """Wait until it is known whether a path is lost; return whether it was in doubt."""
        verdict = self._verdicts.get(dispatcher.name)
        if verdict is None:
            return False
        await verdict.wait()
        return True

    def close(self) -> None:
        """Stop all checks."""
        for task in self._tasks.values():
            task.cancel()

    def _handle_doubt(self, dispatcher: Dispatcher) -> None:
        if dispatcher.name in self._tasks:
            return
        self._verdicts[dispatcher.name] = asyncio.Event()
        task = asyncio.create_task(self._watch(dispatcher))
        self._tasks[dispatcher.name] = task
        task.add_done_callback(lambda _: self._tasks.pop(dispatcher.name, None))

    async def _watch(self, dispatcher: Dispatcher) -> None:
        try:
            await self._verify(dispatcher)
        except Exception:
            _logger.exception(
                "Checking the path to service {} failed; using it again.", dispatcher.service
            )
            self._use_again(dispatcher)

    async def _verify(self, dispatcher: Dispatcher) -> None:
        """Check a path that is in doubt; if it is lost, wait until it is back."""
        try:
            if await self._has_accepting_server(dispatcher):
                dispatcher.path.dismiss_doubt()
                return
            dispatcher.mark_path_lost()
        finally:
            self._verdicts.pop(dispatcher.name).set()
        lost_at = time.monotonic()
        self.lost_count += 1
        _logger.warning(
            "No server of service {} accepts a connection of this node; "
            "sending its requests through other nodes.",
            dispatcher.service,
        )
        self.on_change()
        # A cut mostly concerns the servers of all services.
        for other in self._dispatchers.list_all():
            if not other.path.lost and other.loads:
                self._handle_doubt(other)
        while not await self._is_back(dispatcher):
            await self._check_open_connection(dispatcher)
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2))
        _logger.info(
            "Servers of service {} accept connections again after {:.2f} s; "
            "sending a growing part of its requests to them.",
            dispatcher.service,
            time.monotonic() - lost_at,
        )
        self._use_again(dispatcher)

    def _use_again(self, dispatcher: Dispatcher) -> None:
        dispatcher.path.mark_returned()
        self._reached_by_others.discard(dispatcher.service)
        self.on_change()

    async def _has_accepting_server(self, dispatcher: Dispatcher) -> bool:
        # While servers still respond on open connections, the failed one is mostly down itself.
        if not dispatcher.path.is_silent() and await self._count_accepting(dispatcher, 1):
            return True
        return await self._count_accepting(dispatcher, SERVERS_PER_CHECK) > 0

    async def _is_back(self, dispatcher: Dispatcher) -> bool:
        if not dispatcher.loads or not self._dispatchers.has_servers(dispatcher.service):
            return True
        needed = min(ACCEPTING_SERVERS_TO_RETURN, len(dispatcher.loads))
        return await self._count_accepting(dispatcher, SERVERS_PER_CHECK) >= needed

    async def _check_open_connection(self, dispatcher: Dispatcher) -> None:
        """Find out whether servers respond on connections that are still open."""
        connections = self._get_connections()
        now = time.monotonic()
        loads = [
            load
            for load in dispatcher.loads.values()
            if connections.has_idle(load.address)
            and load.request_bucket is None
            and now >= load.get_available_at(now)
        ]
        path = dispatcher.path
        if not loads:
            path.open_connections_respond = False
            return
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self.probe(dispatcher, self._rng.choice(loads))
        except (AttemptError, TimeoutError):
            path.open_connections_respond = False

    async def _count_accepting(self, dispatcher: Dispatcher, count: int) -> int:
        """Return how many of some random servers accept a new connection."""
        loads = list(dispatcher.loads.values())
        sample = self._rng.sample(loads, min(count, len(loads)))
        results = await asyncio.gather(*(self._check(dispatcher, load) for load in sample))
        return sum(results)

    async def _check(self, dispatcher: Dispatcher, load: ServerLoad) -> bool:
        accepts = await self._get_connections().check(load.address, CONNECT_TIMEOUT_S)
        if accepts:
            dispatcher.path.record_connection()
        return accepts


async def _skip_probe(dispatcher: Dispatcher, load: ServerLoad) -> None:
    """Send no probe."""
