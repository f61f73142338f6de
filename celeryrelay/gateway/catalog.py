"""Items of the store: configuration, backend servers, daemons and offices."""

import dataclasses
import enum
from collections import abc

from celeryrelay.accounts import directory
from celeryrelay.core import ranks
from celeryrelay.terms import order_records


class ReadConsistency(enum.StrEnum):
    """Consistency level of the reads of a route.

    Attributes:
        primary: Reads run on the primary and see all commits.
        bounded: Reads may run on a replica; they see at least all commits that
            are older than the route's maximum age.
        session: As `bounded`; reads also see all commits of their own session.
    """

    primary = 'primary'
    bounded = 'bounded'
    session = 'session'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps a database name that callers use to a database group.

    Attributes:
        database: Database name with which callers open a session.
        group: Name of the database group.
        consistency: Consistency level of reads.
        rank: Priority class of the route's statements.
        timeout_ms: Time limit for a single statement.
        target_ms: Latency target of a caller's operation.
        max_age_ms: Maximum age of the data that a read returns; 0 for
            `primary`.
        public: Whether callers need no API key.
    """

    database: str
    group: str
    consistency: ReadConsistency
    rank: ranks.Rank
    timeout_ms: float
    target_ms: float
    max_age_ms: float
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A database group: a primary server and its replicas.

    Attributes:
        name: Name of the group.
        connection_limit: Number of connections that each server of the group
            accepts from all daemons together.
        replicated: Whether a commit is acknowledged only after a replica has
            received it.
    """

    name: str
    connection_limit: int
    replicated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Version number, which increases with each change.
        routes: Routes by database name.
        groups: Database groups by name.
        transaction_idle_ms: Idle time after which the daemon may abort a
            transaction.
        accounts: The client accounts.
    """

    version: int
    routes: abc.Mapping[str, Route]
    groups: abc.Mapping[str, Group]
    transaction_idle_ms: float
    accounts: directory.AccountDirectory = directory.AccountDirectory(())


class ServerState(enum.StrEnum):
    """Whether a backend server accepts new statements.

    Attributes:
        ready: It does.
        draining: It is about to shut down and should get no new ones.
    """

    ready = 'ready'
    draining = 'draining'


class Role(enum.StrEnum):
    """Role of a backend server in its group."""

    primary = 'primary'
    replica = 'replica'


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """Registration of a backend server, written by the server itself.

    Attributes:
        server_id: Id of the server.
        group: Name of its database group.
        address: `host:port`.
        availability_zone: Availability zone in which it runs.
        slots: Number of statements that it runs concurrently.
        state: Whether it accepts new statements.
        role: Role that the server reports; a primary that has been replaced
            without noticing still reports `primary`.
        started_ms: Unix time in milliseconds of its start; 0 if unknown.
        revision: Store revision of the registration's last change.
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
    """Registration of a daemon, held under the daemon's store lease.

    Attributes:
        name: Name of the daemon's instance.
        availability_zone: Availability zone in which it runs.
        start: Random value that identifies the process; it changes with each
            start.
        link_address: `host:port` at which the daemon leases its connections to
            other daemons; empty if it does not.
        capacity: Number of processor cores that it may use.
        revision: Store revision of the registration.
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
        member: Instance name of the daemon that reports.
        group: Name of the database group.
        server_id: The primary that the daemon can't reach.
        revision: Store revision of the complaint.
    """

    member: str
    group: str
    server_id: str
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Office:
    """The right to order promotions in a database group.

    A daemon acquires it by a compare-and-swap on the group's entry in the
    store. The next daemon that does so takes it over: the platform refuses
    promotion orders with an outdated fencing token.

    Attributes:
        group: Name of the database group.
        holder: Instance name of the daemon that acquired it last.
        nonce: Random value by which the holder recognises its own write if
            the store's answer was lost.
        revision: Store revision of the write; the holder sends it as fencing
            token with its promotion orders.
        orders: Servers that its orders, and earlier ones, may promote.
        hold_term: Term of the promotion for which the group's replicas may be
            held, 0 if none are. A primary of this term or a newer one shows
            that the promotion has taken effect.
    """

    group: str
    holder: str
    nonce: str
    revision: int = 0
    orders: order_records.OrderRecord = order_records.OrderRecord()
    hold_term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """The removal of an item from the store.

    Attributes:
        kind: Class of the removed item.
        name: Server id, member name, or `group/member` of a complaint.
        revision: Store revision of the removal.
    """

    kind: type
    name: str
    revision: int = 0


StoreItem = Configuration | Server | Member | Complaint | Office
StoreChange = StoreItem | Removed
