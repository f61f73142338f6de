"""Tests of sessions without a backend server.

After an internal error, the connection closes, so that the caller does not wait
forever.
"""

import asyncio

from celeryrelay.core import clock as clocks
from celeryrelay.core import ranks
from celeryrelay.gateway import application, catalog, interfaces
from celeryrelay.sessions import statements
from tests.gateway import test_failover


class FakeCaller:
    """Records the answers and whether it was closed."""

    def __init__(self):
        self.answers = []
        self.closed = False

    def answer(self, answer, state, position):
        self.answers.append((answer, state))

    def close(self):
        self.closed = True


def make_session(caller):
    daemon = application.Application(
        test_failover.OPTIONS,
        application.Adapters(None, None, None, None),
        clocks.SystemClock(),
    )
    route = catalog.Route(
        'd1',
        'g1',
        catalog.ReadConsistency.primary,
        ranks.Rank.bookings,
        800,
        400,
        0,
    )
    daemon.on_change(
        catalog.Configuration(
            1, {'d1': route}, {'g1': test_failover.GROUP}, 3000
        ),
    )
    return daemon.sessions.open(caller, 'd1')


async def test_internal_error_closes_the_session():
    caller = FakeCaller()
    session = make_session(caller)

    async def fail(context, statement):
        raise KeyError('broken')

    session._executors.reader.run = fail
    request = statements.Request('r1', statements.Run('READ x', writes=False))
    session.on_request(request)
    await asyncio.sleep(0.01)
    assert caller.closed
    assert caller.answers == []


async def test_local_statements_are_answered_in_order_without_a_server():
    caller = FakeCaller()
    session = make_session(caller)
    for number, statement in enumerate(
        (
            statements.SetVariable('a', '1'),
            statements.Begin(read_only=False),
            statements.Rollback(),
            statements.Rollback(),
        ),
    ):
        session.on_request(statements.Request(f'r{number}', statement))
    states = [state for _, state in caller.answers]
    assert states == [
        interfaces.TransactionState.idle,
        interfaces.TransactionState.open,
        interfaces.TransactionState.idle,
        interfaces.TransactionState.idle,
    ]
    refused = caller.answers[-1][0]
    assert refused.reason.value == 'malformed'


async def test_session_that_was_just_answered_is_not_closed_at_once():
    """A session whose next statement may be in transit must stay open.

    Under load, a session was closed between its opening and the arrival of its
    first statement.
    """
    caller = FakeCaller()
    session = make_session(caller)
    registry = session._registry
    registry.close_idle(0.05)
    assert not caller.closed
    await asyncio.sleep(0.06)
    request = statements.Request('r1', statements.SetVariable('a', '1'))
    session.on_request(request)
    registry.close_idle(0.05)
    assert not caller.closed
    await asyncio.sleep(0.06)
    registry.close_idle(0.05)
    assert caller.closed
