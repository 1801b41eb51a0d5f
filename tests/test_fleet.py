"""Failure detection and spread of news, simulated in virtual time with loss, delay and cuts."""

import asyncio
import random

import pytest

from bench.membership import Network
from bench.membership import SimulatedNode
from bench.membership import measure
from bench.membership import start_nodes
from bench.membership import wait_for_all
from bench.virtual_time import run_in_virtual_time
from jasmineseam.peers.datagrams import MAX_DATAGRAM_BYTES


def run_fleet(scenario, count, seed=1, **options):
    """Run a scenario with a fleet in which all nodes know each other."""

    async def run():
        rng = random.Random(seed)
        network = Network(rng=rng, **options)
        nodes = start_nodes(network, count, rng)
        names = {node.name for node in nodes}
        await wait_for_all(network, lambda node: node.list_live_names() == names, 20.0)
        await scenario(network, nodes)
        for node in list(network.nodes.values()):
            node.kill()

    run_in_virtual_time(run)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [5, 40])
def test_all_nodes_learn_of_failed_leaving_and_new_nodes(count, seed):
    times = run_in_virtual_time(lambda: measure(count, seed=seed, loss=0.02))
    assert times.joined_s < 5.0
    assert times.news_s < 1.5
    assert times.leaving_s < 1.5
    assert times.failed_s < 6.0
    assert times.new_node_s < 2.0
    assert times.largest_message <= MAX_DATAGRAM_BYTES


def test_messages_at_rest_do_not_grow_with_the_number_of_nodes():
    small, large = (
        run_in_virtual_time(lambda count=count: measure(count, loss=0.0)) for count in (10, 80)
    )
    assert large.messages_per_s < 1.2 * small.messages_per_s
    # 3 KB/s is the limit for all control traffic of a node.
    assert large.bytes_per_s < 1500


@pytest.mark.parametrize("loss", [0.0, 0.1, 0.3])
def test_news_reaches_all_nodes_in_spite_of_loss(loss):
    async def scenario(network, nodes):
        network.loss = loss
        for number in range(5):
            nodes[number].publish_news()
            await wait_for_all(
                network, lambda node, number=number: node.position == number + 1, 5.0
            )

    run_fleet(scenario, 30)


@pytest.mark.parametrize("share", [0.5, 0.9])
def test_many_nodes_fail_at_once(share):
    async def scenario(network, nodes):
        for node in nodes[: int(share * len(nodes))]:
            node.kill()
        remaining = set(network.nodes)
        await wait_for_all(network, lambda node: node.list_live_names() == remaining, 30.0)

    run_fleet(scenario, 30)


def test_all_nodes_lose_power_and_restart_under_the_same_names():
    async def scenario(network, nodes):
        names = {node.name for node in nodes}
        for node in nodes:
            node.kill()
        await asyncio.sleep(1.0)
        for node in nodes:
            SimulatedNode(name=node.name, network=network, rng=random.Random(7), version=2)
        await wait_for_all(network, lambda node: node.list_live_names() == names, 10.0)

    run_fleet(scenario, 20)


@pytest.mark.parametrize("version", [1, 5])
def test_restarted_node_is_known_although_its_clock_may_have_gone_back(version):
    async def scenario(network, nodes):
        nodes[4].fleet.update_own(version=3)
        await asyncio.sleep(2.0)
        nodes[4].kill()
        restarted = SimulatedNode(
            name=nodes[4].name, network=network, rng=random.Random(7), version=version
        )
        restarted.fleet.update_own(ready=False)
        await wait_for_all(network, lambda node: "n4" not in node.list_live_names(), 5.0)
        restarted.fleet.update_own(ready=True)
        await wait_for_all(network, lambda node: "n4" in node.list_live_names(), 5.0)

    run_fleet(scenario, 12)


@pytest.mark.parametrize("extra_delay_s", [0.1, 0.25])
def test_slow_node_does_not_make_nodes_count_as_failed(extra_delay_s):
    async def scenario(network, nodes):
        network.node_delays_s["n5"] = extra_delay_s
        for _ in range(600):
            await asyncio.sleep(0.1)
            for node in nodes:
                assert not node.fleet.membership.list_failed()

    run_fleet(scenario, 15)


def test_one_way_cut_between_two_nodes_does_not_make_them_count_as_failed():
    async def scenario(network, nodes):
        network.is_cut = lambda sender, receiver: (sender, receiver) == ("n3", "n4")
        for _ in range(600):
            await asyncio.sleep(0.1)
            for node in nodes:
                assert not node.fleet.membership.list_failed()

    run_fleet(scenario, 15)


@pytest.mark.parametrize("cut_s", [10.0, 90.0, 200.0])
def test_two_halves_find_each_other_after_a_cut(cut_s):
    async def scenario(network, nodes):
        names = {node.name for node in nodes}
        # the contacts are in different halves
        halves = {node.name: number % 2 for number, node in enumerate(nodes)}
        network.is_cut = lambda sender, receiver: halves.get(sender) != halves.get(receiver)
        await asyncio.sleep(cut_s)
        for node in nodes:
            own_half = {name for name in names if halves[name] == halves[node.name]}
            assert node.list_live_names() == own_half
        nodes[0].publish_news()
        network.is_cut = lambda sender, receiver: False
        await wait_for_all(network, lambda node: node.list_live_names() == names, 20.0)
        await wait_for_all(network, lambda node: node.position == 1, 5.0)

    run_fleet(scenario, 20)


def test_frozen_node_is_known_again_after_it_wakes():
    async def scenario(network, nodes):
        names = {node.name for node in nodes}
        network.is_cut = lambda sender, receiver: "n6" in (sender, receiver)
        await asyncio.sleep(8.0)
        assert all("n6" not in node.list_live_names() for node in nodes if node.name != "n6")
        network.is_cut = lambda sender, receiver: False
        await wait_for_all(network, lambda node: node.list_live_names() == names, 15.0)

    run_fleet(scenario, 15)


def test_isolated_node_acts_alone_after_the_join_timeout():
    async def scenario():
        network = Network(rng=random.Random(1))
        node = SimulatedNode(name="x", network=network, rng=random.Random(1))
        assert node.fleet.get_reader_rank() is None
        await asyncio.sleep(1.1)
        assert node.fleet.get_reader_rank() == 0
        node.kill()

    run_in_virtual_time(scenario)


def test_reader_ranks_are_distinct_and_unreachable_or_leaving_nodes_come_last():
    async def scenario(network, nodes):
        await asyncio.sleep(1.0)
        by_rank = {node.fleet.get_reader_rank(): node for node in nodes}
        assert sorted(by_rank) == list(range(len(nodes)))
        by_rank[0].fleet.update_own(reads_store=False)
        by_rank[1].fleet.update_own(leaving=True)
        await asyncio.sleep(1.0)
        assert by_rank[2].fleet.get_reader_rank() == 0
        assert {by_rank[0].fleet.get_reader_rank(), by_rank[1].fleet.get_reader_rank()} == {8, 9}

    run_fleet(scenario, 10)
