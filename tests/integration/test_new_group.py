"""First term record of a newly published database group."""

import pytest

from standins.deployment import cluster, specs
from tests.integration import workload

SHAPE = specs.DeploymentSpec(
    groups=('group-1',),
    entries_per_zone=1,
    init_sql=workload.INIT_SQL,
)


class ClusterWithoutRecord(cluster.Cluster):
    """Deployment whose group has no term record in the store yet."""

    async def _publish(self):
        write = self.platform.put

        async def write_other_keys(key, value):
            if not key.startswith('groups/'):
                await write(key, value)

        self.platform.put = write_other_keys
        await super()._publish()


@pytest.fixture
async def deployment():
    async with ClusterWithoutRecord(SHAPE) as started:
        yield started


async def test_first_record_names_the_only_primary(deployment):
    """Guards against a new group that never gets a term record."""
    await deployment.wait_healthy()
    found = await workload.wait_for_term(deployment, 1)
    assert found['primary'] == 'slot-0'
    tally = workload.Tally()
    callers = workload.make_callers(deployment, tally, 1)
    async with workload.booking_load(deployment, callers):
        await workload.acknowledged_after(tally, 0, 5)
    await workload.assert_bookings(deployment, tally)
