"""Guards against batches that relays lose, count twice or store twice.

This can happen when two relays write to the same key, answers are lost, the
store is unavailable or a relay restarts.
"""

import collections
import dataclasses
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.accounting import (
    batches,
    merging,
    outbox,
    pending_parts,
    relaying,
    reports,
)
from celeryrelay.conf import settings as conf
from celeryrelay.core import identity, outcomes, ranks

DEPLOYMENT = 'pitchwise'
QUEUE = outcomes.Delay(outcomes.DelayCause.queue, 1.25)
OUTCOMES = (
    ('done', outcomes.Done()),
    ('failed', outcomes.Failed(1062, '23000', 'duplicate')),
    ('overload', outcomes.NotRun(outcomes.Reason.overload, '')),
    ('leaving', outcomes.NotRun(outcomes.Reason.leaving, '')),
    ('lost', outcomes.OutcomeUnknown(outcomes.Reason.connection_lost, '')),
)


@dataclasses.dataclass
class Counted:
    """A batch and its expected counts, computed by the test."""

    batch: batches.Batch
    expected: collections.Counter


class Store:
    """In-memory store with compare-and-swap."""

    def __init__(self):
        self.entries = {}
        self.writes = 0

    def read(self, key):
        return self.entries.get(key, (None, 0))

    def write(self, command):
        self.writes += 1
        if self.read(command.key)[1] != command.expected:
            return False
        assert len(merging.dump(command.value)) < 1_000_000
        self.entries[command.key] = (command.value, command.expected + 1)
        return True

    def values(self):
        return [value for value, _ in self.entries.values()]


class Relay:
    """Executes the commands of an account writer one by one."""

    def __init__(self, store):
        self.store = store
        self.writer = relaying.AccountWriter(DEPLOYMENT)
        self.command = None

    def step(self, fault=''):
        if self.command is None:
            self.command = self.writer.begin_flush()
            return self.command is not None
        command, self.command = self.command, None
        match command:
            case relaying.Read(key=key) if fault != 'outage':
                self.command = self.writer.on_read(*self.store.read(key))
            case relaying.Write() if fault != 'outage':
                self._write(command, fault)
            case _:
                self.writer.on_failure()
        return True

    def _write(self, command, fault):
        written = self.store.write(command)
        if fault == 'lost_answer':
            self.writer.on_failure()
        elif written:
            self.writer.on_written()
        else:
            self.command = self.writer.on_read(*self.store.read(command.key))

    def drain(self):
        while self.step():
            continue


def build_source(name, counts, closes):
    builder = batches.BatchBuilder(
        identity.Identity(name, 'zone-{0}'.format(name[0]), 'x'),
        DEPLOYMENT,
        conf.AccountSettings(),
    )
    counted, expected, now = [], collections.Counter(), 95.0
    for step_s, group, rank, (label, outcome), takes_batch in counts:
        now += step_s
        period = int(now) // 10 * 10
        expected[group, rank.value, period, label] += 1
        expected[group, rank.value, period, 'queue_us'] += 1250
        builder.count(now, group, rank, outcome, (QUEUE,))
        if takes_batch:
            counted.append(Counted(builder.take_batch(now), expected))
            expected = collections.Counter()
    last = builder.close(now) if closes else builder.take_batch(now)
    if last is not None:
        counted.append(Counted(last, expected))
    return counted


def limit_sizes(seal_bytes, merge_bytes):
    return mock.patch.multiple(
        relaying, SEAL_BYTES=seal_bytes, MERGE_BYTES=merge_bytes
    )


def flatten(report):
    flat = collections.Counter()
    for cell, total in report.cells.items():
        key = (cell.group, cell.rank, cell.period)
        flat[*key, 'done'] += total.served
        flat[*key, 'failed'] += total.failed
        flat[*key, 'overload'] += total.refused.get('overload', 0)
        flat[*key, 'leaving'] += total.refused.get('leaving', 0)
        flat[*key, 'lost'] += total.unknown.get('connection_lost', 0)
        assert total.delayed['queue'].statements == total.statements
        flat[*key, 'queue_us'] += total.delayed['queue'].total_us
    return +flat


def total_of(counted):
    return sum((one.expected for one in counted), collections.Counter())


COUNTS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 1.0, 6.0, 12.0]),
        st.sampled_from(['g1', 'g2']),
        st.sampled_from(ranks.BY_URGENCY),
        st.sampled_from(OUTCOMES),
        st.booleans(),
    ),
    max_size=8,
)
SOURCES = st.lists(st.tuples(COUNTS, st.booleans()), min_size=1, max_size=3)
FAULTS = st.sampled_from(['', '', 'outage', 'lost_answer'])
ACTIONS = st.lists(
    st.tuples(st.integers(0, 1), st.integers(-30, 30), FAULTS),
    max_size=60,
)
LIMITS = st.sampled_from(
    [(400, 250_000), (900, 250_000), (900, 1), (600_000, 1), (600_000, 250_000)]
)


def build_all(sources):
    return [
        one
        for index, (counts, closes) in enumerate(sources)
        for one in build_source(
            '{0}:1'.format('aab'[index] + str(index)), counts, closes
        )
    ]


@settings(derandomize=True, deadline=None, max_examples=250)
@given(SOURCES, ACTIONS, LIMITS)
def test_report_equals_expected_counts(sources, actions, limits):
    """Deliver batches in any order, repeatedly, to either relay or to none.

    Both relays write to the store at the same time. Answers are lost, the store
    is unavailable, and low size limits cause chains of several values.
    """
    every = build_all(sources)
    store = Store()
    relays = [Relay(store), Relay(store)]
    delivered = {}
    with limit_sizes(*limits):
        for index, choice, fault in actions:
            if choice < 0:
                relays[index].step(fault)
            else:
                one = every[choice % len(every)]
                offer = relays[index].writer.offer(one.batch)
                assert offer in {
                    pending_parts.OfferResult.accepted,
                    pending_parts.OfferResult.already_stored,
                }
                delivered[one.batch.source, one.batch.sequence] = one
        for relay in relays:
            relay.drain()
    report = reports.build(store.values())
    assert flatten(report) == total_of(delivered.values())
    assert all(relay.writer.pending_bytes == 0 for relay in relays)
    check_gaps(every, delivered, report)


def check_gaps(every, delivered, report):
    by_source = {source.source: source for source in report.sources}
    assert set(by_source) == {source for source, _ in delivered}
    for one in every:
        batch = one.batch
        source = by_source.get(batch.source)
        if source is None:
            continue
        highest = max(n for name, n in delivered if name == batch.source)
        missing = any(
            first <= batch.sequence <= last for first, last in source.missing
        )
        is_lost = (batch.source, batch.sequence) not in delivered
        if batch.sequence < highest:
            assert missing == is_lost
        elif is_lost:
            assert not source.closed
            assert not report.complete
    for source in report.sources:
        known = [
            one.batch
            for key, one in delivered.items()
            if key[0] == source.source
        ]
        assert source.closed == any(batch.closing for batch in known)
        assert source.last_sent_ms == max(batch.sent_ms for batch in known)
        assert not source.repeated
        assert not source.missing_parts
        assert source.batches == len(known)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    SOURCES,
    st.lists(st.tuples(st.integers(0, 1), st.integers(0, 5), FAULTS)),
    LIMITS,
)
def test_outbox_resends_until_stored_after_restarts(sources, actions, limits):
    every = build_all([(counts, True) for counts, _ in sources])
    boxes = collections.defaultdict(outbox.Outbox)
    for one in every:
        boxes[one.batch.source].add(one.batch)
    store = Store()
    relays = [Relay(store), Relay(store)]
    now = 0
    with limit_sizes(*limits):
        for index, choice, fault in actions:
            now += 1
            if choice == 0:
                relays[index] = Relay(store)
            elif choice == 1:
                exchange(boxes, relays[index], index, now)
            else:
                relays[index].step(fault)
        while any(not box.is_empty() for box in boxes.values()):
            now += outbox.RESEND_S
            exchange(boxes, relays[0], 0, now)
            relays[0].drain()
            exchange(boxes, relays[0], 0, now)
    report = reports.build(store.values())
    assert report.complete
    assert flatten(report) == total_of(every)


def exchange(boxes, relay, index, now):
    for source, box in boxes.items():
        for batch in box.take_due(str(index), now):
            relay.writer.offer(batch)
        box.confirm(relay.writer.stored_sequences(source))


def make_batch(sequence=1, seconds=(100,), name='a:1', closes=False):
    builder = batches.BatchBuilder(
        identity.Identity(name, 'z', 'x'),
        DEPLOYMENT,
        conf.AccountSettings(),
    )
    for second in seconds:
        builder.count(second, 'g', ranks.Rank.checks, outcomes.Done())
    batch = (
        builder.close(seconds[-1])
        if closes
        else builder.take_batch(seconds[-1])
    )
    return dataclasses.replace(batch, sequence=sequence)


def test_second_relay_writes_nothing_for_stored_batches():
    store = Store()
    relays = [Relay(store), Relay(store)]
    for relay in relays:
        relay.writer.offer(make_batch())
        relay.drain()
    assert store.writes == 1
    assert relays[1].writer.stored_sequences('a:1/x') == [[1, 1]]
    assert (
        relays[1].writer.offer(make_batch())
        is pending_parts.OfferResult.already_stored
    )
    assert relays[1].writer.begin_flush() is None


def test_one_flush_writes_all_batches_of_a_key_at_once():
    relay = Relay(Store())
    for sequence in range(1, 30):
        relay.writer.offer(make_batch(sequence))
    relay.drain()
    assert relay.store.writes == 1


def test_flush_merges_a_bounded_size_without_sealing_the_value():
    relay = Relay(Store())
    for sequence in range(1, 4):
        relay.writer.offer(make_batch(sequence))
    with limit_sizes(600_000, 1):
        relay.drain()
    assert relay.store.writes == 3
    assert list(relay.store.entries) == ['accounts/100/z']
    assert not relay.store.values()[0]['sealed']


def test_spanning_batch_is_confirmed_only_when_all_parts_are_stored():
    relay = Relay(Store())
    relay.writer.offer(make_batch(seconds=(100, 110)))
    relay.step(), relay.step(), relay.step()
    assert len(relay.store.entries) == 1
    assert relay.writer.stored_sequences('a:1/x') == []
    relay.drain()
    assert relay.writer.stored_sequences('a:1/x') == [[1, 1]]


def test_failing_key_does_not_block_other_keys():
    relay = Relay(Store())
    relay.writer.offer(make_batch(1, (100,)))
    relay.writer.offer(make_batch(2, (110,)))
    relay.step(), relay.step('outage')
    relay.step(), relay.step(), relay.step()
    assert list(relay.store.entries) == ['accounts/110/z']


@pytest.mark.parametrize(
    'stored',
    [7, {}, {'deployment': 'other'}, 'valid of another deployment'],
)
def test_invalid_value_is_not_overwritten(stored):
    if isinstance(stored, str):
        entries = merging.split_batch(make_batch())
        stored = {**merging.merge(None, entries), 'deployment': 'other'}
    store = Store()
    store.entries['accounts/100/z'] = (stored, 1)
    relay = Relay(store)
    relay.writer.offer(make_batch())
    relay.drain()
    assert store.entries['accounts/100/z'] == (stored, 1)
    assert store.entries['accounts/100/z/1'][0]['number'] == 1


def test_parts_are_not_stored_beside_a_value_of_a_later_format():
    value = merging.merge(None, merging.split_batch(make_batch()))
    store = Store()
    store.entries['accounts/100/z'] = ({**value, 'format': 2, 'new': 1}, 1)
    relay = Relay(store)
    relay.writer.offer(make_batch())
    assert [relay.step(), relay.step()] == [True, True]
    assert relay.command is None
    assert relay.writer.pending_bytes > 0
    assert list(store.entries) == ['accounts/100/z']


def test_batches_beyond_the_limits_are_refused():
    writer = relaying.AccountWriter(DEPLOYMENT)
    other = dataclasses.replace(make_batch(), deployment='other')
    assert writer.offer(other) is pending_parts.OfferResult.other_deployment
    with mock.patch.object(pending_parts, 'MAX_BATCH_BYTES', 10):
        assert writer.offer(make_batch()) is pending_parts.OfferResult.too_large
    with mock.patch.object(pending_parts, 'MAX_PENDING_BYTES', 10):
        assert writer.offer(make_batch()) is pending_parts.OfferResult.full
    assert writer.begin_flush() is None


def test_outbox_drops_the_oldest_batch_first():
    box = outbox.Outbox()
    size = len(make_batch().dump())
    with mock.patch.object(outbox, 'MAX_OUTBOX_BYTES', 2 * size):
        for sequence in (1, 2, 3):
            box.add(make_batch(sequence))
    assert box.dropped == 1
    assert [batch.sequence for batch in box.take_due('r', 0)] == [2, 3]
    assert box.take_due('r', outbox.RESEND_S - 1) == ()
    assert len(box.take_due('other', 1)) == 2
    assert len(box.take_due('r', outbox.RESEND_S)) == 2
