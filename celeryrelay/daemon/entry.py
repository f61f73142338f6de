"""Entry for callers: sessions and the way of their statements."""

import dataclasses
import itertools
import re
from collections import abc

import result

from celeryrelay.adapters import callers, peers
from celeryrelay.admission import budget
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, messages, outcomes, positions
from celeryrelay.daemon import fleet, forwarding, recording
from celeryrelay.routing import classification, kinds, routes
from celeryrelay.sessions import bounds, tokens
from celeryrelay.terms import records

HOLD_CHECK_S = 0.1
REQUEST_ID = re.compile('[A-Za-z0-9_.:-]{1,64}')
TOKEN_ATTRIBUTE = 'celeryrelay_token'  # noqa: S105 (name of an attribute)
REQUEST_ATTRIBUTE = 'celeryrelay_request_id'
TEXT_TYPE = 253
_MS_PER_S = 1000

Parts = abc.AsyncGenerator[callers.AnswerPart, None]

# Refusals after which the statement may be tried again, because another
# holder, another slot or the next primary can take it.
_PASSING = frozenset(
    (
        outcomes.Reason.no_holder,
        outcomes.Reason.no_primary,
        outcomes.Reason.not_holder,
        outcomes.Reason.term_unknown,
        outcomes.Reason.term_closed,
        outcomes.Reason.connections,
        outcomes.Reason.connection_lost,
        outcomes.Reason.draining,
        outcomes.Reason.leaving,
        outcomes.Reason.unconfirmed,
        outcomes.Reason.lagging,
    )
)


@dataclasses.dataclass(slots=True)
class EntryParts:
    """What all sessions of this entry share."""

    fleet: fleet.Fleet
    forwarder: forwarding.Forwarder
    classifier: classification.Classifier
    signer: tokens.TokenSigner
    retries: budget.RetryBudget
    recorder: recording.Recorder
    settings: settings.Settings
    clock: clock.Clock


@dataclasses.dataclass(slots=True)
class _Statement:
    """One statement of a caller on its way.

    Attributes:
        objects: Object set in force when the statement arrived; it ends under
            this set.
    """

    request: str
    sql: str
    kind: kinds.Kind
    caller_request: str
    objects: sets.ObjectSet
    route: sets.Route
    started_at: float
    deadline: float
    held_ms: float = 0
    delays: tuple[outcomes.Delay, ...] = ()
    answered: bool = False

    @property
    def group(self) -> sets.DatabaseGroup:
        """Return the database group of the route."""
        return self.objects.groups[self.route.group]

    @property
    def rank(self) -> sets.RankPolicy:
        """Return the policy of the route's rank."""
        return self.objects.ranks[self.route.rank]


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenTransaction:
    """A transaction at a holder."""

    name: str
    instance: str
    slot: sets.Slot
    route: sets.Route


class Entry:
    """Gate for callers' connections."""

    def __init__(self, parts: EntryParts) -> None:
        """Create the gate."""
        self._parts = parts
        self._tables: tuple[int, routes.RouteTable] | None = None
        self._numbers = itertools.count()

    def session(self, connection_id: int) -> 'Session':
        """Return the session of a new connection."""
        return Session(self._parts, self, connection_id)

    def password_digest(self, user: str) -> str | None:
        """Return the password digest of a user's routes, None if unknown.

        Without any object set all users may connect; their statements are
        refused until a set arrives.
        """
        table = self.routes()
        if table is None:
            return ''
        for route in table.user_routes(user):
            return route.password_sha256
        return None

    def routes(self) -> routes.RouteTable | None:
        """Return the routes of the object set in force."""
        published = self._parts.fleet.published
        if published is None:
            return None
        if self._tables is None or self._tables[0] != published.revision:
            table = routes.RouteTable(published.object_set)
            self._tables = (published.revision, table)
        return self._tables[1]

    def next_request(self) -> str:
        """Return a request id that no other daemon gives."""
        return '{0}-{1}'.format(
            self._parts.fleet.own.incarnation,
            next(self._numbers),
        )


class Session:
    """One caller connection."""

    def __init__(
        self,
        parts: EntryParts,
        gate: Entry,
        connection_id: int,
    ) -> None:
        """Create a session before its handshake."""
        self.finished = False
        self._parts = parts
        self._gate = gate
        self._connection_id = connection_id
        self._user = ''
        self._schema = ''
        self._autocommit = True
        self._wants_transaction = False
        self._transaction: _OpenTransaction | None = None
        self._bounds = bounds.SessionBounds()
        self._pending_token = ''
        self._started_groups: set[str] = set()

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
        self._user = user
        self._schema = schema
        self._pending_token = attributes.get(TOKEN_ATTRIBUTE, '')
        return outcomes.Done()

    async def close(self) -> None:
        """End the session and roll back its transaction."""
        if self._transaction is not None:
            await self._end_transaction('rollback')

    async def run(
        self,
        sql: str,
        attributes: abc.Mapping[str, str],
    ) -> Parts:
        """Run a statement and yield the parts of its answer."""
        found = self._prepare(sql, attributes)
        if isinstance(found, outcomes.Done | outcomes.NotRun):
            yield _named(found, self._gate.next_request())
            return
        if isinstance(found, messages.ResultHeader):
            async for part in self._token_rows(found):
                yield part
            return
        async for part in self._recorded(found):
            yield part

    def _prepare(
        self,
        sql: str,
        attributes: abc.Mapping[str, str],
    ) -> _Statement | outcomes.Done | outcomes.NotRun | messages.ResultHeader:
        found = self._parts.classifier.classify(sql)
        if self._parts.fleet.draining and not self.in_transaction:
            self.finished = True
            return outcomes.NotRun(
                outcomes.Reason.draining,
                'this entry instance is stopping; connect again',
            )
        local = self._local(found)
        if local is not None:
            return local
        statement = self._statement(sql, found, attributes)
        if isinstance(statement, outcomes.NotRun):
            return statement
        token = attributes.get(TOKEN_ATTRIBUTE) or self._pending_token
        if token:
            refusal = self._take_token(token, statement.route.group)
            if refusal is not None:
                return refusal
        if found.kind is kinds.Kind.select_token:
            return _token_header()
        return statement

    def _local(
        self,
        found: kinds.Classification,
    ) -> outcomes.Done | outcomes.NotRun | None:
        match found.kind:
            case kinds.Kind.unsupported | kinds.Kind.pinning:
                return _unsupported(found)
            case kinds.Kind.set_session:
                return self._done()
            case kinds.Kind.set_token:
                self._pending_token = found.token or ''
                return self._done()
            case kinds.Kind.use:
                self._schema = found.schema
                return self._done()
            case kinds.Kind.begin if not self.in_transaction:
                self._wants_transaction = True
                return self._done()
            case kinds.Kind.set_autocommit if not self.in_transaction:
                self._autocommit = bool(found.autocommit)
                return self._done()
            case kinds.Kind.commit | kinds.Kind.rollback:
                return self._end_locally()
        return None

    def _end_locally(self) -> outcomes.Done | None:
        if self._transaction is not None:
            return None
        self._wants_transaction = False
        return self._done()

    def _done(self) -> outcomes.Done:
        return outcomes.Done(in_transaction=self.in_transaction)

    def _statement(
        self,
        sql: str,
        found: kinds.Classification,
        attributes: abc.Mapping[str, str],
    ) -> _Statement | outcomes.NotRun:
        table = self._gate.routes()
        objects = self._parts.fleet.objects
        if table is None or objects is None:
            return outcomes.NotRun(
                outcomes.Reason.no_configuration,
                'no configuration has reached this instance yet',
                retry_after_ms=500,
            )
        route = table.find(self._user, self._schema)
        if route.is_err():
            return _unsupported(kinds.unsupported(route.unwrap_err()))
        caller_request = attributes.get(REQUEST_ATTRIBUTE, found.request_id)
        if caller_request and not REQUEST_ID.fullmatch(caller_request):
            return _unsupported(
                kinds.unsupported('request id: 1 to 64 of A-Z a-z 0-9 _.:-'),
            )
        now = self._parts.clock.monotonic()
        rank = objects.ranks[route.unwrap().rank]
        return _Statement(
            request=self._gate.next_request(),
            sql=sql,
            kind=found.kind,
            caller_request=caller_request,
            objects=objects,
            route=route.unwrap(),
            started_at=now,
            deadline=now + rank.deadline_ms / _MS_PER_S,
        )

    def _take_token(self, text: str, group: str) -> outcomes.NotRun | None:
        self._pending_token = ''
        match self._parts.signer.verify(text, group):
            case result.Ok(position):
                self._started_groups.add(group)
                self._bounds.advance(position)
                return None
            case result.Err(error):
                return outcomes.NotRun(
                    outcomes.Reason.bad_token,
                    'session token refused: {0}'.format(error),
                    code=outcomes.ERROR_BAD_TOKEN,
                )

    async def _token_rows(self, header: messages.ResultHeader) -> Parts:
        table = self._gate.routes()
        text = ''
        if table is not None:
            route = table.find(self._user, self._schema).ok()
            position = self._bounds.bound(route.group) if route else None
            text = self._parts.signer.sign(position) if position else ''
        yield header
        yield messages.RowBatch(((text,),))
        yield self._done()

    async def _recorded(self, statement: _Statement) -> Parts:
        last: outcomes.Outcome | None = None
        try:
            async for part in self._routed(statement):
                if isinstance(part, callers.CloseConnection):
                    last = outcomes.OutcomeUnknown(
                        outcomes.Reason.unconfirmed,
                        part.message,
                    )
                elif isinstance(part, _LAST):
                    last = self._with_delays(statement, part)
                    part = _named(last, statement.request)
                yield part
        finally:
            if last is None:
                last = outcomes.OutcomeUnknown(
                    outcomes.Reason.connection_lost,
                    'the caller went away before its answer',
                )
            self._parts.recorder.ended(
                statement.request,
                statement.route,
                last,
                is_read=statement.kind is kinds.Kind.read,
            )

    def _with_delays(
        self,
        statement: _Statement,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        if statement.held_ms < 1 or not isinstance(outcome, outcomes.Done):
            return outcome
        hold = outcomes.Delay(
            outcomes.DelayCause.failover_hold,
            statement.held_ms,
        )
        return dataclasses.replace(outcome, delays=(*outcome.delays, hold))

    async def _routed(self, statement: _Statement) -> Parts:
        starts = self._wants_transaction or not self._autocommit
        if self._transaction is None and starts:
            opened = await self._open_transaction(statement)
            if not isinstance(opened, outcomes.Done):
                yield opened
                return
        if self._transaction is not None:
            parts = self._in_transaction(statement, self._transaction)
        elif statement.kind is kinds.Kind.read:
            parts = self._read(statement)
        else:
            parts = self._primary(statement, self._request(statement))
        async for part in parts:
            yield part

    async def _open_transaction(
        self,
        statement: _Statement,
    ) -> outcomes.Outcome:
        request = dataclasses.replace(
            self._request(statement),
            action='begin',
            sql='',
            write=True,
        )
        outcome = await _last_outcome(self._primary(statement, request))
        if self._transaction is not None:
            self._wants_transaction = False
        return outcome

    async def _in_transaction(
        self,
        statement: _Statement,
        transaction: _OpenTransaction,
    ) -> Parts:
        action = 'run'
        if statement.kind is kinds.Kind.commit:
            action = 'commit'
        elif statement.kind is kinds.Kind.rollback:
            action = 'rollback'
        request = dataclasses.replace(
            self._request(statement),
            transaction=transaction.name,
            action=action,
            write=statement.kind is not kinds.Kind.read,
        )
        delivery = forwarding.Delivery(transaction.slot, request)
        async for part in self._attempt(
            statement,
            delivery,
            transaction.instance,
        ):
            match part:
                case peers.PeerFault():
                    self._transaction = None
                    yield _transaction_fault(part, action)
                case outcomes.NotRun():
                    # The holder doesn't know the transaction any more.
                    self._transaction = None
                    yield _rolled_back(part.message)
                case outcomes.Done():
                    self._after_statement(part)
                    yield part
                case outcomes.Failed() | outcomes.OutcomeUnknown():
                    self._transaction = None
                    if part_keeps(part):
                        self._transaction = transaction
                    yield part
                case _:
                    yield part

    def _after_statement(self, done: outcomes.Done) -> None:
        if not done.in_transaction:
            self._transaction = None

    async def _end_transaction(self, action: str) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is None:
            return
        request = messages.StatementRequest(
            request=self._gate.next_request(),
            group=transaction.route.group,
            slot=transaction.slot.name,
            sql='',
            rank=transaction.route.rank,
            budget_ms=1000,
            transaction=transaction.name,
            action='rollback',
        )
        delivery = forwarding.Delivery(transaction.slot, request)
        answer = self._parts.forwarder.send(
            transaction.instance,
            delivery,
            self._parts.settings.statements,
        )
        async for _ in answer:
            pass  # noqa: WPS420 (only the end of the answer matters)

    def _request(self, statement: _Statement) -> messages.StatementRequest:
        durability = statement.route.durability or statement.rank.durability
        return messages.StatementRequest(
            request=statement.request,
            group=statement.group.name,
            slot='',
            sql=statement.sql,
            rank=statement.route.rank,
            budget_ms=0,
            write=statement.kind is not kinds.Kind.read,
            durability=durability,
            caller_request=statement.caller_request,
        )

    async def _read(self, statement: _Statement) -> Parts:
        bound = await self._session_bound(statement)
        if not isinstance(bound, messages.Bound):
            yield bound
            return
        rule = statement.objects.stale_read_rules.get(
            statement.route.stale_read_rule,
        )
        request = dataclasses.replace(
            self._request(statement),
            write=False,
            bound=bound,
            read_wait_ms=self._parts.settings.statements.read_wait_ms,
            max_age_ms=rule.max_age_ms if rule else None,
        )
        replica = self._replica(statement.group)
        if replica is not None:
            outcome = None
            async for part in self._on_slot(statement, request, replica):
                if isinstance(part, outcomes.NotRun):
                    outcome = part
                else:
                    yield part
            if outcome is None:
                return
            if outcome.reason not in _PASSING:
                yield outcome
                return
        async for part in self._primary(statement, request):
            yield part

    async def _session_bound(
        self,
        statement: _Statement,
    ) -> messages.Bound | outcomes.Outcome:
        group = statement.group.name
        if group not in self._started_groups:
            outcome = await self._take_primary_position(statement)
            if not isinstance(outcome, outcomes.Done):
                return outcome
        return await self._checked_bound(statement)

    async def _take_primary_position(
        self,
        statement: _Statement,
    ) -> outcomes.Outcome:
        """Bound a session without a token by the primary's position."""
        request = dataclasses.replace(
            self._request(statement),
            action='position',
            sql='',
            write=False,
            durability=sets.Durability.local,
        )
        outcome = await _last_outcome(self._primary(statement, request))
        if isinstance(outcome, outcomes.Done):
            self._started_groups.add(statement.group.name)
        return outcome

    async def _checked_bound(
        self,
        statement: _Statement,
    ) -> messages.Bound | outcomes.Outcome:
        group = statement.group.name
        while True:
            record = self._parts.fleet.record(group)
            position = self._bounds.bound(group)
            if record is not None:
                verdict = _survival(position, record)
                if verdict is bounds.Survival.lost:
                    return _lost_position(position)
                if verdict is bounds.Survival.present:
                    return _bound(position, record)
            if not await self._hold(statement):
                return _no_term()

    def _replica(self, group: sets.DatabaseGroup) -> sets.Slot | None:
        """Return the replica in this availability zone, else any other."""
        primary = self._parts.fleet.primary(group.name)
        own_zone = self._parts.fleet.own.availability_zone
        candidates = [
            slot
            for slot in group.slots
            if slot.name != primary
            and '{0}:{1}'.format(slot.host, slot.port)
            not in self._parts.fleet.leaving
        ]
        for slot in candidates:
            if slot.availability_zone == own_zone:
                return slot
        if not candidates:
            return None
        return candidates[self._connection_id % len(candidates)]

    async def _primary(
        self,
        statement: _Statement,
        request: messages.StatementRequest,
    ) -> Parts:
        """Run a statement on the primary, waiting out a failover."""
        while True:
            refusal = _no_term()
            name = self._parts.fleet.primary(statement.group.name)
            slot = statement.group.slot(name) if name else None
            if slot is not None:
                refused = None
                async for part in self._on_slot(statement, request, slot):
                    if isinstance(part, outcomes.NotRun):
                        refused = part
                    else:
                        yield part
                if refused is None:
                    return
                refusal = refused
            if refusal.reason not in _PASSING:
                yield refusal
                return
            if not await self._hold(statement):
                yield refusal
                return

    async def _hold(self, statement: _Statement) -> bool:
        """Wait for a change of the fleet; False when the time is up."""
        before = self._parts.clock.monotonic()
        hold_s = self._parts.settings.statements.failover_hold_ms / _MS_PER_S
        until = min(statement.deadline, statement.started_at + hold_s)
        left_s = until - before
        if left_s <= 0:
            return False
        await self._parts.fleet.wait_for_change(min(left_s, HOLD_CHECK_S))
        waited_s = self._parts.clock.monotonic() - before
        statement.held_ms += waited_s * _MS_PER_S
        return True

    async def _on_slot(
        self,
        statement: _Statement,
        request: messages.StatementRequest,
        slot: sets.Slot,
    ) -> Parts:
        """Try the holders of a slot; the last refusal is yielded."""
        refusal = outcomes.NotRun(
            outcomes.Reason.no_holder,
            'no instance holds the slot',
            retry_after_ms=100,
        )
        delivery = forwarding.Delivery(slot, request, self._connection_id)
        for instance in self._parts.forwarder.instances(delivery):
            refused = False
            async for part in self._attempt(statement, delivery, instance):
                match part:
                    case peers.PeerFault():
                        outcome = forwarding.not_delivered(
                            part,
                            write=request.write and request.action != 'begin',
                        )
                        if statement.answered:
                            yield callers.CloseConnection(part.message)
                            return
                        if isinstance(outcome, outcomes.OutcomeUnknown):
                            yield outcome
                            return
                        refusal = outcome
                        refused = True
                    case outcomes.NotRun():
                        refusal = part
                        refused = True
                    case _:
                        yield part
            if not refused:
                return
            if refusal.reason not in _PASSING:
                break
        yield refusal

    async def _attempt(
        self,
        statement: _Statement,
        delivery: forwarding.Delivery,
        instance: str,
    ) -> abc.AsyncGenerator[callers.AnswerPart | peers.PeerFault, None]:
        """Send a statement to one holder and check what may be passed on."""
        sent_at = self._parts.clock.monotonic()
        left_ms = (statement.deadline - sent_at) * _MS_PER_S
        if left_ms <= 0 and not delivery.request.transaction:
            yield _deadline()
            return
        request = dataclasses.replace(
            delivery.request,
            slot=delivery.slot.name,
            budget_ms=max(left_ms, 1),
        )
        answer = self._parts.forwarder.send(
            instance,
            dataclasses.replace(delivery, request=request),
            self._parts.settings.statements,
        )
        try:
            async for line in answer:
                if isinstance(line, messages.LAST_LINES):
                    self._note_transaction(line, delivery, instance, statement)
                    yield self._checked(messages.outcome_of(line), sent_at)
                    continue
                if not isinstance(line, peers.PeerFault):
                    statement.answered = True
                yield line
        finally:
            await answer.aclose()

    def _note_transaction(
        self,
        line: messages.LastLine,
        delivery: forwarding.Delivery,
        instance: str,
        statement: _Statement,
    ) -> None:
        if isinstance(line, messages.DoneLine) and line.transaction:
            self._transaction = _OpenTransaction(
                line.transaction,
                instance,
                delivery.slot,
                statement.route,
            )

    def _checked(
        self,
        outcome: outcomes.Outcome,
        sent_at: float,
    ) -> callers.AnswerPart:
        """Withhold an acknowledgement whose time has passed."""
        if not isinstance(outcome, outcomes.Done):
            return outcome
        if outcome.ack_within_ms is not None:
            elapsed_ms = (self._parts.clock.monotonic() - sent_at) * _MS_PER_S
            rate_error = self._parts.settings.terms.clock_rate_error
            if elapsed_ms >= outcome.ack_within_ms * (1 - rate_error):
                self.finished = True
                return callers.CloseConnection('acknowledgement came too late')
        if outcome.position is not None:
            self._started_groups.add(outcome.position.group)
            self._bounds.advance(outcome.position)
        return outcome


_LAST = (
    outcomes.Done,
    outcomes.Failed,
    outcomes.NotRun,
    outcomes.OutcomeUnknown,
)


def part_keeps(part: outcomes.Failed | outcomes.OutcomeUnknown) -> bool:
    """Return whether the transaction goes on after `part`."""
    return isinstance(part, outcomes.Failed) and part.in_transaction


def _survival(
    position: positions.Position | None,
    record: records.TermRecord,
) -> bounds.Survival:
    if position is None:
        return bounds.Survival.present
    return bounds.survives(position, record.term, record.history)


def _bound(
    position: positions.Position | None,
    record: records.TermRecord,
) -> messages.Bound:
    # The holder compares the term of the slot with the group's present term.
    opened = record.history[-1].term if record.history else record.term
    return messages.Bound(opened, position.offset if position else 0)


def _named(outcome: outcomes.Outcome, request: str) -> outcomes.Outcome:
    if isinstance(outcome, outcomes.Done | outcomes.Failed):
        return outcome
    parts = [outcome.message]
    if isinstance(outcome, outcomes.NotRun):
        parts = [
            'not run: {0}'.format(outcome.message),
            'reason={0}'.format(outcome.reason),
            'retry_after_ms={0}'.format(outcome.retry_after_ms),
        ]
    else:
        parts = [
            'outcome unknown: {0}'.format(outcome.message),
            'reason={0}'.format(outcome.reason),
        ]
    parts.append('request={0}'.format(request))
    return dataclasses.replace(outcome, message='; '.join(parts))


def _unsupported(found: kinds.Classification) -> outcomes.NotRun:
    message = found.message
    if found.kind is kinds.Kind.pinning:
        message = 'session state of a connection is not supported'
    return outcomes.NotRun(
        outcomes.Reason.unsupported,
        message,
        code=outcomes.ERROR_UNSUPPORTED,
    )


def _transaction_fault(
    fault: peers.PeerFault,
    action: str,
) -> outcomes.Outcome:
    if action == 'commit' and fault.sent:
        return outcomes.OutcomeUnknown(
            outcomes.Reason.connection_lost,
            'connection to the holder lost during COMMIT',
        )
    # Without COMMIT the holder or the server rolls the transaction back.
    return _rolled_back('holder lost')


def _rolled_back(message: str) -> outcomes.Failed:
    return outcomes.Failed(
        code=1213,
        sqlstate='40001',
        message='transaction rolled back: {0}'.format(message),
    )


def _lost_position(position: positions.Position | None) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.lost_position,
        'a write of this session was lost in a failover: {0}'.format(position),
        code=outcomes.ERROR_LOST_POSITION,
    )


def _no_term() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.term_unknown,
        'the primary of the group is not known',
        retry_after_ms=200,
    )


def _deadline() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.deadline,
        'the deadline of the rank has passed',
        retry_after_ms=200,
    )


def _token_header() -> messages.ResultHeader:
    return messages.ResultHeader(
        (
            messages.ColumnHeader(
                '@@celeryrelay_token', TEXT_TYPE, binary=False
            ),
        ),
    )


async def _last_outcome(parts: Parts) -> outcomes.Outcome:
    outcome: outcomes.Outcome = outcomes.NotRun(
        outcomes.Reason.no_primary,
        'the holder of the primary gave no answer',
    )
    async for part in parts:
        if isinstance(part, _LAST):
            outcome = part
        elif isinstance(part, callers.CloseConnection):
            outcome = outcomes.NotRun(
                outcomes.Reason.unconfirmed,
                part.message,
            )
    return outcome
