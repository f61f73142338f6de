"""Client of the platform's store."""

import typing

import msgspec
import result

from celeryrelay.gateway import catalog, interfaces
from celeryrelay.platform import store_items, http1

CALL_TIMEOUT_S = 1.5
# Time that a watch may take beyond its own wait.
WATCH_SLACK_S = 2.0

_NOT_FOUND = 404
_CONFLICT = 412
_GONE = 410
_OK = 200

Body = typing.TypeVar('Body')


class Row(msgspec.Struct):
    """A condition on a key's revision; 0 means that it must not exist."""

    key: str
    mod_revision: int


class Put(msgspec.Struct):
    """A value to write; lease 0 means none."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct):
    """An all-or-nothing change."""

    expect_rev: list[Row] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Written(msgspec.Struct):
    """Answer to a transaction."""

    mod_revision: int


class Lease(msgspec.Struct):
    """Answer to a new lease."""

    lease: int
    ttl_ms: int


class LeaseRequest(msgspec.Struct):
    """Request for a lease."""

    ttl_ms: int


class Page(msgspec.Struct):
    """One page of a range."""

    items: list[store_items.RawItem]
    has_more: bool
    store_revision: int


class Events(msgspec.Struct):
    """Answer to a watch."""

    events: list[store_items.RawItem]
    store_revision: int


class HistoryGone(typing.NamedTuple):
    """The store no longer has the events after the given revision."""

    revision: int


class StoreClient:
    """All calls of one daemon to the store."""

    def __init__(self, address: str) -> None:
        """Call the store at `address`, `host:port`."""
        self._address = address
        self._calls = http1.Channel(address)
        self._renewals = http1.Channel(address)
        self._watches = http1.Channel(address)
        self.calls: dict[str, int] = {}

    def close(self) -> None:
        """End all connections."""
        for channel in (self._calls, self._renewals, self._watches):
            channel.close()

    async def read_all(
        self,
        after: str = '',
    ) -> result.Result[Page, interfaces.StoreError]:
        """Return a page of all items, beginning after the key `after`."""
        parameters = {'prefix': '', 'after': after} if after else {'prefix': ''}
        target = store_items.target('kv-range', **parameters)
        return await self._ask(self._watches, 'GET', target, Page)

    async def watch(
        self,
        revision: int,
        wait_ms: int,
    ) -> result.Result[Events | HistoryGone, interfaces.StoreError]:
        """Wait for events after `revision`."""
        target = store_items.target(
            'kv-watch',
            prefix='',
            after=revision,
            wait_ms=wait_ms,
        )
        answer = await self._call(
            self._watches,
            'GET',
            target,
            timeout_s=wait_ms / 1000 + WATCH_SLACK_S,
        )
        match answer:
            case result.Ok(http1.Response(status=status)) if status == _GONE:
                return result.Ok(HistoryGone(revision))
        return _decoded(answer, Events)

    async def register(
        self,
        member: catalog.Member,
        ttl_ms: int,
    ) -> result.Result[int, interfaces.StoreError]:
        """Register a daemon under a new lease and return the lease's id."""
        lease = await self._ask(
            self._calls,
            'POST',
            '/celeryrelay/kv-lease',
            Lease,
            LeaseRequest(ttl_ms),
        )
        match lease:
            case result.Err():
                return lease
        put = Put(
            store_items.MEMBER_PREFIX + member.name,
            store_items.encode_value(
                store_items.RawMember(
                    member.availability_zone,
                    member.start,
                    member.link_address,
                    member.capacity,
                ),
            ),
            lease.ok_value.lease,
        )
        match await self._change(Transaction(puts=[put])):
            case result.Err(problem):
                return result.Err(problem)
        return result.Ok(lease.ok_value.lease)

    async def renew(
        self,
        lease: int,
    ) -> result.Result[bool, interfaces.StoreError]:
        """Renew a lease; False if it has ended."""
        answer = await self._call(
            self._renewals,
            'POST',
            '/celeryrelay/kv-keep/{0}'.format(lease),
        )
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status in {_OK, _NOT_FOUND}:
                    return result.Ok(status == _OK)
        return _problem(answer)

    async def release(
        self,
        lease: int,
    ) -> result.Result[None, interfaces.StoreError]:
        """End a lease and remove what was registered under it."""
        answer = await self._call(
            self._renewals,
            'DELETE',
            '/celeryrelay/kv-lease-end/{0}'.format(lease),
        )
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status in {_OK, _NOT_FOUND}:
                    return result.Ok(None)
        return _problem(answer)

    async def acquire_office(
        self,
        office: catalog.Office,
        known_revision: int,
    ) -> result.Result[int | None, interfaces.StoreError]:
        """Write `office` if its revision is still `known_revision`."""
        key = store_items.office_key(office.group)
        put = Put(
            key,
            store_items.encode_value(
                store_items.RawOffice(office.holder, office.nonce),
            ),
        )
        return await self._change(
            Transaction(
                expect_rev=[Row(key, known_revision)],
                puts=[put],
            ),
        )

    async def read_office(
        self,
        group: str,
    ) -> result.Result[catalog.Office | None, interfaces.StoreError]:
        """Return the newest office of a group."""
        target = store_items.target(
            'kv-key',
            key=store_items.office_key(group),
        )
        answer = await self._call(self._calls, 'GET', target)
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status == _NOT_FOUND:
                    return result.Ok(None)
        match _decoded(answer, store_items.RawItem):
            case result.Ok(raw):
                return store_items.decode_change(raw).map_err(
                    interfaces.StoreError,
                )
            case result.Err(problem):
                return result.Err(problem)

    async def write_complaint(
        self,
        complaint: catalog.Complaint,
        lease: int,
    ) -> result.Result[None, interfaces.StoreError]:
        """Write a complaint that ends with the daemon's lease."""
        put = Put(
            store_items.complaint_key(complaint),
            store_items.encode_value(
                store_items.RawComplaint(complaint.server_id),
            ),
            lease,
        )
        changed = await self._change(Transaction(puts=[put]))
        return changed.map(lambda _: None)

    async def delete_complaint(
        self,
        complaint: catalog.Complaint,
    ) -> result.Result[None, interfaces.StoreError]:
        """Remove a complaint."""
        key = store_items.complaint_key(complaint)
        changed = await self._change(Transaction(deletes=[key]))
        return changed.map(lambda _: None)

    async def _change(
        self,
        transaction: Transaction,
    ) -> result.Result[int | None, interfaces.StoreError]:
        answer = await self._call(
            self._calls,
            'POST',
            '/celeryrelay/kv-txn',
            transaction,
        )
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status == _CONFLICT:
                    return result.Ok(None)
        match _decoded(answer, Written):
            case result.Ok(written):
                return result.Ok(written.mod_revision)
            case result.Err(problem):
                return result.Err(problem)

    async def _ask(
        self,
        channel: http1.Channel,
        method: str,
        target: str,
        answer_type: type[Body],
        body: msgspec.Struct | None = None,
    ) -> result.Result[Body, interfaces.StoreError]:
        answer = await self._call(channel, method, target, body)
        return _decoded(answer, answer_type)

    async def _call(
        self,
        channel: http1.Channel,
        method: str,
        target: str,
        body: msgspec.Struct | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[http1.Response, http1.Failure]:
        purpose = target.partition('?')[0].split('/')[2]
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        content = b'' if body is None else msgspec.json.encode(body)
        request = http1.make_request(self._address, method, target, content)
        return await channel.call(request, content, timeout_s)


Answer = result.Result[http1.Response, http1.Failure]


def _decoded(
    answer: Answer,
    answer_type: type[Body],
) -> result.Result[Body, interfaces.StoreError]:
    match answer:
        case result.Ok(http1.Response(status=status, body=body)):
            if status == _OK:
                try:
                    return result.Ok(
                        msgspec.json.decode(body, type=answer_type)
                    )
                except msgspec.MsgspecError as error:
                    return result.Err(interfaces.StoreError(str(error), True))
    return _problem(answer)


def _problem(answer: Answer) -> result.Err[interfaces.StoreError]:
    match answer:
        case result.Ok(http1.Response(status=status)):
            # A status says that nothing was done.
            return result.Err(
                interfaces.StoreError('status {0}'.format(status))
            )
        case result.Err(http1.Failure(message, sent)):
            return result.Err(interfaces.StoreError(message, sent))
