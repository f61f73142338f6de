"""Comparison of what callers were told with what the databases hold."""

import asyncio
import collections
import dataclasses
import time

import aiomysql
import pymysql

from celeryrelay.load import tallies
from standins.deployment import cluster

PRIMARY_TIMEOUT_S = 10
RETRY_S = 0.1

_KEYS = 'SELECT id FROM bookings'


@dataclasses.dataclass(frozen=True, slots=True)
class Reconciliation:
    """Bookings of one group.

    Attributes:
        acknowledged: Bookings that callers were told are done.
        stored: Rows of the primary's table.
        unknown_stored: Bookings with unknown outcome that were found.
        missing: Acknowledged bookings that were not found.
        duplicated: Bookings that were found more than once.
        contradicted: Bookings found although callers were told that they
            did not run, or though nobody made them.
    """

    acknowledged: int
    stored: int
    unknown_stored: int
    missing: int
    duplicated: int
    contradicted: int

    @property
    def agrees(self) -> bool:
        """Return whether the database agrees with the answers."""
        return not (self.missing or self.duplicated or self.contradicted)


def compare(
    tally: tallies.GroupTally,
    stored: list[str],
) -> Reconciliation:
    """Compare the callers' results with the stored keys."""
    counts = collections.Counter(stored)
    acknowledged = set(tally.keys_by_result[tallies.StatementResult.served])
    unknown = set(tally.keys_by_result[tallies.StatementResult.unknown])
    return Reconciliation(
        acknowledged=len(acknowledged),
        stored=len(stored),
        unknown_stored=len(unknown & counts.keys()),
        missing=len(acknowledged - counts.keys()),
        duplicated=sum(1 for count in counts.values() if count > 1),
        contradicted=len(counts.keys() - acknowledged - unknown),
    )


async def primary_of(deployment: cluster.Cluster, group: str) -> str:
    """Return the slot that the group's open term record names.

    Raises:
        TimeoutError: The record stays closed, or its slot is not the primary.
    """
    deadline = time.monotonic() + PRIMARY_TIMEOUT_S
    while time.monotonic() < deadline:
        record = await deployment.platform.value(f'groups/{group}/term')
        name = str(record['primary'])
        if record['state'] == 'open' and await _is_primary(
            deployment,
            group,
            name,
            record['term'],
        ):
            return name
        await asyncio.sleep(RETRY_S)
    raise TimeoutError(f'{group} has no primary')


async def reconcile(
    deployment: cluster.Cluster,
    group: str,
    tally: tallies.GroupTally,
) -> Reconciliation:
    """Compare a group's results with the table of its primary.

    Raises:
        TimeoutError: The group has no primary.
    """
    name = await primary_of(deployment, group)
    rows = await deployment.query(group, name, _KEYS)
    return compare(tally, [str(row[0]) for row in rows])


async def _is_primary(
    deployment: cluster.Cluster,
    group: str,
    name: str,
    term: int,
) -> bool:
    try:
        rows = await deployment.query(group, name, 'CALL group_status()')
    except (pymysql.MySQLError, aiomysql.Error, OSError):
        return False
    return tuple(rows[0][1:3]) == (term, 'primary')
