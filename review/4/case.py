"""Planned stops cut requests of transactions after the first half of grace."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import support

DAEMONS = 3
CALLERS = 21
STATEMENTS = 11
# Pause of a client between two statements of a transaction.
PAUSE_S = (0.1, 0.4)
# Mean work of a statement, as in the class `schedule-view` of the site.
WORK_S = 0.03
GRACE_S = 6
LOSS_SLACK_S = 0.2
# Requests that were sent later than this after the signal are not excused by
# a database that is still at work.
EXCUSED_S = 3
ROUTE_TIMEOUT_S = 2.0


class Caller:
    """A client with a long session that runs read-only transactions."""

    def __init__(self, site, number, balancer, cuts) -> None:
        """Create a client that prefers one daemon."""
        self._site = site
        self._home = site.daemons[number % len(site.daemons)]
        self._balancer = balancer
        self._cuts = cuts
        self._client = support.Client(site.record, f'c{number}')
        self.counts: dict[str, int] = {}

    async def run(self) -> None:
        """Run one operation after the other."""
        service = self._site.services[0].name
        await asyncio.sleep(random.uniform(0, 1))
        while True:
            if not self._client.connected:
                daemon = self._balancer.choose(self._home)
                if not await self._client.open(daemon, f'{service}-bounded'):
                    await asyncio.sleep(0.2)
                    continue
            await self._operation()

    async def _operation(self) -> None:
        if not (await self._query('BEGIN READ')).ok:
            return
        for _ in range(STATEMENTS - 1):
            await asyncio.sleep(random.uniform(*PAUSE_S))
            answer = await self._query(f'READ k{random.randrange(50)}')
            if not answer.ok:
                if self._client.connected:
                    await self._query('ROLLBACK')
                return
        await self._query('COMMIT')

    async def _query(self, text: str) -> support.Answer:
        daemon = self._client.daemon
        answer = await self._client.query(text)
        code = answer.code or 'DONE'
        self.counts[code] = self.counts.get(code, 0) + 1
        if code == 'CLOSED':
            self._cuts.append((daemon.name, text, answer))
        return answer


def is_lost(service, signalled, daemon, answer) -> bool:
    """Return whether the rule counts a request that got no answer."""
    at = signalled.get(daemon)
    if at is None or not at <= answer.ended_at <= at + GRACE_S + 1:
        return False
    held_s = answer.ended_at - answer.sent_at
    if held_s >= ROUTE_TIMEOUT_S * 0.7:
        return False
    # A request that a database got may be excused; it is left out here
    # unless it was sent later than 3 s after the signal.
    if answer.sent_at <= at + EXCUSED_S:
        return False
    passed_on = answer.request_id in service.arrived
    return passed_on or held_s > LOSS_SLACK_S


async def play(site: support.Site) -> int:
    """Run the case and return its exit code."""
    service = support.Service(site.record, site.store, 'rounds')
    for database in service.databases:
        database.work_s = WORK_S
    await site.start([service], DAEMONS)
    watches = [asyncio.create_task(one.watch()) for one in site.daemons]
    balancer = support.Balancer(site.daemons)
    probes = asyncio.create_task(balancer.run())
    cuts: list = []
    callers = [
        Caller(site, number, balancer, cuts) for number in range(CALLERS)
    ]
    tasks = [asyncio.create_task(one.run()) for one in callers]
    await asyncio.sleep(8)
    signalled: dict[str, float] = {}
    for daemon in site.daemons:
        if support.trouble():
            signalled[daemon.name] = site.record.now()
            daemon.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S + 8)
    for task in (*tasks, *watches, probes):
        task.cancel()
    totals: dict[str, int] = {}
    for one in callers:
        for code, count in one.counts.items():
            totals[code] = totals.get(code, 0) + count
    site.record.say('answers', totals)
    lost = 0
    for name, text, answer in cuts:
        counts = is_lost(service, signalled, name, answer)
        lost += counts
        since = answer.sent_at - signalled.get(name, answer.sent_at)
        site.record.say(
            'without an answer:',
            answer.request_id,
            text,
            name,
            f'sent {since:.2f} s after the signal,',
            f'ended after {answer.ended_at - answer.sent_at:.3f} s,',
            'at a database' if answer.request_id in service.arrived else '-',
            'counts' if counts else 'does not count',
        )
    if not totals.get('DONE'):
        return 2
    site.record.say('broken' if lost else 'held', lost)
    return int(lost > 0)


if __name__ == '__main__':
    support.main(__file__, play)
