"""How much of an account's limit each granting daemon may use.

A deployment permits each account `(rate * window + burst) * (1 + excess) +
slack` operations in every window. What lies above `rate * window + burst` is the
tolerance. Parts of it are assigned to the cases in which more than one daemon
may grant, so that their sum stays below the limit.

This module does no I/O.
"""

import dataclasses

from celeryrelay.accounts import directory
from celeryrelay.quotas import token_bucket

# Parts of the tolerance; their sum is 1. The owner's part absorbs differences
# between the delays of requests, which would otherwise be refused just below the
# limit.
OWNER_PART = 0.25
NEW_OWNER_PART = 0.15
RESERVE_PART = 0.3
UNREACHABLE_PART = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Bounds that a deployment sets on the operations of each account.

    Attributes:
        window_s: Length in seconds of the sliding window.
        excess: Fraction by which an account may exceed its limit in a window.
        slack: Number of operations that may come on top of that.
    """

    window_s: float = 5
    excess: float = 0.1
    slack: float = 20

    def tolerance(self, quota: directory.Quota) -> float:
        """Return the operations per window that are tolerated above a quota."""
        limit = quota.rate_per_s * self.window_s + quota.burst
        return limit * self.excess + self.slack

    def owner(self, quota: directory.Quota) -> token_bucket.BucketSize:
        """Return the bucket of the daemon that is in charge of an account."""
        part = OWNER_PART
        capacity = quota.burst * (1 + part * self.excess) + part * self.slack
        return token_bucket.BucketSize(
            quota.rate_per_s * (1 + part * self.excess), max(capacity, 1)
        )

    def new_owner_level(self, quota: directory.Quota) -> float:
        """Return the tokens with which a new owner starts."""
        return NEW_OWNER_PART * self.tolerance(quota)

    def reserve(self, quota: directory.Quota) -> token_bucket.BucketSize:
        """Return the bucket of a daemon that grants in place of the owner.

        The owner may still grant meanwhile.
        """
        half = RESERVE_PART * self.tolerance(quota) / 2
        return token_bucket.BucketSize(half / self.window_s, half)

    def without_lease(
        self, quota: directory.Quota, share: float
    ) -> token_bucket.BucketSize:
        """Return the bucket of an owner whose store lease has expired.

        It permits no burst.

        Args:
            quota: Limit of the account.
            share: Share of the rate that it may grant, from 0 to 1.
        """
        reserve = self.reserve(quota)
        rate_per_s = max(quota.rate_per_s * share, reserve.rate_per_s)
        return token_bucket.BucketSize(rate_per_s, max(reserve.capacity, 1))

    def unreachable(
        self, quota: directory.Quota, daemons: int
    ) -> token_bucket.BucketSize:
        """Return the bucket of a daemon that reaches no owner.

        All daemons may be in this state at once while an owner grants.

        Args:
            quota: Limit of the account.
            daemons: Number of registered daemons.
        """
        tolerated = UNREACHABLE_PART * self.tolerance(quota) / self.window_s
        rate_per_s = min(quota.rate_per_s, tolerated) / max(daemons, 1)
        return token_bucket.BucketSize(rate_per_s, 1)
