"""Recording of statement outcomes in the account, metrics and event log."""

from celeryrelay.accounting import batches
from celeryrelay.adapters import metrics
from celeryrelay.conf import sets
from celeryrelay.core import clock, outcomes
from celeryrelay.timeline import events


class OutcomeRecorder:
    """Counts each statement once, on the entry that its caller is connected to.

    Attributes:
        served: Statements with a result.
        refused: Statements that were not run.
        unknown: Statements whose outcome is unknown.
        reads_replica: Reads that a replica served.
        reads_primary: Reads that the primary served.
    """

    def __init__(
        self,
        builder: batches.BatchBuilder,
        counters: metrics.Metrics,
        log: events.EventLog,
        ticker: clock.Clock,
    ) -> None:
        """Create a recorder with all counts at 0."""
        self.served = 0
        self.refused = 0
        self.unknown = 0
        self.reads_replica = 0
        self.reads_primary = 0
        self._builder = builder
        self._metrics = counters
        self._events = log
        self._clock = ticker

    def record(
        self,
        request: str,
        route: sets.Route,
        outcome: outcomes.Outcome,
        *,
        is_read: bool,
    ) -> None:
        """Count a statement with its final outcome."""
        delays = outcome.delays if isinstance(outcome, outcomes.Done) else ()
        self._builder.count(
            self._clock.wall(),
            route.group,
            route.rank,
            outcome,
            delays,
        )
        self._metrics.statement(route.group, route.rank, outcome)
        match outcome:
            case outcomes.Done():
                self.served += 1
                if is_read:
                    self._count_read(route, outcome)
                self._emit_hold(request, route, outcome)
            case outcomes.NotRun():
                self.refused += 1
                self._emit(request, route, 'statement_refused', outcome.reason)
            case outcomes.OutcomeUnknown():
                self.unknown += 1
                self._emit(request, route, 'statement_unknown', outcome.reason)

    def _count_read(self, route: sets.Route, done: outcomes.Done) -> None:
        if done.from_replica:
            self.reads_replica += 1
            self._metrics.read(route.group, metrics.ServedBy.replica)
        else:
            self.reads_primary += 1
            self._metrics.read(route.group, metrics.ServedBy.primary)

    def _emit_hold(
        self,
        request: str,
        route: sets.Route,
        done: outcomes.Done,
    ) -> None:
        for delay in done.delays:
            if delay.cause is outcomes.DelayCause.failover_hold:
                self._events.emit(
                    'statement_held',
                    request=request,
                    group=route.group,
                    rank=route.rank,
                    held_ms=round(delay.duration_ms),
                )

    def _emit(
        self,
        request: str,
        route: sets.Route,
        kind: str,
        reason: outcomes.Reason,
    ) -> None:
        self._events.emit(
            kind,
            request=request,
            group=route.group,
            rank=route.rank,
            reason=reason,
        )
