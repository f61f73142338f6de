"""Event log of one process."""

import collections
import dataclasses
import pathlib
import typing

import orjson

from celeryrelay.conf import settings
from celeryrelay.core import clock, errors, identity

MS_PER_SECOND = 1000
TIME_DIGITS = 3

# Limits the memory for unwritten events when the file system is slow: once this
# number is pending, `emit` itself writes them.
MAX_PENDING_EVENTS = 512


# Not frozen because creating a frozen instance costs several times as much.
@dataclasses.dataclass(slots=True)
class Event:
    """Event of one process.

    Attributes:
        instance: Peer address of the process.
        incarnation: Random id that the process draws at each start.
        sequence: Number of the event in this process, from 1 without gaps.
        clock: Lamport timestamp of the event.
        time_ms: Unix time in milliseconds.
        kind: Name of the kind of event.
        fields: Further values; they never replace one of the attributes above
            in the output.
        heard: Highest Lamport timestamp that the process has received, if a
            message raised it since the previous event; otherwise 0.
    """

    instance: str
    incarnation: str
    sequence: int
    clock: int
    time_ms: float
    kind: str
    fields: typing.Mapping[str, typing.Any]
    heard: int = 0

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the event as one flat dictionary."""
        header = self._header()
        return {**header, **self.fields, **header}

    def dump(self) -> bytes:
        """Return the event as a JSON line, including the line end.

        Values that JSON can't represent are converted to strings.
        """
        content = self.as_dict()
        try:
            return _dump_line(content)
        except TypeError:
            # Integers above 64 bits and strings with lone surrogates.
            plain = {key: ascii(content[key]) for key in self.fields}
            return _dump_line({**content, **plain, **self._header()})

    def _header(self) -> dict[str, typing.Any]:
        header = {
            'instance': self.instance,
            'incarnation': self.incarnation,
            'sequence': self.sequence,
            'clock': self.clock,
            'time_ms': round(self.time_ms, TIME_DIGITS),
            'kind': self.kind,
        }
        if self.heard:
            header['heard'] = self.heard
        return header


class EventLog:
    """Records events and maintains the Lamport clock of the process.

    Written by one task only; it is not thread-safe.
    """

    def __init__(
        self,
        own_identity: identity.Identity,
        process_clock: clock.Clock,
        log_settings: settings.TimelineSettings,
    ) -> None:
        """Open the log file if the settings name one.

        Raises:
            CeleryrelayError: The file can't be opened.
        """
        self.lost_events = 0
        self._identity = own_identity
        self._process_clock = process_clock
        self._enabled = log_settings.enabled
        self._sequence = 0
        self._clock = 0
        self._heard = 0
        self._highest_heard = 0
        self._recent: collections.deque[Event] = collections.deque(
            maxlen=log_settings.buffer_events,
        )
        self._pending: list[Event] = []
        self._file = None
        if log_settings.enabled and log_settings.path:
            self._file = _open_log(log_settings.path)

    def emit(self, kind: str, **fields: typing.Any) -> None:
        """Record an event of `kind`."""
        if not self._enabled:
            return
        self._sequence += 1
        self._clock += 1
        event = Event(
            self._identity.instance,
            self._identity.incarnation,
            self._sequence,
            self._clock,
            self._process_clock.wall() * MS_PER_SECOND,
            kind,
            fields,
            self._heard,
        )
        self._heard = 0
        self._recent.append(event)
        if self._file is not None:
            self._pending.append(event)
            if len(self._pending) >= MAX_PENDING_EVENTS:
                self.flush()

    def advance_clock(self) -> int:
        """Advance the Lamport clock and return it for an outgoing message."""
        self._clock += 1
        return self._clock

    def observe_clock(self, remote_clock: int) -> None:
        """Raise the Lamport clock to that of a received message."""
        if remote_clock > self._highest_heard:
            self._highest_heard = remote_clock
            self._heard = remote_clock
            self._clock = max(self._clock, remote_clock)

    def recent(self, after_sequence: int = 0) -> list[dict[str, typing.Any]]:
        """Return the buffered events with higher sequence numbers.

        The dictionaries contain only JSON types.
        """
        return [
            orjson.loads(event.dump())
            for event in self._recent
            if event.sequence > after_sequence
        ]

    def flush(self) -> None:
        """Write pending events to the file.

        The daemon calls this at least every 200 ms. Events that can't be
        written are dropped and counted in `lost_events`, so that a full disk
        doesn't stop the daemon; they leave a gap in the sequence numbers.
        """
        if self._file is None or not self._pending:
            return
        pending = self._pending
        self._pending = []
        lines = b''.join(event.dump() for event in pending)
        try:
            self._file.write(lines)
        except OSError:
            self.lost_events += len(pending)

    def close(self) -> None:
        """Write pending events and close the file."""
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None


def _dump_line(content: typing.Mapping[str, typing.Any]) -> bytes:
    return orjson.dumps(
        content,
        default=repr,
        option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS,
    )


def _open_log(path: str) -> typing.BinaryIO:
    """Open `path` for appending and end its last line if it is truncated.

    A process that was killed may have left a truncated last line.
    """
    try:
        log_file = pathlib.Path(path).open('a+b', buffering=0)
    except OSError as error:
        raise errors.CeleryrelayError(
            'timeline.path: given {0!r}; cannot be opened: {1}'.format(
                path,
                error,
            ),
        ) from error
    end = log_file.seek(0, 2)
    if end:
        log_file.seek(end - 1)
        if log_file.read(1) != b'\n':
            log_file.write(b'\n')
    return log_file
