"""MySQL server for callers, based on mysql-mimic."""

import asyncio
import socket
import ssl
import struct

from mysql_mimic import control as mimic_control
from mysql_mimic import errors as mimic_errors
from mysql_mimic import stream as mimic_stream

from celeryrelay.adapters import (
    caller_auth,
    caller_connection,
    caller_stream,
)
from celeryrelay.conf import settings

KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3
LISTEN_BACKLOG = 1024
_MS_PER_S = 1000


class CallerServer:
    """Accepts connections from callers."""

    def __init__(
        self,
        provider: caller_connection.SessionProvider,
        options: settings.StatementSettings,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server that is not listening yet."""
        self._provider = provider
        self._options = options
        self._tls = tls
        self._identity_provider = caller_auth.IdentityProvider(provider)
        self._control = mimic_control.LocalControl()
        self._server: asyncio.Server | None = None
        self._open_writers: set[asyncio.StreamWriter] = set()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open_writers)

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port, which the system chooses for 0.

        Raises:
            OSError: Listening on the address failed.
        """
        self._server = await asyncio.start_server(
            self._serve_connection,
            host,
            port,
            backlog=LISTEN_BACKLOG,
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    def close_all(self) -> None:
        """Close all open connections."""
        for writer in tuple(self._open_writers):
            writer.close()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        _enable_keepalive(writer)
        self._open_writers.add(writer)
        connection = caller_connection.CallerConnection(
            stream=caller_stream.PacketStream(
                reader,
                writer,
                self._options.max_packet_bytes,
                self._options.progress_timeout_ms / _MS_PER_S,
            ),
            session=caller_connection.SessionState(),
            control=self._control,
            identity_provider=self._identity_provider,
            ssl=self._tls,
        )
        connection.connection_id = await self._control.add(connection)
        caller_session = self._provider.session(connection.connection_id)
        connection.attach_session(caller_session)
        try:
            await connection.start()
        except _CONNECTION_ERRORS:
            # A failed handshake or connection ends only the session of this
            # caller.
            writer.close()
        finally:
            await self._clean_up(connection, caller_session)

    async def _clean_up(
        self,
        connection: caller_connection.CallerConnection,
        caller_session: caller_connection.CallerSession,
    ) -> None:
        writer = connection.stream.writer
        self._open_writers.discard(writer)
        writer.close()
        await self._control.remove(connection.connection_id)
        await caller_session.close()


def _enable_keepalive(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


_CONNECTION_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    IndexError,
    AssertionError,
    struct.error,
    mimic_stream.ConnectionClosed,
    mimic_errors.MysqlError,
)
