"""Validated object sets as data classes."""

import dataclasses
import enum
import typing
from collections import abc

from celeryrelay.core import ranks


class Durability(enum.StrEnum):
    """When a write may be acknowledged.

    Attributes:
        local: When the primary has committed it and its term is known to be
            open.
        replicated: When in addition another slot has a copy of it.
        preferred: Like `replicated` while at least one other slot answers
            probes, otherwise like `local`.
    """

    local = 'local'
    replicated = 'replicated'
    preferred = 'preferred'


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """One backend server of a database group."""

    name: str
    host: str
    port: int
    availability_zone: str

    @property
    def address(self) -> str:
        """Return `host:port`, as in the platform's list of instances."""
        return '{0}:{1}'.format(self.host, self.port)


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseGroup:
    """A replicated database.

    Attributes:
        name: Name of the group.
        slots: Its backend servers.
        connection_limit: Largest number of connections to each slot.
        schema: Default schema of backend connections; empty for none.
    """

    name: str
    slots: tuple[Slot, ...]
    connection_limit: int
    schema: str = ''

    def slot(self, name: str) -> Slot | None:
        """Return the slot with this name, None if there is none."""
        return next((slot for slot in self.slots if slot.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class RankPolicy:
    """How statements of one rank are served.

    Attributes:
        rank: The rank.
        target_ms: Latency target.
        deadline_ms: Time after its arrival at which a waiting statement is
            refused.
        share: Weight of the rank when ranks compete for capacity.
        worth: Value of a statement that is served within its deadline.
        durability: When a write of this rank may be acknowledged.
    """

    rank: ranks.Rank
    target_ms: float
    deadline_ms: float
    share: float
    worth: float
    durability: Durability


@dataclasses.dataclass(frozen=True, slots=True)
class StaleReadRule:
    """Largest age of the data that a read accepts.

    Attributes:
        name: Name of the rule.
        max_age_ms: Largest age of the data, in milliseconds.
    """

    name: str
    max_age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps the statements of callers to a database group and a rank.

    Attributes:
        name: Name of the route.
        user: MySQL user name of the callers.
        schema: Schema that the callers select; empty if they select none.
        group: Name of the database group.
        rank: Rank of the route's statements.
        stale_read_rule: Name of the stale-read rule for its reads; empty for
            reads that see the session's own writes.
        durability: Overrides the durability of the rank unless it is None.
        password_sha256: SHA-256 digest of the callers' password in hexadecimal
            digits; empty for none.
    """

    name: str
    user: str
    schema: str
    group: str
    rank: ranks.Rank
    stale_read_rule: str = ''
    durability: Durability | None = None
    password_sha256: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectSet:
    """A validated set of objects that an operator publishes together.

    Attributes:
        groups: Database groups by name.
        routes: Routes.
        ranks: One policy for each rank.
        stale_read_rules: Stale-read rules by name.
    """

    groups: typing.Mapping[str, DatabaseGroup]
    routes: tuple[Route, ...]
    ranks: typing.Mapping[ranks.Rank, RankPolicy]
    stale_read_rules: typing.Mapping[str, StaleReadRule]


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedSet:
    """A published object set.

    Attributes:
        revision: Number that increases by one with each publication, or by
            more if the publish command demands it.
        publication: Random id of the publish command.
        object_set: The validated objects.
        raw: The same objects as parsed from JSON; sent on to other daemons.
    """

    revision: int
    publication: str
    object_set: ObjectSet
    raw: abc.Mapping[str, typing.Any]
