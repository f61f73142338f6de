"""Batches of an entry instance that are not yet confirmed as stored."""

import collections
import math

from celeryrelay.accounting import batches, sequences

# Time after which an unconfirmed batch is sent to the same relay again. A
# relay makes one write per flush interval of 1 s, in rotation between keys.
RESEND_S = 5

# Limits memory during an outage. The oldest batches are dropped first; the
# report shows them as missing.
MAX_OUTBOX_BYTES = 4_000_000


class Outbox:
    """Keeps each batch until a relay confirms that it has been stored."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self.dropped = 0
        self._batches: collections.OrderedDict[int, batches.Batch]
        self._batches = collections.OrderedDict()
        self._sizes: dict[int, int] = {}
        self._sent_at: dict[tuple[str, int], float] = {}

    def add(self, batch: batches.Batch) -> None:
        """Add `batch`; drop the oldest batches above the size limit."""
        self._batches[batch.sequence] = batch
        self._sizes[batch.sequence] = len(batch.dump())
        while sum(self._sizes.values()) > MAX_OUTBOX_BYTES:
            self._remove(next(iter(self._batches)))
            self.dropped += 1

    def take_due(self, relay: str, now: float) -> tuple[batches.Batch, ...]:
        """Return the batches to send to `relay` and mark them as sent.

        Args:
            relay: Name of the relay instance.
            now: Monotonic time in seconds.
        """
        found = [
            batch
            for sequence, batch in self._batches.items()
            if now - self._sent_at.get((relay, sequence), -math.inf) >= RESEND_S
        ]
        for batch in found:
            self._sent_at[relay, batch.sequence] = now
        return tuple(found)

    def confirm(self, stored: sequences.Ranges) -> None:
        """Remove the batches that a relay reports as stored."""
        confirmed = [
            sequence
            for sequence in self._batches
            if sequences.contains(stored, sequence)
        ]
        for sequence in confirmed:
            self._remove(sequence)

    def unconfirmed(self) -> tuple[batches.Batch, ...]:
        """Return the batches that are not yet confirmed, oldest first."""
        return tuple(self._batches.values())

    def is_empty(self) -> bool:
        """Return whether every batch has been confirmed or dropped."""
        return not self._batches

    def _remove(self, sequence: int) -> None:
        self._batches.pop(sequence)
        self._sizes.pop(sequence)
        self._sent_at = {
            key: sent_at
            for key, sent_at in self._sent_at.items()
            if key[1] != sequence
        }
