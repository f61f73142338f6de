"""Batches at a relay that are not yet confirmed to be stored."""

import collections
import enum

from celeryrelay.accounting import batches, merging, sequences

# The platform stores values of up to 1 MB. Values are sealed well below that,
# and a batch has to fit into one value together with the request's frame.
MAX_BATCH_BYTES = 300_000

# Upper bound for what a value holds about a source besides the counts.
SOURCE_BYTES = 300

# Unconfirmed parts kept during an outage of the store. Beyond that the entry
# instances keep their batches.
MAX_PENDING_BYTES = 8_000_000

# Sources whose confirmed sequence numbers are remembered.
MAX_SOURCES = 4096

Place = tuple[int, str]
PartId = tuple[str, int]
Entries = dict[PartId, merging.SourcePart]


class OfferResult(enum.Enum):
    """Answer to an offered batch."""

    accepted = 'accepted'
    already_stored = 'already_stored'
    full = 'full'
    other_deployment = 'other_deployment'
    too_large = 'too_large'


class PendingParts:
    """Parts by the key they belong to."""

    def __init__(self, deployment: str) -> None:
        """Start without parts."""
        self.pending_bytes = 0
        self._deployment = deployment
        self._places: dict[Place, Entries] = {}
        self._open_places: dict[PartId, set[Place]] = {}
        self._sizes: dict[PartId, int] = {}
        self._confirmed: collections.OrderedDict[str, sequences.Ranges]
        self._confirmed = collections.OrderedDict()

    def offer(self, batch: batches.Batch) -> OfferResult:
        """Take over `batch` unless it is stored already."""
        part_id = (batch.source, batch.sequence)
        if batch.deployment != self._deployment:
            return OfferResult.other_deployment
        if sequences.contains(
            self.stored_sequences(batch.source), batch.sequence
        ):
            return OfferResult.already_stored
        if part_id in self._open_places:
            return OfferResult.accepted
        size = len(batch.dump())
        if size > MAX_BATCH_BYTES:
            return OfferResult.too_large
        if self.pending_bytes + size > MAX_PENDING_BYTES:
            return OfferResult.full
        self._take(part_id, batch)
        self._sizes[part_id] = size
        self.pending_bytes += size
        return OfferResult.accepted

    def stored_sequences(self, source: str) -> sequences.Ranges:
        """Return the sequence numbers of `source` that are stored in full."""
        return self._confirmed.get(source, [])

    def next_place(self) -> Place | None:
        """Return the place whose turn it is, None if nothing is pending.

        Places take turns, so that one that can't be written holds up no other.
        """
        if not self._places:
            return None
        place = next(iter(self._places))
        self._places[place] = self._places.pop(place)
        return place

    def at(self, place: Place) -> Entries:
        """Return a copy of the parts that belong to `place`."""
        return dict(self._places[place])

    def most_added(self, part_id: PartId) -> int:
        """Return an upper bound in bytes for what a part adds to a value."""
        return self._sizes[part_id] + SOURCE_BYTES

    def confirm(self, place: Place, part_id: PartId) -> None:
        """Note that a part is stored."""
        entries = self._places[place]
        entries.pop(part_id)
        if not entries:
            self._places.pop(place)
        open_places = self._open_places[part_id]
        open_places.discard(place)
        if not open_places:
            self._confirm_batch(part_id)

    def _take(self, part_id: PartId, batch: batches.Batch) -> None:
        open_places = self._open_places.setdefault(part_id, set())
        for entry in merging.split_batch(batch):
            self._places.setdefault(entry.place, {})[part_id] = entry
            open_places.add(entry.place)

    def _confirm_batch(self, part_id: PartId) -> None:
        self._open_places.pop(part_id)
        self.pending_bytes -= self._sizes.pop(part_id)
        source, sequence = part_id
        sequences.add(self._confirmed.setdefault(source, []), sequence)
        self._confirmed.move_to_end(source)
        while len(self._confirmed) > MAX_SOURCES:
            self._confirmed.popitem(last=False)
