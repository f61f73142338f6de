"""Routes, database groups and backend servers as the store describes them."""

import dataclasses
import enum
from collections import abc

from celeryrelay.core import ranks


class ReadConsistency(enum.StrEnum):
    """What the reads of a route have to see.

    Attributes:
        primary: All commits.
        bounded: Commits older than the route's largest age.
        session: As `bounded`, and all commits of the same session.
    """

    primary = 'primary'
    bounded = 'bounded'
    session = 'session'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps a database name that callers use to a group.

    Attributes:
        database: Name that callers open a session with.
        group: Name of the database group.
        consistency: What reads have to see.
        rank: Rank of the route's statements.
        timeout_ms: Limit for a single statement.
        target_ms: Latency target of a caller's operation.
        max_age_ms: Largest age of the data of a read; 0 for `primary`.
    """

    database: str
    group: str
    consistency: ReadConsistency
    rank: ranks.Rank
    timeout_ms: float
    target_ms: float
    max_age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A replicated database.

    Attributes:
        name: Name of the group.
        connection_limit: Connections that each of its servers accepts from
            all daemons together.
        replicated: Whether a commit is acknowledged only once a replica has
            received it.
    """

    name: str
    connection_limit: int
    replicated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Number that grows with each change.
        routes: Routes by database name.
        groups: Database groups by name.
        transaction_idle_ms: Idle time after which a transaction may be ended.
    """

    version: int
    routes: abc.Mapping[str, Route]
    groups: abc.Mapping[str, Group]
    transaction_idle_ms: float


class ServerState(enum.StrEnum):
    """Whether a backend server takes new work."""

    ready = 'ready'
    draining = 'draining'


class Role(enum.StrEnum):
    """Role of a backend server in its group."""

    primary = 'primary'
    replica = 'replica'


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server as it registered itself.

    Attributes:
        server_id: Id that the server uses for itself.
        group: Name of its database group.
        address: `host:port`.
        availability_zone: Where it runs.
        slots: Statements that it runs at once.
        state: Whether it takes new work.
        role: Role that it believes to have.
        started_ms: Unix time in milliseconds of its start; 0 if unknown.
        revision: Store revision of the entry's last change.
    """

    server_id: str
    group: str
    address: str
    availability_zone: str
    slots: int
    state: ServerState
    role: Role
    started_ms: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon that registered itself.

    Attributes:
        name: Name of its instance.
        availability_zone: Where it runs.
        start: Random value of its process.
        link_address: `host:port` at which it leases connections to others;
            empty if it does not.
        capacity: Processor cores that it may use.
        revision: Store revision of its registration.
    """

    name: str
    availability_zone: str
    start: str
    link_address: str = ''
    capacity: float = 1
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Complaint:
    """A daemon's report that it can't reach the primary of a group.

    Attributes:
        member: Name of the daemon's instance.
        group: Name of the database group.
        server_id: The primary that does not answer.
        revision: Store revision of the report.
    """

    member: str
    group: str
    server_id: str
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Office:
    """The right to order promotions in a group, last taken by `holder`.

    Attributes:
        group: Name of the database group.
        holder: Instance name of the daemon that took it.
        nonce: Random value of the write, by which its author knows it.
        revision: Store revision of the write; the fencing token of its orders.
    """

    group: str
    holder: str
    nonce: str
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """An item of the store that no longer exists.

    Attributes:
        kind: Type of the item.
        name: Server id, member name, or `group/member` of a complaint.
        revision: Store revision of the removal.
    """

    kind: type
    name: str
    revision: int = 0


StoreItem = Configuration | Server | Member | Complaint | Office
StoreChange = StoreItem | Removed
