"""Tests of statement delivery against scripted holders.

The expected outcome follows from the script: a write that may have reached a
holder without a last response line is unknown and must not be sent again; "not
run" requires that every attempt was refused or never sent.
"""

import asyncio
import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.adapters import caller_connection, peer_client
from celeryrelay.admission import retry_budget
from celeryrelay.conf import sets
from celeryrelay.conf import settings as daemon_settings
from celeryrelay.core import clock, identity, outcomes, peer_messages, ranks
from celeryrelay.daemon.callers import caller_statement, delivery
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.routing import statement_kinds
from celeryrelay.terms import term_records

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
NOT_SENT = peer_client.PeerFailure(sent=False, message='refused')
SENT = peer_client.PeerFailure(sent=True, message='reset')


def refused(reason):
    return peer_messages.NotRunLine(outcomes.NotRun(reason, 'no'))


RETRYABLE = refused(outcomes.Reason.no_primary)
NOT_RETRYABLE = refused(outcomes.Reason.overload)

WRITE_ANSWERS = st.sampled_from(
    [
        (DONE,),
        (FAILED,),
        (UNKNOWN,),
        (RETRYABLE,),
        (NOT_RETRYABLE,),
        (NOT_SENT,),
        (SENT,),
    ],
)
READ_ANSWERS = st.sampled_from(
    [
        (HEADER, ROWS, DONE),
        (HEADER, ROWS, SENT),
        (HEADER, UNKNOWN),
        (RETRYABLE,),
        (NOT_RETRYABLE,),
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
        answer = self.script.pop(0) if self.script else (RETRYABLE,)
        self.used.append(answer)
        for part in answer:
            yield part


def make_deliverer(script):
    ticker = clock.ManualClock()
    own_identity = identity.Identity('127.0.0.1:1', 'zone-1', 'first')
    fleet = fleet_state.FleetState(own_identity)
    entry = peer_messages.TermEntry(
        'group-1',
        term_records.dump(term_records.initial('group-1', 'slot-0')),
        1,
    )
    fleet.apply_terms([entry], fleet_state.StoreReading(1, 0))
    forwarder = ScriptedForwarder(script, ticker)
    parts = delivery.DeliveryServices(
        fleet=fleet,
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
    return delivery.Deliverer(parts, 0), forwarder, fleet


def make_statement(kind):
    return caller_statement.Statement(
        request='request-1',
        sql='statement',
        kind=kind,
        caller_request='',
        objects=OBJECTS,
        route=ROUTE,
        started_at=0,
        deadline=0.4,
    )


async def collect(parts, fleet):
    collected = []
    waker = asyncio.create_task(wake(fleet))
    async for part in parts:
        collected.append(part)
    waker.cancel()
    return collected


async def wake(fleet):
    while True:
        fleet.notify()
        await asyncio.sleep(0)


def run(script, kind):
    async def deliver():
        deliverer, forwarder, fleet = make_deliverer(script)
        statement = make_statement(kind)
        if kind is statement_kinds.Kind.read:
            parts = deliverer.run_read(
                statement,
                statement.message(),
                lambda message: message,
            )
        else:
            parts = deliverer.run_on_primary(statement, statement.message())
        return await collect(parts, fleet), forwarder.used

    return asyncio.run(deliver())


def ends(parts):
    last = (*delivery.FINAL_OUTCOMES, caller_connection.CloseConnection)
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
def test_read_is_complete_or_its_connection_is_closed(script):
    """Guards against joining parts of two answers."""
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
    """Guards against passing on an acknowledgement after its window."""
    late = peer_messages.DoneLine(outcomes.Done(ack_within_ms=49))
    parts, _ = run([(late,)], statement_kinds.Kind.write)
    assert isinstance(parts[-1], caller_connection.CloseConnection)
    in_time = dataclasses.replace(late, done=outcomes.Done(ack_within_ms=60))
    parts, _ = run([(in_time,)], statement_kinds.Kind.write)
    assert isinstance(parts[-1], outcomes.Done)
