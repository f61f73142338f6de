"""Compares the results that callers got with the rows in the databases."""

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

_SELECT_KEYS = 'SELECT id FROM bookings'


@dataclasses.dataclass(frozen=True, slots=True)
class Reconciliation:
    """Counts of the bookings of one group.

    Attributes:
        acknowledged: Bookings that were acknowledged to callers.
        stored: Rows of the primary's table.
        unknown_stored: Bookings with unknown outcome that are stored.
        missing: Acknowledged bookings that are not stored.
        duplicated: Bookings that are stored more than once.
        contradicted: Stored bookings that callers were told did not run, or
            that no caller sent.
    """

    acknowledged: int
    stored: int
    unknown_stored: int
    missing: int
    duplicated: int
    contradicted: int

    @property
    def agrees(self) -> bool:
        """Return whether the stored rows agree with the callers' results."""
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


async def wait_for_primary(deployment: cluster.Cluster, group: str) -> str:
    """Wait for the group's term record to open and return its primary's slot.

    Raises:
        TimeoutError: The record stayed closed, or the slot that it names did
            not report that it is the primary of the record's term.
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
    raise TimeoutError(
        f'{group} has no primary after {PRIMARY_TIMEOUT_S} s',
    )


async def reconcile(
    deployment: cluster.Cluster,
    group: str,
    tally: tallies.GroupTally,
) -> Reconciliation:
    """Compare a group's results with the table of its primary.

    Raises:
        TimeoutError: The group got no primary in time.
    """
    name = await wait_for_primary(deployment, group)
    rows = await deployment.query(group, name, _SELECT_KEYS)
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
