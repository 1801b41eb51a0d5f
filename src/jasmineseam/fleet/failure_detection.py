"""Detection of failed nodes by pings, as in the SWIM protocol.

A node pings one other node per period, in a random order. If there is no answer, it asks a few
further nodes to ping on its behalf, and then suspects the node.
"""

from __future__ import annotations

import asyncio
import collections
import random
import typing as t

import logbook

from ..membership.nodes import NodeInfo
from ..membership.nodes import NodeMembership
from ..peers.messages import Ack
from ..peers.messages import FleetMessage
from ..peers.messages import Ping
from ..peers.messages import PingRequest
from ..peers.messages import Update

ACK_TIMEOUT_S = 0.15
# time for the answer of a node that is pinged by others, from its first ping
INDIRECT_ACK_TIMEOUT_S = 0.4
INDIRECT_PING_COUNT = 3
# The timeouts grow while answers arrive late, which shows that this node is slow.
MAX_TIMEOUT_FACTOR = 4
# After a missed answer, more nodes are pinged per period, since many may have failed at once.
PARALLEL_PINGS_GROWTH = 2
MAX_PARALLEL_PINGS = 8
# Growth and maximum while at least a third of the pings are not answered. One node that is left of
# 300 has pinged all others after eight periods; with at most 8 pings a period it would take 19 s,
# while locator answers must name no node that failed over 6 s ago. The values don't apply to fewer
# missed answers, which may be lost datagrams: each node of a large fleet would then send thousands
# per second.
MANY_FAILED_PINGS_GROWTH = 4
MANY_FAILED_MAX_PINGS = 256
# number of late answers by which a slow node detects that it is slow
MAX_LATE_PINGS = 8
# A timeout that fires later than this shows that this node itself was delayed.
MAX_TIMER_DELAY_S = 0.1
# Time for which a ping on behalf of another node is remembered.
RELAY_TIMEOUT_S = 4.0
_logger = logbook.Logger("fleet")


def compute_parallel_pings(parallel_pings: int, *, answered: int, missed: int) -> int:
    """Return how many nodes to ping in the next period.

    :param parallel_pings: how many nodes were to be pinged in the last period.
    :param answered: number of its pings that were answered.
    :param missed: number of its pings that were not.

    >>> compute_parallel_pings(4, answered=4, missed=0)
    1
    >>> compute_parallel_pings(4, answered=3, missed=1)
    8
    >>> compute_parallel_pings(64, answered=8, missed=56)
    256
    """
    if not missed:
        return 1
    if 2 * missed >= answered:
        return min(MANY_FAILED_MAX_PINGS, MANY_FAILED_PINGS_GROWTH * parallel_pings)
    return min(MAX_PARALLEL_PINGS, PARALLEL_PINGS_GROWTH * parallel_pings)


class FailureDetector:
    """Pings the other nodes on behalf of one node.

    :param membership: the known nodes.
    :param send: sends a message to a datagram address.
    :param get_header: returns the fields that all messages have in common.
    :param publish: spreads news, with the parameters of :meth:`.spreading.Fleet.publish`.
    :param clock: returns monotonic time in seconds.
    :param rng: chooses nodes.
    """

    def __init__(
        self,
        *,
        membership: NodeMembership,
        send: t.Callable[[str, FleetMessage], None],
        get_header: t.Callable[[], dict[str, t.Any]],
        publish: t.Callable[..., None],
        clock: t.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._send = send
        self._get_header = get_header
        self._publish = publish
        self._clock = clock
        self._rng = rng
        self._ping_order: list[str] = []
        self._last_number = 0
        self._ack_events: dict[int, asyncio.Event] = {}
        # numbers of the last pings that were not answered in time
        self._late_pings: collections.deque[int] = collections.deque(maxlen=MAX_LATE_PINGS)
        # by number of an own ping on behalf of another node: its number and datagram address
        self._relayed_pings: dict[int, tuple[int, str]] = {}
        self._timeout_factor = 1
        self._parallel_pings = 1

    def send_ping(self, address: str) -> int:
        """Ping the node at a datagram address; return the number of the ping."""
        self._last_number += 1
        self._send(address, Ping(number=self._last_number, **self._get_header()))
        return self._last_number

    def answer(self, ping: Ping, *, suspected: bool) -> None:
        """Answer a ping.

        :param suspected: whether the sender of the ping is suspected.
        """
        self._send_ack(ping.sender.notice_address, ping.number, suspected=suspected)

    async def ping_next_nodes(self) -> None:
        """Ping the next nodes in turn, and suspect those that don't answer."""
        # After a pause, nodes that have not been heard of since are pinged first.
        distrusted = self._membership.list_distrusted()[:MANY_FAILED_MAX_PINGS]
        targets = {info.vm_id: info for info in distrusted}
        for _ in range(self._parallel_pings):
            target = self._choose_ping_target()
            if target is not None:
                targets[target.vm_id] = target
        answered = await asyncio.gather(*(self._ping(target) for target in targets.values()))
        self._parallel_pings = compute_parallel_pings(
            self._parallel_pings, answered=sum(answered), missed=len(answered) - sum(answered)
        )

    async def _ping(self, target: NodeInfo) -> bool:
        """Ping a node, if necessary through others; return whether it is known to be alive."""
        event = asyncio.Event()
        number = self.send_ping(target.notice_address)
        self._ack_events[number] = event
        try:
            if await self._wait_for_ack(event, ACK_TIMEOUT_S):
                return True
            self._send_ping_requests(target, number)
            in_time = await self._wait_for_ack(event, INDIRECT_ACK_TIMEOUT_S - ACK_TIMEOUT_S)
            if in_time is not False:
                return True
        finally:
            del self._ack_events[number]
            if not event.is_set():
                self._late_pings.append(number)
        if self._membership.suspect(target.vm_id, target.version):
            _logger.info("Node {} does not answer; suspecting it.", target.vm_id)
            news = [(target.vm_id, target.version)]
            self._publish(suspected=news)
            self._send(target.notice_address, Update(suspected=news, **self._get_header()))
        return False

    async def _wait_for_ack(self, event: asyncio.Event, timeout_s: float) -> bool | None:
        """Return whether the answer has arrived; ``None`` if this node itself was delayed."""
        timeout_s *= self._timeout_factor
        due_at = self._clock() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return None if self._clock() - due_at > MAX_TIMER_DELAY_S else False
        self._timeout_factor = max(1, self._timeout_factor - 1)
        return True

    def _choose_ping_target(self) -> NodeInfo | None:
        peers = {info.vm_id: info for info in self._membership.list_peers()}
        while self._ping_order:
            info = peers.get(self._ping_order.pop())
            if info is not None:
                return info
        self._ping_order = list(peers)
        self._rng.shuffle(self._ping_order)
        return peers[self._ping_order.pop()] if self._ping_order else None

    def _send_ping_requests(self, target: NodeInfo, number: int) -> None:
        others = [info for info in self._membership.list_peers() if info.vm_id != target.vm_id]
        helpers = self._rng.sample(others, min(INDIRECT_PING_COUNT, len(others)))
        request = PingRequest(number=number, address=target.notice_address, **self._get_header())
        for helper in helpers:
            self._send(helper.notice_address, request)

    def relay_ping(self, request: PingRequest) -> None:
        """Ping a node on behalf of another one."""
        number = self.send_ping(request.address)
        self._relayed_pings[number] = (request.number, request.sender.notice_address)
        loop = asyncio.get_running_loop()
        loop.call_later(RELAY_TIMEOUT_S, self._relayed_pings.pop, number, None)

    def handle_ack(self, message: Ack) -> None:
        """Record an answer, or pass it on to the node on whose behalf the ping was sent."""
        if message.suspected and self._membership.refute(self._membership.own.version):
            self._publish(nodes=[self._membership.own])
        event = self._ack_events.get(message.number)
        if event is not None:
            event.set()
        elif message.answering_id == message.sender.vm_id and message.number in self._late_pings:
            self._timeout_factor = min(MAX_TIMEOUT_FACTOR, self._timeout_factor + 1)
        relayed = self._relayed_pings.pop(message.number, None)
        if relayed is not None:
            number, address = relayed
            self._send_ack(address, number, answering_id=message.answering_id)

    def _send_ack(
        self, address: str, number: int, *, answering_id: str = "", suspected: bool = False
    ) -> None:
        ack = Ack(
            number=number,
            answering_id=answering_id or self._membership.own.vm_id,
            suspected=suspected,
            **self._get_header(),
        )
        self._send(address, ack)
