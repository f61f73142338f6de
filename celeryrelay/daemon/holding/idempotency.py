"""Writes that carry their caller's request id.

The id is stored in the same transaction as the write, so a repeated request
finds the first outcome in place of running again.
"""

import dataclasses

import result

from celeryrelay.adapters import backends
from celeryrelay.core import outcomes
from celeryrelay.daemon.holding import acknowledgement, replies

REQUEST_TABLE = 'celeryrelay_requests'


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write with its request id.

    Attributes:
        sql: Statement text.
        caller_request: Request id; the entry has checked that it needs no
            quoting.
        timeout_ms: Deadline of each call to the server.
    """

    sql: str
    caller_request: str
    timeout_ms: float


async def run_once(
    connection: backends.BackendConnection,
    write: Write,
) -> backends.Ok | outcomes.Outcome:
    """Run `write`, or return the outcome of its first run.

    Returns:
        The server's reply with the log position that has to be confirmed, or
        the final outcome.
    """
    begun = await connection.execute('BEGIN', write.timeout_ms)
    if not isinstance(begun, backends.Ok):
        return replies.refused_or_lost(begun, sent=False)
    ran = await connection.execute(write.sql, write.timeout_ms)
    if not isinstance(ran, backends.Ok):
        return await _first_outcome(connection, write, ran)
    noted = await connection.execute(
        _insert_request(write.caller_request, ran),
        write.timeout_ms,
    )
    if not isinstance(noted, backends.Ok):
        return await _first_outcome(connection, write, noted)
    committed = await connection.execute('COMMIT', write.timeout_ms)
    if not isinstance(committed, backends.Ok):
        return replies.refused_or_lost(committed, sent=True)
    return dataclasses.replace(
        ran,
        in_transaction=False,
        term=committed.term,
        offset=committed.offset,
    )


async def _first_outcome(
    connection: backends.BackendConnection,
    write: Write,
    reply: backends.Reply,
) -> backends.Ok | outcomes.Outcome:
    """Return the first run's outcome if the request id is known."""
    rolled_back = await connection.execute('ROLLBACK', write.timeout_ms)
    if not isinstance(rolled_back, backends.Ok):
        connection.abort()
    if isinstance(reply, backends.ResultSet):
        return outcomes.NotRun(
            outcomes.Reason.unsupported,
            'a request id needs a statement without rows',
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
            return await _at_present(connection, write, first)
    return replies.refused_or_lost(reply, sent=False)


async def _at_present(
    connection: backends.BackendConnection,
    write: Write,
    first: backends.Ok,
) -> backends.Ok | outcomes.Outcome:
    """Return an earlier outcome at the primary's present position.

    The row that tells it may not be replicated yet.
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
        'the first run of this request id could not be confirmed',
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
