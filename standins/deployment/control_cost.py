"""Measures what control costs an idle daemon, for the capacity page.

Each row starts a deployment without callers and reads processor time and
resident memory of its entry daemons from the process table.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import sys
import typing
from collections import abc

from absl import app, flags

from standins.deployment import cluster, specs

FLAGS = flags.FLAGS
SETTLE_S = 6
KIBIBYTE = 1024
PERCENT = 100
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')

# Intervals that the target size uses; the defaults suit small fleets.
TARGET_SETTINGS = {
    'control': {
        'exchange_interval_ms': 500,
        'store_poll_interval_ms': 500,
        'request_timeout_ms': 800,
        'suspect_after_ms': 3000,
    },
    'terms': {
        'ack_window_ms': 1500,
        'probe_interval_ms': 500,
        'probe_span_ms': 1500,
    },
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One measured deployment.

    Attributes:
        entries: Entry daemons.
        groups: Database groups of two slots.
        cpu_percent: Processor time of each daemon in percent of a core.
        resident_mib: Resident memory of each daemon.
        store_calls_per_s: Calls to the platform by all daemons together.
    """

    entries: int
    groups: int
    cpu_percent: tuple[float, ...]
    resident_mib: tuple[float, ...]
    store_calls_per_s: float


def define_flags() -> None:
    """Define the flags of the program."""
    flags.DEFINE_list('entries', ['1', '2', '4', '8'], 'Entries in each zone.')
    flags.DEFINE_list('groups', ['1', '2', '4', '8'], 'Database groups.')
    flags.DEFINE_integer('fixed_entries', 2, 'Entries while groups vary.')
    flags.DEFINE_integer('fixed_groups', 1, 'Groups while entries vary.')
    flags.DEFINE_float('duration_s', 10, 'Time of each measurement.')
    flags.DEFINE_bool('json', False, 'Print JSON.')


async def measure(entries_per_zone: int, groups: int, span_s: float) -> Row:
    """Start a deployment and measure its idle daemons."""
    spec = specs.DeploymentSpec(
        groups=tuple(f'group-{number + 1}' for number in range(groups)),
        slots_per_group=2,
        entries_per_zone=entries_per_zone,
        entry_settings=TARGET_SETTINGS,
    )
    async with cluster.Cluster(spec) as deployment:
        await deployment.wait_healthy()
        await asyncio.sleep(SETTLE_S)
        pids = [entry.program.pid for entry in deployment.entries]
        before = [_processor_s(pid) for pid in pids]
        calls_before = await _calls(deployment)
        await asyncio.sleep(span_s)
        spent = [
            (_processor_s(pid) - started) / span_s * PERCENT
            for pid, started in zip(pids, before, strict=True)
        ]
        calls = await _calls(deployment) - calls_before
        return Row(
            len(pids),
            groups,
            tuple(round(one, 2) for one in spent),
            tuple(round(_resident_mib(pid), 1) for pid in pids),
            round(calls / span_s, 1),
        )


def main(_: abc.Sequence[str]) -> int:
    """Measure all rows and print them."""
    plans = [(int(text), FLAGS.fixed_groups) for text in FLAGS.entries]
    plans.extend((FLAGS.fixed_entries, int(text)) for text in FLAGS.groups)
    rows = []
    for entries, groups in plans:
        row = asyncio.run(measure(entries, groups, FLAGS.duration_s))
        rows.append(row)
        if not FLAGS.json:
            _print_row(row)
    if FLAGS.json:
        documents = [dataclasses.asdict(row) for row in rows]
        sys.stdout.write(f'{json.dumps(documents)}\n')
    return 0


def run() -> None:
    """Run the program."""
    define_flags()
    app.run(main)


async def _calls(deployment: cluster.Cluster) -> int:
    counted: typing.Any = await deployment.platform.get('/admin/calls')
    return _total(counted)


def _total(counted: typing.Any) -> int:
    if isinstance(counted, dict):
        return sum(_total(one) for one in counted.values())
    return counted if isinstance(counted, int) else 0


def _print_row(row: Row) -> None:
    sys.stdout.write(
        f'{row.entries:3} entries {row.groups:3} groups: '
        f'cpu median {statistics.median(row.cpu_percent):5.2f} % '
        f'({min(row.cpu_percent):.2f} to {max(row.cpu_percent):.2f}), '
        f'resident median {statistics.median(row.resident_mib):.1f} MiB, '
        f'store calls {row.store_calls_per_s:.1f}/s\n',
    )
    sys.stdout.flush()


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mib(pid: int) -> float:
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / KIBIBYTE
    return 0


if __name__ == '__main__':
    run()
