import asyncio
import json
import os
import signal
import sys

import pytest

from standins.deployment import cluster, specs

SHAPE = specs.DeploymentSpec(
    zones=('zone-1', 'zone-2'),
    groups=('group-1',),
    slots_per_group=2,
    entries_per_zone=0,
    init_sql='CREATE TABLE items (id INTEGER PRIMARY KEY);',
    proxied=frozenset(('slots', 'platform')),
)
INTERRUPTED_PROGRAM = """
import asyncio, json
from standins.deployment import cluster, specs

async def main():
    shape = specs.DeploymentSpec(groups=('group-1',), entries_per_zone=0)
    async with cluster.Cluster(shape) as deployment:
        slots = deployment.slots.values()
        print(json.dumps([slot.program.pid for slot in slots]), flush=True)
        await asyncio.sleep(60)

asyncio.run(main())
"""


async def test_failing_block_leaves_no_process_or_directory():
    """Guards against processes and files that outlive a failed test."""
    with pytest.raises(RuntimeError):
        async with cluster.Cluster(SHAPE) as deployment:
            pids = [slot.program.pid for slot in deployment.slots.values()]
            directory = deployment.directory
            next(iter(deployment.slots.values())).program.suspend()
            raise RuntimeError
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
    assert not directory.exists()


async def test_slots_replicate_and_are_published():
    """Guards against records and configuration that don't match the slots."""
    async with cluster.Cluster(SHAPE) as deployment:
        record = await deployment.platform.value('groups/group-1/term')
        published = await deployment.platform.value('configuration')
        listed = await deployment.platform.get('/v1/instances')
        group = published['objects']['database_groups'][0]
        ports = [slot['port'] for slot in group['slots']]
        status = await cluster.run_sql(ports[0], 'x', 'CALL group_status()')
        assert status == ((record['primary'], 1, 'primary', 0, 0),)
        assert [item['address'] for item in listed['instances']] == [
            f'127.0.0.1:{port}' for port in ports
        ]
        await deployment.proxy.set_faults('group-1-slot-0', silent=True)
        rows = await deployment.query(
            'group-1', 'slot-1', 'CALL group_wait(1, 0, 1000)'
        )
        assert rows == ((1, 0, 0),)


async def test_interrupt_leaves_no_process():
    """Guards against processes that outlive a demo interrupted by Ctrl-C."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        INTERRUPTED_PROGRAM,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    pids = json.loads(await process.stdout.readline())
    process.send_signal(signal.SIGINT)
    await process.wait()
    assert pids
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
