"""Codec of the line protocol that callers and databases speak.

A message is a line of a word and fields; the last field extends to the end of
the line. Lines are decoded as Latin-1, which maps each byte to one character
and back, so texts are passed on unchanged.
"""

import dataclasses
import re

import result

from celeryrelay.core import outcomes, positions
from celeryrelay.sessions import statements

ENCODING = 'latin-1'
MAX_MESSAGE_BYTES = 1024 * 1024
LINE_END = b'\r\n'
# Id of statements that the daemon issues itself.
OWN_ID = '-'

_POSITION = re.compile(r'([0-9]{1,18})[.]([0-9]{1,18})')
# Lines are split at CR LF; a database could take these for a line end, too.
_FORBIDDEN = re.compile(rb'[\r\n\0]')


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStart:
    """A caller opens a session at a database."""

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionEnd:
    """A caller ends its session."""


@dataclasses.dataclass(frozen=True, slots=True)
class BadMessage:
    """A line that is no message of a caller, and what is wrong with it."""

    problem: str


CallerMessage = SessionStart | SessionEnd | statements.Request | BadMessage


class LineSplitter:
    """Cuts received bytes into lines."""

    def __init__(self) -> None:
        """Start without bytes."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> result.Result[list[bytes], str]:
        """Return the lines that are complete now, without their ends.

        An error means that the stream can't be read any further.
        """
        self._buffer += received
        if LINE_END not in self._buffer:
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                return result.Err('message longer than 1 MiB')
            return result.Ok([])
        *lines, rest = bytes(self._buffer).split(LINE_END)
        self._buffer = bytearray(rest)
        if max(map(len, lines)) > MAX_MESSAGE_BYTES:
            return result.Err('message longer than 1 MiB')
        return result.Ok(lines)


def parse_caller(line: bytes) -> CallerMessage:
    """Return the message of a caller's line."""
    if _FORBIDDEN.search(line):
        return BadMessage('line with a carriage return, line feed or NUL')
    word, _, rest = line.decode(ENCODING).partition(' ')
    match word:
        case 'QUERY':
            return _parse_query(rest)
        case 'START':
            database, _, _ = rest.partition(' ')
            return (
                SessionStart(database)
                if database
                else BadMessage('session start without a database')
            )
        case 'QUIT':
            return SessionEnd()
        case _:
            return BadMessage('unknown message')


def _parse_query(rest: str) -> CallerMessage:
    request_id, _, text = rest.partition(' ')
    if not request_id or request_id == OWN_ID:
        return BadMessage('statement without an id')
    return statements.Request(request_id, parse_statement(text))


def parse_statement(text: str) -> statements.Statement:
    """Return the statement of a query text."""
    word, _, rest = text.partition(' ')
    match word:
        case 'READ' | 'WRITE':
            return _parse_run(text, word == 'WRITE', rest)
        case 'EXEC':
            name, _, arguments = rest.partition(' ')
            if name and arguments:
                return statements.Execute(name, arguments)
        case 'BEGIN' if rest in {'', 'READ'}:
            return statements.Begin(read_only=rest == 'READ')
        case 'COMMIT' if text == 'COMMIT':
            return statements.Commit(text)
        case 'ROLLBACK' if text == 'ROLLBACK':
            return statements.Rollback()
        case _:
            return _parse_session_statement(word, rest)
    return statements.Malformed('{0} with wrong fields'.format(word))


def _parse_run(text: str, writes: bool, rest: str) -> statements.Statement:
    item, _, content = rest.partition(' ')
    if not item or (writes and not content):
        return statements.Malformed('statement without an item or its data')
    return statements.Run(text, writes)


def _parse_session_statement(word: str, rest: str) -> statements.Statement:
    name, _, value = rest.partition(' ')
    match word:
        case 'SET' if name and value:
            return statements.SetVariable(name, value)
        case 'PREPARE' if name:
            mode, _, shape = value.partition(' ')
            if mode in {'READ', 'WRITE'} and shape:
                template = statements.Template(shape, mode == 'WRITE')
                return statements.Prepare(name, template)
        case 'DEALLOC' if name and not value:
            return statements.Deallocate(name)
    return statements.Malformed('unknown statement or wrong fields')


def parse_position(text: str, group: str) -> positions.Position | None:
    """Return the log position in `text`, None if it holds none."""
    found = _POSITION.fullmatch(text)
    if found is None:
        return None
    return positions.Position(group, int(found[1]), int(found[2]))


def format_position(position: positions.Position | None) -> str:
    """Return the wire form of a log position."""
    if position is None:
        return '-'
    return '{0}.{1}'.format(position.term, position.offset)


# The protocol has one word for several of the daemon's reasons.
_REFUSAL_WORDS = {
    outcomes.Reason.transaction_lost: 'ABORTED',
    outcomes.Reason.lagging: 'LAGGING',
    outcomes.Reason.unknown_database: 'NODB',
    outcomes.Reason.unknown_statement: 'NOSTMT',
    outcomes.Reason.malformed: 'MALFORMED',
}


def format_refusal(refusal: outcomes.NotRun | outcomes.OutcomeUnknown) -> bytes:
    """Return the error line for an outcome that the daemon reports itself."""
    match refusal:
        case outcomes.NotRun():
            word = _REFUSAL_WORDS.get(refusal.reason, 'BUSY')
            text = '{0}: {1}'.format(refusal.reason.value, refusal.message)
            if refusal.retry_after_ms:
                text = '{0}, retry_after_ms={1}'.format(
                    text,
                    refusal.retry_after_ms,
                )
        case outcomes.OutcomeUnknown(outcomes.Reason.deadline, message):
            word, text = 'TIMEOUT', message
        case outcomes.OutcomeUnknown(reason, message):
            word, text = 'INDOUBT', '{0}: {1}'.format(reason.value, message)
    return 'ERR {0} {1}\r\n'.format(word, text).encode(ENCODING)


def format_ready(state: str, position: positions.Position | None) -> bytes:
    """Return the line that ends each answer.

    Args:
        state: `I` outside of a transaction, `T` inside, `E` if it failed.
        position: Log position of the database, if known.
    """
    line = 'READY {0} {1}\r\n'.format(state, format_position(position))
    return line.encode(ENCODING)
