import asyncio
import time

import aiohttp
import pytest


@pytest.fixture
async def platform(programs):
    program = await programs.start(
        'platform',
        'standins.platform.command',
        '--write_limit=20',
    )
    port = program.listening['http']
    async with aiohttp.ClientSession(f'http://127.0.0.1:{port}') as session:

        async def call(method, path, **body):
            request = session.request(method, path, json=body or None)
            async with request as answer:
                return answer.status, await answer.json()

        yield call


async def test_compare_and_swap(platform):
    """Guards against a lost update when two writers race."""
    status, first = await platform('PUT', '/v1/kv/a/b?expected=0', value=1)
    assert status == 200
    status, current = await platform('PUT', '/v1/kv/a/b?expected=0', value=2)
    assert (status, current['value']) == (409, 1)
    path = f'/v1/kv/a/b?expected={first["revision"]}'
    assert (await platform('PUT', path, value=3))[0] == 200
    assert (await platform('PUT', path, value=4))[0] == 409
    assert (await platform('GET', '/v1/kv/a/b'))[1]['value'] == 3


async def test_lost_answer_leaves_the_change_applied(platform):
    """Guards against a fault that loses the change with the answer."""
    await platform('POST', '/admin/faults', lose_answers=True)
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await platform('POST', '/v1/leases', ttl_ms=60000)
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await platform('PUT', '/v1/kv/a', value=1)
    assert (await platform('GET', '/v1/kv/a'))[1]['value'] == 1


async def test_watch_ends_with_the_change(platform):
    """Guards against watches that miss a change or wait until they time out."""
    revision = (await platform('PUT', '/v1/kv/a/b', value=1))[1]['revision']
    path = f'/v1/watch?prefix=a/&since={revision}&wait_ms=60000'
    watch = asyncio.create_task(platform('GET', path))
    await platform('PUT', '/v1/kv/b', value=1)
    _, changed = await platform('PUT', '/v1/kv/a/c', value=2)
    async with asyncio.timeout(5):
        _, seen = await watch
    entry = {'key': 'a/c', 'value': 2, 'revision': changed['revision']}
    assert seen == {'revision': changed['revision'], 'entries': [entry]}
    _, calls = await platform('GET', '/admin/calls')
    assert calls['calls']['GET /v1/watch'] == 1


async def test_lease_keeps_its_key_while_it_is_renewed(platform):
    """Guards against keys that outlive their lease, or end too early."""
    lease = (await platform('POST', '/v1/leases', ttl_ms=400))[1]['lease']
    path = f'/v1/kv/a?lease={lease}'
    revision = (await platform('PUT', path, value=1))[1]['revision']
    started_at = time.monotonic()
    while time.monotonic() < started_at + 0.8:
        assert (await platform('POST', f'/v1/leases/{lease}/renew'))[0] == 200
        assert (await platform('GET', '/v1/kv/a'))[0] == 200
        await asyncio.sleep(0.1)
    watch = f'/v1/watch?prefix=a&since={revision}&wait_ms=5000'
    _, seen = await platform('GET', watch)
    assert seen['entries'][0]['value'] is None
    assert (await platform('GET', '/v1/kv/a'))[0] == 404
    assert (await platform('POST', f'/v1/leases/{lease}/renew'))[0] == 404


async def test_rate_and_size_limits(platform):
    """Guards against a stand-in that accepts more than the real service."""
    big = 'x' * 1_000_001
    assert (await platform('PUT', '/v1/kv/a', value=big))[0] == 413
    statuses = [
        (await platform('PUT', '/v1/kv/a', value=1))[0] for _ in range(60)
    ]
    assert 429 in statuses
    assert (await platform('GET', '/v1/kv/a'))[0] == 200


async def test_instance_list_lags(platform):
    """Guards against a lag without effect, on which membership tests rely."""
    await platform('POST', '/admin/faults', list_lag_ms=300)
    await platform('POST', '/admin/instances', instances=['new'])
    changed_at = time.monotonic()
    async with asyncio.timeout(5):
        while not (await platform('GET', '/v1/instances'))[1]['instances']:
            await asyncio.sleep(0.01)
    assert time.monotonic() - changed_at > 0.25


async def test_down_also_ends_waiting_watches(platform):
    """Guards against an outage in which some calls are still answered."""
    path = '/v1/watch?prefix=a&since=0&wait_ms=60000'
    watch = asyncio.create_task(platform('GET', path))
    await platform('POST', '/admin/faults', down=True)
    async with asyncio.timeout(5):
        with pytest.raises(aiohttp.ClientError):
            await watch
    with pytest.raises(aiohttp.ClientError):
        await platform('GET', '/v1/kv/a')
    await platform('POST', '/admin/faults', down=False)
    assert (await platform('GET', '/v1/kv/a'))[0] == 404
