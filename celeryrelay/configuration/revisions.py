"""The configuration revision that a daemon has and the ones it knows of."""

import dataclasses
import enum

from celeryrelay.conf import sets

# Promise 9: an accepted configuration is in force everywhere within 5 s.
CURRENT_SECONDS = 5


class IgnoreReason(enum.StrEnum):
    """Why an offered set was not taken."""

    older = 'older'
    same = 'same'
    # The revision is the one in force but its publication is another one,
    # which happens only when the store lost its state.
    conflicting = 'conflicting'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The offered set is in force; `previous` is the one before, if any."""

    previous: sets.PublishedSet | None


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The set in force stays."""

    reason: IgnoreReason


class RevisionState:
    """Revision of the set in force; it never goes back.

    Times are monotonic seconds of the owner's clock.
    """

    def __init__(self) -> None:
        """Start without a set."""
        self._current: sets.PublishedSet | None = None
        self._known_revision = 0
        self._confirmed_at: float | None = None

    @property
    def current(self) -> sets.PublishedSet | None:
        """Set in force, None before the first one."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision of the set in force, 0 before the first one."""
        return 0 if self._current is None else self._current.revision

    @property
    def known_revision(self) -> int:
        """Highest revision that any store reading or peer mentioned."""
        return self._known_revision

    @property
    def needs_fetch(self) -> bool:
        """Whether a newer set than the one in force exists."""
        return self._known_revision > self.revision

    def offer(self, published: sets.PublishedSet) -> Accepted | Ignored:
        """Take `published` if it is newer than the set in force."""
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
        """Note that `revision` exists."""
        self._known_revision = max(self._known_revision, revision)

    def on_confirmation(self, revision: int, read_at: float) -> None:
        """Note that the store's newest revision was `revision` at `read_at`.

        Args:
            revision: Revision of the store reading.
            read_at: Time at which the reading was requested; a reading that a
                peer passed on is dated at the send time of the own request
                minus its age.
        """
        self.on_known_revision(revision)
        if revision == self.revision:
            self._confirmed_at = max(self._confirmed_at or read_at, read_at)

    def confirmation_age(self, now: float) -> float | None:
        """Return the seconds since the set in force was the newest.

        None if that was never confirmed.
        """
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def is_current(self, now: float) -> bool:
        """Return whether the set in force was lately confirmed as newest."""
        age = self.confirmation_age(now)
        if age is None or self.needs_fetch:
            return False
        return age <= CURRENT_SECONDS
