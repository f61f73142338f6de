"""Resident memory after importing parts, measured in child processes."""

import importlib
import json
import sys

from celeryrelay.measurement import children, series

MODULE = 'celeryrelay.measurement.imports'
QUANTITY = series.Quantity('resident memory after imports', 'bytes')

# Imported one after the other; a part costs the difference to the part before.
PARTS = (
    'orjson',
    'pydantic',
    'celeryrelay.conf.sets',
    'celeryrelay.conf.loader',
    'logbook',
    'celeryrelay.adapters.logs',
    'celeryrelay.timeline.events',
    'celeryrelay.accounting.relaying',
    'aioprometheus',
    'celeryrelay.adapters.metrics',
    'aiohttp',
    'aiohttp.web',
    'pymysql',
    'aiomysql',
    'transitions',
    'sqlglot',
    'mysql_mimic',
)


def measure_all(repetitions: int) -> dict[str, series.Point]:
    """Return resident bytes after each import, in order."""
    runs = [children.run_child(MODULE) for _ in range(repetitions)]
    return {
        name: series.Point(
            number,
            tuple(float(found[number][1]) for found in runs),
        )
        for number, (name, _) in enumerate(runs[0])
    }


def _import_in_child() -> list[tuple[str, int]]:
    found = [('(this module)', children.resident_bytes())]
    for name in PARTS:
        importlib.import_module(name)
        found.append((name, children.resident_bytes()))
    return found


if __name__ == '__main__':
    print(json.dumps(_import_in_child()), file=sys.stdout)  # noqa: WPS421 (output of the child)
