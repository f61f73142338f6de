"""Explicit-state model of reads where the platform assigns terms.

Two servers, one of which leads. A reader asks the server that it believes to
be the primary; its answer gives a position, with which a read goes to either server. Commits that a promotion removed are owed to nobody.
"""

import enum
import typing
from collections import abc

from celeryrelay.terms import state_exploration

STALE_PRIMARY = 'a read of a primary route misses an acknowledged commit'
STALE_REPLICA = 'a read with a bound misses a commit that it has to see'

Log = tuple[tuple[int, int], ...]


class Fault(enum.StrEnum):
    """A rule that is switched off.

    Attributes:
        read_without_transaction: The read is sent alone.
        read_before_permission: The read is sent together with the begin.
        sample_from_any_server: A plain answer counts as a sample.
        sample_dated_at_answer: A sample is dated when its answer comes.
        terms_not_compared: A bound is compared by its number only.
    """

    read_without_transaction = 'read_without_transaction'
    read_before_permission = 'read_before_permission'
    sample_from_any_server = 'sample_from_any_server'
    sample_dated_at_answer = 'sample_dated_at_answer'
    terms_not_compared = 'terms_not_compared'


class Phase(enum.IntEnum):
    """How far the question to the believed primary has come."""

    idle = 0
    asked = 1
    permitted = 2
    refused = 3
    answered = 4
    done = 5


class Bounds(typing.NamedTuple):
    """Steps that a run may have.

    Attributes:
        commits: Commits.
        promotions: Promotions.
    """

    commits: int = 3
    promotions: int = 2


class State(typing.NamedTuple):
    """State of both servers and of one question.

    Attributes:
        leader: Server that leads.
        term: Its term.
        logs: Positions of the commits that each server has.
        acknowledged: Commits that were acknowledged and not removed.
        promotions: Promotions so far.
        phase: State of the question to server 0.
        owed: Commits that were acknowledged when the question was sent.
        position: Position in the answer.
        dated: Commits that the sample is taken to cover.
    """

    leader: int = 0
    term: int = 1
    logs: tuple[Log, Log] = ((), ())
    acknowledged: frozenset[tuple[int, int]] = frozenset()
    promotions: int = 0
    phase: Phase = Phase.idle
    owed: frozenset[tuple[int, int]] = frozenset()
    position: tuple[int, int] = (0, 0)
    dated: frozenset[tuple[int, int]] = frozenset()


def check(
    bounds: Bounds = Bounds(),  # noqa: B008, WPS404
    faults: frozenset[Fault] = frozenset(),
) -> state_exploration.Report:
    """Visit all states within `bounds`."""
    model = _Model(bounds, faults)
    return state_exploration.explore(State(), model.steps)


class _Model:
    def __init__(self, bounds: Bounds, faults: frozenset[Fault]) -> None:
        self._bounds = bounds
        self._faults = faults

    def steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        yield from self._servers(state)
        yield from self._question(state)
        if state.phase is Phase.done:
            yield from self._bounded_read(state, 0)
            yield from self._bounded_read(state, 1)

    def _servers(self, state: State) -> abc.Iterator[state_exploration.Step]:
        log = state.logs[state.leader]
        if sum(map(len, state.logs)) < 2 * self._bounds.commits:
            place = (state.term, log[-1][1] + 1 if log else 1)
            yield state_exploration.Step(
                'commit {0}'.format(place),
                state._replace(
                    logs=_with(state.logs, state.leader, (*log, place)),
                    acknowledged=state.acknowledged | {place},
                ),
            )
        other = 1 - state.leader
        if state.logs[other] != log:
            yield state_exploration.Step(
                'server {0} follows'.format(other),
                state._replace(logs=_with(state.logs, other, log)),
            )
        if state.promotions < self._bounds.promotions:
            yield state_exploration.Step(
                'promote {0}'.format(other),
                _promoted(state, other),
            )

    def _question(self, state: State) -> abc.Iterator[state_exploration.Step]:
        leads = state.leader == 0
        match state.phase:
            case Phase.idle:
                yield state_exploration.Step(
                    'question is sent',
                    state._replace(
                        phase=Phase.asked,
                        owed=state.acknowledged,
                    ),
                )
            case Phase.asked:
                yield self._begin(state, leads)
            case Phase.permitted:
                yield self._read(state, runs=leads)
            case Phase.refused:
                # Outside of a transaction, any server runs it.
                yield self._read(state, runs=True)
            case Phase.answered:
                late = Fault.sample_dated_at_answer in self._faults
                yield state_exploration.Step(
                    'answer arrives',
                    state._replace(
                        phase=Phase.done,
                        dated=state.acknowledged if late else state.owed,
                    ),
                )

    def _begin(self, state: State, leads: bool) -> state_exploration.Step:
        if Fault.read_without_transaction in self._faults:
            return self._read(state, runs=True)
        if leads:
            return state_exploration.Step(
                'begin is permitted',
                state._replace(phase=Phase.permitted),
            )
        if Fault.read_before_permission in self._faults:
            return state_exploration.Step(
                'begin is refused, the read follows',
                state._replace(phase=Phase.refused),
            )
        return self._sample_of_deposed(state)

    def _sample_of_deposed(self, state: State) -> state_exploration.Step:
        if Fault.sample_from_any_server not in self._faults:
            return state_exploration.Step(
                'begin is refused',
                state._replace(phase=Phase.idle, owed=frozenset()),
            )
        return state_exploration.Step(
            'position of a deposed server',
            _answered(state),
        )

    def _read(self, state: State, runs: bool) -> state_exploration.Step:
        if not runs:
            return state_exploration.Step(
                'read is refused',
                state._replace(phase=Phase.idle, owed=frozenset()),
            )
        missing = (state.owed & state.acknowledged) - set(state.logs[0])
        return state_exploration.Step(
            'read runs',
            _answered(state),
            STALE_PRIMARY if missing else '',
        )

    def _bounded_read(
        self,
        state: State,
        server: int,
    ) -> abc.Iterator[state_exploration.Step]:
        log = state.logs[server]
        last = log[-1] if log else (0, 0)
        reached = last >= state.position
        if Fault.terms_not_compared in self._faults:
            reached = last[1] >= state.position[1]
        if not reached:
            return
        missing = (state.dated & state.acknowledged) - set(log)
        yield state_exploration.Step(
            'server {0} reads with the bound {1}'.format(
                server,
                state.position,
            ),
            state._replace(phase=Phase.idle, owed=frozenset()),
            STALE_REPLICA if missing else '',
        )


def _with(logs: tuple[Log, Log], server: int, log: Log) -> tuple[Log, Log]:
    return (log, logs[1]) if server == 0 else (logs[0], log)


def _answered(state: State) -> State:
    log = state.logs[0]
    position = log[-1] if log else (0, 0)
    return state._replace(phase=Phase.answered, position=position)


def _promoted(state: State, server: int) -> State:
    """Return the state in which `server` leads with the log that it has."""
    return state._replace(
        leader=server,
        term=state.term + 1,
        promotions=state.promotions + 1,
        acknowledged=state.acknowledged & set(state.logs[server]),
    )
