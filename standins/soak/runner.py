"""Runs one soak: real daemons, faults from outside, callers, checks."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import time

from standins.faultproxy import links
from standins.kvstore import local_deployment
from standins.linedb import group as groups
from standins.soak import callers, checks, plan

Kind = plan.Kind
LOOPBACK = '127.0.0.1'
# Time after the last fault in which all daemons have to serve again.
RECOVERY_S = 12.0
STOP_S = 8.0
# Number of the first caller that checks the recovery, above all others.
FIRST_PROBE = 1000
DELAY_MS = 120
SLOW_S = 0.4
WORK_S = 0.15
LAG_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one soak.

    Attributes:
        violations: Promises that were broken.
        writes: Writes that callers sent.
        acknowledged: Those that were acknowledged.
        reads: Reads that were served.
        promotions: Changes of the primary.
        refused_connections: Connections that a server had no place for.
    """

    violations: list[str]
    writes: int
    acknowledged: int
    reads: int
    promotions: int
    refused_connections: int


class Soak:
    """One soak in a directory of its own."""

    def __init__(self, planned: plan.Plan, directory: pathlib.Path) -> None:
        """Prepare the soak `planned`."""
        self._plan = planned
        self._site = local_deployment.LocalDeployment(directory)
        self._site.group.max_connections = planned.connections
        self._server_links: list[links.Link] = []
        self._store_links: list[links.Link] = []
        self._busy_daemons: set[int] = set()
        self._problems: list[str] = []

    async def run(self) -> Outcome:
        """Play the faults and return what became of the promises."""
        await self._start()
        try:
            return await self._play()
        finally:
            await self._stop()

    async def _start(self) -> None:
        site = self._site
        await site.start_platform()
        for server in site.group.servers.values():
            link = await self._link(server.server_id, server.address)
            server.address = f'{LOOPBACK}:{link.port}'
            self._server_links.append(link)
        site.register_servers()
        for number in range(self._plan.daemons):
            link = await self._link(
                f'store-{number}', site.store_service.address
            )
            self._store_links.append(link)
            site.add_daemon(number, f'{LOOPBACK}:{link.port}')
        await asyncio.gather(*(daemon.start() for daemon in site.daemons))

    async def _link(self, name: str, address: str) -> links.Link:
        host, _, port = address.rpartition(':')
        link = links.Link(name, host, int(port))
        await link.listen(LOOPBACK, 0)
        return link

    async def _play(self) -> Outcome:
        over = asyncio.Event()
        users = [
            callers.Caller(number, self._site.daemons, self._plan.seed)
            for number in range(self._plan.callers)
        ]
        using = [asyncio.create_task(user.run(over)) for user in users]
        await asyncio.gather(
            *(self._apply_later(fault) for fault in self._plan.faults),
        )
        await self._check_recovery()
        over.set()
        await asyncio.gather(*using)
        group = self._site.group
        orders = self._site.store_service.promotion_orders
        writes = [write for user in users for write in user.writes]
        return Outcome(
            [*self._problems, *checks.violations(group, users, orders)],
            len(writes),
            sum(not write.code for write in writes),
            sum(len(user.reads) for user in users),
            len(group.promotion_times),
            group.refused_connections,
        )

    async def _check_recovery(self) -> None:
        deadline = time.monotonic() + RECOVERY_S
        for number, daemon in enumerate(self._site.daemons):
            probe = callers.Caller(FIRST_PROBE + number, [daemon], 0)
            served = False
            while not served and time.monotonic() < deadline:
                over = asyncio.Event()
                asyncio.get_running_loop().call_later(0.5, over.set)
                await probe.run(over)
                served = any(not write.code for write in probe.writes)
            if not served:
                self._problems.append(
                    f'{daemon.name} serves no write {RECOVERY_S} s after the '
                    f'last fault',
                )
            self._forget(probe)

    def _forget(self, probe: callers.Caller) -> None:
        """Leave the writes of a recovery check out of the other checks."""
        sent = {write.request_id for write in probe.writes}
        group = self._site.group
        group.committed_entries = [
            entry
            for entry in group.committed_entries
            if entry.request_id not in sent
        ]

    async def _apply_later(self, fault: plan.Fault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind.startswith('daemon_'):
            await self._disturb_daemon(fault)
        elif fault.kind.startswith('store_'):
            await self._disturb_store(fault)
        elif fault.kind is Kind.publish:
            self._site.publish()
        else:
            await self._disturb_server(fault)

    async def _disturb_daemon(self, fault: plan.Fault) -> None:
        """Signal a daemon; one that is disturbed already is left alone."""
        if fault.daemon in self._busy_daemons:
            return
        self._busy_daemons.add(fault.daemon)
        daemon = self._site.daemons[fault.daemon]
        match fault.kind:
            case Kind.daemon_kill:
                daemon.send_signal(signal.SIGKILL)
                await daemon.wait_for_exit()
                await asyncio.sleep(fault.for_s / 2)
                await self._restart(daemon)
            case Kind.daemon_freeze:
                daemon.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                daemon.send_signal(signal.SIGCONT)
            case Kind.daemon_stop:
                daemon.send_signal(signal.SIGTERM)
                await self._expect_end(daemon)
                await self._restart(daemon)
            case Kind.daemon_settings:
                with daemon.settings_path.open('a') as settings:
                    settings.write('comment=changed\n')
                daemon.send_signal(signal.SIGHUP)
        self._busy_daemons.discard(fault.daemon)

    async def _restart(self, daemon: local_deployment.DaemonProcess) -> None:
        # A daemon that can't reach the store is not ready until it can.
        with contextlib.suppress(TimeoutError):
            await daemon.start()

    async def _expect_end(self, daemon: local_deployment.DaemonProcess) -> None:
        try:
            async with asyncio.timeout(STOP_S):
                code = await daemon.wait_for_exit()
        except TimeoutError:
            self._problems.append(f'{daemon.name} did not stop in {STOP_S} s')
            daemon.send_signal(signal.SIGKILL)
            await daemon.wait_for_exit()
            return
        if code:
            self._problems.append(f'{daemon.name} stopped with code {code}')

    async def _disturb_store(self, fault: plan.Fault) -> None:
        service = self._site.store_service
        link = self._store_links[fault.daemon]
        match fault.kind:
            case Kind.store_down:
                service.faults.down = True
            case Kind.store_slow:
                service.faults.delay_s = SLOW_S
            case Kind.store_loses_answers:
                service.faults.lose_write_answers = True
            case Kind.store_forgets:
                service.store.compact()
            case Kind.store_cut:
                await link.set_faults(cut_to_target=True)
            case Kind.store_silent:
                await link.set_faults(silent=True)
        await asyncio.sleep(fault.for_s)
        service.faults.down = False
        service.faults.delay_s = 0
        service.faults.lose_write_answers = False
        await link.set_faults(cut_to_target=False, silent=False)

    async def _disturb_server(self, fault: plan.Fault) -> None:
        server, link = self._target(fault.server)
        self._disturb_work(server, fault)
        await self._disturb_way(link, fault.kind)
        await asyncio.sleep(fault.for_s)
        # A deaf server has a hole in its log, which only a promotion mends.
        replication_stopped = server.faults.replication_stopped
        server.faults = groups.Faults(replication_stopped=replication_stopped)
        await link.set_faults(delay_ms=0, silent=False, cut_to_client=False)

    def _disturb_work(self, server: groups.Server, fault: plan.Fault) -> None:
        match fault.kind:
            case Kind.server_dark:
                server.faults.unresponsive = True
            case Kind.server_busy:
                server.faults.busy = True
            case Kind.server_lags:
                server.faults.lag_s = LAG_S
            case Kind.server_deaf if server is not self._site.group.primary:
                server.faults.replication_stopped = True
            case Kind.server_loses_answers:
                server.faults.lose_answers = True
            case Kind.server_slow:
                server.faults.execution_s = WORK_S
            case Kind.server_cut_from_daemon:
                name = self._site.daemons[fault.daemon].name
                server.faults.ignored_daemons = frozenset((name,))

    async def _disturb_way(self, link: links.Link, kind: Kind) -> None:
        match kind:
            case Kind.server_reset:
                link.reset_connections()
            case Kind.server_delayed:
                await link.set_faults(delay_ms=DELAY_MS)
            case Kind.server_silent:
                await link.set_faults(silent=True)
            case Kind.server_cut_one_way:
                await link.set_faults(cut_to_client=True)

    def _target(self, number: int) -> tuple[groups.Server, links.Link]:
        servers = list(self._site.group.servers.values())
        primary = self._site.group.primary
        found = servers[number]
        if number == 0 and primary is not None:
            found = primary
        return found, self._server_links[servers.index(found)]

    async def _stop(self) -> None:
        for daemon in self._site.daemons:
            process = daemon.process
            if process is not None and process.returncode is None:
                daemon.send_signal(signal.SIGCONT)
        await self._site.stop()
        for link in (*self._server_links, *self._store_links):
            await link.set_faults(refuse=True)
