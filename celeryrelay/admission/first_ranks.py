"""The most urgent rank that a deployment uses.

Answers overload of a deployment whose most urgent statements do not have the
first rank: their rank has precedence then. Does no I/O.
"""

import math

from celeryrelay.core import ranks


class FirstRank:
    """Finds the most urgent rank with recent arrivals."""

    def __init__(self, window_s: float) -> None:
        """Take a rank as unused after `window_s` seconds without arrivals.

        With an infinite window, the first rank always counts as used.
        """
        self._window_s = window_s
        self._last_arrivals: dict[ranks.Rank, float] = {}
        if math.isinf(window_s):
            self._last_arrivals[ranks.BY_URGENCY[0]] = 0

    def on_arrival(self, rank: ranks.Rank, now: float) -> None:
        """Record the arrival of a ticket of `rank`."""
        self._last_arrivals[rank] = now

    def at(self, now: float) -> ranks.Rank:
        """Return the most urgent rank in use; without arrivals, the first."""
        for rank in ranks.BY_URGENCY:
            last = self._last_arrivals.get(rank)
            if last is not None and now - last <= self._window_s:
                return rank
        return ranks.BY_URGENCY[0]
