"""Attempts to run one read, and whether another server is tried."""

import asyncio
import dataclasses
import enum
from collections import abc

from celeryrelay.core import outcomes
from celeryrelay.gateway import interfaces, services
from celeryrelay.gateway.sessions import session_state

# Servers of which a read waits for a connection, if those of the first one are
# in use for too long.
MAX_OVERLOADED_SERVERS = 2
# The server, or the holders of its connections, have more work than they can do
# in time.
OVERLOAD_REASONS = frozenset(
    (outcomes.Reason.overload, outcomes.Reason.deadline)
)


class Status(enum.Enum):
    """How an attempt ended.

    Attributes:
        answered: With an answer for the caller.
        retry_elsewhere: Without; another server may run the read.
        rejected: The server replied that it was full.
        no_capacity: No connection to the server is free in time.
    """

    answered = 'answered'
    retry_elsewhere = 'elsewhere'
    rejected = 'rejected'
    no_capacity = 'no_capacity'


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of one attempt to run a read."""

    status: Status
    answer: interfaces.Answer


@dataclasses.dataclass(slots=True)
class Progress:
    """Whether an attempt has sent its statement."""

    sent: bool = False


@dataclasses.dataclass(slots=True)
class Attempts:
    """Attempts to run one read.

    Attributes:
        tried: Ids of the servers that are not to be tried again.
        running: Attempts that have not ended.
        started: Number of attempts so far.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    running: dict[asyncio.Task[Result], Progress] = dataclasses.field(
        default_factory=dict,
    )
    started: int = 0


async def may_continue(
    shared: services.Services,
    context: session_state.StatementContext,
    attempts: Attempts,
    ended: abc.Collection[Result],
) -> bool:
    """Wait before the next attempt; return whether there is to be one.

    A read that a server rejected waits, and only a fraction of them is sent
    again. After the wait, all servers may be tried again.

    Args:
        shared: Services of the daemon.
        context: Context of the read.
        attempts: Attempts so far.
        ended: Results of the last ones.
    """
    statuses = {attempt.status for attempt in ended}
    if Status.rejected in statuses:
        pause_s = shared.busy_retries.pause_s(
            context.route.group,
            attempts.started,
            shared.clock.monotonic(),
            context.placement_deadline,
        )
        if pause_s is None:
            return False
        await asyncio.sleep(pause_s)
        attempts.tried.clear()
    elif Status.no_capacity in statuses:
        return attempts.started < MAX_OVERLOADED_SERVERS
    return True
