"""TCP keepalive with which the kernel closes silent connections within seconds."""

from __future__ import annotations

import socket

IDLE_S = 1
INTERVAL_S = 1
PROBES = 2
# Linux closes a connection with unanswered probes after this time, whatever their number. It lies
# between the last probe and the end of the interval that follows. The time also limits how long
# sent data may stay unacknowledged.
USER_TIMEOUT_MS = 2500


def enable_keepalive(tcp_socket: socket.socket) -> None:
    """Close a connection whose peer is silent for ``IDLE_S + PROBES * INTERVAL_S``."""
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
