"""Statements of the ranks, and checks that sessions see their writes."""

import asyncio
import collections
import dataclasses
import random
import secrets
import time

from celeryrelay.load import callers, plans, tallies

# Keys are unique by construction. The table accepts a key twice, so that a
# booking that ran twice is found by counting.
BOOKINGS_SCHEMA = """
CREATE TABLE bookings (id VARCHAR(40), place INTEGER, made_at INTEGER);
CREATE INDEX bookings_id ON bookings (id);
CREATE INDEX bookings_made_at ON bookings (made_at);
"""

RUN_ID_BYTES = 4
PLACES = 1000
REPORT_SPAN_MS = 5000
REPORT_ROWS = 100
KNOWN_KEYS = 500
TOKEN_LIMIT = 200
MILLISECONDS = 1000

_INSERT = 'INSERT INTO bookings (id, place, made_at) VALUES (%s, %s, %s)'
_CHECK = 'SELECT id, place FROM bookings WHERE id = %s'
_REPORT = (
    'SELECT id, place, made_at FROM bookings WHERE made_at >= %s '
    'ORDER BY made_at LIMIT %s'
)
_TOKEN = 'SELECT @@celeryrelay_token'
_SET_TOKEN = 'SET @@celeryrelay_token = %s'


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A statement that is due at a monotonic time."""

    intended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """A session that goes on elsewhere: its token and its last booking."""

    token: str
    key: str


@dataclasses.dataclass(slots=True)
class GroupState:
    """What the callers of one group share.

    Attributes:
        known: Keys of served bookings, the latest last.
        moved: Sessions that a caller of another rank continues.
    """

    known: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=KNOWN_KEYS),
    )
    moved: collections.deque[Moved] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=TOKEN_LIMIT),
    )


class Keys:
    """Unique booking keys."""

    def __init__(self) -> None:
        """Choose a prefix that no other run has."""
        self._prefix = secrets.token_hex(RUN_ID_BYTES)
        self._count = 0

    def new(self) -> str:
        """Return a key that was not used before."""
        self._count += 1
        return f'{self._prefix}-{self._count}'


@dataclasses.dataclass(slots=True)
class Shared:
    """What all workers of a run share."""

    plan: plans.LoadPlan
    tally: tallies.Tally
    generator: random.Random
    keys: Keys = dataclasses.field(default_factory=Keys)


class Worker:
    """Runs arrivals of one group and rank on its own connection."""

    def __init__(
        self,
        shared: Shared,
        group: str,
        rank: plans.Rank,
        state: GroupState,
        number: int,
    ) -> None:
        """Start at the target with the given number."""
        self._shared = shared
        self._group = group
        self._rank = rank
        self._state = state
        user = shared.plan.user(group, rank)
        self._caller = callers.Caller(shared.plan, user, number)
        self._own_key = ''
        self._count = 0

    async def work(self, queue: asyncio.Queue[Arrival]) -> None:
        """Serve arrivals until cancelled."""
        try:
            while True:
                await self._serve(await queue.get())
                queue.task_done()
        finally:
            self._caller.close()

    async def _serve(self, arrival: Arrival) -> None:
        answer = await self._run()
        tally = self._shared.tally.ranks[self._rank]
        tally.add(
            answer.result,
            answer.code,
            time.monotonic() - arrival.intended_at,
        )
        self._count += 1
        roam_every = self._shared.plan.roam_every
        if roam_every and self._count % roam_every == 0:
            await self._roam()

    async def _run(self) -> callers.Answer:
        match self._rank:
            case plans.Rank.bookings:
                return await self._book()
            case plans.Rank.checks:
                return await self._check()
            case plans.Rank.reports:
                since = _now_ms() - REPORT_SPAN_MS
                return await self._caller.run(_REPORT, (since, REPORT_ROWS))

    async def _book(self) -> callers.Answer:
        key = self._shared.keys.new()
        place = self._shared.generator.randrange(PLACES)
        answer = await self._caller.run(_INSERT, (key, place, _now_ms()))
        group = self._shared.tally.groups[self._group]
        group.keys_by_result[answer.result].append(key)
        if answer.result is tallies.StatementResult.served:
            group.served_at.append(time.monotonic())
            self._state.known.append(key)
            self._own_key = key
        return answer

    async def _check(self) -> callers.Answer:
        """Continue a moved session if there is one, else read any booking."""
        if self._state.moved:
            moved = self._state.moved.popleft()
            set_token = await self._caller.run(_SET_TOKEN, (moved.token,))
            if set_token.result is tallies.StatementResult.served:
                return await self._check_own(moved.key)
        known = self._state.known
        key = self._shared.generator.choice(known) if known else ''
        return await self._caller.run(_CHECK, (key,))

    async def _check_own(self, key: str) -> callers.Answer:
        """Read a booking of the session and report when it is missing."""
        answer = await self._caller.run(_CHECK, (key,))
        if answer.result is tallies.StatementResult.served:
            sessions = self._shared.tally.sessions
            sessions.checks += 1
            if not answer.rows:
                sessions.violations.append(key)
        return answer

    async def _roam(self) -> None:
        """Go on at another instance, as a plain client or with a token.

        A plain client sees its own writes because its first read takes the
        primary's offset as its bound.
        """
        if self._own_key:
            await self._check_own(self._own_key)
            await self._publish_token()
        self._caller.close()
        self._shared.tally.sessions.roams += 1
        if self._own_key:
            await self._check_own(self._own_key)

    async def _publish_token(self) -> None:
        answer = await self._caller.run(_TOKEN)
        if answer.result is tallies.StatementResult.served and answer.rows:
            token = answer.rows[0][0]
            if token:
                self._state.moved.append(Moved(str(token), self._own_key))


def _now_ms() -> int:
    return int(time.time() * MILLISECONDS)
