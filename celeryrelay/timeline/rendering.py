"""Filtering of events and their formatting as text."""

import dataclasses
import datetime
import typing

import orjson

from celeryrelay.timeline import events

MS_PER_SECOND = 1000
INCARNATION_DIGITS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Conditions on events; empty conditions are not checked.

    Attributes:
        session: Required value of the field `session`.
        request: Required value of the field `request`.
        group: Required value of the field `group`.
        term: Required value of the field `term`; None for any.
        kinds: Allowed kinds of events.
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
        '{0}={1}'.format(
            _quote_unless_word(key), _quote_unless_word(event.fields[key])
        )
        for key in event.fields
    )
    line = '{0} {1}[{2}] #{3} @{4} {5} {6}'.format(
        moment.isoformat(timespec='milliseconds'),
        _quote_unless_word(event.instance),
        _quote_unless_word(event.incarnation[:INCARNATION_DIGITS]),
        event.sequence,
        event.clock,
        _quote_unless_word(event.kind),
        fields,
    )
    return line.rstrip()


def _quote_unless_word(content: typing.Any) -> str:
    """Return a string as it is if it is one printable word, else as JSON."""
    if isinstance(content, str):
        is_word = content.isprintable() and not set(content) & set(' "=')
        if is_word and content:
            return content
    return orjson.dumps(content).decode()
