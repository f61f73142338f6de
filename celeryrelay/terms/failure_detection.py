"""Evidence that the primary of a database group doesn't answer."""

import dataclasses
from collections import abc

from celeryrelay.conf import settings

MS_PER_S = 1000

# One zone alone can be cut off from a primary that serves all the others.
REQUIRED_ZONES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeSummary:
    """What one observer saw of a slot.

    Attributes:
        zone: Availability zone of the observer.
        instance: Instance of the observer.
        failures: Failed probes since the last answer.
        span_ms: Time between the first and the last of them.
        answered_age_ms: Time since the last answer; None if there was none.
        age_ms: Time since the last probe.
    """

    zone: str
    instance: str
    failures: int
    span_ms: float
    answered_age_ms: float | None
    age_ms: float

    def aged(self, elapsed_ms: float) -> 'ProbeSummary':
        """Return the summary as it stands `elapsed_ms` later."""
        answered = self.answered_age_ms
        return dataclasses.replace(
            self,
            answered_age_ms=None if answered is None else answered + elapsed_ms,
            age_ms=self.age_ms + elapsed_ms,
        )


class ProbeHistory:
    """Probes of one slot by one observer."""

    def __init__(self, zone: str, instance: str) -> None:
        """Start without any probe."""
        self._zone = zone
        self._instance = instance
        self._failures = 0
        self._first_failure_at: float = 0
        self._answered_at: float | None = None
        self._probed_at: float | None = None

    def on_probe(self, answered: bool, now: float) -> None:
        """Record the result of a probe.

        An answer that arrives after its probe counted as failed is recorded
        as well, since a slow primary is alive.

        Args:
            answered: Whether the slot answered.
            now: Monotonic time of the result in seconds.
        """
        self._probed_at = now
        if answered:
            self._failures = 0
            self._answered_at = now
            return
        if not self._failures:
            self._first_failure_at = now
        self._failures += 1

    def summary(self, now: float) -> ProbeSummary | None:
        """Return the summary at monotonic time `now`; None before a probe."""
        if self._probed_at is None:
            return None
        return ProbeSummary(
            zone=self._zone,
            instance=self._instance,
            failures=self._failures,
            span_ms=self._span_ms(),
            answered_age_ms=_elapsed_ms(self._answered_at, now),
            age_ms=(now - self._probed_at) * MS_PER_S,
        )

    def _span_ms(self) -> float:
        if not self._failures or self._probed_at is None:
            return 0
        return (self._probed_at - self._first_failure_at) * MS_PER_S


def primary_is_down(
    summaries: abc.Iterable[ProbeSummary],
    config: settings.TermSettings,
    zone_count: int,
) -> bool:
    """Return whether the evidence permits replacing the primary.

    Evidence older than `probe_span_ms` counts for nothing: a primary that
    answered before that had time to fail since, and an observer that has been
    silent for as long may itself be the one that is cut off.

    Args:
        summaries: Evidence from observers, aged to the present.
        config: Timing of probes.
        zone_count: Number of availability zones in the deployment.
    """
    newest = _newest(summaries)
    if any(_answers(summary, config) for summary in newest):
        return False
    zones = {summary.zone for summary in newest if _is_silent(summary, config)}
    return len(zones) >= max(1, min(REQUIRED_ZONES, zone_count))


def _newest(summaries: abc.Iterable[ProbeSummary]) -> list[ProbeSummary]:
    by_instance: dict[str, ProbeSummary] = {}
    for summary in summaries:
        known = by_instance.setdefault(summary.instance, summary)
        if summary.age_ms < known.age_ms:
            by_instance[summary.instance] = summary
    return list(by_instance.values())


def _answers(summary: ProbeSummary, config: settings.TermSettings) -> bool:
    answered = summary.answered_age_ms
    return answered is not None and answered < config.probe_span_ms


def _is_silent(summary: ProbeSummary, config: settings.TermSettings) -> bool:
    return (
        summary.age_ms < config.probe_span_ms
        and summary.failures >= config.probe_failures
        and summary.span_ms >= config.probe_span_ms
    )


def _elapsed_ms(since: float | None, now: float) -> float | None:
    return None if since is None else (now - since) * MS_PER_S
