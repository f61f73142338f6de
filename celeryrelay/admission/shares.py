"""Weighted fair sharing of the connection time among ranks."""

from collections import abc

from celeryrelay.conf import sets
from celeryrelay.core import ranks

# Largest connection time that a rank can use ahead of its share and is charged
# for, in milliseconds per unit of share. At 200 ms, long statements of a rank
# with a small share were not charged in full.
MAX_LEAD_MS = 1000


class FairShares:
    """Chooses the rank that is furthest behind its share.

    Each rank has a virtual time: the connection time that it has used divided
    by its share. A rank that was idle resumes at the virtual time of the other
    ranks, so that it does not accumulate credit while idle.
    """

    def __init__(
        self,
        policies: abc.Mapping[ranks.Rank, sets.RankPolicy],
    ) -> None:
        """Use the shares of `policies`."""
        self._shares = {rank: policy.share for rank, policy in policies.items()}
        self._virtual_times: dict[ranks.Rank, float] = dict.fromkeys(
            policies, 0
        )
        self._virtual_ms: float = 0

    def activate(self, rank: ranks.Rank) -> None:
        """Let `rank` compete again after it was idle."""
        self._virtual_times[rank] = max(
            self._virtual_times[rank], self._virtual_ms
        )

    def choose(self, waiting: abc.Iterable[ranks.Rank]) -> ranks.Rank:
        """Return the rank among `waiting` that is furthest behind."""
        chosen = min(waiting, key=self._virtual_times.__getitem__)
        self._virtual_ms = max(self._virtual_ms, self._virtual_times[chosen])
        return chosen

    def charge(self, rank: ranks.Rank, connection_ms: float) -> None:
        """Charge connection time to `rank`; a negative time corrects a charge.

        The rank gets at most `MAX_LEAD_MS` ahead of the common virtual time.
        """
        virtual_time = (
            self._virtual_times[rank] + connection_ms / self._shares[rank]
        )
        self._virtual_times[rank] = min(
            virtual_time, self._virtual_ms + MAX_LEAD_MS
        )

    def fraction(
        self,
        rank: ranks.Rank,
        competing: abc.Iterable[ranks.Rank],
    ) -> float:
        """Return the fraction of the connection time that `rank` receives.

        Only `rank` itself and the ranks in `competing` count.
        """
        active = {rank, *competing}
        total = sum(self._shares[other] for other in active)
        return self._shares[rank] / total
