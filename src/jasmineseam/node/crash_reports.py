"""Detection of servers that crash while they run a request, and the reports of it."""

from __future__ import annotations

import asyncio
import random
import time
import typing as t

import logbook

from ..requests.protocol import ServerResponse
from ..routing.dispatch import Dispatcher
from ..routing.load import ServerLoad
from ..routing.quarantine import ADMITTED
from ..routing.quarantine import CRASH_THRESHOLD
from ..routing.quarantine import Admission
from ..routing.quarantine import CrashQuarantine
from ..routing.quarantine import CrashReport
from ..transport.connection_pool import ConnectionPool
from .proxied_request import ProxiedRequest
from .server_client import MIN_SERVER_ERROR_STATUS

# A server whose connection broke has crashed if it refuses connections at one of these times after
# that, in seconds. Its listening socket may close a little later than its connections.
CHECK_DELAYS_S = (0.0, 0.1)
# number of other servers that this node tries to connect to before it reports a crash
WITNESS_COUNT = 3
WITNESS_TIMEOUT_S = 0.2
# A server that has crashed is no witness for this time, in seconds.
CRASH_RETENTION_S = 30.0
# time that a further attempt waits for the first check, in seconds
MAX_CHECK_WAIT_S = 0.02
_logger = logbook.Logger("quarantine")


class CrashDetector:
    """Finds out whether servers crash under requests, and refuses quarantined requests.

    :param quarantine: the requests that ran on servers that crashed.
    :param get_connections: returns the pool of connections to servers.
    """

    def __init__(
        self,
        *,
        quarantine: CrashQuarantine,
        get_connections: t.Callable[[], ConnectionPool],
    ) -> None:
        self._quarantine = quarantine
        self._get_connections = get_connections
        self._rng = random.Random()
        # times of the crashes that this node has found, by the server's id and the Unix time of
        # its start in milliseconds
        self._crashed_at: dict[tuple[str, int], float] = {}
        # Called with new reports of this node, to be sent to the others.
        self.publish: t.Callable[[list[CrashReport]], None] = lambda reports: None
        # Returns whether this node sends the trial of a request after its quarantine.
        self.may_try: t.Callable[[bytes], bool] = lambda fingerprint: True

    def admit(self, proxied: ProxiedRequest, *, relayed: bool = False) -> Admission:
        """Return whether a request may be sent to a server.

        :param relayed: whether another node will send it, which then decides on a trial.
        """
        if not self._quarantine.has_suspects:
            return ADMITTED
        fingerprint = proxied.get_fingerprint()
        may_try = _never_try if relayed else self.may_try
        admission = self._quarantine.admit(fingerprint, may_try)
        if admission.trial:
            _logger.info(
                "Request {} with fingerprint {} is sent to one server as a trial.",
                proxied.head.request_id,
                fingerprint.hex(),
            )
        return admission

    def is_suspected(self, proxied: ProxiedRequest) -> bool:
        """Return whether a server has crashed while it ran the request."""
        if not self._quarantine.has_suspects:
            return False
        return self._quarantine.count_crashes(proxied.get_fingerprint()) > 0

    def start_check(self, proxied: ProxiedRequest, load: ServerLoad) -> None:
        """Check whether a server whose connection broke under a request has crashed."""
        task = asyncio.create_task(self._check(proxied, load))
        proxied.crash_checks.append(task)

    async def wait_for_checks(self, proxied: ProxiedRequest) -> None:
        """Give running checks a little time before another attempt is sent."""
        running = [task for task in proxied.crash_checks if not task.done()]
        if running:
            await asyncio.wait(running, timeout=MAX_CHECK_WAIT_S)

    def record_response(self, proxied: ProxiedRequest, response: ServerResponse) -> None:
        """Clear a suspected request to which a server has responded.

        An error may come from a server that had not begun to run the request.
        """
        if not self._quarantine.has_suspects or not response.head.signed:
            return
        if response.status >= MIN_SERVER_ERROR_STATUS:
            return
        cleared = self._quarantine.record_response(proxied.get_fingerprint())
        if not cleared:
            return
        _logger.info(
            "Request {} with fingerprint {} got a response; {} crashes don't count against it.",
            proxied.head.request_id,
            proxied.get_fingerprint().hex(),
            len(cleared),
        )
        self.publish(cleared)

    async def _reaches_other_servers(self, dispatcher: Dispatcher, load: ServerLoad) -> bool:
        """Return whether the path to the service works, so that a refusal is the server's own.

        If all other servers have crashed, or there are none, the refusal counts.
        """
        others = [
            other
            for other in dispatcher.loads.values()
            if other is not load and (other.server_id, other.started_ms) not in self._crashed_at
        ]
        if not others:
            return True
        if dispatcher.path.lost:
            return False
        witnesses = self._rng.sample(others, min(WITNESS_COUNT, len(others)))
        connections = self._get_connections()
        accepted = await asyncio.gather(
            *(connections.check(witness.address, WITNESS_TIMEOUT_S) for witness in witnesses)
        )
        return any(accepted)

    async def _check(self, proxied: ProxiedRequest, load: ServerLoad) -> None:
        for delay_s in CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if await self._get_connections().is_refused(load.address):
                break
        else:
            return
        if not await self._reaches_other_servers(proxied.dispatcher, load):
            _logger.info(
                "Server {} refuses connections, but no other server of service {} accepts one; "
                "it is not taken as crashed under request {}.",
                load.server_id,
                proxied.dispatcher.service,
                proxied.head.request_id,
            )
            return
        # If the path has come back just now, only the second refusal is the server's own.
        if not await self._get_connections().is_refused(load.address):
            return
        now = time.monotonic()
        load.eject(now)
        self._crashed_at = {
            start: crashed_at
            for start, crashed_at in self._crashed_at.items()
            if now - crashed_at < CRASH_RETENTION_S
        }
        self._crashed_at[load.server_id, load.started_ms] = now
        fingerprint = proxied.get_fingerprint()
        report = self._quarantine.record_crash(fingerprint, load.server_id, load.started_ms)
        if report is None:
            return
        count = self._quarantine.count_crashes(fingerprint)
        _logger.warning(
            "Server {} crashed while it ran request {} with fingerprint {}, crash {} of {}; {}.",
            load.server_id,
            proxied.head.request_id,
            fingerprint.hex(),
            count,
            CRASH_THRESHOLD,
            "the request is refused" if count >= CRASH_THRESHOLD else "it may be sent again",
        )
        self.publish([report])


def _never_try(fingerprint: bytes) -> bool:
    return False
