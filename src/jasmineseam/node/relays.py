"""Relays: requests that a node sends through another one, because it can't reach the servers.

A relay has one hop. The relaying node runs the request as one of its own, with its own servers,
limits and retry budget, and never relays it further. So a request that nobody can run is refused
after a few short exchanges between nodes.
"""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing as t

import logbook
import msgspec
from multidict import CIMultiDict

from ..exceptions import NotRunError
from ..exceptions import PathLostError
from ..exceptions import PeerError
from ..exceptions import PeerReplyLostError
from ..exceptions import PeerUnreachableError
from ..exceptions import UnknownOutcomeError
from ..membership.nodes import NodeInfo
from ..peers.messages import RelayCancellation
from ..peers.messages import RelayedRequest
from ..peers.messages import RelayedResponse
from ..peers.rpc import PeerClient
from ..requests.protocol import HeaderCodec
from ..requests.protocol import RequestHead
from ..requests.protocol import ServerResponse
from ..routing.dispatch import PATH_LOST_RETRY_AFTER_S
from ..routing.dispatch import REASON_NO_PATH
from ..routing.dispatch import REASON_NO_SERVER
from ..routing.dispatch import Dispatcher
from ..transport.response_heads import REASON_INVALID
from ..transport.response_heads import is_forwardable
from .authentication import REASON_OUTDATED
from .authentication import REASON_UNCONFIRMED
from .proxied_request import ProxiedRequest
from .running_requests import REASON_STOPPING
from .running_requests import RunningRequests

# number of nodes to which a request is offered
MAX_OFFERS = 4
SEND_TIMEOUT_S = 0.15
CANCELLATION_TIMEOUT_S = 1.0
# Subtracted from the remaining time that is sent to the relaying node, so that its response
# arrives before the deadline.
RELAY_MARGIN_S = 0.01
# A node that did not take a request for a service is not asked again for this time, in seconds.
REFUSAL_LIFETIME_S = 1.0
# A larger request is not relayed.
MAX_RELAYED_BODY_BYTES = 32 * 1024 * 1024
REASON_LEAVING = "leaving"
# reasons for which a relaying node has not run a request that another node may be able to run
_UNABLE_REASONS = frozenset(
    {
        REASON_NO_PATH,
        REASON_NO_SERVER,
        REASON_LEAVING,
        REASON_STOPPING,
        REASON_OUTDATED,
        REASON_UNCONFIRMED,
        "connect",
    }
)
_logger = logbook.Logger("relays")


class NoRelayError(PathLostError):
    """No other node reaches the service either."""

    def __init__(self) -> None:
        super().__init__(REASON_NO_PATH, 503, PATH_LOST_RETRY_AFTER_S)


class RelayClient:
    """Sends requests through other nodes.

    :param node_id: VM of this node.
    :param header_codec: decodes response headers.
    :param get_peer_client: returns the client for requests to a node's peer address.
    :param list_candidates: returns the nodes that may reach a service.
    """

    def __init__(
        self,
        *,
        node_id: str,
        header_codec: HeaderCodec,
        get_peer_client: t.Callable[[str], PeerClient],
        list_candidates: t.Callable[[str], list[NodeInfo]],
    ) -> None:
        # differs in each start of this node
        self._id_prefix = f"{node_id}/{time.time_ns() // 1_000_000}"
        self._header_codec = header_codec
        self._get_peer_client = get_peer_client
        self._list_candidates = list_candidates
        self._rng = random.Random()
        self._last_number = 0
        # requests that wait for a response, by the VM of the relaying node
        self._running: collections.Counter[str] = collections.Counter()
        # end of the time for which a node is not asked, by its VM and the service
        self._refused_until: dict[tuple[str, str], float] = {}
        self._cancellations: set[asyncio.Task] = set()
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        # Returns the region of a failure domain.
        self.get_region: t.Callable[[str], str] = lambda failure_domain: ""
        # Called with a service, and whether another node has reached it.
        self.on_result: t.Callable[[str, bool], None] = lambda service, reached: None

    async def run(self, proxied: ProxiedRequest, *, hedge: bool = False) -> ServerResponse:
        """Run a request through another node.

        :param hedge: whether an attempt of this node is still running, which counts as one.
        :raises NoRelayError: if no other node reaches the service.
        :raises NotRunError: if the relaying node has refused the request.
        :raises UnknownOutcomeError: if a server may have run the request, but there is no response
            that may be forwarded to the caller.
        """
        service = proxied.dispatcher.service
        offered: set[str] = set()
        while len(offered) < MAX_OFFERS and len(proxied.body) <= MAX_RELAYED_BODY_BYTES:
            node = self._choose_node(proxied.dispatcher, offered)
            if node is None:
                break
            offered.add(node.vm_id)
            reply = await self._offer(node, proxied, hedge=hedge)
            if reply is None:
                self._refused_until[node.vm_id, service] = time.monotonic() + REFUSAL_LIFETIME_S
                continue
            self.on_result(service, True)
            return self._decode_reply(reply, proxied)
        self.outcome_counts["no-node"] += 1
        self.on_result(service, False)
        raise NoRelayError

    def _choose_node(self, dispatcher: Dispatcher, offered: set[str]) -> NodeInfo | None:
        """Return the less busy one of two random nodes, ``None`` if there is none."""
        now = time.monotonic()
        service = dispatcher.service
        candidates = [
            info
            for info in self._list_candidates(service)
            if info.vm_id not in offered
            and self._is_at_home(info, dispatcher.regions)
            and now >= self._refused_until.get((info.vm_id, service), 0.0)
        ]
        sample = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sample, key=lambda info: self._running[info.vm_id], default=None)

    def _is_at_home(self, info: NodeInfo, regions: frozenset[str] | None) -> bool:
        """Return whether a node may get the body of a request that has home regions.

        The client's own region is not known here. Builds without evacuations don't know home
        regions either, and would use servers anywhere.
        """
        if regions is None:
            return True
        return info.evacuated is not None and self.get_region(info.failure_domain) in regions

    async def _offer(
        self, node: NodeInfo, proxied: ProxiedRequest, *, hedge: bool
    ) -> RelayedResponse | None:
        """Send a request to a node; return ``None`` if it can't reach the service either.

        :raises UnknownOutcomeError: if the response is lost.
        """
        started_at = time.monotonic()
        self._last_number += 1
        used_attempts = max(proxied.attempt_count, int(hedge))
        message = self._build_message(
            proxied, f"{self._id_prefix}-{self._last_number}", used_attempts
        )
        client = self._get_peer_client(node.peer_address)
        # A reply that arrives later than this has become useless; the deadline comes before.
        timeout_s = proxied.deadline_at - started_at + CANCELLATION_TIMEOUT_S
        sent_before = proxied.sent
        proxied.sent = True
        self._running[node.vm_id] += 1
        result = "cancelled"
        reply = None
        try:
            reply = await client.request(message, timeout_s, send_timeout_s=SEND_TIMEOUT_S)
            if not isinstance(reply, RelayedResponse):
                raise PeerReplyLostError(f"unexpected reply {type(reply).__name__}")
            result = reply.reason or str(reply.status)
        except PeerUnreachableError:
            result = "unreachable"
            proxied.sent = sent_before
            return None
        except PeerReplyLostError as error:
            result = "reply-lost"
            _logger.warning(
                "No response of node {} to relayed request {}; its outcome is unknown: {}",
                node.vm_id,
                proxied.head.request_id,
                error,
            )
            raise UnknownOutcomeError("relay-lost", 502) from error
        except asyncio.CancelledError:
            self._cancel(client, message.relay_id)
            raise
        finally:
            self._running[node.vm_id] -= 1
            self.outcome_counts[result] += 1
            tried = [] if reply is None else reply.tried
            duration_ms = int((time.monotonic() - started_at) * 1000)
            proxied.attempt_trace += [f"{node.vm_id}/{text}" for text in tried] or [
                f"{node.vm_id}:{result}:{duration_ms}ms:x1@-1ms"
            ]
        if reply.reason and not reply.may_have_run:
            proxied.sent = sent_before
            if reply.reason in _UNABLE_REASONS and not reply.reached_servers:
                return None
        return reply

    def _build_message(
        self, proxied: ProxiedRequest, relay_id: str, used_attempts: int
    ) -> RelayedRequest:
        now = time.monotonic()
        route = proxied.route
        regions = proxied.dispatcher.regions
        if regions is not None:
            # includes the home regions of the account, which the relaying node doesn't know
            route = msgspec.structs.replace(route, home_regions=sorted(regions))
        return RelayedRequest(
            relay_id=relay_id,
            service=proxied.dispatcher.service,
            route=msgspec.structs.replace(
                route, max_attempts=max(1, route.max_attempts - used_attempts)
            ),
            table_version=proxied.table_version,
            request_id=proxied.head.request_id,
            method=proxied.method,
            path=_encode_text(proxied.path),
            headers=_encode_headers(proxied.headers),
            body=proxied.body,
            remaining_s=max(0.0, proxied.deadline_at - now - RELAY_MARGIN_S),
            target_s=proxied.target_at - now,
            elapsed_s=proxied.elapsed_before_arrival_s + now - proxied.arrived_at,
            counted=proxied.counted,
            excluded_server_ids=sorted(proxied.reached_server_ids),
            account=_get_account_name(proxied),
            key_hash=proxied.key_hash,
        )

    def _decode_reply(self, reply: RelayedResponse, proxied: ProxiedRequest) -> ServerResponse:
        if not reply.reason:
            headers = _decode_headers(reply.headers)
            if not is_forwardable(reply.status, headers.items()):
                raise UnknownOutcomeError(REASON_INVALID, 502)
            head = self._header_codec.decode_response(reply.status, headers)
            return ServerResponse(reply.status, headers, reply.body, head)
        if reply.may_have_run:
            raise UnknownOutcomeError(reply.reason, reply.status)
        raise NotRunError(reply.reason, reply.status, reply.retry_after_s)

    def _cancel(self, client: PeerClient, relay_id: str) -> None:
        """Tell the relaying node that the caller has left, or that the deadline has passed."""
        message = RelayCancellation(relay_id=relay_id)

        async def send() -> None:
            try:
                await client.request(message, CANCELLATION_TIMEOUT_S)
            except PeerError as error:
                _logger.debug("Relay {} was not cancelled; it may run on: {}", relay_id, error)

        task = asyncio.create_task(send())
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)


class RelayServer:
    """Runs requests of other nodes that can't reach the servers themselves.

    :param run: runs a request on the servers of a service, as for a caller of this node.
    :param authenticate: called with a request, the name of its account (see
        :class:`RelayedRequest`) and the digest of its key; raises :exc:`NotRunError` if the key is
        not valid.
    :param is_leaving: returns whether this node takes no new requests.
    :param record: called with each request that has ended, its outcome, its status and the id of
        its relay.
    :param running_requests: holds the requests while they run.
    """

    def __init__(
        self,
        *,
        run: t.Callable[[ProxiedRequest, str], t.Awaitable[ServerResponse]],
        authenticate: t.Callable[[ProxiedRequest, str | None, bytes], None],
        is_leaving: t.Callable[[], bool],
        record: t.Callable[[ProxiedRequest, str, int, str], None],
        running_requests: RunningRequests,
    ) -> None:
        self._running_requests = running_requests
        self._run = run
        self._authenticate = authenticate
        self._is_leaving = is_leaving
        self._record = record
        self._tasks: dict[str, asyncio.Task] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests of other nodes that this node is running."""
        return len(self._tasks)

    async def handle(self, message: RelayedRequest) -> RelayedResponse:
        """Run a request of another node."""
        if self._is_leaving():
            return RelayedResponse(status=503, reason=REASON_LEAVING)
        task = asyncio.create_task(self._run_message(message))
        self._tasks[message.relay_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(message.relay_id, None))
        return await task

    def cancel(self, message: RelayCancellation) -> RelayedResponse:
        """End a request whose caller has left."""
        task = self._tasks.get(message.relay_id)
        if task is not None:
            task.cancel()
        return RelayedResponse(status=503, reason="cancelled", may_have_run=True)

    async def _run_message(self, message: RelayedRequest) -> RelayedResponse:
        proxied = _build_proxied_request(message)
        outcome = "cancelled"
        status = 0
        try:
            self._authenticate(proxied, message.account, message.key_hash)
            async with self._running_requests.track(proxied):
                response = await self._run(proxied, message.service)
            outcome = "answered"
            status = response.status
            reply = RelayedResponse(
                status=status, headers=_encode_headers(response.headers), body=response.body
            )
        except NotRunError as error:
            outcome = f"not-run:{error.reason}"
            status = error.status
            reply = RelayedResponse(
                status=status, reason=error.reason, retry_after_s=error.retry_after_s
            )
        except UnknownOutcomeError as error:
            outcome = f"unknown:{error.reason}"
            status = error.status
            reply = RelayedResponse(status=status, reason=error.reason, may_have_run=True)
        except Exception:
            _logger.exception(
                "Internal error while running relayed request {}; its outcome is unknown.",
                message.request_id,
            )
            outcome = "fault"
            status = 502
            reply = RelayedResponse(status=status, reason="fault", may_have_run=True)
        finally:
            self._record(proxied, outcome, status, message.relay_id)
        reply.tried = proxied.attempt_trace
        reply.reached_servers = len(proxied.reached_server_ids)
        return reply


def _get_account_name(proxied: ProxiedRequest) -> str | None:
    if not proxied.authenticated:
        return None
    return "" if proxied.account is None else proxied.account.name


def _build_proxied_request(message: RelayedRequest) -> ProxiedRequest:
    proxied = ProxiedRequest()
    now = proxied.arrived_at
    proxied.relayed = True
    proxied.counted = message.counted
    proxied.route = message.route
    proxied.table_version = message.table_version
    proxied.head = RequestHead(request_id=message.request_id, remaining_s=message.remaining_s)
    proxied.method = message.method
    proxied.path = _decode_text(message.path)
    proxied.headers = _decode_headers(message.headers)
    proxied.body = message.body
    proxied.deadline_at = now + message.remaining_s
    proxied.target_at = now + message.target_s
    proxied.elapsed_before_arrival_s = message.elapsed_s
    proxied.excluded_server_ids = set(message.excluded_server_ids)
    return proxied


# Callers and servers may send bytes that are not UTF-8, which aiohttp decodes to surrogates.
def _encode_text(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def _decode_text(data: bytes) -> str:
    return data.decode("utf-8", "surrogateescape")


def _encode_headers(headers: t.Any) -> list[tuple[bytes, bytes]]:
    return [(_encode_text(name), _encode_text(value)) for name, value in headers.items()]


def _decode_headers(headers: list[tuple[bytes, bytes]]) -> CIMultiDict[str]:
    return CIMultiDict((_decode_text(name), _decode_text(value)) for name, value in headers)
