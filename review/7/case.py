"""Quota of a client account while the store turns a third of the machines away.

One tenant sends several times its limit through all daemons. For nine seconds,
the store answers two of the six daemons with 503 and serves the others. One of
the two is the daemon that counts the tenant's operations.
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
DAEMONS = 6
TURNED_AWAY = ('front-3', 'front-1')
AWAY_FROM_S, AWAY_FOR_S, LOAD_FOR_S = 4.0, 9.0, 18.0
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
    deployment = standins_2.Deployment(
        record, DAEMONS, [tenant], EXTRA, slots=8
    )
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
                    deployment.daemons[number % DAEMONS],
                    sent,
                    answers,
                    begun + LOAD_FOR_S,
                )
            )
            for number in range(SESSIONS * DAEMONS)
        ]
        await asyncio.sleep(AWAY_FROM_S)
        for name in TURNED_AWAY if trouble else ():
            deployment.store.gates[name] = 'busy'
            record.say('store answers 503 to', name)
        await asyncio.sleep(AWAY_FOR_S)
        for name in TURNED_AWAY if trouble else ():
            deployment.store.gates[name] = 'ok'
            record.say('store serves again', name)
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
