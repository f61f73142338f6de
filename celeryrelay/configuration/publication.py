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

from celeryrelay.configuration import differences, documents, steps
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
    write: steps.Write,
    found: steps.Found,
    document: documents.StoredDocument,
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

    def __init__(self, request: steps.Request) -> None:
        """Prepare the publication of `request`."""
        self._request = request
        self._attempts = Attempts()
        self._write: steps.Write | None = None
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

    def start(self) -> steps.Command:
        """Return the first command."""
        self.trigger('to_read')
        return steps.Read()

    def handle(self, event: steps.Event) -> steps.Command:
        """Return the command that follows the end of the last one."""
        match event:
            case steps.Found() if self.state == 'reading':
                return self._on_read(event)
            case steps.Found():
                return self._on_settling(event)
            case steps.Absent() if self.state == 'reading':
                return self._on_empty_store()
            case steps.Absent():
                return self._on_deleted()
            case steps.Stored():
                return self._published()
            case steps.Failed():
                return self._on_failure(event)

    def _on_read(self, found: steps.Found) -> steps.Command:
        parsed = documents.parse_document(found.value)
        if parsed.is_err():
            return self._give_up(_unreadable(parsed.unwrap_err()), final=True)
        document = parsed.unwrap()
        self._differences = _differences(document, self._request)
        if not self._differences:
            return self._finish(steps.Unchanged(document.revision))
        if self._request.base_revision not in {None, document.revision}:
            return self._finish(_lost_race(document, self._request))
        return self._first_write(document, found.store_revision)

    def _on_empty_store(self) -> steps.Command:
        if self._request.base_revision:
            message = 'no set is published, so none can be the base'
            return self._give_up(message, final=True)
        self._differences = _differences(None, self._request)
        return self._first_write(None, 0)

    def _first_write(
        self,
        document: documents.StoredDocument | None,
        expected: int,
    ) -> steps.Command:
        value = documents.succeed(
            document,
            self._request.publication,
            self._request.raw,
            self._request.above_revision,
        )
        size = documents.size_bytes(value)
        if size > documents.SIZE_LIMIT_BYTES:
            form = 'the set has {0} bytes; up to {1} are allowed'
            message = form.format(size, documents.SIZE_LIMIT_BYTES)
            return self._give_up(message, final=True)
        self._write = steps.Write(value, expected)
        self.trigger('to_write')
        return self._write

    def _on_deleted(self) -> steps.Command:
        if _require(self._write).expected == 0:
            return self._on_pending()
        return self._give_up('the key was deleted meanwhile', final=True)

    def _on_settling(self, found: steps.Found) -> steps.Command:
        parsed = documents.parse_document(found.value)
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

    def _on_pending(self) -> steps.Command:
        self._attempts.add(may_have_taken_effect=False)
        if self._attempts.exhausted:
            return self._give_up('the store does not accept the write')
        return self._repeat_write()

    def _repeat_write(self) -> steps.Command:
        self.trigger('to_write')
        return dataclasses.replace(
            _require(self._write),
            delay_ms=self._attempts.delay_ms,
        )

    def _on_failure(self, failure: steps.Failed) -> steps.Command:
        is_lost_write = (
            self.state == 'writing' and failure.may_have_taken_effect
        )
        self._attempts.add(may_have_taken_effect=is_lost_write)
        if failure.final or self._attempts.exhausted:
            return self._give_up(failure.message, final=failure.final)
        if self.state == 'writing' and not is_lost_write:
            return self._repeat_write()
        self.trigger('to_read' if self.state == 'reading' else 'to_settle')
        return steps.Read(self._attempts.delay_ms)

    def _give_up(
        self,
        message: str,
        *,
        final: bool = False,
    ) -> steps.Command:
        if self._attempts.uncertain:
            publication = self._request.publication
            return self._finish(steps.Unsettled(publication, message))
        outcome = steps.Rejected if final else steps.Unreached
        return self._finish(outcome(message))

    def _published(self, revision_in_force: int = 0) -> steps.Command:
        revision = _require(self._write).value['revision']
        replaced_by = 0
        if revision_in_force > revision:
            replaced_by = revision_in_force
        return self._finish(
            steps.Published(revision, self._differences, replaced_by),
        )

    def _finish(self, outcome: steps.Outcome) -> steps.Command:
        self.trigger('to_finish')
        return steps.Finish(outcome)


def _require(write: steps.Write | None) -> steps.Write:
    if write is None:
        raise errors.InvariantError('no write was made')
    return write


def _differences(
    document: documents.StoredDocument | None,
    request: steps.Request,
) -> tuple[differences.Difference, ...]:
    old = {} if document is None else document.objects
    return differences.diff(old, dict(request.raw))


def _lost_race(
    document: documents.StoredDocument,
    request: steps.Request,
) -> steps.LostRace:
    return steps.LostRace(
        document.revision,
        document.publication,
        _differences(document, request),
    )


def _unreadable(unreadable: documents.Unreadable) -> str:
    return 'the stored value is not a published set: {0}'.format(
        '; '.join(unreadable.messages),
    )
