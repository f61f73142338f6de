"""State machine of one publish command.

A publication is written by compare-and-swap. If the answer to a write is lost,
the key is read to find out whether the write took effect: the stored document
lists the publication ids of the latest revisions. As long as the store is at
the expected revision the write may still arrive, so it is repeated with the
same id and the same expected revision; at most one of the attempts can take
effect.
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

# Ends the command after about 8 s if the platform refuses connections.
FAILURE_LIMIT = 8
RETRY_DELAY_MS = 100
RETRY_DELAY_LIMIT_MS = 2000


class WriteStatus(enum.Enum):
    """Status of a write without an answer, as found by a later read.

    Attributes:
        applied: The write took effect.
        not_applied: The write did not take effect and no longer can.
        pending: The write has not taken effect but still can.
        unknown: So many publications followed that the ids of those before
            them are no longer stored.
    """

    applied = enum.auto()
    not_applied = enum.auto()
    pending = enum.auto()
    unknown = enum.auto()


def write_status(
    write: publication_messages.Write,
    found: publication_messages.ValueFound,
    document: stored_document.StoredDocument,
) -> WriteStatus:
    """Return the status of `write` according to a later read.

    Args:
        write: Write whose answer was lost.
        found: Result of the read.
        document: Parsed value of `found`.
    """
    publication = write.value['publication']
    if publication in {document.publication, *document.previous}:
        return WriteStatus.applied
    if found.store_revision == write.expected:
        return WriteStatus.pending
    age = document.revision - write.value['revision']
    if 0 <= age <= len(document.previous):
        return WriteStatus.not_applied
    return WriteStatus.unknown


class RetryState:
    """Number of failed calls of a publish command and the retry delay."""

    def __init__(self) -> None:
        """Start with no failures counted."""
        self._failures = 0
        self._may_have_written = False

    @property
    def may_have_written(self) -> bool:
        """Whether a write without an answer may have taken effect."""
        return self._may_have_written

    @property
    def exhausted(self) -> bool:
        """Whether the failure limit is reached."""
        return self._failures >= FAILURE_LIMIT

    @property
    def delay_ms(self) -> int:
        """Delay before the next call; doubles with each failure."""
        delay_ms = RETRY_DELAY_MS * 2 ** (self._failures - 1)
        return min(delay_ms, RETRY_DELAY_LIMIT_MS)

    def add_failure(self, *, may_have_taken_effect: bool) -> None:
        """Count a failed call."""
        self._failures += 1
        self._may_have_written = self._may_have_written or may_have_taken_effect


class Publication:
    """State machine of one publish command: takes events, returns commands.

    In the state `settling` it reads the key to find out whether a write
    without an answer took effect.
    """

    state: str

    def __init__(self, request: publication_messages.PublishRequest) -> None:
        """Prepare the publication of `request`."""
        self._request = request
        self._retries = RetryState()
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
        """Return the next command; `event` is the result of the last one."""
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
            return self._give_up(
                _describe_invalid(parsed.unwrap_err()), final=True
            )
        document = parsed.unwrap()
        self._differences = _differences(document, self._request)
        if not self._differences:
            return self._finish(
                publication_messages.Unchanged(document.revision)
            )
        if self._request.base_revision not in {None, document.revision}:
            return self._finish(_conflict(document, self._request))
        return self._first_write(document, found.store_revision)

    def _on_empty_store(self) -> publication_messages.Command:
        if self._request.base_revision:
            message = 'no set is published, so there is no base revision'
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
            form = 'the set has {0} bytes; at most {1} are allowed'
            message = form.format(size, stored_document.SIZE_LIMIT_BYTES)
            return self._give_up(message, final=True)
        self._write = publication_messages.Write(value, expected)
        self.trigger('to_write')
        return self._write

    def _on_deleted(self) -> publication_messages.Command:
        if _require_write(self._write).expected == 0:
            return self._on_pending()
        return self._give_up(
            'the key was deleted during the publication', final=True
        )

    def _on_settling(
        self, found: publication_messages.ValueFound
    ) -> publication_messages.Command:
        parsed = stored_document.parse_document(found.value)
        if parsed.is_err():
            return self._give_up(
                _describe_invalid(parsed.unwrap_err()), final=True
            )
        document = parsed.unwrap()
        match write_status(_require_write(self._write), found, document):
            case WriteStatus.applied:
                return self._published(document.revision)
            case WriteStatus.pending:
                return self._on_pending()
            case WriteStatus.unknown if self._retries.may_have_written:
                return self._give_up(
                    'too many publications followed to tell', final=True
                )
        return self._finish(_conflict(document, self._request))

    def _on_pending(self) -> publication_messages.Command:
        self._retries.add_failure(may_have_taken_effect=False)
        if self._retries.exhausted:
            return self._give_up('the store did not apply the write')
        return self._repeat_write()

    def _repeat_write(self) -> publication_messages.Command:
        self.trigger('to_write')
        return dataclasses.replace(
            _require_write(self._write),
            delay_ms=self._retries.delay_ms,
        )

    def _on_failure(
        self, failure: publication_messages.Failed
    ) -> publication_messages.Command:
        may_be_applied = (
            self.state == 'writing' and failure.may_have_taken_effect
        )
        self._retries.add_failure(may_have_taken_effect=may_be_applied)
        if failure.final or self._retries.exhausted:
            return self._give_up(failure.message, final=failure.final)
        if self.state == 'writing' and not may_be_applied:
            return self._repeat_write()
        self.trigger('to_read' if self.state == 'reading' else 'to_settle')
        return publication_messages.Read(self._retries.delay_ms)

    def _give_up(
        self,
        message: str,
        *,
        final: bool = False,
    ) -> publication_messages.Command:
        if self._retries.may_have_written:
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
        self, active_revision: int = 0
    ) -> publication_messages.Command:
        revision = _require_write(self._write).value['revision']
        replaced_by = 0
        if active_revision > revision:
            replaced_by = active_revision
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


def _require_write(
    write: publication_messages.Write | None,
) -> publication_messages.Write:
    if write is None:
        raise errors.InvariantError('no write was sent yet')
    return write


def _differences(
    document: stored_document.StoredDocument | None,
    request: publication_messages.PublishRequest,
) -> tuple[differences.Difference, ...]:
    old = {} if document is None else document.objects
    return differences.diff(old, dict(request.raw))


def _conflict(
    document: stored_document.StoredDocument,
    request: publication_messages.PublishRequest,
) -> publication_messages.PublicationConflict:
    return publication_messages.PublicationConflict(
        document.revision,
        document.publication,
        _differences(document, request),
    )


def _describe_invalid(invalid: stored_document.InvalidDocument) -> str:
    return 'the stored value is not a valid published set: {0}'.format(
        '; '.join(invalid.messages),
    )
