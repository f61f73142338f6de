"""Codec of the messages between daemons: length, kind and MessagePack."""

import struct
import typing

import msgspec
import result

from celeryrelay.gateway import commands, connection_state, link_messages
from celeryrelay.sessions import statements

# The largest statement or reply, 1 MiB, with all that is around it.
MAX_FRAME_BYTES = 2 * 1024 * 1024
_LENGTH = struct.Struct('>I')

_KINDS: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        commands.Begin,
        commands.Rollback,
        commands.AskStatus,
        commands.StepDown,
        link_messages.Hello,
        link_messages.Acquire,
        link_messages.Release,
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
_STATEMENTS: dict[str, type] = {
    kind.__name__: kind
    for kind in (statements.Run, statements.RunPrepared, statements.Commit)
}


class _Tagged(msgspec.Struct, array_like=True):
    """A value whose type is known by its name."""

    kind: str
    content: msgspec.Raw


class _Run(msgspec.Struct):
    """`commands.Run` with a tagged statement."""

    request_id: str
    statement: _Tagged
    prepared_name: str
    bound: commands.positions.Position | None


class _Execute(msgspec.Struct):
    """`link_messages.Execute` with tagged commands."""

    lease_id: int
    first_call: int
    batch: list[_Tagged]
    needs: connection_state.RequiredSessionState | None


_Value = typing.TypeVar('_Value')


def encode(message: link_messages.Message) -> bytes:
    """Return the frame of a message."""
    body = msgspec.msgpack.encode(_tagged(message))
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> result.Result[link_messages.Message, str]:
    """Return the message of a frame's body."""
    try:
        return result.Ok(
            _untagged(msgspec.msgpack.decode(body, type=_Tagged)),
        )
    except (msgspec.MsgspecError, KeyError) as error:
        return result.Err('unreadable message: {0}'.format(error))


class FrameSplitter:
    """Cuts received bytes into the bodies of frames."""

    def __init__(self) -> None:
        """Start without bytes."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> result.Result[list[bytes], str]:
        """Return the bodies that are complete now.

        An error means that the stream can't be read any further.
        """
        self._buffer += received
        found: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            size = _LENGTH.unpack_from(self._buffer, start)[0]
            if size > MAX_FRAME_BYTES:
                return result.Err('frame of {0} bytes'.format(size))
            end = start + _LENGTH.size + size
            if len(self._buffer) < end:
                break
            found.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return result.Ok(found)


def _tagged(value: typing.Any) -> _Tagged:
    match value:
        case link_messages.Execute():
            content: typing.Any = _Execute(
                value.lease_id,
                value.first_call,
                [_tagged(command) for command in value.batch],
                value.needs,
            )
        case commands.Run():
            content = _Run(
                value.request_id,
                _tagged(value.statement),
                value.prepared_name,
                value.bound,
            )
        case _:
            content = value
    return _Tagged(
        type(value).__name__,
        msgspec.Raw(msgspec.msgpack.encode(content)),
    )


def _untagged(tagged: _Tagged) -> typing.Any:
    match tagged.kind:
        case 'Execute':
            return _execute(_content(tagged, _Execute))
        case 'Run':
            return _run(_content(tagged, _Run))
    return _content(tagged, _KINDS[tagged.kind])


def _execute(raw: _Execute) -> link_messages.Execute:
    return link_messages.Execute(
        raw.lease_id,
        raw.first_call,
        tuple(_untagged(command) for command in raw.batch),
        raw.needs,
    )


def _run(raw: _Run) -> commands.Run:
    return commands.Run(
        raw.request_id,
        _content(raw.statement, _STATEMENTS[raw.statement.kind]),
        raw.prepared_name,
        raw.bound,
    )


def _content(tagged: _Tagged, content_type: type[_Value]) -> _Value:
    return msgspec.msgpack.decode(tagged.content, type=content_type)
