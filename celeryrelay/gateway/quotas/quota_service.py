"""Enforcement of the limits on operations, over all daemons together.

Before the first statement of an operation runs, the daemon asks the owner of
the account, and the next daemon in order if the owner doesn't answer.
"""

from collections import abc

from celeryrelay.accounts import directory as accounts
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes
from celeryrelay.gateway import directory, interfaces, metrics, settings
from celeryrelay.gateway.links import link_messages, peer_registry
from celeryrelay.gateway.quotas import quota_daemons, quota_log, quota_requests
from celeryrelay.quotas import granting, limits, refusals, unused_grants

# Refusals after which a caller may retry, and no part of the operation ran.
_REUSABLE_REASONS = frozenset(
    (
        outcomes.Reason.overload,
        outcomes.Reason.deadline,
        outcomes.Reason.no_holder,
        outcomes.Reason.no_primary,
        outcomes.Reason.lagging,
        outcomes.Reason.leaving,
        outcomes.Reason.connections,
    )
)


class QuotaService:
    """Requests operations for callers, and grants them to other daemons."""

    def __init__(
        self,
        options: settings.Settings,
        server_directory: directory.Directory,
        peers: peer_registry.PeerRegistry,
        registration: quota_daemons.StoreRegistration,
        gateway_metrics: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Create the service; it limits nothing without `quota_bounds`.

        Args:
            options: Settings with the bounds.
            server_directory: Configuration and registered daemons.
            peers: Links to other daemons.
            registration: Shows whether this daemon may act as owner.
            gateway_metrics: Counts decisions.
            clock: Source of the time.
        """
        self._is_in_force = options.quota_bounds is not None
        self._directory = server_directory
        self._metrics = gateway_metrics
        self._clock = clock
        self._log = quota_log.RefusalLog(clock)
        self._memory = refusals.RefusalMemory()
        self._unused = unused_grants.UnusedGrants()
        bounds = options.quota_bounds or limits.QuotaBounds()
        self._daemons = quota_daemons.QuotaDaemons(
            options.instance,
            bounds,
            server_directory,
            peers,
            registration,
            clock,
        )
        self._requests = quota_requests.QuotaRequests(
            self._daemons,
            refusals.UnreachableGrants(bounds),
            self._memory,
            clock,
        )

    async def run(
        self,
        account_name: str,
        run_operation: abc.Callable[[], abc.Awaitable[interfaces.Answer]],
    ) -> interfaces.Answer:
        """Run the first statement of an operation if the limit permits it.

        Args:
            account_name: Account of the operation, empty for none.
            run_operation: Runs the statement.
        """
        if self._limited_account(account_name) is None:
            return await run_operation()
        requested_at = self._clock.monotonic()
        reused_at = self._unused.take(account_name, requested_at)
        if reused_at is None:
            refusal = await self.request(account_name)
            if refusal is not None:
                return refusal
        else:
            requested_at = reused_at
        answer = await run_operation()
        match answer:
            case outcomes.NotRun(reason) if reason in _REUSABLE_REASONS:
                self._unused.add(account_name, requested_at)
        return answer

    async def request(self, account_name: str) -> outcomes.NotRun | None:
        """Request one operation; return the refusal if it may not run."""
        account = self._limited_account(account_name)
        if account is None:
            return None
        if self._memory.is_refused(account_name, self._clock.monotonic()):
            return self._refuse(account, quota_requests.Decider.memory.value)
        decided = await self._requests.request(account)
        if not decided.is_granted:
            return self._refuse(account, decided.daemon or decided.kind.value)
        self._metrics.event('quota_granted_by_{0}'.format(decided.kind.value))
        return None

    def answer(
        self, member: str, request: link_messages.RequestQuota
    ) -> link_messages.QuotaAnswer:
        """Answer the request of another daemon.

        Args:
            member: Name of the daemon.
            request: Its request.
        """
        decision = granting.Decision()
        account = self._limited_account(request.account)
        if account is not None:
            self._metrics.event('quota_request_answered')
            decision = self._daemons.decide(member, account, request.count)
        return link_messages.QuotaAnswer(
            request.request_id,
            decision.granted,
            round(decision.retry_after_s * 1000),
        )

    def maintain(self) -> None:
        """Apply changes of the registered daemons. Called periodically."""
        if self._is_in_force:
            self._daemons.maintain()

    def _limited_account(self, name: str) -> accounts.ClientAccount | None:
        """Return an account if its operations are limited, otherwise None."""
        configuration = self._directory.configuration
        if not self._is_in_force or configuration is None:
            return None
        account = configuration.accounts.named(name)
        return account if account and account.quota else None

    def _refuse(
        self, account: accounts.ClientAccount, decided_by: str
    ) -> outcomes.NotRun:
        quota = account.quota
        retry_after_ms = self._memory.caller_retry_ms(
            account.name, self._clock.monotonic()
        )
        self._metrics.event('quota_refused')
        self._log.on_refused(account, decided_by, retry_after_ms)
        return outcomes.NotRun(
            outcomes.Reason.quota,
            'the client account has a limit of {0:g} operations/s with a '
            'burst of {1:g}'.format(quota.rate_per_s, quota.burst),
            retry_after_ms,
        )
