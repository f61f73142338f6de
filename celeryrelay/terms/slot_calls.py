"""Calls to the slots of a group during one term of a failover."""

from collections import abc

from celeryrelay.conf import settings
from celeryrelay.terms import failover_messages, write_permission

RETRY_S = 0.1

# A slot that answered a raise but not its promotion may have died between the
# two; another term has to be closed before another slot can be promoted.
PROMOTE_ATTEMPTS = 3


class Retries:
    """Slots that are called again after a failed call."""

    def __init__(self, slots: abc.Iterable[str]) -> None:
        """Start with all slots unanswered and none due."""
        self.unanswered = list(slots)
        self._retry_at: dict[str, float] = {}

    def answered(self, slot: str) -> None:
        """Record that the slot answered."""
        self._retry_at.pop(slot, None)
        if slot in self.unanswered:
            self.unanswered.remove(slot)

    def failed(self, slot: str, now: float) -> None:
        """Record that the slot gave no answer."""
        if slot in self.unanswered:
            self._retry_at[slot] = now + RETRY_S

    def due(self, now: float) -> list[str]:
        """Return the slots to call again."""
        due = [slot for slot, at in self._retry_at.items() if at <= now]
        for slot in due:
            self._retry_at.pop(slot)
        return due


class RaiseRound:
    """Raises of all slots to one term, and the wait after closing."""

    def __init__(
        self,
        term: int,
        old_primary: str,
        slots: abc.Sequence[str],
        closed_at: float,
    ) -> None:
        """Start with no slot raised.

        Args:
            term: The closed term.
            old_primary: Primary of the last open term.
            slots: Names of all slots of the group.
            closed_at: Monotonic time in seconds of the answer to the closing
                swap.
        """
        self.term = term
        self.quorum_at: float | None = None
        self._old_primary = old_primary
        self._closed_at = closed_at
        self._quorum = write_permission.promote_count(len(slots))
        self._raised: dict[str, failover_messages.RaiseTermAnswered] = {}
        self._retries = Retries(slots)

    def first_commands(self) -> list[failover_messages.Command]:
        """Return the raises of all slots."""
        return [
            failover_messages.RaiseTerm(slot, self.term)
            for slot in self._retries.unanswered
        ]

    def handle(
        self,
        event: failover_messages.Event,
        now: float,
    ) -> list[failover_messages.Command]:
        """Take in an answer or a tick and return raises to repeat."""
        match event:
            case failover_messages.RaiseTermAnswered(slot, self.term):
                self._retries.answered(slot)
                self._raised[slot] = event
                self._mark_quorum(now)
            case failover_messages.RaiseTermFailed(slot, self.term):
                self._retries.failed(slot, now)
        return [
            failover_messages.RaiseTerm(slot, self.term)
            for slot in self._retries.due(now)
        ]

    def is_complete(self, config: settings.TermSettings, now: float) -> bool:
        """Return whether a slot may be promoted.

        The waits end early when the old primary itself was raised: it refuses
        writes from then on, and all it has committed is in the log of the
        slot that gets promoted.
        """
        if self.quorum_at is None:
            return False
        if self._old_primary in self._raised:
            return True
        # Window acknowledgements rest on readings sent before the answer to
        # the closing swap, slot confirmations on requests that reached one of
        # the necessary slots before its raise.
        return now >= self._closed_at + write_permission.window_wait_s(
            config
        ) and now >= self.quorum_at + write_permission.confirm_wait_s(config)

    def most_advanced(self, leaving: abc.Container[str]) -> str:
        """Return the raised slot with the highest log position.

        Among equals a slot that stays is taken, and then one other than the
        old primary, because that one failed its probes.
        """
        best = max(
            self._raised.values(),
            key=lambda answer: (
                answer.log_term,
                answer.applied,
                answer.slot not in leaving,
                answer.slot != self._old_primary,
            ),
        )
        return best.slot

    def log_term(self, slot: str) -> int:
        """Return the term of the last log entry of a raised slot."""
        return self._raised[slot].log_term

    def lost_positions(self, promoted: str) -> int | None:
        """Return how many positions of the old primary are lost.

        None if the old primary was not raised: what it has committed since
        the last position that it passed on is not known.
        """
        old = self._raised.get(self._old_primary)
        best = self._raised[promoted]
        if old is None or best.log_term != old.log_term:
            return None
        return max(old.applied - best.applied, 0)

    def _mark_quorum(self, now: float) -> None:
        if self.quorum_at is None and len(self._raised) >= self._quorum:
            self.quorum_at = now


class Promotion:
    """Promotion of one slot."""

    def __init__(self, slot: str, term: int) -> None:
        """Start with no failed attempt."""
        self.slot = slot
        self._term = term
        self._failures = 0
        self._retries = Retries((slot,))

    @property
    def is_exhausted(self) -> bool:
        """Return whether the slot has failed too often."""
        return self._failures >= PROMOTE_ATTEMPTS

    def command(self) -> failover_messages.PromoteSlot:
        """Return the command that promotes the slot."""
        return failover_messages.PromoteSlot(self.slot, self._term)

    def handle(
        self,
        event: failover_messages.Event,
        now: float,
    ) -> list[failover_messages.Command]:
        """Take in a failure or a tick and return the promotion to repeat."""
        if event == failover_messages.PromoteFailed(self.slot, self._term):
            self._failures += 1
            self._retries.failed(self.slot, now)
        return [self.command() for _ in self._retries.due(now)]


class FollowRound:
    """Requests to all other slots to follow the new primary."""

    def __init__(
        self,
        term: int,
        primary: str,
        slots: abc.Iterable[str],
    ) -> None:
        """Start with no slot following."""
        self._term = term
        self._primary = primary
        self._retries = Retries(slot for slot in slots if slot != primary)

    @property
    def not_following(self) -> tuple[str, ...]:
        """Return the slots that haven't answered that they follow."""
        return tuple(self._retries.unanswered)

    def first_commands(self) -> list[failover_messages.Command]:
        """Return the requests to all other slots."""
        return [self._command(slot) for slot in self._retries.unanswered]

    def handle(
        self,
        event: failover_messages.Event,
        now: float,
    ) -> list[failover_messages.Command]:
        """Take in an answer or a tick and return requests to repeat."""
        match event:
            case failover_messages.FollowAnswered(slot, self._term):
                self._retries.answered(slot)
            case failover_messages.FollowFailed(slot, self._term):
                self._retries.failed(slot, now)
        return [self._command(slot) for slot in self._retries.due(now)]

    def _command(self, slot: str) -> failover_messages.Command:
        return failover_messages.FollowPrimary(slot, self._term, self._primary)
