"""Guards against a publish command that reports a wrong outcome."""

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


class NaiveStore:
    """Compare-and-swap store that keeps every value it ever had."""

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
            if fault == 'fine':
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
        command = machine.handle(store.run(command, next(faults, 'fine')))
    return command.outcome


def test_publications_follow_each_other():
    store = NaiveStore()
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
def test_a_lost_answer_is_settled_by_reading(before, fault):
    store = NaiveStore()
    store.history = list(before)
    machine = publication.Publication(request('a'))
    outcome = run(machine, store, ['fine', fault, 'unreachable'])
    store.apply_late()
    assert outcome.revision == len(before) + 1
    assert [value['publication'] for value in store.history[-1:]] == ['a']
    assert len(store.history) == len(before) + 1


def test_a_publication_that_was_replaced_at_once_counts_as_published():
    store = NaiveStore()
    machine = publication.Publication(request('a'))
    machine.handle(store.run(machine.start(), 'fine'))
    store.history = [stored('a'), stored('b', 2, ['a'])]
    command = machine.handle(publication_messages.Failed('lost', True))
    outcome = machine.handle(store.run(command, 'fine')).outcome
    assert (outcome.revision, outcome.replaced_by) == (1, 2)


def test_an_outcome_that_cannot_be_settled_is_said_to_be_unknown():
    store = NaiveStore()
    machine = publication.Publication(request('a'))
    machine.handle(store.run(machine.start(), 'fine'))
    store.history = [stored('x', 30, ['y'] * 16)] * 30
    command = machine.handle(publication_messages.Failed('lost', True))
    outcome = machine.handle(store.run(command, 'fine')).outcome
    assert isinstance(outcome, publication_messages.Unconfirmed)
    assert outcome.publication == 'a'


def test_a_base_that_was_replaced_loses_with_the_difference():
    store = NaiveStore()
    store.history = [stored('a'), stored('b', 2, ['a'])]
    machine = publication.Publication(request('c', base_revision=1))
    outcome = run(machine, store)
    assert isinstance(outcome, publication_messages.PublicationConflict)
    assert (outcome.revision, outcome.publication) == (2, 'b')
    assert len(outcome.differences) == 2
    assert len(store.history) == 2


def test_a_set_that_is_in_force_already_is_no_lost_race():
    store = NaiveStore()
    store.history = [stored('a'), stored('b', 2, ['a'])]
    machine = publication.Publication(request('b', base_revision=1))
    assert run(machine, store) == publication_messages.Unchanged(2)


@pytest.mark.parametrize('before', [[], [stored('old', 3)]])
def test_revisions_go_on_after_the_store_lost_them(before):
    store = NaiveStore()
    store.history = list(before)
    machine = publication.Publication(request('a', above_revision=57))
    assert run(machine, store).revision == 58
    lower = publication.Publication(request('b', above_revision=57))
    assert run(lower, store).revision == 59


@pytest.mark.parametrize('value', [7, {}, stored('a') | {'revision': 0}])
def test_a_foreign_value_is_not_overwritten(value):
    store = NaiveStore()
    store.history = [value]
    outcome = run(publication.Publication(request('b')), store)
    assert isinstance(outcome, publication_messages.Rejected)
    assert store.history == [value]


def test_a_set_above_the_size_limit_is_rejected_before_it_is_sent():
    large = dataclasses.replace(
        request('a'),
        raw={'routes': 'x' * stored_document.SIZE_LIMIT_BYTES},
    )
    store = NaiveStore()
    outcome = run(publication.Publication(large), store)
    assert isinstance(outcome, publication_messages.Rejected)
    assert store.history == []


def test_a_silent_platform_ends_the_command():
    outcome = run(
        publication.Publication(request('a')),
        NaiveStore(),
        ['unreachable'] * 100,
    )
    assert isinstance(outcome, publication_messages.PlatformUnreachable)


FAULTS = st.sampled_from(['fine', 'fine', 'unreachable', 'lost', 'delayed'])
PLAN = st.lists(
    st.tuples(st.integers(0, 2), FAULTS, st.booleans()),
    max_size=80,
)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(PLAN, st.sampled_from([1, None]))
def test_racing_publishers_report_what_the_store_had(plan, base_revision):
    """Compare the outcomes of three publishers with the store's history.

    Calls interleave in any order, answers are lost, and writes arrive late.
    With a base revision exactly one can win.
    """
    store = NaiveStore()
    store.history = [stored('base')]
    names = ('a', 'b', 'c')
    machines = [
        publication.Publication(request(name, base_revision=base_revision))
        for name in names
    ]
    commands = [machine.start() for machine in machines]
    outcomes = {}
    rest = [(number, 'fine', True) for number in (0, 1, 2) for _ in range(40)]
    for number, fault, applies_late in plan + rest:
        command = commands[number]
        if isinstance(command, publication_messages.Finish):
            outcomes[names[number]] = command.outcome
            continue
        commands[number] = machines[number].handle(store.run(command, fault))
        if applies_late:
            store.apply_late()
    store.apply_late()
    had = [value['publication'] for value in store.history]
    assert len(set(had)) == len(had)
    assert len(had) == 2 or base_revision is None
    for name, outcome in outcomes.items():
        match outcome:
            case publication_messages.Published():
                assert had.index(name) + 1 == outcome.revision
            case publication_messages.PublicationConflict():
                assert name not in had
            case publication_messages.PlatformUnreachable():
                assert name not in had
            case _:
                assert isinstance(outcome, publication_messages.Unconfirmed)
    assert len(outcomes) == 3
