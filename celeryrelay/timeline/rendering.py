"""Selection and rendering of events."""

import dataclasses
import datetime
import typing

import orjson

from celeryrelay.timeline import events

MS_PER_SECOND = 1000
INCARNATION_DIGITS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Conditions that a shown event meets; empty ones are not checked.

    Attributes:
        session: Value of the field `session`.
        request: Value of the field `request`.
        group: Value of the field `group`.
        term: Value of the field `term`.
        kinds: Allowed kinds.
        since_ms: Earliest Unix time in milliseconds.
    """

    session: str = ''
    request: str = ''
    group: str = ''
    term: int | None = None
    kinds: tuple[str, ...] = ()
    since_ms: float = 0

    def matches(self, event: events.Event) -> bool:
        """Return whether `event` meets all conditions."""
        if event.time_ms < self.since_ms:
            return False
        if self.kinds and event.kind not in self.kinds:
            return False
        if self.term is not None and event.fields.get('term') != self.term:
            return False
        texts = ('session', 'request', 'group')
        return all(
            getattr(self, name) in {'', str(event.fields.get(name, ''))}
            for name in texts
        )


def format_event(event: events.Event) -> str:
    """Return the event as one line of text."""
    moment = datetime.datetime.fromtimestamp(
        event.time_ms / MS_PER_SECOND,
        tz=datetime.UTC,
    )
    fields = ' '.join(
        '{0}={1}'.format(_plain(key), _plain(event.fields[key]))
        for key in event.fields
    )
    line = '{0} {1}[{2}] #{3} @{4} {5} {6}'.format(
        moment.isoformat(timespec='milliseconds'),
        _plain(event.instance),
        _plain(event.incarnation[:INCARNATION_DIGITS]),
        event.sequence,
        event.clock,
        _plain(event.kind),
        fields,
    )
    return line.rstrip()


def _plain(content: typing.Any) -> str:
    """Return a text without blanks or control characters outside quotes."""
    if isinstance(content, str):
        is_word = content.isprintable() and not set(content) & set(' "=')
        if is_word and content:
            return content
    return orjson.dumps(content).decode()
