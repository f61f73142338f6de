"""Codec of the messages on links between daemons.

A frame is a 4-byte length followed by a body. The body is a MessagePack array
of the name of the message type and the content of the message.
"""

import struct
import sys
import typing

import msgspec
import result

from celeryrelay.core import ranks
from celeryrelay.gateway import commands
from celeryrelay.gateway.connections import connection_state
from celeryrelay.gateway.links import link_messages
from celeryrelay.sessions import statements

# Room for the largest reply, and for the largest statement with the state of its
# session, whose texts may have two bytes for each byte of the caller.
MAX_FRAME_BYTES = 2 * commands.MAX_REPLY_BYTES
_LENGTH = struct.Struct('>I')

_MESSAGE_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        commands.Begin,
        commands.Rollback,
        commands.AskStatus,
        commands.StepDown,
        commands.PauseReplication,
        commands.ResumeReplication,
        link_messages.Hello,
        link_messages.Acquire,
        link_messages.Release,
        link_messages.TryBegin,
        link_messages.AskEvidence,
        link_messages.EvidenceAnswer,
        link_messages.RequestQuota,
        link_messages.QuotaAnswer,
        link_messages.Ping,
        link_messages.Queued,
        link_messages.Granted,
        link_messages.Refused,
        link_messages.Answered,
        link_messages.Failed,
        link_messages.Revoked,
        link_messages.Leaving,
        link_messages.Pong,
    )
}
_STATEMENT_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (statements.Run, statements.RunPrepared, statements.Commit)
}


class _Tagged(msgspec.Struct, array_like=True):
    """A value together with the name of its type."""

    kind: str
    content: msgspec.Raw


class _Run(msgspec.Struct):
    """Encoded form of `commands.Run`, with a tagged statement."""

    request_id: str
    statement: _Tagged
    prepared_name: str
    bound: commands.positions.Position | None


class _Acquire(msgspec.Struct):
    """Encoded form of `link_messages.Acquire`, with a finite time."""

    lease_id: int
    server_id: str
    rank: ranks.Rank
    wait_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]
    account: str | None = None


class _EvidenceAnswer(msgspec.Struct):
    """Encoded form of `link_messages.EvidenceAnswer`, with a finite age."""

    lease_id: int
    version: int
    age_ms: (
        typing.Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]
        | None
    )
    newest_version: int


class _Execute(msgspec.Struct):
    """Encoded form of `link_messages.Execute`, with tagged commands."""

    lease_id: int
    first_call: int
    batch: list[_Tagged]
    needs: connection_state.RequiredSessionState | None


_Value = typing.TypeVar('_Value')


def encode(message: link_messages.Message) -> bytes:
    """Encode a message as a frame."""
    body = msgspec.msgpack.encode(_tag(message))
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> result.Result[link_messages.Message, str]:
    """Decode the message in the body of a frame."""
    try:
        return result.Ok(
            _untag(msgspec.msgpack.decode(body, type=_Tagged)),
        )
    except (msgspec.MsgspecError, KeyError, RecursionError) as error:
        return result.Err('malformed link message: {0}'.format(error))


class FrameSplitter:
    """Splits a byte stream into the bodies of its frames."""

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._buffer = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes of the unfinished frame."""
        return len(self._buffer)

    def feed(self, received: bytes) -> result.Result[list[bytes], str]:
        """Append received bytes and return the bodies completed by them.

        After an error the stream can't be split any further and its link has
        to be closed.
        """
        self._buffer += received
        bodies: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            size = _LENGTH.unpack_from(self._buffer, start)[0]
            if size > MAX_FRAME_BYTES:
                return result.Err(
                    'frame of {0} bytes exceeds the size limit'.format(size)
                )
            end = start + _LENGTH.size + size
            if len(self._buffer) < end:
                break
            bodies.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return result.Ok(bodies)


def _tag(value: typing.Any) -> _Tagged:
    match value:
        case link_messages.Execute():
            content: typing.Any = _Execute(
                value.lease_id,
                value.first_call,
                [_tag(command) for command in value.batch],
                value.needs,
            )
        case commands.Run():
            content = _Run(
                value.request_id,
                _tag(value.statement),
                value.prepared_name,
                value.bound,
            )
        case _:
            content = value
    return _Tagged(
        type(value).__name__,
        msgspec.Raw(msgspec.msgpack.encode(content)),
    )


def _untag(tagged: _Tagged) -> typing.Any:
    match tagged.kind:
        case 'Execute':
            return _restore_execute(_decode_content(tagged, _Execute))
        case 'Run':
            return _restore_run(_decode_content(tagged, _Run))
        case 'Acquire':
            raw = _decode_content(tagged, _Acquire)
            return link_messages.Acquire(
                raw.lease_id,
                raw.server_id,
                raw.rank,
                raw.wait_ms,
                raw.account,
            )
        case 'EvidenceAnswer':
            answer = _decode_content(tagged, _EvidenceAnswer)
            return link_messages.EvidenceAnswer(
                answer.lease_id,
                answer.version,
                answer.age_ms,
                answer.newest_version,
            )
    return _decode_content(tagged, _MESSAGE_TYPES[tagged.kind])


def _restore_execute(raw: _Execute) -> link_messages.Execute:
    return link_messages.Execute(
        raw.lease_id,
        raw.first_call,
        tuple(_untag(command) for command in raw.batch),
        raw.needs,
    )


def _restore_run(raw: _Run) -> commands.Run:
    return commands.Run(
        raw.request_id,
        _decode_content(raw.statement, _STATEMENT_TYPES[raw.statement.kind]),
        raw.prepared_name,
        raw.bound,
    )


def _decode_content(tagged: _Tagged, content_type: type[_Value]) -> _Value:
    return msgspec.msgpack.decode(tagged.content, type=content_type)
