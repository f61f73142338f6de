"""Connections from callers, which speak the line protocol."""

import asyncio
import collections
import enum
import typing

import result

from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import commands, interfaces
from celeryrelay.adapters import acceptor, connection_guard, socket_options
from celeryrelay.platform import line_protocol
from celeryrelay.sessions import statements

_TRANSACTION_STATE_CODES = {
    interfaces.TransactionState.idle: 'I',
    interfaces.TransactionState.open: 'T',
    interfaces.TransactionState.failed: 'E',
}


# Limits on the statements that are buffered while their session is being
# opened; a caller that sends more is disconnected.
MAX_PENDING_MESSAGES = 64
MAX_PENDING_BYTES = 2 * line_protocol.MAX_MESSAGE_BYTES
# Longest wait for the first message of a connection that was refused.
REFUSED_LINGER_S = 0.1
# Messages of one caller that are handled before other tasks run.
MAX_MESSAGES_PER_TURN = 64


class SessionOpener(typing.Protocol):
    """Opens the session of a caller connection."""

    @property
    def has_configuration(self) -> bool:
        """Whether the configuration that `open` needs has been received."""

    async def wait_for_configuration(self) -> None:
        """Wait for the configuration, but no longer than callers wait."""

    def open(
        self,
        caller: interfaces.CallerConnection,
        start: statements.SessionStart,
    ) -> interfaces.SessionHandler | outcomes.NotRun:
        """Open a session, or return the reason for refusal."""


class _Phase(enum.Enum):
    new = 'new'
    refused = 'refused'
    opening = 'opening'
    open = 'open'
    closed = 'closed'


class CallerConnection(asyncio.Protocol):
    """A connection from a caller.

    Statements are pipelined: they are answered in the order in which they
    were received.
    """

    def __init__(
        self,
        opener: SessionOpener,
        guard: connection_guard.ConnectionGuard,
    ) -> None:
        """Create an unconnected protocol.

        Args:
            opener: Opens the session.
            guard: Limits the connections of callers.
        """
        self._opener = opener
        self._guard = guard
        self._splitter = line_protocol.LineSplitter()
        self._transport: asyncio.Transport | None = None
        self._session: interfaces.SessionHandler | None = None
        self._phase = _Phase.new
        self._pending_requests: list[statements.Request] = []
        self._opening_task: asyncio.Task | None = None
        self._unhandled: collections.deque[bytes] = collections.deque()
        self._writing_paused = False
        # Sizes in bytes of the statements without an answer.
        self._unanswered: collections.deque[int] = collections.deque()
        self._unanswered_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the TCP options, or refuse a connection beyond the limit."""
        self._transport = transport
        socket_options.set_tcp_options(transport)
        if not self._guard.admit(transport):
            self._refuse_at_limit(transport)

    def data_received(self, received: bytes) -> None:
        """Handle the messages that have been received in full."""
        if self._phase is _Phase.refused:
            self.close()
            return
        match self._splitter.feed(received):
            case result.Ok(lines):
                is_scheduled = bool(self._unhandled)
                self._unhandled.extend(lines)
                if not is_scheduled:
                    self._handle_lines()
            case result.Err(problem):
                self._refuse(_malformed(problem))

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the session that its connection has closed."""
        self._phase = _Phase.closed
        self._guard.discard(self._transport)
        if self._opening_task is not None:
            self._opening_task.cancel()
        if self._session is not None:
            self._session.on_connection_lost()

    def pause_writing(self) -> None:
        """Stop reading from a caller that does not read its answers."""
        self._writing_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading once the caller reads its answers again."""
        self._writing_paused = False
        self._resume_reading()

    def answer(
        self,
        answer: interfaces.Answer | None,
        state: interfaces.TransactionState,
        position: positions.Position | None,
    ) -> None:
        """Send the answer to a statement.

        Args:
            answer: Reply of the backend server or error of the daemon; None
                for a statement that the daemon has run itself.
            state: Transaction state of the session after the statement.
            position: Log position of the session, if known.
        """
        match answer:
            case None:
                content = b'DONE -\r\n'
            case commands.Reply():
                content = answer.payload
            case outcomes.NotRun() | outcomes.OutcomeUnknown():
                content = line_protocol.format_refusal(answer)
        self._write(
            content
            + line_protocol.format_ready(
                _TRANSACTION_STATE_CODES[state], position
            )
        )

        if self._unanswered:
            self._unanswered_bytes -= self._unanswered.popleft()
        self._report_memory()

    def close(self) -> None:
        """Close the connection after all written data has been sent."""
        self._phase = _Phase.closed
        if self._transport is not None:
            self._transport.close()

    def _handle_lines(self) -> None:
        """Handle received lines; leave further ones to the next turn."""
        for _ in range(min(len(self._unhandled), MAX_MESSAGES_PER_TURN)):
            line = self._unhandled.popleft()
            self._on_line(line)
        if self._phase is _Phase.closed:
            self._unhandled.clear()
        elif self._unhandled:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._handle_next_lines)
        else:
            self._resume_reading()
        self._report_memory()

    def _handle_next_lines(self) -> None:
        try:
            self._handle_lines()
        except Exception:
            # Otherwise the caller would wait for answers to further lines.
            self._transport.abort()
            raise

    def _resume_reading(self) -> None:
        is_busy = self._writing_paused or self._unhandled
        if self._transport is None or self._phase is _Phase.closed or is_busy:
            return
        self._transport.resume_reading()

    def _on_line(self, line: bytes) -> None:
        if self._phase is _Phase.closed:
            return
        message = line_protocol.parse_caller(line)
        if isinstance(message, statements.Request):
            self._unanswered.append(len(line))
            self._unanswered_bytes += len(line)
        self._on_message(message)

    def _report_memory(self) -> None:
        """Report how much the connection holds in buffers and queues."""
        if self._transport is None or self._phase is _Phase.closed:
            return
        self._guard.hold(
            self._transport,
            len(self._splitter)
            + sum(map(len, self._unhandled))
            + self._unanswered_bytes
            + self._transport.get_write_buffer_size(),
        )

    def _on_message(self, message: line_protocol.CallerMessage) -> None:
        match (message, self._phase):
            case (_, _Phase.closed):
                return
            case (line_protocol.SessionEnd(), _):
                self.close()
            case (line_protocol.BadMessage(problem), _):
                self._refuse(_malformed(problem))
            case (statements.SessionStart(), _Phase.new):
                self._start_session(message)
            case (statements.Request(), _Phase.opening):
                self._queue_request(message)
            case (statements.Request(), _Phase.open):
                self._session.on_request(message)
            case _:
                self._refuse(_malformed('message out of order'))

    def _start_session(self, start: statements.SessionStart) -> None:
        self._guard.keep(self._transport)
        if self._opener.has_configuration:
            self._open_session(start)
            return
        self._phase = _Phase.opening
        self._opening_task = asyncio.create_task(
            self._open_when_configured(start)
        )

    def _queue_request(self, request: statements.Request) -> None:
        self._pending_requests.append(request)
        size_bytes = sum(one.size_bytes for one in self._pending_requests)
        is_too_long = len(self._pending_requests) > MAX_PENDING_MESSAGES
        if is_too_long or size_bytes > MAX_PENDING_BYTES:
            self._pending_requests.clear()
            self._refuse(_malformed('too many messages at once'))

    async def _open_when_configured(
        self, start: statements.SessionStart
    ) -> None:
        await self._opener.wait_for_configuration()
        self._opening_task = None
        self._open_session(start)
        while self._pending_requests:
            self._on_message(self._pending_requests.pop(0))

    def _open_session(self, start: statements.SessionStart) -> None:
        match self._opener.open(self, start):
            case outcomes.NotRun() as refusal:
                self._refuse(refusal)
            case session:
                self._session = session
                self._phase = _Phase.open
                self._write(line_protocol.format_ready('I', None))

    def _refuse_at_limit(self, transport: asyncio.Transport) -> None:
        """Refuse a connection, which is closed after its first message.

        Closing it with unread bytes would reset it, and the caller might not
        receive the refusal.
        """
        self._phase = _Phase.refused
        self._guard.linger(transport)
        self._write(format_refusal_at_limit())
        loop = asyncio.get_running_loop()
        loop.call_later(REFUSED_LINGER_S, transport.abort)

    def _refuse(self, refusal: outcomes.NotRun) -> None:
        self._write(line_protocol.format_refusal(refusal))
        self.close()

    def _write(self, content: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)


def _malformed(problem: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.malformed, problem)


def format_refusal_at_limit() -> bytes:
    """Return the refusal of a connection beyond the limit."""
    refusal = outcomes.NotRun(
        outcomes.Reason.overload,
        'the daemon has as many connections as it may have',
        retry_after_ms=1000,
    )
    return line_protocol.format_refusal(refusal)


async def listen(
    opener: SessionOpener,
    address: str,
    guard: connection_guard.ConnectionGuard,
) -> acceptor.Acceptor:
    """Listen for callers on `address` (`host:port`)."""
    return await acceptor.listen(
        lambda: CallerConnection(opener, guard),
        address,
        lambda: guard.is_crowded,
    )
