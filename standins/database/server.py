"""MySQL protocol server of a slot."""

import asyncio
import contextlib
import dataclasses
import typing

from mysql_mimic import auth, connection, constants, packets, stream, types
from mysql_mimic import control as mimic_control

from standins.database import (
    procedures,
    replication,
    session,
    slot_errors,
    statement_executor,
)
from standins.database import slot as slot_state

MILLISECONDS = 1000
_CAPABILITIES = (
    constants.DEFAULT_SERVER_CAPABILITIES
    & ~types.Capabilities.CLIENT_QUERY_ATTRIBUTES
)
_DISCONNECT_ERRORS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    stream.ConnectionClosed,
)


@dataclasses.dataclass(slots=True)
class ConnectionUsage:
    """Number of open client connections, without those of replicas."""

    connections: int = 0


class SlotConnection(connection.Connection):
    """MySQL connection whose OK packets carry the results of writes.

    The message of the OK packet of a commit holds term and log offset.
    """

    def __init__(
        self,
        mysql_stream: stream.MysqlStream,
        slot_session: session.SlotSession,
        control: mimic_control.Control,
        usage: ConnectionUsage,
        tuning: slot_state.Tuning,
    ) -> None:
        """Create the connection that serves `slot_session`."""
        super().__init__(
            stream=mysql_stream,
            session=slot_session,
            control=control,
            identity_provider=auth.SimpleIdentityProvider(),
            server_capabilities=_CAPABILITIES,
        )
        self._slot_session = slot_session
        self._usage = usage
        self._tuning = tuning
        self._counted = False
        self.status_flags = slot_session.executor.status

    async def connection_phase(self) -> None:
        """Perform the handshake after the configured delay.

        Connections over the limit are refused without the delay.
        """
        if self._usage.connections < self._tuning.connection_limit:
            await asyncio.sleep(self._tuning.connection_cost_ms / MILLISECONDS)
        await super().connection_phase()

    async def authenticate(
        self,
        username: str,
        *arguments: typing.Any,
        **options: typing.Any,
    ) -> None:
        """Accept any user while the connection limit isn't reached.

        Connections of replicas don't count towards the limit.
        """
        if username != replication.USER and not self._counted:
            if self._usage.connections >= self._tuning.connection_limit:
                raise slot_errors.SlotError(
                    slot_errors.TOO_MANY_CONNECTIONS,
                    'Too many connections',
                )
            self._usage.connections += 1
            self._counted = True
        await super().authenticate(username, *arguments, **options)

    def release(self) -> None:
        """Stop counting this connection towards the limit."""
        if self._counted:
            self._usage.connections -= 1
            self._counted = False

    async def handle_query(self, data: bytes) -> None:
        """Run a text statement that may contain invalid UTF-8."""
        sql = data.decode('utf-8', 'surrogateescape')
        result_set = await self.query(sql, {})
        if result_set:
            await self.write_text_resultset(result_set)
        else:
            await self.stream.write(self.ok())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and reset the session state."""
        self._slot_session.executor.reset_session()
        await self.stream.write(self.ok())

    async def handle_ping(self, data: bytes) -> None:
        """Answer with an OK packet without the last statement's result."""
        self._slot_session.executor.last_result = statement_executor.OkResult()
        await self.stream.write(self.ok())

    def ok(self, **fields: typing.Any) -> bytes:
        """Return an OK packet with the last result and current status flags."""
        self.status_flags = self._slot_session.executor.status
        if fields:
            return super().ok(**fields)
        last_result = self._slot_session.executor.last_result
        packet = super().ok(
            affected_rows=last_result.affected_rows,
            last_insert_id=last_result.last_insert_id,
        )
        return packet + last_result.message.encode()

    def eof(self, **fields: typing.Any) -> bytes:
        """Return an EOF packet with the current status flags."""
        self.status_flags = self._slot_session.executor.status
        return super().eof(**fields)

    def error(self, **fields: typing.Any) -> bytes:
        """Return an error packet with the SQLSTATE of its error code."""
        message = fields.get('msg', '')
        code = int(fields.get('code', slot_errors.UNKNOWN))
        if isinstance(message, slot_errors.SlotError):
            code = int(message.code)
            message = message.msg
        packet = packets.make_error(
            capabilities=self.capabilities | _CAPABILITIES,
            server_charset=self.server_charset,
            msg=message,
            code=typing.cast(typing.Any, code),
        )
        state = slot_errors.SQLSTATES.get(code)
        if state is None:
            return packet
        return packet[:4] + state + packet[9:]


class SlotServer:
    """Accepts MySQL connections to one slot."""

    def __init__(self, slot: slot_state.Slot) -> None:
        """Create a server of `slot` that does not listen yet."""
        self.procedures = procedures.Procedures(slot)
        self._slot = slot
        self._usage = ConnectionUsage()
        self._service_time = statement_executor.ServiceTimeSimulator(
            slot.tuning
        )
        self._control = mimic_control.LocalControl()

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Start accepting connections."""
        return await asyncio.start_server(self._accept, host, port)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        slot_connection = SlotConnection(
            stream.MysqlStream(reader, writer),
            session.SlotSession(
                self._slot, self.procedures, self._service_time
            ),
            self._control,
            self._usage,
            self._slot.tuning,
        )
        slot_connection.connection_id = await self._control.add(slot_connection)
        await self._serve(slot_connection)
        slot_connection.release()
        writer.close()
        await self._control.remove(slot_connection.connection_id)

    async def _serve(self, slot_connection: SlotConnection) -> None:
        # asyncio streams of Python 3.11 log a cancelled handler as an error.
        with contextlib.suppress(
            *_DISCONNECT_ERRORS,
            slot_errors.SlotError,
            asyncio.CancelledError,
        ):
            await slot_connection.start()
