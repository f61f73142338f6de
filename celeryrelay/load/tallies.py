"""Counts and latencies that a load run collects."""

import collections
import dataclasses
import enum

from hdrh import histogram

from celeryrelay.load import plans

HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_SECOND = 1_000_000
# Milliseconds in a second, and also microseconds in a millisecond.
MILLISECONDS = 1000
MEDIAN = 50
P99 = 99


class StatementResult(enum.StrEnum):
    """Result of a statement as far as its caller knows."""

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
        sent: Statements that a caller ran or tried to run.
        unsent: Statements that were still queued when the run ended.
        results: Statements by result.
        errors: Statements by error code.
        latency_us: Latencies of served statements in microseconds, measured
            from their arrival time, so that time in the queue counts.
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
        """Count one statement that was sent.

        Args:
            result: Its result.
            code: MySQL error code, 0 without an error.
            latency_s: Time since its arrival in seconds.
        """
        self.sent += 1
        self.results[result] += 1
        if code:
            self.errors[code] += 1
        if result is StatementResult.served:
            latency_us = max(1, int(latency_s * US_PER_SECOND))
            self.latency_us.record_value(min(latency_us, HIGHEST_LATENCY_US))

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the served latencies in milliseconds."""
        latency_us = self.latency_us.get_value_at_percentile(percentile)
        return float(latency_us) / MILLISECONDS


@dataclasses.dataclass(slots=True)
class GroupTally:
    """Bookings written to one database group.

    Attributes:
        keys_by_result: Keys of the bookings by result.
        served_at: Monotonic times at which bookings were acknowledged.
    """

    keys_by_result: dict[StatementResult, list[str]] = dataclasses.field(
        default_factory=lambda: {result: [] for result in StatementResult},
    )
    served_at: list[float] = dataclasses.field(default_factory=list)

    def longest_gap_ms(self, start: float, end: float) -> float:
        """Return the longest interval without a served booking.

        Args:
            start: Monotonic time at which the first interval starts.
            end: Monotonic time at which the last interval ends.
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
    """Read-your-writes checks.

    Attributes:
        checks: Reads of a booking that the same session had written.
        violations: Keys of bookings that such a read did not find.
        roams: Times that a caller moved to another entry instance.
    """

    checks: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    roams: int = 0


@dataclasses.dataclass(slots=True)
class ReadCounts:
    """Reads served by primaries and replicas, as entry instances report."""

    primary: int = 0
    replica: int = 0

    @property
    def replica_share(self) -> float | None:
        """Return the share of reads served by replicas, None without reads."""
        total = self.primary + self.replica
        return self.replica / total if total else None


@dataclasses.dataclass(slots=True)
class Tally:
    """All measurements of a run.

    Attributes:
        ranks: Counts and latencies by rank.
        groups: Bookings by database group.
        sessions: Read-your-writes checks of all sessions.
        reads: Reads during the run by the role of the slot.
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
