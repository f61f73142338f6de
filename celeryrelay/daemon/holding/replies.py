"""Translation of a backend server's replies."""

import base64
from collections import abc

from celeryrelay.adapters import backends
from celeryrelay.admission import decisions
from celeryrelay.core import outcomes, peer_messages
from celeryrelay.daemon.holding import acknowledgement

# The slot is not the primary of the connection's term.
ERROR_FENCED = 1290


def header(reply: backends.ResultSet) -> peer_messages.ResultHeader:
    """Return the first line of an answer with rows."""
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
    """Return a row as it travels between daemons."""
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


def refused_or_lost(
    reply: backends.Reply,
    *,
    sent: bool,
) -> outcomes.Outcome:
    """Return the outcome of a statement that was not answered with success.

    Args:
        reply: The reply.
        sent: Whether the statement may have had an effect.
    """
    match reply:
        case backends.ServerError(code=code) if code == ERROR_FENCED:
            return acknowledgement.no_primary(outcomes.Reason.no_primary)
        case backends.ServerError():
            return failed(reply)
        case backends.Lost() if sent:
            return outcomes.OutcomeUnknown(
                outcomes.Reason.connection_lost,
                'backend connection lost: {0}'.format(reply.message),
            )
        case _:
            return acknowledgement.no_primary(outcomes.Reason.connection_lost)


def failed(reply: backends.ServerError) -> outcomes.Failed:
    """Return the server's own error."""
    return outcomes.Failed(
        code=reply.code,
        sqlstate=reply.sqlstate,
        message=reply.message,
        in_transaction=reply.in_transaction,
    )


def lagging(message: str) -> outcomes.NotRun:
    """Return the refusal of a slot that is behind."""
    return outcomes.NotRun(outcomes.Reason.lagging, message)


def overload(
    verdict: decisions.Refuse,
    request: peer_messages.StatementRequest,
) -> outcomes.NotRun:
    """Return the refusal by the admission queue."""
    return outcomes.NotRun(
        reason=verdict.reason,
        message='the queue refused a statement of rank {0}'.format(
            request.rank,
        ),
        retry_after_ms=int(verdict.retry_after_ms),
    )


def no_connection(failure: backends.ConnectFailure) -> outcomes.NotRun:
    """Return the refusal when the backend server can't be connected to."""
    return outcomes.NotRun(
        reason=outcomes.Reason.connections,
        message='no connection to the backend server: {0}'.format(
            failure.message,
        ),
        retry_after_ms=100,
    )
