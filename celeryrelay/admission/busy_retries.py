"""Whether a statement that a server rejected as `BUSY` goes back to waiting.

Answers bursts in which rejected statements are sent again and again: each
attempt occupies two daemons, a link and the server, and pushes out a statement
that would have been accepted. Does no I/O.
"""

import collections
import random

from celeryrelay.admission import retry_budget

# Retries for each request of a group, and the number that may come at once. In
# a fleet of 100 daemons, larger numbers add up to a flood of their own.
RETRY_RATIO = 0.05
RETRY_BURST = 2.0
# Wait before the first retry, which doubles with each further one.
FIRST_PAUSE_S = 0.03
MAX_PAUSE_S = 0.5
# Time after which a caller may retry, as for statements that holders refuse.
RETRY_AFTER_MS = 1000
# Pauses and hints are multiplied by a random factor from 0.5 to 1.5, so that
# statements that were rejected together do not return together.
JITTER = 0.5


class BusyRetries:
    """Retry budget of each database group for rejected statements."""

    def __init__(self, source: random.Random) -> None:
        """Take the jitter from `source`."""
        self._random = source
        self._budgets: dict[str, retry_budget.RetryBudget]
        self._budgets = collections.defaultdict(
            lambda: retry_budget.RetryBudget(RETRY_RATIO, RETRY_BURST),
        )

    def on_request(self, group: str) -> None:
        """Count a statement of a group."""
        self._budgets[group].on_request()

    def pause_s(
        self,
        group: str,
        attempts: int,
        now: float,
        deadline: float,
    ) -> float | None:
        """Return the wait before the next attempt, None if there is to be none.

        Args:
            group: Name of the database group.
            attempts: Attempts so far, at least 1.
            now: Time in seconds.
            deadline: Time in seconds after which no attempt begins.
        """
        longest_s = min(FIRST_PAUSE_S * 2 ** (attempts - 1), MAX_PAUSE_S)
        pause_s = longest_s * self._jitter()
        if now + pause_s >= deadline or not self._budgets[group].take():
            return None
        return pause_s

    def retry_after_ms(self) -> int:
        """Return the hint for a caller whose statement was rejected."""
        return round(RETRY_AFTER_MS * self._jitter())

    def _jitter(self) -> float:
        return self._random.uniform(1 - JITTER, 1 + JITTER)
