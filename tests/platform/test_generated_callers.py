"""Generated input of callers, to real sessions without backend servers."""

import asyncio
import re

import hypothesis
import pytest
from hypothesis import strategies

from celeryrelay.adapters import connection_guard
from celeryrelay.admission import input_memory
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes
from celeryrelay.gateway import application, commands
from celeryrelay.platform import callers, line_protocol
from tests.gateway import test_failover
from tests.platform import test_callers

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None
)
MIB = 1024 * 1024
WORDS = strategies.sampled_from(
    [
        *('START', 'QUERY', 'QUIT', 'READY', 'd1', 'd2', 'q1', '-', ''),
        *('BEGIN', 'READ', 'COMMIT', 'ROLLBACK', 'WRITE', 'SET', 'PREPARE'),
        *('EXEC', 'DEALLOC', 'AFTER', '1.2', 'STATUS', 'STEPDOWN', 'RESET'),
        *('\xff', '\x00', '\r', '\n', 'a' * 300),
    ]
)
LINES = strategies.lists(WORDS, max_size=6).map(' '.join)
STATEMENTS = LINES.map('QUERY q {0}'.format)
SESSIONS = strategies.lists(LINES | STATEMENTS, max_size=12).map(
    lambda lines: ''.join(f'{one}\r\n' for one in ['START d1 x', *lines])
)
ANSWER_LINE = re.compile(
    rb'READY [ITE] (-|[0-9]+[.][0-9]+)|DONE \S+|ERR [A-Z]+ [^\r\n]*'
)


class FakeTransport:
    """Records what is written until it is closed."""

    def __init__(self):
        self.written = bytearray()
        self.closed = False
        self.reading = True

    def get_extra_info(self, name):
        """Return nothing, since there is no socket."""

    def write(self, content):
        assert not self.closed
        self.written += content

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return 0

    def close(self):
        self.closed = True


async def reply(*_):
    return commands.Reply(b'DONE proof\r\n', None, None)


async def never(*_):
    await asyncio.Event().wait()


def make_connection(run=reply):
    daemon = application.Application(
        test_failover.OPTIONS,
        application.Adapters(None, None, None, None),
        clocks.SystemClock(),
    )
    daemon.on_change(test_callers.make_configuration())
    executors = daemon.sessions.executors
    for executor in (
        *(executors.reader, executors.writer),
        executors.transactions,
    ):
        executor.run = run
    connection = callers.CallerConnection(
        daemon.sessions,
        connection_guard.ConnectionGuard(
            'callers', 8, input_memory.InputMemory(1 << 24), print
        ),
    )
    connection.connection_made(FakeTransport())
    return connection


async def play(stream, sizes):
    connection = make_connection()
    transport = connection._transport
    for size in [*sizes, len(stream) + 1]:
        if stream and not transport.closed:
            connection.data_received(stream[:size])
            stream = stream[size:]
    for _ in range(40):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    return bytes(transport.written)


@SETTINGS
@hypothesis.given(SESSIONS, strategies.lists(strategies.integers(1, 40)))
def test_sessions_give_whole_answers_however_they_are_split(text, sizes):
    stream = text.encode('latin-1')
    whole = asyncio.run(play(stream, []))
    assert asyncio.run(play(stream, sizes)) == whole
    for line in whole.split(b'\r\n')[:-1]:
        assert ANSWER_LINE.fullmatch(line), line


@SETTINGS
@hypothesis.given(strategies.binary(max_size=400))
def test_any_bytes_are_answered_or_end_the_connection(stream):
    asyncio.run(play(stream, []))


@SETTINGS
@hypothesis.given(LINES)
def test_statement_text_of_a_caller_is_one_that_callers_may_send(text):
    match line_protocol.parse_statement(text):
        case line_protocol.statements.Run(text=forwarded):
            assert forwarded == text
            assert text.startswith(('READ ', 'WRITE '))


@pytest.mark.parametrize(
    'statement',
    [
        'SET {0} {1}',
        'PREPARE {0} READ {1}',
        'WRITE {0} {1}',
    ],
)
async def test_one_session_stores_a_few_mebibytes_at_most(statement):
    """Guards against one caller that uses up the daemon's memory."""
    connection = make_connection(never)
    connection.data_received(b'START d1 x\r\n')
    session = connection._session

    for number in range(40):
        text = statement.format(f'n{number}', 'x' * (MIB - 100))
        connection.data_received(f'QUERY q {text}\r\n'.encode())
        if connection._transport.closed:
            break
    state = session._state
    stored = sum(map(len, state.variables.values()))
    stored += sum(len(one.shape) for one in state.prepared_statements.values())
    stored += sum(
        len(request.statement.text) for request, _ in session._requests
    )
    assert stored < 4 * MIB


async def test_pipelined_statements_do_not_hold_up_other_work():
    """Guards against a caller whose statements block the event loop."""
    connection = make_connection()
    connection.data_received(b'START d1 x\r\n')
    transport = connection._transport
    connection.data_received(b'QUERY q SET a b\r\n' * 10_000)
    most = 0
    while not transport.reading:
        before = transport.written.count(b'READY')
        await asyncio.sleep(0)
        most = max(most, transport.written.count(b'READY') - before)
    assert transport.written.count(b'READY') == 10_001
    assert 0 < most <= 100


async def test_caller_that_reads_nothing_is_not_read_from():
    """Guards against reading on while answers wait for the caller."""
    connection = make_connection()
    connection.data_received(b'START d1 x\r\n')
    connection.pause_writing()
    connection.data_received(b'QUERY q SET a b\r\n' * 200)
    for _ in range(10):
        await asyncio.sleep(0)
    assert not connection._transport.reading
    connection.resume_writing()
    assert connection._transport.reading


async def test_pending_messages_store_a_few_mebibytes_at_most():
    """Guards against callers that use up the memory before a configuration."""
    daemon = application.Application(
        test_failover.OPTIONS,
        application.Adapters(None, None, None, None),
        clocks.SystemClock(),
    )
    connection = callers.CallerConnection(
        daemon.sessions,
        connection_guard.ConnectionGuard(
            'callers', 8, input_memory.InputMemory(1 << 24), print
        ),
    )
    connection.connection_made(FakeTransport())
    connection.data_received(b'START d1 x\r\n')
    for _ in range(8):
        if not connection._transport.closed:
            large = b'QUERY q WRITE i ' + b'x' * (MIB - 100) + b'\r\n'
            connection.data_received(large)
    assert connection._transport.closed
    connection.connection_lost(None)


async def test_variable_can_be_set_again_at_the_limit():
    """Guards against refusing a statement that needs no more memory."""
    connection = make_connection()
    connection.data_received(b'START d1 x\r\n')
    for number in (*range(256), 0):
        connection.data_received(f'QUERY q SET n{number} 1\r\n'.encode())
    assert b'ERR' not in connection._transport.written


@SETTINGS
@hypothesis.given(
    strategies.sampled_from(outcomes.Reason),
    strategies.text(max_size=20) | strategies.just('reset\r\nDONE proof'),
    strategies.sampled_from([outcomes.NotRun, outcomes.OutcomeUnknown]),
)
def test_any_reason_for_a_refusal_is_sent_as_one_line(reason, message, kind):
    line = line_protocol.format_refusal(kind(reason, message))
    assert ANSWER_LINE.fullmatch(line.removesuffix(b'\r\n'))


def test_reason_of_another_daemon_in_other_letters_is_sent():
    """Guards against a session that ends without an answer."""
    refusal = outcomes.NotRun(outcomes.Reason.connections, 'Žilina\r\nDONE x')
    line = line_protocol.format_refusal(refusal)
    assert line.count(b'\n') == 1
