"""Flushing of a relay's batches to the store.

Both relays of an availability zone receive each batch. A relay reads a value
before it writes it: what its partner has stored is confirmed without a write.
With one write per flush interval, 10 zones with 2 relays cause at most 20
writes/s at the default interval of 1 s.
"""

import dataclasses

from celeryrelay.accounting import batches, merging, pending_parts, sequences

# Size at which a value is sealed and the next number is begun. Together with
# the largest batch it stays below the platform's limit of 1 MB.
SEAL_BYTES = 600_000

# Size of the batches merged in one flush, which holds up the event loop: 4
# batches with 2250 pairs of group and rank each took 22 ms in the median.
MERGE_BYTES = 250_000


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Command to read `key` and report it to `AccountWriter.on_read`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Command to write `value` if `key` is still at revision `expected`."""

    key: str
    value: merging.Value
    expected: int


Command = Read | Write


@dataclasses.dataclass(slots=True)
class _Flush:
    """The key in work.

    Attributes:
        place: Period and availability zone.
        entries: Parts that were pending when the flush began. Later ones wait
            for the next flush: they were not compared with the sealed values
            that this flush has passed.
        number: Place in the chain of values.
        written: The value of the write in progress.
    """

    place: pending_parts.Place
    entries: pending_parts.Entries
    number: int = 0
    written: merging.Value | None = None

    @property
    def key(self) -> str:
        """Return the key of the value in work."""
        return merging.store_key(*self.place, self.number)


class AccountWriter:
    """Unconfirmed batches of a relay, and what is confirmed to be stored.

    One key is in work at a time: from `begin_flush` until `on_read` or `on_written`
    returns None or `on_failure` is called.
    """

    def __init__(self, deployment: str) -> None:
        """Start without batches."""
        self._deployment = deployment
        self._pending = pending_parts.PendingParts(deployment)
        self._flush: _Flush | None = None

    @property
    def pending_bytes(self) -> int:
        """Return the size of all batches that are not confirmed."""
        return self._pending.pending_bytes

    def offer(self, batch: batches.Batch) -> pending_parts.OfferResult:
        """Take over `batch` unless it is stored already."""
        return self._pending.offer(batch)

    def stored_sequences(self, source: str) -> sequences.Ranges:
        """Return the sequence numbers of `source` that are stored in full."""
        return self._pending.stored_sequences(source)

    def begin_flush(self) -> Read | None:
        """Return the first command of a flush, None if nothing is pending.

        Every flush starts with number 0 of the chain: a part that the other
        relay has stored there must not be stored again in a later number.
        """
        self._flush = None
        place = self._pending.next_place()
        if place is None:
            return None
        self._flush = _Flush(place, self._pending.at(place))
        return Read(self._flush.key)

    def on_read(self, raw: object, revision: int) -> Command | None:
        """Handle the value found by a read or by a conflicting write.

        Args:
            raw: The value of the key; None if it is absent.
            revision: Revision of the value, 0 if it is absent.
        """
        flush = self._flush
        if flush is None:
            return None
        if raw is None:
            return self._write(flush, None, 0)
        if merging.is_newer(raw):
            # It may hold these parts; a relay of the later version writes them.
            self._flush = None
            return None
        stored = self._check(flush, raw)
        if stored is None:
            return self._next_number(flush)
        self._confirm(flush, stored)
        if not flush.entries:
            self._flush = None
            return None
        if stored['sealed']:
            return self._next_number(flush)
        return self._write(flush, stored, revision)

    def on_written(self) -> None:
        """Handle the store's confirmation of the write.

        What didn't fit into a sealed value waits for the next flush.
        """
        flush = self._flush
        self._flush = None
        if flush is not None and flush.written is not None:
            self._confirm(flush, flush.written)

    def on_failure(self) -> None:
        """Handle a lost answer or an outage.

        Whether the write took effect shows when the key is read again.
        """
        self._flush = None

    def _next_number(self, flush: _Flush) -> Read:
        # A sealed value doesn't change any more, so a part that it doesn't
        # hold can't be merged into it later by the other relay.
        flush.number += 1
        return Read(flush.key)

    def _write(
        self,
        flush: _Flush,
        stored: merging.Value | None,
        revision: int,
    ) -> Write:
        fitting = self._fitting(flush, stored)
        flush.written = merging.merge(stored, fitting, flush.number)
        size = len(merging.dump(flush.written))
        if size + self._next_size(flush, len(fitting)) > SEAL_BYTES:
            flush.written['sealed'] = True
        return Write(flush.key, flush.written, revision)

    def _fitting(
        self,
        flush: _Flush,
        stored: merging.Value | None,
    ) -> list[merging.SourcePart]:
        """Return the parts to add in this flush.

        An empty value takes at least one part, whatever its size, and so does
        a flush unless the value has to be sealed.
        """
        size = 0 if stored is None else len(merging.dump(stored))
        merge_limit = size + MERGE_BYTES
        fitting: list[merging.SourcePart] = []
        for part_id, entry in flush.entries.items():
            size += self._pending.most_added(part_id)
            is_empty = stored is None and not fitting
            if size > SEAL_BYTES and not is_empty:
                break
            if size > merge_limit and fitting:
                break
            fitting.append(entry)
        return fitting

    def _next_size(self, flush: _Flush, taken: int) -> int:
        """Return what the first part adds that this flush doesn't take."""
        left = list(flush.entries)[taken:]
        return self._pending.most_added(left[0]) if left else 0

    def _check(self, flush: _Flush, raw: object) -> merging.Value | None:
        stored = merging.parse_value(raw).ok()
        if stored is None or stored['deployment'] != self._deployment:
            return None
        is_placed = (stored['period'], stored['zone']) == flush.place
        return stored if is_placed else None

    def _confirm(self, flush: _Flush, stored: merging.Value) -> None:
        found = [
            part_id
            for part_id, entry in flush.entries.items()
            if merging.holds(stored, entry)
        ]
        for part_id in found:
            flush.entries.pop(part_id)
            self._pending.confirm(flush.place, part_id)
