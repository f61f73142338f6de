"""Program `celeryrelay-control-cost`: measures the cost of idle daemons.

The results go into the capacity page. Each measurement starts a deployment
without callers and reads the CPU time and resident memory of its entry daemons
from the process table.
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
KIB_PER_MIB = 1024
PERCENT = 100
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')

# Intervals for a fleet of the target size; the defaults suit small fleets.
TARGET_SIZE_SETTINGS = {
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
class Measurement:
    """Measurement of one deployment.

    Attributes:
        entries: Number of entry daemons.
        groups: Number of database groups, of two slots each.
        cpu_percent: CPU time of each daemon in percent of one core.
        resident_mib: Resident memory of each daemon in MiB.
        store_calls_per_s: Calls per second to the platform by all daemons.
    """

    entries: int
    groups: int
    cpu_percent: tuple[float, ...]
    resident_mib: tuple[float, ...]
    store_calls_per_s: float


def define_flags() -> None:
    """Define the flags of the program."""
    flags.DEFINE_list(
        'entries',
        ['1', '2', '4', '8'],
        'Numbers of entry daemons in each zone.',
    )
    flags.DEFINE_list(
        'groups', ['1', '2', '4', '8'], 'Numbers of database groups.'
    )
    flags.DEFINE_integer(
        'fixed_entries',
        2,
        'Entry daemons in each zone while the number of groups varies.',
    )
    flags.DEFINE_integer(
        'fixed_groups',
        1,
        'Database groups while the number of entry daemons varies.',
    )
    flags.DEFINE_float(
        'duration_s', 10, 'Duration of each measurement in seconds.'
    )
    flags.DEFINE_bool('json', False, 'Print the result as JSON.')


async def measure(
    entries_per_zone: int, groups: int, duration_s: float
) -> Measurement:
    """Start a deployment and measure its idle entry daemons."""
    spec = specs.DeploymentSpec(
        groups=tuple(f'group-{number + 1}' for number in range(groups)),
        slots_per_group=2,
        entries_per_zone=entries_per_zone,
        entry_settings=TARGET_SIZE_SETTINGS,
    )
    async with cluster.Cluster(spec) as deployment:
        await deployment.wait_healthy()
        await asyncio.sleep(SETTLE_S)
        pids = [entry.program.pid for entry in deployment.entries]
        before = [_cpu_time_s(pid) for pid in pids]
        calls_before = await _count_store_calls(deployment)
        await asyncio.sleep(duration_s)
        cpu_percents = [
            (_cpu_time_s(pid) - started) / duration_s * PERCENT
            for pid, started in zip(pids, before, strict=True)
        ]
        calls = await _count_store_calls(deployment) - calls_before
        return Measurement(
            len(pids),
            groups,
            tuple(round(value, 2) for value in cpu_percents),
            tuple(round(_resident_mib(pid), 1) for pid in pids),
            round(calls / duration_s, 1),
        )


def main(_: abc.Sequence[str]) -> int:
    """Measure deployments of all sizes and print the results."""
    sizes = [(int(text), FLAGS.fixed_groups) for text in FLAGS.entries]
    sizes.extend((FLAGS.fixed_entries, int(text)) for text in FLAGS.groups)
    measurements = []
    for entries, groups in sizes:
        measurement = asyncio.run(measure(entries, groups, FLAGS.duration_s))
        measurements.append(measurement)
        if not FLAGS.json:
            _print_measurement(measurement)
    if FLAGS.json:
        documents = [
            dataclasses.asdict(measurement) for measurement in measurements
        ]
        sys.stdout.write(f'{json.dumps(documents)}\n')
    return 0


def run() -> None:
    """Parse the flags and run the program."""
    define_flags()
    app.run(main)


async def _count_store_calls(deployment: cluster.Cluster) -> int:
    counted: typing.Any = await deployment.platform.get('/admin/calls')
    return _sum_counts(counted)


def _sum_counts(counted: typing.Any) -> int:
    if isinstance(counted, dict):
        return sum(_sum_counts(value) for value in counted.values())
    return counted if isinstance(counted, int) else 0


def _print_measurement(measurement: Measurement) -> None:
    sys.stdout.write(
        f'{measurement.entries:3} entry daemons {measurement.groups:3} groups: '
        f'cpu median {statistics.median(measurement.cpu_percent):5.2f} % '
        f'({min(measurement.cpu_percent):.2f} to '
        f'{max(measurement.cpu_percent):.2f}), '
        f'resident median '
        f'{statistics.median(measurement.resident_mib):.1f} MiB, '
        f'store calls {measurement.store_calls_per_s:.1f}/s\n',
    )
    sys.stdout.flush()


def _cpu_time_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mib(pid: int) -> float:
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / KIB_PER_MIB
    return 0


if __name__ == '__main__':
    run()
