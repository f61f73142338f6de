"""A watch whose answer was lost hides the configuration from a daemon."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import support

DAEMONS = 6
# The store gives no response to this share of the daemons for this long.
SHARE = 0.35
SILENT_S = 6.0
CONTACT_S = 5.0
APPLY_S = 3.0
# How long after the bound the requests are judged.
JUDGED_S = 8.0
OLD, NEW = 'old-route', 'new-route'


class Caller:
    """A client that opens a session for each read on one route."""

    def __init__(self, site: support.Site, daemon: support.Daemon) -> None:
        """Send to `daemon`."""
        self._site = site
        self._daemon = daemon
        # Time of sending, route, code of the answer.
        self.reads: list[tuple[float, str, str]] = []

    async def run(self, host: str) -> None:
        """Read once in a while."""
        client = support.Client(self._site.record, f'c-{self._daemon.name}')
        while True:
            sent_at = self._site.record.now()
            code = await client.start(self._daemon, host)
            if not code:
                sent_at = self._site.record.now()
                code = (await client.query('READ k1')).code or 'DONE'
            self.reads.append((sent_at, host, code))
            client.close()
            await asyncio.sleep(random.uniform(0.2, 0.3))


def is_broken(read: tuple[float, str, str], due: float) -> bool:
    """Return whether a read was handled as only the older version allows."""
    sent_at, host, code = read
    if not due <= sent_at <= due + JUDGED_S:
        return False
    if host == OLD:
        return code == 'DONE'
    return code == 'NODB'


async def play(site: support.Site) -> int:
    """Run the case and return its exit code."""
    service = support.Service(site.record, site.store, 'rounds')
    site.extra_hosts = [OLD]
    await site.start([service], DAEMONS)
    callers = [Caller(site, daemon) for daemon in site.daemons]
    tasks = [
        asyncio.create_task(caller.run(host))
        for caller in callers
        for host in (OLD, NEW)
    ]
    await asyncio.sleep(6)
    count = int(len(site.daemons) * SHARE)
    silent = random.sample(site.daemons, count)
    if support.trouble():
        names = {one.name for one in silent}
        site.record.say('the store gives no response to', sorted(names))
        site.store.silence(names)
    await asyncio.sleep(SILENT_S)
    site.store.silence(set())
    site.record.say('the store answers all daemons')
    await asyncio.sleep(CONTACT_S + 1)
    ready = [one.name for one in site.daemons if await one.ready()]
    site.record.say('ready', ready)
    site.extra_hosts = [NEW]
    version = site.publish()
    acked_at = site.record.now()
    site.record.say('configuration', version, 'acknowledged:', OLD, '->', NEW)
    await asyncio.sleep(APPLY_S + JUDGED_S + 1)
    for task in tasks:
        task.cancel()
    broken = 0
    for caller in callers:
        reads = [
            one for one in caller.reads if is_broken(one, acked_at + APPLY_S)
        ]
        broken += len(reads)
        codes = sorted({(host, code) for _, host, code in reads})
        site.record.say(
            caller._daemon.name, len(reads), 'by the old one', codes
        )
    before = [one for caller in callers for one in caller.reads]
    if not any(code == 'DONE' for _, _, code in before):
        return 2
    site.record.say('broken' if broken else 'held', broken)
    return int(bool(broken))


if __name__ == '__main__':
    support.main(__file__, play)
