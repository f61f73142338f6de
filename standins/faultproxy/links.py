"""Forwarded TCP links with faults."""

import asyncio
import collections
import contextlib
import dataclasses
import time
import typing

CHUNK_BYTES = 65536
QUEUED_CHUNKS = 64
MILLISECONDS = 1000
FREEZE_CHECK_S = 0.02
# Time after which a server drops a connection whose other end is unreachable.
UNREACHABLE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """What is wrong with a link.

    Attributes:
        delay_ms: Delay of each direction.
        cut_to_target: Bytes towards the target are dropped silently.
        cut_to_client: Bytes towards the client are dropped silently.
        silent: Connections that were open when this was set pass nothing any
            more; new connections work.
        refuse: New connections are refused, and open ones are kept.
        freeze: Nothing moves; bytes are kept and delivered afterwards.
    """

    delay_ms: float = 0
    cut_to_target: bool = False
    cut_to_client: bool = False
    silent: bool = False
    refuse: bool = False
    freeze: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class ProxiedConnection:
    """One client connection.

    Attributes:
        silenced: It passes nothing any more.
        lossy: Directions that have lost bytes. Passing later bytes would
            corrupt the stream, so they pass nothing any more either.
        writers: Both ends.
    """

    silenced: bool = False
    lossy: set[str] = dataclasses.field(default_factory=set)
    writers: list[asyncio.StreamWriter] = dataclasses.field(
        default_factory=list,
    )


class Link:
    """Listener that forwards connections to a target address."""

    def __init__(self, name: str, target_host: str, target_port: int) -> None:
        """Describe a link that doesn't listen yet."""
        self.name = name
        self.faults = Faults()
        self.host = ''
        self.port = 0
        self._target = (target_host, target_port)
        self._connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections; port 0 lets the kernel choose."""
        self._server = await asyncio.start_server(self._accept, host, port)
        self.host = host
        self.port = self._server.sockets[0].getsockname()[1]

    def set_target(self, host: str, port: int) -> None:
        """Connect new clients to another target."""
        self._target = (host, port)

    async def set_faults(self, **changes: typing.Any) -> None:
        """Change the faults that are named.

        Raises:
            TypeError: A name is unknown.
        """
        before = self.faults
        self.faults = dataclasses.replace(before, **changes)
        if changes.get('silent'):
            for connection in self._connections:
                connection.silenced = True
        if self.faults.refuse and self._server is not None:
            self._server.close()
            self._server = None
        elif before.refuse and not self.faults.refuse:
            await self.listen(self.host, self.port)

    def reset_connections(self) -> None:
        """Reset the connections that are open now."""
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()

    def describe(self) -> dict[str, typing.Any]:
        """Return the state of the link for the admin interface."""
        return {
            'name': self.name,
            'host': self.host,
            'port': self.port,
            'target_host': self._target[0],
            'target_port': self._target[1],
            'connections': len(self._connections),
            'faults': dataclasses.asdict(self.faults),
        }

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = ProxiedConnection()
        self._connections.add(connection)
        try:
            await self._forward(connection, reader, writer)
        except (OSError, asyncio.CancelledError):
            """The client sees the closed connection."""
        self._connections.discard(connection)
        writer.close()

    async def _forward(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.faults.cut_to_target or self.faults.cut_to_client:
            # A handshake can't complete when one direction is lost.
            await _discard(reader)
            return
        await self._wait_frozen()
        target_reader, target_writer = await asyncio.open_connection(
            *self._target,
        )
        connection.writers.extend((writer, target_writer))
        tasks = {
            asyncio.create_task(
                self._pump(connection, 'cut_to_target', reader, target_writer),
            ),
            asyncio.create_task(
                self._pump(connection, 'cut_to_client', target_reader, writer),
            ),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            target_writer.close()

    async def _pump(
        self,
        connection: ProxiedConnection,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]]
        queue = asyncio.Queue(QUEUED_CHUNKS)
        fill = asyncio.create_task(_fill(reader, queue))
        try:
            while True:
                received_at, chunk = await queue.get()
                await self._hold(received_at)
                if self._drops(connection, direction):
                    connection.lossy.add(direction)
                    if not chunk:
                        # The far side finds out that nobody is there.
                        await asyncio.sleep(UNREACHABLE_S)
                        return
                elif chunk:
                    writer.write(chunk)
                    await writer.drain()
                else:
                    return
        finally:
            fill.cancel()

    async def _hold(self, received_at: float) -> None:
        due = received_at + self.faults.delay_ms / MILLISECONDS
        await asyncio.sleep(max(0, due - time.monotonic()))
        await self._wait_frozen()

    async def _wait_frozen(self) -> None:
        while self.faults.freeze:
            await asyncio.sleep(FREEZE_CHECK_S)

    def _drops(self, connection: ProxiedConnection, direction: str) -> bool:
        cut = getattr(self.faults, direction)
        return cut or connection.silenced or direction in connection.lossy


class Links(collections.UserDict[str, Link]):
    """All links by name."""

    async def add(self, link: Link, host: str, port: int) -> None:
        """Start `link` and keep it under its name."""
        await link.listen(host, port)
        self[link.name] = link


async def _fill(
    reader: asyncio.StreamReader,
    queue: asyncio.Queue[tuple[float, bytes]],
) -> None:
    chunk = b'-'
    while chunk:
        try:
            chunk = await reader.read(CHUNK_BYTES)
        except OSError:
            chunk = b''
        await queue.put((time.monotonic(), chunk))


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(CHUNK_BYTES):
            """Bytes are lost silently."""
