"""Client of the platform's key-value store."""

import typing

import msgspec
import result

from celeryrelay.gateway import catalog, interfaces
from celeryrelay.adapters import json_log
from celeryrelay.platform import (
    http1,
    store_items,
    store_messages,
    store_revisions,
)

CALL_TIMEOUT_S = 1.5
# Time allowed for the response to a watch in addition to its waiting time.
WATCH_TIMEOUT_MARGIN_S = 2.0
# Limit for a read of the configuration. A withdrawn key must be known within
# 5 s, so several attempts have to fit into that time.
CONFIGURATION_TIMEOUT_S = 0.6

_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_GONE = 410
# Statuses from this one on leave open whether the store has made a change,
# except for those that say that it has not.
_SERVER_ERRORS = 500
_NOTHING_DONE = frozenset((503,))
_OK = 200
_ERA_HEADER = b'store-era'

Body = typing.TypeVar('Body')


class Page(typing.NamedTuple):
    """One page of the items in a key range."""

    items: list[store_items.RawItem]
    has_more: bool
    store_revision: int


class Events(typing.NamedTuple):
    """Response to a watch."""

    events: list[store_items.RawItem]
    store_revision: int


class HistoryGone(typing.NamedTuple):
    """The store has discarded events after the given revision."""

    revision: int


DecodedConfiguration = catalog.Configuration | interfaces.MalformedConfiguration


class StoreClient:
    """The store client of a daemon.

    A connection carries one call at a time, so lease renewals, watches and
    reads of the configuration have connections of their own: they must not
    queue behind other calls.

    A restored store issues revisions and ids of leases again, so the client
    returns them with the store's era. It answers calls for a lease or a
    condition of an earlier era itself, since the store could take the number
    for one that it has issued since. A call during which the era rises fails
    with an unknown outcome.

    Attributes:
        call_counts: Number of calls by the name of the call, such as `kv-txn`.
    """

    def __init__(self, address: str) -> None:
        """Create a client of the store at `address` (`host:port`)."""
        self._address = address
        self._calls = http1.ClientConnection(address)
        self._renewals = http1.ClientConnection(address)
        self._watches = http1.ClientConnection(address)
        self._configuration_reads = http1.ClientConnection(address)
        self._decoded: tuple[str, DecodedConfiguration] | None = None
        self.call_counts: dict[str, int] = {}
        self._era: int | None = None
        self._log = json_log.get('store')

    @property
    def era(self) -> int:
        """Number of times that the store was restored from an older copy."""
        return self._era or 0

    def close(self) -> None:
        """Close all connections."""
        for connection in (
            self._calls,
            self._renewals,
            self._watches,
            self._configuration_reads,
        ):
            connection.close()

    async def read_configuration(
        self,
    ) -> result.Result[DecodedConfiguration | None, interfaces.StoreError]:
        """Read the newest configuration; None if there is none."""
        target = store_items.request_target(
            'kv-key', key=store_items.CONFIGURATION_KEY
        )
        answer = await self._call(
            self._configuration_reads,
            'GET',
            target,
            timeout_s=CONFIGURATION_TIMEOUT_S,
        )
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status == _NOT_FOUND:
                    return result.Ok(None)
        return _decode_response(answer, store_items.RawItem).and_then(
            self._decode_configuration
        )

    def _decode_configuration(
        self, raw: store_items.RawItem
    ) -> result.Result[DecodedConfiguration, interfaces.StoreError]:
        """Decode a configuration, unless it is the one that was read last.

        A configuration with many keys takes a while to decode, and it is read
        every second.
        """
        if raw.key != store_items.CONFIGURATION_KEY or raw.removed:
            return result.Err(
                interfaces.StoreError('the store returned another item')
            )
        if self._decoded is None or self._decoded[0] != raw.value:
            match store_items.decode_change(raw):
                case result.Ok(configuration):
                    decoded = configuration
                case result.Err(problem):
                    decoded = interfaces.MalformedConfiguration(problem)
            self._decoded = raw.value, decoded
        return result.Ok(self._decoded[1])

    async def read_all(
        self,
        after: str = '',
    ) -> result.Result[Page, interfaces.StoreError]:
        """Read a page of the store's items, starting after the key `after`."""
        parameters = {'prefix': '', 'after': after} if after else {'prefix': ''}
        target = store_items.request_target('kv-range', **parameters)
        answer = await self._call_and_decode(
            self._watches, 'GET', target, store_messages.PageResponse
        )
        return answer.map(
            lambda page: Page(
                store_messages.decode_items(page.items, self.era),
                page.has_more,
                store_revisions.pack(self.era, page.store_revision),
            )
        )

    async def watch(
        self,
        revision: int,
        wait_ms: int,
    ) -> result.Result[Events | HistoryGone, interfaces.StoreError]:
        """Wait up to `wait_ms` for events after `revision`."""
        era, number = store_revisions.unpack(revision)
        if era != self.era:
            return result.Ok(HistoryGone(revision))
        target = store_items.request_target(
            'kv-watch',
            prefix='',
            after=number,
            wait_ms=wait_ms,
        )
        answer = await self._call(
            self._watches,
            'GET',
            target,
            timeout_s=wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_S,
        )
        match answer:
            case result.Ok(http1.Response(status=status)) if status == _GONE:
                return result.Ok(HistoryGone(revision))
            case _ if era != self.era:
                return result.Ok(HistoryGone(revision))
        return _decode_response(answer, store_messages.EventsResponse).map(
            lambda changed: Events(
                store_messages.decode_items(changed.events, era),
                store_revisions.pack(era, changed.store_revision),
            )
        )

    async def register(
        self,
        member: catalog.Member,
        ttl_ms: int,
    ) -> result.Result[int, interfaces.StoreError]:
        """Register a daemon under a new lease and return the lease id."""
        lease = await self._call_and_decode(
            self._calls,
            'POST',
            '/celeryrelay/kv-lease',
            store_messages.LeaseResponse,
            store_messages.LeaseRequest(ttl_ms),
        )
        match lease:
            case result.Err():
                return lease
        put = store_messages.Put(
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
        match await self._run_transaction(
            store_messages.Transaction(puts=[put])
        ):
            case result.Err(problem):
                return result.Err(problem)
        return result.Ok(
            store_revisions.pack_lease(self.era, lease.ok_value.lease)
        )

    async def renew(
        self,
        lease: int,
    ) -> result.Result[bool, interfaces.StoreError]:
        """Renew a lease; return False if the store no longer has it."""
        era, number = store_revisions.unpack_lease(lease)
        if era != self.era:
            return result.Ok(False)
        answer = await self._call(
            self._renewals,
            'POST',
            '/celeryrelay/kv-keep/{0}'.format(number),
        )
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status in {_OK, _NOT_FOUND}:
                    return result.Ok(status == _OK)
        return _to_store_error(answer)

    async def release(
        self,
        lease: int,
    ) -> result.Result[None, interfaces.StoreError]:
        """End a lease, which removes the items written under it."""
        era, number = store_revisions.unpack_lease(lease)
        if era != self.era:
            return result.Ok(None)
        answer = await self._call(
            self._renewals,
            'DELETE',
            '/celeryrelay/kv-lease-end/{0}'.format(number),
        )
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status in {_OK, _NOT_FOUND}:
                    return result.Ok(None)
        return _to_store_error(answer)

    async def acquire_office(
        self,
        office: catalog.Office,
        known_revision: int,
    ) -> result.Result[int | None, interfaces.StoreError]:
        """Acquire an office if its revision is still `known_revision`.

        Returns:
            The revision of the write, None if another write came first or
            the store was restored, which may have undone earlier writes.
        """
        era, number = store_revisions.unpack(known_revision)
        if known_revision and era != self.era:
            return result.Ok(None)
        first_era = self._era
        key = store_items.office_key(office.group)
        put = store_messages.Put(
            key,
            store_items.encode_value(
                store_items.RawOffice(
                    office.holder,
                    office.nonce,
                    sorted(office.orders.candidates),
                    office.orders.settled,
                    office.hold_term,
                ),
            ),
        )
        written = await self._run_transaction(
            store_messages.Transaction(
                expect_rev=[store_messages.RevisionCondition(key, number)],
                puts=[put],
            ),
        )
        if first_era is not None and first_era != self._era:
            return result.Ok(None)
        return written

    async def read_office(
        self,
        group: str,
    ) -> result.Result[catalog.Office | None, interfaces.StoreError]:
        """Read the office of a group; None if it was never acquired."""
        target = store_items.request_target(
            'kv-key',
            key=store_items.office_key(group),
        )
        answer = await self._call(self._calls, 'GET', target)
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status == _NOT_FOUND:
                    return result.Ok(None)
        match _decode_response(answer, store_items.RawItem):
            case result.Ok(raw):
                raw.mod_revision = store_revisions.pack(
                    self.era, raw.mod_revision
                )
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
        """Write a complaint, which ends with the daemon's lease."""
        era, number = store_revisions.unpack_lease(lease)
        if era != self.era:
            return result.Err(
                interfaces.StoreError('the lease is of an earlier store era')
            )
        put = store_messages.Put(
            store_items.complaint_key(complaint),
            store_items.encode_value(
                store_items.RawComplaint(complaint.server_id),
            ),
            number,
        )
        changed = await self._run_transaction(
            store_messages.Transaction(puts=[put])
        )
        return changed.map(lambda _: None)

    async def delete_complaint(
        self,
        complaint: catalog.Complaint,
    ) -> result.Result[None, interfaces.StoreError]:
        """Delete a complaint."""
        key = store_items.complaint_key(complaint)
        changed = await self._run_transaction(
            store_messages.Transaction(deletes=[key])
        )
        return changed.map(lambda _: None)

    async def _run_transaction(
        self,
        transaction: store_messages.Transaction,
    ) -> result.Result[int | None, interfaces.StoreError]:
        answer = await self._call(
            self._calls,
            'POST',
            '/celeryrelay/kv-txn',
            transaction,
        )
        match answer:
            case result.Ok(http1.Response(status=status)):
                if status == _PRECONDITION_FAILED:
                    return result.Ok(None)
        match _decode_response(answer, store_messages.TransactionResult):
            case result.Ok(written):
                return result.Ok(
                    store_revisions.pack(self.era, written.mod_revision)
                )
            case result.Err(problem):
                return result.Err(problem)

    async def _call_and_decode(
        self,
        connection: http1.ClientConnection,
        method: str,
        target: str,
        body_type: type[Body],
        body: msgspec.Struct | None = None,
    ) -> result.Result[Body, interfaces.StoreError]:
        answer = await self._call(connection, method, target, body)
        return _decode_response(answer, body_type)

    async def _call(
        self,
        connection: http1.ClientConnection,
        method: str,
        target: str,
        body: msgspec.Struct | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[http1.Response, http1.RequestError]:
        call_name = target.partition('?')[0].split('/')[2]
        self.call_counts[call_name] = self.call_counts.get(call_name, 0) + 1
        content = b'' if body is None else msgspec.json.encode(body)
        request = http1.make_request(self._address, method, target, content)
        era = self._era
        answer = await connection.call(request, content, timeout_s)
        match answer:
            case result.Ok(response):
                answered_in = self._observe_era(response)
                # The era may also have risen by an answer to another call.
                eras = {answered_in, self._era}
                if era is not None and eras != {era}:
                    return result.Err(_store_restored())
        return answer

    def _observe_era(self, response: http1.Response) -> int:
        """Return the era of a response, and record it if it is newer."""
        text = response.headers.get(_ERA_HEADER, b'0')
        if not text.isdigit() or int(text) > store_revisions.MAX_ERA:
            self._log.warning('malformed store era', era=repr(text))
            return self.era
        era = int(text)
        if self._era is not None and era > self._era:
            self._log.warning(
                'store restored from an older copy', era=era, before=self._era
            )
        self._era = max(era, self.era)
        return era


def _store_restored() -> http1.RequestError:
    return http1.RequestError(
        'the store was restored from an older copy during the call', sent=True
    )


CallResult = result.Result[http1.Response, http1.RequestError]


def _decode_response(
    answer: CallResult,
    body_type: type[Body],
) -> result.Result[Body, interfaces.StoreError]:
    match answer:
        case result.Ok(http1.Response(status=status, body=body)):
            if status == _OK:
                try:
                    return result.Ok(msgspec.json.decode(body, type=body_type))
                except store_items.DECODE_ERRORS as error:
                    return result.Err(interfaces.StoreError(str(error), True))
    return _to_store_error(answer)


def _to_store_error(answer: CallResult) -> result.Err[interfaces.StoreError]:
    match answer:
        case result.Ok(http1.Response(status=status)):
            is_unknown = (
                status >= _SERVER_ERRORS and status not in _NOTHING_DONE
            )
            return result.Err(
                interfaces.StoreError(
                    'store responded with status {0}'.format(status),
                    is_unknown,
                )
            )
        case result.Err(http1.RequestError(message, sent)):
            return result.Err(interfaces.StoreError(message, sent))
