"""Batches of an entry instance that are not confirmed to be stored."""

import collections
import math

from celeryrelay.accounting import batches, sequences

# Time after which an unconfirmed batch is sent to the same relay again. A
# relay writes once per flush interval of 1 s and takes turns between keys.
RESEND_S = 5

# Bound during an outage; the oldest batches are given up first, which shows
# as a gap in the report.
MAX_OUTBOX_BYTES = 4_000_000


class Outbox:
    """Keeps each batch until a relay confirms that it is stored."""

    def __init__(self) -> None:
        """Start without batches."""
        self.dropped = 0
        self._batches: collections.OrderedDict[int, batches.Batch]
        self._batches = collections.OrderedDict()
        self._sizes: dict[int, int] = {}
        self._sent: dict[tuple[str, int], float] = {}

    def add(self, batch: batches.Batch) -> None:
        """Keep `batch`; give up the oldest ones if there are too many."""
        self._batches[batch.sequence] = batch
        self._sizes[batch.sequence] = len(batch.dump())
        while sum(self._sizes.values()) > MAX_OUTBOX_BYTES:
            self._remove(next(iter(self._batches)))
            self.dropped += 1

    def take_due(self, relay: str, now: float) -> tuple[batches.Batch, ...]:
        """Return the batches to send to `relay`, and note them as sent.

        Args:
            relay: Name of the relay instance.
            now: Monotonic time in seconds.
        """
        found = [
            batch
            for sequence, batch in self._batches.items()
            if now - self._sent.get((relay, sequence), -math.inf) >= RESEND_S
        ]
        for batch in found:
            self._sent[relay, batch.sequence] = now
        return tuple(found)

    def confirm(self, stored: sequences.Ranges) -> None:
        """Forget the batches that a relay reports as stored."""
        confirmed = [
            sequence
            for sequence in self._batches
            if sequences.contains(stored, sequence)
        ]
        for sequence in confirmed:
            self._remove(sequence)

    def unconfirmed(self) -> tuple[batches.Batch, ...]:
        """Return the batches that are not confirmed."""
        return tuple(self._batches.values())

    def is_empty(self) -> bool:
        """Return whether every batch is confirmed or given up."""
        return not self._batches

    def _remove(self, sequence: int) -> None:
        self._batches.pop(sequence)
        self._sizes.pop(sequence)
        self._sent = {
            key: sent for key, sent in self._sent.items() if key[1] != sequence
        }
