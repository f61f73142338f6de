"""Merging of the events of several processes into one timeline."""

import collections
import dataclasses
import typing
from collections import abc

import orjson
import pydantic
import result

from celeryrelay.accounting import sequences
from celeryrelay.timeline import events

# Largest difference between the wall clocks of two processes. Beyond it, the
# wall time alone shows which of two events was first.
MAX_SKEW_MS = 5000

HEADER = tuple(
    field.name
    for field in dataclasses.fields(events.Event)
    if field.name != 'fields'
)

# 1 January of the year 9999; later times can't be shown as a date.
LATEST_TIME_MS = 253_370_764_800_000

Process = tuple[str, str]
_Streams = dict[Process, collections.deque[events.Event]]


class HeaderModel(pydantic.BaseModel):
    """Header of an event line; further keys are fields of the event."""

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
    """Return the event of a JSON line, or what is wrong with it."""
    try:
        raw = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        return result.Err(str(error))
    return parse_event(raw)


def parse_event(raw: typing.Any) -> result.Result[events.Event, str]:
    """Return the event of a JSON object, or what is wrong with it."""
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
    fields = {key: raw[key] for key in raw if key not in HEADER}
    return result.Ok(events.Event(fields=fields, **header.model_dump()))


def process_of(event: events.Event) -> Process:
    """Return the process that recorded `event`."""
    return event.instance, event.incarnation


def merge(
    recorded: abc.Iterable[events.Event],
    max_skew_ms: float = MAX_SKEW_MS,
) -> list[events.Event]:
    """Return the events of all processes in one order, without repetitions.

    Events of one process keep their order. An event that follows a received
    message comes after all events that may have preceded the message: those
    with a lower clock than the message, unless their wall time is later by
    more than `max_skew_ms`. Otherwise the wall time decides, then the
    identity of the process.
    """
    streams = _streams(recorded)
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
    """Return the missing sequence numbers after the first of each process."""
    numbers: dict[Process, sequences.Ranges] = {}
    for event in recorded:
        known = numbers.setdefault(process_of(event), [])
        sequences.add(known, event.sequence)
    found = {
        process: sequences.missing(known, known[0][0])
        for process, known in sorted(numbers.items())
    }
    return {process: missing for process, missing in found.items() if missing}


def _streams(recorded: abc.Iterable[events.Event]) -> _Streams:
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


def _next_process(streams: _Streams, max_skew_ms: float) -> Process:
    chosen = min(streams, key=lambda process: streams[process][0].time_ms)
    preceding = _preceding(streams, chosen, max_skew_ms)
    while preceding:
        # Clocks fall along this path, so it ends.
        chosen = min(preceding)[1]
        preceding = _preceding(streams, chosen, max_skew_ms)
    return chosen


def _preceding(
    streams: _Streams,
    chosen: Process,
    max_skew_ms: float,
) -> list[tuple[int, Process]]:
    """Return clock and process of next events that go before the chosen."""
    head = streams[chosen][0]
    if not head.heard:
        return []
    # A broken event may claim to have heard more than its own clock.
    heard = min(head.heard, head.clock)
    latest_ms = head.time_ms + max_skew_ms
    return [
        (stream[0].clock, process)
        for process, stream in streams.items()
        if process != chosen
        and stream[0].clock < heard
        and stream[0].time_ms <= latest_ms
    ]
