"""Guards the split of platform failures into sent and not sent."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest
import result
from aiohttp import web

from celeryrelay.adapters import platform_client
from celeryrelay.membership import view

TIMEOUT_MS = 300


class FakePlatform:
    """Store that answers as told; `modes` holds faults by method."""

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.queries = []
        self.modes = {}
        self.requests = 0

    async def handle(self, request):
        self.requests += 1
        self.queries.append((request.path, dict(request.query)))
        mode = self.modes.get(request.method)
        if isinstance(mode, int):
            return web.Response(status=mode, text='not now')
        if mode == 'garbage':
            return web.Response(text='<html>')
        answer = await self.answer(request)
        if mode == 'lose':
            request.transport.abort()
        if mode == 'slow':
            await asyncio.sleep(5)
        return answer

    async def answer(self, request):
        if request.path.startswith('/v1/kv/'):
            key = request.path.removeprefix('/v1/kv/')
            if request.method == 'PUT':
                return await self.put(key, request)
            if key not in self.values:
                return web.json_response({}, status=404)
            return web.json_response(self.values[key])
        if request.path == '/v1/instances':
            return web.json_response(
                {
                    'instances': [
                        {
                            'instance': 'a',
                            'address': '127.0.0.1:1',
                            'zone': 'z1',
                            'kind': 'database',
                            'state': 'leaving',
                            'rack': 'not known to this version',
                        },
                    ],
                }
            )
        return web.json_response(
            {
                'revision': self.revision,
                'entries': list(self.values.values()),
            }
        )

    async def put(self, key, request):
        document = await request.json()
        current = self.values.get(key, {'revision': 0})
        if int(request.query['expected']) != current['revision']:
            return web.json_response(current, status=409)
        self.revision += 1
        self.values[key] = {
            'key': key,
            'value': document['value'],
            'revision': self.revision,
        }
        return web.json_response({'revision': self.revision})


@contextlib.asynccontextmanager
async def running(fake):
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', fake.handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        yield platform_client.PlatformClient(
            'http://127.0.0.1:{0}/'.format(port),
            session,
            TIMEOUT_MS,
        )
    await runner.cleanup()


async def test_values_are_written_and_read_back():
    fake = FakePlatform()
    async with running(fake) as client:
        key = 'groups/rounds 1/term'
        assert await client.get(key) == result.Err(
            platform_client.KeyNotFound()
        )
        assert await client.put(key, {'term': 1}, 0) == result.Ok(
            platform_client.PutResult(1),
        )
        entry = platform_client.Entry(key, {'term': 1}, 1)
        assert await client.get(key) == result.Ok(entry)
        assert await client.range('groups/', 0) == result.Ok(
            platform_client.Changes(1, (entry,)),
        )
        assert (await client.watch('groups/', 0, 50)).is_ok()
    assert fake.queries[-1] == (
        '/v1/watch',
        {'prefix': 'groups/', 'since': '0', 'wait_ms': '50'},
    )


async def test_a_lost_race_returns_the_current_entry():
    async with running(FakePlatform()) as client:
        await client.put('key', 'first', 0)
        assert await client.put('key', 'second', 0) == result.Err(
            platform_client.Conflict(platform_client.Entry('key', 'first', 1)),
        )


async def test_the_list_keeps_leaving_backend_servers():
    async with running(FakePlatform()) as client:
        entry = view.ListedInstance(
            'a',
            '127.0.0.1:1',
            'z1',
            view.InstanceKind.database,
            view.InstanceState.leaving,
        )
        assert await client.instances() == result.Ok(
            platform_client.InstanceList((entry,)),
        )


@pytest.mark.parametrize('status', [413, 429, 500, 503])
async def test_error_statuses_are_refusals(status):
    fake = FakePlatform()
    fake.modes = {'PUT': status}
    async with running(fake) as client:
        assert await client.put('key', 1, 0) == result.Err(
            platform_client.ErrorResponse(status, 'not now'),
        )


async def test_a_lost_answer_is_not_sent_twice():
    # aiohttp repeats a PUT on a closed kept-alive connection; the second
    # attempt would see its own write and report a lost race.
    fake = FakePlatform()
    async with running(fake) as client:
        await client.get('key')
        fake.modes = {'PUT': 'lose'}
        answer = await client.put('key', 1, 0)
        assert isinstance(answer.err(), platform_client.AnswerLost)
        assert fake.requests == 2
        assert fake.values['key']['value'] == 1


@pytest.mark.parametrize('mode', ['slow', 'garbage', 'lose'])
async def test_silence_and_garbage_may_have_taken_effect(mode):
    fake = FakePlatform()
    fake.modes = {'PUT': mode}
    async with running(fake) as client:
        answer = await client.put('key', 1, 0)
        assert isinstance(answer.err(), platform_client.AnswerLost)


@pytest.mark.parametrize(
    'address',
    ['http://127.0.0.1:{port}', 'http://127.0.0.1:port', 'nothing'],
)
async def test_no_connection_means_nothing_was_sent(address):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        url = address.replace('{port}', str(unused.getsockname()[1]))
        async with aiohttp.ClientSession() as session:
            client = platform_client.PlatformClient(url, session, TIMEOUT_MS)
            answer = await client.put('key', 1, 0)
    assert isinstance(answer.err(), platform_client.Unreachable)


async def test_a_full_backlog_means_nothing_was_sent():
    # The connection is never established, so a timeout there proves that no
    # byte of the request has left.
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        port = listener.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', port))
        async with aiohttp.ClientSession() as session:
            client = platform_client.PlatformClient(
                'http://127.0.0.1:{0}'.format(port),
                session,
                TIMEOUT_MS,
            )
            answer = await client.put('key', 1, 0)
        for filler in fillers:
            filler.close()
    assert isinstance(answer.err(), platform_client.Unreachable)


async def test_a_value_that_is_not_json_is_not_sent():
    fake = FakePlatform()
    async with running(fake) as client:
        answer = await client.put('key', object(), 0)
    assert isinstance(answer.err(), platform_client.Unreachable)
    assert fake.requests == 0
