"""Counters and histograms by client account in the Prometheus text format."""

import enum

import aioprometheus

# Accounts with a label of their own; the others share `OTHER_ACCOUNTS`. It
# keeps the metrics page below 100 kB.
MAX_LABELS = 100
# A name of an account contains no space.
OTHER_ACCOUNTS = 'other accounts'
# Upper bounds of the buckets of the latency histogram, in milliseconds.
LATENCY_BOUNDS_MS = (10, 50, 250, 1000, 5000)


class ConnectionEvent(enum.StrEnum):
    """What happened to a connection of an account.

    Attributes:
        reused: A statement got an idle connection of its account.
        opened: A connection was opened for a statement.
        replaced: An idle connection was closed in favour of another account.
    """

    reused = 'reused'
    opened = 'opened'
    replaced = 'replaced'


class AccountMetrics:
    """Metrics of the client accounts of one daemon.

    Statements that belong to no account are not counted.
    """

    def __init__(self, registry: aioprometheus.Registry) -> None:
        """Register the metrics without any account."""
        self._labels: set[str] = set()
        self._statements = aioprometheus.Counter(
            'celeryrelay_account_statements_total',
            'Statements of callers by client account and outcome.',
            registry=registry,
        )
        self._latency = aioprometheus.Histogram(
            'celeryrelay_account_statement_milliseconds',
            'Time from a statement to its answer, by client account.',
            registry=registry,
            buckets=list(LATENCY_BOUNDS_MS),
        )
        self._connections = aioprometheus.Counter(
            'celeryrelay_account_connections_total',
            'Connections of this daemon by client account and event.',
            registry=registry,
        )

    def statement(self, account: str, outcome: str, duration_ms: float) -> None:
        """Count a statement and record its duration.

        Args:
            account: Name of the client account, empty for none.
            outcome: How the statement ended; only what precedes a colon counts.
            duration_ms: Time from the statement to its answer.
        """
        if not account:
            return
        label = self._label(account)
        kind, _, _ = outcome.partition(':')
        self._statements.inc({'account': label, 'outcome': kind})
        self._latency.observe({'account': label}, duration_ms)

    def connection(self, account: str, event: ConnectionEvent) -> None:
        """Count what happened to a connection of an account."""
        if account:
            self._connections.inc(
                {'account': self._label(account), 'event': event.value}
            )

    def _label(self, account: str) -> str:
        if account in self._labels:
            return account
        if len(self._labels) >= MAX_LABELS:
            return OTHER_ACCOUNTS
        self._labels.add(account)
        return account
