"""Outcomes that an entry states by itself."""

import dataclasses

from celeryrelay.core import outcomes, positions
from celeryrelay.routing import statement_kinds

# Code and SQLSTATE of a deadlock: client libraries take it as a transaction
# that was rolled back as a whole.
ERROR_ROLLED_BACK = 1213
SQLSTATE_ROLLED_BACK = '40001'

# Refusals after which the statement may be tried again, because another
# holder, another slot or the next primary can take it.
PASSING = frozenset(
    (
        outcomes.Reason.no_holder,
        outcomes.Reason.no_primary,
        outcomes.Reason.not_holder,
        outcomes.Reason.term_unknown,
        outcomes.Reason.term_closed,
        outcomes.Reason.connections,
        outcomes.Reason.connection_lost,
        outcomes.Reason.draining,
        outcomes.Reason.leaving,
        outcomes.Reason.unconfirmed,
        outcomes.Reason.lagging,
    )
)


def draining() -> outcomes.NotRun:
    """Return the refusal of an instance that is stopping."""
    return outcomes.NotRun(
        outcomes.Reason.draining,
        'this entry instance is stopping; connect again',
    )


def no_configuration() -> outcomes.NotRun:
    """Return the refusal before any object set has arrived."""
    return outcomes.NotRun(
        outcomes.Reason.no_configuration,
        'no configuration has reached this instance yet',
        retry_after_ms=500,
    )


def unsupported(message: str) -> outcomes.NotRun:
    """Return the refusal of a statement that is not supported."""
    return outcomes.NotRun(
        outcomes.Reason.unsupported,
        message,
        code=outcomes.ERROR_UNSUPPORTED,
    )


def request_in_transaction() -> outcomes.NotRun:
    """Return the refusal of a request id inside of a transaction.

    The id is stored with a statement that commits by itself; taken silently,
    it would not keep a repeated transaction from running again.
    """
    return unsupported('a request id is not supported in a transaction')


def unsupported_kind(found: statement_kinds.Classification) -> outcomes.NotRun:
    """Return the refusal of a classified statement."""
    if found.kind is statement_kinds.Kind.pinning:
        return unsupported('session state of a connection is not supported')
    return unsupported(found.message)


def bad_token(detail: str) -> outcomes.NotRun:
    """Return the refusal of a session token."""
    return outcomes.NotRun(
        outcomes.Reason.bad_token,
        'session token refused: {0}'.format(detail),
        code=outcomes.ERROR_BAD_TOKEN,
    )


def lost_position(position: positions.Position) -> outcomes.NotRun:
    """Return that a write of the session was lost in a failover."""
    return outcomes.NotRun(
        outcomes.Reason.lost_position,
        'a write of this session was lost in a failover: term {0}, '
        'offset {1}'.format(position.term, position.offset),
        code=outcomes.ERROR_LOST_POSITION,
    )


def unknown_primary() -> outcomes.NotRun:
    """Return the refusal while the group's primary is not known."""
    return outcomes.NotRun(
        outcomes.Reason.term_unknown,
        'the primary of the group is not known',
        retry_after_ms=200,
    )


def no_holder(detail: str) -> outcomes.NotRun:
    """Return the refusal when no holder of the slot answers."""
    return outcomes.NotRun(
        outcomes.Reason.no_holder,
        detail,
        retry_after_ms=100,
    )


def deadline() -> outcomes.NotRun:
    """Return the refusal of a statement that waited too long."""
    return outcomes.NotRun(
        outcomes.Reason.deadline,
        'the deadline of the rank has passed',
        retry_after_ms=200,
    )


def rolled_back(detail: str) -> outcomes.Failed:
    """Return that the whole transaction was rolled back."""
    return outcomes.Failed(
        code=ERROR_ROLLED_BACK,
        sqlstate=SQLSTATE_ROLLED_BACK,
        message='transaction rolled back: {0}'.format(detail),
    )


def connection_lost(detail: str) -> outcomes.OutcomeUnknown:
    """Return that a sent statement got no answer."""
    return outcomes.OutcomeUnknown(
        outcomes.Reason.connection_lost,
        'connection lost: {0}'.format(detail),
    )


def named(outcome: outcomes.Outcome, request: str) -> outcomes.Outcome:
    """Return an outcome whose message ends with reason and request id."""
    match outcome:
        case outcomes.NotRun():
            message = (
                'not run: {0}; reason={1}; retry_after_ms={2}; request={3}'
            ).format(
                outcome.message,
                outcome.reason,
                outcome.retry_after_ms,
                request,
            )
        case outcomes.OutcomeUnknown():
            message = ('outcome unknown: {0}; reason={1}; request={2}').format(
                outcome.message, outcome.reason, request
            )
        case _:
            return outcome
    return dataclasses.replace(outcome, message=message)
