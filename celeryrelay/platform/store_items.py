"""Schemas of the items in the platform's store, and their decoding.

Operators write `op/`, backend servers write `servers/`, and the daemons write
under `celeryrelay/`.
"""

import base64
import re
import typing
import urllib.parse

import msgspec
import result

from celeryrelay.accounts import directory
from celeryrelay.core import addresses, ranks
from celeryrelay.gateway import catalog
from celeryrelay.platform import store_revisions
from celeryrelay.terms import order_records

CONFIGURATION_KEY = 'op/config'
SERVER_PREFIX = 'servers/'
OWN_PREFIX = 'celeryrelay/'
MEMBER_PREFIX = 'celeryrelay/members/'
COMPLAINT_PREFIX = 'celeryrelay/complaints/'
OFFICE_PREFIX = 'celeryrelay/offices/'

# What msgspec raises for values that don't fit their schema. It limits the
# depth of nested values by the recursion limit of the interpreter.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

# Server ids and names of groups are fields of the line protocol.
_PROTOCOL_WORD = re.compile('[!-~]+')
# Larger integers can't be computed with as a float, nor sent to other daemons.
MAX_INTEGER = 2**63 - 1
_Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
_Revision = typing.Annotated[
    int, msgspec.Meta(ge=0, le=store_revisions.MAX_REVISION)
]
_Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=directory.MAX_RATE_PER_S)]


class RawItem(msgspec.Struct):
    """An item or a change event of the store, with its value undecoded.

    `mod_revision` is the revision of the store in its present era until
    `store_messages.decode_item` adds the era.
    """

    key: str
    mod_revision: _Revision
    value: str = ''
    lease: int = 0
    removed: bool = False


class RawRoute(msgspec.Struct):
    """A route of the configuration.

    `host` is the database name that callers use, `service` the database group,
    `goal_ms` the latency target and `kind` the consistency of reads: `primary`
    reads see all commits, `bounded` reads may lag behind by up to
    `max_staleness_ms`, and `own` reads also see the session's own commits.
    `public` routes need no API key.
    """

    host: str
    service: str
    kind: typing.Literal['primary', 'bounded', 'own']
    timeout_ms: float
    goal_ms: float
    priority: _Integer
    max_staleness_ms: float = 0
    public: bool = False


class RawService(msgspec.Struct):
    """A database group of the configuration.

    `max_conns` limits the connections of all daemons together to one server.
    """

    name: str
    max_conns: _Integer
    sync_replicas: _Integer = 0


class RawLimits(msgspec.Struct):
    """Limits for all routes.

    `tx_idle_ms` is the idle time after which a transaction may be ended.
    """

    tx_idle_ms: float


class RawAccount(msgspec.Struct):
    """A client account of the configuration, with its API keys.

    `rate_per_s` and `burst` limit its operations on all daemons together.
    """

    name: str
    api_keys: list[str]
    priority: _Integer = 0
    rate_per_s: _Rate | None = None
    burst: _Rate = 0


class RawConfiguration(msgspec.Struct):
    """The configuration, which the operators write."""

    version: _Integer
    routes: list[RawRoute]
    services: list[RawService]
    limits: RawLimits
    tenants: list[RawAccount] = []


class RawServer(msgspec.Struct):
    """The registration of a backend server.

    `born` is the Unix time in milliseconds of its start.
    """

    service: str
    addr: str
    zone: str
    state: typing.Literal['ready', 'draining']
    db_role: typing.Literal['primary', 'replica']
    slots: _Integer = 1
    born: _Integer = 0


class RawMember(msgspec.Struct):
    """The registration of a daemon.

    `start` is a random value that differs for each start of the process.
    """

    zone: str
    start: str
    link_address: str = ''
    capacity: float = 1


class RawComplaint(msgspec.Struct):
    """A daemon's complaint that it can't reach the primary `server`."""

    server: str


class RawOffice(msgspec.Struct):
    """The office of a database group: the right to order promotions in it.

    `holder` is the daemon that acquired it last, `nonce` a random value by
    which that daemon recognises its own write. `candidates` are the servers
    that an order may still promote; `settled` tells that all orders were
    answered. `hold_term` is the term of the promotion for which replicas may
    be held, 0 if none are.
    """

    holder: str
    nonce: str
    candidates: list[str] = []
    settled: bool = True
    hold_term: _Integer = 0


_READ_CONSISTENCY = {
    'primary': catalog.ReadConsistency.primary,
    'bounded': catalog.ReadConsistency.bounded,
    'own': catalog.ReadConsistency.session,
}


def decode_change(
    raw: RawItem,
) -> result.Result[catalog.StoreChange | None, str]:
    """Decode an item; None if its key is not one that the daemon uses."""
    if raw.removed:
        return result.Ok(_decode_removal(raw))
    try:
        return result.Ok(_decode_item(raw))
    except DECODE_ERRORS as error:
        return result.Err('{0}: {1}'.format(raw.key, error))


def _decode_removal(raw: RawItem) -> catalog.Removed | None:
    for prefix, kind in (
        (SERVER_PREFIX, catalog.Server),
        (MEMBER_PREFIX, catalog.Member),
        (COMPLAINT_PREFIX, catalog.Complaint),
    ):
        if raw.key.startswith(prefix):
            name = raw.key.removeprefix(prefix)
            return catalog.Removed(kind, name, raw.mod_revision)
    return None


def _decode_item(raw: RawItem) -> catalog.StoreItem | None:
    if raw.key == CONFIGURATION_KEY:
        return _decode_configuration(_decode_value(raw))
    for prefix, decoder in (
        (SERVER_PREFIX, _decode_server),
        (MEMBER_PREFIX, _decode_member),
        (COMPLAINT_PREFIX, _decode_complaint),
        (OFFICE_PREFIX, _decode_office),
    ):
        if raw.key.startswith(prefix):
            name = raw.key.removeprefix(prefix)
            return decoder(name, _decode_value(raw), raw.mod_revision)
    return None


def _decode_value(raw: RawItem) -> bytes:
    return base64.b64decode(raw.value, validate=True)


def _decode_configuration(body: bytes) -> catalog.Configuration:
    raw = msgspec.json.decode(body, type=RawConfiguration)
    return catalog.Configuration(
        version=raw.version,
        routes={route.host: _decode_route(route) for route in raw.routes},
        groups={
            service.name: catalog.Group(
                service.name,
                service.max_conns,
                service.sync_replicas > 0,
            )
            for service in raw.services
        },
        transaction_idle_ms=raw.limits.tx_idle_ms,
        accounts=directory.AccountDirectory(
            (_decode_account(account), account.api_keys)
            for account in raw.tenants
        ),
    )


def _decode_account(raw: RawAccount) -> directory.ClientAccount:
    if not _PROTOCOL_WORD.fullmatch(raw.name):
        raise ValueError('{0!r} is not a name'.format(raw.name))
    quota = None
    if raw.rate_per_s is not None:
        quota = directory.Quota(raw.rate_per_s, raw.burst)
    return directory.ClientAccount(raw.name, raw.priority, quota)


def _decode_route(raw: RawRoute) -> catalog.Route:
    rank_index = min(max(raw.priority, 0), len(ranks.BY_URGENCY) - 1)
    return catalog.Route(
        database=raw.host,
        group=raw.service,
        consistency=_READ_CONSISTENCY[raw.kind],
        rank=ranks.BY_URGENCY[rank_index],
        timeout_ms=raw.timeout_ms,
        target_ms=raw.goal_ms,
        max_age_ms=raw.max_staleness_ms,
        public=raw.public,
    )


def _decode_server(name: str, body: bytes, revision: int) -> catalog.Server:
    raw = msgspec.json.decode(body, type=RawServer)
    for word in (name, raw.service):
        if not _PROTOCOL_WORD.fullmatch(word):
            raise ValueError('{0!r} is not a name'.format(word))
    addresses.parse_peer(raw.addr)
    return catalog.Server(
        server_id=name,
        group=raw.service,
        address=raw.addr,
        availability_zone=raw.zone,
        slots=raw.slots,
        state=catalog.ServerState(raw.state),
        role=catalog.Role(raw.db_role),
        started_ms=raw.born,
        revision=revision,
    )


def _decode_member(name: str, body: bytes, revision: int) -> catalog.Member:
    raw = msgspec.json.decode(body, type=RawMember)
    if raw.link_address:
        addresses.parse_peer(raw.link_address)
    if not raw.capacity > 0:
        raise ValueError('capacity {0} is not above 0'.format(raw.capacity))
    return catalog.Member(
        name,
        raw.zone,
        raw.start,
        raw.link_address,
        raw.capacity,
        revision,
    )


def _decode_complaint(
    name: str,
    body: bytes,
    revision: int,
) -> catalog.Complaint:
    raw = msgspec.json.decode(body, type=RawComplaint)
    group, _, member = name.partition('/')
    return catalog.Complaint(member, group, raw.server, revision)


def _decode_office(name: str, body: bytes, revision: int) -> catalog.Office:
    raw = msgspec.json.decode(body, type=RawOffice)
    orders = order_records.OrderRecord(frozenset(raw.candidates), raw.settled)
    return catalog.Office(
        name, raw.holder, raw.nonce, revision, orders, raw.hold_term
    )


def encode_value(value: msgspec.Struct) -> str:
    """Encode a value as the store keeps it: JSON in Base64."""
    return base64.b64encode(msgspec.json.encode(value)).decode('ascii')


def office_key(group: str) -> str:
    """Return the key of the office of `group`."""
    return OFFICE_PREFIX + group


def complaint_key(complaint: catalog.Complaint) -> str:
    """Return the key under which `complaint` is stored."""
    return '{0}{1}/{2}'.format(
        COMPLAINT_PREFIX,
        complaint.group,
        complaint.member,
    )


def request_target(call: str, **parameters: str | int) -> str:
    """Return the HTTP request target of a store call with its query."""
    return '/celeryrelay/{0}?{1}'.format(
        call,
        urllib.parse.urlencode(parameters),
    )
