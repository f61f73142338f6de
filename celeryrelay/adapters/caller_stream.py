"""MySQL packet stream of a caller connection.

The stream class of mysql-mimic is compiled and can't be subclassed. This one
has the same interface, and limits the size of a statement.
"""

import asyncio
import ssl
import struct
from collections import abc

from mysql_mimic import errors as mimic_errors
from mysql_mimic import stream as mimic_stream

ERROR_PACKET_TOO_LARGE = 1153
FLUSH_THRESHOLD_BYTES = 65536
_HEADER = struct.Struct('<I')
_MAX_PACKET_PAYLOAD_BYTES = 0xFFFFFF
_SEQUENCE_SHIFT = 24
_SEQUENCE_MASK = 0xFF


class PacketStream:
    """Reads and writes MySQL packets.

    Writes are buffered until `FLUSH_THRESHOLD_BYTES` or `drain`, which waits
    while the caller reads more slowly than the answer is produced.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_statement_bytes: int,
        progress_timeout_s: float,
    ) -> None:
        """Wrap an open connection.

        Args:
            reader: Receives data from the caller.
            writer: Sends data to the caller.
            max_statement_bytes: Size limit of a payload from the caller.
            progress_timeout_s: Time limit in seconds for a drain.
        """
        self.reader = reader
        self.writer = writer
        self._max_statement_bytes = max_statement_bytes
        self._progress_timeout_s = progress_timeout_s
        self._sequence = 0
        self._buffer = bytearray()

    async def read(self) -> bytes:
        """Return the next payload, joined from its packets.

        Raises:
            MysqlError: The payload exceeds the size limit.
            ConnectionClosed: The caller closed the connection or sent a
                packet out of order.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            payload = await self._read_packet()
            size += len(payload)
            if size > self._max_statement_bytes:
                raise mimic_errors.MysqlError(
                    'statement exceeds max_packet_bytes',
                    ERROR_PACKET_TOO_LARGE,  # type: ignore[arg-type]
                )
            parts.append(payload)
            if len(payload) < _MAX_PACKET_PAYLOAD_BYTES:
                return b''.join(parts)

    async def write(self, payload: bytes, drain: bool = True) -> None:
        """Write a payload, split into packets of the largest size."""
        rest = memoryview(payload)
        while True:
            packet = rest[:_MAX_PACKET_PAYLOAD_BYTES]
            rest = rest[_MAX_PACKET_PAYLOAD_BYTES:]
            self._append(packet)
            if len(packet) < _MAX_PACKET_PAYLOAD_BYTES:
                break
        if drain or len(self._buffer) >= FLUSH_THRESHOLD_BYTES:
            await self.drain()

    def write_many(self, payloads: abc.Iterable[bytes]) -> None:
        """Buffer payloads that each fit into one packet."""
        for payload in payloads:
            self._append(payload)

    async def drain(self) -> None:
        """Send the buffered packets.

        Raises:
            TimeoutError: The send buffer did not drain within the progress
                timeout, since the caller reads too slowly.
            OSError: The connection is broken.
        """
        if self._buffer:
            self.writer.write(bytes(self._buffer))
            self._buffer.clear()
        async with asyncio.timeout(self._progress_timeout_s):
            await self.writer.drain()

    def reset_seq(self) -> None:
        """Restart the packet sequence numbers for the next command."""
        self._sequence = 0

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Upgrade the connection to TLS."""
        await self.writer.start_tls(context)

    async def _read_packet(self) -> bytes:
        try:
            header = await self.reader.readexactly(_HEADER.size)
            word = _HEADER.unpack(header)[0]
            payload = await self.reader.readexactly(
                word & _MAX_PACKET_PAYLOAD_BYTES
            )
        except (asyncio.IncompleteReadError, OSError) as error:
            raise mimic_stream.ConnectionClosed from error
        if word >> _SEQUENCE_SHIFT != self._next_sequence():
            raise mimic_stream.ConnectionClosed
        return payload

    def _append(self, packet: bytes | memoryview) -> None:
        word = len(packet) | self._next_sequence() << _SEQUENCE_SHIFT
        self._buffer += _HEADER.pack(word)
        self._buffer += packet

    def _next_sequence(self) -> int:
        number = self._sequence
        self._sequence = (number + 1) & _SEQUENCE_MASK
        return number
