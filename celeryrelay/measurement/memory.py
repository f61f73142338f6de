"""Memory per item, measured in child processes."""

import asyncio
import enum
import gc
import json
import os
import socket
import sys
import threading
import tracemalloc
from collections import abc

from celeryrelay.measurement import children, samples, series, settings

LOOPBACK = '127.0.0.1'
LISTEN_BACKLOG = 1024
MODULE = 'celeryrelay.measurement.memory'


class Kind(enum.StrEnum):
    """Items whose memory is measured."""

    stream_connection = 'stream_connection'
    caller_connection = 'caller_connection'
    session = 'session'
    group_record = 'group_record'
    member = 'member'
    published_object = 'published_object'


NOT_COVERED = {
    Kind.stream_connection: 'socket buffers in the kernel, TLS, the protocol',
    Kind.caller_connection: (
        'socket buffers in the kernel, TLS, the session of the daemon'
    ),
    Kind.session: 'a model with bounds on 3 groups; no prepared statements',
    Kind.group_record: 'a model with 16 terms; no guard, no probes',
    Kind.member: 'a model; no index by zone or role',
    Kind.published_object: 'raw object and data class, 1 group to 3 routes',
}


def measure_all(
    memory_settings: settings.MemorySettings,
    repetitions: int,
) -> tuple[series.Series, ...]:
    """Return traced and resident bytes against the number of items."""
    found: list[series.Series] = []
    for kind in Kind:
        is_connection = kind.value.endswith('connection')
        found.extend(
            series.collect(
                '{0}s'.format(kind.value),
                memory_settings.connections
                if is_connection
                else memory_settings.items,
                repetitions,
                _measure_kind(kind),
                NOT_COVERED[kind],
            ),
        )
    return tuple(found)


def _measure_kind(kind: Kind) -> series.Measure:
    traced = series.Quantity('traced memory', 'bytes')
    resident = series.Quantity('resident memory', 'bytes')

    def measure(size: int) -> series.Values:  # noqa: WPS430 (bound to kind)
        found = children.run_child(MODULE, kind.value, str(size))
        return {traced: found['traced'], resident: found['resident']}

    return measure


def _measure_in_child(kind: Kind, size: int) -> dict[str, int]:
    build = _builder(kind)
    # The first items load modules and fill caches.
    kept = [build(1)]
    gc.collect()
    before = children.resident_bytes()
    kept.append(build(size))
    gc.collect()
    resident = children.resident_bytes() - before
    gc.collect()
    tracemalloc.start()
    kept.append(build(size))
    gc.collect()
    traced = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {'resident': resident, 'traced': traced}


def _builder(kind: Kind) -> abc.Callable[[int], object]:
    match kind:
        case Kind.stream_connection:
            return _Connections(_serve_streams, _connect_plain).open
        case Kind.caller_connection:
            return _Connections(_serve_callers, _connect_caller).open
        case Kind.session:
            return samples.sessions
        case Kind.group_record:
            return samples.group_records
        case Kind.member:
            return samples.members
        case Kind.published_object:
            return samples.objects


class _Connections:
    """A server in a thread, and clients that are file descriptors only."""

    def __init__(
        self,
        serve: abc.Callable[[socket.socket], abc.Awaitable],
        connect: abc.Callable[[int], int],
    ) -> None:
        self._connect = connect
        self._listener = socket.create_server(
            (LOOPBACK, 0),
            backlog=LISTEN_BACKLOG,
        )
        self._port = self._listener.getsockname()[1]
        self._loop = asyncio.new_event_loop()
        self._loop.run_until_complete(serve(self._listener))
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def open(self, count: int) -> list[int]:
        """Open `count` connections and leave them idle."""
        return [self._connect(self._port) for _ in range(count)]


async def _serve_streams(listener: socket.socket) -> None:
    await asyncio.start_server(_hold_stream, sock=listener)


async def _hold_stream(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    # The greeting tells the client that the server has the connection.
    writer.write(b'\0')
    await reader.read()


async def _serve_callers(listener: socket.socket) -> None:
    import mysql_mimic  # noqa: PLC0415, WPS433 (for one kind of child only)

    server = mysql_mimic.MysqlServer()
    await server.start_server(port=None, sock=listener)


def _connect_plain(port: int) -> int:
    connection = socket.create_connection((LOOPBACK, port))
    connection.recv(1)
    return connection.detach()


def _connect_caller(port: int) -> int:
    import pymysql  # noqa: PLC0415, WPS433 (for one kind of child only)

    connection = pymysql.connect(
        host=LOOPBACK,
        port=port,
        user='caller',
        ssl_disabled=True,
    )
    # The duplicate keeps the TCP connection without the client's buffers.
    descriptor = os.dup(connection._sock.fileno())
    connection._force_close()
    return descriptor


if __name__ == '__main__':
    print(json.dumps(_measure_in_child(Kind(sys.argv[1]), int(sys.argv[2]))))  # noqa: WPS421 (output of the child)
