"""Merging of the event logs of several processes into one timeline."""

import collections
import dataclasses
import typing
from collections import abc

import orjson
import pydantic
import result

from celeryrelay.accounting import sequences
from celeryrelay.timeline import events

# Largest assumed difference between the wall clocks of two processes. If the
# wall times of two events differ by more, they alone determine the order.
MAX_SKEW_MS = 5000

HEADER_KEYS = tuple(
    field.name
    for field in dataclasses.fields(events.Event)
    if field.name != 'fields'
)

# 1 January 9999; `datetime` can't represent times after that year.
LATEST_TIME_MS = 253_370_764_800_000

Process = tuple[str, str]
_EventsByProcess = dict[Process, collections.deque[events.Event]]


class HeaderModel(pydantic.BaseModel):
    """Header of an event; all other keys are fields of the event."""

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    instance: str
    incarnation: str
    sequence: typing.Annotated[int, pydantic.Field(ge=1)]
    clock: typing.Annotated[int, pydantic.Field(ge=1)]
    time_ms: typing.Annotated[
        float,
        pydantic.Field(ge=0, le=LATEST_TIME_MS),
    ]
    kind: str
    heard: typing.Annotated[int, pydantic.Field(ge=0)] = 0


def parse_line(line: bytes) -> result.Result[events.Event, str]:
    """Parse an event from a JSON line."""
    try:
        raw = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        return result.Err(str(error))
    return parse_event(raw)


def parse_event(raw: typing.Any) -> result.Result[events.Event, str]:
    """Parse an event from a JSON object; the error names the invalid key."""
    try:
        header = HeaderModel.model_validate(raw)
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        return result.Err(
            '{0}: {1}'.format(
                '.'.join(str(key) for key in problem['loc']),
                problem['msg'],
            ),
        )
    fields = {key: raw[key] for key in raw if key not in HEADER_KEYS}
    return result.Ok(events.Event(fields=fields, **header.model_dump()))


def process_of(event: events.Event) -> Process:
    """Return instance and incarnation of the process of `event`."""
    return event.instance, event.incarnation


def merge(
    recorded: abc.Iterable[events.Event],
    max_skew_ms: float = MAX_SKEW_MS,
) -> list[events.Event]:
    """Return the events of all processes in one order, without duplicates.

    Events of one process keep their order. An event recorded after a message
    was received is placed after all events that may have preceded the message:
    those with a lower Lamport timestamp than the message, unless their wall
    time is later by more than `max_skew_ms`. Otherwise events are ordered by
    wall time, then by the identity of the process.
    """
    streams = _group_by_process(recorded)
    merged = []
    while streams:
        process = _next_process(streams, max_skew_ms)
        merged.append(streams[process].popleft())
        if not streams[process]:
            streams.pop(process)
    return merged


def gaps(
    recorded: abc.Iterable[events.Event],
) -> dict[Process, sequences.Ranges]:
    """Return the sequence numbers missing after the first of each process."""
    numbers: dict[Process, sequences.Ranges] = {}
    for event in recorded:
        known = numbers.setdefault(process_of(event), [])
        sequences.add(known, event.sequence)
    found = {
        process: sequences.missing(known, known[0][0])
        for process, known in sorted(numbers.items())
    }
    return {process: missing for process, missing in found.items() if missing}


def _group_by_process(recorded: abc.Iterable[events.Event]) -> _EventsByProcess:
    by_process: dict[Process, dict[int, events.Event]] = {}
    for event in recorded:
        known = by_process.setdefault(process_of(event), {})
        known.setdefault(event.sequence, event)
    return {
        process: collections.deque(
            known[sequence] for sequence in sorted(known)
        )
        for process, known in sorted(by_process.items())
    }


def _next_process(streams: _EventsByProcess, max_skew_ms: float) -> Process:
    chosen = min(streams, key=lambda process: streams[process][0].time_ms)
    preceding = _events_before(streams, chosen, max_skew_ms)
    while preceding:
        # Terminates because the Lamport timestamp decreases in each iteration.
        chosen = min(preceding)[1]
        preceding = _events_before(streams, chosen, max_skew_ms)
    return chosen


def _events_before(
    streams: _EventsByProcess,
    chosen: Process,
    max_skew_ms: float,
) -> list[tuple[int, Process]]:
    """Return Lamport timestamp and process of events to place before `chosen`.

    Only the next event of each other process is considered.
    """
    head = streams[chosen][0]
    if not head.heard:
        return []
    # In an invalid event `heard` may exceed the event's own timestamp.
    heard = min(head.heard, head.clock)
    latest_ms = head.time_ms + max_skew_ms
    return [
        (stream[0].clock, process)
        for process, stream in streams.items()
        if process != chosen
        and stream[0].clock < heard
        and stream[0].time_ms <= latest_ms
    ]
