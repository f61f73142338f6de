"""Complaints of this daemon about primaries that it can't reach."""

import result

from celeryrelay.adapters import json_log
from celeryrelay.gateway import catalog, interfaces, registration, services
from celeryrelay.terms import primary_replacement

# Pause after a call that the store did not take.
PAUSE_S = 1.0


class Complaints:
    """Writes complaints to the store and withdraws them."""

    def __init__(
        self,
        shared: services.Services,
        store: interfaces.Store,
        own: registration.Registration,
    ) -> None:
        """Start without complaints; they end with the lease of `own`."""
        self._shared = shared
        self._store = store
        self._log = json_log.get('failover')
        self._written: dict[str, catalog.Complaint] = {}
        self._paused_until: dict[str, float] = {}
        self._own = own

    def of_others(self, group: str, server_id: str) -> frozenset[str]:
        """Return the other daemons that can't reach a server."""
        own = self._shared.options.instance
        return frozenset(
            complaint.member
            for complaint in self._shared.directory.complaints.values()
            if complaint.group == group
            and complaint.server_id == server_id
            and complaint.member != own
        )

    def on_removed(self, name: str) -> None:
        """Note that a complaint, `group/member`, no longer exists."""
        group, _, member = name.partition('/')
        if member == self._shared.options.instance:
            self._written.pop(group, None)

    async def share(
        self,
        group: str,
        server_id: str,
        facts: primary_replacement.Facts,
    ) -> None:
        """Write a complaint about a silent primary, or withdraw it."""
        if self._shared.clock.monotonic() < self._paused_until.get(group, 0):
            return
        complaint = self._written.get(group)
        silent = primary_replacement.should_complain(facts)
        if silent and (complaint is None or complaint.server_id != server_id):
            await self._write(group, server_id)
        elif complaint is not None and facts.failing_s is None:
            await self._withdraw(complaint)

    async def _write(self, group: str, server_id: str) -> None:
        complaint = catalog.Complaint(
            self._shared.options.instance,
            group,
            server_id,
        )
        match await self._store.write_complaint(complaint, self._own.lease):
            case result.Ok(_):
                self._written[group] = complaint
                self._log.info('complaint', group=group, server=server_id)
            case result.Err(problem):
                self._pause(group, 'complaint lost', problem)

    async def _withdraw(self, complaint: catalog.Complaint) -> None:
        match await self._store.delete_complaint(complaint):
            case result.Ok(_):
                self._written.pop(complaint.group, None)
            case result.Err(problem):
                self._pause(complaint.group, 'withdrawal lost', problem)

    def _pause(
        self,
        group: str,
        event: str,
        problem: interfaces.StoreError,
    ) -> None:
        now = self._shared.clock.monotonic()
        self._paused_until[group] = now + PAUSE_S
        self._log.info(event, group=group, problem=problem.message)
