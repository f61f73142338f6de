"""Metrics of one daemon in the Prometheus text format."""

import enum

import aioprometheus
from aioprometheus.formats import text

from celeryrelay.accounting import outcome_classes
from celeryrelay.core import outcomes, ranks

CONTENT_TYPE = text.TEXT_CONTENT_TYPE


class ServedBy(enum.StrEnum):
    """Role of the database slot that served a read."""

    primary = 'primary'
    replica = 'replica'


class Metrics:
    """The metrics of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        """Create all metrics without any samples."""
        self._registry = aioprometheus.Registry()
        self._statements = self._counter(
            'statements_total',
            'Statements by final outcome.',
        )
        self._reads = self._counter(
            'reads_total',
            'Reads by the role of the slot that served them.',
        )
        self._forwards = self._counter(
            'forwards_total',
            'Statements passed on to another daemon.',
        )
        self._failovers = self._counter(
            'failovers_total',
            'Failovers that this daemon completed.',
        )
        self._revision = self._gauge(
            'configuration_revision',
            'Revision of the configuration in force.',
        )
        self._staleness = self._gauge(
            'configuration_staleness_seconds',
            'Time since the revision was last confirmed by the store.',
        )
        self._queue_length = self._gauge(
            'queue_length',
            'Statements that wait at the holder.',
        )
        self._connections = self._gauge(
            'connections',
            'Open connections by kind.',
        )

    def statement(
        self,
        group: str,
        rank: ranks.Rank,
        outcome: outcomes.Outcome,
    ) -> None:
        """Count a statement with its final outcome."""
        outcome_class, reason = outcome_classes.classify(outcome)
        self._statements.inc(
            {
                'group': group,
                'rank': rank.value,
                'outcome': outcome_class.value,
                'reason': reason,
            },
        )

    def read(self, group: str, served_by: ServedBy) -> None:
        """Count a read that was served."""
        self._reads.inc({'group': group, 'served_by': served_by.value})

    def forward(self, group: str) -> None:
        """Count a statement that was forwarded to another daemon."""
        self._forwards.inc({'group': group})

    def failover(self, group: str) -> None:
        """Count a failover that this daemon completed."""
        self._failovers.inc({'group': group})

    def configuration(self, revision: int, staleness_s: float) -> None:
        """Set the active configuration revision and its staleness.

        Args:
            revision: Revision of the configuration.
            staleness_s: Time since the store last confirmed the revision.
        """
        self._revision.set({}, revision)
        self._staleness.set({}, staleness_s)

    def queue_length(self, group: str, slot: str, length: int) -> None:
        """Set the number of statements that wait for a database slot."""
        self._queue_length.set({'group': group, 'slot': slot}, length)

    def connections(self, kind: str, count: int) -> None:
        """Set the number of open connections of `kind`."""
        self._connections.set({'kind': kind}, count)

    def render(self) -> bytes:
        """Return the response body for `GET /metrics`."""
        return text.TextFormatter().marshall(self._registry)

    def _counter(self, name: str, description: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            'celeryrelay_{0}'.format(name),
            description,
            registry=self._registry,
        )

    def _gauge(self, name: str, description: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            'celeryrelay_{0}'.format(name),
            description,
            registry=self._registry,
        )
