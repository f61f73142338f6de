"""Fake platform and daemon for the tests of `celeryrelay-ctl`."""

import asyncio
import contextlib
import threading

from aiohttp import web

KEY = 'fleet'


class FakePlatform:
    """Key-value store and instance list that can simulate faults.

    Attributes:
        before_put: Called once, before the next write.
        loses_answers: Number of writes that are stored but not answered.
        status_after_write: Status of every answer once a write was stored;
            0 for normal answers, -1 to close the connections instead.
    """

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.instances = []
        self.before_put = None
        self.loses_answers = 0
        self.status_after_write = 0
        self.writes = 0

    def put(self, key, value):
        self.revision += 1
        entry = {'key': key, 'value': value, 'revision': self.revision}
        self.entries[key] = entry

    async def handle(self, request):
        answer = await self._answer(request)
        if self.writes and self.status_after_write < 0:
            request.transport.abort()
        elif self.writes and self.status_after_write:
            return web.Response(status=self.status_after_write)
        return answer

    async def _answer(self, request):
        if request.path == '/v1/instances':
            return web.json_response({'instances': self.instances})
        if request.path == '/v1/range':
            prefix = request.query['prefix']
            entries = [
                entry
                for key, entry in self.entries.items()
                if key.startswith(prefix)
            ]
            return web.json_response(
                {'revision': self.revision, 'entries': entries},
            )
        key = request.path.removeprefix('/v1/kv/')
        if request.method == 'PUT':
            return await self._put(request, key)
        if key in self.entries:
            return web.json_response(self.entries[key])
        return web.json_response({}, status=404)

    async def _put(self, request, key):
        if self.before_put:
            self.before_put()
            self.before_put = None
        absent = {'key': key, 'value': None, 'revision': 0}
        current = self.entries.get(key, absent)
        if int(request.query['expected']) != current['revision']:
            return web.json_response(current, status=409)
        self.writes += 1
        self.put(key, (await request.json())['value'])
        if self.loses_answers:
            self.loses_answers -= 1
            request.transport.abort()
        return web.json_response({'revision': self.revision})


class FakeDaemon:
    """Daemon that answers requests with the fleet key."""

    def __init__(self):
        self.drains = 0

    async def handle(self, request):
        if request.headers.get('Authorization') != 'Bearer ' + KEY:
            return web.Response(status=401, text='wrong key')
        if request.path == '/admin/drain':
            self.drains += 1
        return web.json_response({'state': 'live', 'revision': 3})


@contextlib.contextmanager
def serving(fake):
    """Serve `fake` from a thread and yield its address."""
    loop = asyncio.new_event_loop()
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', fake.handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)

    async def start():
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()

    loop.run_until_complete(start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield '127.0.0.1:{0}'.format(runner.addresses[0][1])
    asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()
