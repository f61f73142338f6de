"""Guards against an object set of 750 databases that exceeds 1 MB.

The platform stores values of at most 1 MB, and the set is one value.
"""

import json

import pytest

from celeryrelay.conf import checks
from celeryrelay.configuration import stored_document

DATABASES = 750
LIMIT_BYTES = 1_000_000
RANKS = ('bookings', 'checks', 'reports')


def large_set(databases):
    """Return a set with three slots and three routes for each database."""
    names = ['bookings-service-{0:03d}'.format(n) for n in range(databases)]
    return {
        'ranks': [
            {
                'rank': rank,
                'target_ms': 100,
                'deadline_ms': 2000,
                'share': 8,
                'worth': 10,
                'durability': 'replicated',
            }
            for rank in RANKS
        ],
        'stale_read_rules': [
            {'name': 'street_lists', 'max_age_ms': 5000},
        ],
        'database_groups': [
            {
                'name': name,
                'connection_limit': 20,
                'schema': name.replace('-', '_'),
                'slots': [
                    {
                        'name': slot,
                        'host': '10.{0}.{1}.{2}'.format(
                            zone + 101,
                            number // 250 + 100,
                            number % 250,
                        ),
                        'port': 3306,
                        'zone': 'bratislava-{0}'.format(zone + 1),
                    }
                    for zone, slot in enumerate('abc')
                ],
            }
            for number, name in enumerate(names)
        ],
        'routes': [
            {
                'name': '{0}-{1}'.format(name, rank),
                'user': '{0}-callers'.format(rank),
                'schema': name.replace('-', '_'),
                'group': name,
                'rank': rank,
                'stale_read_rule': 'street_lists',
                'password_sha256': 'a' * 64,
            }
            for name in names
            for rank in RANKS
        ],
    }


def test_set_of_750_databases_fits_into_one_value(record_property):
    raw = large_set(DATABASES)
    assert checks.check_objects(raw).is_ok()
    value = stored_document.next_document(None, 'x' * 36, raw)
    value['previous'] = ['x' * 36] * stored_document.PREVIOUS_COUNT
    compact = stored_document.size_bytes(value)
    # The platform may store the JSON with spaces after its separators.
    spaced = len(json.dumps(value))
    print('750 databases: {0} bytes, {1} spaced'.format(compact, spaced))
    record_property('size_bytes', compact)
    assert spaced < LIMIT_BYTES


@pytest.mark.parametrize('databases', [0, 1])
def test_large_set_is_valid_for_any_number_of_databases(databases):
    assert checks.check_objects(large_set(databases)).is_ok()
