"""Batches that a relay has received but not yet stored."""

import collections
import enum

from celeryrelay.accounting import batches, merging, sequences

# The platform stores values of up to 1 MB. Values are sealed well below that,
# and a batch has to fit into one value together with the rest of the request.
MAX_BATCH_BYTES = 300_000

# Upper bound for the size of a source in a value, not including its counts.
SOURCE_BYTES = 300

# Limit for unstored batches, which accumulate during an outage of the store.
# Further batches are refused and stay in the outboxes of the entry instances.
MAX_PENDING_BYTES = 8_000_000

# Largest number of sources whose stored sequence numbers are kept in memory.
MAX_SOURCES = 4096

Bucket = tuple[int, str]
PartId = tuple[str, int]
PartsById = dict[PartId, merging.SourcePart]


class OfferResult(enum.Enum):
    """Whether a relay accepts a batch, and if not, why."""

    accepted = 'accepted'
    already_stored = 'already_stored'
    full = 'full'
    other_deployment = 'other_deployment'
    too_large = 'too_large'


class PendingParts:
    """Unstored parts of batches, grouped by bucket.

    A bucket is the pair of period and availability zone, which determines the
    store key of a part.
    """

    def __init__(self, deployment: str) -> None:
        """Create the empty collection."""
        self.pending_bytes = 0
        self._deployment = deployment
        self._buckets: dict[Bucket, PartsById] = {}
        self._unstored_buckets: dict[PartId, set[Bucket]] = {}
        self._sizes: dict[PartId, int] = {}
        self._stored_sequences: collections.OrderedDict[str, sequences.Ranges]
        self._stored_sequences = collections.OrderedDict()

    def offer(self, batch: batches.Batch) -> OfferResult:
        """Add `batch` unless it is already stored."""
        part_id = (batch.source, batch.sequence)
        if batch.deployment != self._deployment:
            return OfferResult.other_deployment
        if sequences.contains(
            self.stored_sequences(batch.source), batch.sequence
        ):
            return OfferResult.already_stored
        if part_id in self._unstored_buckets:
            return OfferResult.accepted
        size = len(batch.dump())
        if size > MAX_BATCH_BYTES:
            return OfferResult.too_large
        if self.pending_bytes + size > MAX_PENDING_BYTES:
            return OfferResult.full
        self._add_batch(part_id, batch)
        self._sizes[part_id] = size
        self.pending_bytes += size
        return OfferResult.accepted

    def stored_sequences(self, source: str) -> sequences.Ranges:
        """Return the sequence numbers of completely stored batches."""
        return self._stored_sequences.get(source, [])

    def next_bucket(self) -> Bucket | None:
        """Return the next bucket in rotation; None if nothing is pending.

        The rotation prevents a bucket that can't be written from blocking the
        others.
        """
        if not self._buckets:
            return None
        bucket = next(iter(self._buckets))
        self._buckets[bucket] = self._buckets.pop(bucket)
        return bucket

    def parts_in(self, bucket: Bucket) -> PartsById:
        """Return a copy of the parts in `bucket`."""
        return dict(self._buckets[bucket])

    def max_added_bytes(self, part_id: PartId) -> int:
        """Return an upper bound for the bytes that a part adds to a value."""
        return self._sizes[part_id] + SOURCE_BYTES

    def confirm(self, bucket: Bucket, part_id: PartId) -> None:
        """Remove a part that has been stored."""
        entries = self._buckets[bucket]
        entries.pop(part_id)
        if not entries:
            self._buckets.pop(bucket)
        unstored_buckets = self._unstored_buckets[part_id]
        unstored_buckets.discard(bucket)
        if not unstored_buckets:
            self._confirm_batch(part_id)

    def _add_batch(self, part_id: PartId, batch: batches.Batch) -> None:
        unstored_buckets = self._unstored_buckets.setdefault(part_id, set())
        for entry in merging.split_batch(batch):
            self._buckets.setdefault(entry.bucket, {})[part_id] = entry
            unstored_buckets.add(entry.bucket)

    def _confirm_batch(self, part_id: PartId) -> None:
        self._unstored_buckets.pop(part_id)
        self.pending_bytes -= self._sizes.pop(part_id)
        source, sequence = part_id
        sequences.add(self._stored_sequences.setdefault(source, []), sequence)
        self._stored_sequences.move_to_end(source)
        while len(self._stored_sequences) > MAX_SOURCES:
            self._stored_sequences.popitem(last=False)
