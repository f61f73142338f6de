"""Samples of a primary's position, dated by the time of the request.

If a request is sent at time T and the primary answers position P, its log up to
P contains every commit that was acknowledged before T. The data of a server
that has applied P is therefore not older than T. This requires that the server
is still the primary when it answers; callers must add only samples from answers
that prove this.
"""

import bisect

from celeryrelay.core import positions

# Samples that follow the previous one sooner than this are dropped, because
# they do not improve the choice of a bound.
MIN_GAP_S = 0.02


def is_later(left: positions.Position, right: positions.Position) -> bool:
    """Return whether `left` comes after `right` in the log."""
    return (left.term, left.offset) > (right.term, right.offset)


class PrimarySamples:
    """Samples of the primary of one database group, oldest first."""

    def __init__(self, retention_s: float) -> None:
        """Keep the samples of the last `retention_s` seconds."""
        self._retention_s = retention_s
        self._times: list[float] = []
        self._positions: list[positions.Position] = []

    @property
    def newest(self) -> positions.Position | None:
        """Position of the latest sample, None before the first one."""
        return self._positions[-1] if self._positions else None

    @property
    def newest_at(self) -> float | None:
        """Time in seconds of the latest sample, None before the first one."""
        return self._times[-1] if self._times else None

    def on_sample(self, sent_at: float, position: positions.Position) -> None:
        """Record that the primary answered `position`.

        Samples of older terms are dropped, because a promotion may have removed
        the log entries up to their positions.

        Args:
            sent_at: Time in seconds at which the request was sent.
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
        self._drop_before(sent_at - self._retention_s)

    def bound(self, not_before: float) -> positions.Position | None:
        """Return the lowest known bound for data not older than `not_before`.

        Args:
            not_before: Time in seconds; the bound covers all commits that were
                acknowledged before it.

        Returns:
            The position of the oldest sample sent at `not_before` or later,
            since more replicas have reached it than later ones; None if there
            is no such sample.
        """
        found = bisect.bisect_left(self._times, not_before)
        return self._positions[found] if found < len(self._times) else None

    def _drop_before(self, before: float) -> None:
        count = bisect.bisect_left(self._times, before)
        del self._times[:count]
        del self._positions[:count]

    def _clear(self) -> None:
        self._times.clear()
        self._positions.clear()
