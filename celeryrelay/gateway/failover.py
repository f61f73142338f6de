"""Replacement of primaries: evidence, complaints and orders."""

import asyncio
import secrets
import typing

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import ranks, rendezvous
from celeryrelay.gateway import (
    catalog,
    commands,
    complaints,
    interfaces,
    registration,
    services,
)
from celeryrelay.terms import primary_replacement

TICK_S = 0.1
STATUS_TIMEOUT_S = 0.35
SUSPECTED_TIMEOUT_S = 0.1
CATCH_UP_S = 0.4
CATCH_UP_PAUSE_S = 0.03
# Age of the last proof after which a complaint of another daemon is checked.
CHECK_S = 0.3
# Time for which a server that could not be promoted is left out.
UNFIT_S = 3.0

Statuses = dict[str, commands.Status]


class Failover:
    """Task that watches the primaries of all groups and replaces them."""

    def __init__(
        self,
        shared: services.Services,
        store: interfaces.Store,
        orders: interfaces.PromotionClient,
        connector: interfaces.Connector,
        own: registration.Registration,
    ) -> None:
        """Order promotions with the tokens that `store` gives."""
        self._shared = shared
        self._store = store
        self._orders = orders
        self._connector = connector
        self._log = json_log.get('failover')
        self.complaints = complaints.Complaints(shared, store, own)
        self._running: dict[str, asyncio.Task] = {}
        self._unfit: dict[str, float] = {}

    async def run(self) -> typing.NoReturn:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            known = self._shared.directory.configuration
            for group in known.groups.values() if known else ():
                task = self._running.get(group.name)
                if task is None or task.done():
                    task = asyncio.create_task(self._review(group))
                    task.add_done_callback(self._on_reviewed)
                    self._running[group.name] = task

    def _on_reviewed(self, task: asyncio.Task) -> None:
        """Log a review that failed; the next one follows."""
        if not task.cancelled() and task.exception() is not None:
            self._log.error('review failed', error=repr(task.exception()))
            self._shared.metrics.event('internal_error')

    def facts(self, group: str) -> primary_replacement.Facts:
        """Return what is known of a group's primary."""
        shared = self._shared
        now = shared.clock.monotonic()
        health = shared.primaries.health[group]
        suspect = self._suspect(group)
        known = shared.directory.find_server(suspect)
        witnesses = shared.connection_sources.connected_daemons(suspect, group)
        complaining = self.complaints.of_others(group, suspect) & witnesses
        office = shared.directory.offices.get(group)
        order_s = now - shared.directory.office_seen_at.get(group, now)
        is_own = office is not None and office.holder == shared.options.instance
        return primary_replacement.Facts(
            failing_s=_age(health.failing_since, now),
            failures=health.failures,
            registered=known is not None and known.gone_since is None,
            draining_s=_age(known.draining_since, now) if known else None,
            complaints=len(complaining),
            members=len(witnesses),
            is_voter=shared.options.instance in witnesses,
            turn=self._turn(group, complaining or witnesses),
            own_order_s=order_s if is_own else None,
            other_order_s=order_s if office and not is_own else None,
        )

    def _suspect(self, group: str) -> str:
        """Return the believed primary, or the last one that failed."""
        shared = self._shared
        believed = shared.directory.believed_primary(group).server_id
        return believed or shared.primaries.health[group].server_id

    def _turn(self, group: str, names: frozenset[str]) -> int:
        own = self._shared.options.instance
        order = rendezvous.top(group, names | {own}, len(names) + 1)
        return order.index(own)

    async def _review(self, group: catalog.Group) -> None:
        facts = self.facts(group.name)
        self._check_complaints(group.name, facts)
        await self.complaints.share(
            group.name,
            self._suspect(group.name),
            facts,
        )
        decision = primary_replacement.decide(facts)
        if decision is primary_replacement.Decision.wait:
            return
        if not self._shared.directory.servers(group.name):
            return
        leader = self._shared.directory.believed_primary(group.name)
        self._log.warning(
            'primary is replaced',
            group=group.name,
            decision=decision.value,
            server=leader.server_id,
            failing_s=facts.failing_s,
            registered=facts.registered,
            complaints=facts.complaints,
            members=facts.members,
            turn=facts.turn,
        )
        self._shared.metrics.event(decision.value)
        hands_over = decision is primary_replacement.Decision.hand_over
        await self._replace(group, hands_over)

    def _check_complaints(
        self, group: str, facts: primary_replacement.Facts
    ) -> None:
        """Ask a primary that others can't reach, without own traffic."""
        if not facts.complaints or facts.failing_s is not None:
            return
        health = self._shared.primaries.health[group]
        proved_s = _age(health.confirmed_at, self._shared.clock.monotonic())
        if proved_s is None or proved_s > CHECK_S:
            self._shared.primaries.search(group)

    async def _replace(self, group: catalog.Group, hands_over: bool) -> None:
        # An order of another daemon that comes meanwhile must be seen.
        revision = self._office_revision(group.name)
        believed = self._shared.directory.believed_primary(group.name).server_id
        found = await self._statuses(
            group.name,
            suspected='' if hands_over else believed,
        )
        if not hands_over and any(one.is_primary for one in found.values()):
            self._log.info('primary answers again', group=group.name)
            return
        if not self._may_choose(group, found, believed):
            return
        office = await self._take_office(group.name, revision)
        if office is None:
            return
        if hands_over:
            found = await self._step_down(group.name, believed, found)
        chosen = self._choose(group, found, believed)
        if chosen is None:
            self._log.warning('no server to promote', group=group.name)
            return
        await self._order(group.name, chosen, office, found)

    def _may_choose(
        self,
        group: catalog.Group,
        found: Statuses,
        believed: str,
    ) -> bool:
        """Return whether enough servers answered.

        A group whose commits wait for a replica loses none of them only if
        the replica that has the most is among those that answered.
        """
        silent = [
            known.server.server_id
            for known in self._shared.directory.servers(group.name)
            if known.server.server_id not in {believed, *found}
        ]
        if not found or (group.replicated and silent):
            self._log.info(
                'too few servers answer',
                group=group.name,
                answered=len(found),
                silent=silent,
            )
            return False
        return True

    def _office_revision(self, group: str) -> int:
        known = self._shared.directory.offices.get(group)
        return known.revision if known else 0

    async def _take_office(
        self,
        group: str,
        revision: int,
    ) -> catalog.Office | None:
        """Write the right to order; its revision is the fencing token.

        Args:
            group: Name of the database group.
            revision: Revision of the office when the decision was made.
        """
        office = catalog.Office(
            group,
            self._shared.options.instance,
            secrets.token_hex(8),
        )
        taken = await self._store.acquire_office(office, revision)
        match taken:
            case result.Ok(int() as written):
                return catalog.Office(
                    office.group,
                    office.holder,
                    office.nonce,
                    written,
                )
            case result.Err(problem) if problem.unknown:
                return await self._settle_office(office)
            case result.Ok(None):
                problem = 'another daemon came first'
        self._log.info('no office', group=group, problem=str(problem))
        await self._refresh_office(group)
        return None

    async def _settle_office(
        self,
        office: catalog.Office,
    ) -> catalog.Office | None:
        """Find out whether a write without an answer was made."""
        match await self._store.read_office(office.group):
            case result.Ok(catalog.Office(nonce=nonce) as stored):
                self._shared.directory.on_change(stored)
                if nonce == office.nonce:
                    return stored
        self._log.info('no office', group=office.group, problem='answer lost')
        return None

    async def _refresh_office(self, group: str) -> None:
        match await self._store.read_office(group):
            case result.Ok(catalog.Office() as stored):
                self._shared.directory.on_change(stored)

    async def _step_down(
        self,
        group: str,
        believed: str,
        found: Statuses,
    ) -> Statuses:
        """Stop the writes of a leaving primary and wait for a replica."""
        status = found.get(believed)
        known = self._shared.directory.find_server(believed)
        if status is None or known is None:
            return found
        await self._ask(known.server, commands.StepDown(status.term + 1))
        deadline = self._shared.clock.monotonic() + CATCH_UP_S
        while self._shared.clock.monotonic() < deadline:
            found = await self._statuses(group)
            goal = found.get(believed, status).position
            if any(
                _place(other) >= (goal.term, goal.offset)
                for server_id, other in found.items()
                if server_id != believed
            ):
                break
            await asyncio.sleep(CATCH_UP_PAUSE_S)
        return found

    def _choose(
        self,
        group: catalog.Group,
        found: Statuses,
        believed: str,
    ) -> str | None:
        """Return the server with the longest log, leaving ones last.

        Where commits wait for a replica, a leaving one may be the only one
        that has them all, so the length of the log goes first.
        """
        now = self._shared.clock.monotonic()
        candidates = [
            known
            for known in self._shared.directory.servers(group.name)
            if known.server.server_id in found
            and known.server.server_id != believed
            and self._unfit.get(known.server.server_id, 0) <= now
        ]
        best = max(
            candidates,
            key=lambda known: (
                _place(found[known.server.server_id])
                if group.replicated
                else (0, 0),
                known.draining_since is None,
                _place(found[known.server.server_id]),
            ),
            default=None,
        )
        return best.server.server_id if best else None

    async def _order(
        self,
        group: str,
        chosen: str,
        office: catalog.Office,
        found: Statuses,
    ) -> None:
        outcome = await self._orders.promote(group, chosen, office)
        self._log.warning(
            'promotion ordered',
            group=group,
            server=chosen,
            token=office.revision,
            accepted=outcome.accepted,
            answer=outcome.message,
            positions={
                server_id: _place(status) for server_id, status in found.items()
            },
        )
        self._shared.directory.on_change(office)
        if outcome.refused:
            # The token or the server: leaving both out is right for either.
            now = self._shared.clock.monotonic()
            self._unfit[chosen] = now + UNFIT_S
            await self._refresh_office(group)

    async def _statuses(self, group: str, suspected: str = '') -> Statuses:
        """Return the statuses of the servers that answer.

        Args:
            group: Name of the database group.
            suspected: Server that gets less time, since it did not answer
                for a while.
        """
        known = [one.server for one in self._shared.directory.servers(group)]
        replies = await asyncio.gather(
            *(
                self._ask(
                    server,
                    commands.AskStatus(),
                    SUSPECTED_TIMEOUT_S
                    if server.server_id == suspected
                    else STATUS_TIMEOUT_S,
                )
                for server in known
            ),
        )
        found: Statuses = {}
        for server, reply in zip(known, replies, strict=True):
            match reply:
                case commands.Reply(error=None):
                    status = self._connector.status(reply)
                    if status is not None:
                        found[server.server_id] = status
        return found

    async def _ask(
        self,
        server: catalog.Server,
        command: commands.Command,
        timeout_s: float = STATUS_TIMEOUT_S,
    ) -> commands.Reply | commands.Lost:
        pool = self._shared.connection_sources.get(server)
        deadline = self._shared.clock.monotonic() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                acquired = await pool.acquire(ranks.Rank.bookings, deadline)
        except TimeoutError:
            return commands.Lost('no connection in time')
        match acquired:
            case result.Err(refusal):
                return commands.Lost(refusal.message)
        lease = acquired.ok_value
        future = lease.send([command])[0]
        try:
            async with asyncio.timeout(timeout_s):
                reply = await future
        except TimeoutError:
            reply = commands.Lost('no status in time')
        lease.release(usable=isinstance(reply, commands.Reply))
        return reply


def _age(since: float | None, now: float) -> float | None:
    return None if since is None else now - since


def _place(status: commands.Status) -> tuple[int, int]:
    return status.position.term, status.position.offset
