"""How often client accounts need one more connection to a backend server.

It decides which idle connection is closed to make room for another account.
Answers the load of many accounts that share the few connections of a holder,
where opening one occupies a slot of the server. This module does no I/O.
"""

import math

# Time after which a use counts half. The rarest accounts that can keep a
# connection use it every few seconds, so an estimate needs about a minute.
HALF_LIFE_S = 30.0
# Entries beyond which the least used ones are forgotten.
MAX_ENTRIES = 1024
_DECAY_PER_S = math.log(2) / HALF_LIFE_S


class ConnectionUsage:
    """Decaying counts of the statements that used an account's n-th connection.

    A statement uses the n-th connection of its account if n - 1 others are in
    use. The count of n tells what the account loses with n - 1 connections.
    """

    def __init__(self) -> None:
        """Start without any use."""
        # The count at the time of the last use, and that time.
        self._counts: dict[tuple[str, int], tuple[float, float]] = {}

    def record(self, account: str, level: int, now: float) -> None:
        """Count a use of the `level`-th connection of an account."""
        key = (account, level)
        self._counts[key] = (self.count(account, level, now) + 1, now)
        if len(self._counts) > MAX_ENTRIES:
            self._forget_least_used(now)

    def count(self, account: str, level: int, now: float) -> float:
        """Return the decayed count of an account's `level`-th connection."""
        counted, used_at = self._counts.get((account, level), (0, now))
        return counted * math.exp((used_at - now) * _DECAY_PER_S)

    def _forget_least_used(self, now: float) -> None:
        by_count = sorted(
            self._counts,
            key=lambda key: self.count(key[0], key[1], now),
            reverse=True,
        )
        for key in by_count[MAX_ENTRIES // 2 :]:
            self._counts.pop(key)
