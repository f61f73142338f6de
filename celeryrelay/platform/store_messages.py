"""Bodies of the calls to the platform's store."""

import typing
from collections import abc

import msgspec

from celeryrelay.adapters import json_log
from celeryrelay.platform import store_items, store_revisions

# 0 stands for no revision and no lease.
_LeaseId = typing.Annotated[
    int, msgspec.Meta(ge=1, le=store_revisions.MAX_LEASE_ID)
]
_Revision = typing.Annotated[
    int, msgspec.Meta(ge=1, le=store_revisions.MAX_REVISION)
]


class RevisionCondition(msgspec.Struct):
    """A key and the revision that it must have; 0 if it must not exist."""

    key: str
    mod_revision: int


class Put(msgspec.Struct):
    """A value to write, under `lease` unless that is 0."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct):
    """Writes and deletions that are applied atomically.

    They are applied only if all conditions of `expect_rev` hold.
    """

    expect_rev: list[RevisionCondition] = []
    puts: list[Put] = []
    deletes: list[str] = []


class TransactionResult(msgspec.Struct):
    """Response to a transaction that was applied."""

    mod_revision: _Revision


class LeaseResponse(msgspec.Struct):
    """Response to a lease request: the id and time to live of the lease."""

    lease: _LeaseId
    ttl_ms: int


class LeaseRequest(msgspec.Struct):
    """Request for a new lease."""

    ttl_ms: int


class PageResponse(msgspec.Struct):
    """One page of the items in a key range, which are undecoded."""

    items: list[msgspec.Raw]
    has_more: bool
    store_revision: _Revision


class EventsResponse(msgspec.Struct):
    """Response to a watch, with undecoded items."""

    events: list[msgspec.Raw]
    store_revision: _Revision


def decode_items(
    undecoded: abc.Iterable[msgspec.Raw],
    era: int,
) -> list[store_items.RawItem]:
    """Decode items; a malformed one does not hide the others.

    Args:
        undecoded: The items.
        era: Era of the store in which they were read.
    """
    decoded: list[store_items.RawItem] = []
    for raw in undecoded:
        try:
            decoded.append(decode_item(raw, era))
        except store_items.DECODE_ERRORS as error:
            json_log.get('store').warning(
                'malformed item in the store', problem=str(error)
            )
    return decoded


def decode_item(undecoded: bytes, era: int) -> store_items.RawItem:
    """Decode an item that was read in an era of the store.

    Raises:
        MsgspecError: The item is malformed.
    """
    found = msgspec.json.decode(undecoded, type=store_items.RawItem)
    found.mod_revision = store_revisions.pack(era, found.mod_revision)
    return found
