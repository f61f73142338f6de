"""Answers for statements that were not run or whose outcome is unknown."""

import dataclasses

from celeryrelay.core import outcomes
from celeryrelay.gateway import commands
from celeryrelay.gateway.sessions import session_state

# Times after which a caller may retry: a failover is probably over, or a queue
# is shorter.
RETRY_AFTER_FAILOVER_MS = 500
RETRY_AFTER_OVERLOAD_MS = 100
# Reasons for which no other server would run the statement either.
_FINAL_REASONS = frozenset(
    (
        outcomes.Reason.no_evidence,
        outcomes.Reason.unknown_key,
        outcomes.Reason.transaction_lost,
    )
)


def is_final(refusal: outcomes.NotRun) -> bool:
    """Return whether a statement is refused without another attempt."""
    return refusal.reason in _FINAL_REASONS


def no_primary() -> outcomes.NotRun:
    """Return the refusal of a statement for a group without a primary."""
    return outcomes.NotRun(
        outcomes.Reason.no_primary,
        'no server of the database group answers as primary',
        retry_after_ms=RETRY_AFTER_FAILOVER_MS,
    )


def primary_timed_out() -> outcomes.NotRun:
    """Return the refusal after the primary opened no transaction in time."""
    return outcomes.NotRun(
        outcomes.Reason.no_primary,
        'the primary did not open a transaction in time',
        retry_after_ms=RETRY_AFTER_FAILOVER_MS,
    )


def no_recent_sample(
    context: session_state.StatementContext,
) -> outcomes.NotRun:
    """Return the refusal of a read without a recent enough sample.

    A sample is a log position that the primary reported.
    """
    return outcomes.NotRun(
        outcomes.Reason.lagging,
        'the known log position of the primary is older than {0:.0f} ms'.format(
            context.route.max_age_ms,
        ),
        retry_after_ms=RETRY_AFTER_FAILOVER_MS,
    )


def lagging(context: session_state.StatementContext) -> outcomes.NotRun:
    """Return the refusal of a read after a replica lacked recent data."""
    return outcomes.NotRun(
        outcomes.Reason.lagging,
        'no server has data that is at most {0:.0f} ms old'.format(
            context.route.max_age_ms,
        ),
    )


def no_available_server() -> outcomes.NotRun:
    """Return the refusal of a read that no server accepted."""
    return outcomes.NotRun(
        outcomes.Reason.connections,
        'no server of the database group accepts the read',
        retry_after_ms=RETRY_AFTER_OVERLOAD_MS,
    )


def from_server_error(error: commands.ErrorKind) -> outcomes.NotRun:
    """Return the refusal for a server error that means `not run`."""
    reason = {
        commands.ErrorKind.lagging: outcomes.Reason.lagging,
        commands.ErrorKind.not_primary: outcomes.Reason.no_primary,
        commands.ErrorKind.unprepared: outcomes.Reason.connection_lost,
    }.get(error, outcomes.Reason.overload)
    return outcomes.NotRun(
        reason,
        'the backend server refused the statement: {0}'.format(error.value),
    )


def with_hint(refusal: outcomes.NotRun, retry_after_ms: int) -> outcomes.NotRun:
    """Return a refusal with a time after which the caller may retry."""
    if refusal.retry_after_ms:
        return refusal
    return dataclasses.replace(refusal, retry_after_ms=retry_after_ms)


def statement_timed_out() -> outcomes.OutcomeUnknown:
    """Return the outcome of a statement that exceeded its timeout."""
    return outcomes.OutcomeUnknown(
        outcomes.Reason.deadline,
        'the backend server did not answer within the timeout of the route',
    )


def unconfirmed_write() -> outcomes.OutcomeUnknown:
    """Return the outcome of a write or commit without a valid answer."""
    return outcomes.OutcomeUnknown(
        outcomes.Reason.connection_lost,
        'the write was sent, but no answer of the primary was received',
    )
