"""Conversion of backend replies to outcomes and response lines."""

import base64
from collections import abc

from celeryrelay.adapters import backends
from celeryrelay.admission import decisions
from celeryrelay.core import outcomes, peer_messages
from celeryrelay.daemon.holding import acknowledgement

# MySQL's ER_OPTION_PREVENTS_STATEMENT (1290): the slot is not the primary of
# the term set on the connection.
ERROR_FENCED = 1290


def header(reply: backends.ResultSet) -> peer_messages.ResultHeader:
    """Return the response line that describes the columns of a result set."""
    return peer_messages.ResultHeader(
        tuple(
            peer_messages.ColumnHeader(
                column.name, column.type_code, column.binary
            )
            for column in reply.columns
        ),
    )


def encode_row(
    row: backends.Row,
    binary: abc.Sequence[bool],
) -> tuple[peer_messages.ColumnValue, ...]:
    """Return a row in the encoding of the peer protocol."""
    return tuple(
        _encode(cell, is_binary)
        for cell, is_binary in zip(row, binary, strict=True)
    )


def _encode(
    cell: str | bytes | None, is_binary: bool
) -> peer_messages.ColumnValue:
    if cell is None:
        return None
    if is_binary:
        raw = cell if isinstance(cell, bytes) else cell.encode()
        return base64.b64encode(raw).decode('ascii')
    if isinstance(cell, bytes):
        return cell.decode('utf-8', 'replace')
    return cell


def error_outcome(
    reply: backends.Reply,
    *,
    sent: bool,
) -> outcomes.Outcome:
    """Return the outcome for a reply other than success.

    Args:
        reply: Error, or lost connection.
        sent: Whether the statement may have had an effect.
    """
    match reply:
        case backends.ServerError(code=code) if code == ERROR_FENCED:
            return acknowledgement.no_primary(outcomes.Reason.no_primary)
        case backends.ServerError():
            return server_error(reply)
        case backends.Lost() if sent:
            return outcomes.OutcomeUnknown(
                outcomes.Reason.connection_lost,
                'backend connection lost: {0}'.format(reply.message),
            )
        case _:
            return acknowledgement.no_primary(outcomes.Reason.connection_lost)


def server_error(reply: backends.ServerError) -> outcomes.Failed:
    """Return the outcome with the error of the backend server."""
    return outcomes.Failed(
        code=reply.code,
        sqlstate=reply.sqlstate,
        message=reply.message,
        in_transaction=reply.in_transaction,
    )


def lagging(message: str) -> outcomes.NotRun:
    """Return the refusal of a slot that lags behind the bound of a read."""
    return outcomes.NotRun(outcomes.Reason.lagging, message)


def queue_refusal(
    verdict: decisions.Refuse,
    request: peer_messages.StatementRequest,
) -> outcomes.NotRun:
    """Return the refusal of a statement by the admission queue."""
    return outcomes.NotRun(
        reason=verdict.reason,
        message='the admission queue refused a statement of rank {0}'.format(
            request.rank,
        ),
        retry_after_ms=int(verdict.retry_after_ms),
    )


def no_connection(failure: backends.ConnectFailure) -> outcomes.NotRun:
    """Return the refusal after a failed connection to the backend server."""
    return outcomes.NotRun(
        reason=outcomes.Reason.connections,
        message='no connection to the backend server: {0}'.format(
            failure.message,
        ),
        retry_after_ms=100,
    )
