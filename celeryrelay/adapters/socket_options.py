"""TCP options of connections to callers, backend servers and other daemons."""

import asyncio
import socket

# The kernel ends a connection about 3 s after the remote host last answered:
# after KEEPALIVE_IDLE_S plus KEEPALIVE_PROBES unanswered probes if the
# connection is idle, after USER_TIMEOUT_MS if sent data is not acknowledged.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000


def set_tcp_options(transport: asyncio.BaseTransport) -> None:
    """Send data without delay and let the kernel detect a dead connection.

    The local port of an outgoing connection, which the kernel chose, may be the
    port of a listener that another process opens later. The connection leaves
    the port free to listen on, also after it has closed.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    for option, number in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
