"""Idempotent writes, identified by a request id of the caller.

The id is stored in the same transaction as the write. A repeated request
returns the stored outcome of the first run instead of running again.
"""

import dataclasses

import result

from celeryrelay.adapters import backends
from celeryrelay.core import outcomes
from celeryrelay.daemon.holding import acknowledgement, replies

REQUEST_TABLE = 'celeryrelay_requests'


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotentWrite:
    """A write with the request id that identifies it.

    Attributes:
        sql: Statement text.
        caller_request: Request id; the entry has checked that it is safe to
            use in SQL without escaping.
        timeout_ms: Time-out of each call to the server.
    """

    sql: str
    caller_request: str
    timeout_ms: float


async def run_once(
    connection: backends.BackendConnection,
    write: IdempotentWrite,
) -> backends.Ok | outcomes.Outcome:
    """Run `write` unless its request id is stored.

    Returns:
        The server's reply with the log position that has to be confirmed
        before the acknowledgement, or the final outcome.
    """
    begun = await connection.execute('BEGIN', write.timeout_ms)
    if not isinstance(begun, backends.Ok):
        return replies.error_outcome(begun, sent=False)
    ran = await connection.execute(write.sql, write.timeout_ms)
    if not isinstance(ran, backends.Ok):
        return await _recorded_outcome(connection, write, ran)
    noted = await connection.execute(
        _insert_request(write.caller_request, ran),
        write.timeout_ms,
    )
    if not isinstance(noted, backends.Ok):
        return await _recorded_outcome(connection, write, noted)
    committed = await connection.execute('COMMIT', write.timeout_ms)
    if not isinstance(committed, backends.Ok):
        return replies.error_outcome(committed, sent=True)
    return dataclasses.replace(
        ran,
        in_transaction=False,
        term=committed.term,
        offset=committed.offset,
    )


async def _recorded_outcome(
    connection: backends.BackendConnection,
    write: IdempotentWrite,
    reply: backends.Reply,
) -> backends.Ok | outcomes.Outcome:
    """Return the stored outcome if the request id exists, else the error."""
    rolled_back = await connection.execute('ROLLBACK', write.timeout_ms)
    if not isinstance(rolled_back, backends.Ok):
        connection.abort()
    if isinstance(reply, backends.ResultSet):
        return outcomes.NotRun(
            outcomes.Reason.unsupported,
            'a statement that returns rows cannot have a request id',
            code=outcomes.ERROR_UNSUPPORTED,
        )
    if not isinstance(reply, backends.ServerError):
        # COMMIT was not sent, so the server rolls the write back.
        return acknowledgement.no_primary(outcomes.Reason.connection_lost)
    found = await connection.query(
        _select_request(write.caller_request),
        write.timeout_ms,
    )
    match found:
        case result.Ok([(affected_rows, last_insert_id), *_]):
            first = backends.Ok(
                affected_rows=int(affected_rows),
                last_insert_id=int(last_insert_id),
                in_transaction=False,
            )
            return await _at_current_position(connection, write, first)
    return replies.error_outcome(reply, sent=False)


async def _at_current_position(
    connection: backends.BackendConnection,
    write: IdempotentWrite,
    first: backends.Ok,
) -> backends.Ok | outcomes.Outcome:
    """Return the stored outcome with the primary's current log position.

    The row that was read may not be replicated yet, so this position has to
    be confirmed before the outcome is acknowledged.
    """
    answered = await connection.query('CALL group_status()', write.timeout_ms)
    match answered:
        case result.Ok([(_, term, 'primary', _, applied), *_]):
            return dataclasses.replace(
                first,
                term=int(term),
                offset=int(applied),
            )
    return outcomes.OutcomeUnknown(
        outcomes.Reason.unconfirmed,
        'the write with this request id ran before, but is not confirmed',
    )


def _insert_request(caller_request: str, ran: backends.Ok) -> str:
    return (
        'INSERT INTO {0} (request_id, affected_rows, last_insert_id) '
        "VALUES ('{1}', {2}, {3})"
    ).format(
        REQUEST_TABLE,
        caller_request,
        ran.affected_rows,
        ran.last_insert_id,
    )


def _select_request(caller_request: str) -> str:
    return (
        "SELECT affected_rows, last_insert_id FROM {0} WHERE request_id = '{1}'"
    ).format(REQUEST_TABLE, caller_request)
