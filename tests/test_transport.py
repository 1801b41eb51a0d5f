"""Connections to servers: when one is reused, and what is known when one breaks."""

import asyncio
import time

import pytest
from multidict import CIMultiDict

from jasmineseam.exceptions import AttemptNotRunError
from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.transport.connection_pool import ConnectionPool
from standins.instance import StandInInstance


def run(scenario):
    async def with_instance():
        instance = StandInInstance(instance_id="i-1", service="fit")
        await instance.start()
        connections = ConnectionPool()
        try:
            await scenario(instance, connections)
        finally:
            connections.close()
            await instance.stop()

    asyncio.run(with_instance())


async def exchange(connection, request_id):
    headers = CIMultiDict({"Host": "h", "Jasmineseam-Request-Id": request_id})
    await connection.send("GET", "/a", headers, b"")
    answer = await connection.receive(
        lambda status, received: (
            status if received.get("Jasmineseam-Request-Id") == request_id else None
        )
    )
    return await connection.read_body(answer, 1000)


def test_a_connection_is_kept_and_reused():
    async def scenario(instance, connections):
        for number in range(3):
            connection = await connections.acquire(instance.address)
            body, whole = await exchange(connection, f"q{number}")
            assert whole
            assert body.startswith(f"q{number}".encode())
            connections.release(instance.address, connection)
        assert (connections.opened, instance.connections) == (1, 1)

    run(scenario)


@pytest.mark.parametrize(
    ("idle_s", "limit_s", "opened"), [(1.0, float("inf"), 1), (5.0, 4.0, 2), (9.0, 20.0, 2)]
)
def test_a_connection_that_was_idle_for_too_long_is_not_used(idle_s, limit_s, opened):
    async def scenario(instance, connections):
        connection = await connections.acquire(instance.address)
        await exchange(connection, "q1")
        connections.release(instance.address, connection)
        connection.last_used_at = time.monotonic() - idle_s
        other = await connections.acquire(instance.address, limit_s)
        assert connections.opened == opened
        other.close()

    run(scenario)


def test_a_connection_with_an_unread_answer_is_not_kept():
    async def scenario(instance, connections):
        connection = await connections.acquire(instance.address)
        instance.behaviour.fault = "extra"
        await exchange(connection, "q1")
        await asyncio.sleep(0.05)
        connections.release(instance.address, connection)
        assert connections.count_idle() == 0

    run(scenario)


def test_nobody_listening_means_that_nothing_was_sent():
    async def scenario(instance, connections):
        await instance.stop()
        with pytest.raises(AttemptNotRunError) as caught:
            await connections.acquire(instance.address)
        assert caught.value.reason == "connect"

    run(scenario)


def test_a_closed_connection_is_found_before_sending():
    async def scenario(instance, connections):
        connection = await connections.acquire(instance.address)
        instance.cut_connections()
        await asyncio.sleep(0.05)
        assert not connection.reusable
        with pytest.raises(AttemptNotRunError):
            await exchange(connection, "q1")

    run(scenario)


def test_a_connection_that_breaks_after_sending_leaves_the_outcome_open():
    async def scenario(instance, connections):
        connection = await connections.acquire(instance.address)
        instance.behaviour.fault = "reset"
        with pytest.raises(AttemptOutcomeUnknownError):
            await exchange(connection, "q1")

    run(scenario)


def test_connections_to_forgotten_servers_are_closed():
    async def scenario(instance, connections):
        connection = await connections.acquire(instance.address)
        await exchange(connection, "q1")
        connections.release(instance.address, connection)
        connections.expire({instance.address})
        assert connections.count_idle() == 1
        connections.expire(set())
        assert connections.count_idle() == 0

    run(scenario)
