"""Checked object sets as data classes."""

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
        replicated: When another slot holds it as well.
        preferred: As `replicated` while another slot answers probes, as
            `local` while none does.
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
        """Return the address as in the platform's list."""
        return '{0}:{1}'.format(self.host, self.port)


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseGroup:
    """A replicated database.

    Attributes:
        name: Name of the group.
        slots: Its backend servers.
        connection_limit: Connections that each slot accepts.
        schema: Default schema of backend connections; may be empty.
    """

    name: str
    slots: tuple[Slot, ...]
    connection_limit: int
    schema: str = ''

    def slot(self, name: str) -> Slot | None:
        """Return the slot called `name`."""
        return next((slot for slot in self.slots if slot.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class RankPolicy:
    """How statements of one rank are served.

    Attributes:
        rank: The rank.
        target_ms: Latency target.
        deadline_ms: Age at which a waiting statement is refused.
        share: Share of the capacity under contention, in units relative to
            the other ranks.
        worth: Value of one statement served within its deadline.
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
    """Largest age of the data that a read accepts, in milliseconds."""

    name: str
    max_age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps callers to a database group and a rank.

    Attributes:
        name: Name of the route.
        user: MySQL user name of the callers.
        schema: Schema that callers select.
        group: Name of the database group.
        rank: Rank of the route's statements.
        stale_read_rule: Name of the rule for its reads; empty for fresh reads.
        durability: Overrides the rank's durability if set.
        password_sha256: Hex digest of the callers' password; empty for none.
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
    """A checked set of operators' objects."""

    groups: typing.Mapping[str, DatabaseGroup]
    routes: tuple[Route, ...]
    ranks: typing.Mapping[ranks.Rank, RankPolicy]
    stale_read_rules: typing.Mapping[str, StaleReadRule]


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedSet:
    """An object set with its place in the order of publications.

    Attributes:
        revision: Number that grows by one with each publication.
        publication: Random id of the publish command that made it.
        object_set: The objects.
        raw: The objects as published, for passing on.
    """

    revision: int
    publication: str
    object_set: ObjectSet
    raw: abc.Mapping[str, typing.Any]
