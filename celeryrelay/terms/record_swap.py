"""Compare-and-swap of a term record whose answer may be lost."""

import dataclasses

from celeryrelay.terms import failover_messages, records

RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """This swap is known to have taken effect."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The store holds another revision than the expected one.

    Attributes:
        record: What it holds.
        revision: The revision.
        uncertain: Whether an earlier attempt of this swap, whose answer was
            lost, may have written it.
    """

    record: records.TermRecord
    revision: int
    uncertain: bool


class RecordSwap:
    """One swap, repeated until its outcome is known."""

    def __init__(
        self,
        record: records.TermRecord,
        expected_revision: int,
    ) -> None:
        """Prepare a swap to `record`."""
        self.record = record
        self._expected = expected_revision
        self._uncertain = False
        self._reading = False
        self._retry_at: float | None = None

    def command(self) -> failover_messages.SwapRecord:
        """Return the command that carries out the swap."""
        return failover_messages.SwapRecord(self.record, self._expected)

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
                return Changed(record, revision, self._uncertain)
            case failover_messages.RecordRead(record, revision):
                return self._on_read(record, revision)
            case failover_messages.StoreAnswerLost():
                return self._on_lost(now)
            case failover_messages.Tick():
                return self._on_tick(now)
        return None

    def _on_read(
        self,
        record: records.TermRecord,
        revision: int,
    ) -> Changed | failover_messages.Command:
        self._retry_at = None
        if revision > self._expected:
            return Changed(record, revision, self._uncertain)
        self._reading = False
        return self.command()

    def _on_lost(self, now: float) -> failover_messages.Command | None:
        self._uncertain = True
        if self._reading:
            self._retry_at = now + RETRY_S
            return None
        self._reading = True
        return failover_messages.ReadRecord(self.record.group)

    def _on_tick(self, now: float) -> failover_messages.Command | None:
        if self._retry_at is None or now < self._retry_at:
            return None
        self._retry_at = None
        return failover_messages.ReadRecord(self.record.group)
