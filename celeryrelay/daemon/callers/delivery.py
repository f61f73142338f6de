"""Delivery of statements to a slot that can serve them, with retries."""

import dataclasses
from collections import abc

from celeryrelay.adapters import caller_connection, peer_client
from celeryrelay.admission import retry_budget
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, outcomes, peer_messages
from celeryrelay.daemon.callers import caller_statement, forwarding, refusals
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.routing import statement_kinds

# A held statement is sent again after each change of the fleet state, and at
# least this often, because a holder may accept it without such a change.
HOLD_CHECK_S = 0.25
_MS_PER_S = 1000

AnswerParts = abc.AsyncGenerator[caller_connection.AnswerPart, None]

FINAL_OUTCOMES = (
    outcomes.Done,
    outcomes.Failed,
    outcomes.NotRun,
    outcomes.OutcomeUnknown,
)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenTransaction:
    """A transaction that is open at a holder."""

    name: str
    instance: str
    slot: sets.Slot
    route: sets.Route


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionOpened:
    """Part of an answer: a holder has opened a transaction."""

    transaction: OpenTransaction


RenewRequest = abc.Callable[
    [peer_messages.StatementRequest],
    peer_messages.StatementRequest | outcomes.NotRun,
]


@dataclasses.dataclass(slots=True)
class DeliveryServices:
    """Dependencies of the delivery of statements."""

    fleet: fleet_state.FleetState
    forwarder: forwarding.Forwarder
    retries: retry_budget.RetryBudget
    settings: settings.Settings
    clock: clock.Clock


class Deliverer:
    """Sends statements to a slot's holders and holds them during a failover.

    A statement is resent only after a refusal that guarantees it was not run.
    """

    def __init__(self, services: DeliveryServices, preference: int) -> None:
        """Create the deliverer of one caller connection.

        Args:
            services: Dependencies of the delivery.
            preference: Number spreading connections over replicas and holders.
        """
        self._services = services
        self._preference = preference

    def choose_replica(self, group: sets.DatabaseGroup) -> sets.Slot | None:
        """Return a replica in this availability zone, else one in another.

        Returns None without replicas, and when the retry budget is spent:
        replicas then refuse so many reads that the primary is used directly.
        """
        self._services.retries.on_request()
        primary = self._services.fleet.primary(group.name)
        candidates = [
            slot
            for slot in group.slots
            if slot.name != primary
            and slot.address
            not in self._services.fleet.leaving_server_addresses
        ]
        zone = self._services.fleet.identity.availability_zone
        near = [slot for slot in candidates if slot.availability_zone == zone]
        candidates = near or candidates
        if not candidates or not self._services.retries.available:
            return None
        return candidates[self._preference % len(candidates)]

    async def run_read(
        self,
        statement: caller_statement.Statement,
        request: peer_messages.StatementRequest,
        renew: RenewRequest,
    ) -> AnswerParts:
        """Run a read on a replica, or on the primary if that refuses it.

        Args:
            statement: The read.
            request: Its request, with the current read bound.
            renew: Returns the request with the read bound of the current term.
                A new primary refuses that of the old term until the deadline.
        """
        replica = self.choose_replica(statement.group)
        if replica is not None:
            refusal = None
            async for part in self.run_on_slot(statement, request, replica):
                if isinstance(part, outcomes.NotRun):
                    refusal = part
                else:
                    yield part
            if refusal is None:
                return
            self._services.retries.take()
            if refusal.reason not in refusals.RETRYABLE:
                yield refusal
                return
        async for part in self.run_on_primary(statement, request, renew):
            yield part

    async def run_on_primary(
        self,
        statement: caller_statement.Statement,
        request: peer_messages.StatementRequest,
        renew: RenewRequest | None = None,
    ) -> AnswerParts:
        """Run a statement on the primary, and hold it during a failover."""
        while True:
            refusal = None
            async for part in self._run_on_known_primary(statement, request):
                if isinstance(part, outcomes.NotRun):
                    refusal = part
                else:
                    yield part
            if refusal is None:
                return
            retryable = refusal.reason in refusals.RETRYABLE
            if not retryable or not await self.wait_for_change(statement):
                yield refusal
                return
            renewed = renew(request) if renew else request
            if isinstance(renewed, outcomes.NotRun):
                yield renewed
                return
            request = renewed

    async def _run_on_known_primary(
        self,
        statement: caller_statement.Statement,
        request: peer_messages.StatementRequest,
    ) -> AnswerParts:
        name = self._services.fleet.primary(statement.group.name)
        slot = statement.group.slot(name) if name else None
        if slot is None:
            yield refusals.unknown_primary()
        else:
            async for part in self.run_on_slot(statement, request, slot):
                yield part

    async def run_on_slot(
        self,
        statement: caller_statement.Statement,
        request: peer_messages.StatementRequest,
        slot: sets.Slot,
    ) -> AnswerParts:
        """Try the holders of a slot; yield the last refusal if all refuse."""
        refusal = refusals.no_holder('no instance holds the slot')
        target = forwarding.SlotRequest(slot, request, self._preference)
        for instance in self._services.forwarder.instances(target):
            refused = None
            async for part in self._run_on_holder(statement, target, instance):
                if isinstance(part, outcomes.NotRun):
                    refused = part
                else:
                    yield part
            if refused is None:
                return
            refusal = refused
            if refusal.reason not in refusals.RETRYABLE:
                break
        yield refusal

    async def run_in_transaction(
        self,
        statement: caller_statement.Statement,
        transaction: OpenTransaction,
    ) -> AnswerParts:
        """Run a statement in its open transaction."""
        request = dataclasses.replace(
            statement.message(),
            transaction=transaction.name,
            action=_ACTIONS.get(statement.kind, 'run'),
        )
        target = forwarding.SlotRequest(transaction.slot, request)
        commits = statement.kind is statement_kinds.Kind.commit
        async for part in self._send(statement, target, transaction.instance):
            match part:
                case peer_client.PeerFailure() if statement.answered:
                    yield caller_connection.CloseConnection(part.message)
                case peer_client.PeerFailure() if part.sent and commits:
                    yield refusals.connection_lost(part.message)
                case peer_client.PeerFailure():
                    # COMMIT was not sent, so the transaction is rolled back.
                    yield refusals.rolled_back(part.message)
                case outcomes.NotRun():
                    # The holder doesn't know the transaction any more.
                    yield refusals.rolled_back(part.message)
                case _:
                    yield part

    async def roll_back(
        self, transaction: OpenTransaction, request: str
    ) -> None:
        """Roll back a transaction whose caller has disconnected."""
        message = peer_messages.StatementRequest(
            request=request,
            group=transaction.route.group,
            slot=transaction.slot.name,
            sql='',
            rank=transaction.route.rank,
            budget_ms=self._services.settings.statements.progress_timeout_ms,
            transaction=transaction.name,
            action='rollback',
        )
        await forwarding.last_part(
            self._services.forwarder.send(
                transaction.instance,
                forwarding.SlotRequest(transaction.slot, message),
                self._services.settings.statements,
            )
        )

    async def wait_for_change(
        self, statement: caller_statement.Statement
    ) -> bool:
        """Wait for a change of the fleet state.

        Returns False once the failover hold time or the deadline has passed.
        """
        before = self._services.clock.monotonic()
        hold_s = self._services.settings.statements.failover_hold_ms / _MS_PER_S
        until = min(statement.deadline, statement.started_at + hold_s)
        left_s = until - before
        if left_s <= 0:
            return False
        await self._services.fleet.wait_for_change(min(left_s, HOLD_CHECK_S))
        waited_s = self._services.clock.monotonic() - before
        statement.held_ms += waited_s * _MS_PER_S
        return True

    async def _run_on_holder(
        self,
        statement: caller_statement.Statement,
        target: forwarding.SlotRequest,
        instance: str,
    ) -> AnswerParts:
        """Yield the answer of one holder, with an outcome for a lost answer."""
        async for part in self._send(statement, target, instance):
            if not isinstance(part, peer_client.PeerFailure):
                yield part
            elif statement.answered:
                yield caller_connection.CloseConnection(part.message)
            elif part.sent and _may_have_effect(target.request):
                yield refusals.connection_lost(part.message)
            else:
                yield refusals.no_holder(
                    'holder did not answer: {0}'.format(part.message)
                )

    async def _send(
        self,
        statement: caller_statement.Statement,
        target: forwarding.SlotRequest,
        instance: str,
    ) -> abc.AsyncGenerator[
        caller_connection.AnswerPart | peer_client.PeerFailure, None
    ]:
        """Send a statement to one holder; yield the parts safe to pass on."""
        sent_at = self._services.clock.monotonic()
        left_ms = (statement.deadline - sent_at) * _MS_PER_S
        if left_ms <= 0 and not target.request.transaction:
            yield refusals.deadline()
            return
        request = dataclasses.replace(
            target.request, slot=target.slot.name, budget_ms=max(left_ms, 1)
        )
        async for line in self._services.forwarder.send(
            instance,
            dataclasses.replace(target, request=request),
            self._services.settings.statements,
        ):
            if isinstance(line, peer_messages.DoneLine) and line.transaction:
                yield TransactionOpened(
                    OpenTransaction(
                        line.transaction, instance, target.slot, statement.route
                    )
                )
            if isinstance(line, peer_messages.LAST_LINES):
                yield self._withhold_late_ack(
                    peer_messages.outcome_of(line), sent_at
                )
            else:
                # Another holder's answer must not be appended to this one.
                statement.answered |= not isinstance(
                    line, peer_client.PeerFailure
                )
                yield line

    def _withhold_late_ack(
        self, outcome: outcomes.Outcome, sent_at: float
    ) -> caller_connection.AnswerPart:
        """Return the outcome, or close the connection if it came too late.

        The limit is shortened by the largest difference in clock rate.
        """
        if not isinstance(outcome, outcomes.Done):
            return outcome
        if outcome.ack_within_ms is None:
            return outcome
        elapsed_ms = (self._services.clock.monotonic() - sent_at) * _MS_PER_S
        rate_error = self._services.settings.terms.clock_rate_error
        if elapsed_ms < outcome.ack_within_ms * (1 - rate_error):
            return outcome
        return caller_connection.CloseConnection('acknowledgement expired')


_ACTIONS = {
    statement_kinds.Kind.commit: 'commit',
    statement_kinds.Kind.rollback: 'rollback',
}


def _may_have_effect(request: peer_messages.StatementRequest) -> bool:
    # A transaction whose BEGIN got no answer is rolled back by its holder.
    return request.write and request.action != 'begin'
