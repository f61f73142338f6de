"""Decisions of one publish command.

A publication is written by compare-and-swap. A write whose answer was lost is
settled by reading: the stored document names the publications of the last
revisions. While the store is at the expected revision the write may still be
on its way, so it is repeated with the same id and the same expected revision;
at most one of the attempts can take effect.
"""

import dataclasses
import enum

import transitions

from celeryrelay.configuration import (
    differences,
    publication_messages,
    stored_document,
)
from celeryrelay.core import errors

# Gives up after about 8 s if the platform refuses connections.
FAILURE_LIMIT = 8
RETRY_DELAY_MS = 100
RETRY_DELAY_LIMIT_MS = 2000


class Settlement(enum.Enum):
    """What a reading says about a write that may have taken effect."""

    took_effect = enum.auto()
    lost = enum.auto()
    pending = enum.auto()
    unknown = enum.auto()


def settle(
    write: publication_messages.Write,
    found: publication_messages.ValueFound,
    document: stored_document.StoredDocument,
) -> Settlement:
    """Return whether `write` took effect, given a later reading.

    Args:
        write: The write.
        found: The reading.
        document: The value of the reading.
    """
    publication = write.value['publication']
    if publication in {document.publication, *document.previous}:
        return Settlement.took_effect
    if found.store_revision == write.expected:
        return Settlement.pending
    age = document.revision - write.value['revision']
    if 0 <= age <= len(document.previous):
        return Settlement.lost
    return Settlement.unknown


class Attempts:
    """Failed calls of a publish command."""

    def __init__(self) -> None:
        """Start without a failure."""
        self._failures = 0
        self._uncertain = False

    @property
    def uncertain(self) -> bool:
        """Whether a write was made that may have taken effect."""
        return self._uncertain

    @property
    def exhausted(self) -> bool:
        """Whether no further attempt is made."""
        return self._failures >= FAILURE_LIMIT

    @property
    def delay_ms(self) -> int:
        """Delay before the next attempt."""
        delay_ms = RETRY_DELAY_MS * 2 ** (self._failures - 1)
        return min(delay_ms, RETRY_DELAY_LIMIT_MS)

    def add(self, *, may_have_taken_effect: bool) -> None:
        """Count a failure."""
        self._failures += 1
        self._uncertain = self._uncertain or may_have_taken_effect


class Publication:
    """State machine of one publish command: events in, commands out."""

    state: str

    def __init__(self, request: publication_messages.PublishRequest) -> None:
        """Prepare the publication of `request`."""
        self._request = request
        self._attempts = Attempts()
        self._write: publication_messages.Write | None = None
        self._differences: tuple[differences.Difference, ...] = ()
        self._machine = transitions.Machine(
            model=self,
            states=['idle', 'reading', 'writing', 'settling', 'finished'],
            transitions=[
                ['to_read', ['idle', 'reading'], 'reading'],
                ['to_write', ['reading', 'writing', 'settling'], 'writing'],
                ['to_settle', ['writing', 'settling'], 'settling'],
                ['to_finish', ['reading', 'writing', 'settling'], 'finished'],
            ],
            initial='idle',
            auto_transitions=False,
        )

    def start(self) -> publication_messages.Command:
        """Return the first command."""
        self.trigger('to_read')
        return publication_messages.Read()

    def handle(
        self, event: publication_messages.Event
    ) -> publication_messages.Command:
        """Return the command that follows the end of the last one."""
        match event:
            case publication_messages.ValueFound() if self.state == 'reading':
                return self._on_read(event)
            case publication_messages.ValueFound():
                return self._on_settling(event)
            case publication_messages.KeyAbsent() if self.state == 'reading':
                return self._on_empty_store()
            case publication_messages.KeyAbsent():
                return self._on_deleted()
            case publication_messages.WriteSucceeded():
                return self._published()
            case publication_messages.Failed():
                return self._on_failure(event)

    def _on_read(
        self, found: publication_messages.ValueFound
    ) -> publication_messages.Command:
        parsed = stored_document.parse_document(found.value)
        if parsed.is_err():
            return self._give_up(_unreadable(parsed.unwrap_err()), final=True)
        document = parsed.unwrap()
        self._differences = _differences(document, self._request)
        if not self._differences:
            return self._finish(
                publication_messages.Unchanged(document.revision)
            )
        if self._request.base_revision not in {None, document.revision}:
            return self._finish(_lost_race(document, self._request))
        return self._first_write(document, found.store_revision)

    def _on_empty_store(self) -> publication_messages.Command:
        if self._request.base_revision:
            message = 'no set is published, so none can be the base'
            return self._give_up(message, final=True)
        self._differences = _differences(None, self._request)
        return self._first_write(None, 0)

    def _first_write(
        self,
        document: stored_document.StoredDocument | None,
        expected: int,
    ) -> publication_messages.Command:
        value = stored_document.next_document(
            document,
            self._request.publication,
            self._request.raw,
            self._request.above_revision,
        )
        size = stored_document.size_bytes(value)
        if size > stored_document.SIZE_LIMIT_BYTES:
            form = 'the set has {0} bytes; up to {1} are allowed'
            message = form.format(size, stored_document.SIZE_LIMIT_BYTES)
            return self._give_up(message, final=True)
        self._write = publication_messages.Write(value, expected)
        self.trigger('to_write')
        return self._write

    def _on_deleted(self) -> publication_messages.Command:
        if _require(self._write).expected == 0:
            return self._on_pending()
        return self._give_up('the key was deleted meanwhile', final=True)

    def _on_settling(
        self, found: publication_messages.ValueFound
    ) -> publication_messages.Command:
        parsed = stored_document.parse_document(found.value)
        if parsed.is_err():
            return self._give_up(_unreadable(parsed.unwrap_err()), final=True)
        document = parsed.unwrap()
        match settle(_require(self._write), found, document):
            case Settlement.took_effect:
                return self._published(document.revision)
            case Settlement.pending:
                return self._on_pending()
            case Settlement.unknown if self._attempts.uncertain:
                return self._give_up('many publications followed', final=True)
        return self._finish(_lost_race(document, self._request))

    def _on_pending(self) -> publication_messages.Command:
        self._attempts.add(may_have_taken_effect=False)
        if self._attempts.exhausted:
            return self._give_up('the store does not accept the write')
        return self._repeat_write()

    def _repeat_write(self) -> publication_messages.Command:
        self.trigger('to_write')
        return dataclasses.replace(
            _require(self._write),
            delay_ms=self._attempts.delay_ms,
        )

    def _on_failure(
        self, failure: publication_messages.Failed
    ) -> publication_messages.Command:
        is_lost_write = (
            self.state == 'writing' and failure.may_have_taken_effect
        )
        self._attempts.add(may_have_taken_effect=is_lost_write)
        if failure.final or self._attempts.exhausted:
            return self._give_up(failure.message, final=failure.final)
        if self.state == 'writing' and not is_lost_write:
            return self._repeat_write()
        self.trigger('to_read' if self.state == 'reading' else 'to_settle')
        return publication_messages.Read(self._attempts.delay_ms)

    def _give_up(
        self,
        message: str,
        *,
        final: bool = False,
    ) -> publication_messages.Command:
        if self._attempts.uncertain:
            publication = self._request.publication
            return self._finish(
                publication_messages.Unconfirmed(publication, message)
            )
        outcome = (
            publication_messages.Rejected
            if final
            else publication_messages.PlatformUnreachable
        )
        return self._finish(outcome(message))

    def _published(
        self, revision_in_force: int = 0
    ) -> publication_messages.Command:
        revision = _require(self._write).value['revision']
        replaced_by = 0
        if revision_in_force > revision:
            replaced_by = revision_in_force
        return self._finish(
            publication_messages.Published(
                revision, self._differences, replaced_by
            ),
        )

    def _finish(
        self, outcome: publication_messages.Outcome
    ) -> publication_messages.Command:
        self.trigger('to_finish')
        return publication_messages.Finish(outcome)


def _require(
    write: publication_messages.Write | None,
) -> publication_messages.Write:
    if write is None:
        raise errors.InvariantError('no write was made')
    return write


def _differences(
    document: stored_document.StoredDocument | None,
    request: publication_messages.PublishRequest,
) -> tuple[differences.Difference, ...]:
    old = {} if document is None else document.objects
    return differences.diff(old, dict(request.raw))


def _lost_race(
    document: stored_document.StoredDocument,
    request: publication_messages.PublishRequest,
) -> publication_messages.PublicationConflict:
    return publication_messages.PublicationConflict(
        document.revision,
        document.publication,
        _differences(document, request),
    )


def _unreadable(unreadable: stored_document.InvalidDocument) -> str:
    return 'the stored value is not a published set: {0}'.format(
        '; '.join(unreadable.messages),
    )
