"""Guards against callers that are sent away while a daemon starts.

Found on a day that ends with the loss of all processes while the store is
down: callers used up their retries within milliseconds.
"""

import asyncio

import pytest

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import application, catalog, session_registry
from celeryrelay.platform import callers
from standins.linedb import client as clients
from tests.gateway import test_failover


@pytest.fixture
def daemon():
    return application.Application(
        test_failover.OPTIONS,
        application.Adapters(None, None, None, None),
        clocks.SystemClock(),
    )


@pytest.fixture
async def client(daemon):
    listener = await callers.listen(daemon.sessions, '127.0.0.1:0')
    _, port = listener.sockets[0].getsockname()
    opened = clients.Client(port)
    yield opened
    opened.close()
    listener.close()


def make_catalog():
    route = catalog.Route(
        'd1',
        'g1',
        catalog.ReadConsistency.primary,
        0,
        800,
        400,
        0,
    )
    return catalog.Configuration(
        1, {'d1': route}, {'g1': test_failover.GROUP}, 3000
    )


async def test_session_opens_as_soon_as_the_configuration_is_known(
    daemon,
    client,
):
    opening = asyncio.create_task(client.start('d1'))
    await asyncio.sleep(0.1)
    assert not opening.done()
    client.write('QUERY q1 SET zone a')
    daemon.on_change(make_catalog())
    assert (await opening).state == 'I'
    assert (await client._answer()).ok


async def test_unknown_name_is_refused_once_the_configuration_is_known(
    daemon,
    client,
):
    opening = asyncio.create_task(client.start('d2'))
    await asyncio.sleep(0.05)
    daemon.on_change(make_catalog())
    assert (await opening).code == 'NODB'


async def test_session_is_refused_while_the_caller_still_waits(client):
    """Guards against silence for longer than the 2 s that callers accept."""
    async with asyncio.timeout(2):
        refused = await client.start('d1')
    assert refused.code == 'BUSY'


async def test_caller_that_leaves_while_it_waits_is_forgotten(daemon, client):
    opening = asyncio.create_task(client.start('d1'))
    await asyncio.sleep(0.05)
    client.close()
    await asyncio.sleep(0.05)
    daemon.on_change(make_catalog())
    await asyncio.sleep(0.05)
    assert len(daemon.sessions) == 0
    opening.cancel()


async def test_flood_of_early_messages_ends_the_connection(client, monkeypatch):
    monkeypatch.setattr(session_registry, 'OPEN_WAIT_S', 0.2)
    opening = asyncio.create_task(client.start('d1'))
    await asyncio.sleep(0.05)
    for number in range(callers.MAX_EARLY_MESSAGES + 1):
        client.write(f'QUERY q{number} READ x')
    assert (await opening).code == 'MALFORMED'
