"""One statement on one connection."""

import asyncio
import dataclasses
from collections import abc

from celeryrelay.core import clock as clocks
from celeryrelay.core import positions
from celeryrelay.gateway import (
    commands,
    connection_state,
    interfaces,
    session_state,
)
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
    """Send a statement with its session's state; return its reply's future.

    Args:
        lease: Connection that runs it.
        context: Where the statement comes from.
        statement: The statement.
        bound: Position that the server's log has to hold.
        in_transaction: Whether a transaction is open on the connection.
        then: Commands that are sent behind it in the same write.
    """
    template = None
    name = ''
    match statement:
        case statements.RunPrepared():
            template = statement.template
            name = connection_state.prepared_name(template)
    needs = connection_state.RequiredSessionState(
        context.state.variables,
        template,
        in_transaction,
    )
    own = commands.Run(context.request_id, statement, name, bound)
    return lease.send([own, *then], needs)[0]


async def wait_for_reply(
    lease: interfaces.ConnectionLease,
    future: asyncio.Future,
    timeout_s: float,
    clock: clocks.Clock,
) -> Outcome:
    """Wait for a reply and charge the time to the lease."""
    started = clock.monotonic()
    try:
        async with asyncio.timeout(timeout_s):
            return await asyncio.shield(future)
    except TimeoutError:
        return Late()
    finally:
        lease.busy_ms += (clock.monotonic() - started) * 1000


def release(lease: interfaces.ConnectionLease, reply: Outcome) -> None:
    """Give a connection back after the last reply that it is needed for.

    A connection on which a name is not prepared has another state than noted.
    """
    lease.release(
        usable=isinstance(reply, commands.Reply)
        and reply.error is not commands.ErrorKind.unprepared,
    )
