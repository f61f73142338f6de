"""Decision whether a committed write may be acknowledged to its caller."""

import asyncio
import dataclasses
import typing
from collections import abc

from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, outcomes, positions
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.holding import confirmation
from celeryrelay.terms import write_permission

RETRY_AFTER_MS = 100
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """A write that the primary has committed.

    Attributes:
        slot: Name of the slot that committed the write.
        term: Term in which it was committed.
        offset: Replication log offset of the write.
        durability: Durability that the request asked for.
        received_at: Monotonic time in seconds at which the holder received
            the request.
        sent_at: Monotonic time in seconds before the statement was sent.
        budget_ms: Time left until the request's deadline at `received_at`.
    """

    slot: str
    term: int
    offset: int
    durability: sets.Durability
    received_at: float
    sent_at: float
    budget_ms: float


class Acknowledger:
    """Decides for one slot which writes may be sent and acknowledged.

    Attributes:
        confirmers: Confirmers of the other slots of the group.
    """

    def __init__(
        self,
        group: sets.DatabaseGroup,
        fleet: fleet_state.FleetState,
        options: settings.TermSettings,
        ticker: clock.Clock,
    ) -> None:
        """Create an acknowledger without confirmers for a slot of `group`."""
        self.confirmers: tuple[confirmation.SlotConfirmer, ...] = ()
        self._group = group
        self._fleet = fleet
        self._clock = ticker
        self._permissions = write_permission.WritePermissions(
            options, len(group.slots)
        )

    def permission(
        self,
    ) -> (
        write_permission.AckWindow
        | write_permission.ConfirmationRequired
        | write_permission.SendRefused
    ):
        """Return whether and under which conditions a write may be sent."""
        self._update_permissions()
        return self._permissions.permission(self._clock.monotonic())

    def refusal(
        self,
        slot: str,
        durability: sets.Durability,
    ) -> outcomes.NotRun | None:
        """Return why a write can't be sent to `slot`, or None if it can."""
        permission = self.permission()
        if isinstance(permission, write_permission.SendRefused):
            return no_primary(permission.reason)
        if permission.primary != slot:
            return no_primary(outcomes.Reason.no_primary)
        strict = durability is sets.Durability.replicated
        needs_slots = strict or isinstance(
            permission, write_permission.ConfirmationRequired
        )
        if needs_slots and not self._has_confirmer():
            return no_primary(outcomes.Reason.unconfirmed)
        return None

    async def acknowledge(
        self,
        commit: Commit,
        done: outcomes.Done,
    ) -> outcomes.Outcome:
        """Return `done` with its position if the write may be acknowledged.

        Otherwise the outcome is unknown to the caller: the write is committed
        on this slot, but a failover may discard it.
        """
        durability = self._effective_durability(commit.durability)
        own = write_permission.Confirmation(
            slot=commit.slot,
            term=commit.term,
            applied=commit.offset,
            log_term=commit.term,
            sent_at=commit.sent_at,
        )
        verdict = self._ack_permission(commit, durability, [own])
        if isinstance(verdict, write_permission.AckDenied):
            verdict = await self._wait_for_confirmations(
                commit, durability, own
            )
        return self._outcome(commit, verdict, done)

    def _effective_durability(
        self, durability: sets.Durability
    ) -> sets.Durability:
        if durability is not sets.Durability.preferred:
            return durability
        if self._has_confirmer():
            return sets.Durability.replicated
        return sets.Durability.local

    def _has_confirmer(self) -> bool:
        return any(confirmer.healthy for confirmer in self.confirmers)

    def _update_permissions(self) -> None:
        record = self._fleet.record(self._group.name)
        reading = self._fleet.store_reading
        if record is not None and reading is not None:
            self._permissions.observe(record, reading.sent_at)

    def _ack_permission(
        self,
        commit: Commit,
        durability: sets.Durability,
        confirmations: abc.Sequence[write_permission.Confirmation],
    ) -> write_permission.AckPermitted | write_permission.AckDenied:
        self._update_permissions()
        return self._permissions.ack_permission(
            commit.term,
            durability,
            self._clock.monotonic(),
            confirmations,
            commit.offset,
        )

    async def _wait_for_confirmations(
        self,
        commit: Commit,
        durability: sets.Durability,
        own: write_permission.Confirmation,
    ) -> write_permission.AckPermitted | write_permission.AckDenied:
        replicated = durability is not sets.Durability.local
        offset = commit.offset if replicated else 0
        waiting: set[asyncio.Future[write_permission.Confirmation]] = {
            confirmer.request(commit.term, offset)
            for confirmer in self.confirmers
        }
        answers = [own]
        deadline = commit.received_at + commit.budget_ms / _MS_PER_S
        try:
            while waiting:
                left_s = max(deadline - self._clock.monotonic(), 0)
                finished, waiting = await asyncio.wait(
                    waiting,
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not finished:
                    break
                answers.extend(future.result() for future in finished)
                verdict = self._ack_permission(commit, durability, answers)
                if isinstance(verdict, write_permission.AckPermitted):
                    return verdict
        finally:
            for future in waiting:
                future.cancel()
        return self._ack_permission(commit, durability, answers)

    def _outcome(
        self,
        commit: Commit,
        verdict: write_permission.AckPermitted | write_permission.AckDenied,
        done: outcomes.Done,
    ) -> outcomes.Outcome:
        match verdict:
            case write_permission.AckPermitted(until=None):
                return dataclasses.replace(
                    done,
                    position=self._position(commit),
                )
            case write_permission.AckPermitted(until=until):
                within_s = typing.cast(float, until) - commit.received_at
                return dataclasses.replace(
                    done,
                    position=self._position(commit),
                    ack_within_ms=within_s * _MS_PER_S,
                )
            case write_permission.AckDenied(reason=reason):
                return outcomes.OutcomeUnknown(
                    reason,
                    'the write was committed and could not be confirmed',
                )

    def _position(self, commit: Commit) -> positions.Position:
        return positions.Position(
            self._group.name,
            commit.term,
            commit.offset,
        )


def no_primary(reason: outcomes.Reason) -> outcomes.NotRun:
    """Return the refusal of a statement that needs a writable primary."""
    return outcomes.NotRun(
        reason=reason,
        message='the primary cannot accept the statement: {0}'.format(reason),
        retry_after_ms=RETRY_AFTER_MS,
    )
