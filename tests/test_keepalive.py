"""When the kernel gives up a silent connection, according to the socket's options."""

import asyncio
import socket

import pytest

from jasmineseam.platform.store_client import _open_socket
from jasmineseam.transport.server_connection import open_connection


def compute_give_up(tcp_socket):
    """Return after how many unanswered probes, and seconds, Linux gives up an idle connection."""

    def read_option(name):
        return tcp_socket.getsockopt(socket.IPPROTO_TCP, name)

    probes = 0
    idle_s = read_option(socket.TCP_KEEPIDLE)
    user_timeout_s = read_option(socket.TCP_USER_TIMEOUT) / 1000
    while True:
        if user_timeout_s:
            gives_up = probes > 0 and idle_s >= user_timeout_s
        else:
            gives_up = probes >= read_option(socket.TCP_KEEPCNT)
        if gives_up:
            return probes, idle_s
        probes += 1
        idle_s += read_option(socket.TCP_KEEPINTVL)


async def open_server_socket():
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await open_connection(f"{host}:{port}", 1.0)
    found = connection._protocol.transport.get_extra_info("socket")
    give_up = compute_give_up(found)
    connection.close()
    server.close()
    return give_up


async def open_store_socket():
    with _open_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))) as found:
        return compute_give_up(found)


@pytest.mark.parametrize("open_socket", [open_server_socket, open_store_socket])
def test_one_lost_keepalive_probe_does_not_end_a_connection(open_socket):
    probes, idle_s = asyncio.run(open_socket())
    assert probes >= 2
    assert idle_s <= 3.0
