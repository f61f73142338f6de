"""Permission to send and to acknowledge writes of one database group.

`WritePermissions.permission` returns one of three results: `AckWindow`,
`ConfirmationRequired` or `SendRefused`. They are described in
`docs/topics/terms.md`.
"""

import dataclasses
from collections import abc

from celeryrelay.conf import sets, settings
from celeryrelay.core import outcomes
from celeryrelay.terms import term_records

MS_PER_S = 1000

# A confirmation by a slot that has not applied the write is valid for this
# share of the acknowledgement window. A promoter waits for the same share after
# the raise that completed its quorum. The wait doesn't prolong a failover as
# long as the slots answer the raises within the rest of the window.
CONFIRM_WINDOW_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class AckWindow:
    """Writes may be sent, and acknowledged before `until`.

    Attributes:
        term: Term in which writes are sent.
        primary: Name of the primary slot.
        until: Monotonic time in seconds at which the window ends.
    """

    term: int
    primary: str
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationRequired:
    """Writes may be sent; acknowledging them needs confirmations by slots."""

    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendRefused:
    """No write may be sent to the group."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Answer of a slot to a status request that was sent after a commit.

    Attributes:
        slot: Name of the slot.
        term: Term of the slot.
        applied: Offset of the slot's last log entry.
        log_term: Term of the slot's last log entry. If it were not checked, a
            slot whose term was raised, but which doesn't follow the new
            primary yet, would confirm the write with an offset of an older
            term.
        sent_at: Monotonic time in seconds at which the request was sent.
    """

    slot: str
    term: int
    applied: int
    log_term: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AckPermitted:
    """The write may be acknowledged.

    Attributes:
        until: Monotonic time in seconds before which the acknowledgement
            has to be sent to the caller; None if there is no limit, because
            enough slots have the write for it to survive a failover.
    """

    until: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class AckDenied:
    """The write may not be acknowledged.

    More confirmations may change that if the reason is `unconfirmed`.
    """

    reason: outcomes.Reason


def confirm_count(slot_count: int) -> int:
    """Return how many slots have to confirm a write: a majority."""
    return slot_count // 2 + 1


def promote_count(slot_count: int) -> int:
    """Return how many slots a promoter has to raise before a promotion.

    The sum of `confirm_count` and this number exceeds the number of slots, so
    at least one slot that confirmed a write is raised before each promotion.
    """
    return slot_count - confirm_count(slot_count) + 1


def window_s(config: settings.TermSettings) -> float:
    """Return how long a read of an open record permits acknowledgements.

    The window is shortened by the clock rate error, and the wait of a promoter
    (`window_wait_s`) prolonged by it, so that the window of a daemon with a
    slow clock has ended when the wait of one with a fast clock ends.
    """
    return config.ack_window_ms * (1 - config.clock_rate_error) / MS_PER_S


def window_wait_s(config: settings.TermSettings) -> float:
    """Return how long a promoter waits after it has closed the record."""
    return config.ack_window_ms * (1 + config.clock_rate_error) / MS_PER_S


def confirm_window_s(config: settings.TermSettings) -> float:
    """Return how long a confirmation without the write is valid."""
    return window_s(config) * CONFIRM_WINDOW_SHARE


def confirm_wait_s(config: settings.TermSettings) -> float:
    """Return how long a promoter waits after its quorum was raised."""
    return window_wait_s(config) * CONFIRM_WINDOW_SHARE


class WritePermissions:
    """Decides whether writes may be sent to a group and acknowledged."""

    def __init__(
        self,
        config: settings.TermSettings,
        slot_count: int,
    ) -> None:
        """Initialize without a record; no write is permitted before.

        Args:
            config: Timing of terms.
            slot_count: Number of slots of the group.
        """
        self._settings = config
        self._slot_count = slot_count
        self._record: term_records.TermRecord | None = None
        self._read_sent_at: float = 0

    @property
    def record(self) -> term_records.TermRecord | None:
        """Newest record observed; None before the first."""
        return self._record

    def observe(self, record: term_records.TermRecord, sent_at: float) -> None:
        """Process a record that was read from the store.

        Args:
            record: Term record of the group.
            sent_at: Monotonic time in seconds at which the read request was
                sent, or an earlier time.
        """
        known = self._record
        if known is None or term_records.is_newer(record, known):
            self._record = record
            self._read_sent_at = sent_at
        elif not term_records.is_newer(known, record):
            self._read_sent_at = max(self._read_sent_at, sent_at)

    def permission(
        self, now: float
    ) -> AckWindow | ConfirmationRequired | SendRefused:
        """Return whether a write may be sent at monotonic time `now`."""
        record = self._record
        if record is None:
            return SendRefused(outcomes.Reason.term_unknown)
        if record.state is term_records.TermState.closed:
            return SendRefused(outcomes.Reason.term_closed)
        until = self._read_sent_at + window_s(self._settings)
        if now < until:
            return AckWindow(record.term, record.primary, until)
        return ConfirmationRequired(record.term, record.primary)

    def ack_permission(
        self,
        term: int,
        durability: sets.Durability,
        now: float,
        confirmations: abc.Sequence[Confirmation],
        offset: int,
    ) -> AckPermitted | AckDenied:
        """Return whether a committed write may be acknowledged.

        Args:
            term: Term in which the write was committed.
            durability: Durability that the rank or route of the write
                requires.
            now: Monotonic time in seconds.
            confirmations: Answers to status requests that were sent after the
                commit.
            offset: Log offset of the write.
        """
        if (
            self._count_slots_with_write(term, confirmations, offset)
            >= self._required_confirmations
        ):
            return AckPermitted(None)
        if durability is not sets.Durability.local:
            return AckDenied(outcomes.Reason.unconfirmed)
        permission = self.permission(now)
        if isinstance(permission, SendRefused):
            return AckDenied(permission.reason)
        if permission.term != term:
            return AckDenied(outcomes.Reason.term_closed)
        if isinstance(permission, AckWindow):
            return AckPermitted(permission.until)
        return self._check_term_confirmations(
            permission, now, confirmations, offset
        )

    @property
    def _required_confirmations(self) -> int:
        return confirm_count(self._slot_count)

    def _count_slots_with_write(
        self,
        term: int,
        confirmations: abc.Sequence[Confirmation],
        offset: int,
    ) -> int:
        return len(
            {
                answer.slot
                for answer in confirmations
                if answer.term == term and _has_write(answer, term, offset)
            }
        )

    def _check_term_confirmations(
        self,
        permission: ConfirmationRequired,
        now: float,
        confirmations: abc.Sequence[Confirmation],
        offset: int,
    ) -> AckPermitted | AckDenied:
        """Check whether enough slots were in the term of the write.

        Such a confirmation is valid only for a limited time, because the slot
        doesn't need to have applied the write.
        """
        newest_sent_at: dict[str, float] = {}
        for answer in confirmations:
            if answer.term != permission.term:
                continue
            # An answer of the primary without the write was given before the
            # commit, so it doesn't confirm that the primary still accepts
            # writes in this term.
            if answer.slot == permission.primary and not _has_write(
                answer,
                permission.term,
                offset,
            ):
                continue
            newest = max(answer.sent_at, newest_sent_at.get(answer.slot, 0))
            newest_sent_at[answer.slot] = newest
        newest_first = sorted(newest_sent_at.values(), reverse=True)
        if len(newest_first) < self._required_confirmations:
            return AckDenied(outcomes.Reason.unconfirmed)
        oldest_required = newest_first[self._required_confirmations - 1]
        until = oldest_required + confirm_window_s(self._settings)
        if now < until:
            return AckPermitted(until)
        return AckDenied(outcomes.Reason.unconfirmed)


def _has_write(answer: Confirmation, term: int, offset: int) -> bool:
    return answer.log_term == term and answer.applied >= offset
