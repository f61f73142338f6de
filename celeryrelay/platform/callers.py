"""Connections of callers."""

import asyncio
import enum
import typing

import result

from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import commands, interfaces
from celeryrelay.adapters import sockets
from celeryrelay.platform import line_protocol
from celeryrelay.sessions import statements

_STATES = {
    interfaces.TransactionState.idle: 'I',
    interfaces.TransactionState.open: 'T',
    interfaces.TransactionState.failed: 'E',
}


# Messages that are kept while their session is being opened.
MAX_EARLY_MESSAGES = 64


class SessionOpener(typing.Protocol):
    """Opens a session for a caller's connection."""

    @property
    def has_configuration(self) -> bool:
        """Whether it is known which sessions may be opened."""

    async def wait_for_configuration(self) -> None:
        """Wait for that, for as long as a caller does well to wait."""

    def open(
        self,
        caller: interfaces.CallerConnection,
        database: str,
    ) -> interfaces.SessionHandler | outcomes.NotRun:
        """Return the session, or why there is none."""


class _Phase(enum.Enum):
    new = 'new'
    opening = 'opening'
    open = 'open'
    closed = 'closed'


class CallerConnection(asyncio.Protocol):
    """One caller's connection; answers keep the order of the statements."""

    def __init__(self, opener: SessionOpener) -> None:
        """Prepare a connection whose session `opener` opens."""
        self._opener = opener
        self._splitter = line_protocol.LineSplitter()
        self._transport: asyncio.Transport | None = None
        self._session: interfaces.SessionHandler | None = None
        self._phase = _Phase.new
        self._early: list[line_protocol.CallerMessage] = []
        self._opening: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        sockets.detect_silence(transport)

    def data_received(self, received: bytes) -> None:
        """Handle the messages that have come."""
        match self._splitter.feed(received):
            case result.Ok(lines):
                for line in lines:
                    self._on_message(line_protocol.parse_caller(line))
            case result.Err(problem):
                self._refuse(_malformed(problem))

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the session."""
        self._phase = _Phase.closed
        if self._opening is not None:
            self._opening.cancel()
        if self._session is not None:
            self._session.on_connection_lost()

    def pause_writing(self) -> None:
        """Stop reading statements of a caller that does not read answers."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read statements again."""
        if self._transport is not None and self._phase is not _Phase.closed:
            self._transport.resume_reading()

    def answer(
        self,
        answer: interfaces.Answer | None,
        state: interfaces.TransactionState,
        position: positions.Position | None,
    ) -> None:
        """Send an answer; None for a success of the daemon itself."""
        match answer:
            case None:
                content = b'DONE -\r\n'
            case commands.Reply():
                content = answer.payload
            case outcomes.NotRun() | outcomes.OutcomeUnknown():
                content = line_protocol.format_refusal(answer)
        self._write(
            content + line_protocol.format_ready(_STATES[state], position)
        )

    def close(self) -> None:
        """End the connection after what was sent."""
        self._phase = _Phase.closed
        if self._transport is not None:
            self._transport.close()

    def _on_message(self, message: line_protocol.CallerMessage) -> None:
        match (message, self._phase):
            case (_, _Phase.closed):
                return
            case (line_protocol.SessionEnd(), _):
                self.close()
            case (line_protocol.BadMessage(problem), _):
                self._refuse(_malformed(problem))
            case (line_protocol.SessionStart(database), _Phase.new):
                self._start(database)
            case (_, _Phase.opening):
                self._keep(message)
            case (statements.Request(), _Phase.open):
                self._session.on_request(message)
            case _:
                self._refuse(_malformed('message out of order'))

    def _start(self, database: str) -> None:
        if self._opener.has_configuration:
            self._open(database)
            return
        self._phase = _Phase.opening
        self._opening = asyncio.create_task(self._open_later(database))

    def _keep(self, message: line_protocol.CallerMessage) -> None:
        if len(self._early) >= MAX_EARLY_MESSAGES:
            self._refuse(_malformed('too many messages at once'))
            return
        self._early.append(message)

    async def _open_later(self, database: str) -> None:
        await self._opener.wait_for_configuration()
        self._opening = None
        self._open(database)
        while self._early:
            self._on_message(self._early.pop(0))

    def _open(self, database: str) -> None:
        match self._opener.open(self, database):
            case outcomes.NotRun() as refusal:
                self._refuse(refusal)
            case session:
                self._session = session
                self._phase = _Phase.open
                self._write(line_protocol.format_ready('I', None))

    def _refuse(self, refusal: outcomes.NotRun) -> None:
        self._write(line_protocol.format_refusal(refusal))
        self.close()

    def _write(self, content: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)


def _malformed(problem: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.malformed, problem)


async def listen(opener: SessionOpener, address: str) -> asyncio.Server:
    """Accept callers at `address`, `host:port`."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(opener),
        host,
        int(port),
        backlog=1024,
        reuse_address=True,
    )
