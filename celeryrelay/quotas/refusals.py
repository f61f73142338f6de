"""What a daemon remembers about refused accounts and may grant on its own.

Answers the load of an account that sends many times its limit: its operations
are refused at the daemon that received them, without a message for each.

This module does no I/O. The caller passes in the time, in seconds of a
monotonic clock.
"""

import random

from celeryrelay.accounts import directory
from celeryrelay.quotas import limits, token_bucket

# Range of the factor by which the time until the next question varies, so that
# the daemons don't all ask at the same moment.
MIN_SPREAD = 0.5
MAX_SPREAD = 1.5
# Longest additional time in seconds for which callers are asked to wait. Their
# retries would otherwise arrive together.
CALLER_SPREAD_S = 0.5
# Time in seconds until the next question after no daemon decided.
NO_OWNER_RETRY_S = 0.4


class RefusalMemory:
    """Times until which accounts are refused without asking."""

    def __init__(self) -> None:
        """Start without any refused account."""
        self._refused_until: dict[str, float] = {}

    def on_refused(
        self, account: str, retry_after_s: float, now: float
    ) -> None:
        """Refuse an account for about `retry_after_s` seconds."""
        spread = random.uniform(MIN_SPREAD, MAX_SPREAD)
        self._refused_until[account] = now + retry_after_s * spread

    def is_refused(self, account: str, now: float) -> bool:
        """Return whether to refuse an account without asking."""
        until = self._refused_until.get(account)
        if until is None:
            return False
        if until <= now:
            self._refused_until.pop(account)
            return False
        return True

    def caller_retry_ms(self, account: str, now: float) -> int:
        """Return the time after which a caller should retry."""
        left_s = max(self._refused_until.get(account, now) - now, 0)
        spread_s = random.uniform(0, CALLER_SPREAD_S)
        return round((left_s + spread_s) * 1000) + 1


class UnreachableGrants:
    """Grants of a daemon that reaches no owner: its share of the tolerance."""

    def __init__(self, bounds: limits.QuotaBounds) -> None:
        """Grant within `bounds`."""
        self._bounds = bounds
        self._buckets: dict[str, token_bucket.TokenBucket] = {}

    def take(
        self,
        account: directory.ClientAccount,
        count: int,
        daemons: int,
        now: float,
    ) -> int:
        """Return how many of `count` operations may run without an owner.

        Args:
            account: The account, which has a quota.
            count: Number of operations.
            daemons: Number of registered daemons.
            now: Time in seconds.
        """
        size = self._bounds.unreachable(account.quota, daemons)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # The first grants of the daemons are spread evenly over the time in
            # which each of them is due one.
            bucket = token_bucket.TokenBucket(size, random.random(), now)
            self._buckets[account.name] = bucket
        bucket.resize(size, now)
        return bucket.take(count, now)

    def on_owner_reached(self, account: str) -> None:
        """Discard what was saved up without an owner."""
        self._buckets.pop(account, None)
