"""One statement on one connection."""

import asyncio
import dataclasses

from celeryrelay.core import clock as clocks
from celeryrelay.core import positions
from celeryrelay.gateway import commands, pool, session_state
from celeryrelay.sessions import statements


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """The server did not answer within the statement's timeout."""


Outcome = commands.Reply | commands.Lost | Late


def run_commands(
    pooled: pool.Pooled,
    context: session_state.Context,
    statement: statements.Runnable,
    bound: positions.Position | None = None,
    in_transaction: bool = False,
) -> list[commands.Command]:
    """Return the commands that run `statement`; its own is the last one."""
    template = None
    name = ''
    match statement:
        case statements.RunPrepared():
            template = statement.template
            name = pool.prepared_name(template)
    batch = pooled.align(context.state.variables, template, in_transaction)
    batch.append(commands.Run(context.request_id, statement, name, bound))
    return batch


async def reply_of(
    lease: pool.Lease,
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


def release(lease: pool.Lease, reply: Outcome) -> None:
    """Give a connection back after the last reply that it is needed for.

    A connection on which a name is not prepared has another state than noted.
    """
    lease.release(
        usable=isinstance(reply, commands.Reply)
        and reply.error is not commands.ErrorKind.unprepared,
    )
