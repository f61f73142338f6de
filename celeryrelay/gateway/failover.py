"""Failover: decides when to replace a primary and orders the promotion."""

import asyncio
import dataclasses
import typing

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import (
    catalog,
    commands,
    complaints,
    failover_facts,
    interfaces,
    offices,
    promotion_candidates,
    promotion_choice,
    registration,
    replica_holds,
    server_calls,
    services,
)
from celeryrelay.terms import primary_replacement

CHECK_INTERVAL_S = 0.1
STATUS_TIMEOUT_S = 0.35
# Time-out for the status of a server that has already failed to answer.
SUSPECTED_TIMEOUT_S = 0.1
# Longest wait for a replica to catch up with a primary that stepped down.
CATCH_UP_TIMEOUT_S = 0.4
CATCH_UP_PAUSE_S = 0.03
# A primary that a peer complains about is probed if its last confirmation is
# older than this.
CONFIRMATION_MAX_AGE_S = 0.3
# Longest time from the write of the office to the order. It is shorter than the
# time that other daemons wait after that write, so that no order with a lower
# fencing token is sent after theirs.
MAX_ORDER_DELAY_S = primary_replacement.OTHER_ORDER_HOLD_OFF_S / 2

Statuses = dict[str, commands.Status]

_WAIT = primary_replacement.Decision.wait


@dataclasses.dataclass(frozen=True, slots=True)
class _Replacement:
    """A replacement of a primary that is under way.

    Attributes:
        group: The database group.
        decision: Why its primary is to be replaced.
        previous: The office that was known before the servers were asked.
        presumed: Id of the presumed primary.
    """

    group: catalog.Group
    decision: primary_replacement.Decision
    previous: catalog.Office
    presumed: str


class Failover:
    """Background task that replaces unreachable and draining primaries.

    The platform promotes the new primary and assigns its term.
    """

    def __init__(
        self,
        shared: services.Services,
        store: interfaces.Store,
        promotion_client: interfaces.PromotionClient,
        server_caller: server_calls.ServerCaller,
        own_registration: registration.Registration,
    ) -> None:
        """Prepare the task; complaints end with `own_registration`."""
        self._shared = shared
        self._offices = offices.Offices(shared, store)
        self._promotion_client = promotion_client
        self._server_caller = server_caller
        self._holds = replica_holds.ReplicaHolds(server_caller)
        self._candidates = promotion_candidates.PromotionCandidates(
            shared.directory, shared.clock
        )
        self._log = json_log.get('failover')
        self.complaints = complaints.Complaints(shared, store, own_registration)
        self._facts = failover_facts.FactsCollector(shared, self.complaints)
        self._checks: dict[str, asyncio.Task] = {}

    async def run(self) -> typing.NoReturn:
        """Check the primaries of all groups periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            configuration = self._shared.directory.configuration
            for group in configuration.groups.values() if configuration else ():
                task = self._checks.get(group.name)
                if task is None or task.done():
                    task = asyncio.create_task(self._check(group))
                    task.add_done_callback(self._on_checked)
                    self._checks[group.name] = task

    def _on_checked(self, task: asyncio.Task) -> None:
        """Log an unexpected error; the next check follows regardless."""
        if not task.cancelled() and task.exception() is not None:
            self._log.error('group check failed', error=repr(task.exception()))
            self._shared.metrics.event('internal_error')

    async def _check(self, group: catalog.Group) -> None:
        facts = self._facts.of(group.name)
        suspect = self._facts.suspected_server(group.name)
        self._verify(group.name, facts)
        await self.complaints.update(
            group.name,
            suspect,
            facts,
        )
        presumed = self._shared.directory.presumed_primary(group.name)
        await self._offices.on_primary(group.name, presumed.server_id)
        if primary_replacement.decide(facts) is _WAIT:
            return
        # Other daemons may have acted during the calls above.
        facts = self._facts.of(group.name)
        decision = primary_replacement.decide(facts)
        if decision is _WAIT:
            return
        if not self._shared.directory.servers(group.name):
            return
        self._log.warning(
            'replacing primary',
            group=group.name,
            decision=decision.value,
            server=presumed.server_id,
            failing_s=facts.failing_s,
            registered=facts.registered,
            complaints=facts.complaints,
            members=facts.members,
            turn=facts.turn,
        )
        self._shared.metrics.event(decision.value)
        await self._replace(group, decision)

    def _verify(self, group: str, facts: primary_replacement.Facts) -> None:
        """Probe a primary that peers complain about, if own traffic did not."""
        if not facts.complaints or facts.failing_s is not None:
            return
        health = self._shared.primaries.health[group]
        confirmed_s = clocks.age_s(
            health.confirmed_at, self._shared.clock.monotonic()
        )
        if confirmed_s is None or confirmed_s > CONFIRMATION_MAX_AGE_S:
            self._shared.primaries.start_search(group)

    async def _replace(
        self,
        group: catalog.Group,
        decision: primary_replacement.Decision,
    ) -> None:
        """Order a promotion in place of a primary, as `decision` says."""
        replacement = _Replacement(
            group,
            decision,
            # Known before the servers are asked, so that an office acquired by
            # a peer meanwhile is noticed.
            self._offices.known(group.name),
            self._shared.directory.presumed_primary(group.name).server_id,
        )
        has_failed = decision is primary_replacement.Decision.replace
        statuses = await self._statuses(
            group.name,
            suspected=replacement.presumed if has_failed else '',
        )
        if not await self._is_needed(replacement, statuses):
            return
        if not self._candidates.can_choose(
            group, replacement.presumed, statuses
        ):
            return
        send_until = self._shared.clock.monotonic() + MAX_ORDER_DELAY_S
        office = await self._acquire(replacement, statuses)
        if office is None:
            return
        statuses = await self._stop_commits(replacement, statuses)
        chosen = self._candidates.choose(group, replacement.presumed, statuses)
        if self._shared.clock.monotonic() > send_until:
            # Other daemons may act now, so held replicas are not released.
            self._log.warning('too late to order a promotion', group=group.name)
        elif chosen not in office.orders.candidates:
            self._log.warning('no server can be promoted', group=group.name)
            await self._abandon(replacement, office)
        else:
            await self._promote(replacement, office, chosen, statuses)

    async def _is_needed(
        self,
        replacement: _Replacement,
        statuses: Statuses,
    ) -> bool:
        """Return whether the servers' statuses permit the replacement."""
        group = replacement.group.name
        leaders = [one for one in statuses.values() if one.is_primary]
        match replacement.decision:
            case primary_replacement.Decision.replace if leaders:
                self._log.info('primary answers again', group=group)
                return False
            case primary_replacement.Decision.finish:
                hold_term = replacement.previous.hold_term
                if any(leader.term >= hold_term for leader in leaders):
                    servers = self._answered(group, statuses)
                    await self._release_replicas(replacement.previous, servers)
                    return False
                # The presumed primary may be the one that was promoted.
                health = self._shared.primaries.health[group]
                return health.is_failing or replacement.presumed in statuses
        return True

    def _answered(self, group: str, statuses: Statuses) -> list[catalog.Server]:
        known = self._shared.directory.servers(group)
        return [one.server for one in known if one.server.server_id in statuses]

    async def _acquire(
        self,
        replacement: _Replacement,
        statuses: Statuses,
    ) -> catalog.Office | None:
        group = replacement.group
        servers = self._candidates.servers(group.name, replacement.presumed)
        hold_term = promotion_choice.newest_term(statuses) + 1
        return await self._offices.acquire(
            replacement.previous,
            frozenset(server.server_id for server in servers),
            hold_term if group.replicated else 0,
        )

    async def _stop_commits(
        self,
        replacement: _Replacement,
        statuses: Statuses,
    ) -> Statuses:
        """Stop the old primary from acknowledging commits, as far as possible.

        Returns:
            The newest statuses of the servers.
        """
        group = replacement.group.name
        if replacement.decision is primary_replacement.Decision.hand_over:
            statuses = await self._step_down(
                group, replacement.presumed, statuses
            )
        if replacement.group.replicated:
            statuses = await self._holds.hold(
                self._candidates.servers(group, replacement.presumed),
                promotion_choice.newest_term(statuses) + 1,
            )
        return statuses

    async def _abandon(
        self,
        replacement: _Replacement,
        office: catalog.Office,
    ) -> None:
        """Release the replicas that were held for a replacement in vain.

        An earlier order for which they were held may still be carried out, so
        they stay held after such a one.
        """
        if not replacement.previous.hold_term:
            servers = self._candidates.servers(
                office.group, replacement.presumed
            )
            await self._release_replicas(office, servers)

    async def _release_replicas(
        self,
        office: catalog.Office,
        servers: list[catalog.Server],
    ) -> None:
        """Release the replicas among `servers`, if any are held.

        They stay held if another daemon has acted since `office` was written,
        which may rely on them.
        """
        if not office.hold_term:
            return
        renewed = await self._offices.renew(office)
        if renewed is not None and await self._holds.release(servers):
            await self._offices.record_release(renewed)

    async def _promote(
        self,
        replacement: _Replacement,
        office: catalog.Office,
        chosen: str,
        statuses: Statuses,
    ) -> None:
        outcome = await self._order_promotion(office, chosen, statuses)
        if outcome.refused:
            # The token is outdated or the server can't be promoted: avoid the
            # server for a while and read the office again, which covers both.
            self._candidates.on_refused(chosen)
            await self._offices.refresh(office.group)
        await self._offices.record_answer(
            replacement.previous, office, chosen, outcome
        )

    async def _step_down(
        self,
        group: str,
        presumed: str,
        statuses: Statuses,
    ) -> Statuses:
        """Demote a draining primary and wait until a replica has its log."""
        status = statuses.get(presumed)
        known = self._shared.directory.find_server(presumed)
        if status is None or known is None:
            return statuses
        reply = await self._server_caller.send(
            known.server,
            commands.StepDown(status.term + 1),
            STATUS_TIMEOUT_S,
        )
        if not isinstance(reply, commands.Reply) or reply.error is not None:
            # The promotion follows all the same, since the server is leaving.
            self._log.info(
                'primary did not step down',
                group=group,
                server=presumed,
                reply=type(reply).__name__,
            )
        deadline = self._shared.clock.monotonic() + CATCH_UP_TIMEOUT_S
        while self._shared.clock.monotonic() < deadline:
            statuses = await self._statuses(group)
            target = statuses.get(presumed, status).position
            if any(
                promotion_choice.log_position(other)
                >= (target.term, target.offset)
                for server_id, other in statuses.items()
                if server_id != presumed
            ):
                break
            await asyncio.sleep(CATCH_UP_PAUSE_S)
        return statuses

    async def _order_promotion(
        self,
        office: catalog.Office,
        chosen: str,
        statuses: Statuses,
    ) -> interfaces.OrderOutcome:
        group = office.group
        outcome = await self._promotion_client.promote(group, chosen, office)
        self._log.warning(
            'promotion ordered',
            group=group,
            server=chosen,
            token=office.revision,
            accepted=outcome.accepted,
            answer=outcome.message,
            positions={
                server_id: promotion_choice.log_position(status)
                for server_id, status in statuses.items()
            },
        )
        self._shared.directory.on_change(office)
        return outcome

    async def _statuses(self, group: str, suspected: str = '') -> Statuses:
        """Return the statuses of all servers; wait less for `suspected`."""
        servers = [one.server for one in self._shared.directory.servers(group)]
        found = await asyncio.gather(
            *(
                self._server_caller.status(
                    server,
                    SUSPECTED_TIMEOUT_S
                    if server.server_id == suspected
                    else STATUS_TIMEOUT_S,
                )
                for server in servers
            ),
        )
        return {
            server.server_id: status
            for server, status in zip(servers, found, strict=True)
            if status is not None
        }
