"""A promotion loses commits that a replica acknowledged after the poll."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import support

DAEMONS = 6
SERVICES = 3
# Share of the daemons that a primary is cut from, and for how long.
SHARE = 0.5
CUT_S = 4.5
# A replica receives nothing from a moment up to this long after the cut on.
DEAF_LATER_S = 1.5
# Time from one cut of a service to the next.
ROUND_S = 6.5
PLAY_S = 104.0
# Writes a second for each service, about as many as the site has.
WRITES_PER_S = 10.0
# One way, between the regions of the three databases.
RECEIVE_S = 0.012


async def write_once(site, service, number: int, acknowledged: set) -> None:
    """Send one write to a daemon and note whether it was acknowledged."""
    client = support.Client(site.record, f'w{service.name}{number}')
    daemon = random.choice(site.daemons)
    if not await client.open(daemon, f'{service.name}-primary'):
        return
    answer = await client.query(f'WRITE item{number} value{number}')
    if answer.ok and answer.proof not in {'', '-'}:
        acknowledged.add(answer.request_id)
    client.close()


async def writers(site, service, acknowledged: set) -> None:
    """Send writes at random times."""
    running: set[asyncio.Task] = set()
    number = 0
    while True:
        await asyncio.sleep(random.expovariate(WRITES_PER_S))
        number += 1
        task = asyncio.create_task(
            write_once(site, service, number, acknowledged)
        )
        running.add(task)
        task.add_done_callback(running.discard)


async def cuts(site, service, first_s: float) -> None:
    """Cut the primary from half of the daemons; a replica hears nothing."""
    await asyncio.sleep(first_s)
    while True:
        primary = service.primary
        replicas = [one for one in service.databases if one is not primary]
        deaf = min(replicas, key=lambda one: one.name)
        count = round(len(site.daemons) * SHARE)
        daemons = random.sample([one.name for one in site.daemons], count)
        if support.trouble():
            site.record.say(
                'cut',
                service.name,
                primary.name,
                'from',
                daemons,
            )
            primary.cut(daemons)
        later_s = random.uniform(0, DEAF_LATER_S)
        await asyncio.sleep(later_s)
        if support.trouble():
            site.record.say(service.name, deaf.name, 'receives nothing')
            deaf.deaf = True
        await asyncio.sleep(CUT_S - later_s)
        primary.heal()
        deaf.deaf = False
        deaf.listen_again()
        await asyncio.sleep(ROUND_S - CUT_S)


async def play(site: support.Site) -> int:
    """Run the case and return its exit code."""
    services = [
        support.Service(
            site.record, site.store, f'rounds{number}', sync_replicas=1
        )
        for number in range(SERVICES)
    ]
    for service in services:
        for database in service.databases:
            database.receive_s = RECEIVE_S
    await site.start(services, DAEMONS)
    acknowledged: set[str] = set()
    tasks = [
        asyncio.create_task(writers(site, service, acknowledged))
        for service in services
    ]
    await asyncio.sleep(6)
    for number, service in enumerate(services):
        first_s = number * ROUND_S / SERVICES
        tasks.append(asyncio.create_task(cuts(site, service, first_s)))
    await asyncio.sleep(PLAY_S - 6)
    for task in tasks:
        task.cancel()
    promotions = sum(one.term - 1 for one in services)
    site.record.say(len(acknowledged), 'writes acknowledged')
    site.record.say(promotions, 'promotions')
    lost = [
        (service.name, entry.position, request_id)
        for service in services
        for entry in service.dropped
        for _, _, request_id in entry.writes
        if request_id in acknowledged
    ]
    for one in lost:
        site.record.say('acknowledged, not in the promoted log:', *one)
    if not acknowledged or (support.trouble() and not promotions):
        return 2
    site.record.say('broken' if lost else 'held', len(lost))
    return int(bool(lost))


if __name__ == '__main__':
    support.main(__file__, play)
