"""Items with typical content whose size and memory are measured.

Sessions, term records and members are modelled here by data classes with the
fields of the design page, so that the modules that keep them in a daemon need
not be loaded.
"""

import dataclasses
import typing

from celeryrelay.accounting import batches
from celeryrelay.conf import sets
from celeryrelay.core import identity, outcomes, positions, ranks

SLOTS_PER_GROUP = 3
GROUPS_PER_SESSION = 3
TERMS_PER_GROUP = 16
FIRST_TERM = 100
INSTANCES_PER_SUBNET = 250
MYSQL_PORT = 3306

Json = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Session:
    """Model of a caller's session with read bounds for several groups."""

    identifier: int
    route: str
    user: str
    schema: str
    bounds: dict[str, positions.Position]
    pinned: bool = False
    in_transaction: bool = False


@dataclasses.dataclass(slots=True)
class GroupRecord:
    """Model of a group's term record with a full history."""

    group: str
    term: int
    primary: str
    state: str
    history: tuple[positions.TermStart, ...]
    read_at: float = 0


@dataclasses.dataclass(slots=True)
class Member:
    """Model of a daemon in the live view."""

    member_identity: identity.Identity
    state: str
    last_heard: float
    clock: int


def make_sessions(count: int) -> list[Session]:
    """Return sessions, each with a position in three groups."""
    return [
        Session(
            number,
            'route-{0}'.format(number % GROUPS_PER_SESSION),
            'caller',
            'bookings',
            {
                name: positions.Position(name, FIRST_TERM, number + 1000)
                for name in _names('group', GROUPS_PER_SESSION)
            },
        )
        for number in range(count)
    ]


def make_group_records(count: int) -> list[GroupRecord]:
    """Return group records, each with a history of 16 terms."""
    return [
        GroupRecord(
            name,
            FIRST_TERM + TERMS_PER_GROUP,
            'slot-0',
            'open',
            tuple(
                positions.TermStart(FIRST_TERM + term, term * 1_000_000)
                for term in range(TERMS_PER_GROUP)
            ),
        )
        for name in _names('group', count)
    ]


def make_members(count: int) -> list[Member]:
    """Return members, each with its own identity."""
    return [
        Member(
            identity.Identity(
                _host(number),
                'zone-{0:02d}'.format(number % 10),
                identity.new_incarnation(),
            ),
            'live',
            float(number),
            number + 1000,
        )
        for number in range(count)
    ]


def make_objects(count: int) -> list[Json | sets.DatabaseGroup | sets.Route]:
    """Return published objects, each in raw form and as a data class.

    One in four is a database group; the others are its routes, one per rank.
    """
    raw = make_configuration(max(1, count // 4))['objects'][:count]
    built = [build_object(content) for content in raw]
    return [*raw, *built]


def make_configuration(databases: int) -> Json:
    """Return a published set in raw form: a route per database and rank."""
    content = []
    for name in _names('group', databases):
        content.append(_raw_group(name))
        content.extend(_raw_route(name, rank) for rank in ranks.BY_URGENCY)
    return {
        'publication': '0f8fad5b-d9cb-469f-a165-70867728950e',
        'revision': 900,
        'objects': content,
    }


def build_object(raw: Json) -> sets.DatabaseGroup | sets.Route:
    """Build the data class of a raw object without checking it."""
    keys = {key: raw[key] for key in raw if key != 'kind'}
    if raw['kind'] == 'route':
        return sets.Route(**{**keys, 'rank': ranks.Rank(keys['rank'])})
    keys['slots'] = tuple(sets.Slot(**slot) for slot in keys['slots'])
    return sets.DatabaseGroup(**keys)


def make_batch(source: int, cells: int) -> batches.Batch:
    """Return an account batch with `cells` pairs of group and rank."""
    counts: batches.GroupCounts = {}
    delays: batches.GroupDelays = {}
    for cell in range(cells):
        group = 'group-{0:04d}'.format(cell // len(ranks.BY_URGENCY))
        rank = ranks.BY_URGENCY[cell % len(ranks.BY_URGENCY)]
        counts.setdefault(group, {})[rank] = {'done': 4, 'failed': 1}
        delays.setdefault(group, {})[rank] = {
            outcomes.DelayCause.queue: (2, 12345),
        }
    return batches.Batch(
        'zilina',
        'zone-01',
        _host(source),
        '0123456789abcdef',
        1,
        1796377156838,
        False,  # noqa: WPS425 (order of the message's fields)
        (batches.Part(1796377150, counts, delays),),
    )


def _names(kind: str, count: int) -> list[str]:
    return ['{0}-{1:04d}'.format(kind, number) for number in range(count)]


def _host(number: int) -> str:
    net, host = divmod(number, INSTANCES_PER_SUBNET)
    return '10.0.{0}.{1}:7300'.format(net, host)


def _raw_group(name: str) -> Json:
    return {
        'kind': 'database_group',
        'name': name,
        'connection_limit': 20,
        'schema': 'bookings',
        'slots': [
            {
                'name': 'slot-{0}'.format(slot),
                'host': '10.1.{0}.17'.format(slot),
                'port': MYSQL_PORT,
                'availability_zone': 'zone-{0:02d}'.format(slot),
            }
            for slot in range(SLOTS_PER_GROUP)
        ],
    }


def _raw_route(name: str, rank: ranks.Rank) -> Json:
    return {
        'kind': 'route',
        'name': '{0}-{1}'.format(name, rank.value),
        'user': '{0}-{1}'.format(name, rank.value),
        'schema': 'bookings',
        'group': name,
        'rank': rank.value,
        'stale_read_rule': 'recent',
        'password_sha256': 'a' * 64,
    }
