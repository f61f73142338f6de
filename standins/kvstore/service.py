"""HTTP service of the stand-in store and for promotion orders."""

import asyncio
import dataclasses
import typing

from aiohttp import web

from standins.kvstore import store as stores
from standins.linedb import group as groups

MAX_PAGE_ITEMS = 50
EXPIRY_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of the HTTP service.

    Attributes:
        down: Whether calls of the store are answered with status 503.
        lose_write_answers: Whether POST calls of the store take effect and the
            connection is then reset instead of an answer.
        lose_watch_answers: Whether the responses to watches are lost. Nothing
            more is received on their connections.
        delay_s: Delay added to each call.
    """

    down: bool = False
    lose_write_answers: bool = False
    lose_watch_answers: bool = False
    delay_s: float = 0


@dataclasses.dataclass(slots=True)
class PromotionOrder:
    """Received promotion order.

    Attributes:
        group: Group whose primary is replaced.
        server_id: Server to be promoted.
        holder: Daemon that sent the order as holder of the office.
        token: Fencing token of the office.
        status: Status of the response; 409 if the token was outdated.
    """

    group: str
    server_id: str
    holder: str
    token: int
    status: int


class StoreService:
    """Serves the store over HTTP and carries out promotion orders.

    Attributes:
        store: Items and leases.
        faults: Faults in effect.
        promotion_orders: All received orders, including refused ones.
        promotion_delay_s: Time from an order to the promotion.
        address: Address of the service (`host:port`) once it has started.
    """

    def __init__(self, groups_by_name: dict[str, groups.Group]) -> None:
        """Create a service that promotes servers of the groups by name."""
        self.store = stores.Store()
        self.faults = Faults()
        self.promotion_orders: list[PromotionOrder] = []
        self.promotion_delay_s = 0.1
        self.address = ''
        self._groups = groups_by_name
        self._runner: web.AppRunner | None = None
        self._stopping = False
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        app = web.Application(middlewares=[self._apply_faults])
        prefix = '/celeryrelay/'
        app.add_routes(
            [
                web.get(f'{prefix}kv-key', self._get_item),
                web.get(f'{prefix}kv-range', self._list_items),
                web.get(f'{prefix}kv-watch', self._watch),
                web.post(f'{prefix}kv-txn', self._run_transaction),
                web.post(f'{prefix}kv-lease', self._grant_lease),
                web.post(f'{prefix}kv-keep/{{lease}}', self._renew_lease),
                web.delete(f'{prefix}kv-lease-end/{{lease}}', self._end_lease),
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
        self._spawn(self._expire_leases())

    async def stop(self) -> None:
        """Cancel background tasks, answer waiting watches and close."""
        for task in self._tasks:
            task.cancel()
        self._stopping = True
        self._stopped.set()
        self.store.changed.set()
        await self._runner.cleanup()

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.store.expire()

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: typing.Callable,
    ) -> web.StreamResponse:
        if self.faults.down and request.path != '/promote':
            era = str(self.store.era)
            return web.Response(status=503, headers={'Store-Era': era})
        await asyncio.sleep(self.faults.delay_s)
        response = await handler(request)
        response.headers['Store-Era'] = str(self.store.era)
        if self.faults.lose_watch_answers and request.path.endswith('kv-watch'):
            await self._stopped.wait()
        is_write = request.method == 'POST' and request.path != '/promote'
        if self.faults.lose_write_answers and is_write:
            request.transport.abort()
        return response

    async def _get_item(self, request: web.Request) -> web.Response:
        item = self.store.items.get(request.query['key'])
        if item is None:
            return web.Response(status=404)
        return web.json_response(
            {**item, 'store_revision': self.store.revision},
        )

    async def _list_items(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self.store.items
            if key.startswith(prefix) and key > after
        )
        return web.json_response(
            {
                'items': [
                    self.store.items[key] for key in keys[:MAX_PAGE_ITEMS]
                ],
                'has_more': len(keys) > MAX_PAGE_ITEMS,
                'store_revision': self.store.revision,
            },
        )

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        wait_s = int(request.query['wait_ms']) / 1000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            is_unknown = after > self.store.revision
            if after < self.store.first_revision or is_unknown:
                return web.Response(status=410)
            events = [
                event
                for event in self.store.history
                if event['mod_revision'] > after
                and event['key'].startswith(request.query['prefix'])
            ]
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0 or self._stopping:
                return web.json_response(
                    {'events': events, 'store_revision': self.store.revision},
                )
            changed = self.store.changed
            await asyncio.wait(
                [asyncio.ensure_future(changed.wait())],
                timeout=remaining_s,
            )

    async def _run_transaction(self, request: web.Request) -> web.Response:
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
                present = [item for item in current.values() if item]
                return web.json_response({'items': present}, status=412)
        for put in body.get('puts', []):
            lease = put.get('lease', 0)
            if lease and lease not in self.store.leases:
                return web.Response(status=404)
            self.store.put(put['key'], put['value'], lease)
        for key in body.get('deletes', []):
            self.store.delete(key)
        return web.json_response({'mod_revision': self.store.revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())['ttl_ms']
        lease = self.store.grant_lease(ttl_ms)
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = self.store.leases.get(int(request.match_info['lease']))
        if lease is None:
            return web.Response(status=404)
        loop = asyncio.get_running_loop()
        lease.expires_at = loop.time() + lease.ttl_ms / 1000
        return web.json_response({'ttl_ms': lease.ttl_ms})

    async def _end_lease(self, request: web.Request) -> web.Response:
        found = self.store.end_lease(int(request.match_info['lease']))
        return web.Response(status=200 if found else 404)

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        token = int(request.headers['Fence-Token'])
        newest_token = max(
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
            409 if token < newest_token else 200,
        )
        self.promotion_orders.append(order)
        if order.status == 200:
            self._spawn(self._carry_out(order))
        return web.Response(status=order.status)

    async def _carry_out(self, order: PromotionOrder) -> None:
        await asyncio.sleep(self.promotion_delay_s)
        self._groups[order.group].promote(order.server_id)
