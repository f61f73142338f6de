"""Positions that a primary answered, dated by the time of the question.

A primary that answers position P to a question sent at time T has every commit
that was acknowledged before T in its log up to P. So a log that holds P is at
most as old as T. The rule needs a primary that still leads when it answers;
the caller passes on only answers that prove this.
"""

import bisect

from celeryrelay.core import positions

# Samples closer together than this add nothing to the choice of a bound.
MIN_GAP_S = 0.02


def is_later(left: positions.Position, right: positions.Position) -> bool:
    """Return whether `left` is a later place in the log than `right`."""
    return (left.term, left.offset) > (right.term, right.offset)


class PrimarySamples:
    """Samples of one database group, oldest first."""

    def __init__(self, horizon_s: float) -> None:
        """Keep samples of the last `horizon_s` seconds."""
        self._horizon_s = horizon_s
        self._times: list[float] = []
        self._positions: list[positions.Position] = []

    @property
    def newest(self) -> positions.Position | None:
        """Latest position known, None before the first sample."""
        return self._positions[-1] if self._positions else None

    @property
    def newest_at(self) -> float | None:
        """Time in seconds of the latest sample, None before the first one."""
        return self._times[-1] if self._times else None

    def on_sample(self, sent_at: float, position: positions.Position) -> None:
        """Note that the primary answered `position`.

        Samples of older terms are dropped: a promotion may have removed the
        end of the log that they point to.

        Args:
            sent_at: Time in seconds at which the question was sent.
            position: Position in the answer.
        """
        newest = self.newest
        if newest is not None and position.term < newest.term:
            return
        if newest is not None and position.term > newest.term:
            self._clear()
        if self._times and sent_at - self._times[-1] < MIN_GAP_S:
            return
        self._times.append(sent_at)
        self._positions.append(position)
        self._forget(sent_at - self._horizon_s)

    def bound(self, not_before: float) -> positions.Position | None:
        """Return the lowest position that covers all commits until then.

        Args:
            not_before: Time in seconds; commits that were acknowledged before
                it are covered.

        Returns:
            The position of the oldest sample taken at `not_before` or later,
            which the most replicas have reached; None if there is none.
        """
        found = bisect.bisect_left(self._times, not_before)
        return self._positions[found] if found < len(self._times) else None

    def _forget(self, before: float) -> None:
        count = bisect.bisect_left(self._times, before)
        del self._times[:count]
        del self._positions[:count]

    def _clear(self) -> None:
        self._times.clear()
        self._positions.clear()
