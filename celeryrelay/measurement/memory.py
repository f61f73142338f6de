"""Memory per connection, session, group record, member and object.

Each value is measured in a child process of its own.
"""

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

from celeryrelay.measurement import children, sample_items, series, settings

LOOPBACK = '127.0.0.1'
LISTEN_BACKLOG = 1024
CHILD_MODULE = 'celeryrelay.measurement.memory'


class ItemKind(enum.StrEnum):
    """Kinds of items whose memory is measured."""

    stream_connection = 'stream_connection'
    caller_connection = 'caller_connection'
    session = 'session'
    group_record = 'group_record'
    member = 'member'
    published_object = 'published_object'


NOT_COVERED = {
    ItemKind.stream_connection: (
        'socket buffers in the kernel, TLS, the protocol'
    ),
    ItemKind.caller_connection: (
        'socket buffers in the kernel, TLS, the session of the daemon'
    ),
    ItemKind.session: 'a model with bounds on 3 groups; no prepared statements',
    ItemKind.group_record: (
        'a model with 16 terms; no write permissions, no probes'
    ),
    ItemKind.member: 'a model; no index by zone or role',
    ItemKind.published_object: 'raw object and data class, 1 group to 3 routes',
}


def measure_all(
    memory_settings: settings.MemorySettings,
    repetitions: int,
) -> tuple[series.Series, ...]:
    """Measure traced and resident bytes for various numbers of items."""
    found: list[series.Series] = []
    for kind in ItemKind:
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


def _measure_kind(kind: ItemKind) -> series.Measure:
    traced = series.Quantity('traced memory', 'bytes')
    resident = series.Quantity('resident memory', 'bytes')

    def measure(size: int) -> series.Values:  # noqa: WPS430 (bound to kind)
        found = children.run_child(CHILD_MODULE, kind.value, str(size))
        return {traced: found['traced'], resident: found['resident']}

    return measure


def _measure_in_child(kind: ItemKind, size: int) -> dict[str, int]:
    build = _item_builder(kind)
    # Not measured: building the first item loads modules and fills caches.
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


def _item_builder(kind: ItemKind) -> abc.Callable[[int], object]:
    match kind:
        case ItemKind.stream_connection:
            return _IdleConnections(_serve_streams, _connect_plain).open
        case ItemKind.caller_connection:
            return _IdleConnections(_serve_callers, _connect_caller).open
        case ItemKind.session:
            return sample_items.make_sessions
        case ItemKind.group_record:
            return sample_items.make_group_records
        case ItemKind.member:
            return sample_items.make_members
        case ItemKind.published_object:
            return sample_items.make_objects


class _IdleConnections:
    """Server in a thread, with clients that consist of a file descriptor.

    The measured memory is therefore that of the server's side.
    """

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
    await asyncio.start_server(_keep_stream_open, sock=listener)


async def _keep_stream_open(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    # Tells the client that the server has accepted the connection.
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
    # The duplicate descriptor keeps the TCP connection open while the
    # client's buffers are freed.
    descriptor = os.dup(connection._sock.fileno())
    connection._force_close()
    return descriptor


if __name__ == '__main__':
    print(  # noqa: WPS421 (output of the child)
        json.dumps(_measure_in_child(ItemKind(sys.argv[1]), int(sys.argv[2]))),
    )
