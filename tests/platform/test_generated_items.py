"""Generated items of the store, to a real daemon with a fake server."""

import asyncio
import copy
import json

import hypothesis
import pytest
import result
from hypothesis import strategies

from celeryrelay.adapters import connection_guard
from celeryrelay.admission import input_memory
from celeryrelay.gateway import application, catalog
from celeryrelay.platform import callers, store_items
from tests.gateway import test_failover
from tests.platform import (
    test_generated_callers,
    test_store_items,
    virtual_time,
)

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None
)
MEMBER = {
    'zone': 'z1',
    'start': 'a',
    'link_address': '10.0.0.9:7455',
    'capacity': 0.5,
}
OFFICE = {
    'holder': 'front-2',
    'nonce': 'n',
    'candidates': ['i-1'],
    'settled': False,
    'hold_term': 3,
}
DOCUMENTS = {
    'op/config': test_store_items.CONFIGURATION,
    'servers/i-1': {
        **test_store_items.SERVER,
        'service': 'g1',
        'db_role': 'primary',
    },
    'servers/i-2': test_store_items.SERVER,
    'celeryrelay/members/front-1': {**MEMBER, 'link_address': ''},
    'celeryrelay/members/front-2': MEMBER,
    'celeryrelay/complaints/g1/front-2': {'server': 'i-1'},
    'celeryrelay/offices/g1': OFFICE,
}
NUMBERS = strategies.sampled_from(
    [0, -1, 1, 7, 1.5, 1e308, 5e-324, -1e308, 2**62, 2**70, 10**400]
)
VALUES = NUMBERS | strategies.sampled_from(
    [None, True, '', 'x', 'é\u0416\n', 'z' * 9999, [], {}, [{}], 'd1', 'g2']
)
ANSWER_TIMEOUT_S = 60


def paths_of(document, prefix=()):
    """Return the path of each value in a document."""
    entries = document.items() if isinstance(document, dict) else ()
    if isinstance(document, list):
        entries = enumerate(document)
    paths = [prefix] if prefix else []
    for key, value in entries:
        paths += paths_of(value, (*prefix, key))
    return paths


PATHS = [
    (key, path) for key, one in DOCUMENTS.items() for path in paths_of(one)
]
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(PATHS), VALUES | strategies.just(KeyError)
    ),
    max_size=4,
)


class LoopClock:
    """Clock that follows the time of the event loop."""

    def monotonic(self):
        return asyncio.get_running_loop().time()


class FakeLinks:
    """Opens no links to other daemons."""

    async def open(self, address, handler, timeout_s):
        return result.Err('refused')


def make_items(changes):
    documents = copy.deepcopy(DOCUMENTS)
    for (key, path), value in changes:
        try:
            parent = documents[key]
            for step in path[:-1]:
                parent = parent[step]
            if value is KeyError:
                del parent[path[-1]]
            else:
                parent[path[-1]] = copy.deepcopy(value)
        except (LookupError, TypeError):
            continue
    items = []
    for key, document in documents.items():
        content = json.dumps(document).encode()
        raw = test_store_items.make_item(key, content)
        items.append(store_items.decode_change(raw).ok())
    return [item for item in items if item is not None]


async def serve(items):
    daemon = application.Application(
        test_failover.OPTIONS,
        application.Adapters(
            None, None, test_failover.FakeConnector(), FakeLinks()
        ),
        LoopClock(),
    )
    daemon.on_snapshot(items)
    for item in items:
        daemon.on_change(item)
    daemon.watch_pause_s(items)
    answered = await run_statements(daemon)
    daemon.shared.connection_sources.maintain()
    daemon.holder.maintain()
    daemon._check_isolation()
    assert daemon.render_metrics()
    daemon.shared.primaries.stop()
    return answered


async def run_statements(daemon):
    """Run statements of a caller; return what it received."""
    connection = callers.CallerConnection(
        daemon.sessions,
        connection_guard.ConnectionGuard(
            'callers', 8, input_memory.InputMemory(1 << 24), print
        ),
    )
    transport = test_generated_callers.FakeTransport()
    connection.connection_made(transport)
    connection.data_received(b'START d1 x\r\n')
    for text in (b'READ i', b'BEGIN READ', b'READ i', b'COMMIT'):
        if not transport.closed:
            connection.data_received(b'QUERY q ' + text + b'\r\n')
    session = connection._session
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while session is not None and (session._task or session._requests):
            await asyncio.sleep(0.05)
            assert not transport.closed, 'internal error'
    connection.connection_lost(None)
    return bytes(transport.written)


@SETTINGS
@hypothesis.given(CHANGES)
def test_items_near_the_valid_shape_leave_a_daemon_that_answers(changes):
    items = make_items(changes)
    configuration = [
        one for one in items if isinstance(one, catalog.Configuration)
    ]
    answered = virtual_time.run(serve(items))
    if not configuration:
        assert answered == b''
        return
    assert answered.startswith((b'READY', b'ERR NODB'))
    if answered.startswith(b'READY'):
        assert answered.count(b'READY') == 5


@pytest.mark.parametrize(
    ('key', 'path'),
    [
        ('op/config', ('version',)),
        ('op/config', ('services', 0, 'max_conns')),
        ('servers/i-1', ('slots',)),
        ('celeryrelay/offices/g1', ('hold_term',)),
    ],
)
def test_item_with_a_huge_integer_is_an_error(key, path):
    """Guards against sessions and orders that end with an OverflowError."""
    huge = make_items([((key, path), 10**400)])
    assert len(huge) == len(DOCUMENTS) - 1


def test_unchanged_items_let_reads_succeed():
    answered = virtual_time.run(serve(make_items([])))
    assert b'ERR' not in answered


def test_configuration_with_thousands_of_routes_is_applied():
    document = copy.deepcopy(test_store_items.CONFIGURATION)
    route = document['routes'][0]
    document['routes'] += [{**route, 'host': f'h{n}'} for n in range(5000)]
    item = test_store_items.make_item('op/config', document)
    assert len(store_items.decode_change(item).ok_value.routes) == 5001
