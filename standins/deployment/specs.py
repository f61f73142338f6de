"""Specification of a deployment and of the objects published for it."""

import dataclasses
import typing
from collections import abc

HOST = '127.0.0.1'
BACKEND_CONNECTION_LIMIT = 20

Document = dict[str, typing.Any]

# Table in which holders store the request ids of callers' statements, with
# their results.
REQUESTS_TABLE = """
CREATE TABLE celeryrelay_requests (
    request_id VARCHAR(64) PRIMARY KEY,
    affected_rows INTEGER,
    last_insert_id INTEGER
);
"""

# Rank objects, with latency targets and deadlines in ms, shares and worths.
RANKS: tuple[Document, ...] = (
    {
        'rank': 'bookings',
        'target_ms': 100,
        'deadline_ms': 2000,
        'share': 6,
        'worth': 10,
        'durability': 'replicated',
    },
    {
        'rank': 'checks',
        'target_ms': 250,
        'deadline_ms': 3000,
        'share': 3,
        'worth': 3,
        'durability': 'local',
    },
    {
        'rank': 'reports',
        'target_ms': 2000,
        'deadline_ms': 8000,
        'share': 1,
        'worth': 1,
        'durability': 'local',
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Size and settings of a deployment.

    Attributes:
        zones: Names of the availability zones.
        groups: Names of the database groups.
        slots_per_group: Number of slots of each group, which are distributed
            over the zones.
        entries_per_zone: Number of entry daemons in each zone.
        connection_limit: Number of connections that each slot accepts.
        slot_flags: Additional flags of the stand-in databases.
        init_sql: Statements that create the tables, except the table of
            request ids.
        entry_settings: Settings of the entry daemons that override the
            defaults.
        proxied: Targets that are reached through fault proxy links: `slots`,
            `platform` (one link for each zone) and `peers`.
    """

    zones: tuple[str, ...] = ('zone-1', 'zone-2', 'zone-3')
    groups: tuple[str, ...] = ('group-1', 'group-2')
    slots_per_group: int = 3
    entries_per_zone: int = 2
    connection_limit: int = BACKEND_CONNECTION_LIMIT
    slot_flags: tuple[str, ...] = ()
    init_sql: str = ''
    entry_settings: abc.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict,
    )
    proxied: frozenset[str] = frozenset()

    def slot_zone(self, group: str, number: int) -> str:
        """Return the zone of the slot with index `number` in a group."""
        place = self.groups.index(group) + number
        return self.zones[place % len(self.zones)]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAddress:
    """Address at which daemons reach a slot, directly or through a link."""

    group: str
    name: str
    zone: str
    port: int


def user_name(group: str, rank: str) -> str:
    """Return the user name with which callers select a group and a rank."""
    return f'{group}.{rank}'


def build_objects(
    spec: DeploymentSpec,
    addresses: abc.Iterable[SlotAddress],
) -> Document:
    """Return the configuration, with a route for each group and rank."""
    slots: dict[str, list[Document]] = {group: [] for group in spec.groups}
    for address in addresses:
        slots[address.group].append(
            {
                'name': address.name,
                'host': HOST,
                'port': address.port,
                'zone': address.zone,
            }
        )
    return {
        'database_groups': [
            {
                'name': group,
                'slots': slots[group],
                'connection_limit': spec.connection_limit,
                'schema': '',
            }
            for group in spec.groups
        ],
        'routes': [
            _route(group, rank['rank'])
            for group in spec.groups
            for rank in RANKS
        ],
        'ranks': list(RANKS),
        'stale_read_rules': [{'name': 'reports', 'max_age_ms': 5000}],
    }


def _route(group: str, rank: str) -> Document:
    return {
        'name': f'{group}-{rank}',
        'user': user_name(group, rank),
        'schema': '',
        'group': group,
        'rank': rank,
        'stale_read_rule': 'reports' if rank == 'reports' else '',
        'durability': None,
    }
