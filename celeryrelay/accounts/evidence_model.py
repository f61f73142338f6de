"""Explicit-state model of the withdrawal of an API key.

A store holds version 1 of the configuration, which has a key, and later version
2, which lacks it. One daemon, the reader, reads the store; another one, the
asker, asks the reader. Both get changes by a watch. Each message may take any
time or get lost, and a daemon may act at any time or not at all, which covers
partitions and frozen daemons. The reader may restart. The
store may once be restored from a copy with version 1, after which version 2 is
written again. Both daemons use `evidence.ConfigurationEvidence`.

Not covered: a withdrawal that the restored store has lost and that has not been
written again.
"""

import dataclasses
import enum
import typing
from collections import abc

from celeryrelay.accounts import evidence
from celeryrelay.terms import state_exploration

# Violations
LATE_USE = 'a statement runs too long after its key was withdrawn'
USE_AFTER_WITHDRAWAL = 'a daemon runs a statement with a key it knew withdrawn'

WITH_KEY = 1
WITHOUT_KEY = 2
# Times, in steps of the model's clock.
MAX_AGE = 1
END = 3


class Fault(enum.StrEnum):
    """A fault of the protocol, which disables one of its rules.

    Attributes:
        read_dated_at_answer: A read counts from its answer, not its sending.
        peer_dated_at_answer: An answer of a daemon counts from its arrival.
        peer_without_age: An answer of a daemon counts from its question.
        peer_version_ignored: An answer counts without its version.
        stale_read: A read may return an earlier state of the store.
        pending_watch: A watch without an answer counts as evidence.
        answered_watch: An answer without changes counts, although the change
            may be one that an earlier watch has skipped.
        older_replaces: An older configuration replaces a newer one.
        clock_stops: The clock stops while the machine is suspended.
    """

    read_dated_at_answer = 'read_dated_at_answer'
    peer_dated_at_answer = 'peer_dated_at_answer'
    peer_without_age = 'peer_without_age'
    peer_version_ignored = 'peer_version_ignored'
    stale_read = 'stale_read'
    pending_watch = 'pending_watch'
    answered_watch = 'answered_watch'
    older_replaces = 'older_replaces'
    clock_stops = 'clock_stops'


class Call(typing.NamedTuple):
    """A call under way.

    Attributes:
        sent_at: Time at which it was sent.
        answer: Version that the store returned, or answer of the reader; None
            before the answer.
    """

    sent_at: int
    answer: int | evidence.PeerEvidence | None = None


_NO_EVIDENCE = evidence.ConfigurationEvidence(MAX_AGE)


class Daemon(typing.NamedTuple):
    """State of a daemon.

    Attributes:
        known: Its evidence and the version in force.
        read: Its read of the store that is under way.
        suspended: Time that its clock has missed.
        knows_withdrawal: Whether version 2 has been in force.
    """

    known: evidence.ConfigurationEvidence = _NO_EVIDENCE
    read: Call | None = None
    suspended: int = 0
    knows_withdrawal: bool = False


class State(typing.NamedTuple):
    """State of the store and of both daemons.

    Attributes:
        now: True time.
        version: Version in the store.
        withdrawn_at: When the store acknowledged version 2; None before, and
            while a restored store lacks it.
        restored: Whether the store was restored from the copy.
        reader: The daemon that reads.
        asker: The daemon that asks it.
        question: The question under way.
    """

    now: int = 0
    version: int = WITH_KEY
    withdrawn_at: int | None = None
    restored: bool = False
    reader: Daemon = Daemon()
    asker: Daemon = Daemon()
    question: Call | None = None


def check(
    faults: frozenset[Fault] = frozenset(),
) -> state_exploration.Report:
    """Visit all states up to the end of the model's time."""
    return state_exploration.explore(State(), _Model(faults).steps)


class _Model:
    def __init__(self, faults: frozenset[Fault]) -> None:
        self._faults = faults

    def steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        yield from self._time_steps(state)
        yield from _store_steps(state)
        yield from self._read_steps(state)
        yield from self._question_steps(state)
        for name in ('reader', 'asker'):
            yield from self._watch_steps(state, name)
            yield from _run_statement(state, name)
        if state.reader != Daemon():
            yield state_exploration.Step(
                'the reader restarts', state._replace(reader=Daemon())
            )

    def _time_steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        if state.now == END:
            return
        later = _forget_expired(state._replace(now=state.now + 1))
        yield state_exploration.Step('time passes', later)
        if Fault.clock_stops in self._faults:
            suspended = state.reader.suspended + 1
            reader = state.reader._replace(suspended=suspended)
            yield state_exploration.Step(
                'the reader is suspended', later._replace(reader=reader)
            )

    def _read_steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        reader = state.reader
        now = state.now - reader.suspended
        call = reader.read
        if call is None:
            after = reader._replace(read=Call(now))
            yield _reader_step('the reader reads', state, after)
            return
        yield _reader_step(
            'the reader gets no answer', state, reader._replace(read=None)
        )
        if call.answer is None:
            for found in self._readable(state):
                after = reader._replace(read=Call(call.sent_at, found))
                label = 'the store answers {0}'.format(found)
                yield _reader_step(label, state, after)
            return
        yield _reader_step(
            'the reader has read', state, self._on_read(reader, call, now)
        )

    def _on_read(self, reader: Daemon, call: Call, now: int) -> Daemon:
        sent_at = call.sent_at
        version = call.answer
        if Fault.read_dated_at_answer in self._faults:
            sent_at = now
        if Fault.answered_watch in self._faults:
            version = reader.known.in_force
        applied = self._apply(reader, version)
        known = applied.known.on_confirmed(sent_at, version)
        return applied._replace(known=known, read=None)

    def _readable(self, state: State) -> tuple[int, ...]:
        if Fault.stale_read in self._faults:
            return tuple({WITH_KEY, state.version})
        return (state.version,)

    def _question_steps(
        self, state: State
    ) -> abc.Iterator[state_exploration.Step]:
        question = state.question
        if question is None:
            yield state_exploration.Step(
                'the asker asks', state._replace(question=Call(state.now))
            )
            return
        yield state_exploration.Step(
            'the question is lost', state._replace(question=None)
        )
        if question.answer is None:
            answer = state.reader.known.answer(
                state.now - state.reader.suspended
            )
            yield state_exploration.Step(
                'the reader answers',
                state._replace(question=Call(question.sent_at, answer)),
            )
            return
        asked_at = question.sent_at
        answer = question.answer
        if Fault.peer_dated_at_answer in self._faults:
            asked_at = state.now
        has_age = answer.age_s is not None
        if has_age and Fault.peer_without_age in self._faults:
            answer = answer._replace(age_s=0)
        if Fault.peer_version_ignored in self._faults:
            answer = answer._replace(version=state.asker.known.in_force)
        known = state.asker.known.on_answer(asked_at, answer)
        yield state_exploration.Step(
            'the asker has the answer',
            state._replace(
                asker=state.asker._replace(known=known), question=None
            ),
        )

    def _watch_steps(
        self, state: State, name: str
    ) -> abc.Iterator[state_exploration.Step]:
        daemon: Daemon = getattr(state, name)
        after = self._apply(daemon, state.version)
        yield state_exploration.Step(
            'a watch of the {0} returns the configuration'.format(name),
            state._replace(**{name: after}),
        )
        if Fault.pending_watch in self._faults and daemon.known.in_force:
            known = daemon.known.on_confirmed(state.now, daemon.known.in_force)
            yield state_exploration.Step(
                'a watch of the {0} counts as evidence'.format(name),
                state._replace(**{name: daemon._replace(known=known)}),
            )

    def _apply(self, daemon: Daemon, version: int) -> Daemon:
        known = daemon.known.on_configuration(version)
        if Fault.older_replaces in self._faults:
            known = evidence.ConfigurationEvidence(
                MAX_AGE, version, version, known.confirmed_at, version
            )
        return daemon._replace(
            known=known,
            knows_withdrawal=daemon.knows_withdrawal or version == WITHOUT_KEY,
        )


def _forget_expired(state: State) -> State:
    """Remove evidence that permits nothing, which changes no later step."""
    return state._replace(
        reader=_without_expired(state.reader, state.now),
        asker=_without_expired(state.asker, state.now),
    )


def _without_expired(daemon: Daemon, now: int) -> Daemon:
    known = daemon.known
    if known.permits(now - daemon.suspended):
        return daemon
    return daemon._replace(
        known=dataclasses.replace(known, confirmed_at=None, confirmed_version=0)
    )


def _run_statement(
    state: State, name: str
) -> abc.Iterator[state_exploration.Step]:
    daemon: Daemon = getattr(state, name)
    now = state.now - daemon.suspended
    is_key_known = daemon.known.in_force == WITH_KEY
    if not is_key_known or not daemon.known.permits(now):
        return
    violation = ''
    if daemon.knows_withdrawal:
        violation = USE_AFTER_WITHDRAWAL
    if state.withdrawn_at is not None:
        is_late = state.now - state.withdrawn_at > MAX_AGE
        violation = LATE_USE if is_late else violation
    yield state_exploration.Step(
        'the {0} runs a statement'.format(name), state, violation
    )


def _store_steps(state: State) -> abc.Iterator[state_exploration.Step]:
    if state.version == WITH_KEY:
        yield state_exploration.Step(
            'the store acknowledges the withdrawal',
            state._replace(version=WITHOUT_KEY, withdrawn_at=state.now),
        )
    elif not state.restored:
        yield state_exploration.Step(
            'the store is restored from the copy',
            state._replace(version=WITH_KEY, withdrawn_at=None, restored=True),
        )


def _reader_step(
    label: str, state: State, after: Daemon
) -> state_exploration.Step:
    return state_exploration.Step(label, state._replace(reader=after))
