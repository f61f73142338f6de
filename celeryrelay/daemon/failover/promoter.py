"""Decision by the promoters of a database group to start its failover."""

import asyncio

from celeryrelay.adapters import logs
from celeryrelay.conf import sets
from celeryrelay.daemon.failover import failover_run
from celeryrelay.membership import roles
from celeryrelay.terms import failure_detection, term_records

CHECK_INTERVAL_S = 0.1
_MS_PER_S = 1000

_LOG = logs.get('promoter')


class Promoter:
    """Starts failovers of groups whose primary is down, leaving or closed.

    Attributes:
        completed: Number of failovers that opened a new term.
    """

    def __init__(self, services: failover_run.PromoterServices) -> None:
        """Create the promoter of this daemon."""
        self.completed = 0
        self._services = services
        self._running: dict[str, asyncio.Task[None]] = {}
        self._due_since: dict[tuple[str, int], float] = {}

    async def run(self) -> None:
        """Check all groups until cancelled."""
        try:
            while True:
                self._check_groups()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for task in self._running.values():
                task.cancel()

    def _check_groups(self) -> None:
        services = self._services
        objects = services.fleet.objects
        idle = services.fleet.draining or not services.fleet.members_settled
        if objects is None or idle:
            return
        now = services.clock.monotonic()
        suspected = set(services.evidence.suspected_groups(now))
        for group in objects.groups.values():
            record = services.fleet.record(group.name)
            if record is None or group.name in self._running:
                continue
            if self._is_due(group, record, suspected, now):
                self._start_failover_in_turn(group, record, now)
            else:
                self._due_since.pop((group.name, record.term), None)

    def _is_due(
        self,
        group: sets.DatabaseGroup,
        record: term_records.TermRecord,
        suspected: set[str],
        now: float,
    ) -> bool:
        if record.state is term_records.TermState.closed:
            return True
        slot = group.slot(record.primary)
        leaving = self._services.fleet.leaving_server_addresses
        if slot and slot.address in leaving:
            return True
        if group.name not in suspected:
            return False
        members = self._services.fleet.members
        zones = {member.availability_zone for member in members}
        return failure_detection.primary_is_down(
            self._services.evidence.summaries(group.name, record.primary, now),
            self._services.settings.terms,
            len(zones),
        )

    def _start_failover_in_turn(
        self,
        group: sets.DatabaseGroup,
        record: term_records.TermRecord,
        now: float,
    ) -> None:
        chosen = roles.promoters(group.name, self._services.fleet.members)
        own = self._services.fleet.own
        if own not in chosen:
            return
        since = self._due_since.setdefault((group.name, record.term), now)
        stagger_ms = self._services.settings.terms.promoter_stagger_ms
        if (now - since) * _MS_PER_S < chosen.index(own) * stagger_ms:
            return
        self._due_since.pop((group.name, record.term))
        run = failover_run.FailoverRun(
            self._services,
            group,
            record,
            since,
            self._failing_since(group, record, now),
        )
        task = asyncio.create_task(self._run_failover(run))
        task.add_done_callback(_log_failure)
        self._running[group.name] = task

    def _failing_since(
        self,
        group: sets.DatabaseGroup,
        record: term_records.TermRecord,
        now: float,
    ) -> float:
        """Return the time of the first failed probe that observers report."""
        found = self._services.evidence
        summaries = found.summaries(group.name, record.primary, now)
        failing_ms = max(
            (one.span_ms + one.age_ms for one in summaries if one.failures),
            default=0,
        )
        return now - failing_ms / _MS_PER_S

    async def _run_failover(self, run: failover_run.FailoverRun) -> None:
        try:
            self.completed += await run.run()
        finally:
            self._running.pop(run.group.name, None)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('failover raised an exception: {0!r}', task.exception())
