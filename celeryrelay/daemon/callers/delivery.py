"""Delivery of one statement to the slot that can serve it."""

import dataclasses
from collections import abc

from celeryrelay.adapters import callers, peer_client
from celeryrelay.admission import retry_budget
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, outcomes, peer_messages
from celeryrelay.daemon.callers import forwarding, refusals
from celeryrelay.daemon.exchange import fleet
from celeryrelay.routing import statement_kinds

# A held statement is sent again after a change of the fleet, and without one
# after this time, because a holder may have changed its mind.
HOLD_CHECK_S = 0.25
_MS_PER_S = 1000

Parts = abc.AsyncGenerator[callers.AnswerPart, None]

LAST = (
    outcomes.Done,
    outcomes.Failed,
    outcomes.NotRun,
    outcomes.OutcomeUnknown,
)


@dataclasses.dataclass(slots=True)
class Statement:
    """One statement of a caller on its way.

    Attributes:
        request: Request id that all messages and events carry.
        objects: Object set in force when the statement arrived; it ends under
            this set.
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
        """Return whether its request id is stored together with a write."""
        return self.kind is statement_kinds.Kind.write and bool(
            self.caller_request
        )

    def message(self) -> peer_messages.StatementRequest:
        """Return the message to a holder, without slot and time left."""
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


@dataclasses.dataclass(frozen=True, slots=True)
class OpenTransaction:
    """A transaction at a holder."""

    name: str
    instance: str
    slot: sets.Slot
    route: sets.Route


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A holder opened a transaction for the statement."""

    transaction: OpenTransaction


Renew = abc.Callable[
    [peer_messages.StatementRequest],
    peer_messages.StatementRequest | outcomes.NotRun,
]


@dataclasses.dataclass(slots=True)
class DeliveryParts:
    """What statements are delivered with."""

    fleet: fleet.Fleet
    forwarder: forwarding.Forwarder
    retries: retry_budget.RetryBudget
    settings: settings.Settings
    clock: clock.Clock


class Deliverer:
    """Finds a slot and a holder for a statement and waits out failovers.

    A statement is sent again only after a refusal that says "not run".
    """

    def __init__(self, parts: DeliveryParts, preference: int) -> None:
        """Create the deliverer of one caller connection.

        Args:
            parts: What statements are delivered with.
            preference: Number that spreads connections over holders.
        """
        self._parts = parts
        self._preference = preference

    def replica(self, group: sets.DatabaseGroup) -> sets.Slot | None:
        """Return the replica in this availability zone, else any other.

        Returns None as well when the retry budget is spent: replicas then
        refuse so many reads that the primary is asked at once.
        """
        self._parts.retries.on_request()
        primary = self._parts.fleet.primary(group.name)
        candidates = [
            slot
            for slot in group.slots
            if slot.name != primary
            and slot.address not in self._parts.fleet.leaving
        ]
        own_zone = self._parts.fleet.own.availability_zone
        near = [
            slot for slot in candidates if slot.availability_zone == own_zone
        ]
        candidates = near or candidates
        if not candidates or not self._parts.retries.available:
            return None
        return candidates[self._preference % len(candidates)]

    async def read(
        self,
        statement: Statement,
        request: peer_messages.StatementRequest,
        renew: Renew,
    ) -> Parts:
        """Run a read on a replica, or on the primary if it can't.

        Args:
            statement: The read.
            request: Its message with the bound at present.
            renew: Returns the message with the bound after a change of the
                fleet. A bound of the old term would be refused by the new
                primary until the deadline.
        """
        replica = self.replica(statement.group)
        if replica is not None:
            refusal = None
            async for part in self.on_slot(statement, request, replica):
                if isinstance(part, outcomes.NotRun):
                    refusal = part
                else:
                    yield part
            if refusal is None:
                return
            self._parts.retries.take()
            if refusal.reason not in refusals.PASSING:
                yield refusal
                return
        async for part in self.on_primary(statement, request, renew):
            yield part

    async def on_primary(
        self,
        statement: Statement,
        request: peer_messages.StatementRequest,
        renew: Renew | None = None,
    ) -> Parts:
        """Run a statement on the primary, waiting out a failover."""
        while True:
            refusal = None
            async for part in self._on_known_primary(statement, request):
                if isinstance(part, outcomes.NotRun):
                    refusal = part
                else:
                    yield part
            if refusal is None:
                return
            passing = refusal.reason in refusals.PASSING
            if not passing or not await self.hold(statement):
                yield refusal
                return
            renewed = renew(request) if renew else request
            if isinstance(renewed, outcomes.NotRun):
                yield renewed
                return
            request = renewed

    async def _on_known_primary(
        self,
        statement: Statement,
        request: peer_messages.StatementRequest,
    ) -> Parts:
        name = self._parts.fleet.primary(statement.group.name)
        slot = statement.group.slot(name) if name else None
        if slot is None:
            yield refusals.unknown_primary()
        else:
            async for part in self.on_slot(statement, request, slot):
                yield part

    async def on_slot(
        self,
        statement: Statement,
        request: peer_messages.StatementRequest,
        slot: sets.Slot,
    ) -> Parts:
        """Try the holders of a slot; yield the last refusal if all refuse."""
        refusal = refusals.no_holder('no instance holds the slot')
        target = forwarding.Delivery(slot, request, self._preference)
        for instance in self._parts.forwarder.instances(target):
            refused = None
            async for part in self._judged(statement, target, instance):
                if isinstance(part, outcomes.NotRun):
                    refused = part
                else:
                    yield part
            if refused is None:
                return
            refusal = refused
            if refusal.reason not in refusals.PASSING:
                break
        yield refusal

    async def in_transaction(
        self,
        statement: Statement,
        transaction: OpenTransaction,
    ) -> Parts:
        """Run a statement in its open transaction."""
        request = dataclasses.replace(
            statement.message(),
            transaction=transaction.name,
            action=_ACTIONS.get(statement.kind, 'run'),
        )
        target = forwarding.Delivery(transaction.slot, request)
        commits = statement.kind is statement_kinds.Kind.commit
        async for part in self._attempt(
            statement,
            target,
            transaction.instance,
        ):
            match part:
                case peer_client.PeerError() if statement.answered:
                    yield callers.CloseConnection(part.message)
                case peer_client.PeerError() if part.sent and commits:
                    yield refusals.connection_lost(part.message)
                case peer_client.PeerError():
                    # Without COMMIT the transaction is rolled back.
                    yield refusals.rolled_back(part.message)
                case outcomes.NotRun():
                    # The holder doesn't know the transaction any more.
                    yield refusals.rolled_back(part.message)
                case _:
                    yield part

    async def end(self, transaction: OpenTransaction, request: str) -> None:
        """Roll back a transaction whose caller has gone."""
        message = peer_messages.StatementRequest(
            request=request,
            group=transaction.route.group,
            slot=transaction.slot.name,
            sql='',
            rank=transaction.route.rank,
            budget_ms=self._parts.settings.statements.progress_timeout_ms,
            transaction=transaction.name,
            action='rollback',
        )
        await forwarding.last_part(
            self._parts.forwarder.send(
                transaction.instance,
                forwarding.Delivery(transaction.slot, message),
                self._parts.settings.statements,
            ),
        )

    async def hold(self, statement: Statement) -> bool:
        """Wait for a change of the fleet; False when the time is up."""
        before = self._parts.clock.monotonic()
        hold_s = self._parts.settings.statements.failover_hold_ms / _MS_PER_S
        until = min(statement.deadline, statement.started_at + hold_s)
        left_s = until - before
        if left_s <= 0:
            return False
        await self._parts.fleet.wait_for_change(min(left_s, HOLD_CHECK_S))
        waited_s = self._parts.clock.monotonic() - before
        statement.held_ms += waited_s * _MS_PER_S
        return True

    async def _judged(
        self,
        statement: Statement,
        target: forwarding.Delivery,
        instance: str,
    ) -> Parts:
        """Yield the answer of one holder; a missing end becomes an outcome."""
        async for part in self._attempt(statement, target, instance):
            if not isinstance(part, peer_client.PeerError):
                yield part
            elif statement.answered:
                yield callers.CloseConnection(part.message)
            elif part.sent and _has_effect(target.request):
                yield refusals.connection_lost(part.message)
            else:
                yield refusals.no_holder(
                    'holder did not answer: {0}'.format(part.message),
                )

    async def _attempt(
        self,
        statement: Statement,
        target: forwarding.Delivery,
        instance: str,
    ) -> abc.AsyncGenerator[callers.AnswerPart | peer_client.PeerError, None]:
        """Send a statement to one holder and check what may be passed on."""
        sent_at = self._parts.clock.monotonic()
        left_ms = (statement.deadline - sent_at) * _MS_PER_S
        if left_ms <= 0 and not target.request.transaction:
            yield refusals.deadline()
            return
        request = dataclasses.replace(
            target.request,
            slot=target.slot.name,
            budget_ms=max(left_ms, 1),
        )
        async for line in self._parts.forwarder.send(
            instance,
            dataclasses.replace(target, request=request),
            self._parts.settings.statements,
        ):
            if isinstance(line, peer_messages.DoneLine) and line.transaction:
                yield Opened(
                    OpenTransaction(
                        line.transaction,
                        instance,
                        target.slot,
                        statement.route,
                    ),
                )
            if isinstance(line, peer_messages.LAST_LINES):
                yield self._in_time(peer_messages.outcome_of(line), sent_at)
            else:
                # Parts of another answer must not follow these.
                statement.answered |= not isinstance(
                    line, peer_client.PeerError
                )
                yield line

    def _in_time(
        self,
        outcome: outcomes.Outcome,
        sent_at: float,
    ) -> callers.AnswerPart:
        """Withhold an acknowledgement whose time has passed."""
        if not isinstance(outcome, outcomes.Done):
            return outcome
        if outcome.ack_within_ms is None:
            return outcome
        elapsed_ms = (self._parts.clock.monotonic() - sent_at) * _MS_PER_S
        rate_error = self._parts.settings.terms.clock_rate_error
        if elapsed_ms < outcome.ack_within_ms * (1 - rate_error):
            return outcome
        return callers.CloseConnection('acknowledgement came too late')


_ACTIONS = {
    statement_kinds.Kind.commit: 'commit',
    statement_kinds.Kind.rollback: 'rollback',
}


def _has_effect(request: peer_messages.StatementRequest) -> bool:
    # A transaction that was opened without anybody knowing is rolled back.
    return request.write and request.action != 'begin'
