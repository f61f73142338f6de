"""Permission to send and to acknowledge writes of one database group.

The three kinds of permission are described in `docs/topics/terms.md`.
"""

import dataclasses
from collections import abc

from celeryrelay.conf import sets, settings
from celeryrelay.core import outcomes
from celeryrelay.terms import records

MS_PER_S = 1000

# A confirmation without the write's position is valid for this share of the
# acknowledgement window. A promoter waits as long after its last necessary
# raise, which costs it nothing while raises are answered within the rest of
# the window.
CONFIRM_WINDOW_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class AckWindow:
    """Writes may be sent, and acknowledged before `until` (monotonic s)."""

    term: int
    primary: str
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationRequired:
    """Writes may be sent; their acknowledgement needs confirmations."""

    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendRefused:
    """No write may be sent."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Status answer of a slot to a request sent after the commit.

    Attributes:
        slot: Name of the slot.
        term: Term of the slot.
        applied: Offset of its last log entry.
        log_term: Term of its last log entry. Without it a slot that was
            raised but doesn't follow the new primary yet would confirm with
            an offset of an older term.
        sent_at: Monotonic time of the request in seconds.
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
        until: Monotonic time in seconds before which the caller has to be
            told; None if the acknowledgement stays true.
    """

    until: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class AckDenied:
    """The write may not be acknowledged yet."""

    reason: outcomes.Reason


def confirm_count(slot_count: int) -> int:
    """Return how many slots have to confirm a write."""
    return slot_count // 2 + 1


def promote_count(slot_count: int) -> int:
    """Return how many slots a promoter has to raise.

    Together with `confirm_count` it exceeds the number of slots, so each
    promotion raises a slot that confirmed the write.
    """
    return slot_count - confirm_count(slot_count) + 1


def window_s(config: settings.TermSettings) -> float:
    """Return how long a store reading permits acknowledgements."""
    return config.ack_window_ms * (1 - config.clock_rate_error) / MS_PER_S


def window_wait_s(config: settings.TermSettings) -> float:
    """Return how long a promoter waits after closing the record."""
    return config.ack_window_ms * (1 + config.clock_rate_error) / MS_PER_S


def confirm_window_s(config: settings.TermSettings) -> float:
    """Return how long a confirmation without a position is valid."""
    return window_s(config) * CONFIRM_WINDOW_SHARE


def confirm_wait_s(config: settings.TermSettings) -> float:
    """Return how long a promoter waits after its last necessary raise."""
    return window_wait_s(config) * CONFIRM_WINDOW_SHARE


class WritePermissions:
    """Decides whether writes to one database group may be acknowledged."""

    def __init__(
        self,
        config: settings.TermSettings,
        slot_count: int,
    ) -> None:
        """Start without any record."""
        self._settings = config
        self._slot_count = slot_count
        self._record: records.TermRecord | None = None
        self._sent_at: float = 0

    @property
    def record(self) -> records.TermRecord | None:
        """Return the newest record observed."""
        return self._record

    def observe(self, record: records.TermRecord, sent_at: float) -> None:
        """Take in a record that was read from the store.

        Args:
            record: The record.
            sent_at: Monotonic time in seconds at which the read was sent, or
                earlier.
        """
        known = self._record
        if known is None or records.is_newer(record, known):
            self._record = record
            self._sent_at = sent_at
        elif not records.is_newer(known, record):
            self._sent_at = max(self._sent_at, sent_at)

    def permission(
        self, now: float
    ) -> AckWindow | ConfirmationRequired | SendRefused:
        """Return whether a write may be sent at monotonic time `now`."""
        record = self._record
        if record is None:
            return SendRefused(outcomes.Reason.term_unknown)
        if record.state is records.TermState.closed:
            return SendRefused(outcomes.Reason.term_closed)
        until = self._sent_at + window_s(self._settings)
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
            term: Term of the write.
            durability: What the write's rank or route requires.
            now: Monotonic time in seconds.
            confirmations: Answers to requests sent after the commit.
            offset: Log offset of the write.
        """
        if self._holders(term, confirmations, offset) >= self._required:
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
        return self._by_slots(permission, now, confirmations, offset)

    @property
    def _required(self) -> int:
        return confirm_count(self._slot_count)

    def _holders(
        self,
        term: int,
        confirmations: abc.Sequence[Confirmation],
        offset: int,
    ) -> int:
        return len(
            {
                answer.slot
                for answer in confirmations
                if answer.term == term and _holds(answer, term, offset)
            }
        )

    def _by_slots(
        self,
        permission: ConfirmationRequired,
        now: float,
        confirmations: abc.Sequence[Confirmation],
        offset: int,
    ) -> AckPermitted | AckDenied:
        sent_at: dict[str, float] = {}
        for answer in confirmations:
            if answer.term != permission.term:
                continue
            # An answer of the primary without the write precedes the commit.
            if answer.slot == permission.primary and not _holds(
                answer,
                permission.term,
                offset,
            ):
                continue
            newest = max(answer.sent_at, sent_at.get(answer.slot, 0))
            sent_at[answer.slot] = newest
        newest_first = sorted(sent_at.values(), reverse=True)
        if len(newest_first) < self._required:
            return AckDenied(outcomes.Reason.unconfirmed)
        oldest_needed = newest_first[self._required - 1]
        until = oldest_needed + confirm_window_s(self._settings)
        if now < until:
            return AckPermitted(until)
        return AckDenied(outcomes.Reason.unconfirmed)


def _holds(answer: Confirmation, term: int, offset: int) -> bool:
    return answer.log_term == term and answer.applied >= offset
