"""Models of the objects in an operator's object file."""

import ipaddress
import typing

import pydantic
import pydantic_core

from celeryrelay.conf import sets, settings
from celeryrelay.core import ranks

MAX_NAME_LENGTH = 64
# The MySQL protocol's limits for user and schema names.
MAX_USER_LENGTH = 32
MAX_SCHEMA_LENGTH = 64
# Each holder may use a quarter of the limit, so a limit below 4 would leave it
# without a connection.
MIN_CONNECTION_LIMIT = 4
# Names become parts of store keys, in which slashes separate the parts.
NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9_.-]*$'
DIGEST_PATTERN = '^([0-9a-f]{64})?$'
DEFAULT_DURABILITY = {
    ranks.Rank.bookings: sets.Durability.replicated,
    ranks.Rank.checks: sets.Durability.local,
    ranks.Rank.reports: sets.Durability.local,
}


def _check_address(text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise pydantic_core.PydanticCustomError(
            'ip_address',
            'an IP address is expected',
        ) from error


Name = typing.Annotated[
    str,
    pydantic.Field(pattern=NAME_PATTERN, max_length=MAX_NAME_LENGTH),
]
Reference = typing.Annotated[str, pydantic.Field(max_length=MAX_NAME_LENGTH)]
Schema = typing.Annotated[str, pydantic.Field(max_length=MAX_SCHEMA_LENGTH)]
Host = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
Port = typing.Annotated[int, pydantic.Field(strict=True, ge=1, le=65535)]
PositiveNumber = typing.Annotated[
    float,
    pydantic.Field(strict=True, gt=0, allow_inf_nan=False),
]


class SlotObject(settings.StrictModel):
    """One backend server of a database group.

    Attributes:
        name: Name of the slot, unique in its group.
        host: IP address of the server.
        port: TCP port of the server; host and port are unique in the set.
        zone: Availability zone of the server. Any name is allowed; daemons of
            other zones serve a zone without daemons.
    """

    name: Name
    host: Host
    port: Port
    zone: Name


class DatabaseGroupObject(settings.StrictModel):
    """A replicated database.

    Attributes:
        name: Name of the group, unique in the set.
        slots: Its backend servers, at least two.
        connection_limit: Largest number of connections to each slot.
        schema: Default schema of backend connections; empty for none.
    """

    name: Name
    slots: list[SlotObject]
    connection_limit: typing.Annotated[
        int,
        pydantic.Field(strict=True, ge=MIN_CONNECTION_LIMIT),
    ]
    # The base class of pydantic already has an attribute named `schema`.
    schema_: Schema = pydantic.Field('', alias='schema')


class RouteObject(settings.StrictModel):
    """Maps the statements of callers to a database group and a rank.

    Attributes:
        name: Name of the route, unique in the set.
        user: MySQL user name of the callers.
        schema: Schema that the callers select; empty if they select none. The
            pair of user and schema is unique in the set.
        group: Name of a database group of the set.
        rank: Rank of the route's statements.
        stale_read_rule: Name of a stale-read rule of the set for the route's
            reads; empty for reads that see the session's own writes.
        durability: When a write may be acknowledged; null to use the
            durability of the rank.
        password_sha256: SHA-256 digest of the callers' password in lower-case
            hexadecimal digits; empty for none. All routes of a user have the
            same digest.
    """

    name: Name
    user: typing.Annotated[
        str,
        pydantic.Field(min_length=1, max_length=MAX_USER_LENGTH),
    ]
    schema_: Schema = pydantic.Field('', alias='schema')
    group: Reference
    rank: ranks.Rank
    stale_read_rule: Reference = ''
    durability: sets.Durability | None = None
    password_sha256: typing.Annotated[
        str,
        pydantic.Field(pattern=DIGEST_PATTERN),
    ] = ''


class RankObject(settings.StrictModel):
    """How statements of one rank are served; one object for each rank.

    Attributes:
        rank: The rank.
        target_ms: Latency target.
        deadline_ms: Time after its arrival at which a waiting statement is
            refused; not less than the target.
        share: Weight of the rank when ranks compete for capacity.
        worth: Value of a statement that is served within its deadline.
        durability: When a write may be acknowledged; null for `replicated`
            with rank `bookings` and `local` with the other ranks.
    """

    rank: ranks.Rank
    target_ms: PositiveNumber
    deadline_ms: PositiveNumber
    share: PositiveNumber = 1
    worth: PositiveNumber = 1
    durability: sets.Durability | None = None


class StaleReadRuleObject(settings.StrictModel):
    """Largest age of the data that a read accepts.

    Attributes:
        name: Name of the rule, unique in the set.
        max_age_ms: Largest age of the data.
    """

    name: Name
    max_age_ms: PositiveNumber


KINDS: typing.Mapping[str, type[settings.StrictModel]] = {
    'database_groups': DatabaseGroupObject,
    'routes': RouteObject,
    'ranks': RankObject,
    'stale_read_rules': StaleReadRuleObject,
}


def to_group(group: DatabaseGroupObject) -> sets.DatabaseGroup:
    """Return `group` as a data class."""
    slots = tuple(
        sets.Slot(
            name=slot.name,
            host=slot.host,
            port=slot.port,
            availability_zone=slot.zone,
        )
        for slot in group.slots
    )
    return sets.DatabaseGroup(
        name=group.name,
        slots=slots,
        connection_limit=group.connection_limit,
        schema=group.schema_,
    )


def to_route(route: RouteObject) -> sets.Route:
    """Return `route` as a data class."""
    return sets.Route(
        name=route.name,
        user=route.user,
        schema=route.schema_,
        group=route.group,
        rank=route.rank,
        stale_read_rule=route.stale_read_rule,
        durability=route.durability,
        password_sha256=route.password_sha256,
    )


def to_rank(rank: RankObject) -> sets.RankPolicy:
    """Return `rank` as a data class with its default durability filled in."""
    return sets.RankPolicy(
        rank=rank.rank,
        target_ms=rank.target_ms,
        deadline_ms=rank.deadline_ms,
        share=rank.share,
        worth=rank.worth,
        durability=rank.durability or DEFAULT_DURABILITY[rank.rank],
    )


def to_rule(rule: StaleReadRuleObject) -> sets.StaleReadRule:
    """Return `rule` as a data class."""
    return sets.StaleReadRule(name=rule.name, max_age_ms=rule.max_age_ms)
