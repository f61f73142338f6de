"""In-memory view of the store: configuration, backend servers and daemons.

No input or output: the caller passes in changes of the store and a clock. An
older version of the configuration never replaces a newer one.
"""

import dataclasses
from collections import abc

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog
from celeryrelay.membership import connection_plans, connection_quota
from celeryrelay.terms import presumed_primaries

# A draining primary gets statements until a promotion replaces it, but for no
# longer than this, so that none arrives after the server has shut down.
DRAINING_PRIMARY_S = 4.0
# Time for which a daemon still counts that a restored store does not list.
# Daemons register again within this time, and plans of connections that change
# twice would close and open connections for nothing.
MEMBER_RETURN_S = 4.0


@dataclasses.dataclass(slots=True)
class KnownServer:
    """A backend server and the times at which its registration changed.

    Attributes:
        server: The newest registration.
        draining_since: When the server was first seen as draining, None if it
            is not draining.
        gone_since: When the registration was removed from the store, None
            while it exists.
    """

    server: catalog.Server
    draining_since: float | None = None
    gone_since: float | None = None


class Directory:
    """Current items of the store, as far as this daemon has received them.

    Attributes:
        configuration: Newest version of the configuration, None before the
            first one was read.
        member_tracker: Counts the daemons that share the connections.
        daemons: Registered daemons by name.
        complaints: Complaints by `group/member`.
        offices: Newest office of each group, by group name.
        office_seen_at: When the newest office of a group was received.
        store_lost_at: Since when the store has been unreachable, None while
            it is reachable.
        is_isolated: Whether this daemon reaches neither the store nor the
            primary of some group.
    """

    def __init__(self, clock: clocks.Clock, gone_after_s: float) -> None:
        """Create an empty directory.

        Args:
            clock: Source of the time.
            gone_after_s: Time after the removal of its registration at which
                a server counts as gone. A draining server is gone at once.
        """
        self._clock = clock
        self._gone_after_s = gone_after_s
        self._servers: dict[str, KnownServer] = {}
        self._presumed_primaries: dict[
            str, presumed_primaries.PresumedPrimaryTracker
        ] = {}
        self._fleet: connection_plans.Fleet | None = None
        self.configuration: catalog.Configuration | None = None
        self.member_tracker = connection_quota.MemberTracker()
        self.daemons: dict[str, catalog.Member] = {}
        self.complaints: dict[str, catalog.Complaint] = {}
        self.offices: dict[str, catalog.Office] = {}
        self.office_seen_at: dict[str, float] = {}
        self.store_lost_at: float | None = None
        self.is_isolated = False
        self._is_restoring = False
        self._missing_members: dict[str, float] = {}

    @property
    def fleet(self) -> connection_plans.Fleet:
        """The registered daemons, as input for connection plans."""
        if self._fleet is None:
            self._fleet = connection_plans.Fleet(
                connection_plans.Daemon(
                    member.name,
                    member.availability_zone,
                    member.capacity,
                )
                for member in self.daemons.values()
            )
        return self._fleet

    @property
    def group_names(self) -> tuple[str, ...]:
        """Names of the configured database groups."""
        return tuple(self.configuration.groups) if self.configuration else ()

    def route(self, database: str) -> catalog.Route | None:
        """Return the route of a database name, None if there is none."""
        return self.configuration and self.configuration.routes.get(database)

    def presumed_primary(
        self, group: str
    ) -> presumed_primaries.PresumedPrimaryTracker:
        """Return the tracker of the presumed primary of a group."""
        return self._presumed_primaries.setdefault(
            group,
            presumed_primaries.PresumedPrimaryTracker(),
        )

    def find_server(self, server_id: str) -> KnownServer | None:
        """Return a server, None if it is unknown or gone."""
        known = self._servers.get(server_id)
        return known if known and not self._is_gone(known) else None

    def servers(self, group: str) -> list[KnownServer]:
        """Return the servers of a group that are not gone."""
        return [
            known
            for known in self._servers.values()
            if known.server.group == group and not self._is_gone(known)
        ]

    def takes_reads(self, known: KnownServer) -> bool:
        """Return whether a server may get reads; a draining one may not."""
        return known.draining_since is None

    def primary(self, group: str) -> KnownServer | None:
        """Return the presumed primary of a group if it may get statements.

        Returns:
            None if the primary is unknown, gone, or draining for too long.
        """
        known = self.find_server(self.presumed_primary(group).server_id)
        if known is None or known.draining_since is None:
            return known
        age_s = self._clock.monotonic() - known.draining_since
        return known if age_s <= DRAINING_PRIMARY_S else None

    def on_store_restored(self) -> None:
        """Prepare for a snapshot of a store that lacks its newest changes."""
        self._is_restoring = True

    def on_snapshot(self, items: abc.Sequence[catalog.StoreChange]) -> None:
        """Apply a complete read of the store and remove what it lacks.

        Daemons that a restored store lacks are removed after `MEMBER_RETURN_S`.
        """
        listed = {_item_key(listed_item) for listed_item in items}
        for item in items:
            self.on_change(item)
        for removed in self._unlisted(listed):
            if self._is_restoring and removed.kind is catalog.Member:
                now = self._clock.monotonic()
                self._missing_members.setdefault(removed.name, now)
            else:
                self.on_change(removed)
        if self._is_restoring:
            self._forget_unlisted_offices(items)
            self._is_restoring = False

    def on_change(self, change: catalog.StoreChange) -> None:
        """Apply one change of the store."""
        now = self._clock.monotonic()
        match change:
            case catalog.Configuration():
                self._on_configuration(change)
            case catalog.Server():
                self._on_server(change, now)
            case catalog.Member():
                self._on_member(change)
            case catalog.Complaint():
                key = '{0}/{1}'.format(change.group, change.member)
                self.complaints[key] = change
            case catalog.Office():
                self._on_office(change, now)
            case catalog.Removed():
                self._on_removed(change, now)

    def remove_missing_members(self) -> None:
        """Remove the daemons that did not register in a restored store."""
        now = self._clock.monotonic()
        for name, missing_since in tuple(self._missing_members.items()):
            if now - missing_since > MEMBER_RETURN_S:
                self._on_member_removed(name, now)

    def remove_gone_servers(self) -> list[str]:
        """Remove the servers that are gone and return their ids."""
        gone = [
            server_id
            for server_id, known in self._servers.items()
            if self._is_gone(known)
        ]
        for server_id in gone:
            known = self._servers.pop(server_id)
            self.presumed_primary(known.server.group).on_not_primary(server_id)
        return gone

    def _on_configuration(self, received: catalog.Configuration) -> None:
        if (
            self.configuration is None
            or received.version > self.configuration.version
        ):
            self.configuration = received

    def _on_server(self, server: catalog.Server, now: float) -> None:
        before = self._servers.get(server.server_id)
        known = KnownServer(server)
        if before is not None and server.revision < before.server.revision:
            return
        if self._is_restoring and before is not None:
            server = _keep_draining(before.server, server)
            known.server = server
        if server.state is catalog.ServerState.draining:
            since = before.draining_since if before else None
            known.draining_since = now if since is None else since
        self._servers[server.server_id] = known
        is_primary = server.role is catalog.Role.primary
        if before is None or _may_change_primary(before, server):
            self.presumed_primary(server.group).on_registered(
                server.server_id,
                is_primary,
                before is not None and before.server.role is not server.role,
                now,
            )

    def _on_removed(self, removed: catalog.Removed, now: float) -> None:
        if removed.kind is catalog.Server:
            self._on_server_removed(removed.name, now)
        elif removed.kind is catalog.Member:
            self._on_member_removed(removed.name, now)
        else:
            self.complaints.pop(removed.name, None)

    def _on_member(self, member: catalog.Member) -> None:
        self._missing_members.pop(member.name, None)
        self.member_tracker.on_registered(member.name)
        self.daemons[member.name] = member
        self._fleet = None

    def _on_member_removed(self, name: str, now: float) -> None:
        self._missing_members.pop(name, None)
        self.member_tracker.on_removed(name, now)
        self.daemons.pop(name, None)
        self._fleet = None

    def _on_server_removed(self, server_id: str, now: float) -> None:
        known = self._servers.get(server_id)
        if known is not None and known.gone_since is None:
            known.gone_since = now

    def _on_office(self, office: catalog.Office, now: float) -> None:
        known = self.offices.get(office.group)
        if self._is_restoring and known is not None:
            orders = known.orders.merged(office.orders)
            office = dataclasses.replace(office, orders=orders)
        if known is None or office.revision > known.revision:
            self.offices[office.group] = office
            self.office_seen_at[office.group] = now

    def _forget_unlisted_offices(
        self, items: abc.Sequence[catalog.StoreChange]
    ) -> None:
        """Allow offices to be acquired anew that a restored store lacks.

        What is known of their orders stays: an order may still be carried out
        although its record is lost.
        """
        listed = {
            item.group for item in items if isinstance(item, catalog.Office)
        }
        for group in self.offices.keys() - listed:
            self.offices[group] = dataclasses.replace(
                self.offices[group], revision=0
            )

    def _is_gone(self, known: KnownServer) -> bool:
        if known.gone_since is None:
            return False
        if known.draining_since is not None:
            return True
        age_s = self._clock.monotonic() - known.gone_since
        return age_s > self._gone_after_s

    def _unlisted(self, listed: set[tuple[type, str]]) -> list[catalog.Removed]:
        present = [(catalog.Server, name) for name in self._servers]
        present += [
            (catalog.Member, name) for name in self.member_tracker.names
        ]
        present += [(catalog.Complaint, name) for name in self.complaints]
        return [
            catalog.Removed(kind, name)
            for kind, name in present
            if (kind, name) not in listed
        ]


def _keep_draining(
    before: catalog.Server, restored: catalog.Server
) -> catalog.Server:
    """Return the registration of a restored store, draining if it was.

    A server that drains is not ready again before it has restarted, so an older
    copy of its registration must not bring it back into use.
    """
    is_same_process = before.started_ms == restored.started_ms
    if before.state is catalog.ServerState.draining and is_same_process:
        return dataclasses.replace(restored, state=before.state)
    return restored


def _may_change_primary(before: KnownServer, server: catalog.Server) -> bool:
    """Return whether a registration may change the presumed primary.

    It may if the server changed its role, restarted, or registered again after
    its registration was removed.
    """
    return (
        before.gone_since is not None
        or before.server.role is not server.role
        or before.server.started_ms != server.started_ms
    )


def _item_key(item: catalog.StoreChange) -> tuple[type, str]:
    match item:
        case catalog.Server():
            return catalog.Server, item.server_id
        case catalog.Member():
            return catalog.Member, item.name
        case catalog.Complaint():
            return catalog.Complaint, '{0}/{1}'.format(item.group, item.member)
    return type(item), ''
