"""Session state after a primary was replaced that some daemons didn't reach.

A primary is partitioned from three of six daemons for five seconds, so the
system promotes another database. Clients of the other daemons have transactions
open on the old primary, which runs on as a replica. In its transaction, each of
them sets a session value and prepares a name; both are acknowledged. The next
statement is refused, as it may be, and the client rolls back. Then it goes on in
the same session and reads.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2  # noqa: E402

DAEMONS = 6
CUT_OFF = ('front-1', 'front-2', 'front-4')
CUT_S = 5.0
LEAD_S = 3.0
READS = 60
TRANSACTIONS = 10


class Log:
    """What one client sent and got."""

    def __init__(self, record, name, daemon):
        """Record the client `name` of `daemon`."""
        self._record = record
        self._name = name
        self._client = standins_2.Client(daemon.front)
        self._count = 0
        self.values = {}
        self.expected = {}

    async def open(self, database):
        """Open the session."""
        answer = await self._client.open(database)
        self._record.line('client', self._name, 'START', database, answer[1])

    async def query(self, text):
        """Send a statement; return its code."""
        self._count += 1
        request_id = f'{self._name}q{self._count}'
        self.expected[request_id] = dict(self.values)
        _, code, state, _ = await self._client.query(request_id, text)
        self._record.line('client', self._name, request_id, text, code, state)
        if text.startswith('SET ') and code == 'DONE':
            _, name, setting = text.split(' ', 2)
            self.values[name] = setting
        return code

    def close(self):
        """End the session."""
        self._client.close()


async def press(record, daemon):
    """Send bookings through a daemon, as its clients do."""
    number = 0
    while True:
        client = standins_2.Client(daemon.front)
        answer = await client.open('book')
        while answer[1] not in {'CLOSED', ''}:
            number += 1
            answer = await client.query(
                f'p{daemon.name}q{number}', f'WRITE b{number} x{number}'
            )
            await asyncio.sleep(0.05)
        client.close()
        await asyncio.sleep(0.05)


async def read_on(logs, unknown):
    """Go on to read in the same sessions."""
    for _ in range(READS):
        for log in logs:
            await log.query('READ k3')
    for log in logs:
        for _ in range(TRANSACTIONS):
            await log.query('BEGIN READ')
            await log.query('READ k4')
            if await log.query('EXEC s1 k5') == 'NOSTMT':
                unknown.append(log)
            await log.query('ROLLBACK')


async def case(record, trouble):
    """Return whether all statements ran with their session's state."""
    deployment = standins_2.Deployment(record, DAEMONS)
    group = deployment.group
    logs, unknown, pressing = [], [], []
    try:
        await deployment.start()
        await asyncio.sleep(LEAD_S)
        for daemon in deployment.daemons:
            if daemon.name in CUT_OFF:
                task = asyncio.create_task(press(record, daemon))
                pressing.append(task)
            else:
                logs.append(Log(record, daemon.name[-1], daemon))
        await asyncio.sleep(1)
        for log in logs:
            await log.open('logs')
            await log.query('SET lang sk')
            await log.query('BEGIN')
            await log.query('READ k1')
        old = group.primary
        if trouble:
            record.say('cut off from the primary:', *CUT_OFF)
            old.cut_off = frozenset(CUT_OFF)
        for _ in range(120):
            await asyncio.sleep(0.02)
            if group.primary is not old:
                break
        record.say('primary now:', group.primary.server_id)
        for number, log in enumerate(logs):
            await log.query(f'SET zone z{number}')
            await log.query('PREPARE s1 READ q2c')
            await log.query('EXEC s1 k2')
            await log.query('ROLLBACK')
        await read_on(logs, unknown)
        await asyncio.sleep(CUT_S)
        old.cut_off = frozenset()
        record.say('the cut has healed')
        await read_on(logs, unknown)
    finally:
        for task in pressing:
            task.cancel()
        for log in logs:
            log.close()
        await deployment.stop()
    expected = {}
    for log in logs:
        expected.update(log.expected)
    wrong = 0
    for _, server, _, request_id, text, values, connection in group.runs:
        if request_id not in expected:
            continue
        is_right = values == expected[request_id]
        wrong += not is_right
        record.line(
            'run' if is_right else 'WRONG run',
            request_id, text, 'by', server, 'connection', connection,
            'values', values, 'acknowledged', expected[request_id],
        )  # fmt: skip
    record.say(
        f'{wrong} statements ran with other session values than acknowledged, '
        f'{len(unknown)} times an acknowledged prepared name was unknown'
    )
    return not wrong and not unknown


if __name__ == '__main__':
    standins_2.main(case, sys.argv[1])
