"""Session of one caller connection: its state and how statements are run."""

import dataclasses
import re
from collections import abc

import result

from celeryrelay.adapters import caller_connection
from celeryrelay.core import outcomes, peer_messages
from celeryrelay.daemon.account import outcome_recorder
from celeryrelay.daemon.callers import (
    caller_statement,
    delivery,
    preparation,
    refusals,
    session_bounds,
)
from celeryrelay.routing import statement_kinds
from celeryrelay.sessions import tokens

TEXT_TYPE = 253
# Client libraries set the character set at connect time. A setting that matches
# the one of all backend connections is accepted without effect.
REDUNDANT_CHARSET_SETTING = re.compile(
    r"\s*SET\s+(NAMES|CHARACTER\s+SET|CHARSET)\s+'?utf8(mb[34])?'?"
    r"(\s+COLLATE\s+'?utf8(mb[34])?_\w+'?)?\s*;?\s*",
    re.IGNORECASE,
)

AnswerParts = delivery.AnswerParts


@dataclasses.dataclass(slots=True)
class SessionServices:
    """What all sessions of this entry depend on."""

    delivery: delivery.DeliveryServices
    preparer: preparation.Preparer
    signer: tokens.TokenSigner
    recorder: outcome_recorder.OutcomeRecorder


class Session:
    """Session of one caller connection."""

    def __init__(self, services: SessionServices, connection_id: int) -> None:
        """Create a session before its handshake."""
        self.finished = False
        self._services = services
        self._fleet = services.delivery.fleet
        self._deliverer = delivery.Deliverer(services.delivery, connection_id)
        self._login = preparation.Login()
        self._autocommit = True
        self._begin_pending = False
        self._transaction: delivery.OpenTransaction | None = None
        self._read_bounds = session_bounds.SessionReadBounds(
            self._deliverer, self._fleet
        )
        self._pending_token = ''

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._begin_pending or self._transaction is not None

    def open(
        self, user: str, schema: str, attributes: abc.Mapping[str, str]
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
            request = self._services.preparer.next_request()
            await self._deliverer.roll_back(transaction, request)

    async def run(
        self, sql: str, attributes: abc.Mapping[str, str]
    ) -> AnswerParts:
        """Run a statement and yield the parts of its answer."""
        found = self._services.preparer.classify(sql)
        is_draining = self._fleet.draining and not self.in_transaction
        self.finished = self.finished or is_draining
        local = (
            refusals.draining()
            if is_draining
            else self._answer_locally(sql, found)
        )
        if isinstance(local, outcomes.Done):
            yield local
            return
        statement = self._services.preparer.prepare(
            sql, found, self._login, attributes
        )
        if local is not None:
            yield self._record_refusal(statement, local)
            return
        if isinstance(statement, outcomes.NotRun):
            yield self._with_request_id(statement)
            return
        async for part in self._run_with_token(statement, attributes):
            yield part

    async def _run_with_token(
        self,
        statement: caller_statement.Statement,
        attributes: abc.Mapping[str, str],
    ) -> AnswerParts:
        token = attributes.get(preparation.TOKEN_ATTRIBUTE)
        refusal = self._apply_token(token, statement.group.name)
        if refusal is not None:
            yield self._record_refusal(statement, refusal)
        elif statement.kind is statement_kinds.Kind.select_token:
            for row_part in self._token_rows(statement.group.name):
                yield row_part
        else:
            async for part in self._run_recorded(statement):
                yield part

    def _record_refusal(
        self,
        statement: caller_statement.Statement | outcomes.NotRun,
        refusal: outcomes.NotRun,
    ) -> outcomes.Outcome:
        """Record a refusal by this entry, if the route is known."""
        if isinstance(statement, outcomes.NotRun):
            return self._with_request_id(refusal)
        self._services.recorder.record(
            statement.request,
            statement.route,
            refusal,
            is_read=statement.is_read,
        )
        return refusals.with_request_id(refusal, statement.request)

    def _with_request_id(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        return refusals.with_request_id(
            outcome, self._services.preparer.next_request()
        )

    def _answer_locally(
        self, sql: str, found: statement_kinds.Classification
    ) -> outcomes.Done | outcomes.NotRun | None:
        """Answer a statement that needs no backend server."""
        match found.kind:
            case (
                statement_kinds.Kind.unsupported | statement_kinds.Kind.pinning
            ):
                return refusals.unsupported_kind(found)
            case statement_kinds.Kind.set_session if (
                not REDUNDANT_CHARSET_SETTING.fullmatch(sql)
            ):
                return refusals.unsupported(
                    'session variables are not supported: connections are '
                    'shared between callers'
                )
            case statement_kinds.Kind.set_session:
                return self._done()
            case statement_kinds.Kind.set_token:
                self._pending_token = found.token or ''
                return self._done()
            case _ if found.reads_connection_state and not self.in_transaction:
                # The previous statement may have used another connection.
                return refusals.unsupported(
                    'LAST_INSERT_ID() and the like need a transaction; '
                    'the key of an INSERT is in its own answer'
                )
            case statement_kinds.Kind.use if not self.in_transaction:
                self._login = dataclasses.replace(
                    self._login, schema=found.schema
                )
                return self._done()
            case _:
                return self._answer_transaction_locally(found)

    def _answer_transaction_locally(
        self, found: statement_kinds.Classification
    ) -> outcomes.Done | outcomes.NotRun | None:
        if self.in_transaction and found.kind is statement_kinds.Kind.use:
            return refusals.unsupported(
                'end the open transaction before this statement'
            )
        if self._transaction is not None:
            if found.kind in _REFUSED_IN_TRANSACTION:
                return refusals.unsupported(
                    'end the open transaction before this statement'
                )
            return None
        match found.kind:
            case statement_kinds.Kind.begin:
                self._begin_pending = True
            case statement_kinds.Kind.set_autocommit:
                self._autocommit = bool(found.autocommit)
            case statement_kinds.Kind.commit | statement_kinds.Kind.rollback:
                self._begin_pending = False
            case _:
                return None
        return self._done()

    def _done(self) -> outcomes.Done:
        return outcomes.Done(in_transaction=self.in_transaction)

    def _apply_token(
        self, attribute: str | None, group: str
    ) -> outcomes.NotRun | None:
        token = attribute or self._pending_token
        self._pending_token = ''
        if not token:
            return None
        match self._services.signer.verify(token, group):
            case result.Ok(position):
                self._read_bounds.advance(position)
                return None
            case result.Err(error):
                return refusals.bad_token(error)

    def _token_rows(
        self, group: str
    ) -> abc.Iterator[caller_connection.AnswerPart]:
        position = self._read_bounds.position(group)
        token = self._services.signer.sign(position) if position else ''
        column = peer_messages.ColumnHeader(
            '@@celeryrelay_token', TEXT_TYPE, binary=False
        )
        yield peer_messages.ResultHeader((column,))
        yield peer_messages.RowBatch(((token,),))
        yield self._done()

    async def _run_recorded(
        self, statement: caller_statement.Statement
    ) -> AnswerParts:
        """Run a statement and record its final outcome exactly once."""
        last: outcomes.Outcome = refusals.connection_lost(
            'the caller disconnected before the answer'
        )
        try:
            async for part in self._run_routed(statement):
                if isinstance(part, delivery.TransactionOpened):
                    continue
                if isinstance(part, caller_connection.CloseConnection):
                    self.finished = True
                    last = refusals.connection_lost(part.message)
                if isinstance(part, delivery.FINAL_OUTCOMES):
                    last = self._finish(statement, part)
                    part = refusals.with_request_id(last, statement.request)
                yield part
        finally:
            self._services.recorder.record(
                statement.request,
                statement.route,
                last,
                is_read=statement.is_read,
            )

    def _finish(
        self, statement: caller_statement.Statement, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        if not isinstance(outcome, outcomes.Done):
            return outcome
        if outcome.position is not None:
            self._read_bounds.advance(outcome.position)
        if statement.held_ms < 1:
            return outcome
        hold = outcomes.Delay(
            outcomes.DelayCause.failover_hold, statement.held_ms
        )
        return dataclasses.replace(outcome, delays=(*outcome.delays, hold))

    async def _run_routed(
        self, statement: caller_statement.Statement
    ) -> AnswerParts:
        starts = self._begin_pending or not self._autocommit
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
            parts = self._run_in_transaction(statement, self._transaction)
        elif statement.is_read:
            parts = self._run_read(statement)
        else:
            message = statement.message()
            parts = self._deliverer.run_on_primary(statement, message)
        async for part in parts:
            yield part

    async def _open_transaction(
        self, statement: caller_statement.Statement
    ) -> outcomes.Outcome | None:
        message = dataclasses.replace(
            statement.message(),
            action='begin',
            entry=self._fleet.identity.incarnation,
            sql='',
            write=True,
        )
        last = refusals.no_holder('no answer to BEGIN')
        parts = self._deliverer.run_on_primary(statement, message)
        async for part in parts:
            if isinstance(part, delivery.TransactionOpened):
                self._transaction = part.transaction
                self._begin_pending = False
            elif isinstance(part, delivery.FINAL_OUTCOMES):
                last = part
        return None if self._transaction is not None else last

    async def _run_in_transaction(
        self,
        statement: caller_statement.Statement,
        transaction: delivery.OpenTransaction,
    ) -> AnswerParts:
        parts = self._deliverer.run_in_transaction(statement, transaction)
        async for part in parts:
            if isinstance(
                part, delivery.FINAL_OUTCOMES
            ) and not _keeps_transaction_open(part):
                self._transaction = None
            yield part

    async def _run_read(
        self, statement: caller_statement.Statement
    ) -> AnswerParts:
        bound = await self._read_bounds.read(statement)
        if not isinstance(bound, peer_messages.ReadBound):
            yield bound
            return
        rule = statement.objects.stale_read_rules.get(
            statement.route.stale_read_rule
        )
        options = self._services.delivery.settings.statements
        message = dataclasses.replace(
            statement.message(),
            bound=bound,
            read_wait_ms=options.read_wait_ms,
            max_age_ms=rule.max_age_ms if rule else None,
        )
        parts = self._deliverer.run_read(
            statement, message, self._read_bounds.renew
        )
        async for part in parts:
            yield part


_REFUSED_IN_TRANSACTION = frozenset(
    (
        statement_kinds.Kind.begin,
        statement_kinds.Kind.set_autocommit,
        statement_kinds.Kind.use,
    )
)


def _keeps_transaction_open(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case outcomes.Done() | outcomes.Failed():
            return outcome.in_transaction
        case _:
            return False
