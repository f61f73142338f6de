"""Tickets and the decisions of the admission queue."""

import dataclasses

from celeryrelay.core import outcomes, ranks


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A transaction or a statement that needs a connection.

    Attributes:
        ticket_id: Unique id.
        rank: Its rank.
        arrived: Monotonic arrival time in seconds.
        deadline: Monotonic time in seconds at which it is refused.
    """

    ticket_id: int | str
    rank: ranks.Rank
    arrived: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The ticket may use a connection now."""

    ticket_id: int | str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The ticket waits; a later call starts or refuses it."""

    ticket_id: int | str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The ticket is not served.

    Attributes:
        ticket_id: Id of the ticket.
        reason: `overload` for an early refusal, else `deadline`.
        retry_after_ms: When the caller may try again, with jitter.
    """

    ticket_id: int | str
    reason: outcomes.Reason
    retry_after_ms: int
