"""Settings of `celeryrelay-measure`."""

import typing

import pydantic
import result

from celeryrelay.conf import loader
from celeryrelay.conf import settings as conf

# A slope needs enough points to show whether the relation is linear.
MIN_POINTS = 4

Count = typing.Annotated[int, pydantic.Field(ge=1)]
Sizes = typing.Annotated[
    tuple[Count, ...],
    pydantic.Field(min_length=MIN_POINTS),
]


class ExchangeSettings(conf.StrictModel):
    """Control exchanges over the loopback interface.

    Attributes:
        members: Numbers of members in the reply.
        terms: Numbers of changed terms in the reply.
        evidence: Numbers of evidence entries in request and reply.
        requests: Requests in each repetition.
    """

    members: Sizes = (10, 100, 300, 700)
    terms: Sizes = (1, 50, 200, 750)
    evidence: Sizes = (1, 10, 30, 100)
    requests: Count = 200


class MemorySettings(conf.StrictModel):
    """Memory per item, with a child process for each measured value.

    Attributes:
        connections: Numbers of idle client connections.
        items: Numbers of sessions, records, members and objects.
    """

    connections: Sizes = (100, 200, 400, 800)
    items: Sizes = (1000, 2000, 4000, 8000)


class SizeSettings(conf.StrictModel):
    """Size and CPU time of configurations and accounts.

    Attributes:
        databases: Numbers of databases in a configuration.
        sources: Numbers of daemons whose batches are merged.
        cells: Pairs of group and rank in each of these batches.
        batch_cells: Pairs of group and rank in a single batch.
    """

    databases: Sizes = (50, 200, 400, 750)
    sources: Sizes = (5, 20, 40, 70)
    cells: Count = 300
    batch_cells: Sizes = (50, 300, 1000, 2250)


class MeasureSettings(conf.StrictModel):
    """All settings of the program.

    Attributes:
        repetitions: Measured values for each number of items.
        exchange: Control exchanges.
        memory: Memory per item.
        sizes: Size and CPU time of configurations and accounts.
    """

    repetitions: Count = 5
    exchange: ExchangeSettings = ExchangeSettings()
    memory: MemorySettings = MemorySettings()
    sizes: SizeSettings = SizeSettings()


def load(path: str) -> result.Result[MeasureSettings, str]:
    """Return the settings of the JSON5 file at `path`, or an error text."""
    raw = loader.read_file(path)
    if raw.is_err():
        return raw
    try:
        return result.Ok(MeasureSettings.model_validate(raw.ok()))
    except pydantic.ValidationError as error:
        lines = (
            '{0}: {1}'.format(path, loader.describe_error(problem))
            for problem in error.errors()
        )
        return result.Err('\n'.join(lines))
