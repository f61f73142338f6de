"""Size and CPU time of configurations and accounts."""

import gc
import time
import typing
from collections import abc

import orjson

from celeryrelay.accounting import merging
from celeryrelay.measurement import sample_items, series, settings

MS_PER_SECOND = 1000

# A call is repeated for this long, and its mean CPU time is reported.
MIN_CPU_TIME_S = 0.05

CONFIGURATION_SIZE = series.Quantity('configuration size', 'bytes')
PARSE_CPU = series.Quantity('configuration parse CPU', 'ms')
BUILD_CPU = series.Quantity('configuration data classes CPU', 'ms')
MERGE_CPU = series.Quantity('account merge CPU', 'ms')
CHECK_CPU = series.Quantity('account value check CPU', 'ms')
VALUE_SIZE = series.Quantity('account value size', 'bytes')
BATCHES_SIZE = series.Quantity('account batches size', 'bytes')


def measure_all(
    size_settings: settings.SizeSettings,
    repetitions: int,
) -> tuple[series.Series, ...]:
    """Measure configurations and accounts of various sizes."""
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
    """Measure the size, the parsing and the data classes of a configuration."""
    content = sample_items.make_configuration(databases)
    raw = orjson.dumps(content)
    return {
        CONFIGURATION_SIZE: len(raw),
        PARSE_CPU: cpu_ms(lambda: orjson.loads(raw)),
        BUILD_CPU: cpu_ms(
            lambda: [
                sample_items.build_object(item) for item in content['objects']
            ],
        ),
    }


def measure_accounts(sources: int, cells: int) -> series.Values:
    """Measure merging one batch of each source into a stored value."""
    every_batch = [
        sample_items.make_batch(number, cells) for number in range(sources)
    ]
    entries = [
        entry for one in every_batch for entry in merging.split_batch(one)
    ]
    merged = merging.merge(None, entries)
    return {
        MERGE_CPU: cpu_ms(lambda: merging.merge(None, entries)),
        CHECK_CPU: cpu_ms(lambda: merging.parse_value(merged)),
        VALUE_SIZE: len(merging.dump(merged)),
        BATCHES_SIZE: sum(len(one.dump()) for one in every_batch),
    }


def cpu_ms(work: abc.Callable[[], typing.Any]) -> float:
    """Return the CPU time of one call in milliseconds.

    Garbage collection is switched off, as its cost depends on all other
    objects of the process.
    """
    work()
    calls = 0
    gc.disable()
    start = time.process_time()
    while time.process_time() - start < MIN_CPU_TIME_S:
        work()
        calls += 1
    elapsed = time.process_time() - start
    gc.enable()
    return elapsed / calls * MS_PER_SECOND
