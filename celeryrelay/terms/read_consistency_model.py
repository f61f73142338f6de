"""Explicit-state model of consistent reads where the platform assigns terms.

There are two servers, one of which is the primary. A reader sends a request to
the server that it presumes to be the primary. The answer contains a log
position, the sample, which serves as the bound of a read from either server.
A read has to return the commits that were acknowledged before the request was
sent, except for those that a promotion has removed.
"""

import enum
import typing
from collections import abc

from celeryrelay.terms import state_exploration

# Violations
STALE_PRIMARY = 'a read of a primary route misses an acknowledged commit'
STALE_REPLICA = 'a read with a bound misses a commit that it has to see'

# A commit is identified by its position: (term, offset).
Log = tuple[tuple[int, int], ...]


class Fault(enum.StrEnum):
    """A fault of the protocol, which disables one of its rules.

    Attributes:
        read_without_transaction: The read is sent without a transaction.
        read_before_permission: The read is sent together with the begin of
            the transaction, without waiting for its answer.
        sample_from_any_server: The position in an answer is used as a sample
            even if the server did not permit the begin.
        sample_dated_at_answer: A sample is assumed to cover all commits that
            were acknowledged before its answer arrived, not only those before
            its request was sent.
        terms_not_compared: Only the offsets of positions are compared, not
            their terms.
    """

    read_without_transaction = 'read_without_transaction'
    read_before_permission = 'read_before_permission'
    sample_from_any_server = 'sample_from_any_server'
    sample_dated_at_answer = 'sample_dated_at_answer'
    terms_not_compared = 'terms_not_compared'


class Phase(enum.IntEnum):
    """Phase of the request to the presumed primary.

    Attributes:
        idle: No request was sent.
        asked: The begin of a transaction was sent.
        permitted: The server has permitted the begin.
        refused: The server has refused the begin, and the read follows it.
        answered: The server has executed the request.
        done: The answer has arrived, and its position can be used as a bound.
    """

    idle = 0
    asked = 1
    permitted = 2
    refused = 3
    answered = 4
    done = 5


class Bounds(typing.NamedTuple):
    """Bounds within which the check is exhaustive.

    Attributes:
        commits: Limit of commits. No commit is added once the two logs
            together have twice this number.
        promotions: Highest number of promotions.
    """

    commits: int = 3
    promotions: int = 2


class State(typing.NamedTuple):
    """State of both servers and of one request.

    Attributes:
        primary: Number of the server that is the primary.
        term: Term of the primary.
        logs: For each server, the commits that it has.
        acknowledged: Commits that were acknowledged and not removed.
        promotions: Number of promotions so far.
        phase: Phase of the request, which is sent to server 0.
        required: Commits that were acknowledged when the request was sent.
        position: Position in the answer.
        covered: Commits that the sample is assumed to cover.
    """

    primary: int = 0
    term: int = 1
    logs: tuple[Log, Log] = ((), ())
    acknowledged: frozenset[tuple[int, int]] = frozenset()
    promotions: int = 0
    phase: Phase = Phase.idle
    required: frozenset[tuple[int, int]] = frozenset()
    position: tuple[int, int] = (0, 0)
    covered: frozenset[tuple[int, int]] = frozenset()


def check(
    bounds: Bounds = Bounds(),  # noqa: B008, WPS404
    faults: frozenset[Fault] = frozenset(),
) -> state_exploration.Report:
    """Visit all states within `bounds`.

    Args:
        bounds: Bounds of the check.
        faults: Faults that are present in the protocol.
    """
    model = _Model(bounds, faults)
    return state_exploration.explore(State(), model.steps)


class _Model:
    def __init__(self, bounds: Bounds, faults: frozenset[Fault]) -> None:
        self._bounds = bounds
        self._faults = faults

    def steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        yield from self._server_steps(state)
        yield from self._request_steps(state)
        if state.phase is Phase.done:
            yield from self._bounded_read_steps(state, 0)
            yield from self._bounded_read_steps(state, 1)

    def _server_steps(
        self, state: State
    ) -> abc.Iterator[state_exploration.Step]:
        log = state.logs[state.primary]
        if sum(map(len, state.logs)) < 2 * self._bounds.commits:
            position = (state.term, log[-1][1] + 1 if log else 1)
            yield state_exploration.Step(
                'commit {0}'.format(position),
                state._replace(
                    logs=_replace_log(
                        state.logs, state.primary, (*log, position)
                    ),
                    acknowledged=state.acknowledged | {position},
                ),
            )
        other = 1 - state.primary
        if state.logs[other] != log:
            yield state_exploration.Step(
                'server {0} replicates the log'.format(other),
                state._replace(logs=_replace_log(state.logs, other, log)),
            )
        if state.promotions < self._bounds.promotions:
            yield state_exploration.Step(
                'promote {0}'.format(other),
                _after_promotion(state, other),
            )

    def _request_steps(
        self, state: State
    ) -> abc.Iterator[state_exploration.Step]:
        is_primary = state.primary == 0
        match state.phase:
            case Phase.idle:
                yield state_exploration.Step(
                    'request is sent',
                    state._replace(
                        phase=Phase.asked,
                        required=state.acknowledged,
                    ),
                )
            case Phase.asked:
                yield self._begin_step(state, is_primary)
            case Phase.permitted:
                yield self._read_step(state, is_executed=is_primary)
            case Phase.refused:
                # The begin was refused, so the read is not in a transaction
                # and any server executes it.
                yield self._read_step(state, is_executed=True)
            case Phase.answered:
                dated_at_answer = Fault.sample_dated_at_answer in self._faults
                yield state_exploration.Step(
                    'answer arrives',
                    state._replace(
                        phase=Phase.done,
                        covered=state.acknowledged
                        if dated_at_answer
                        else state.required,
                    ),
                )

    def _begin_step(
        self, state: State, is_primary: bool
    ) -> state_exploration.Step:
        if Fault.read_without_transaction in self._faults:
            return self._read_step(state, is_executed=True)
        if is_primary:
            return state_exploration.Step(
                'begin is permitted',
                state._replace(phase=Phase.permitted),
            )
        if Fault.read_before_permission in self._faults:
            return state_exploration.Step(
                'begin is refused, the read was already sent',
                state._replace(phase=Phase.refused),
            )
        return self._sample_from_former_primary(state)

    def _sample_from_former_primary(
        self, state: State
    ) -> state_exploration.Step:
        if Fault.sample_from_any_server not in self._faults:
            return state_exploration.Step(
                'begin is refused',
                state._replace(phase=Phase.idle, required=frozenset()),
            )
        return state_exploration.Step(
            'former primary returns its position',
            _after_answer(state),
        )

    def _read_step(
        self, state: State, is_executed: bool
    ) -> state_exploration.Step:
        if not is_executed:
            return state_exploration.Step(
                'read is refused',
                state._replace(phase=Phase.idle, required=frozenset()),
            )
        missing = (state.required & state.acknowledged) - set(state.logs[0])
        return state_exploration.Step(
            'read is executed',
            _after_answer(state),
            STALE_PRIMARY if missing else '',
        )

    def _bounded_read_steps(
        self,
        state: State,
        server: int,
    ) -> abc.Iterator[state_exploration.Step]:
        log = state.logs[server]
        last = log[-1] if log else (0, 0)
        is_reached = last >= state.position
        if Fault.terms_not_compared in self._faults:
            is_reached = last[1] >= state.position[1]
        if not is_reached:
            return
        missing = (state.covered & state.acknowledged) - set(log)
        yield state_exploration.Step(
            'server {0} reads with the bound {1}'.format(
                server,
                state.position,
            ),
            state._replace(phase=Phase.idle, required=frozenset()),
            STALE_REPLICA if missing else '',
        )


def _replace_log(
    logs: tuple[Log, Log], server: int, log: Log
) -> tuple[Log, Log]:
    return (log, logs[1]) if server == 0 else (logs[0], log)


def _after_answer(state: State) -> State:
    log = state.logs[0]
    position = log[-1] if log else (0, 0)
    return state._replace(phase=Phase.answered, position=position)


def _after_promotion(state: State, server: int) -> State:
    """Return the state after a promotion of `server`, which keeps its log."""
    return state._replace(
        primary=server,
        term=state.term + 1,
        promotions=state.promotions + 1,
        acknowledged=state.acknowledged & set(state.logs[server]),
    )
