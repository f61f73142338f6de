"""Explicit-state model of the right to order promotions.

Two daemons write one item of the store on the condition that its revision has
not changed. Answers may be lost, and a write without an answer may be made
later. The platform refuses orders with a token below the newest one it saw.
"""

import enum
import typing
from collections import abc

from celeryrelay.terms import state_exploration

SHARED_TOKEN = 'two daemons order with the same token'
SAME_DECISION = 'two daemons order for the same revision of the office'
OLD_ORDER = 'an order is carried out after a newer one'


class Fault(enum.StrEnum):
    """A rule that is switched off.

    Attributes:
        write_without_condition: The write does not compare the revision.
        any_office_is_own: After a lost answer the office that is found counts
            as the own one, whoever wrote it.
        token_is_known_revision: The token is the revision before the write.
        token_is_kept: A second order uses the token of the first.
    """

    write_without_condition = 'write_without_condition'
    any_office_is_own = 'any_office_is_own'
    token_is_known_revision = 'token_is_known_revision'
    token_is_kept = 'token_is_kept'


class Phase(enum.IntEnum):
    """What a daemon does."""

    idle = 0
    writing = 1
    unsure = 2
    holding = 3


class Daemon(typing.NamedTuple):
    """State of one daemon.

    Attributes:
        phase: What it does.
        known: Revision that it knows.
        nonce: Number of its write.
        token: Token of its orders; 0 for none.
    """

    phase: Phase = Phase.idle
    known: int = 0
    nonce: int = 0
    token: int = 0


class Order(typing.NamedTuple):
    """An order on its way to the platform."""

    holder: int
    token: int
    number: int


class State(typing.NamedTuple):
    """State of store, platform and daemons.

    Attributes:
        revision: Revision of the office.
        writer: Daemon and nonce of its last write.
        daemons: The two daemons.
        pending: Writes without an answer that may still be made: daemon,
            nonce and condition.
        orders: Orders that may still be carried out.
        used: Holder, token and known revision of all orders.
        newest: Highest token that the platform saw.
        last: Number of the last order that was carried out.
        sent: Orders so far.
    """

    revision: int = 0
    writer: tuple[int, int] = (-1, 0)
    daemons: tuple[Daemon, Daemon] = (Daemon(), Daemon())
    pending: frozenset[tuple[int, int, int]] = frozenset()
    orders: frozenset[Order] = frozenset()
    used: frozenset[tuple[int, int, int]] = frozenset()
    newest: int = 0
    last: int = 0
    sent: int = 0


MAX_REVISION = 3
MAX_ORDERS = 3
MAX_WRITES = 2


def check(
    faults: frozenset[Fault] = frozenset(),
) -> state_exploration.Report:
    """Visit all states of a few writes and orders."""
    return state_exploration.explore(State(), _Model(faults).steps)


class _Model:
    def __init__(self, faults: frozenset[Fault]) -> None:
        self._faults = faults

    def steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        for number, daemon in enumerate(state.daemons):
            yield from self._daemon(state, number, daemon)
        for write in state.pending:
            if state.revision < MAX_REVISION:
                yield state_exploration.Step(
                    'late write of {0}'.format(write[0]),
                    self._written(state, write)._replace(
                        pending=state.pending - {write},
                    ),
                )
        for order in state.orders:
            yield self._carry_out(state, order)

    def _daemon(
        self,
        state: State,
        number: int,
        daemon: Daemon,
    ) -> abc.Iterator[state_exploration.Step]:
        name = 'daemon {0}'.format(number)
        match daemon.phase:
            case Phase.idle if daemon.nonce < MAX_WRITES:
                decided = daemon._replace(
                    phase=Phase.writing,
                    known=state.revision,
                    nonce=daemon.nonce + 1,
                )
                yield state_exploration.Step(
                    '{0} decides'.format(name),
                    _put(state, number, decided),
                )
            case Phase.writing if state.revision < MAX_REVISION:
                yield from self._write(state, number, daemon)
            case Phase.unsure:
                yield self._settle(state, number, daemon)
            case Phase.holding if state.sent < MAX_ORDERS:
                yield self._order(state, number, daemon)

    def _write(
        self,
        state: State,
        number: int,
        daemon: Daemon,
    ) -> abc.Iterator[state_exploration.Step]:
        name = 'daemon {0}'.format(number)
        write = (number, daemon.nonce, daemon.known)
        after = self._written(state, write)
        if after is state:
            yield state_exploration.Step(
                '{0} comes second'.format(name),
                _put(state, number, daemon._replace(phase=Phase.idle)),
            )
        else:
            token = after.revision
            if Fault.token_is_known_revision in self._faults:
                token = daemon.known
            held = daemon._replace(phase=Phase.holding, token=token)
            yield state_exploration.Step(
                '{0} takes the office'.format(name),
                _put(after, number, held),
            )
        unsure = daemon._replace(phase=Phase.unsure)
        yield state_exploration.Step(
            '{0} writes, the answer is lost'.format(name),
            _put(after, number, unsure),
        )
        yield state_exploration.Step(
            '{0} writes, it is done later'.format(name),
            _put(
                state._replace(pending=state.pending | {write}),
                number,
                unsure,
            ),
        )

    def _written(self, state: State, write: tuple[int, int, int]) -> State:
        number, nonce, condition = write
        checks = Fault.write_without_condition not in self._faults
        if checks and condition != state.revision:
            return state
        return state._replace(
            revision=state.revision + 1,
            writer=(number, nonce),
        )

    def _settle(
        self,
        state: State,
        number: int,
        daemon: Daemon,
    ) -> state_exploration.Step:
        own = state.writer == (number, daemon.nonce)
        if own or Fault.any_office_is_own in self._faults:
            found = daemon._replace(phase=Phase.holding, token=state.revision)
        else:
            found = daemon._replace(phase=Phase.idle)
        return state_exploration.Step(
            'daemon {0} reads the office'.format(number),
            _put(state, number, found),
        )

    def _order(
        self,
        state: State,
        number: int,
        daemon: Daemon,
    ) -> state_exploration.Step:
        order = Order(number, daemon.token, state.sent + 1)
        violation = ''
        for holder, token, known in state.used:
            if holder != number and token == daemon.token:
                violation = SHARED_TOKEN
            elif holder != number and known == daemon.known:
                violation = SAME_DECISION
        keeps = Fault.token_is_kept in self._faults
        after = daemon if keeps else daemon._replace(phase=Phase.idle, token=0)
        return state_exploration.Step(
            'daemon {0} orders with token {1}'.format(number, daemon.token),
            _put(
                state._replace(
                    orders=state.orders | {order},
                    used=state.used | {(number, daemon.token, daemon.known)},
                    sent=state.sent + 1,
                ),
                number,
                after,
            ),
            violation,
        )

    def _carry_out(self, state: State, order: Order) -> state_exploration.Step:
        left = state.orders - {order}
        if order.token < state.newest:
            return state_exploration.Step(
                'order {0} is refused'.format(order.number),
                state._replace(orders=left),
            )
        # An order that overtook an older one of its own daemon is no harm to
        # it only if their tokens differ.
        outdated = order.token == state.newest and order.number < state.last
        return state_exploration.Step(
            'order {0} is carried out'.format(order.number),
            state._replace(
                orders=left,
                newest=order.token,
                last=max(order.number, state.last),
            ),
            OLD_ORDER if outdated else '',
        )


def _put(state: State, number: int, daemon: Daemon) -> State:
    others = state.daemons
    pair = (daemon, others[1]) if number == 0 else (others[0], daemon)
    return state._replace(daemons=pair)
