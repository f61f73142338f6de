"""What a daemon knows of configuration, servers and other daemons.

Pure state: changes of the store and a clock go in. The configuration never
goes back to an older version.
"""

import dataclasses
from collections import abc

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog
from celeryrelay.membership import connection_plans, connection_quota
from celeryrelay.terms import primary_tracker

# A draining primary gets work until a promotion replaced it, but not for so
# long that the work arrives after it has left.
DRAINING_PRIMARY_S = 4.0


@dataclasses.dataclass(slots=True)
class KnownServer:
    """A server with what this daemon noted about its registration.

    Attributes:
        server: The registration.
        draining_since: When it was first seen as draining; None if it is not.
        gone_since: When its registration ended; None while it exists.
    """

    server: catalog.Server
    draining_since: float | None = None
    gone_since: float | None = None


class Directory:
    """Configuration, servers, members, complaints and offices."""

    def __init__(self, clock: clocks.Clock, gone_after_s: float) -> None:
        """Start empty.

        Args:
            clock: Source of the time.
            gone_after_s: Time after which a server whose registration ended
                is taken as gone.
        """
        self._clock = clock
        self._gone_after_s = gone_after_s
        self._servers: dict[str, KnownServer] = {}
        self._leaders: dict[str, primary_tracker.PrimaryTracker] = {}
        self._fleet: connection_plans.Fleet | None = None
        self.configuration: catalog.Configuration | None = None
        self.member_count = connection_quota.MemberTracker()
        self.daemons: dict[str, catalog.Member] = {}
        self.complaints: dict[str, catalog.Complaint] = {}
        self.offices: dict[str, catalog.Office] = {}
        self.office_seen_at: dict[str, float] = {}
        self.store_lost_at: float | None = None
        self.is_cut_off = False

    @property
    def fleet(self) -> connection_plans.Fleet:
        """The registered daemons."""
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
        """Names of the database groups in force."""
        return tuple(self.configuration.groups) if self.configuration else ()

    def route(self, database: str) -> catalog.Route | None:
        """Return the route of a database name."""
        return self.configuration and self.configuration.routes.get(database)

    def believed_primary(self, group: str) -> primary_tracker.PrimaryTracker:
        """Return the belief about the primary of a group."""
        return self._leaders.setdefault(group, primary_tracker.PrimaryTracker())

    def find_server(self, server_id: str) -> KnownServer | None:
        """Return a server that is not gone."""
        found = self._servers.get(server_id)
        return found if found and not self._is_gone(found) else None

    def servers(self, group: str) -> list[KnownServer]:
        """Return the servers of a group that are not gone."""
        return [
            known
            for known in self._servers.values()
            if known.server.group == group and not self._is_gone(known)
        ]

    def takes_reads(self, known: KnownServer) -> bool:
        """Return whether a server may get new reads."""
        return known.draining_since is None

    def primary(self, group: str) -> KnownServer | None:
        """Return the server that may get new statements of the primary."""
        known = self.find_server(self.believed_primary(group).server_id)
        if known is None or known.draining_since is None:
            return known
        age_s = self._clock.monotonic() - known.draining_since
        return known if age_s <= DRAINING_PRIMARY_S else None

    def on_snapshot(self, items: abc.Sequence[catalog.StoreChange]) -> None:
        """Take all items of the store; others no longer exist."""
        listed = {_key(listed_item) for listed_item in items}
        for item in items:
            self.on_change(item)
        for removed in self._unlisted(listed):
            self.on_change(removed)

    def on_change(self, change: catalog.StoreChange) -> None:
        """Take one change of the store."""
        now = self._clock.monotonic()
        match change:
            case catalog.Configuration():
                self._on_catalog(change)
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

    def remove_gone_servers(self) -> list[str]:
        """Drop the servers that are gone and return their ids."""
        gone = [
            server_id
            for server_id, known in self._servers.items()
            if self._is_gone(known)
        ]
        for server_id in gone:
            known = self._servers.pop(server_id)
            self.believed_primary(known.server.group).on_not_primary(server_id)
        return gone

    def _on_catalog(self, offered: catalog.Configuration) -> None:
        if (
            self.configuration is None
            or offered.version > self.configuration.version
        ):
            self.configuration = offered

    def _on_server(self, server: catalog.Server, now: float) -> None:
        before = self._servers.get(server.server_id)
        known = KnownServer(server)
        if before is not None and server.revision < before.server.revision:
            return
        if server.state is catalog.ServerState.draining:
            since = before.draining_since if before else None
            known.draining_since = now if since is None else since
        self._servers[server.server_id] = known
        leads = server.role is catalog.Role.primary
        if before is None or _differs(before, server):
            self.believed_primary(server.group).on_registered(
                server.server_id,
                leads,
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
        self.member_count.on_registered(member.name)
        self.daemons[member.name] = member
        self._fleet = None

    def _on_member_removed(self, name: str, now: float) -> None:
        self.member_count.on_removed(name, now)
        self.daemons.pop(name, None)
        self._fleet = None

    def _on_server_removed(self, server_id: str, now: float) -> None:
        known = self._servers.get(server_id)
        if known is not None and known.gone_since is None:
            known.gone_since = now

    def _on_office(self, office: catalog.Office, now: float) -> None:
        known = self.offices.get(office.group)
        if known is None or office.revision > known.revision:
            self.offices[office.group] = office
            self.office_seen_at[office.group] = now

    def _is_gone(self, known: KnownServer) -> bool:
        if known.gone_since is None:
            return False
        if known.draining_since is not None:
            return True
        age_s = self._clock.monotonic() - known.gone_since
        return age_s > self._gone_after_s

    def _unlisted(self, listed: set[tuple[type, str]]) -> list[catalog.Removed]:
        held = [(catalog.Server, name) for name in self._servers]
        held += [(catalog.Member, name) for name in self.member_count.names]
        held += [(catalog.Complaint, name) for name in self.complaints]
        return [
            catalog.Removed(kind, name)
            for kind, name in held
            if (kind, name) not in listed
        ]


def _differs(before: KnownServer, server: catalog.Server) -> bool:
    """Return whether a registration tells something new about the role."""
    return (
        before.gone_since is not None
        or before.server.role is not server.role
        or before.server.started_ms != server.started_ms
    )


def _key(item: catalog.StoreChange) -> tuple[type, str]:
    match item:
        case catalog.Server():
            return catalog.Server, item.server_id
        case catalog.Member():
            return catalog.Member, item.name
        case catalog.Complaint():
            return catalog.Complaint, '{0}/{1}'.format(item.group, item.member)
    return type(item), ''
