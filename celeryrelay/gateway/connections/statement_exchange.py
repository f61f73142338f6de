"""Sends one statement on a leased connection and waits for its reply."""

import asyncio
import dataclasses
from collections import abc

from celeryrelay.core import clock as clocks
from celeryrelay.core import positions
from celeryrelay.gateway import commands, interfaces
from celeryrelay.gateway.connections import connection_state
from celeryrelay.gateway.sessions import session_state
from celeryrelay.sessions import statements


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """The server did not answer within the statement's timeout."""


Outcome = commands.Reply | commands.Lost | Late


def send_statement(
    lease: interfaces.ConnectionLease,
    context: session_state.StatementContext,
    statement: statements.Runnable,
    bound: positions.Position | None = None,
    in_transaction: bool = False,
    then: abc.Sequence[commands.Command] = (),
) -> asyncio.Future:
    """Send a statement, preceded by the session state that it requires.

    Args:
        lease: Connection on which the statement runs.
        context: Session and request that the statement belongs to.
        statement: The statement.
        bound: Log position that the server must have reached to run the
            statement; None if there is no such condition.
        in_transaction: Whether a transaction is open on the connection.
        then: Commands to send after the statement in the same write.

    Returns:
        Future of the reply to the statement.
    """
    template = None
    name = ''
    match statement:
        case statements.RunPrepared():
            template = statement.template
            name = connection_state.prepared_name(template)
    required_state = connection_state.RequiredSessionState(
        context.state.variables,
        template,
        in_transaction,
    )
    command = commands.Run(context.request_id, statement, name, bound)
    return lease.send([command, *then], required_state)[0]


async def wait_for_reply(
    lease: interfaces.ConnectionLease,
    future: asyncio.Future,
    timeout_s: float,
    clock: clocks.Clock,
) -> Outcome:
    """Wait for a reply and add the waiting time to the lease's busy time."""
    started = clock.monotonic()
    try:
        async with asyncio.timeout(timeout_s):
            return await asyncio.shield(future)
    except TimeoutError:
        return Late()
    finally:
        lease.busy_ms += (clock.monotonic() - started) * 1000


def release(lease: interfaces.ConnectionLease, reply: Outcome) -> None:
    """Release a connection after the last reply that it was leased for.

    It is closed if the reply was lost or late, or if the server does not know
    a prepared statement: the recorded state of the connection is then wrong.
    """
    lease.release(
        usable=isinstance(reply, commands.Reply)
        and reply.error is not commands.ErrorKind.unprepared,
    )
