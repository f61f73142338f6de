"""HTTP handlers of the platform's API and of the test controls."""

import dataclasses
import json
import time
import typing

from aiohttp import web

from standins.platform import call_middleware, store

MAX_VALUE_BYTES = 1_000_000
MAX_BODY_BYTES = 4_000_000
MILLISECONDS = 1000


class Service:
    """Key-value service, instance list and test controls under `/admin`."""

    def __init__(self, read_limit: float, write_limit: float) -> None:
        """Create a service without keys and instances.

        The limits are numbers of calls per second.
        """
        self._store = store.Store()
        self._middleware = call_middleware.CallMiddleware(
            read_limit, write_limit
        )
        self._instances = call_middleware.InstanceList()

    def application(self) -> web.Application:
        """Return the web application with all routes."""
        application = web.Application(
            middlewares=[self._middleware.handle],
            client_max_size=MAX_BODY_BYTES,
        )
        application.add_routes(
            [
                web.get('/v1/kv/{key:.+}', self._get_key),
                web.put('/v1/kv/{key:.+}', self._put_key),
                web.get('/v1/range', self._range),
                web.get('/v1/watch', self._watch),
                web.post('/v1/leases', self._grant_lease),
                web.post('/v1/leases/{lease}/renew', self._renew_lease),
                web.delete('/v1/leases/{lease}', self._end_lease),
                web.get('/v1/instances', self._list_instances),
                web.post('/admin/instances', self._replace_instances),
                web.post('/admin/faults', self._set_faults),
                web.get('/admin/calls', self._get_calls),
            ]
        )
        return application

    def stop(self) -> None:
        """Reset all further calls and end waiting watches."""
        self._middleware.faults = call_middleware.Faults(down=True)
        self._store.wake_watches()

    async def _get_key(self, request: web.Request) -> web.Response:
        entry = self._store.get(request.match_info['key'])
        if entry is None:
            return web.json_response({'error': 'no such key'}, status=404)
        return web.json_response(entry.as_json())

    async def _put_key(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        value = (await request.json())['value']
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return web.json_response({'error': 'value too large'}, status=413)
        lease = request.query.get('lease', '')
        if lease and not self._store.has_lease(lease):
            return web.json_response({'error': 'no such lease'}, status=404)
        current = self._store.get(key)
        revision = 0 if current is None else current.revision
        if int(request.query.get('expected', revision)) != revision:
            absent = store.Entry(key, None, 0)
            return web.json_response(
                (current or absent).as_json(),
                status=409,
            )
        entry = self._store.put(key, value, lease)
        return web.json_response({'revision': entry.revision})

    async def _range(self, request: web.Request) -> web.Response:
        entries = self._store.changed_entries(
            request.query.get('prefix', ''),
            int(request.query.get('since', 0)),
        )
        return web.json_response(
            {
                'revision': self._store.revision,
                'entries': [entry.as_json() for entry in entries],
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        since = int(request.query.get('since', 0))
        wait_s = float(request.query.get('wait_ms', 0)) / MILLISECONDS
        deadline = time.monotonic() + wait_s
        while not self._store.changed_entries(prefix, since):
            remaining = deadline - time.monotonic()
            if remaining <= 0 or self._middleware.faults.down:
                break
            await self._store.wait_for_change(remaining)
        return await self._range(request)

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = float((await request.json())['ttl_ms'])
        lease = self._store.grant_lease(ttl_ms)
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        return _lease_response(
            self._store.renew_lease(request.match_info['lease'])
        )

    async def _end_lease(self, request: web.Request) -> web.Response:
        return _lease_response(
            self._store.end_lease(request.match_info['lease'])
        )

    async def _list_instances(self, _request: web.Request) -> web.Response:
        lag_ms = self._middleware.faults.list_lag_ms
        return web.json_response({'instances': self._instances.as_of(lag_ms)})

    async def _replace_instances(self, request: web.Request) -> web.Response:
        self._instances.replace((await request.json())['instances'])
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body: dict[str, typing.Any] = await request.json()
        try:
            self._middleware.faults = dataclasses.replace(
                self._middleware.faults, **body
            )
        except TypeError as error:
            return web.json_response({'error': str(error)}, status=400)
        self._store.wake_watches()
        return web.json_response(dataclasses.asdict(self._middleware.faults))

    async def _get_calls(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'calls': dict(self._middleware.calls),
                'refused': self._middleware.refused,
            }
        )


def _lease_response(found: bool) -> web.Response:
    if found:
        return web.json_response({})
    return web.json_response({'error': 'no such lease'}, status=404)
