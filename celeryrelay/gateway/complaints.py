"""Complaints: reports in the store that a daemon can't reach a primary."""

import result

from celeryrelay.adapters import json_log
from celeryrelay.gateway import catalog, interfaces, registration, services
from celeryrelay.terms import primary_replacement

# Pause after a failed write to the store. Without it, 43 calls were made in 3 s
# while the store refused them (incident inc-848e).
RETRY_PAUSE_S = 1.0


class Complaints:
    """Writes this daemon's complaints to the store and deletes them.

    A complaint reports that the daemon can't reach the primary of a group. The
    daemons count the complaints to decide whether to replace the primary.
    """

    def __init__(
        self,
        shared: services.Services,
        store: interfaces.Store,
        own_registration: registration.Registration,
    ) -> None:
        """Create the writer.

        Args:
            shared: Services of the daemon.
            store: Store that holds the complaints.
            own_registration: Provides the store lease under which complaints
                are written; the store deletes them when the lease ends.
        """
        self._shared = shared
        self._store = store
        self._log = json_log.get('failover')
        self._written: dict[str, catalog.Complaint] = {}
        self._paused_until: dict[str, float] = {}
        self._registration = own_registration

    def of_peers(self, group: str, server_id: str) -> frozenset[str]:
        """Return the names of other daemons that complain about a server."""
        own_instance = self._shared.options.instance
        return frozenset(
            complaint.member
            for complaint in self._shared.directory.complaints.values()
            if complaint.group == group
            and complaint.server_id == server_id
            and complaint.member != own_instance
        )

    def on_removed(self, name: str) -> None:
        """Record that the store deleted a complaint.

        Args:
            name: Name of the complaint, `group/member`.
        """
        group, _, member = name.partition('/')
        if member == self._shared.options.instance:
            self._written.pop(group, None)

    async def update(
        self,
        group: str,
        server_id: str,
        facts: primary_replacement.Facts,
    ) -> None:
        """Write or delete the complaint about a primary as `facts` require.

        Args:
            group: Name of the database group.
            server_id: The presumed primary.
            facts: Observations of the primary by this daemon and its peers.
        """
        if self._shared.clock.monotonic() < self._paused_until.get(group, 0):
            return
        complaint = self._written.get(group)
        needed = primary_replacement.should_complain(facts)
        if needed and (complaint is None or complaint.server_id != server_id):
            await self._write(group, server_id)
        elif complaint is not None and facts.failing_s is None:
            await self._delete(complaint)

    async def _write(self, group: str, server_id: str) -> None:
        complaint = catalog.Complaint(
            self._shared.options.instance,
            group,
            server_id,
        )
        match await self._store.write_complaint(
            complaint,
            self._registration.lease_id,
        ):
            case result.Ok(_):
                self._written[group] = complaint
                self._log.info(
                    'complaint written',
                    group=group,
                    server=server_id,
                )
            case result.Err(problem):
                self._pause_writes(group, 'complaint not written', problem)

    async def _delete(self, complaint: catalog.Complaint) -> None:
        match await self._store.delete_complaint(complaint):
            case result.Ok(_):
                self._written.pop(complaint.group, None)
            case result.Err(problem):
                self._pause_writes(
                    complaint.group,
                    'complaint not deleted',
                    problem,
                )

    def _pause_writes(
        self,
        group: str,
        event: str,
        problem: interfaces.StoreError,
    ) -> None:
        now = self._shared.clock.monotonic()
        self._paused_until[group] = now + RETRY_PAUSE_S
        self._log.info(event, group=group, problem=problem.message)
