"""Tickets and the decisions of the admission queue."""

import dataclasses

from celeryrelay.core import outcomes, ranks


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Request of a transaction or a single statement for a connection.

    Attributes:
        ticket_id: Unique id.
        rank: Rank of the transaction or statement.
        arrived: Monotonic arrival time in seconds.
        deadline: Monotonic time in seconds by which it has to be served.
        occupies_slot: Whether it runs a statement. Commands that the server
            answers without a slot start as long as a connection is free.
    """

    ticket_id: int | str
    rank: ranks.Rank
    arrived: float
    deadline: float
    occupies_slot: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The ticket may use a connection now."""

    ticket_id: int | str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The ticket waits; a later call to the queue starts or refuses it."""

    ticket_id: int | str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The ticket is not served.

    Attributes:
        ticket_id: Id of the ticket.
        reason: `overload` if it would have waited too long, `deadline` if its
            deadline can't be met any more.
        retry_after_ms: Time after which the caller may retry, with jitter.
    """

    ticket_id: int | str
    reason: outcomes.Reason
    retry_after_ms: int
