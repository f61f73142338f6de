"""Compare-and-swap of a term record, repeated if its answer is lost."""

import dataclasses

from celeryrelay.terms import failover_messages, term_records

RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The store answered that it carried out the swap."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The store holds another revision than the expected one.

    Attributes:
        record: The record that it holds.
        revision: Revision of that record.
        uncertain: Whether an earlier attempt of this swap, whose answer was
            lost, may have stored that record.
    """

    record: term_records.TermRecord
    revision: int
    uncertain: bool


class RecordSwap:
    """One compare-and-swap, repeated until its outcome is known.

    After a lost answer the record is read; the swap is sent again only if the
    revision is still the expected one.
    """

    def __init__(
        self,
        record: term_records.TermRecord,
        expected_revision: int,
    ) -> None:
        """Prepare a swap of the expected revision for `record`."""
        self.record = record
        self._expected_revision = expected_revision
        self._answer_was_lost = False
        self._is_reading = False
        self._retry_at: float | None = None

    def command(self) -> failover_messages.SwapRecord:
        """Return the command that carries out the swap."""
        return failover_messages.SwapRecord(
            self.record, self._expected_revision
        )

    def handle(
        self,
        event: failover_messages.Event,
        now: float,
    ) -> Stored | Changed | failover_messages.Command | None:
        """Return the outcome, the next command, or None to wait."""
        match event:
            case failover_messages.SwapStored(record, revision):
                return Stored(revision) if record == self.record else None
            case failover_messages.SwapConflict(record, revision):
                return Changed(record, revision, self._answer_was_lost)
            case failover_messages.RecordRead(record, revision):
                return self._on_read(record, revision)
            case failover_messages.StoreAnswerLost():
                return self._on_answer_lost(now)
            case failover_messages.Tick():
                return self._on_tick(now)
        return None

    def _on_read(
        self,
        record: term_records.TermRecord,
        revision: int,
    ) -> Changed | failover_messages.Command:
        self._retry_at = None
        if revision > self._expected_revision:
            return Changed(record, revision, self._answer_was_lost)
        self._is_reading = False
        return self.command()

    def _on_answer_lost(self, now: float) -> failover_messages.Command | None:
        self._answer_was_lost = True
        if self._is_reading:
            self._retry_at = now + RETRY_S
            return None
        self._is_reading = True
        return failover_messages.ReadRecord(self.record.group)

    def _on_tick(self, now: float) -> failover_messages.Command | None:
        if self._retry_at is None or now < self._retry_at:
            return None
        self._retry_at = None
        return failover_messages.ReadRecord(self.record.group)
