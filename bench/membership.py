"""Simulation of the fleet's failure detection and spread of news, in virtual time.

``python -m bench.membership 10 100 1000`` prints, for each number of nodes, the messages that a
node sends at rest and the times until all nodes know of a new, a leaving and a failed node and of
news.
"""

from __future__ import annotations

import asyncio
import collections
import random
import sys
import typing as t

from bench.virtual_time import run_in_virtual_time
from jasmineseam.fleet.spreading import Fleet
from jasmineseam.fleet.spreading import FleetHandlers
from jasmineseam.membership.nodes import NodeInfo
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.peers.messages import FleetMessage
from jasmineseam.peers.messages import ServersNotice
from jasmineseam.peers.messages import StateDigest
from jasmineseam.peers.messages import encode_message

CONTACT_COUNT = 3
# time of a request from one node to another, which brings missed news
REQUEST_TIME_S = 0.01
POLL_INTERVAL_S = 0.02


class Network:
    """Delivers messages between simulated nodes.

    :param rng: draws losses and delays.
    :param loss: fraction of the messages that are lost.
    :param delay_s: mean delay of a message, in seconds.
    """

    def __init__(self, *, rng: random.Random, loss: float = 0.0, delay_s: float = 0.001) -> None:
        self._rng = rng
        self.loss = loss
        self.delay_s = delay_s
        self.nodes: dict[str, SimulatedNode] = {}
        # additional delay of all messages of a sender or receiver, in seconds
        self.node_delays_s: dict[str, float] = {}
        self.is_cut: t.Callable[[str, str], bool] = lambda sender, receiver: False
        self.sent_counts: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.largest_message = 0

    def send(self, sender: str, receiver: str, message: FleetMessage) -> None:
        """Deliver a message after its delay, unless it is lost or cut off."""
        size = len(encode_message(message))
        self.sent_counts[sender] += 1
        self.sent_bytes[sender] += size
        self.largest_message = max(self.largest_message, size)
        if self.is_cut(sender, receiver) or self._rng.random() < self.loss:
            return
        delay_s = self.delay_s * self._rng.uniform(0.5, 1.5)
        delay_s += self.node_delays_s.get(sender, 0.0) + self.node_delays_s.get(receiver, 0.0)
        asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, receiver, message)

    def _deliver(self, sender: str, receiver: str, message: FleetMessage) -> None:
        node = self.nodes.get(receiver)
        if node is not None and not self.is_cut(sender, receiver):
            node.fleet.handle(message)


class SimulatedNode:
    """A node whose only state is the position up to which it knows some news.

    :param name: the VM id, which is also the datagram address.
    """

    def __init__(
        self, *, name: str, network: Network, version: int = 1, rng: random.Random
    ) -> None:
        self.name = name
        self._network = network
        self.position = 0
        info = NodeInfo(
            vm_id=name,
            version=version,
            failure_domain=f"d{hash_name(name) % 3}",
            entry_address=f"10.0.0.1:{name}",
            notice_address=name,
            peer_address=name,
            ready=True,
        )
        self.fleet = Fleet(
            own=info,
            contacts=[f"n{number}" for number in range(CONTACT_COUNT)],
            send=lambda address, message: network.send(name, address, message),
            handlers=FleetHandlers(
                get_digest=self._build_digest,
                on_digest=self._handle_digest,
                apply_servers=self._apply_notice,
            ),
            clock=asyncio.get_running_loop().time,
            rng=rng,
        )
        network.nodes[name] = self
        self._task = asyncio.create_task(self.fleet.run_forever())

    def publish_news(self) -> None:
        """Publish a change that all nodes should learn."""
        begin = self.position
        self.position += 1
        self.fleet.publish(servers=_make_notice(begin, self.position))

    def kill(self) -> None:
        """Stop without a message to the others."""
        self._network.nodes.pop(self.name, None)
        self._task.cancel()
        self.fleet.close()

    def list_live_names(self) -> set[str]:
        """Return the nodes that this node would name to callers."""
        return {info.vm_id for info in self.fleet.membership.list_live()}

    def _build_digest(self, nodes_hash: int) -> StateDigest:
        return StateDigest(nodes_hash, -1, StorePosition(1, self.position), 0)

    def _handle_digest(self, sender: NodeInfo, digest: StateDigest) -> None:
        if digest.servers_position.offset > self.position:
            loop = asyncio.get_running_loop()
            loop.call_later(REQUEST_TIME_S, self._request_news, sender.vm_id)

    def _request_news(self, name: str) -> None:
        source = self._network.nodes.get(name)
        if source is not None and not self._network.is_cut(self.name, name):
            self.position = max(self.position, source.position)

    def _apply_notice(self, notice: ServersNotice) -> bool:
        if notice.begin.offset > self.position or notice.end.offset <= self.position:
            return False
        self.position = notice.end.offset
        return True


def _make_notice(begin: int, end: int) -> ServersNotice:
    return ServersNotice(begin=StorePosition(1, begin), end=StorePosition(1, end), changes=[])


def hash_name(name: str) -> int:
    """Return a number for a node's name that does not depend on the process."""
    return sum(name.encode())


def start_nodes(network: Network, count: int, rng: random.Random) -> list[SimulatedNode]:
    """Start nodes ``n0`` to ``n{count-1}``."""
    return [
        SimulatedNode(name=f"n{number}", network=network, rng=random.Random(rng.getrandbits(32)))
        for number in range(count)
    ]


async def wait_for_all(
    network: Network, condition: t.Callable[[SimulatedNode], bool], timeout_s: float
) -> float:
    """Return the time until a condition holds for all running nodes, in seconds.

    :raises TimeoutError: if it does not hold within *timeout_s*.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not all(condition(node) for node in network.nodes.values()):
        if loop.time() - started_at > timeout_s:
            lacking = sum(not condition(node) for node in network.nodes.values())
            raise TimeoutError(f"{lacking} of {len(network.nodes)} nodes lack it")
        await asyncio.sleep(POLL_INTERVAL_S)
    return loop.time() - started_at


class FleetTimes(t.NamedTuple):
    """Results for one number of nodes; times in s, messages and bytes per node and second."""

    nodes: int
    joined_s: float
    news_s: float
    leaving_s: float
    failed_s: float
    new_node_s: float
    messages_per_s: float
    bytes_per_s: float
    largest_message: int


async def measure(count: int, seed: int = 1, loss: float = 0.01) -> FleetTimes:
    """Start a fleet, and measure it at rest and after changes."""
    rng = random.Random(seed)
    network = Network(rng=rng, loss=loss)
    nodes = start_nodes(network, count, rng)
    joined_s = await wait_for_all(network, lambda node: len(node.list_live_names()) == count, 60.0)
    await asyncio.sleep(5.0)
    sent_before = sum(network.sent_counts.values()), sum(network.sent_bytes.values())
    rest_s = 10.0
    await asyncio.sleep(rest_s)
    messages = sum(network.sent_counts.values()) - sent_before[0]
    size = sum(network.sent_bytes.values()) - sent_before[1]
    nodes[0].publish_news()
    news_s = await wait_for_all(network, lambda node: node.position == 1, 30.0)
    nodes[-1].fleet.update_own(leaving=True)
    leaving_s = await wait_for_all(
        network, lambda node: nodes[-1].name not in node.list_live_names(), 30.0
    )
    nodes[-2].kill()
    failed_s = await wait_for_all(
        network, lambda node: nodes[-2].name not in node.list_live_names(), 30.0
    )
    SimulatedNode(name="new", network=network, rng=random.Random(seed))
    new_node_s = await wait_for_all(network, lambda node: "new" in node.list_live_names(), 30.0)
    result = FleetTimes(
        nodes=count,
        joined_s=joined_s,
        news_s=news_s,
        leaving_s=leaving_s,
        failed_s=failed_s,
        new_node_s=new_node_s,
        messages_per_s=messages / rest_s / count,
        bytes_per_s=size / rest_s / count,
        largest_message=network.largest_message,
    )
    for node in list(network.nodes.values()):
        node.kill()
    return result


def main() -> None:
    """Print a table for the numbers of nodes on the command line."""
    print(" | ".join(FleetTimes._fields))
    for text in sys.argv[1:] or ["10", "100"]:
        times = run_in_virtual_time(lambda count=int(text): measure(count))
        cells = [f"{value:.2f}" if isinstance(value, float) else f"{value}" for value in times]
        print(" | ".join(cells), flush=True)


if __name__ == "__main__":
    main()
