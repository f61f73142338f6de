"""Guards against an invalid object set that passes the checks."""

import copy

import pytest

from celeryrelay.conf import checks, loader, sets
from celeryrelay.core import ranks

DIGEST = 'a' * 64


def small_set():
    return {
        'database_groups': [
            {
                'name': 'rounds',
                'connection_limit': 20,
                'slots': [
                    {'name': 'a', 'host': '127.0.0.1', 'port': 1, 'zone': 'z'},
                    {'name': 'b', 'host': '127.0.0.1', 'port': 2, 'zone': 'z'},
                ],
            },
        ],
        'ranks': [
            {'rank': rank, 'target_ms': 10, 'deadline_ms': 100}
            for rank in ('bookings', 'checks', 'reports')
        ],
        'stale_read_rules': [{'name': 'lists', 'max_age_ms': 5000}],
        'routes': [
            {
                'name': 'r{0}'.format(number),
                'user': 'u',
                'schema': 's{0}'.format(number),
                'group': 'rounds',
                'rank': 'checks',
                'password_sha256': DIGEST,
            }
            for number in range(3)
        ],
    }


def changed(path, given):
    """Return the small set with `given` at `path`."""
    raw = copy.deepcopy(small_set())
    node = raw
    for part in path[:-1]:
        node = node[part]
    node[path[-1]] = given
    return raw


def check_errors(raw):
    return [str(error) for error in checks.check_objects(raw).err() or []]


GROUP = ('database_groups', 0)
SLOT = ('database_groups', 0, 'slots', 1)
SLOT_PATH = 'database_groups[0].slots[1]'


@pytest.mark.parametrize(
    ('path', 'given', 'expected'),
    [
        ((*GROUP, 'name'), 'a/b', 'database_groups[0].name'),
        ((*GROUP, 'connection_limit'), 3, 'database_groups[0].connection'),
        ((*GROUP, 'connection_limit'), '20', 'database_groups[0].connection'),
        ((*GROUP, 'slots'), [], 'database_groups[0].slots: given 0 slots; 2'),
        ((*SLOT, 'name'), 'a', SLOT_PATH + '.name: given'),
        ((*SLOT, 'port'), 1, SLOT_PATH + '.port: given address 127.0.0.1:1;'),
        ((*SLOT, 'host'), 'db1', SLOT_PATH + ".host: given 'db1'; an IP"),
        ((*SLOT, 'color'), 1, SLOT_PATH + '.color: unknown key, given 1'),
        (('routes', 2, 'group'), 'x', "routes[2].group: given 'x'; allowed"),
        (('routes', 2, 'stale_read_rule'), 'x', 'routes[2].stale_read_rule:'),
        (('routes', 2, 'schema'), 's0', 'routes[2].schema: user'),
        (('routes', 2, 'name'), 'r1', 'routes[2].name: given'),
        (('routes', 2, 'password_sha256'), '', 'routes[2].password_sha256:'),
        (('routes', 2, 'rank'), 'urgent', 'routes[2].rank: given'),
        (('routes', 2, 'durability'), 'x', 'routes[2].durability: given'),
        (('ranks', 0, 'share'), 0, 'ranks[0].share: given 0'),
        (('ranks', 0, 'worth'), float('inf'), 'ranks[0].worth: given inf'),
        (('ranks', 0, 'deadline_ms'), 9, 'ranks[0].deadline_ms: given 9; not'),
        (('ranks', 1, 'rank'), 'bookings', 'ranks[1].rank: given'),
        (('stale_read_rules', 0, 'max_age_ms'), -1, 'stale_read_rules[0].max'),
        (('routers',), [], 'routers: unknown key; allowed are'),
        (('routes',), {}, 'routes: a list is expected'),
        (('routes', 1), 7, 'routes[1]: given 7'),
    ],
)
def test_error_names_the_path_of_the_value(path, given, expected):
    found = check_errors(changed(path, given))
    assert [line for line in found if line.startswith(expected)]


def test_all_errors_are_reported_at_once():
    raw = changed(('routes', 2, 'rank'), 'urgent')
    raw['routes'][2]['group'] = 'missing'
    raw['database_groups'][0]['slots'][1]['port'] = 1
    del raw['ranks'][2]
    paths = {line.partition(':')[0] for line in check_errors(raw)}
    assert paths == {
        'routes[2].rank',
        'routes[2].group',
        SLOT_PATH + '.port',
        'ranks',
    }


def test_invalid_group_causes_no_errors_in_its_routes():
    raw = changed((*GROUP, 'connection_limit'), 0)
    assert len(check_errors(raw)) == 1


def test_defaults_are_filled_in():
    object_set = checks.check_objects(small_set()).unwrap()
    durabilities = {
        rank: policy.durability for rank, policy in object_set.ranks.items()
    }
    assert durabilities == {
        ranks.Rank.bookings: sets.Durability.replicated,
        ranks.Rank.checks: sets.Durability.local,
        ranks.Rank.reports: sets.Durability.local,
    }
    assert object_set.routes[0].durability is None


@pytest.mark.parametrize(
    ('name', 'slots', 'durability', 'limit'),
    [('zilina', 3, 'replicated', 20), ('pitchwise', 2, 'preferred', 30)],
)
def test_sample_sets_are_valid(name, slots, durability, limit):
    raw = loader.read_file('samples/{0}.json5'.format(name)).unwrap()
    object_set = checks.check_objects(raw).unwrap()
    groups = object_set.groups.values()
    assert len(groups) == 9
    assert {len(group.slots) for group in groups} == {slots}
    assert {group.connection_limit for group in groups} == {limit}
    assert object_set.ranks[ranks.Rank.bookings].durability == durability
    assert {route.group for route in object_set.routes} == set(
        object_set.groups,
    )


def test_sample_settings_are_valid():
    loaded = loader.load_settings('samples/entry.json5').unwrap()
    assert loaded.deployment == 'zilina'
