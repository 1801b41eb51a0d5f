"""Tests of connections to servers: their reuse, and the errors raised when they break."""

import asyncio
import time

import pytest
from multidict import CIMultiDict

from jasmineseam.exceptions import AttemptNotRunError
from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.transport.connection_pool import ConnectionPool
from jasmineseam.transport.response_memory import ResponseMemory
from standins.instance import StandInInstance


def run(scenario):
    async def run_with_instance():
        instance = StandInInstance(instance_id="i-1", service="fit")
        await instance.start()
        pool = ConnectionPool()
        try:
            await scenario(instance, pool)
        finally:
            pool.close()
            await instance.stop()

    asyncio.run(run_with_instance())


async def run_request(connection, request_id):
    headers = CIMultiDict({"Host": "h", "Jasmineseam-Request-Id": request_id})
    await connection.send("GET", "/a", headers, b"")
    response = await connection.receive_head(
        lambda status, received: (
            status if received.get("Jasmineseam-Request-Id") == request_id else None
        )
    )
    return await connection.read_body(response, 1000, ResponseMemory(max_bytes=10_000))


def test_a_released_connection_is_reused():
    async def scenario(instance, pool):
        for number in range(3):
            connection = await pool.acquire(instance.address)
            body, complete = await run_request(connection, f"q{number}")
            assert complete
            assert body.startswith(f"q{number}".encode())
            pool.release(instance.address, connection)
        assert (pool.opened_count, instance.connection_count) == (1, 1)

    run(scenario)


@pytest.mark.parametrize(
    ("idle_s", "limit_s", "opened"), [(1.0, float("inf"), 1), (5.0, 4.0, 2), (9.0, 20.0, 2)]
)
def test_a_connection_that_was_idle_for_too_long_is_not_reused(idle_s, limit_s, opened):
    async def scenario(instance, pool):
        connection = await pool.acquire(instance.address)
        await run_request(connection, "q1")
        pool.release(instance.address, connection)
        connection.last_used_at = time.monotonic() - idle_s
        other = await pool.acquire(instance.address, limit_s)
        assert pool.opened_count == opened
        other.close()

    run(scenario)


def test_a_connection_with_an_unread_response_is_not_pooled():
    async def scenario(instance, pool):
        connection = await pool.acquire(instance.address)
        instance.behaviour.fault = "extra"
        await run_request(connection, "q1")
        await asyncio.sleep(0.05)
        pool.release(instance.address, connection)
        assert pool.count_idle() == 0

    run(scenario)


def test_a_refused_connection_is_reported_as_not_run():
    async def scenario(instance, pool):
        await instance.stop()
        with pytest.raises(AttemptNotRunError) as caught:
            await pool.acquire(instance.address)
        assert caught.value.reason == "connect"

    run(scenario)


def test_a_closed_connection_is_detected_before_sending():
    async def scenario(instance, pool):
        connection = await pool.acquire(instance.address)
        instance.reset_connections()
        await asyncio.sleep(0.05)
        assert not connection.is_reusable
        with pytest.raises(AttemptNotRunError):
            await run_request(connection, "q1")

    run(scenario)


def test_the_outcome_is_unknown_if_a_connection_breaks_after_sending():
    async def scenario(instance, pool):
        connection = await pool.acquire(instance.address)
        instance.behaviour.fault = "reset"
        with pytest.raises(AttemptOutcomeUnknownError):
            await run_request(connection, "q1")

    run(scenario)


def test_connections_to_unknown_servers_are_closed():
    async def scenario(instance, pool):
        connection = await pool.acquire(instance.address)
        await run_request(connection, "q1")
        pool.release(instance.address, connection)
        pool.expire_connections({instance.address})
        assert pool.count_idle() == 1
        pool.expire_connections(set())
        assert pool.count_idle() == 0

    run(scenario)


def test_data_on_an_idle_connection_closes_it():
    async def scenario(instance, pool):
        connection = await pool.acquire(instance.address)
        instance.behaviour.fault = "late-extra"
        await run_request(connection, "q1")
        pool.release(instance.address, connection)
        assert connection.is_reusable
        await asyncio.sleep(0.1)
        assert not connection.is_reusable
        other = await pool.acquire(instance.address)
        assert other is not connection
        other.close()

    run(scenario)


def test_discarded_connections_are_closed():
    async def scenario(instance, pool):
        connection = await pool.acquire(instance.address)
        await run_request(connection, "q1")
        pool.release(instance.address, connection)
        pool.discard(instance.address)
        assert not connection.is_reusable
        assert pool.count_idle() == 0

    run(scenario)
