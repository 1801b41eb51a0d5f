"""Detection of servers that crash while they run a request, and the reports of it."""

from __future__ import annotations

import asyncio
import time
import typing as t

import logbook

from ..requests.protocol import ServerResponse
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
        # Called with new reports of this node, to be sent to the others.
        self.publish: t.Callable[[list[CrashReport]], None] = lambda reports: None
        # Returns whether this node sends the trial of a request after its quarantine.
        self.may_try: t.Callable[[bytes], bool] = lambda fingerprint: True

    def admit(self, proxied: ProxiedRequest) -> Admission:
        """Return whether a request may be sent to a server."""
        if not self._quarantine.has_suspects:
            return ADMITTED
        fingerprint = proxied.get_fingerprint()
        admission = self._quarantine.admit(fingerprint, self.may_try)
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

    async def _check(self, proxied: ProxiedRequest, load: ServerLoad) -> None:
        for delay_s in CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if await self._get_connections().is_refused(load.address):
                break
        else:
            return
        load.eject(time.monotonic())
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
