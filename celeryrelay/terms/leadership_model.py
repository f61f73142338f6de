"""Explicit-state model of replies of a primary that a promotion doesn't depose.

Server 0 is the primary of a group of three. Daemons order promotions of the
other servers; an order takes effect at any time after it was sent, also after a
newer one. Meanwhile another daemon sends a write to the server that it takes as
the primary. After the reply it gathers evidence (answers of the other servers,
the record of orders in the store) and decides with `leadership.decide` whether
to acknowledge the write. Any server may be out of its reach, and so may the
store.

Not covered: two promotions between a reply and the end of its check, of which
the second makes the server primary again that the first has replaced.
"""

import enum
import typing
from collections import abc

from celeryrelay.terms import leadership, state_exploration

# Violations
LATE_COMMIT = 'a write is acknowledged that was committed after a promotion'

SERVERS = (0, 1, 2)
MAX_ORDERS = 2


class Fault(enum.StrEnum):
    """A fault of the protocol, which disables one of its rules.

    Attributes:
        no_check: A reply of a primary is used as it is.
        evidence_before_reply: Evidence may be older than the reply.
        silence_is_denial: A server that does not answer counts as a replica.
        order_before_record: The order is sent before the record names its
            target.
        record_forgets_orders: A new order replaces an unanswered one in the
            record.
    """

    no_check = 'no_check'
    evidence_before_reply = 'evidence_before_reply'
    silence_is_denial = 'silence_is_denial'
    order_before_record = 'order_before_record'
    record_forgets_orders = 'record_forgets_orders'


class State(typing.NamedTuple):
    """State of the servers, the orders and the daemon with the write.

    Attributes:
        terms: Term in which each server leads or led; 0 if it never did.
        sent: Targets of orders that have not taken effect.
        recorded: Servers that the record of orders names.
        unrecorded: Targets of orders that the record does not name yet.
        order_count: Number of orders so far.
        writes_to: Server that gets the write.
        committed_term: Newest term when the write was committed; 0 before.
        denied: Servers that denied to be the primary.
        rivals: Other servers that claimed to be the primary, with terms.
        silent: Servers that did not answer.
        read_record: Record of orders as read; None before.
    """

    terms: tuple[int, int, int] = (1, 0, 0)
    sent: frozenset[int] = frozenset()
    recorded: frozenset[int] = frozenset()
    unrecorded: frozenset[int] = frozenset()
    order_count: int = 0
    writes_to: int = 0
    committed_term: int = 0
    denied: frozenset[int] = frozenset()
    rivals: frozenset[tuple[int, int]] = frozenset()
    silent: frozenset[int] = frozenset()
    read_record: frozenset[int] | None = None


def check(
    faults: frozenset[Fault] = frozenset(),
) -> state_exploration.Report:
    """Visit all states within the limit on orders."""
    return state_exploration.explore(State(), _Model(faults).steps)


class _Model:
    def __init__(self, faults: frozenset[Fault]) -> None:
        self._faults = faults

    def steps(self, state: State) -> abc.Iterator[state_exploration.Step]:
        yield from self._order_steps(state)
        for target in state.sent:
            if not state.committed_term or target != state.writes_to:
                yield _take_effect(state, target)
        if state.committed_term:
            yield from self._evidence_steps(state)
            yield from self._acknowledge(state)
        else:
            yield from self._write_steps(state)

    def _order_steps(
        self,
        state: State,
    ) -> abc.Iterator[state_exploration.Step]:
        records_first = Fault.order_before_record not in self._faults
        for target in state.unrecorded:
            recorded = state.recorded | {target}
            if Fault.record_forgets_orders in self._faults:
                recorded = frozenset((target,))
            after = state._replace(
                recorded=recorded,
                unrecorded=state.unrecorded - {target},
            )
            if records_first:
                after = after._replace(sent=after.sent | {target})
            yield state_exploration.Step(
                'the record names server {0}'.format(target), after
            )
        if state.order_count == MAX_ORDERS:
            return
        for target in SERVERS:
            after = state._replace(
                unrecorded=state.unrecorded | {target},
                order_count=state.order_count + 1,
            )
            if not records_first:
                after = after._replace(sent=after.sent | {target})
            yield state_exploration.Step(
                'a daemon decides to promote server {0}'.format(target), after
            )

    def _write_steps(
        self,
        state: State,
    ) -> abc.Iterator[state_exploration.Step]:
        for server in SERVERS:
            if state.terms[server]:
                yield state_exploration.Step(
                    'server {0} commits the write'.format(server),
                    state._replace(
                        writes_to=server, committed_term=max(state.terms)
                    ),
                )
        if Fault.evidence_before_reply in self._faults:
            yield from self._evidence_steps(state)

    def _evidence_steps(
        self,
        state: State,
    ) -> abc.Iterator[state_exploration.Step]:
        if state.read_record is None:
            yield state_exploration.Step(
                'the daemon reads the record of orders',
                state._replace(read_record=state.recorded),
            )
        known = state.denied | state.silent | {one for one, _ in state.rivals}
        for server in set(SERVERS) - known - {state.writes_to}:
            term = state.terms[server]
            answered = (
                state._replace(rivals=state.rivals | {(server, term)})
                if term
                else state._replace(denied=state.denied | {server})
            )
            yield state_exploration.Step(
                'server {0} answers'.format(server), answered
            )
            yield state_exploration.Step(
                'server {0} does not answer'.format(server),
                state._replace(silent=state.silent | {server}),
            )

    def _acknowledge(
        self,
        state: State,
    ) -> abc.Iterator[state_exploration.Step]:
        if self._verdict(state) is not leadership.Verdict.leads:
            return
        is_late = state.committed_term > state.terms[state.writes_to]
        yield state_exploration.Step(
            'the daemon acknowledges the write',
            State(order_count=MAX_ORDERS),
            LATE_COMMIT if is_late else '',
        )

    def _verdict(self, state: State) -> leadership.Verdict:
        if Fault.no_check in self._faults:
            return leadership.Verdict.leads
        replicas = state.denied
        if Fault.silence_is_denial in self._faults:
            replicas |= state.silent
        record = state.read_record
        evidence = leadership.Evidence(
            others=_names(set(SERVERS) - {state.writes_to}),
            replicas=_names(replicas),
            rival_terms={str(one): term for one, term in state.rivals},
            own_term=state.terms[state.writes_to],
            candidates=None if record is None else _names(record),
        )
        return leadership.decide(str(state.writes_to), evidence)


def _take_effect(state: State, target: int) -> state_exploration.Step:
    terms = list(state.terms)
    terms[target] = max(terms) + 1
    return state_exploration.Step(
        'server {0} is promoted'.format(target),
        state._replace(terms=tuple(terms), sent=state.sent - {target}),
    )


def _names(servers: abc.Iterable[int]) -> frozenset[str]:
    return frozenset(map(str, servers))
