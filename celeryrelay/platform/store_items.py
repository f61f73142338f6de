"""Items of the platform's store, decoded into the daemon's own types.

Operators and databases write `op/` and `servers/`; the daemons write under
`celeryrelay/`.
"""

import base64
import re
import typing
import urllib.parse

import msgspec
import result

from celeryrelay.core import ranks
from celeryrelay.gateway import catalog

CATALOG_KEY = 'op/config'
SERVER_PREFIX = 'servers/'
OWN_PREFIX = 'celeryrelay/'
MEMBER_PREFIX = 'celeryrelay/members/'
COMPLAINT_PREFIX = 'celeryrelay/complaints/'
OFFICE_PREFIX = 'celeryrelay/offices/'

# Fields of an address; a server's address is used for connections.
_ADDRESS = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')


class RawItem(msgspec.Struct):
    """An item or an event of the store."""

    key: str
    mod_revision: int
    value: str = ''
    lease: int = 0
    removed: bool = False


class RawRoute(msgspec.Struct):
    """A route of the configuration.

    `host` is the database name that callers use, `goal_ms` the latency target
    and `kind` what reads have to see: `primary`, `bounded` or `own`.
    """

    host: str
    service: str
    kind: typing.Literal['primary', 'bounded', 'own']
    timeout_ms: float
    goal_ms: float
    priority: int
    max_staleness_ms: float = 0


class RawService(msgspec.Struct):
    """A database group; `max_conns` counts the connections of all daemons."""

    name: str
    max_conns: int
    sync_replicas: int = 0


class RawLimits(msgspec.Struct):
    """Limits for all routes; `tx_idle_ms` ends idle transactions."""

    tx_idle_ms: float


class RawCatalog(msgspec.Struct):
    """The configuration as the operators write it."""

    version: int
    routes: list[RawRoute]
    services: list[RawService]
    limits: RawLimits


class RawServer(msgspec.Struct):
    """A database's registration; `born` is the time of its start."""

    service: str
    addr: str
    zone: str
    state: typing.Literal['ready', 'draining']
    db_role: typing.Literal['primary', 'replica']
    slots: int = 1
    born: int = 0


class RawMember(msgspec.Struct):
    """A daemon's registration."""

    zone: str
    start: str
    link_address: str = ''
    capacity: float = 1


class RawComplaint(msgspec.Struct):
    """A daemon's complaint."""

    server: str


class RawOffice(msgspec.Struct):
    """The last taker of the right to promote."""

    holder: str
    nonce: str


_KINDS = {
    'primary': catalog.ReadConsistency.primary,
    'bounded': catalog.ReadConsistency.bounded,
    'own': catalog.ReadConsistency.session,
}


def decode_change(
    raw: RawItem,
) -> result.Result[catalog.StoreChange | None, str]:
    """Return what an item says; None for items of no concern here."""
    if raw.removed:
        return result.Ok(_decode_removal(raw))
    try:
        return result.Ok(_decode_item(raw))
    except (msgspec.MsgspecError, ValueError) as error:
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
    if raw.key == CATALOG_KEY:
        return _decode_catalog(_body(raw))
    for prefix, decoder in (
        (SERVER_PREFIX, _decode_server),
        (MEMBER_PREFIX, _decode_member),
        (COMPLAINT_PREFIX, _decode_complaint),
        (OFFICE_PREFIX, _decode_office),
    ):
        if raw.key.startswith(prefix):
            name = raw.key.removeprefix(prefix)
            return decoder(name, _body(raw), raw.mod_revision)
    return None


def _body(raw: RawItem) -> bytes:
    return base64.b64decode(raw.value, validate=True)


def _decode_catalog(body: bytes) -> catalog.Configuration:
    raw = msgspec.json.decode(body, type=RawCatalog)
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
    )


def _decode_route(raw: RawRoute) -> catalog.Route:
    rank_index = min(max(raw.priority, 0), len(ranks.BY_URGENCY) - 1)
    return catalog.Route(
        database=raw.host,
        group=raw.service,
        consistency=_KINDS[raw.kind],
        rank=ranks.BY_URGENCY[rank_index],
        timeout_ms=raw.timeout_ms,
        target_ms=raw.goal_ms,
        max_age_ms=raw.max_staleness_ms,
    )


def _decode_server(name: str, body: bytes, revision: int) -> catalog.Server:
    raw = msgspec.json.decode(body, type=RawServer)
    if not _ADDRESS.fullmatch(raw.addr):
        raise ValueError('address {0!r} is not host:port'.format(raw.addr))
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
    if raw.link_address and not _ADDRESS.fullmatch(raw.link_address):
        raise ValueError(
            'link address {0!r} is not host:port'.format(raw.link_address),
        )
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
    return catalog.Office(name, raw.holder, raw.nonce, revision)


def encode_value(value: msgspec.Struct) -> str:
    """Return the stored form of a value."""
    return base64.b64encode(msgspec.json.encode(value)).decode('ascii')


def office_key(group: str) -> str:
    """Return the key of a group's office."""
    return OFFICE_PREFIX + group


def complaint_key(complaint: catalog.Complaint) -> str:
    """Return the key of a complaint."""
    return '{0}{1}/{2}'.format(
        COMPLAINT_PREFIX,
        complaint.group,
        complaint.member,
    )


def target(call: str, **parameters: str | int) -> str:
    """Return the target of a call with its query."""
    return '/celeryrelay/{0}?{1}'.format(
        call,
        urllib.parse.urlencode(parameters),
    )
