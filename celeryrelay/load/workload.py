"""Statements of each rank, and checks that sessions read their own writes."""

import asyncio
import collections
import dataclasses
import random
import secrets
import time

from celeryrelay.load import callers, plans, tallies

# Every booking has a unique key, but the index is not unique: a booking that
# was executed twice leaves two rows and is found by counting.
BOOKINGS_SCHEMA = """
CREATE TABLE bookings (id VARCHAR(40), place INTEGER, made_at INTEGER);
CREATE INDEX bookings_id ON bookings (id);
CREATE INDEX bookings_made_at ON bookings (made_at);
"""

KEY_PREFIX_BYTES = 4
PLACE_COUNT = 1000
REPORT_PERIOD_MS = 5000
REPORT_ROW_LIMIT = 100
MAX_SERVED_KEYS = 500
MAX_MOVED_SESSIONS = 200
MS_PER_SECOND = 1000

_INSERT_BOOKING = (
    'INSERT INTO bookings (id, place, made_at) VALUES (%s, %s, %s)'
)
_SELECT_BOOKING = 'SELECT id, place FROM bookings WHERE id = %s'
_SELECT_REPORT = (
    'SELECT id, place, made_at FROM bookings WHERE made_at >= %s '
    'ORDER BY made_at LIMIT %s'
)
_SELECT_TOKEN = 'SELECT @@celeryrelay_token'
_SET_TOKEN = 'SET @@celeryrelay_token = %s'


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A statement to be sent at the monotonic time `intended_at`."""

    intended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class MovedSession:
    """A session to be continued on another connection by its token.

    Attributes:
        token: Session token.
        key: Key of a booking that the session has written.
    """

    token: str
    key: str


@dataclasses.dataclass(slots=True)
class GroupState:
    """State shared by the workers of one group.

    Attributes:
        served_keys: Keys of served bookings, the latest last.
        moved_sessions: Sessions that workers of rank `checks` continue.
    """

    served_keys: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SERVED_KEYS),
    )
    moved_sessions: collections.deque[MovedSession] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_MOVED_SESSIONS),
    )


class KeyGenerator:
    """Generates unique booking keys."""

    def __init__(self) -> None:
        """Choose a random prefix, so that runs don't share keys."""
        self._prefix = secrets.token_hex(KEY_PREFIX_BYTES)
        self._count = 0

    def new(self) -> str:
        """Return a new key."""
        self._count += 1
        return f'{self._prefix}-{self._count}'


@dataclasses.dataclass(slots=True)
class RunContext:
    """Plan, measurements and generators shared by all workers of a run."""

    plan: plans.LoadPlan
    tally: tallies.Tally
    generator: random.Random
    keys: KeyGenerator = dataclasses.field(default_factory=KeyGenerator)


class Worker:
    """Runs statements of one group and rank on its own connection."""

    def __init__(
        self,
        context: RunContext,
        group: str,
        rank: plans.Rank,
        state: GroupState,
        number: int,
    ) -> None:
        """Set up a worker whose first target has the index `number`."""
        self._context = context
        self._group = group
        self._rank = rank
        self._state = state
        user = context.plan.user(group, rank)
        self._caller = callers.Caller(context.plan, user, number)
        self._last_key = ''
        self._count = 0

    async def work(self, queue: asyncio.Queue[Arrival]) -> None:
        """Run a statement for each queued arrival until cancelled."""
        try:
            while True:
                await self._serve(await queue.get())
                queue.task_done()
        finally:
            self._caller.close()

    async def _serve(self, arrival: Arrival) -> None:
        answer = await self._run()
        tally = self._context.tally.ranks[self._rank]
        tally.add(
            answer.result,
            answer.code,
            time.monotonic() - arrival.intended_at,
        )
        self._count += 1
        roam_every = self._context.plan.roam_every
        if roam_every and self._count % roam_every == 0:
            await self._roam()

    async def _run(self) -> callers.Answer:
        match self._rank:
            case plans.Rank.bookings:
                return await self._book()
            case plans.Rank.checks:
                return await self._check()
            case plans.Rank.reports:
                since = _now_ms() - REPORT_PERIOD_MS
                return await self._caller.run(
                    _SELECT_REPORT, (since, REPORT_ROW_LIMIT)
                )

    async def _book(self) -> callers.Answer:
        key = self._context.keys.new()
        place = self._context.generator.randrange(PLACE_COUNT)
        answer = await self._caller.run(
            _INSERT_BOOKING, (key, place, _now_ms())
        )
        group = self._context.tally.groups[self._group]
        group.keys_by_result[answer.result].append(key)
        if answer.result is tallies.StatementResult.served:
            group.served_at.append(time.monotonic())
            self._state.served_keys.append(key)
            self._last_key = key
        return answer

    async def _check(self) -> callers.Answer:
        """Verify a moved session if there is one, else read any booking."""
        if self._state.moved_sessions:
            moved = self._state.moved_sessions.popleft()
            set_token = await self._caller.run(_SET_TOKEN, (moved.token,))
            if set_token.result is tallies.StatementResult.served:
                return await self._verify_own_booking(moved.key)
        served_keys = self._state.served_keys
        key = self._context.generator.choice(served_keys) if served_keys else ''
        return await self._caller.run(_SELECT_BOOKING, (key,))

    async def _verify_own_booking(self, key: str) -> callers.Answer:
        """Read a booking that the session wrote; count a miss as violation."""
        answer = await self._caller.run(_SELECT_BOOKING, (key,))
        if answer.result is tallies.StatementResult.served:
            sessions = self._context.tally.sessions
            sessions.checks += 1
            if not answer.rows:
                sessions.violations.append(key)
        return answer

    async def _roam(self) -> None:
        """Reconnect to another instance and verify the last booking there.

        The session token is left for another worker; this one reconnects
        without it. It still reads its own writes, because the first read of a
        session without a token takes the primary's offset as its bound.
        """
        if self._last_key:
            await self._verify_own_booking(self._last_key)
            await self._hand_over_session()
        self._caller.close()
        self._context.tally.sessions.roams += 1
        if self._last_key:
            await self._verify_own_booking(self._last_key)

    async def _hand_over_session(self) -> None:
        answer = await self._caller.run(_SELECT_TOKEN)
        if answer.result is tallies.StatementResult.served and answer.rows:
            token = answer.rows[0][0]
            if token:
                self._state.moved_sessions.append(
                    MovedSession(str(token), self._last_key)
                )


def _now_ms() -> int:
    return int(time.time() * MS_PER_SECOND)
