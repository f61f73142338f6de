"""Granted operations that didn't run, for the caller's retry.

Answers the load of servers that refuse granted operations: each retry would be
counted again, so an account below its limit would be refused.

This module does no I/O. The caller passes in the time, in seconds of a
monotonic clock.
"""

import collections

# Time in seconds in which a grant may be used again. A window of runs then holds
# the grants of a time that is longer by this, which the tolerance covers.
REUSE_S = 0.5


class UnusedGrants:
    """Unused grants of each account at this daemon."""

    def __init__(self) -> None:
        """Start without any."""
        self._granted_at: dict[str, collections.deque[float]] = {}

    def add(self, account: str, granted_at: float) -> None:
        """Keep a grant whose operation didn't run.

        Args:
            account: Name of the account.
            granted_at: Time at which the operation was first requested.
        """
        grants = self._granted_at.setdefault(account, collections.deque())
        grants.append(granted_at)

    def take(self, account: str, now: float) -> float | None:
        """Use a grant that has not expired; return its time, if any."""
        grants = self._granted_at.get(account)
        while grants:
            granted_at = grants.popleft()
            if now - granted_at <= REUSE_S:
                return granted_at
        self._granted_at.pop(account, None)
        return None
