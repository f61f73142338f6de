"""Program `celeryrelay-measure`: measures the resources needed per item.

The capacity page is calculated from its results. Exit codes: 0 if everything
was measured; 1 if a measurement failed; 2 for wrong usage.
"""

import sys
from collections import abc

from absl import flags

from celeryrelay.core import errors
from celeryrelay.measurement import (
    exchange,
    imports,
    memory,
    settings,
    sizes,
    tables,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

PARTS = ('exchange', 'memory', 'sizes', 'imports')
USAGE = 'celeryrelay-measure --settings=FILE [--part=PART,...] [--json]'


def run() -> None:
    """Run the program and exit."""
    sys.exit(main(sys.argv))


def main(argv: abc.Sequence[str]) -> int:
    """Run the program with `argv` and return the exit code."""
    values = _define_flags()
    try:
        rest = values(argv)[1:]
    except flags.Error as error:
        return _print_error('{0}\nusage: {1}'.format(error, USAGE), EXIT_USAGE)
    if values.help:
        sys.stdout.write('usage: {0}\n{1}\n'.format(USAGE, values))
        return EXIT_OK
    unknown = [part for part in values.part if part not in PARTS]
    if rest or unknown:
        return _print_error(
            'unknown argument: {0}; the parts are {1}\nusage: {2}'.format(
                ', '.join((*rest, *unknown)),
                ', '.join(PARTS),
                USAGE,
            ),
            EXIT_USAGE,
        )
    loaded = settings.load(values.settings)
    if loaded.is_err():
        return _print_error(loaded.err(), EXIT_USAGE)
    return _measure(loaded.ok(), values)


def _measure(
    measure_settings: settings.MeasureSettings,
    values: flags.FlagValues,
) -> int:
    try:
        measured = _measure_parts(measure_settings, values.part)
    except errors.CeleryrelayError as error:
        return _print_error(str(error), EXIT_FAILED)
    if values.json:
        sys.stdout.buffer.write(tables.to_json(measured))
    else:
        sys.stdout.write(tables.to_text(measured))
    return EXIT_OK


def _measure_parts(
    measure_settings: settings.MeasureSettings,
    parts: abc.Collection[str],
) -> tables.Measurements:
    repetitions = measure_settings.repetitions
    found = []
    if 'exchange' in parts:
        found.extend(
            exchange.measure_all(measure_settings.exchange, repetitions)
        )
    if 'memory' in parts:
        found.extend(memory.measure_all(measure_settings.memory, repetitions))
    if 'sizes' in parts:
        found.extend(sizes.measure_all(measure_settings.sizes, repetitions))
    imported = imports.measure_all(repetitions) if 'imports' in parts else {}
    return tables.Measurements(tuple(found), imported)


def _define_flags() -> flags.FlagValues:
    # Separate from the global flags, as other programs define the same names.
    values = flags.FlagValues()
    flags.DEFINE_string(
        'settings',
        'samples/measure.json5',
        'Settings file.',
        flag_values=values,
    )
    flags.DEFINE_list(
        'part',
        list(PARTS),
        'Parts to measure, separated by commas.',
        flag_values=values,
    )
    for switch, effect in (
        ('json', 'Print JSON.'),
        ('help', 'Print this help.'),
    ):
        flags.DEFINE_boolean(switch, False, effect, flag_values=values)  # noqa: WPS425 (absl's own argument order)
    return values


def _print_error(text: str, exit_code: int) -> int:
    sys.stderr.write('{0}\n'.format(text))
    return exit_code
