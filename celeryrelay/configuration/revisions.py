"""Active configuration revision of a daemon and newer revisions it knows."""

import dataclasses
import enum

from celeryrelay.conf import sets

# Promise 9 to users: an accepted configuration is active on every daemon
# within 5 s.
MAX_CONFIRMATION_AGE_S = 5


class IgnoreReason(enum.StrEnum):
    """Why a received object set was not applied."""

    older = 'older'
    same = 'same'
    # Same revision as the active set but a different publication id, which
    # happens only after the store has lost its state.
    conflicting = 'conflicting'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The received set became active and replaced `previous`, if not None."""

    previous: sets.PublishedSet | None


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The received set was not applied."""

    reason: IgnoreReason


class RevisionState:
    """Active object set; its revision never decreases.

    Times are monotonic seconds on the clock of this daemon.
    """

    def __init__(self) -> None:
        """Start without a set."""
        self._current: sets.PublishedSet | None = None
        self._known_revision = 0
        self._confirmed_at: float | None = None

    @property
    def current(self) -> sets.PublishedSet | None:
        """Active set; None before the first one was applied."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision of the active set; 0 before the first one was applied."""
        return 0 if self._current is None else self._current.revision

    @property
    def known_revision(self) -> int:
        """Highest revision reported by the store or by any peer."""
        return self._known_revision

    @property
    def needs_fetch(self) -> bool:
        """Whether a newer set than the active one is known to exist."""
        return self._known_revision > self.revision

    def offer(self, published: sets.PublishedSet) -> Accepted | Ignored:
        """Make `published` the active set if it is newer."""
        self.on_known_revision(published.revision)
        if published.revision < self.revision:
            return Ignored(IgnoreReason.older)
        if self._current and published.revision == self.revision:
            is_same = published.publication == self._current.publication
            return Ignored(
                IgnoreReason.same if is_same else IgnoreReason.conflicting,
            )
        previous = self._current
        self._current = published
        self._confirmed_at = None
        return Accepted(previous)

    def on_known_revision(self, revision: int) -> None:
        """Record that `revision` exists."""
        self._known_revision = max(self._known_revision, revision)

    def on_confirmation(self, revision: int, read_at: float) -> None:
        """Record that the store was at `revision` at the time `read_at`.

        Args:
            revision: Revision of the store reading.
            read_at: Time at which the read was sent. For a reading that a
                peer forwarded: time at which this daemon sent its request to
                the peer, minus the age that the peer reported.
        """
        self.on_known_revision(revision)
        if revision == self.revision:
            self._confirmed_at = max(self._confirmed_at or read_at, read_at)

    def confirmation_age(self, now: float) -> float | None:
        """Return the seconds since the active set was known to be newest.

        None if the store has never confirmed it.
        """
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def is_current(self, now: float) -> bool:
        """Return whether the active set was recently confirmed as newest."""
        age = self.confirmation_age(now)
        if age is None or self.needs_fetch:
            return False
        return age <= MAX_CONFIRMATION_AGE_S
