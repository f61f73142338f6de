"""Explicit-state model of the fencing of promotion orders.

The right to order a promotion of a group, the office, is an item in the store.
Two daemons take it by compare-and-swap, and the new revision of the item is
the fencing token of their orders. Answers may be lost, and a write without an
answer may take effect later. The platform refuses an order whose token is
lower than the highest one that it has seen.
"""

import enum
import typing
from collections import abc

from celeryrelay.terms import state_exploration

# Violations
SHARED_TOKEN = 'two daemons order with the same token'
SAME_REVISION = 'two daemons order for the same revision of the office'
OUTDATED_ORDER = 'an order is carried out after a newer one'


class Fault(enum.StrEnum):
    """A fault of the protocol, which disables one of its rules.

    Attributes:
        write_without_condition: The write does not compare the revision.
        any_office_is_own: After a lost answer, a daemon that reads the office
            assumes that it holds it, whichever daemon wrote it.
        token_is_known_revision: The token is the revision before the write.
        token_is_kept: A second order uses the token of the first.
    """

    write_without_condition = 'write_without_condition'
    any_office_is_own = 'any_office_is_own'
    token_is_known_revision = 'token_is_known_revision'
    token_is_kept = 'token_is_kept'


class Phase(enum.IntEnum):
    """Phase of a daemon.

    Attributes:
        idle: It does not intend to order a promotion.
        writing: It has read the office and is about to write it.
        unresolved: The answer to its write was lost.
        holding: It holds the office and may send an order.
    """

    idle = 0
    writing = 1
    unresolved = 2
    holding = 3


class Daemon(typing.NamedTuple):
    """State of one daemon.

    Attributes:
        phase: Phase of the daemon.
        read_revision: Revision of the office that it read last.
        nonce: Number of its last write, which identifies the write.
        token: Token of its orders; 0 if it has none.
    """

    phase: Phase = Phase.idle
    read_revision: int = 0
    nonce: int = 0
    token: int = 0


class Order(typing.NamedTuple):
    """An order that was sent to the platform.

    Attributes:
        holder: Number of the daemon that sent it.
        token: Fencing token.
        number: Number of the order, in the order of sending.
    """

    holder: int
    token: int
    number: int


class State(typing.NamedTuple):
    """State of the store, the platform and the daemons.

    Attributes:
        revision: Revision of the office.
        writer: Daemon and nonce of the last write of the office.
        daemons: The two daemons.
        pending: Writes without an answer that may still take effect: daemon,
            nonce and expected revision.
        orders: Orders that may still be carried out.
        used: Holder, token and read revision of all orders sent.
        highest_token: Highest token that the platform has seen.
        last_order: Highest number of an order that was carried out.
        order_count: Number of orders sent.
    """

    revision: int = 0
    writer: tuple[int, int] = (-1, 0)
    daemons: tuple[Daemon, Daemon] = (Daemon(), Daemon())
    pending: frozenset[tuple[int, int, int]] = frozenset()
    orders: frozenset[Order] = frozenset()
    used: frozenset[tuple[int, int, int]] = frozenset()
    highest_token: int = 0
    last_order: int = 0
    order_count: int = 0


MAX_REVISION = 3
MAX_ORDERS = 3
MAX_WRITES = 2


def check(
    faults: frozenset[Fault] = frozenset(),
) -> state_exploration.Report:
    """Visit all states within the limits on revisions, orders and writes."""
    return state_exploration.explore(State(), _Model(faults).steps)


class _Model:
    def __init__(self, faults: frozenset[Fault]) -> None:
        self._faults = faults

    def steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        for number, daemon in enumerate(state.daemons):
            yield from self._daemon_steps(state, number, daemon)
        for write in state.pending:
            if state.revision < MAX_REVISION:
                yield state_exploration.Step(
                    'pending write of daemon {0} arrives'.format(write[0]),
                    self._after_write(state, write)._replace(
                        pending=state.pending - {write},
                    ),
                )
        for order in state.orders:
            yield self._carry_out(state, order)

    def _daemon_steps(
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
                    read_revision=state.revision,
                    nonce=daemon.nonce + 1,
                )
                yield state_exploration.Step(
                    '{0} reads the office to take it'.format(name),
                    _replace_daemon(state, number, decided),
                )
            case Phase.writing if state.revision < MAX_REVISION:
                yield from self._write_steps(state, number, daemon)
            case Phase.unresolved:
                yield self._resolve(state, number, daemon)
            case Phase.holding if state.order_count < MAX_ORDERS:
                yield self._order(state, number, daemon)

    def _write_steps(
        self,
        state: State,
        number: int,
        daemon: Daemon,
    ) -> abc.Iterator[state_exploration.Step]:
        name = 'daemon {0}'.format(number)
        write = (number, daemon.nonce, daemon.read_revision)
        after = self._after_write(state, write)
        if after is state:
            yield state_exploration.Step(
                '{0} writes, the revision has changed'.format(name),
                _replace_daemon(
                    state, number, daemon._replace(phase=Phase.idle)
                ),
            )
        else:
            token = after.revision
            if Fault.token_is_known_revision in self._faults:
                token = daemon.read_revision
            held = daemon._replace(phase=Phase.holding, token=token)
            yield state_exploration.Step(
                '{0} takes the office'.format(name),
                _replace_daemon(after, number, held),
            )
        unresolved = daemon._replace(phase=Phase.unresolved)
        yield state_exploration.Step(
            '{0} writes, the answer is lost'.format(name),
            _replace_daemon(after, number, unresolved),
        )
        yield state_exploration.Step(
            '{0} writes, the write is still pending'.format(name),
            _replace_daemon(
                state._replace(pending=state.pending | {write}),
                number,
                unresolved,
            ),
        )

    def _after_write(self, state: State, write: tuple[int, int, int]) -> State:
        number, nonce, expected_revision = write
        checks = Fault.write_without_condition not in self._faults
        if checks and expected_revision != state.revision:
            return state
        return state._replace(
            revision=state.revision + 1,
            writer=(number, nonce),
        )

    def _resolve(
        self,
        state: State,
        number: int,
        daemon: Daemon,
    ) -> state_exploration.Step:
        own = state.writer == (number, daemon.nonce)
        if own or Fault.any_office_is_own in self._faults:
            resolved = daemon._replace(
                phase=Phase.holding, token=state.revision
            )
        else:
            resolved = daemon._replace(phase=Phase.idle)
        return state_exploration.Step(
            'daemon {0} reads the office'.format(number),
            _replace_daemon(state, number, resolved),
        )

    def _order(
        self,
        state: State,
        number: int,
        daemon: Daemon,
    ) -> state_exploration.Step:
        order = Order(number, daemon.token, state.order_count + 1)
        violation = ''
        for holder, token, read_revision in state.used:
            if holder != number and token == daemon.token:
                violation = SHARED_TOKEN
            elif holder != number and read_revision == daemon.read_revision:
                violation = SAME_REVISION
        keeps_token = Fault.token_is_kept in self._faults
        after = (
            daemon
            if keeps_token
            else daemon._replace(phase=Phase.idle, token=0)
        )
        return state_exploration.Step(
            'daemon {0} orders with token {1}'.format(number, daemon.token),
            _replace_daemon(
                state._replace(
                    orders=state.orders | {order},
                    used=state.used
                    | {(number, daemon.token, daemon.read_revision)},
                    order_count=state.order_count + 1,
                ),
                number,
                after,
            ),
            violation,
        )

    def _carry_out(self, state: State, order: Order) -> state_exploration.Step:
        remaining = state.orders - {order}
        if order.token < state.highest_token:
            return state_exploration.Step(
                'order {0} is refused'.format(order.number),
                state._replace(orders=remaining),
            )
        # If two orders of a daemon had the same token, the platform could not
        # refuse the older one after it has carried out the newer one.
        is_outdated = (
            order.token == state.highest_token
            and order.number < state.last_order
        )
        return state_exploration.Step(
            'order {0} is carried out'.format(order.number),
            state._replace(
                orders=remaining,
                highest_token=order.token,
                last_order=max(order.number, state.last_order),
            ),
            OUTDATED_ORDER if is_outdated else '',
        )


def _replace_daemon(state: State, number: int, daemon: Daemon) -> State:
    daemons = state.daemons
    pair = (daemon, daemons[1]) if number == 0 else (daemons[0], daemon)
    return state._replace(daemons=pair)
