"""Tests of the connection pool of a holder with fake connections."""

import asyncio

import pytest
import result

from celeryrelay.adapters import backends
from celeryrelay.conf import settings
from celeryrelay.core import clock
from celeryrelay.daemon.holding import pool

ADDRESS = backends.ConnectionParameters('127.0.0.1', 1, 'user', 'password')


class FakeConnection:
    def __init__(self):
        self.healthy = True
        self.in_transaction = False
        self.closed_by_server = False
        self.last_used = 0
        self.answers = True

    async def query(self, sql, timeout_ms):
        await asyncio.sleep(0)
        if self.answers:
            return result.Ok([])
        return result.Err(backends.Lost('silent'))

    def abort(self):
        self.healthy = False


class FakeServer:
    def __init__(self):
        self.opened = []
        self.refuses = False

    async def connect(self, address, timeout_ms):
        await asyncio.sleep(0)
        if self.refuses:
            return result.Err(backends.ConnectFailure(1040, 'too many'))
        connection = FakeConnection()
        self.opened.append(connection)
        return result.Ok(connection)

    @property
    def live(self):
        return [one for one in self.opened if one.healthy]


@pytest.fixture
def server(monkeypatch):
    fake = FakeServer()
    monkeypatch.setattr(backends, 'connect', fake.connect)
    return fake


def make_pool(maximum=3, ticker=None):
    return pool.ConnectionPool(
        ADDRESS,
        pool.PoolLimits(maximum=maximum, minimum=2),
        settings.StatementSettings(),
        ticker or clock.ManualClock(),
    )


async def test_maintenance_opens_the_minimum_of_connections(server):
    """Guards against a loop that never reaches the minimum."""
    connections = make_pool()
    await asyncio.wait_for(connections.maintain(), 1)
    assert len(server.live) == 2


async def test_maintenance_gives_up_while_the_server_refuses(server):
    """Guards against a busy loop on a server that is full."""
    server.refuses = True
    await asyncio.wait_for(make_pool().maintain(), 1)
    assert not server.opened


async def test_never_more_connections_than_allowed(server):
    """Guards against exceeding this holder's share of the limit."""
    connections = make_pool(maximum=3)
    taken = [(await connections.acquire()).unwrap() for _ in range(3)]
    waiter = asyncio.create_task(connections.acquire())
    await asyncio.sleep(0.01)
    assert not waiter.done()
    await connections.maintain()
    assert len(server.live) == 3
    connections.release(taken[0])
    assert (await waiter).unwrap() is taken[0]


@pytest.mark.parametrize('state', ['unhealthy', 'in_transaction'])
async def test_connection_in_unknown_state_is_never_reused(server, state):
    """Guards against passing unread rows to another caller."""
    connections = make_pool()
    connection = (await connections.acquire()).unwrap()
    if state == 'unhealthy':
        connection.healthy = False
    else:
        connection.in_transaction = True
    connections.release(connection)
    assert not connection.healthy
    assert (await connections.acquire()).unwrap() is not connection


async def test_connection_closed_by_the_server_is_skipped(server):
    """Guards against sending a write on a closed connection."""
    connections = make_pool()
    connection = (await connections.acquire()).unwrap()
    connections.release(connection)
    connection.closed_by_server = True
    assert (await connections.acquire()).unwrap() is not connection


async def test_silent_idle_connection_is_replaced(server):
    """Guards against a connection whose state a network device has dropped."""
    ticker = clock.ManualClock()
    connections = make_pool(ticker=ticker)
    await connections.maintain()
    for connection in server.opened:
        connection.answers = False
    idle_ms = settings.StatementSettings().idle_check_ms
    ticker.advance(2 * idle_ms / 1000)
    await connections.maintain()
    assert len(server.live) == 2
    assert not any(one.healthy for one in server.opened[:2])


async def test_failed_acquire_releases_its_permit(server):
    """Guards against leaking a permit with each refused connection."""
    connections = make_pool(maximum=1)
    server.refuses = True
    assert (await connections.acquire()).is_err()
    server.refuses = False
    acquired = await asyncio.wait_for(connections.acquire(), 1)
    assert acquired.is_ok()


async def test_cancelled_waiter_releases_its_permit(server):
    """Guards against leaking the permits of cancelled callers."""
    connections = make_pool(maximum=1)
    held = (await connections.acquire()).unwrap()
    waiter = asyncio.create_task(connections.acquire())
    await asyncio.sleep(0)
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    connections.release(held)
    acquired = await asyncio.wait_for(connections.acquire(), 1)
    assert acquired.is_ok()


async def test_one_lost_connection_has_the_others_checked(server):
    """Guards against sending a write on another unresponsive connection."""
    connections = make_pool()
    await connections.maintain()
    lost = (await connections.acquire()).unwrap()
    silent = server.opened[0] if lost is server.opened[1] else server.opened[1]
    silent.answers = False
    lost.healthy = False
    connections.release(lost)
    assert (await connections.acquire()).unwrap() is not silent
