"""Publication of configurations under store faults, races and restarts.

Promise 9: an accepted configuration is in force everywhere within 5 s and
never reverts.
"""

import asyncio
import dataclasses
import json
import sys
import time

import aiohttp
import pytest
import pytest_asyncio

from standins.deployment import partitions, specs
from tests.integration import workload

SHAPE = specs.DeploymentSpec(
    groups=('group-1',),
    entries_per_zone=1,
    slots_per_group=2,
    init_sql=workload.INIT_SQL,
)
CTL = 'from celeryrelay.management.commands import ctl; ctl.run()'
EXIT_OK = 0
EXIT_RACE = 4
IN_FORCE_S = 5


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with partitions.PartitionedCluster(SHAPE) as started:
        await started.wait_healthy()
        yield started


pytestmark = pytest.mark.asyncio(loop_scope='module')


async def publish(deployment, name, **changes):
    """Publish objects with a changed first rank; return code and output."""
    objects = json.loads(json.dumps(deployment.objects))
    objects['ranks'][0].update(changes)
    path = deployment.directory / f'{name}.json5'
    path.write_text(json.dumps(objects))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        CTL,
        'publish',
        str(path),
        f'--platform_url={deployment.platform.url}',
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def stored_revision(deployment):
    return (await deployment.platform.value('configuration'))['revision']


class Revisions:
    """Polls the revision in force of all entry instances; none may go back."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.seen = {}
        self.reverted = []
        key = (deployment.directory / 'fleet.key').read_text()
        self.http = aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {key}'},
        )

    async def __aenter__(self):
        self.task = asyncio.create_task(self.poll())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.http.close()
        assert not self.reverted

    async def poll(self):
        while True:
            for entry in self.deployment.entries:
                if entry.program.running:
                    await self.read(entry)
            await asyncio.sleep(0.03)

    async def read(self, entry):
        try:
            async with self.http.get(f'{entry.peer.url}/status') as answer:
                revision = (await answer.json())['revision']
        except aiohttp.ClientError:
            return
        known = self.seen.get(entry.program.pid, 0)
        if revision < known:
            self.reverted.append((entry.address, known, revision))
        self.seen[entry.program.pid] = revision

    async def in_force(self, revision, since):
        """Wait until all instances have a revision; return the seconds."""
        async with asyncio.timeout(IN_FORCE_S + 10):
            while not self.all_have(revision):
                await asyncio.sleep(0.02)
        return time.monotonic() - since

    def all_have(self, revision):
        return all(
            self.seen.get(entry.program.pid, 0) >= revision
            for entry in self.deployment.entries
            if entry.program.running
        )


async def test_publications_are_in_force_within_seconds(deployment):
    """Guards against instances that miss a publication or revert to an old one.

    Meanwhile the store loses answers or is slow, and one zone can't reach it.
    """
    faults = (
        {},
        {'lose_answers': 1},
        {'slow_ms': 150},
        {'slow_ms': 0, 'lose_answers': 2},
    )
    async with Revisions(deployment) as revisions:
        await deployment.cut_platform('zone-2', cut=True)
        try:
            for number, fault in enumerate(faults):
                await deployment.platform.set_faults(**fault)
                code, output = await publish(
                    deployment,
                    f'publication-{number}',
                    target_ms=200 + number,
                )
                since = time.monotonic()
                assert code == EXIT_OK, output
                revision = await stored_revision(deployment)
                took = await revisions.in_force(revision, since)
                assert took < IN_FORCE_S
        finally:
            await deployment.platform.set_faults(slow_ms=0, lose_answers=0)
            await deployment.cut_platform('zone-2', cut=False)


async def test_one_of_two_racing_operators_wins(deployment):
    """Guards against a publication that silently overwrites another."""
    before = await stored_revision(deployment)
    answers = await asyncio.gather(
        publish(deployment, 'left', target_ms=301),
        publish(deployment, 'right', target_ms=302),
    )
    codes = sorted(code for code, _ in answers)
    after = await stored_revision(deployment)
    stored = await deployment.platform.value('configuration')
    target = stored['objects']['ranks'][0]['target_ms']
    assert target in {301, 302}
    if codes == [EXIT_OK, EXIT_OK]:
        # The second publication was based on the set that the first stored.
        assert after == before + 2
    else:
        assert codes == [EXIT_OK, EXIT_RACE], answers
        assert after == before + 1


async def test_daemon_that_starts_without_the_store_asks_its_peers(deployment):
    """Guards against an instance that can't start during a store outage."""
    revision = await stored_revision(deployment)
    seeds = [entry.address for entry in deployment.entries]
    deployment.spec = dataclasses.replace(
        deployment.spec,
        entry_settings={'control': {'seeds': seeds}},
    )
    async with Revisions(deployment) as revisions:
        await revisions.in_force(revision, time.monotonic())
        await deployment.platform.set_faults(down=True)
        try:
            started = await deployment.start_entry('zone-3')
            async with asyncio.timeout(20):
                await started.peer.wait_healthy()
            await revisions.read(started)
            assert revisions.seen[started.program.pid] == revision
        finally:
            await deployment.platform.set_faults(down=False)
