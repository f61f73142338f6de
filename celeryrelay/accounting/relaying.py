"""State machine by which a relay writes received batches to the store.

Both relays of an availability zone receive each batch. A relay reads a value
before it writes it, so that parts which the other relay has already stored are
confirmed without a write. With one write per flush interval, 10 zones with 2
relays each cause at most 20 writes/s at the default interval of 1 s.
"""

import dataclasses

from celeryrelay.accounting import batches, merging, pending_parts, sequences

# Size at which a value is sealed and the value with the next number is started.
# Together with the largest batch it is below the platform's limit of 1 MB.
SEAL_BYTES = 600_000

# Limits the size of the batches merged in one flush, since merging blocks the
# event loop: 4 batches with 2250 pairs of group and rank each took 22 ms in the
# median.
MERGE_BYTES = 250_000


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Command: read `key` and pass its value to `AccountWriter.on_read`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Command: write `value` if `key` is still at revision `expected`."""

    key: str
    value: merging.JsonObject
    expected: int


Command = Read | Write


@dataclasses.dataclass(slots=True)
class _Flush:
    """State of the flush in progress.

    Attributes:
        bucket: Period and availability zone.
        entries: Parts that were pending when the flush began. Parts received
            later wait for the next flush because they were not compared with
            the sealed values that this flush has already read.
        number: Position in the chain of values.
        written: Value of the write in progress.
    """

    bucket: pending_parts.Bucket
    entries: pending_parts.PartsById
    number: int = 0
    written: merging.JsonObject | None = None

    @property
    def key(self) -> str:
        """Return the store key of the current value."""
        return merging.store_key(*self.bucket, self.number)


class AccountWriter:
    """State machine that merges the batches of a relay into the store.

    Takes results of store calls and returns the next command. One flush is in
    progress at a time, for one bucket (period and zone): it lasts from
    `begin_flush` until `on_read` or `on_written` returns None or `on_failure`
    is called.
    """

    def __init__(self, deployment: str) -> None:
        """Create the state machine without batches."""
        self._deployment = deployment
        self._pending = pending_parts.PendingParts(deployment)
        self._flush: _Flush | None = None

    @property
    def pending_bytes(self) -> int:
        """Return the size of all batches that are not yet stored."""
        return self._pending.pending_bytes

    def offer(self, batch: batches.Batch) -> pending_parts.OfferResult:
        """Add `batch` unless it is already stored."""
        return self._pending.offer(batch)

    def stored_sequences(self, source: str) -> sequences.Ranges:
        """Return the sequence numbers of completely stored batches."""
        return self._pending.stored_sequences(source)

    def begin_flush(self) -> Read | None:
        """Return the first command of a flush; None if nothing is pending.

        Every flush starts with number 0 of the chain, since a part that the
        other relay has stored there must not be stored again in a later value.
        """
        self._flush = None
        bucket = self._pending.next_bucket()
        if bucket is None:
            return None
        self._flush = _Flush(bucket, self._pending.parts_in(bucket))
        return Read(self._flush.key)

    def on_read(self, raw: object, revision: int) -> Command | None:
        """Handle the value returned by a read or by a write conflict.

        Args:
            raw: Value of the key; None if the key does not exist.
            revision: Revision of the value; 0 if the key does not exist.
        """
        flush = self._flush
        if flush is None:
            return None
        if raw is None:
            return self._write(flush, None, 0)
        if merging.has_newer_format(raw):
            # The value may contain these parts. A relay of the later version
            # writes them.
            self._flush = None
            return None
        stored = self._parse_own_value(flush, raw)
        if stored is None:
            return self._next_number(flush)
        self._confirm_parts(flush, stored)
        if not flush.entries:
            self._flush = None
            return None
        if stored['sealed']:
            return self._next_number(flush)
        return self._write(flush, stored, revision)

    def on_written(self) -> None:
        """Handle a successful write.

        Parts that were not written remain pending for a later flush.
        """
        flush = self._flush
        self._flush = None
        if flush is not None and flush.written is not None:
            self._confirm_parts(flush, flush.written)

    def on_failure(self) -> None:
        """Handle a failed store call, such as a lost answer or an outage.

        The next flush of the bucket reads the key and finds out whether a
        write took effect.
        """
        self._flush = None

    def _next_number(self, flush: _Flush) -> Read:
        # A sealed value is never changed, so the other relay can't merge a
        # part into it later.
        flush.number += 1
        return Read(flush.key)

    def _write(
        self,
        flush: _Flush,
        stored: merging.JsonObject | None,
        revision: int,
    ) -> Write:
        selected = self._select_parts(flush, stored)
        flush.written = merging.merge(stored, selected, flush.number)
        size = len(merging.dump(flush.written))
        if size + self._next_part_bytes(flush, len(selected)) > SEAL_BYTES:
            flush.written['sealed'] = True
        return Write(flush.key, flush.written, revision)

    def _select_parts(
        self,
        flush: _Flush,
        stored: merging.JsonObject | None,
    ) -> list[merging.SourcePart]:
        """Return the parts to write in this flush.

        A new value takes at least one part, whatever its size. An existing
        value takes at least one part unless it would exceed `SEAL_BYTES`.
        """
        size = 0 if stored is None else len(merging.dump(stored))
        merge_limit = size + MERGE_BYTES
        selected: list[merging.SourcePart] = []
        for part_id, entry in flush.entries.items():
            size += self._pending.max_added_bytes(part_id)
            is_empty = stored is None and not selected
            if size > SEAL_BYTES and not is_empty:
                break
            if size > merge_limit and selected:
                break
            selected.append(entry)
        return selected

    def _next_part_bytes(self, flush: _Flush, selected_count: int) -> int:
        """Return the size of the first part not in this flush, 0 if none."""
        left = list(flush.entries)[selected_count:]
        return self._pending.max_added_bytes(left[0]) if left else 0

    def _parse_own_value(
        self, flush: _Flush, raw: object
    ) -> merging.JsonObject | None:
        stored = merging.parse_value(raw).ok()
        if stored is None or stored['deployment'] != self._deployment:
            return None
        is_own_bucket = (stored['period'], stored['zone']) == flush.bucket
        return stored if is_own_bucket else None

    def _confirm_parts(self, flush: _Flush, stored: merging.JsonObject) -> None:
        found = [
            part_id
            for part_id, entry in flush.entries.items()
            if merging.contains_part(stored, entry)
        ]
        for part_id in found:
            flush.entries.pop(part_id)
            self._pending.confirm(flush.bucket, part_id)
