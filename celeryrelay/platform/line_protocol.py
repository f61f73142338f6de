"""Codec of the line protocol that callers and backend servers speak.

A message is one line: a keyword followed by fields that are separated by
spaces. The last field extends to the end of the line. Lines are decoded as
Latin-1, which maps each byte to one character and back, so statement texts
are forwarded byte for byte.
"""

import dataclasses
import re

import result

from celeryrelay.accounts import directory
from celeryrelay.core import outcomes, positions
from celeryrelay.sessions import statements

ENCODING = 'latin-1'
MAX_MESSAGE_BYTES = 1024 * 1024
LINE_END = b'\r\n'
# Request id of statements that the daemon issues itself.
INTERNAL_REQUEST_ID = '-'

_NUMBER = re.compile('[0-9]{1,18}')
_POSITION = re.compile(r'([0-9]{1,18})[.]([0-9]{1,18})')
# Lines end with CR LF only, but a backend server might also accept one of these
# bytes as the end of a line and run the rest as a second statement.
_FORBIDDEN_BYTES = re.compile(rb'[\r\n\0]')
_CONTROL_CHARACTERS = re.compile('[\0-\x1f]')


@dataclasses.dataclass(frozen=True, slots=True)
class SessionEnd:
    """Request of a caller to end its session."""


@dataclasses.dataclass(frozen=True, slots=True)
class BadMessage:
    """A line that is not a valid caller message.

    Attributes:
        problem: Why the line was rejected.
    """

    problem: str


CallerMessage = (
    statements.SessionStart | SessionEnd | statements.Request | BadMessage
)


class LineSplitter:
    """Splits a byte stream into lines."""

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._buffer = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes of the unfinished line."""
        return len(self._buffer)

    def feed(self, received: bytes) -> result.Result[list[bytes], str]:
        """Append received bytes and return the lines completed by them.

        Line ends are removed. After an error the stream can't be split any
        further and its connection has to be closed.
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
    """Parse a line that a caller sent."""
    if _FORBIDDEN_BYTES.search(line):
        return BadMessage('line with a carriage return, line feed or NUL')
    keyword, _, rest = line.decode(ENCODING).partition(' ')
    match keyword:
        case 'QUERY':
            return _parse_query(rest, len(line))
        case 'START':
            return _parse_start(rest)
        case 'QUIT':
            return SessionEnd()
        case _:
            return BadMessage('unknown message')


def _parse_start(rest: str) -> CallerMessage:
    database, _, credentials = rest.partition(' ')
    if not database:
        return BadMessage('session start without a database')
    api_key, _, _ = credentials.partition(' ')
    if not api_key:
        return statements.SessionStart(database)
    # Like the configuration, callers encode keys as UTF-8.
    key = api_key.encode(ENCODING).decode('utf-8', 'surrogateescape')
    return statements.SessionStart(database, directory.digest(key))


def _parse_query(rest: str, size_bytes: int) -> CallerMessage:
    request_id, _, text = rest.partition(' ')
    if not request_id or request_id == INTERNAL_REQUEST_ID:
        return BadMessage('statement without an id')
    return statements.Request(request_id, parse_statement(text), size_bytes)


def parse_statement(text: str) -> statements.Statement:
    """Parse the statement text of a QUERY message."""
    keyword, _, rest = text.partition(' ')
    match keyword:
        case 'READ' | 'WRITE':
            return _parse_run(text, keyword == 'WRITE', rest)
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
            return _parse_session_statement(keyword, rest)
    return statements.Malformed('{0} with wrong fields'.format(keyword))


def _parse_run(text: str, writes: bool, rest: str) -> statements.Statement:
    item, _, content = rest.partition(' ')
    if not item or (writes and not content):
        return statements.Malformed('statement without an item or its data')
    return statements.Run(text, writes)


def _parse_session_statement(keyword: str, rest: str) -> statements.Statement:
    name, _, value = rest.partition(' ')
    match keyword:
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
    """Parse a log position `term.offset`; None if `text` is not one."""
    found = _POSITION.fullmatch(text)
    if found is None:
        return None
    return positions.Position(group, int(found[1]), int(found[2]))


def parse_term(text: str) -> int | None:
    """Parse the number of a term; None if `text` is not one."""
    return int(text) if _NUMBER.fullmatch(text) else None


def format_position(position: positions.Position | None) -> str:
    """Format a log position as `term.offset`, an unknown one as `-`."""
    if position is None:
        return '-'
    return '{0}.{1}'.format(position.term, position.offset)


# Error codes of the protocol, which has fewer codes than the daemon has
# reasons. Reasons that are not listed are reported as BUSY.
_REFUSAL_CODES = {
    outcomes.Reason.transaction_lost: 'ABORTED',
    outcomes.Reason.lagging: 'LAGGING',
    outcomes.Reason.unknown_database: 'NODB',
    outcomes.Reason.unknown_key: 'NOAUTH',
    outcomes.Reason.unknown_statement: 'NOSTMT',
    outcomes.Reason.malformed: 'MALFORMED',
}


def format_refusal(refusal: outcomes.NotRun | outcomes.OutcomeUnknown) -> bytes:
    """Return the ERR line for a refusal or an unknown outcome."""
    match refusal:
        case outcomes.NotRun():
            code = _REFUSAL_CODES.get(refusal.reason, 'BUSY')
            text = '{0}: {1}'.format(refusal.reason.value, refusal.message)
            if refusal.retry_after_ms:
                text = '{0}, retry_after_ms={1}'.format(
                    text,
                    refusal.retry_after_ms,
                )
        case outcomes.OutcomeUnknown(outcomes.Reason.deadline, message):
            code, text = 'TIMEOUT', message
        case outcomes.OutcomeUnknown(reason, message):
            code, text = 'INDOUBT', '{0}: {1}'.format(reason.value, message)
    words = _CONTROL_CHARACTERS.sub(' ', text)
    return 'ERR {0} {1}\r\n'.format(code, words).encode(ENCODING, 'replace')


def format_ready(state: str, position: positions.Position | None) -> bytes:
    """Return the READY line, which ends each answer.

    Args:
        state: `I` if no transaction is open, `T` if one is open, `E` if the
            open transaction has failed.
        position: Log position of the session, if known.
    """
    line = 'READY {0} {1}\r\n'.format(state, format_position(position))
    return line.encode(ENCODING)
