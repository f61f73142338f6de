"""Numbered batches in which an entry instance reports its counts."""

import collections
import dataclasses
import typing
from collections import abc

import orjson
import pydantic
import result

from celeryrelay.accounting import outcome_classes
from celeryrelay.conf import settings
from celeryrelay.core import errors, identity, outcomes, ranks

MS_PER_SECOND = 1000
# Delays are summed as integer microseconds because a sum of floats depends on
# the order in which batches are merged.
US_PER_MS = 1000
FIRST_SEQUENCE = 1

NonNegativeInt = typing.Annotated[int, pydantic.Field(ge=0)]
PositiveInt = typing.Annotated[int, pydantic.Field(ge=1)]

# Number of statements by outcome name, `<class>` or `<class>:<reason>`.
OutcomeCounts = dict[str, NonNegativeInt]
RankCounts = dict[ranks.Rank, OutcomeCounts]
GroupCounts = dict[str, RankCounts]

# Number of delayed statements and their total delay in microseconds, by cause.
CauseDelays = dict[outcomes.DelayCause, tuple[NonNegativeInt, NonNegativeInt]]
RankDelays = dict[ranks.Rank, CauseDelays]
GroupDelays = dict[str, RankDelays]

_STRICT = pydantic.ConfigDict(extra='forbid')


@dataclasses.dataclass(frozen=True, slots=True)
class FailoverRecord:
    """One completed failover of a database group.

    `waiting_ms` and `raising_ms` overlap: the term of the slots is raised
    during the wait for the end of the acknowledgement window.

    Attributes:
        group: Name of the database group.
        term: Term that the failover opened.
        completed_ms: Unix time of completion in milliseconds.
        detection_ms: From the first failed probe to the decision to fail over.
        closing_ms: Writing the closed term record.
        waiting_ms: Waiting for the end of the acknowledgement window.
        raising_ms: Raising the term of the slots.
        promoting_ms: Promoting a slot and making the others follow it.
        opening_ms: Writing the open term record.
        lost_positions: Log positions of the old primary that the new one
            doesn't have; None if their number is unknown.
    """

    __pydantic_config__ = _STRICT

    group: str
    term: int
    completed_ms: int
    detection_ms: float
    closing_ms: float
    waiting_ms: float
    raising_ms: float
    promoting_ms: float
    opening_ms: float
    lost_positions: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The counts of a batch that belong to one accounting period.

    Attributes:
        period: Unix time in seconds at which the period starts.
        counts: Number of statements by group, rank and outcome.
        delays: Delays by group, rank and cause.
        failovers: Failovers completed in the period.
    """

    __pydantic_config__ = _STRICT

    period: int
    counts: GroupCounts
    delays: GroupDelays
    failovers: tuple[FailoverRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Counts of one entry instance since its previous batch.

    Attributes:
        deployment: Name of the deployment.
        zone: Availability zone of the entry instance. The store key contains
            this zone and not that of the relay that writes the batch, so that
            a batch has exactly one key per period.
        instance: Peer address of the entry instance.
        incarnation: Random id that the instance draws at each start.
        sequence: Number of the batch, from 1 without gaps.
        sent_ms: Unix time in milliseconds at which the batch was created.
        closing: Whether this is the last batch before the instance stops.
        parts: One part per period, in ascending order; never empty.
    """

    __pydantic_config__ = _STRICT

    deployment: str
    zone: str
    instance: str
    incarnation: str
    sequence: PositiveInt
    sent_ms: int
    closing: bool
    parts: typing.Annotated[tuple[Part, ...], pydantic.Field(min_length=1)]

    @property
    def source(self) -> str:
        """Return the source of the batch, `<instance>/<incarnation>`."""
        return '{0}/{1}'.format(self.instance, self.incarnation)

    @property
    def periods(self) -> tuple[int, ...]:
        """Return the start times of the periods, in the order of the parts."""
        return tuple(part.period for part in self.parts)

    def dump(self) -> bytes:
        """Return the batch as JSON."""
        return orjson.dumps(self, option=orjson.OPT_NON_STR_KEYS)

    @classmethod
    def parse(cls, raw: bytes) -> result.Result[typing.Self, str]:
        """Parse a batch from JSON; the error names the invalid key."""
        try:
            batch = _ADAPTER.validate_json(raw)
        except pydantic.ValidationError as error:
            problem = error.errors()[0]
            return result.Err(
                'account batch: {0}: {1}'.format(
                    '.'.join(str(key) for key in problem['loc']),
                    problem['msg'],
                ),
            )
        if len(set(batch.periods)) < len(batch.periods):
            return result.Err(
                'account batch: parts: two parts have the same period'
            )
        return result.Ok(batch)


_ADAPTER = pydantic.TypeAdapter(Batch)


class BatchBuilder:
    """Counts final outcomes and returns the counts in numbered batches."""

    def __init__(
        self,
        own_identity: identity.Identity,
        deployment: str,
        account_settings: settings.AccountSettings,
    ) -> None:
        """Start with empty counts."""
        self._identity = own_identity
        self._deployment = deployment
        self._period_s = account_settings.period_s
        self._sequence = FIRST_SEQUENCE - 1
        self._last_period = 0
        self._closed = False
        self._counts: collections.Counter = collections.Counter()
        self._delay_counts: collections.Counter = collections.Counter()
        self._delay_totals: collections.Counter = collections.Counter()
        self._failovers: list[tuple[int, FailoverRecord]] = []

    def count(
        self,
        wall_s: float,
        group: str,
        rank: ranks.Rank,
        outcome: outcomes.Outcome,
        delays: abc.Iterable[outcomes.Delay] = (),
    ) -> None:
        """Count a statement; called once per statement, with its final outcome.

        Several delays with the same cause count as one delayed statement.
        """
        self._check_open()
        period = self._period_of(wall_s)
        outcome_class, reason = outcome_classes.classify(outcome)
        name = outcome_classes.outcome_name(outcome_class, reason)
        self._counts[period, group, rank, name] += 1
        causes = set()
        for delay in delays:
            key = (period, group, rank, delay.cause)
            duration_us = round(delay.duration_ms * US_PER_MS)
            if duration_us > 0:
                causes.add(key)
                self._delay_totals[key] += duration_us
        self._delay_counts.update(causes)

    def add_failover(self, wall_s: float, record: FailoverRecord) -> None:
        """Add a failover that this instance completed."""
        self._check_open()
        self._failovers.append((self._period_of(wall_s), record))

    def take_batch(self, wall_s: float) -> Batch | None:
        """Return the counts since the previous batch; None if there are none.

        The first batch is returned even if it is empty, so that the source is
        known from its start. An idle source returns one empty batch per period
        as a heartbeat, so that the end of a crashed source is known to within
        one period.
        """
        idle = not (self._counts or self._failovers)
        is_known = self._sequence >= FIRST_SEQUENCE
        if idle and is_known and self._last_period == self._period_of(wall_s):
            return None
        return self._next_batch(wall_s, closing=False)

    def close(self, wall_s: float) -> Batch:
        """Return the closing batch; nothing may be counted after it."""
        self._check_open()
        self._closed = True
        return self._next_batch(wall_s, closing=True)

    def _next_batch(self, wall_s: float, *, closing: bool) -> Batch:
        self._sequence += 1
        self._last_period = self._period_of(wall_s)
        return Batch(
            self._deployment,
            self._identity.availability_zone,
            self._identity.instance,
            self._identity.incarnation,
            self._sequence,
            int(wall_s * MS_PER_SECOND),
            closing,
            self._take_parts(wall_s),
        )

    def _take_parts(self, wall_s: float) -> tuple[Part, ...]:
        parts: dict[int, Part] = {}
        self._take_counts(parts)
        self._take_delays(parts)
        self._take_failovers(parts)
        if not parts:
            _get_or_add_part(parts, self._period_of(wall_s))
        return tuple(parts[period] for period in sorted(parts))

    def _take_counts(self, parts: dict[int, Part]) -> None:
        for key, number in self._counts.items():
            period, group, rank, name = key
            by_rank = _get_or_add_part(parts, period).counts.setdefault(
                group, {}
            )
            by_rank.setdefault(rank, {})[name] = number
        self._counts.clear()

    def _take_delays(self, parts: dict[int, Part]) -> None:
        for key, total_us in self._delay_totals.items():
            period, group, rank, cause = key
            by_rank = _get_or_add_part(parts, period).delays.setdefault(
                group, {}
            )
            delay = (self._delay_counts[key], total_us)
            by_rank.setdefault(rank, {})[cause] = delay
        self._delay_totals.clear()
        self._delay_counts.clear()

    def _take_failovers(self, parts: dict[int, Part]) -> None:
        for period, record in self._failovers:
            part = _get_or_add_part(parts, period)
            parts[period] = dataclasses.replace(
                part,
                failovers=(*part.failovers, record),
            )
        self._failovers.clear()

    def _period_of(self, wall_s: float) -> int:
        return int(wall_s // self._period_s) * self._period_s

    def _check_open(self) -> None:
        if self._closed:
            raise errors.InvariantError(
                'account changed after its closing batch'
            )


def _get_or_add_part(parts: dict[int, Part], period: int) -> Part:
    return parts.setdefault(period, Part(period, {}, {}))
