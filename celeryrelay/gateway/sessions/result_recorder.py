"""Metrics and log lines for the answers to callers' statements."""

from celeryrelay.adapters import json_log
from celeryrelay.core import outcomes
from celeryrelay.gateway import catalog, commands, interfaces, services
from celeryrelay.gateway.sessions import session_state


_REFUSED_BY_QUOTA = 'not run: {0}'.format(outcomes.Reason.quota.value)


class ResultRecorder:
    """Records the answer to each statement, for all sessions of a daemon."""

    def __init__(self, shared: services.Services) -> None:
        """Record with the clock and the metrics of `shared`."""
        self._shared = shared
        self._log = json_log.get('session')

    def record(
        self,
        context: session_state.StatementContext,
        answer: interfaces.Answer,
        caller_left: bool,
    ) -> None:
        """Count an answer; log it unless it was a success in time.

        Args:
            context: The statement.
            answer: Its answer.
            caller_left: Whether the caller's connection has closed meanwhile.
        """
        shared = self._shared
        now = shared.clock.monotonic()
        duration_ms = (now - context.received_at) * 1000
        outcome = _outcome_name(answer)
        route = context.route
        shared.metrics.statement(
            route.group,
            route.rank.value,
            outcome,
            duration_ms,
        )
        shared.metrics.accounts.statement(context.account, outcome, duration_ms)
        fields = {
            'request': context.request_id,
            'group': route.group,
            'rank': route.rank.value,
            'outcome': outcome,
            'duration_ms': round(duration_ms, 1),
            'configuration': version_of(shared.directory.configuration),
        }
        is_late = duration_ms > route.target_ms
        # Refusals by quota have log lines of their own, of bounded number.
        is_expected = outcome in {'served', _REFUSED_BY_QUOTA} and not is_late
        if is_expected and not caller_left:
            self._log.debug('statement answered', **fields)
            return
        if caller_left:
            fields['caller_left'] = True
        if not isinstance(answer, commands.Reply):
            fields['cause'] = answer.message
        fields.update(shared.primaries.log_fields(route.group))
        self._log.info('statement answered', **fields)


def version_of(configuration: catalog.Configuration | None) -> int:
    """Return the version of a configuration, 0 without one."""
    return configuration.version if configuration else 0


def _outcome_name(answer: interfaces.Answer) -> str:
    match answer:
        case outcomes.NotRun(reason):
            return 'not run: {0}'.format(reason.value)
        case outcomes.OutcomeUnknown(reason):
            return 'unknown: {0}'.format(reason.value)
        case commands.Reply(error=None):
            return 'served'
        case commands.Reply(error=error):
            return 'server error: {0}'.format(error.value)
