"""HTTP service of the stand-in store and of promotion orders."""

import asyncio
import dataclasses
import typing

from aiohttp import web

from standins.kvstore import store as stores
from standins.linedb import group as groups

PAGE_ITEMS = 50
EXPIRE_S = 0.1


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of the store.

    Attributes:
        down: Whether it answers 503 to all calls.
        lose_write_answers: Whether changes are made and the connection ends.
        delay_s: Time that each call takes.
    """

    down: bool = False
    lose_write_answers: bool = False
    delay_s: float = 0


@dataclasses.dataclass(slots=True)
class PromotionOrder:
    """A promotion order that came in."""

    group: str
    server_id: str
    holder: str
    token: int
    status: int


class StoreService:
    """Serves the store and carries promotion orders out."""

    def __init__(self, found: dict[str, groups.Group]) -> None:
        """Promote the servers of `found`."""
        self.store = stores.Store()
        self.faults = Faults()
        self.promotion_orders: list[PromotionOrder] = []
        self.promotion_delay_s = 0.1
        self.address = ''
        self._groups = found
        self._runner: web.AppRunner | None = None
        self._stopping = False
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen at a free port of 127.0.0.1."""
        app = web.Application(middlewares=[self._apply_faults])
        prefix = '/celeryrelay/'
        app.add_routes(
            [
                web.get(f'{prefix}kv-key', self._key),
                web.get(f'{prefix}kv-range', self._range),
                web.get(f'{prefix}kv-watch', self._watch),
                web.post(f'{prefix}kv-txn', self._change),
                web.post(f'{prefix}kv-lease', self._lease),
                web.post(f'{prefix}kv-keep/{{lease}}', self._keep),
                web.delete(f'{prefix}kv-lease-end/{{lease}}', self._end),
                web.post('/promote', self._promote),
            ],
        )
        self._runner = web.AppRunner(
            app,
            shutdown_timeout=0,
            access_log=None,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.address = f'{host}:{port}'
        self._spawn(self._expire())

    async def stop(self) -> None:
        """End all tasks and connections."""
        for task in self._tasks:
            task.cancel()
        self._stopping = True
        self.store.changed.set()
        await self._runner.cleanup()

    def _spawn(self, part: typing.Coroutine) -> None:
        task = asyncio.create_task(part)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self.store.expire()

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: typing.Callable,
    ) -> web.StreamResponse:
        if self.faults.down and request.path != '/promote':
            return web.Response(status=503)
        await asyncio.sleep(self.faults.delay_s)
        response = await handler(request)
        changes = request.method == 'POST' and request.path != '/promote'
        if self.faults.lose_write_answers and changes:
            request.transport.abort()
        return response

    async def _key(self, request: web.Request) -> web.Response:
        item = self.store.items.get(request.query['key'])
        if item is None:
            return web.Response(status=404)
        return web.json_response(
            {**item, 'store_revision': self.store.revision},
        )

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self.store.items
            if key.startswith(prefix) and key > after
        )
        return web.json_response(
            {
                'items': [self.store.items[key] for key in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'store_revision': self.store.revision,
            },
        )

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        wait_s = int(request.query['wait_ms']) / 1000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if after < self.store.first_revision:
                return web.Response(status=410)
            events = [
                event
                for event in self.store.history
                if event['mod_revision'] > after
                and event['key'].startswith(request.query['prefix'])
            ]
            left_s = deadline - loop.time()
            if events or left_s <= 0 or self._stopping:
                return web.json_response(
                    {'events': events, 'store_revision': self.store.revision},
                )
            changed = self.store.changed
            await asyncio.wait(
                [asyncio.ensure_future(changed.wait())],
                timeout=left_s,
            )

    async def _change(self, request: web.Request) -> web.Response:
        body = await request.json()
        current = {
            row['key']: self.store.items.get(row['key'], {})
            for row in body.get('expect_rev', [])
        }
        for row in body.get('expect_rev', []):
            if (
                current[row['key']].get('mod_revision', 0)
                != row['mod_revision']
            ):
                found = [item for item in current.values() if item]
                return web.json_response({'items': found}, status=412)
        for put in body.get('puts', []):
            lease = put.get('lease', 0)
            if lease and lease not in self.store.leases:
                return web.Response(status=404)
            self.store.put(put['key'], put['value'], lease)
        for key in body.get('deletes', []):
            self.store.delete(key)
        return web.json_response({'mod_revision': self.store.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())['ttl_ms']
        lease = self.store.new_lease(ttl_ms)
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = self.store.leases.get(int(request.match_info['lease']))
        if lease is None:
            return web.Response(status=404)
        loop = asyncio.get_running_loop()
        lease.ends_at = loop.time() + lease.ttl_ms / 1000
        return web.json_response({'ttl_ms': lease.ttl_ms})

    async def _end(self, request: web.Request) -> web.Response:
        found = self.store.end_lease(int(request.match_info['lease']))
        return web.Response(status=200 if found else 404)

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        token = int(request.headers['Fence-Token'])
        newest = max(
            (
                one.token
                for one in self.promotion_orders
                if one.group == body['service']
            ),
            default=0,
        )
        order = PromotionOrder(
            body['service'],
            body['id'],
            request.headers['Holder'],
            token,
            409 if token < newest else 200,
        )
        self.promotion_orders.append(order)
        if order.status == 200:
            self._spawn(self._carry_out(order))
        return web.Response(status=order.status)

    async def _carry_out(self, order: PromotionOrder) -> None:
        await asyncio.sleep(self.promotion_delay_s)
        self._groups[order.group].promote(order.server_id)
