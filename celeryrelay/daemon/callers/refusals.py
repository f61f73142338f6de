"""Refusals and other outcomes that a daemon creates without a backend reply."""

import dataclasses

from celeryrelay.core import outcomes, positions
from celeryrelay.routing import statement_kinds

# MySQL's ER_LOCK_DEADLOCK: client libraries take it as a transaction that was
# rolled back as a whole.
ERROR_ROLLED_BACK = 1213
SQLSTATE_ROLLED_BACK = '40001'

# Reasons after which the statement may be retried, because another holder,
# another slot or the next primary may accept it.
RETRYABLE = frozenset(
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
    """Return the refusal during a planned stop of this instance."""
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
    """Return the refusal of a request id inside a transaction.

    The id is stored only with statements that run outside of a transaction.
    Ignoring it here would let a repeated transaction run twice.
    """
    return unsupported('a request id is not supported in a transaction')


def unsupported_kind(found: statement_kinds.Classification) -> outcomes.NotRun:
    """Return the refusal of a statement whose class is not supported."""
    if found.kind is statement_kinds.Kind.pinning:
        return unsupported(
            'statements that keep state on a connection are not supported'
        )
    return unsupported(found.message)


def bad_token(detail: str) -> outcomes.NotRun:
    """Return the refusal of an invalid session token."""
    return outcomes.NotRun(
        outcomes.Reason.bad_token,
        'session token refused: {0}'.format(detail),
        code=outcomes.ERROR_BAD_TOKEN,
    )


def lost_position(position: positions.Position) -> outcomes.NotRun:
    """Return the refusal of a read whose session lost a write in a failover."""
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
    """Return the refusal of a statement whose deadline has passed."""
    return outcomes.NotRun(
        outcomes.Reason.deadline,
        'the deadline of the rank has passed',
        retry_after_ms=200,
    )


def rolled_back(detail: str) -> outcomes.Failed:
    """Return the error for a transaction that was rolled back."""
    return outcomes.Failed(
        code=ERROR_ROLLED_BACK,
        sqlstate=SQLSTATE_ROLLED_BACK,
        message='transaction rolled back: {0}'.format(detail),
    )


def connection_lost(detail: str) -> outcomes.OutcomeUnknown:
    """Return the unknown outcome of a statement that got no answer."""
    return outcomes.OutcomeUnknown(
        outcomes.Reason.connection_lost,
        'connection lost: {0}'.format(detail),
    )


def with_request_id(
    outcome: outcomes.Outcome, request: str
) -> outcomes.Outcome:
    """Return the outcome with its reason and request id in the message."""
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
