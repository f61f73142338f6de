"""Decision to start the failover of a database group, taken by relays."""

import asyncio

from celeryrelay.adapters import logs
from celeryrelay.conf import sets
from celeryrelay.daemon.failover import failover_run
from celeryrelay.membership import roles
from celeryrelay.terms import failure_detection, records

CHECK_INTERVAL_S = 0.1
_MS_PER_S = 1000

_LOG = logs.get('promoter')


class Promoter:
    """Starts a failover when the evidence permits it."""

    def __init__(self, parts: failover_run.PromoterParts) -> None:
        """Create the promoter of this daemon."""
        self.completed = 0
        self._parts = parts
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
        parts = self._parts
        objects = parts.fleet.objects
        idle = parts.fleet.draining or not parts.fleet.settled
        if objects is None or idle:
            return
        now = parts.clock.monotonic()
        suspected = set(parts.evidence.suspected(now))
        for group in objects.groups.values():
            record = parts.fleet.record(group.name)
            if record is None or group.name in self._running:
                continue
            if self._is_due(group, record, suspected, now):
                self._consider(group, record, now)
            else:
                self._due_since.pop((group.name, record.term), None)

    def _is_due(
        self,
        group: sets.DatabaseGroup,
        record: records.TermRecord,
        suspected: set[str],
        now: float,
    ) -> bool:
        if record.state is records.TermState.closed:
            return True
        slot = group.slot(record.primary)
        leaving = self._parts.fleet.leaving
        if slot and slot.address in leaving:
            return True
        if group.name not in suspected:
            return False
        members = self._parts.fleet.members
        zones = {member.availability_zone for member in members}
        return failure_detection.primary_is_down(
            self._parts.evidence.summaries(group.name, record.primary, now),
            self._parts.settings.terms,
            len(zones),
        )

    def _consider(
        self,
        group: sets.DatabaseGroup,
        record: records.TermRecord,
        now: float,
    ) -> None:
        chosen = roles.promoters(group.name, self._parts.fleet.members)
        own = self._parts.fleet.own
        if own not in chosen:
            return
        since = self._due_since.setdefault((group.name, record.term), now)
        stagger_ms = self._parts.settings.terms.promoter_stagger_ms
        if (now - since) * _MS_PER_S < chosen.index(own) * stagger_ms:
            return
        self._due_since.pop((group.name, record.term))
        run = failover_run.FailoverRun(
            self._parts,
            group,
            record,
            since,
            self._failing_since(group, record, now),
        )
        task = asyncio.create_task(self._carry_out(run))
        task.add_done_callback(_log_failure)
        self._running[group.name] = task

    def _failing_since(
        self,
        group: sets.DatabaseGroup,
        record: records.TermRecord,
        now: float,
    ) -> float:
        """Return when an observer's first failed probe of the primary was."""
        found = self._parts.evidence
        summaries = found.summaries(group.name, record.primary, now)
        failing_ms = max(
            (one.span_ms + one.age_ms for one in summaries if one.failures),
            default=0,
        )
        return now - failing_ms / _MS_PER_S

    async def _carry_out(self, run: failover_run.FailoverRun) -> None:
        try:
            self.completed += await run.run()
        finally:
            self._running.pop(run.group.name, None)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('failover ended with a fault: {0!r}', task.exception())
