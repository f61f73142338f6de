"""Attempts on the primary of a group, retried during a failover."""

import asyncio
import dataclasses
import itertools
import typing
from collections import abc

import result

from celeryrelay.core import errors, outcomes, positions
from celeryrelay.gateway import catalog, commands, interfaces, services
from celeryrelay.gateway.connections import connection_state, statement_exchange
from celeryrelay.gateway.sessions import refusals, session_state

# Pause before a statement that the primary did not run is sent again.
RETRY_PAUSE_S = 0.03

Success = typing.TypeVar('Success')
Attempt = abc.Callable[
    [catalog.Server],
    abc.Awaitable[result.Result[Success, outcomes.NotRun]],
]


async def retry(
    shared: services.Services,
    context: session_state.StatementContext,
    attempt: Attempt[Success],
) -> result.Result[Success, outcomes.NotRun]:
    """Call `attempt` with the primary until it succeeds.

    Returns:
        The last refusal if the statement's deadline passes first, or if the
        primary is overloaded.
    """
    refusal = refusals.no_primary()
    group = context.route.group
    shared.busy_retries.on_request(group)
    for attempts in itertools.count(1):
        deadline = shared.primaries.wait_deadline(
            group, context.primary_deadline
        )
        server = await shared.primaries.find(group, deadline)
        if server is None:
            return result.Err(refusal)
        match await attempt(server):
            case result.Ok() as done:
                return done
            case result.Err(refusal):
                is_late = shared.clock.monotonic() >= deadline
                if is_late or refusals.is_final(refusal):
                    return result.Err(refusal)
                pause_s = _pause_s(
                    shared, context, server, refusal.reason, attempts
                )
                if pause_s is None:
                    hint_ms = shared.busy_retries.retry_after_ms()
                    return result.Err(refusals.with_hint(refusal, hint_ms))
        await asyncio.sleep(pause_s)
    raise errors.InvariantError('the loop ended without a result')


def _pause_s(
    shared: services.Services,
    context: session_state.StatementContext,
    server: catalog.Server,
    reason: outcomes.Reason,
    attempts: int,
) -> float | None:
    """Return the wait before the next attempt, None if there is to be none."""
    match reason:
        case outcomes.Reason.overload:
            return shared.busy_retries.pause_s(
                server.group,
                attempts,
                shared.clock.monotonic(),
                context.placement_deadline,
            )
        case outcomes.Reason.deadline:
            if _is_primary(shared, server):
                return None
    return RETRY_PAUSE_S


def _is_primary(shared: services.Services, server: catalog.Server) -> bool:
    """Return whether a server is the primary, and reachable.

    The connections to one that failed or was replaced may all be in use by
    statements without a reply.
    """
    primary = shared.directory.primary(server.group)
    return (
        primary is not None
        and primary.server.server_id == server.server_id
        and not shared.primaries.health[server.group].is_failing
    )


@dataclasses.dataclass(slots=True)
class BegunTransaction:
    """A transaction that a primary has opened.

    Attributes:
        lease: Lease of its connection.
        confirmation: Whether the server led its group when it opened the
            transaction; None if that is certain.
    """

    lease: interfaces.ConnectionLease
    confirmation: asyncio.Task[bool] | None = None

    async def is_confirmed(self) -> bool:
        """Return whether the server led its group.

        No answer from the transaction may be used before.
        """
        return self.confirmation is None or await self.confirmation


async def acquire(
    shared: services.Services,
    context: session_state.StatementContext,
    server: catalog.Server,
) -> result.Result[interfaces.ConnectionLease, outcomes.NotRun]:
    """Wait for a connection to the primary.

    If none can be opened, the server is marked as unreachable.
    """
    acquired = await shared.primaries.acquire(
        server,
        context.route.rank,
        context.acquire_deadline(shared.clock.monotonic()),
        context.account,
    )
    match acquired:
        case result.Err(outcomes.NotRun(outcomes.Reason.connections)):
            shared.primaries.on_unreachable(server)
        case result.Ok(lease):
            return check_again(shared, context, lease)
    return acquired


def check_again(
    shared: services.Services,
    context: session_state.StatementContext,
    lease: interfaces.ConnectionLease,
) -> result.Result[interfaces.ConnectionLease, outcomes.NotRun]:
    """Return a lease for a statement if its API key is still valid.

    Otherwise the lease is released.
    """
    refusal = shared.authorizer.check_again(context)
    if refusal is None:
        return result.Ok(lease)
    lease.release()
    return result.Err(refusal)


async def begin(
    shared: services.Services,
    context: session_state.StatementContext,
    server: catalog.Server,
) -> result.Result[BegunTransaction, outcomes.NotRun]:
    """Open a transaction on the primary and wait for the reply.

    The reply proves that the server is the primary. If the server is replaced
    later, the following statements of the transaction fail. So no statement is
    sent before the reply: without an open transaction, a replaced primary
    would run it.

    Where a replaced primary opens transactions too, the proof is completed
    while the first statement runs, so that the connection is not held longer.
    """
    acquired = await acquire(shared, context, server)
    match acquired:
        case result.Err():
            return acquired
    lease = acquired.ok_value
    sent_at = shared.clock.monotonic()
    needs = connection_state.RequiredSessionState(context.state.variables)
    future = lease.send([commands.Begin()], needs)[0]
    shared.primaries.watch_reply(server, future)
    reply = await statement_exchange.wait_for_reply(
        lease,
        future,
        context.timeout_s,
        shared.clock,
    )
    match reply:
        case commands.Reply(error=None):
            begun = BegunTransaction(lease)
            if shared.options.deposes_primaries:
                shared.primaries.on_primary_confirmed(
                    lease, sent_at, reply.position
                )
            else:
                begun.confirmation = asyncio.create_task(
                    _confirm(shared, context, lease, sent_at, reply.position)
                )
            return result.Ok(begun)
        case commands.Reply(error=error):
            lease.release()
            if error is commands.ErrorKind.not_primary:
                shared.primaries.on_not_primary(server)
            return result.Err(refusals.from_server_error(error))
    lease.release(usable=False)
    shared.primaries.on_no_reply(lease, reply)
    return result.Err(refusals.primary_timed_out())


async def _confirm(
    shared: services.Services,
    context: session_state.StatementContext,
    lease: interfaces.ConnectionLease,
    sent_at: float,
    position: positions.Position | None,
) -> bool:
    primaries = shared.primaries
    if not await primaries.has_led(lease.server, context.primary_deadline):
        return False
    primaries.on_primary_confirmed(lease, sent_at, position)
    return True
