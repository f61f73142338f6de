"""Counters and histograms of a daemon in the Prometheus text format."""

import aioprometheus
from aioprometheus.formats import text

from celeryrelay.gateway import account_metrics

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
# Upper bounds of the buckets of the latency histogram, in milliseconds.
LATENCY_BOUNDS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)


class Metrics:
    """Metrics of one daemon in a separate Prometheus registry.

    Attributes:
        accounts: Metrics by client account.
    """

    def __init__(self) -> None:
        """Register all metrics with the value 0."""
        self._registry = aioprometheus.Registry()
        self.accounts = account_metrics.AccountMetrics(self._registry)
        self._statements = aioprometheus.Counter(
            'celeryrelay_statements_total',
            'Statements by database group, rank and outcome.',
            registry=self._registry,
        )
        self._latency = aioprometheus.Histogram(
            'celeryrelay_statement_milliseconds',
            'Time from a statement to its answer, by rank.',
            registry=self._registry,
            buckets=list(LATENCY_BOUNDS_MS),
        )
        self._events = aioprometheus.Counter(
            'celeryrelay_events_total',
            'Retries, promotions and lost dependencies by kind.',
            registry=self._registry,
        )
        self._levels = aioprometheus.Gauge(
            'celeryrelay_level',
            'Sessions, connections and configuration version.',
            registry=self._registry,
        )

    def statement(
        self,
        group: str,
        rank: str,
        outcome: str,
        duration_ms: float,
    ) -> None:
        """Count a statement and record its duration.

        Args:
            group: Name of the database group.
            rank: Priority class of the statement.
            outcome: How the statement ended.
            duration_ms: Time from the statement to its answer.
        """
        self._statements.inc({'group': group, 'rank': rank, 'outcome': outcome})
        self._latency.observe({'rank': rank}, duration_ms)

    def event(self, kind: str) -> None:
        """Count an event of a kind, such as `write_retried`."""
        self._events.inc({'kind': kind})

    def level(self, kind: str, level: float) -> None:
        """Set the gauge of a kind, such as `sessions`."""
        self._levels.set({'kind': kind}, level)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self._registry)
