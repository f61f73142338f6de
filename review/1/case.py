"""An item of another writer under `servers/` ends every daemon."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import support

DAEMONS = 6
CALLERS = 18
# Levels of lists in the field `version`, which holds a text otherwise.
DEPTH = 2000
BEFORE_S = 6
AFTER_S = 25
# The rule: processes end three times in the day on a tenth of the machines,
# but at least on two.
ENDS = 3
MACHINES = 2


def foreign_item(service: str) -> bytes:
    """Return an entry whose field `version` is of another type."""
    fields = {
        'service': service,
        'addr': '127.0.0.1:9',
        'zone': support.ZONES[0],
        'slots': 3,
        'state': 'ready',
        'cold_left_ms': 0,
        'db_role': 'replica',
        'seq': 1,
    }
    head = json.dumps(fields).removesuffix('}')
    nested = '[' * DEPTH + ']' * DEPTH
    return f'{head}, "version": {nested}}}'.encode()


async def caller(site: support.Site, number: int, counts: dict) -> None:
    """Read and write at one daemon after the other, as clients retry."""
    client = support.Client(site.record, f'c{number}')
    service = site.services[0].name
    kind = ('primary', 'bounded', 'own')[number % 3]
    turn = number
    while True:
        if not client.connected:
            daemon = site.daemons[turn % len(site.daemons)]
            turn += 1
            if not await client.open(daemon, f'{service}-{kind}'):
                await asyncio.sleep(0.2)
                continue
        writes = kind != 'bounded' and turn % 4 == 0
        text = f'WRITE k{number} v{turn}' if writes else f'READ k{number}'
        answer = await client.query(text)
        code = answer.code or 'DONE'
        counts[code] = counts.get(code, 0) + 1
        if answer.code and answer.code != 'BUSY':
            client.close()
        await asyncio.sleep(0.1)


async def play(site: support.Site) -> int:
    """Run the case and return its exit code."""
    service = support.Service(site.record, site.store, 'rounds')
    await site.start([service], DAEMONS)
    watches = [asyncio.create_task(one.watch()) for one in site.daemons]
    counts: dict[str, int] = {}
    callers = [
        asyncio.create_task(caller(site, number, counts))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(BEFORE_S)
    before = dict(counts)
    site.record.say('answers before', before)
    counts.clear()
    if support.trouble():
        item = foreign_item(service.name)
        site.store.put('servers/x-other-writer', item)
        site.record.say('item of another writer,', len(item), 'bytes')
    await asyncio.sleep(AFTER_S)
    for task in (*callers, *watches):
        task.cancel()
    site.record.say('answers after', counts)
    ends = {one.name: len(one.exits) for one in site.daemons}
    site.record.say('ends by themselves', ends)
    if not before.get('DONE'):
        return 2
    broken = sum(count >= ENDS for count in ends.values()) >= MACHINES
    site.record.say('broken' if broken else 'held')
    return int(broken)


if __name__ == '__main__':
    support.main(__file__, play)
