"""Size and CPU time of configurations and accounts."""

import gc
import time
import typing
from collections import abc

import orjson

from celeryrelay.accounting import merging
from celeryrelay.measurement import samples, series, settings

MS_PER_SECOND = 1000

# A measured time is the mean over at least this time.
LEAST_TIME_S = 0.05

SIZE = series.Quantity('configuration size', 'bytes')
PARSE = series.Quantity('configuration parse CPU', 'ms')
BUILD = series.Quantity('configuration data classes CPU', 'ms')
MERGE = series.Quantity('account merge CPU', 'ms')
CHECK = series.Quantity('account value check CPU', 'ms')
VALUE = series.Quantity('account value size', 'bytes')
BATCH = series.Quantity('account batches size', 'bytes')


def measure_all(
    size_settings: settings.SizeSettings,
    repetitions: int,
) -> tuple[series.Series, ...]:
    """Return the series against databases and sources."""
    return (
        *series.collect(
            'databases',
            size_settings.databases,
            repetitions,
            measure_configuration,
            'a model of the objects; no checks, no garbage collection',
        ),
        *series.collect(
            'sources',
            size_settings.sources,
            repetitions,
            lambda size: measure_accounts(size, size_settings.cells),
            '{0} pairs of group and rank, the same for each source; '.format(
                size_settings.cells,
            )
            + 'no requests, no garbage collection',
        ),
        *series.collect(
            'pairs of group and rank',
            size_settings.batch_cells,
            repetitions,
            lambda cells: measure_accounts(1, cells),
            'one source; 2 outcomes and 1 delay cause per pair; '
            + 'no requests, no garbage collection',
        ),
    )


def measure_configuration(databases: int) -> series.Values:
    """Return size, parse time and time to build the data classes."""
    content = samples.configuration(databases)
    raw = orjson.dumps(content)
    return {
        SIZE: len(raw),
        PARSE: cpu_ms(lambda: orjson.loads(raw)),
        BUILD: cpu_ms(
            lambda: [samples.build_object(item) for item in content['objects']],
        ),
    }


def measure_accounts(sources: int, cells: int) -> series.Values:
    """Return the cost of merging one batch of each source into a value."""
    every_batch = [samples.batch(number, cells) for number in range(sources)]
    entries = [
        entry for one in every_batch for entry in merging.split_batch(one)
    ]
    merged = merging.merge(None, entries)
    return {
        MERGE: cpu_ms(lambda: merging.merge(None, entries)),
        CHECK: cpu_ms(lambda: merging.parse_value(merged)),
        VALUE: len(merging.dump(merged)),
        BATCH: sum(len(one.dump()) for one in every_batch),
    }


def cpu_ms(work: abc.Callable[[], typing.Any]) -> float:
    """Return the CPU time of one call in milliseconds.

    Garbage collection is off: its share depends on all other objects of the
    process.
    """
    work()
    calls = 0
    gc.disable()
    start = time.process_time()
    while time.process_time() - start < LEAST_TIME_S:
        work()
        calls += 1
    elapsed = time.process_time() - start
    gc.enable()
    return elapsed / calls * MS_PER_SECOND
