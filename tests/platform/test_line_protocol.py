"""Guards against texts that change on their way and against smuggling."""

import hypothesis
from hypothesis import strategies

from celeryrelay.core import outcomes, positions
from celeryrelay.platform import line_protocol
from celeryrelay.sessions import statements

SETTINGS = hypothesis.settings(derandomize=True, max_examples=200)
WORDS = strategies.text(
    strategies.characters(min_codepoint=33, max_codepoint=255),
    min_size=1,
    max_size=12,
)
LINES = strategies.lists(
    strategies.binary(max_size=30).filter(lambda raw: b'\r' not in raw),
    max_size=8,
)


@SETTINGS
@hypothesis.given(LINES, strategies.lists(strategies.integers(1, 7)))
def test_lines_do_not_depend_on_how_the_bytes_arrive(lines, sizes):
    stream = b''.join(line + line_protocol.LINE_END for line in lines)
    splitter = line_protocol.LineSplitter()
    found = []
    for size in [*sizes, len(stream)]:
        piece, stream = stream[:size], stream[size:]
        found.extend(splitter.feed(piece).ok_value)
    assert found == lines


@SETTINGS
@hypothesis.given(WORDS, WORDS, WORDS)
def test_texts_of_reads_and_writes_are_kept(request_id, item, data):
    hypothesis.assume(request_id != line_protocol.OWN_ID)
    hypothesis.assume('\x85' not in request_id + item + data)
    text = 'WRITE {0} {1}'.format(item, data)
    raw = 'QUERY {0} {1}'.format(request_id, text).encode(
        line_protocol.ENCODING
    )
    request = line_protocol.parse_caller(raw)
    assert request == statements.Request(
        request_id,
        statements.Run(text, writes=True),
    )
    assert text.encode(line_protocol.ENCODING) in raw


@SETTINGS
@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_are_a_message_or_a_clear_error(raw):
    match line_protocol.parse_caller(raw):
        case line_protocol.BadMessage(problem):
            assert problem
        case statements.Request(request_id):
            assert request_id not in {'', line_protocol.OWN_ID}
            assert not set(raw) & set(b'\r\n\0')


def test_message_longer_than_allowed_is_refused():
    """Guards against memory that one caller fills."""
    splitter = line_protocol.LineSplitter()
    assert splitter.feed(b'x' * (line_protocol.MAX_MESSAGE_BYTES + 1)).is_err()


def test_statements_of_the_daemon_are_not_taken_from_callers():
    """Guards against callers that pass commands to a database."""
    for text in (
        'AFTER 3.1 READ x',
        'STATUS',
        'PAUSE 9',
        'STEPDOWN 9',
        'RESET',
    ):
        assert isinstance(
            line_protocol.parse_statement(text), statements.Malformed
        )


def test_refusals_promise_only_what_is_true():
    """Guards against a promise for a statement that may have run."""
    promises = {b'BUSY', b'ABORTED', b'LAGGING', b'READONLY', b'MISROUTED'}
    for reason in outcomes.Reason:
        line = line_protocol.format_refusal(
            outcomes.OutcomeUnknown(reason, 'why')
        )
        assert line.split(b' ')[1] not in promises


def test_positions_survive_the_wire():
    position = positions.Position('g', 3, 1207)
    text = line_protocol.format_position(position)
    assert line_protocol.parse_position(text, 'g') == position
    for wrong in ('-', '3', '3.', 'x.1', '3.1.2', '٣.1'):
        assert line_protocol.parse_position(wrong, 'g') is None
