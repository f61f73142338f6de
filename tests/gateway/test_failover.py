"""Guards against two orders for one failure."""

import asyncio

import pytest
import result

from celeryrelay.core import clock as clocks
from celeryrelay.core import positions
from celeryrelay.gateway import (
    application,
    catalog,
    commands,
    interfaces,
    settings,
)

OPTIONS = settings.Settings(
    instance='front-1',
    availability_zone='z1',
    regions={},
    caller_address='',
    probe_address='',
    metrics_address='',
    link_address='',
    store_address='',
    orders_address='',
)
GROUP = catalog.Group('g1', 22, replicated=False)


def make_server(server_id, role):
    return catalog.Server(
        server_id=server_id,
        group='g1',
        address='10.0.0.1:80',
        availability_zone='z1',
        slots=3,
        state=catalog.ServerState.ready,
        role=role,
        revision=1,
    )


class FakeConnection:
    """Answers each command as a replica at position 1.7 does."""

    closed = False
    first_position = None

    def send(self, batch):
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in batch]
        reply = commands.Reply(
            b'',
            None,
            positions.Position('g1', 1, 7),
            last_row='replica',
        )
        for future in futures:
            loop.call_later(0.05, future.set_result, reply)
        return futures

    def close(self, reason):
        """Do nothing."""


class FakeConnector:
    """Reaches all servers but the dead primary."""

    async def open(self, server, timeout_s):
        if server.server_id == 'dead':
            await asyncio.sleep(timeout_s)
            return result.Err(commands.ConnectError.silent)
        return result.Ok(FakeConnection())

    def status(self, reply):
        return commands.Status(False, 1, reply.position)


class FakeStore:
    """Keeps one office and compares revisions."""

    def __init__(self):
        self.revision = 0
        self.lose_answer = False
        self.office = None

    async def acquire_office(self, office, known_revision):
        if known_revision != self.revision:
            return result.Ok(None)
        self.revision += 10
        self.office = catalog.Office(
            office.group,
            office.holder,
            office.nonce,
            self.revision,
        )
        if self.lose_answer:
            return result.Err(interfaces.StoreError('lost', unknown=True))
        return result.Ok(self.revision)

    async def read_office(self, group):
        return result.Ok(self.office)


class FakeOrders:
    """Notes the orders."""

    def __init__(self):
        self.orders = []

    async def promote(self, group, server_id, office):
        self.orders.append((server_id, office.revision))
        return interfaces.OrderOutcome(True, False, '')


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def orders():
    return FakeOrders()


@pytest.fixture
async def daemon(store, orders):
    made = application.Application(
        OPTIONS,
        application.Adapters(store, orders, FakeConnector(), None),
        clocks.SystemClock(),
    )
    for item in (
        catalog.Configuration(1, {}, {'g1': GROUP}, 3000),
        make_server('dead', catalog.Role.primary),
        make_server('s2', catalog.Role.replica),
        make_server('s3', catalog.Role.replica),
    ):
        made.on_change(item)
    return made


async def test_order_of_another_daemon_during_the_questions_is_seen(
    daemon,
    store,
    orders,
):
    """Found on zilina-dent trouble-3: two daemons ordered 0.2 s apart.

    The second one wrote its office over the first one's, whose event had come
    while it asked the servers for their positions.
    """
    replacing = asyncio.create_task(daemon._failover._replace(GROUP, False))
    await asyncio.sleep(0.02)
    other = catalog.Office('g1', 'front-2', 'n', 30)
    store.revision, store.office = 30, other
    daemon.on_change(other)
    await replacing
    assert orders.orders == []


async def test_office_whose_answer_was_lost_is_recognised(
    daemon,
    store,
    orders,
):
    store.lose_answer = True
    await daemon._failover._replace(GROUP, False)
    assert [token for _, token in orders.orders] == [10]


async def test_foreign_office_is_not_taken_for_the_own_one(
    daemon,
    store,
    orders,
):
    """Guards against two holders with one fencing token."""
    store.lose_answer = True
    taken = store.acquire_office

    async def lose(office, known_revision):
        answer = await taken(office, known_revision)
        store.office = catalog.Office('g1', 'front-2', 'other', 20)
        return answer

    store.acquire_office = lose
    await daemon._failover._replace(GROUP, False)
    assert orders.orders == []
