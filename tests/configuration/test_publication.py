"""Guards against a publish command that reports the wrong outcome.

This can happen when an answer is lost, a write arrives late or several
publishers write at the same time.
"""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.configuration import (
    publication,
    publication_messages,
    stored_document,
)


def request(name, **changes):
    return publication_messages.PublishRequest(
        publication=name,
        raw={'routes': [{'name': name}]},
        **changes,
    )


def stored(name, revision=1, previous=()):
    return {
        'publication': name,
        'revision': revision,
        'previous': list(previous),
        'objects': {'routes': [{'name': name}]},
    }


class FakeStore:
    """Compare-and-swap store that keeps all values written to it."""

    def __init__(self):
        self.history = []
        self.late = []

    def read(self):
        if not self.history:
            return publication_messages.KeyAbsent()
        return publication_messages.ValueFound(
            self.history[-1], len(self.history)
        )

    def write(self, command):
        if command.expected != len(self.history):
            return self.read()
        self.history.append(command.value)
        return publication_messages.WriteSucceeded()

    def apply_late(self):
        for command in self.late:
            self.write(command)
        self.late = []

    def run(self, command, fault):
        if isinstance(command, publication_messages.Read):
            if fault == 'none':
                return self.read()
            return publication_messages.Failed(fault, False)
        if fault == 'unreachable':
            return publication_messages.Failed(fault, False)
        if fault == 'delayed':
            self.late.append(command)
            return publication_messages.Failed(fault, True)
        answer = self.write(command)
        if fault == 'lost':
            return publication_messages.Failed(fault, True)
        return answer


def run(machine, store, faults=()):
    command = machine.start()
    faults = iter(faults)
    while not isinstance(command, publication_messages.Finish):
        command = machine.handle(store.run(command, next(faults, 'none')))
    return command.outcome


def test_successive_publications_increase_the_revision():
    store = FakeStore()
    first = run(publication.Publication(request('a')), store)
    second = run(publication.Publication(request('b')), store)
    again = run(publication.Publication(request('b')), store)
    assert first.revision == 1
    assert second.revision == 2
    assert [str(one) for one in second.differences] == [
        "- routes[a]: {'name': 'a'}",
        "+ routes[b]: {'name': 'b'}",
    ]
    assert again == publication_messages.Unchanged(2)
    assert store.history[-1]['previous'] == ['a']


@pytest.mark.parametrize('fault', ['lost', 'delayed'])
@pytest.mark.parametrize('before', [[], [stored('base')]])
def test_lost_answer_is_resolved_by_a_read(before, fault):
    store = FakeStore()
    store.history = list(before)
    machine = publication.Publication(request('a'))
    outcome = run(machine, store, ['none', fault, 'unreachable'])
    store.apply_late()
    assert outcome.revision == len(before) + 1
    assert [value['publication'] for value in store.history[-1:]] == ['a']
    assert len(store.history) == len(before) + 1


def test_publication_replaced_immediately_is_reported_as_published():
    store = FakeStore()
    machine = publication.Publication(request('a'))
    machine.handle(store.run(machine.start(), 'none'))
    store.history = [stored('a'), stored('b', 2, ['a'])]
    command = machine.handle(publication_messages.Failed('lost', True))
    outcome = machine.handle(store.run(command, 'none')).outcome
    assert (outcome.revision, outcome.replaced_by) == (1, 2)


def test_undeterminable_outcome_is_reported_as_unconfirmed():
    store = FakeStore()
    machine = publication.Publication(request('a'))
    machine.handle(store.run(machine.start(), 'none'))
    store.history = [stored('x', 30, ['y'] * 16)] * 30
    command = machine.handle(publication_messages.Failed('lost', True))
    outcome = machine.handle(store.run(command, 'none')).outcome
    assert isinstance(outcome, publication_messages.Unconfirmed)
    assert outcome.publication == 'a'


def test_outdated_base_revision_is_a_conflict_with_differences():
    store = FakeStore()
    store.history = [stored('a'), stored('b', 2, ['a'])]
    machine = publication.Publication(request('c', base_revision=1))
    outcome = run(machine, store)
    assert isinstance(outcome, publication_messages.PublicationConflict)
    assert (outcome.revision, outcome.publication) == (2, 'b')
    assert len(outcome.differences) == 2
    assert len(store.history) == 2


def test_already_active_set_is_no_conflict():
    store = FakeStore()
    store.history = [stored('a'), stored('b', 2, ['a'])]
    machine = publication.Publication(request('b', base_revision=1))
    assert run(machine, store) == publication_messages.Unchanged(2)


@pytest.mark.parametrize('before', [[], [stored('old', 3)]])
def test_revisions_stay_above_those_that_the_store_lost(before):
    store = FakeStore()
    store.history = list(before)
    machine = publication.Publication(request('a', above_revision=57))
    assert run(machine, store).revision == 58
    lower = publication.Publication(request('b', above_revision=57))
    assert run(lower, store).revision == 59


@pytest.mark.parametrize('value', [7, {}, stored('a') | {'revision': 0}])
def test_invalid_stored_value_is_not_overwritten(value):
    store = FakeStore()
    store.history = [value]
    outcome = run(publication.Publication(request('b')), store)
    assert isinstance(outcome, publication_messages.Rejected)
    assert store.history == [value]


def test_set_above_the_size_limit_is_rejected_before_sending():
    large = dataclasses.replace(
        request('a'),
        raw={'routes': 'x' * stored_document.SIZE_LIMIT_BYTES},
    )
    store = FakeStore()
    outcome = run(publication.Publication(large), store)
    assert isinstance(outcome, publication_messages.Rejected)
    assert store.history == []


def test_unreachable_platform_ends_the_command():
    outcome = run(
        publication.Publication(request('a')),
        FakeStore(),
        ['unreachable'] * 100,
    )
    assert isinstance(outcome, publication_messages.PlatformUnreachable)


FAULTS = st.sampled_from(['none', 'none', 'unreachable', 'lost', 'delayed'])
SCHEDULES = st.lists(
    st.tuples(st.integers(0, 2), FAULTS, st.booleans()),
    max_size=80,
)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(SCHEDULES, st.sampled_from([1, None]))
def test_concurrent_publishers_report_what_the_store_applied(
    schedule, base_revision
):
    """Compare the outcomes of three publishers with the store's history.

    Calls interleave in any order, answers are lost and writes arrive late.
    With a base revision only one publication can succeed.
    """
    store = FakeStore()
    store.history = [stored('base')]
    names = ('a', 'b', 'c')
    machines = [
        publication.Publication(request(name, base_revision=base_revision))
        for name in names
    ]
    commands = [machine.start() for machine in machines]
    outcomes = {}
    rest = [(number, 'none', True) for number in (0, 1, 2) for _ in range(40)]
    for number, fault, applies_late in schedule + rest:
        command = commands[number]
        if isinstance(command, publication_messages.Finish):
            outcomes[names[number]] = command.outcome
            continue
        commands[number] = machines[number].handle(store.run(command, fault))
        if applies_late:
            store.apply_late()
    store.apply_late()
    written = [value['publication'] for value in store.history]
    assert len(set(written)) == len(written)
    assert len(written) == 2 or base_revision is None
    for name, outcome in outcomes.items():
        match outcome:
            case publication_messages.Published():
                assert written.index(name) + 1 == outcome.revision
            case publication_messages.PublicationConflict():
                assert name not in written
            case publication_messages.PlatformUnreachable():
                assert name not in written
            case _:
                assert isinstance(outcome, publication_messages.Unconfirmed)
    assert len(outcomes) == 3
