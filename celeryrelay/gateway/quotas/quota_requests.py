"""Requests of one daemon for the operations of client accounts.

Operations of an account that arrive while a request is under way share the next
one, so that a burst costs few messages.
"""

import asyncio
import dataclasses
import enum
import itertools
import typing
from collections import abc

from celeryrelay.accounts import directory
from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.quotas import granting, refusals

# Daemons without an answer after which no further one is asked.
MAX_UNANSWERED = 2
# Time in seconds for which a daemon that didn't answer is not asked.
SKIP_S = 0.3


class Daemons(typing.Protocol):
    """The daemons that can be asked."""

    @property
    def count(self) -> int:
        """Number of registered daemons."""

    def order(self, account: str) -> abc.Sequence[str]:
        """Return the daemons to ask about an account, the owner first."""

    async def ask(
        self, daemon: str, account: directory.ClientAccount, count: int
    ) -> granting.Decision | None:
        """Ask a daemon for operations; return None without an answer."""


class Decider(enum.Enum):
    """Who decided about an operation.

    Attributes:
        daemon: A daemon that was asked.
        memory: This daemon, from an earlier refusal.
        share: This daemon, which reached no owner, from its own share.
    """

    daemon = 'daemon'
    memory = 'memory'
    share = 'share'


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The decision about one operation.

    Attributes:
        is_granted: Whether it may run.
        kind: Who decided.
        daemon: Name of the daemon that was asked, empty if none decided.
    """

    is_granted: bool
    kind: Decider
    daemon: str = ''


class QuotaRequests:
    """Asks the daemons of an account in order."""

    def __init__(
        self,
        daemons: Daemons,
        unreachable: refusals.UnreachableGrants,
        memory: refusals.RefusalMemory,
        clock: clocks.Clock,
    ) -> None:
        """Ask `daemons`.

        Args:
            daemons: The daemons, including this one.
            unreachable: Grants what may run without an owner.
            memory: Remembers refused accounts.
            clock: Source of the time.
        """
        self._daemons = daemons
        self._unreachable = unreachable
        self._memory = memory
        self._clock = clock
        self._skip_until: dict[str, float] = {}
        self._waiting: dict[str, list[asyncio.Future[Decided]]] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._log = json_log.get('quota')

    async def request(self, account: directory.ClientAccount) -> Decided:
        """Request one operation of an account that has a quota."""
        decided = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(account.name, []).append(decided)
        if account.name not in self._tasks:
            task = asyncio.create_task(self._serve(account))
            self._tasks[account.name] = task
        return await decided

    async def _serve(self, account: directory.ClientAccount) -> None:
        """Decide about the waiting operations of an account."""
        batch: list[asyncio.Future[Decided]] = []
        try:
            while self._waiting.get(account.name):
                batch = self._waiting.pop(account.name)
                decided = await self._decide(account, len(batch))
                _settle(batch, decided)
        except Exception as error:
            # Operations without a decision would wait forever.
            self._log.error('quota request failed', error=repr(error))
            unserved = [*batch, *self._waiting.pop(account.name, ())]
            refused = Decided(is_granted=False, kind=Decider.share)
            _settle(unserved, itertools.repeat(refused, len(unserved)))
        finally:
            self._tasks.pop(account.name)

    async def _decide(
        self, account: directory.ClientAccount, count: int
    ) -> list[Decided]:
        now = self._clock.monotonic()
        if self._memory.is_refused(account.name, now):
            refused = Decided(is_granted=False, kind=Decider.memory)
            return list(itertools.repeat(refused, count))
        daemon, decision = await self._ask_in_order(account, count)
        kind = Decider.daemon if daemon else Decider.share
        if decision.granted < count:
            self._memory.on_refused(
                account.name,
                decision.retry_after_s or refusals.NO_OWNER_RETRY_S,
                self._clock.monotonic(),
            )
        return [
            Decided(number < decision.granted, kind, daemon)
            for number in range(count)
        ]

    async def _ask_in_order(
        self, account: directory.ClientAccount, count: int
    ) -> tuple[str, granting.Decision]:
        """Return the first decision and the daemon that made it.

        Without an owner, this daemon decides and the name is empty.
        """
        unanswered = 0
        for daemon in self._daemons.order(account.name):
            decision = await self._ask(daemon, account, count)
            if decision is None:
                unanswered += 1
            elif decision.granted or decision.retry_after_s:
                self._unreachable.on_owner_reached(account.name)
                return daemon, decision
            if unanswered >= MAX_UNANSWERED:
                break
        granted = self._unreachable.take(
            account, count, self._daemons.count, self._clock.monotonic()
        )
        return '', granting.Decision(granted)

    async def _ask(
        self, daemon: str, account: directory.ClientAccount, count: int
    ) -> granting.Decision | None:
        """Ask a daemon, unless it recently didn't answer."""
        if self._clock.monotonic() < self._skip_until.get(daemon, 0):
            return None
        decision = await self._daemons.ask(daemon, account, count)
        if decision is None:
            self._skip_until[daemon] = self._clock.monotonic() + SKIP_S
        return decision


def _settle(
    batch: abc.Sequence[asyncio.Future[Decided]],
    decisions: abc.Iterable[Decided],
) -> None:
    for future, decided in zip(batch, decisions, strict=True):
        if not future.done():
            future.set_result(decided)
