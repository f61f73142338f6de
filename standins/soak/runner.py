"""Runs one soak: starts daemons and callers, injects faults, checks results."""

import asyncio
import dataclasses
import itertools
import pathlib
import signal
import time

from standins.faultproxy import links
from standins.kvstore import local_deployment
from standins.linedb import group as groups
from standins.soak import callers, checks, plan, supervision

FaultKind = plan.FaultKind
LOOPBACK = '127.0.0.1'
# Time after the last fault within which all daemons must serve writes again.
RECOVERY_TIMEOUT_S = 12.0
# Pauses between the signals of a series; a daemon starts in about 0.5 s.
SIGNAL_PAUSES_S = (0.05, 0.6, 0.2, 0.4)
CALM_CHECK_INTERVAL_S = 0.05
# Number of the first caller that checks recovery; higher than the numbers of
# all callers that generate load, so that request ids do not collide.
FIRST_RECOVERY_CALLER = 1000
LINK_DELAY_MS = 120
STORE_DELAY_S = 0.4
EXECUTION_S = 0.15
REPLICATION_LAG_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one soak.

    Attributes:
        violations: Descriptions of the guarantees that were violated.
        writes: Number of writes that callers sent.
        acknowledged: Number of writes that were acknowledged.
        reads: Number of successful reads.
        promotions: Number of promotions.
        refused_connections: Number of connections that servers refused at
            their connection limit.
    """

    violations: list[str]
    writes: int
    acknowledged: int
    reads: int
    promotions: int
    refused_connections: int


class Soak:
    """One soak, with its files in its own directory."""

    def __init__(
        self, soak_plan: plan.SoakPlan, directory: pathlib.Path
    ) -> None:
        """Prepare a soak with the size and faults of `soak_plan`."""
        self._plan = soak_plan
        self._site = local_deployment.LocalDeployment(directory)
        self._site.group.max_connections = soak_plan.connections
        self._site.group.deposes_primaries = soak_plan.deposes_primaries
        self._supervisors: list[supervision.Supervisor] = []
        self._server_links: list[links.Link] = []
        self._store_links: list[links.Link] = []
        self._faulty_daemons: set[int] = set()
        self._daemon_violations: list[str] = []

    async def run(self) -> Outcome:
        """Run the load with its faults and return the outcome."""
        await self._start()
        try:
            return await self._run_plan()
        finally:
            await self._stop()

    async def _start(self) -> None:
        site = self._site
        await site.start_platform()
        for server in site.group.servers.values():
            link = await self._open_link(server.server_id, server.address)
            server.address = f'{LOOPBACK}:{link.port}'
            self._server_links.append(link)
        site.register_servers()
        for number in range(self._plan.daemons):
            link = await self._open_link(
                f'store-{number}', site.store_service.address
            )
            self._store_links.append(link)
            site.add_daemon(number, f'{LOOPBACK}:{link.port}')
        self._supervisors = [
            supervision.Supervisor(daemon) for daemon in site.daemons
        ]
        await asyncio.gather(*(one.start() for one in self._supervisors))

    async def _open_link(self, name: str, address: str) -> links.Link:
        host, _, port = address.rpartition(':')
        link = links.Link(name, host, int(port))
        await link.listen(LOOPBACK, 0)
        return link

    async def _run_plan(self) -> Outcome:
        load_ended = asyncio.Event()
        load_callers = [
            callers.Caller(number, self._site.daemons, self._plan.seed)
            for number in range(self._plan.callers)
        ]
        caller_tasks = [
            asyncio.create_task(caller.run(load_ended))
            for caller in load_callers
        ]
        await asyncio.gather(
            *(self._apply_fault(fault) for fault in self._plan.faults),
        )
        await self._check_recovery()
        load_ended.set()
        await asyncio.gather(*caller_tasks)
        group = self._site.group
        orders = self._site.store_service.promotion_orders
        writes = [write for caller in load_callers for write in caller.writes]
        return Outcome(
            [
                *self._daemon_violations,
                *self._supervision_violations(),
                *checks.violations(group, load_callers, orders),
            ],
            len(writes),
            sum(not write.code for write in writes),
            sum(len(caller.reads) for caller in load_callers),
            len(group.promotion_times),
            group.refused_connections,
        )

    def _supervision_violations(self) -> list[str]:
        return list(
            itertools.chain.from_iterable(
                one.violations for one in self._supervisors
            )
        )

    async def _check_recovery(self) -> None:
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        for number, daemon in enumerate(self._site.daemons):
            recovery_caller = callers.Caller(
                FIRST_RECOVERY_CALLER + number, [daemon], 0
            )
            served = False
            while not served and time.monotonic() < deadline:
                stop = asyncio.Event()
                asyncio.get_running_loop().call_later(0.5, stop.set)
                await recovery_caller.run(stop)
                served = any(not write.code for write in recovery_caller.writes)
            if not served:
                self._daemon_violations.append(
                    f'{daemon.name} served no write within '
                    f'{RECOVERY_TIMEOUT_S} s after the last fault',
                )
            self._exclude_writes(recovery_caller)

    def _exclude_writes(self, recovery_caller: callers.Caller) -> None:
        """Remove the writes of a recovery check from the committed entries."""
        sent = {write.request_id for write in recovery_caller.writes}
        group = self._site.group
        group.committed_entries = [
            entry
            for entry in group.committed_entries
            if entry.request_id not in sent
        ]

    async def _apply_fault(self, fault: plan.Fault) -> None:
        await asyncio.sleep(fault.start_s)
        if fault.kind.startswith('daemon_'):
            await self._apply_daemon_fault(fault)
        elif fault.kind in plan.START_KINDS:
            await self._disturb_start(fault)
        elif fault.kind.startswith('store_'):
            await self._apply_store_fault(fault)
        elif fault.kind is FaultKind.publish:
            self._site.publish()
        else:
            await self._apply_server_fault(fault)

    async def _apply_daemon_fault(self, fault: plan.Fault) -> None:
        """Signal a daemon, unless another fault still affects it."""
        if fault.daemon in self._faulty_daemons:
            return
        self._faulty_daemons.add(fault.daemon)
        supervisor = self._supervisors[fault.daemon]
        match fault.kind:
            case FaultKind.daemon_kill:
                await supervisor.restart(signal.SIGKILL, fault.duration_s / 2)
            case FaultKind.daemon_freeze:
                supervisor.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                supervisor.send_signal(signal.SIGCONT)
            case FaultKind.daemon_stop:
                await supervisor.restart(signal.SIGTERM, 0)
            case FaultKind.daemon_settings:
                self._change_settings(fault.daemon)
                supervisor.send_signal(signal.SIGHUP)
        self._faulty_daemons.discard(fault.daemon)

    def _change_settings(self, number: int) -> None:
        path = self._site.daemons[number].settings_path
        with path.open('a') as settings:
            settings.write('comment=changed\n')

    async def _disturb_start(self, fault: plan.Fault) -> None:
        """Restart a daemon and signal it in series, also while it starts.

        Series overlap, also on one daemon, but not with other daemon faults: a
        daemon that is frozen can't stop in time.
        """
        while fault.daemon in self._faulty_daemons:
            await asyncio.sleep(CALM_CHECK_INTERVAL_S)
        supervisor = self._supervisors[fault.daemon]
        supervisor.send_signal(signal.SIGKILL)
        end = time.monotonic() + fault.duration_s
        for pause_s in itertools.cycle(SIGNAL_PAUSES_S):
            await asyncio.sleep(pause_s)
            if time.monotonic() >= end:
                return
            match fault.kind:
                case FaultKind.start_hangups:
                    self._change_settings(fault.daemon)
                    supervisor.hang_up()
                case FaultKind.start_stops:
                    supervisor.send_signal(signal.SIGTERM)
                case FaultKind.start_kills:
                    supervisor.send_signal(signal.SIGKILL)

    async def _apply_store_fault(self, fault: plan.Fault) -> None:
        service = self._site.store_service
        link = self._store_links[fault.daemon]
        match fault.kind:
            case FaultKind.store_down:
                service.faults.down = True
            case FaultKind.store_slow:
                service.faults.delay_s = STORE_DELAY_S
            case FaultKind.store_loses_answers:
                service.faults.lose_write_answers = True
            case FaultKind.store_forgets:
                service.store.compact()
            case FaultKind.store_cut:
                await link.set_faults(cut_to_target=True)
            case FaultKind.store_silent:
                await link.set_faults(silent=True)
        await asyncio.sleep(fault.duration_s)
        service.faults.down = False
        service.faults.delay_s = 0
        service.faults.lose_write_answers = False
        await link.set_faults(cut_to_target=False, silent=False)

    async def _apply_server_fault(self, fault: plan.Fault) -> None:
        server, link = self._find_server(fault.server)
        self._set_server_fault(server, fault)
        await self._set_link_fault(link, fault.kind)
        await asyncio.sleep(fault.duration_s)
        # Replication to a server that missed entries stays off: its log has a
        # gap, which only a promotion closes.
        replication_stopped = server.faults.replication_stopped
        server.faults = groups.Faults(replication_stopped=replication_stopped)
        await link.set_faults(delay_ms=0, silent=False, cut_to_client=False)

    def _set_server_fault(
        self, server: groups.Server, fault: plan.Fault
    ) -> None:
        match fault.kind:
            case FaultKind.server_dark:
                server.faults.unresponsive = True
            case FaultKind.server_busy:
                server.faults.busy = True
            case FaultKind.server_lags:
                server.faults.lag_s = REPLICATION_LAG_S
            case FaultKind.server_deaf if (
                server is not self._site.group.primary
            ):
                server.faults.replication_stopped = True
            case FaultKind.server_loses_answers:
                server.faults.lose_answers = True
            case FaultKind.server_slow:
                server.faults.execution_s = EXECUTION_S
            case FaultKind.server_cut_from_daemon:
                name = self._site.daemons[fault.daemon].name
                server.faults.ignored_daemons = frozenset((name,))

    async def _set_link_fault(self, link: links.Link, kind: FaultKind) -> None:
        match kind:
            case FaultKind.server_reset:
                link.reset_connections()
            case FaultKind.server_delayed:
                await link.set_faults(delay_ms=LINK_DELAY_MS)
            case FaultKind.server_silent:
                await link.set_faults(silent=True)
            case FaultKind.server_cut_one_way:
                await link.set_faults(cut_to_client=True)

    def _find_server(self, number: int) -> tuple[groups.Server, links.Link]:
        servers = list(self._site.group.servers.values())
        primary = self._site.group.primary
        found = servers[number]
        if number == 0 and primary is not None:
            found = primary
        return found, self._server_links[servers.index(found)]

    async def _stop(self) -> None:
        for supervisor in self._supervisors:
            supervisor.close()
        for daemon in self._site.daemons:
            process = daemon.process
            if process is not None and process.returncode is None:
                daemon.send_signal(signal.SIGCONT)
        await self._site.stop()
        for link in (*self._server_links, *self._store_links):
            await link.set_faults(refuse=True)
