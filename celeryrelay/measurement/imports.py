"""Resident memory after importing modules, measured in child processes."""

import importlib
import json
import sys

from celeryrelay.measurement import children, series

CHILD_MODULE = 'celeryrelay.measurement.imports'
QUANTITY = series.Quantity('resident memory after imports', 'bytes')

# Imported one after the other; the difference to the module before is the
# memory that a module needs.
IMPORTED_MODULES = (
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
    """Return the resident bytes after each import, in order of import."""
    runs = [children.run_child(CHILD_MODULE) for _ in range(repetitions)]
    return {
        name: series.Point(
            number,
            tuple(float(found[number][1]) for found in runs),
        )
        for number, (name, _) in enumerate(runs[0])
    }


def _import_in_child() -> list[tuple[str, int]]:
    found = [('(this module)', children.resident_bytes())]
    for name in IMPORTED_MODULES:
        importlib.import_module(name)
        found.append((name, children.resident_bytes()))
    return found


if __name__ == '__main__':
    print(json.dumps(_import_in_child()), file=sys.stdout)  # noqa: WPS421 (output of the child)
