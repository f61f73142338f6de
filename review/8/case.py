"""Quota of a client account when a machine is added and one answer is lost.

One tenant sends several times its limit through five daemons. A sixth one is
added, which then counts the tenant's operations. Just before, the answer of the
store to one watch is lost: that of the daemon that counted them so far. It
returns nothing further on that connection; all others work.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2  # noqa: E402

TENANT, KEY = 'tari', 'u3f1'
RATE, BURST = 100, 100
# The bounds of the settings that the daemons get.
WINDOW_S, EXCESS, SLACK = 5, 0.1, 20
LIMIT = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
# The daemons in the order in which they count the operations of the tenant are
# front-3, front-0, front-4 and so on.
FIRST, ADDED = (0, 1, 2, 4, 5), 3
OWNER = 'front-0'
ADD_AT_S, LOAD_FOR_S = 6.0, 20.0
SESSIONS, PAUSE_S = 20, 0.25
SETTLE_S = 6.0
EXTRA = {
    'contracts': 'base,drain,config,cost,recover,health,pool,sql,tenants,'
    'quota,pressure,platform',
    'bounds.revoke_strict': 'true',
    'bounds.revoke_ms': '5000',
    'bounds.quota_window_s': WINDOW_S,
    'bounds.quota_excess': EXCESS,
    'bounds.quota_slack': SLACK,
}


async def run_client(number, daemon, sent, answers, ends_at):
    """Send one read after the other, each as an operation of its own."""
    client = standins_2.Client(daemon.front)
    is_open = False
    count = 0
    await asyncio.sleep(PAUSE_S * (number % SESSIONS) / SESSIONS)
    while time.monotonic() < ends_at:
        begun = time.monotonic()
        if not is_open:
            client.close()
            answer = await client.open('view', KEY)
            is_open = answer[1] == 'READY'
        if is_open:
            count += 1
            request_id = f'q{number}x{count}'
            sent[request_id] = time.monotonic()
            answer = await client.query(request_id, f'READ k{count}')
            is_open = bool(answer[2])
        answers[answer[1]] = answers.get(answer[1], 0) + 1
        await asyncio.sleep(max(begun + PAUSE_S - time.monotonic(), 0))
    client.close()


def fullest_window(sent, runs):
    """Return the most operations sent and run in one window, and its start."""
    times = sorted(
        (sent[request_id], ran_at) for request_id, ran_at in runs.items()
    )
    best, best_at = 0, 0.0
    for start, _ in times:
        count = sum(
            1
            for sent_at, ran_at in times
            if sent_at >= start and ran_at <= start + WINDOW_S
        )
        if count > best:
            best, best_at = count, start
    return best, best_at


async def case(record, trouble):
    """Return whether the quota was kept."""
    tenant = {
        'name': TENANT,
        'api_keys': [KEY],
        'priority': 1,
        'rate_per_s': RATE,
        'burst': BURST,
    }
    deployment = standins_2.Deployment(record, FIRST, [tenant], EXTRA, slots=8)
    sent, answers = {}, {}
    try:
        await deployment.start()
        await asyncio.sleep(SETTLE_S)
        begun = time.monotonic()
        record.say('load starts')
        clients = [
            asyncio.create_task(
                run_client(
                    number,
                    deployment.daemons[number % len(FIRST)],
                    sent,
                    answers,
                    begun + LOAD_FOR_S,
                )
            )
            for number in range(SESSIONS * len(FIRST))
        ]
        await asyncio.sleep(ADD_AT_S)
        if trouble:
            deployment.store.lose_watch.add(OWNER)
            record.say('the next answer to a watch is lost for', OWNER)
            while deployment.store.lose_watch:
                await asyncio.sleep(0.05)
        added = await deployment.add(ADDED)
        record.say('added', added.name)
        await asyncio.gather(*clients)
    finally:
        await deployment.stop()
    runs = {}
    for ran_at, server, who, request_id, text, _, _ in deployment.group.runs:
        record.line(
            'run {0:.3f}'.format(ran_at - begun), server, who, request_id, text
        )
        runs.setdefault(request_id, ran_at)
    best, best_at = fullest_window(sent, runs)
    record.say('sent', len(sent), 'run', len(runs), 'answers', answers)
    for second in range(int(LOAD_FOR_S)):
        count = sum(
            1 for at in runs.values() if second <= at - begun < second + 1
        )
        record.line('second', second, 'operations run', count)
    record.say(
        f'fullest window: {best} operations from {best_at - begun:.2f} s on, '
        f'at most {LIMIT:.0f} allowed'
    )
    return best <= LIMIT


if __name__ == '__main__':
    standins_2.main(case, sys.argv[1])
