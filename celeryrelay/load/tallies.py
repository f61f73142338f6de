"""Counts and latencies of a load run."""

import collections
import dataclasses
import enum

from hdrh import histogram

from celeryrelay.load import plans

HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000
MILLISECONDS = 1000
MEDIAN = 50
P99 = 99


class StatementResult(enum.StrEnum):
    """What became of a statement as its caller saw it."""

    served = 'served'
    not_run = 'not_run'
    unknown = 'unknown'
    failed = 'failed'


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True)
class RankTally:
    """Counts and latencies of one rank.

    Attributes:
        sent: Statements that were sent.
        unsent: Statements still waiting for a caller at the end.
        results: Statements by result.
        errors: Statements by error code.
        latency_us: Latencies of served statements in microseconds, measured
            from the intended send time.
    """

    sent: int = 0
    unsent: int = 0
    results: collections.Counter[StatementResult] = dataclasses.field(
        default_factory=collections.Counter,
    )
    errors: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    latency_us: histogram.HdrHistogram = dataclasses.field(
        default_factory=_new_histogram,
    )

    def add(self, result: StatementResult, code: int, latency_s: float) -> None:
        """Count one statement."""
        self.sent += 1
        self.results[result] += 1
        if code:
            self.errors[code] += 1
        if result is StatementResult.served:
            latency_us = max(1, int(latency_s * MICROSECONDS))
            self.latency_us.record_value(min(latency_us, HIGHEST_LATENCY_US))

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        latency_us = self.latency_us.get_value_at_percentile(percentile)
        return float(latency_us) / MILLISECONDS


@dataclasses.dataclass(slots=True)
class GroupTally:
    """Bookings of one group by key and result, and when they were served."""

    keys_by_result: dict[StatementResult, list[str]] = dataclasses.field(
        default_factory=lambda: {result: [] for result in StatementResult},
    )
    served_at: list[float] = dataclasses.field(default_factory=list)

    def longest_gap_ms(self, start: float, end: float) -> float:
        """Return the longest time without a served booking.

        Args:
            start: Monotonic time from which gaps count.
            end: Monotonic time up to which they count.
        """
        inside = [at for at in self.served_at if start <= at <= end]
        edges = [start, *sorted(inside), end]
        gaps = (
            later - earlier
            for earlier, later in zip(edges, edges[1:], strict=False)
        )
        return max(gaps) * MILLISECONDS


@dataclasses.dataclass(slots=True)
class SessionTally:
    """Checks that sessions see their own writes."""

    checks: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    roams: int = 0


@dataclasses.dataclass(slots=True)
class ReadCounts:
    """Reads that entry instances report by the role of the slot."""

    primary: int = 0
    replica: int = 0

    @property
    def replica_share(self) -> float | None:
        """Return the share served by replicas, None without reads."""
        total = self.primary + self.replica
        return self.replica / total if total else None


@dataclasses.dataclass(slots=True)
class Tally:
    """Everything that a run measures.

    Attributes:
        started_at: Monotonic time of the start.
        ended_at: Monotonic time of the last arrival.
    """

    ranks: dict[plans.Rank, RankTally] = dataclasses.field(
        default_factory=lambda: {rank: RankTally() for rank in plans.Rank},
    )
    groups: dict[str, GroupTally] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(GroupTally),
    )
    sessions: SessionTally = dataclasses.field(default_factory=SessionTally)
    reads: ReadCounts = dataclasses.field(default_factory=ReadCounts)
    started_at: float = 0
    ended_at: float = 0
