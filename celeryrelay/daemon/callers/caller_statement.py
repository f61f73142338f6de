"""A statement of a caller on its way to a holder."""

import dataclasses

from celeryrelay.conf import sets
from celeryrelay.core import peer_messages
from celeryrelay.routing import statement_kinds


@dataclasses.dataclass(slots=True)
class Statement:
    """One statement of a caller, with its route and deadline.

    Attributes:
        request: Request id that all messages and events carry.
        caller_request: Idempotency id given by the caller, '' without one.
        objects: Object set active at arrival, used until the statement ends.
        started_at: Monotonic arrival time in seconds.
        deadline: Monotonic time in seconds.
        held_ms: Time spent waiting for a new primary.
        answered: Whether the caller has received a part of the answer.
    """

    request: str
    sql: str
    kind: statement_kinds.Kind
    caller_request: str
    objects: sets.ObjectSet
    route: sets.Route
    started_at: float
    deadline: float
    held_ms: float = 0
    answered: bool = False

    @property
    def group(self) -> sets.DatabaseGroup:
        """Return the database group of the route."""
        return self.objects.groups[self.route.group]

    @property
    def rank(self) -> sets.RankPolicy:
        """Return the policy of the route's rank."""
        return self.objects.ranks[self.route.rank]

    @property
    def is_read(self) -> bool:
        """Return whether the statement can't change data."""
        return self.kind is statement_kinds.Kind.read

    @property
    def needs_request_row(self) -> bool:
        """Return whether the write is stored together with a request id."""
        return self.kind is statement_kinds.Kind.write and bool(
            self.caller_request
        )

    def message(self) -> peer_messages.StatementRequest:
        """Return the request to a holder, without its slot and time budget."""
        return peer_messages.StatementRequest(
            request=self.request,
            group=self.group.name,
            slot='',
            sql=self.sql,
            rank=self.route.rank,
            budget_ms=0,
            write=not self.is_read,
            durability=self.route.durability or self.rank.durability,
            caller_request=self.caller_request,
        )
