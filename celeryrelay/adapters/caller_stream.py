"""Packet stream of one caller connection.

The library's own stream class is compiled and can't be extended; this one has
the same interface and a limit for the size of a statement.
"""

import asyncio
import ssl
import struct
from collections import abc

from mysql_mimic import errors as mimic_errors
from mysql_mimic import stream as mimic_stream

ERROR_PACKET_TOO_LARGE = 1153
FLUSH_BYTES = 65536
_HEADER = struct.Struct('<I')
_PAYLOAD_BYTES = 0xFFFFFF
_SEQUENCE_SHIFT = 24
_SEQUENCE_MASK = 0xFF


class PacketStream:
    """Reads and writes MySQL packets.

    Writes are buffered until `FLUSH_BYTES` or a drain, which waits while the
    caller reads more slowly than the answer arrives.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limit: int,
        progress_timeout_s: float,
    ) -> None:
        """Wrap a connection; `limit` is the largest statement in bytes."""
        self.reader = reader
        self.writer = writer
        self._limit = limit
        self._progress_timeout_s = progress_timeout_s
        self._sequence = 0
        self._buffer = bytearray()

    async def read(self) -> bytes:
        """Return the next payload, joined from its packets.

        Raises:
            MysqlError: The payload exceeds the limit.
            ConnectionClosed: The caller closed the connection or sent a
                packet out of order.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            payload = await self._read_packet()
            size += len(payload)
            if size > self._limit:
                raise mimic_errors.MysqlError(
                    'statement exceeds max_packet_bytes',
                    ERROR_PACKET_TOO_LARGE,  # type: ignore[arg-type]
                )
            parts.append(payload)
            if len(payload) < _PAYLOAD_BYTES:
                return b''.join(parts)

    async def write(self, payload: bytes, drain: bool = True) -> None:
        """Write one payload, split into packets if it is large."""
        rest = memoryview(payload)
        while True:
            packet = rest[:_PAYLOAD_BYTES]
            rest = rest[_PAYLOAD_BYTES:]
            self._append(packet)
            if len(packet) < _PAYLOAD_BYTES:
                break
        if drain or len(self._buffer) >= FLUSH_BYTES:
            await self.drain()

    def write_many(self, payloads: abc.Iterable[bytes]) -> None:
        """Buffer several small payloads."""
        for payload in payloads:
            self._append(payload)

    async def drain(self) -> None:
        """Send what is buffered.

        Raises:
            TimeoutError: The caller read nothing for the progress timeout.
            OSError: The connection is broken.
        """
        if self._buffer:
            self.writer.write(bytes(self._buffer))
            self._buffer.clear()
        async with asyncio.timeout(self._progress_timeout_s):
            await self.writer.drain()

    def reset_seq(self) -> None:
        """Start the packet numbers of the next command."""
        self._sequence = 0

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Continue the connection under TLS."""
        await self.writer.start_tls(context)

    async def _read_packet(self) -> bytes:
        try:
            header = await self.reader.readexactly(_HEADER.size)
            word = _HEADER.unpack(header)[0]
            payload = await self.reader.readexactly(word & _PAYLOAD_BYTES)
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
