"""TCP forwarding with injected network faults."""

import asyncio
import collections
import contextlib
import dataclasses
import time
import typing

CHUNK_BYTES = 65536
MAX_QUEUED_CHUNKS = 64
MILLISECONDS = 1000
FREEZE_CHECK_INTERVAL_S = 0.02
# Time after which an endpoint gives up a connection to an unreachable peer.
UNREACHABLE_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults of a link.

    Attributes:
        delay_ms: Delay of bytes in each direction.
        cut_to_target: Bytes to the target are dropped.
        cut_to_client: Bytes to the client are dropped.
        silent: Connections that are open when this is set drop all bytes from
            then on, also after a reset of the fault; new connections work.
        lose_answers: The same, for bytes to the client only.
        refuse: New connections are refused; open ones go on.
        freeze: Bytes are held back and delivered when this is reset.
    """

    delay_ms: float = 0
    cut_to_target: bool = False
    cut_to_client: bool = False
    silent: bool = False
    lose_answers: bool = False
    refuse: bool = False
    freeze: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class ProxiedConnection:
    """Client connection and its connection to the target.

    Attributes:
        silenced: Whether all bytes are dropped, in both directions.
        lossy: Directions in which bytes were dropped. Forwarding later bytes
            would corrupt the stream, so they are dropped for good.
        writers: Writers to the client and to the target.
    """

    silenced: bool = False
    lossy: set[str] = dataclasses.field(default_factory=set)
    writers: list[asyncio.StreamWriter] = dataclasses.field(
        default_factory=list,
    )


class Link:
    """Listening port whose connections are forwarded to a target.

    Attributes:
        name: Name in the admin interface.
        faults: Faults in effect.
        host: Listening address; empty until the link listens.
        port: Listening port; 0 until the link listens.
    """

    def __init__(self, name: str, target_host: str, target_port: int) -> None:
        """Create a link that doesn't listen yet."""
        self.name = name
        self.faults = Faults()
        self.host = ''
        self.port = 0
        self._target = (target_host, target_port)
        self._connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start accepting connections; port 0 lets the kernel choose."""
        self._server = await asyncio.start_server(self._accept, host, port)
        self.host = host
        self.port = self._server.sockets[0].getsockname()[1]

    def set_target(self, host: str, port: int) -> None:
        """Set the target of new connections; open ones keep theirs."""
        self._target = (host, port)

    async def set_faults(self, **changes: typing.Any) -> None:
        """Set the given faults and keep the others.

        Raises:
            TypeError: A fault name is unknown.
        """
        before = self.faults
        self.faults = dataclasses.replace(before, **changes)
        if changes.get('silent'):
            for connection in self._connections:
                connection.silenced = True
        if changes.get('lose_answers'):
            for connection in self._connections:
                connection.lossy.add('cut_to_client')
        if self.faults.refuse and self._server is not None:
            self._server.close()
            self._server = None
        elif before.refuse and not self.faults.refuse:
            await self.listen(self.host, self.port)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()

    def describe(self) -> dict[str, typing.Any]:
        """Return the description of the link for the admin interface."""
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
            """The client connection is closed below."""
        self._connections.discard(connection)
        writer.close()

    async def _forward(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.faults.cut_to_target or self.faults.cut_to_client:
            # A handshake can't complete while one direction drops bytes, so
            # the target isn't contacted.
            await _discard_bytes(reader)
            return
        await self._wait_while_frozen()
        target_reader, target_writer = await asyncio.open_connection(
            *self._target,
        )
        connection.writers.extend((writer, target_writer))
        tasks = {
            asyncio.create_task(
                self._copy_bytes(
                    connection, 'cut_to_target', reader, target_writer
                ),
            ),
            asyncio.create_task(
                self._copy_bytes(
                    connection, 'cut_to_client', target_reader, writer
                ),
            ),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            target_writer.close()

    async def _copy_bytes(
        self,
        connection: ProxiedConnection,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]]
        queue = asyncio.Queue(MAX_QUEUED_CHUNKS)
        read_task = asyncio.create_task(_read_chunks(reader, queue))
        try:
            while True:
                received_at, chunk = await queue.get()
                await self._wait_until_due(received_at)
                if self._drops(connection, direction):
                    connection.lossy.add(direction)
                    if not chunk:
                        # The end of the stream is lost too, so the far end
                        # gives up only after a timeout.
                        await asyncio.sleep(UNREACHABLE_TIMEOUT_S)
                        return
                elif chunk:
                    writer.write(chunk)
                    await writer.drain()
                else:
                    return
        finally:
            read_task.cancel()

    async def _wait_until_due(self, received_at: float) -> None:
        due = received_at + self.faults.delay_ms / MILLISECONDS
        await asyncio.sleep(max(0, due - time.monotonic()))
        await self._wait_while_frozen()

    async def _wait_while_frozen(self) -> None:
        while self.faults.freeze:
            await asyncio.sleep(FREEZE_CHECK_INTERVAL_S)

    def _drops(self, connection: ProxiedConnection, direction: str) -> bool:
        cut = getattr(self.faults, direction)
        return cut or connection.silenced or direction in connection.lossy


class Links(collections.UserDict[str, Link]):
    """Links by name."""

    async def add(self, link: Link, host: str, port: int) -> None:
        """Make `link` listen and store it under its name."""
        await link.listen(host, port)
        self[link.name] = link


async def _read_chunks(
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


async def _discard_bytes(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(CHUNK_BYTES):
            """Drop the bytes."""
