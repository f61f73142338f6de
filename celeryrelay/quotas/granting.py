"""Decisions of a daemon that other daemons ask about an account's limit.

Answers the load of accounts whose operations, over all daemons, approach or
exceed their limits. Each operation is asked about once.

This module does no I/O. The caller passes in the time, in seconds of a
monotonic clock.
"""

import dataclasses
import enum
import math
from collections import abc

from celeryrelay.accounts import directory
from celeryrelay.quotas import limits, ownership, token_bucket

# Bounds of the time, in seconds, after which a refused daemon asks again. The
# bucket keeps the tokens that are added meanwhile.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 1.0
# Time in seconds in which a daemon that asked counts as reachable.
HEARD_S = 5.0
# Share of the daemons that has to ask an owner without a store lease before it
# may grant the whole rate.
FULL_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Answer to a request for operations.

    Attributes:
        granted: Number of operations that may run.
        retry_after_s: Time in seconds after which to ask again for the others;
            0 if this daemon doesn't decide, so that the next one is asked.
    """

    granted: int = 0
    retry_after_s: float = 0


class Authority(enum.Enum):
    """Whether a daemon may act as the owner of accounts.

    Attributes:
        registered: Its registration is certainly in the store, so that no
            other daemon can have taken its place.
        unconfirmed: Its registration may have expired.
        isolated: It reaches neither the store nor the primary of some group,
            so other daemons have probably taken its place.
    """

    registered = 'registered'
    unconfirmed = 'unconfirmed'
    isolated = 'isolated'


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a daemon knows about itself and other daemons.

    Attributes:
        now: Time in seconds.
        authority: Whether it may act as owner.
        has_ended: Returns whether the process of a daemon has certainly ended,
            although it is still registered.
    """

    now: float
    authority: Authority = Authority.registered
    has_ended: abc.Callable[[str], bool] | None = None


class Granter:
    """Grants the operations of the accounts that a daemon is in charge of."""

    def __init__(
        self,
        own_name: str,
        bounds: limits.QuotaBounds,
        owners: ownership.Ownership,
    ) -> None:
        """Grant within `bounds` as the daemon `own_name`."""
        self._own_name = own_name
        self._bounds = bounds
        self._owners = owners
        self._dropped_at: dict[str, float] = {}
        self._owned: dict[str, token_bucket.TokenBucket] = {}
        self._reserves: dict[str, token_bucket.TokenBucket] = {}
        self._heard_at: dict[str, float] = {}

    def decide(
        self,
        asker: str,
        account: directory.ClientAccount,
        count: int,
        situation: Situation,
    ) -> Decision:
        """Grant as many of `count` operations as the limit permits.

        Args:
            asker: Daemon that wants to run the operations.
            account: The account, which has a quota.
            count: Number of operations.
            situation: What this daemon knows about itself and others.
        """
        now = situation.now
        self._heard_at[asker] = now
        position = self._owners.position(account.name, now, situation.has_ended)
        is_isolated = situation.authority is Authority.isolated
        if position is ownership.Position.owner and not is_isolated:
            bucket = self._owned_bucket(account, situation)
            granted = bucket.take(count, now)
            return Decision(granted, _retry_after_s(bucket, now))
        self._drop(account.name, now)
        if position is ownership.Position.other:
            return Decision()
        return Decision(self._reserve(account, now).take(count, now))

    def maintain(self, situation: Situation) -> None:
        """Forget the buckets of accounts that now have another owner.

        The present owner grants from a bucket of its own, so tokens saved up
        here would be granted twice after a return.
        """
        for account in tuple(self._owned):
            position = self._owners.position(
                account, situation.now, situation.has_ended
            )
            if position is not ownership.Position.owner:
                self._drop(account, situation.now)

    def _drop(self, account: str, now: float) -> None:
        if self._owned.pop(account, None) is not None:
            self._dropped_at[account] = now

    def _owned_bucket(
        self, account: directory.ClientAccount, situation: Situation
    ) -> token_bucket.TokenBucket:
        now = situation.now
        size = self._bounds.owner(account.quota)
        bucket = self._owned.get(account.name)
        if bucket is None:
            level = self._start_level(account, now)
            bucket = token_bucket.TokenBucket(size, level, now)
            self._owned[account.name] = bucket
        if situation.authority is Authority.unconfirmed:
            share = min(self._heard_share(now) / FULL_SHARE, 1)
            size = self._bounds.without_lease(account.quota, share)
        bucket.resize(size, now)
        return bucket

    def _start_level(
        self, account: directory.ClientAccount, now: float
    ) -> float:
        """Return the tokens with which this daemon takes charge.

        Tokens are saved up only for the time in which no other daemon can
        have granted operations.
        """
        quota = account.quota
        dropped_at = self._dropped_at.get(account.name, -math.inf)
        level = 0
        if now - dropped_at > self._bounds.window_s:
            level = self._bounds.new_owner_level(quota)
        position = self._owners.position(account.name, now)
        if position is ownership.Position.owner:
            saved_for_s = min(self._owners.owner_for_s(now), now - dropped_at)
            level += saved_for_s * quota.rate_per_s
        return level

    def _reserve(
        self, account: directory.ClientAccount, now: float
    ) -> token_bucket.TokenBucket:
        size = self._bounds.reserve(account.quota)
        bucket = self._reserves.get(account.name)
        if bucket is None:
            bucket = token_bucket.TokenBucket(size, size.capacity, now)
            self._reserves[account.name] = bucket
        bucket.resize(size, now)
        return bucket

    def _heard_share(self, now: float) -> float:
        """Return the share of the daemons that have asked recently."""
        heard = sum(
            1
            for name, heard_at in self._heard_at.items()
            if now - heard_at <= HEARD_S and name != self._own_name
        )
        return (heard + 1) / max(self._owners.daemons, 1)


def _retry_after_s(bucket: token_bucket.TokenBucket, now: float) -> float:
    return min(max(bucket.wait_s(now), MIN_RETRY_S), MAX_RETRY_S)
