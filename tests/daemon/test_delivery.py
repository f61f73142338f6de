"""Tests of statement delivery against scripted holders.

A naive reading of the script tells what may be said: a write whose request
may have reached a holder without a last line is unknown, and is not sent
again; "not run" needs all attempts to be refusals or requests that were never
sent.
"""

import asyncio
import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.adapters import callers, peer_client
from celeryrelay.admission import retry_budget
from celeryrelay.conf import sets
from celeryrelay.conf import settings as daemon_settings
from celeryrelay.core import clock, identity, outcomes, peer_messages, ranks
from celeryrelay.daemon.callers import delivery
from celeryrelay.daemon.exchange import fleet
from celeryrelay.routing import statement_kinds
from celeryrelay.terms import records

SLOTS = tuple(
    sets.Slot('slot-{0}'.format(number), '127.0.0.1', 7000 + number, 'zone-1')
    for number in range(3)
)
GROUP = sets.DatabaseGroup('group-1', SLOTS, 20)
ROUTE = sets.Route('route', 'user', '', 'group-1', ranks.Rank.bookings)
POLICY = sets.RankPolicy(
    ranks.Rank.bookings,
    100,
    400,
    1,
    1,
    sets.Durability.local,
)
OBJECTS = sets.ObjectSet(
    {'group-1': GROUP},
    (ROUTE,),
    {ranks.Rank.bookings: POLICY},
    {},
)
HEADER = peer_messages.ResultHeader(
    (peer_messages.ColumnHeader('n', 8, binary=False),)
)
ROWS = peer_messages.RowBatch((('1',),))
DONE = peer_messages.DoneLine(outcomes.Done())
FAILED = peer_messages.FailedLine(outcomes.Failed(1062, '23000', 'duplicate'))
UNKNOWN = peer_messages.UnknownLine(
    outcomes.OutcomeUnknown(outcomes.Reason.connection_lost, 'lost'),
)
NOT_SENT = peer_client.PeerError(sent=False, message='refused')
SENT = peer_client.PeerError(sent=True, message='reset')


def refused(reason):
    return peer_messages.NotRunLine(outcomes.NotRun(reason, 'no'))


PASSING = refused(outcomes.Reason.no_primary)
FINAL = refused(outcomes.Reason.overload)

WRITE_ANSWERS = st.sampled_from(
    [
        (DONE,),
        (FAILED,),
        (UNKNOWN,),
        (PASSING,),
        (FINAL,),
        (NOT_SENT,),
        (SENT,),
    ],
)
READ_ANSWERS = st.sampled_from(
    [
        (HEADER, ROWS, DONE),
        (HEADER, ROWS, SENT),
        (HEADER, UNKNOWN),
        (PASSING,),
        (FINAL,),
        (NOT_SENT,),
        (SENT,),
    ],
)


class ScriptedForwarder:
    """Answers each attempt with the next entry of a script."""

    def __init__(self, script, ticker):
        self.script = list(script)
        self.used = []
        self.ticker = ticker

    def instances(self, target):
        return ('holder-1', 'holder-2')

    async def send(self, instance, target, options):
        self.ticker.advance(0.05)
        answer = self.script.pop(0) if self.script else (PASSING,)
        self.used.append(answer)
        for part in answer:
            yield part


def make_deliverer(script):
    ticker = clock.ManualClock()
    own = identity.Identity('127.0.0.1:1', 'zone-1', 'first')
    known = fleet.Fleet(own)
    entry = peer_messages.TermEntry(
        'group-1',
        records.dump(records.initial('group-1', 'slot-0')),
        1,
    )
    known.take_terms([entry], fleet.Stamp(1, 0))
    forwarder = ScriptedForwarder(script, ticker)
    parts = delivery.DeliveryParts(
        fleet=known,
        forwarder=forwarder,
        retries=retry_budget.RetryBudget(),
        settings=daemon_settings.Settings(
            deployment='test',
            availability_zone='zone-1',
            platform_url='http://127.0.0.1:1',
            fleet_key_file='key',
        ),
        clock=ticker,
    )
    return delivery.Deliverer(parts, 0), forwarder, known


def make_statement(kind):
    return delivery.Statement(
        request='request-1',
        sql='statement',
        kind=kind,
        caller_request='',
        objects=OBJECTS,
        route=ROUTE,
        started_at=0,
        deadline=0.4,
    )


async def collect(parts, known):
    collected = []
    waker = asyncio.create_task(wake(known))
    async for part in parts:
        collected.append(part)
    waker.cancel()
    return collected


async def wake(known):
    while True:
        known.notify()
        await asyncio.sleep(0)


def run(script, kind):
    async def play():
        deliverer, forwarder, known = make_deliverer(script)
        statement = make_statement(kind)
        if kind is statement_kinds.Kind.read:
            parts = deliverer.read(
                statement,
                statement.message(),
                lambda message: message,
            )
        else:
            parts = deliverer.on_primary(statement, statement.message())
        return await collect(parts, known), forwarder.used

    return asyncio.run(play())


def ends(parts):
    last = (*delivery.LAST, callers.CloseConnection)
    return [part for part in parts if isinstance(part, last)]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(WRITE_ANSWERS, max_size=6))
def test_write_gets_one_true_outcome(script):
    """Guards against sending a write twice and against a false "not run"."""
    parts, used = run(script, statement_kinds.Kind.write)
    assert len(ends(parts)) == 1
    decisive = [answer for answer in used if answer in WITH_EFFECT]
    assert len(decisive) <= 1
    if decisive:
        assert used[-1] is decisive[0]
    match parts[-1]:
        case outcomes.NotRun():
            assert not decisive
        case outcomes.Done():
            assert used[-1] == (DONE,)
        case outcomes.Failed():
            assert used[-1] == (FAILED,)
        case outcomes.OutcomeUnknown():
            assert used[-1] in {(UNKNOWN,), (SENT,)}


WITH_EFFECT = ((DONE,), (FAILED,), (UNKNOWN,), (SENT,))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(READ_ANSWERS, max_size=6))
def test_read_is_whole_or_its_connection_is_closed(script):
    """Guards against joining the parts of two answers."""
    parts, _ = run(script, statement_kinds.Kind.read)
    assert len(ends(parts)) == 1
    assert (
        sum(isinstance(one, peer_messages.ResultHeader) for one in parts) <= 1
    )
    if isinstance(parts[-1], outcomes.Done):
        assert parts[:2] == [HEADER, ROWS]
    if isinstance(parts[-1], outcomes.NotRun):
        assert len(parts) == 1


def test_acknowledgement_that_comes_too_late_is_withheld():
    """Guards against passing on an acknowledgement after its time."""
    late = peer_messages.DoneLine(outcomes.Done(ack_within_ms=49))
    parts, _ = run([(late,)], statement_kinds.Kind.write)
    assert isinstance(parts[-1], callers.CloseConnection)
    in_time = dataclasses.replace(late, done=outcomes.Done(ack_within_ms=60))
    parts, _ = run([(in_time,)], statement_kinds.Kind.write)
    assert isinstance(parts[-1], outcomes.Done)
