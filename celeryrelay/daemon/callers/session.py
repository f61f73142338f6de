"""One caller connection: its state and the way of its statements."""

import dataclasses
import re
from collections import abc

import result

from celeryrelay.adapters import callers
from celeryrelay.conf import sets
from celeryrelay.core import outcomes, peer_messages, positions
from celeryrelay.daemon.account import recording
from celeryrelay.daemon.callers import (
    delivery,
    preparation,
    read_bounds,
    refusals,
)
from celeryrelay.routing import statement_kinds
from celeryrelay.sessions import bounds, tokens

TEXT_TYPE = 253
# Client libraries set the character set that all connections have anyway.
NEUTRAL_SETTING = re.compile(
    r"\s*SET\s+(NAMES|CHARACTER\s+SET|CHARSET)\s+'?utf8(mb[34])?'?"
    r"(\s+COLLATE\s+'?utf8(mb[34])?_\w+'?)?\s*;?\s*",
    re.IGNORECASE,
)

Parts = delivery.Parts


@dataclasses.dataclass(slots=True)
class SessionParts:
    """What all sessions of this entry share."""

    deliveries: delivery.DeliveryParts
    preparer: preparation.Preparer
    signer: tokens.TokenSigner
    recorder: recording.Recorder


class Session:
    """State of one caller connection."""

    def __init__(self, parts: SessionParts, connection_id: int) -> None:
        """Create a session before its handshake."""
        self.finished = False
        self._parts = parts
        self._fleet = parts.deliveries.fleet
        self._deliverer = delivery.Deliverer(parts.deliveries, connection_id)
        self._login = preparation.Login()
        self._autocommit = True
        self._wants_transaction = False
        self._transaction: delivery.OpenTransaction | None = None
        self._bounds = bounds.SessionBounds()
        self._started_groups: set[str] = set()
        self._pending_token = ''

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._wants_transaction or self._transaction is not None

    def open(
        self,
        user: str,
        schema: str,
        attributes: abc.Mapping[str, str],
    ) -> outcomes.Outcome:
        """Begin the session after the handshake."""
        self._login = preparation.Login(user, schema)
        self._pending_token = attributes.get(preparation.TOKEN_ATTRIBUTE, '')
        return outcomes.Done()

    async def close(self) -> None:
        """End the session and roll back its transaction."""
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            request = self._parts.preparer.next_request()
            await self._deliverer.end(transaction, request)

    async def run(
        self,
        sql: str,
        attributes: abc.Mapping[str, str],
    ) -> Parts:
        """Run a statement and yield the parts of its answer."""
        found = self._parts.preparer.classify(sql)
        is_draining = self._fleet.draining and not self.in_transaction
        self.finished = self.finished or is_draining
        local = refusals.draining() if is_draining else self._local(sql, found)
        if isinstance(local, outcomes.Done):
            yield local
            return
        statement = self._parts.preparer.prepare(
            sql,
            found,
            self._login,
            attributes,
        )
        if local is not None:
            yield self._refused(statement, local)
            return
        if isinstance(statement, outcomes.NotRun):
            yield self._named(statement)
            return
        async for part in self._checked(statement, attributes):
            yield part

    async def _checked(
        self,
        statement: delivery.Statement,
        attributes: abc.Mapping[str, str],
    ) -> Parts:
        token = attributes.get(preparation.TOKEN_ATTRIBUTE)
        refusal = self._take_token(token, statement.group.name)
        if refusal is not None:
            yield self._refused(statement, refusal)
        elif statement.kind is statement_kinds.Kind.select_token:
            for row_part in self._token_rows(statement.group.name):
                yield row_part
        else:
            async for part in self._recorded(statement):
                yield part

    def _refused(
        self,
        statement: delivery.Statement | outcomes.NotRun,
        refusal: outcomes.NotRun,
    ) -> outcomes.Outcome:
        """Count a refusal by the entry itself, if its route is known."""
        if isinstance(statement, outcomes.NotRun):
            return self._named(refusal)
        self._parts.recorder.ended(
            statement.request,
            statement.route,
            refusal,
            is_read=statement.is_read,
        )
        return refusals.named(refusal, statement.request)

    def _named(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        return refusals.named(outcome, self._parts.preparer.next_request())

    def _local(
        self,
        sql: str,
        found: statement_kinds.Classification,
    ) -> outcomes.Done | outcomes.NotRun | None:
        """Handle a statement that needs no backend server."""
        match found.kind:
            case (
                statement_kinds.Kind.unsupported | statement_kinds.Kind.pinning
            ):
                return refusals.unsupported_kind(found)
            case statement_kinds.Kind.set_session if (
                not NEUTRAL_SETTING.fullmatch(sql)
            ):
                return refusals.unsupported(
                    'session variables are not supported: connections are '
                    'shared between callers',
                )
            case statement_kinds.Kind.set_session:
                return self._done()
            case statement_kinds.Kind.set_token:
                self._pending_token = found.token or ''
                return self._done()
            case _ if found.reads_connection_state and not self.in_transaction:
                # The statement before may have run on another connection.
                return refusals.unsupported(
                    'LAST_INSERT_ID() and the like need a transaction; the '
                    'key of an INSERT is in its own answer',
                )
            case statement_kinds.Kind.use if not self.in_transaction:
                self._login = dataclasses.replace(
                    self._login,
                    schema=found.schema,
                )
                return self._done()
            case _:
                return self._local_transaction(found)

    def _local_transaction(
        self,
        found: statement_kinds.Classification,
    ) -> outcomes.Done | outcomes.NotRun | None:
        if self.in_transaction and found.kind is statement_kinds.Kind.use:
            return refusals.unsupported(
                'end the open transaction before this statement',
            )
        if self._transaction is not None:
            if found.kind in _NOT_IN_TRANSACTION:
                return refusals.unsupported(
                    'end the open transaction before this statement',
                )
            return None
        match found.kind:
            case statement_kinds.Kind.begin:
                self._wants_transaction = True
            case statement_kinds.Kind.set_autocommit:
                self._autocommit = bool(found.autocommit)
            case statement_kinds.Kind.commit | statement_kinds.Kind.rollback:
                self._wants_transaction = False
            case _:
                return None
        return self._done()

    def _done(self) -> outcomes.Done:
        return outcomes.Done(in_transaction=self.in_transaction)

    def _take_token(
        self,
        attribute: str | None,
        group: str,
    ) -> outcomes.NotRun | None:
        token = attribute or self._pending_token
        self._pending_token = ''
        if not token:
            return None
        match self._parts.signer.verify(token, group):
            case result.Ok(position):
                self._started_groups.add(group)
                self._bounds.advance(position)
                return None
            case result.Err(error):
                return refusals.bad_token(error)

    def _token_rows(self, group: str) -> abc.Iterator[callers.AnswerPart]:
        position = self._bounds.bound(group)
        token = self._parts.signer.sign(position) if position else ''
        column = peer_messages.ColumnHeader(
            '@@celeryrelay_token',
            TEXT_TYPE,
            binary=False,
        )
        yield peer_messages.ResultHeader((column,))
        yield peer_messages.RowBatch(((token,),))
        yield self._done()

    async def _recorded(self, statement: delivery.Statement) -> Parts:
        """Run a statement and count its final outcome exactly once."""
        last: outcomes.Outcome = refusals.connection_lost(
            'the caller went away before its answer',
        )
        try:
            async for part in self._routed(statement):
                if isinstance(part, delivery.Opened):
                    continue
                if isinstance(part, callers.CloseConnection):
                    self.finished = True
                    last = refusals.connection_lost(part.message)
                if isinstance(part, delivery.LAST):
                    last = self._finished(statement, part)
                    part = refusals.named(last, statement.request)
                yield part
        finally:
            self._parts.recorder.ended(
                statement.request,
                statement.route,
                last,
                is_read=statement.is_read,
            )

    def _finished(
        self,
        statement: delivery.Statement,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        if not isinstance(outcome, outcomes.Done):
            return outcome
        if outcome.position is not None:
            self._advance(outcome.position)
        if statement.held_ms < 1:
            return outcome
        hold = outcomes.Delay(
            outcomes.DelayCause.failover_hold,
            statement.held_ms,
        )
        return dataclasses.replace(outcome, delays=(*outcome.delays, hold))

    def _advance(self, position: positions.Position) -> None:
        self._started_groups.add(position.group)
        self._bounds.advance(position)

    async def _routed(self, statement: delivery.Statement) -> Parts:
        starts = self._wants_transaction or not self._autocommit
        in_transaction = starts or self._transaction is not None
        if in_transaction and statement.needs_request_row:
            yield refusals.request_in_transaction()
            return
        if self._transaction is None and starts:
            refusal = await self._open_transaction(statement)
            if refusal is not None:
                yield refusal
                return
        if self._transaction is not None:
            parts = self._in_transaction(statement, self._transaction)
        elif statement.is_read:
            parts = self._read(statement)
        else:
            message = statement.message()
            parts = self._deliverer.on_primary(statement, message)
        async for part in parts:
            yield part

    async def _open_transaction(
        self,
        statement: delivery.Statement,
    ) -> outcomes.Outcome | None:
        message = dataclasses.replace(
            statement.message(),
            action='begin',
            entry=self._fleet.own.incarnation,
            sql='',
            write=True,
        )
        last = refusals.no_holder('no answer to BEGIN')
        parts = self._deliverer.on_primary(statement, message)
        async for part in parts:
            if isinstance(part, delivery.Opened):
                self._transaction = part.transaction
                self._wants_transaction = False
            elif isinstance(part, delivery.LAST):
                last = part
        return None if self._transaction is not None else last

    async def _in_transaction(
        self,
        statement: delivery.Statement,
        transaction: delivery.OpenTransaction,
    ) -> Parts:
        parts = self._deliverer.in_transaction(statement, transaction)
        async for part in parts:
            if isinstance(part, delivery.LAST) and not _keeps_open(part):
                self._transaction = None
            yield part

    async def _read(self, statement: delivery.Statement) -> Parts:
        bound = await self._bound(statement)
        if not isinstance(bound, peer_messages.ReadBound):
            yield bound
            return
        rule = statement.objects.stale_read_rules.get(
            statement.route.stale_read_rule,
        )
        options = self._parts.deliveries.settings.statements
        message = dataclasses.replace(
            statement.message(),
            bound=bound,
            read_wait_ms=options.read_wait_ms,
            max_age_ms=rule.max_age_ms if rule else None,
        )
        parts = self._deliverer.read(statement, message, self._renewed)
        async for part in parts:
            yield part

    def _renewed(
        self,
        request: peer_messages.StatementRequest,
    ) -> peer_messages.StatementRequest | outcomes.NotRun:
        """Return a read with its bound in the present term."""
        position = self._bounds.bound(request.group)
        record = self._fleet.record(request.group)
        match read_bounds.present_bound(position, record):
            case peer_messages.ReadBound() as bound:
                return dataclasses.replace(request, bound=bound)
            case outcomes.NotRun() as refusal:
                return refusal
            case _:
                return request

    async def _bound(
        self,
        statement: delivery.Statement,
    ) -> peer_messages.ReadBound | outcomes.Outcome:
        """Return the least position that a read of this session must see."""
        group = statement.group.name
        if group not in self._started_groups:
            last = await self._take_primary_position(statement)
            if not isinstance(last, outcomes.Done):
                return last
            self._started_groups.add(group)
        while True:
            bound = read_bounds.present_bound(
                self._bounds.bound(group),
                self._fleet.record(group),
            )
            if bound is not None:
                return bound
            if not await self._deliverer.hold(statement):
                return refusals.unknown_primary()

    async def _take_primary_position(
        self,
        statement: delivery.Statement,
    ) -> outcomes.Outcome:
        """Bound a session without a token by the primary's position.

        The session may have written through another entry instance before.
        """
        message = dataclasses.replace(
            statement.message(),
            action='position',
            sql='',
            durability=sets.Durability.local,
        )
        while True:
            last: outcomes.Outcome = refusals.unknown_primary()
            late = False
            async for part in self._deliverer.on_primary(statement, message):
                if isinstance(part, callers.CloseConnection):
                    late = True
                    last = refusals.no_holder(part.message)
                elif isinstance(part, delivery.LAST):
                    last = part
            # A position that came too late has no effect and is asked again.
            if not late or not await self._deliverer.hold(statement):
                break
        if isinstance(last, outcomes.Done) and last.position is not None:
            self._advance(last.position)
        return last


_NOT_IN_TRANSACTION = frozenset(
    (
        statement_kinds.Kind.begin,
        statement_kinds.Kind.set_autocommit,
        statement_kinds.Kind.use,
    )
)


def _keeps_open(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case outcomes.Done() | outcomes.Failed():
            return outcome.in_transaction
        case _:
            return False
