"""Read bounds that a session of a caller keeps between its statements."""

import dataclasses

from celeryrelay.adapters import caller_connection
from celeryrelay.conf import sets
from celeryrelay.core import outcomes, peer_messages, positions
from celeryrelay.daemon.callers import (
    caller_statement,
    delivery,
    read_bounds,
    refusals,
)
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.sessions import bounds


class SessionReadBounds:
    """The positions that reads of one session must see, by database group."""

    def __init__(
        self, deliverer: delivery.Deliverer, fleet: fleet_state.FleetState
    ) -> None:
        """Start without a bound of any group."""
        self._deliverer = deliverer
        self._fleet = fleet
        self._bounds = bounds.SessionBounds()
        self._bounded_groups: set[str] = set()

    def position(self, group: str) -> positions.Position | None:
        """Return the position that reads of a group must see, if any."""
        return self._bounds.bound(group)

    def advance(self, position: positions.Position) -> None:
        """Let later reads see at least `position`."""
        self._bounded_groups.add(position.group)
        self._bounds.advance(position)

    def renew(
        self, request: peer_messages.StatementRequest
    ) -> peer_messages.StatementRequest | outcomes.NotRun:
        """Return a read request with the read bound in the current term."""
        position = self._bounds.bound(request.group)
        record = self._fleet.record(request.group)
        match read_bounds.current_bound(position, record):
            case peer_messages.ReadBound() as bound:
                return dataclasses.replace(request, bound=bound)
            case outcomes.NotRun() as refusal:
                return refusal
            case _:
                return request

    async def read(
        self, statement: caller_statement.Statement
    ) -> peer_messages.ReadBound | outcomes.Outcome:
        """Return the lowest position that a read of this session must see."""
        group = statement.group.name
        if group not in self._bounded_groups:
            last = await self._fetch_primary_position(statement)
            if not isinstance(last, outcomes.Done):
                return last
            self._bounded_groups.add(group)
        while True:
            bound = read_bounds.current_bound(
                self._bounds.bound(group), self._fleet.record(group)
            )
            if bound is not None:
                return bound
            if not await self._deliverer.wait_for_change(statement):
                return refusals.unknown_primary()

    async def _fetch_primary_position(
        self, statement: caller_statement.Statement
    ) -> outcomes.Outcome:
        """Set the bound of a session without a token to the primary's position.

        The caller may have written through another entry instance before.
        """
        message = dataclasses.replace(
            statement.message(),
            action='position',
            sql='',
            durability=sets.Durability.local,
        )
        while True:
            last: outcomes.Outcome = refusals.unknown_primary()
            late = False
            async for part in self._deliverer.run_on_primary(
                statement, message
            ):
                if isinstance(part, caller_connection.CloseConnection):
                    late = True
                    last = refusals.no_holder(part.message)
                elif isinstance(part, delivery.FINAL_OUTCOMES):
                    last = part
            # A position that arrived too late has no effect and is requested
            # again.
            if not late or not await self._deliverer.wait_for_change(statement):
                break
        if isinstance(last, outcomes.Done) and last.position is not None:
            self.advance(last.position)
        return last
