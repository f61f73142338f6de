"""Starts and stops a complete deployment on the loopback interface."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import secrets
import tempfile
import types
import typing
from collections import abc

import aiohttp
import aiomysql

from standins.deployment import http_clients, processes, specs

ENTRY_MODULE = 'celeryrelay.management.commands.entry'
HEALTH_TIMEOUT_S = 20
FLEET_KEY_BYTES = 32

Rows = abc.Sequence[abc.Sequence[typing.Any]]


@dataclasses.dataclass(slots=True)
class Slot:
    """A running stand-in database.

    Attributes:
        address: Address that daemons use; may be that of a fault proxy link.
        program: Process of the database.
        port: Port of the database itself, without the fault proxy.
        state: State in the platform's list of instances.
    """

    address: specs.SlotAddress
    program: processes.Program
    port: int
    state: str = 'live'


@dataclasses.dataclass(slots=True)
class Entry:
    """A running entry daemon.

    Attributes:
        zone: Availability zone of the daemon.
        address: Address in the platform's list of instances.
        program: Process of the daemon.
        peer: Client of its HTTP interface that bypasses the fault proxy.
        mysql_port: Port for callers.
        state: State in the platform's list of instances.
    """

    zone: str
    address: str
    program: processes.Program
    peer: http_clients.HttpClient
    mysql_port: int
    state: str = 'live'


class Cluster:
    """Context manager that starts a deployment and stops all its processes.

    Attributes:
        spec: Size and settings of the deployment.
        slots: Slots by group and name.
        entries: Entry daemons, including those that have exited.
        objects: Configuration objects that are published at the start.
        fleet_key: Secret key that all daemons share.
        directory: Temporary directory with settings, stderr output and event
            files.
        platform: Client of the platform.
        proxy: Client of the fault proxy; set only if `spec.proxied` is not
            empty.
    """

    directory: pathlib.Path
    platform: http_clients.PlatformClient
    proxy: http_clients.FaultProxyClient
    _http: aiohttp.ClientSession
    _programs: processes.Programs

    def __init__(self, spec: specs.DeploymentSpec) -> None:
        """Prepare the deployment that `spec` describes, without starting it."""
        self.spec = spec
        self.slots: dict[tuple[str, str], Slot] = {}
        self.entries: list[Entry] = []
        self.objects: specs.Document = {}
        self.fleet_key = secrets.token_hex(FLEET_KEY_BYTES)
        self._platform_link_ports: dict[str, int] = {}
        self._entry_count = 0
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> typing.Self:
        """Start all processes and publish the configuration."""
        try:
            await self._start()
        except BaseException:
            await self._exit_stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stop all processes and remove their files."""
        await self._exit_stack.aclose()

    async def start_entry(self, zone: str) -> Entry:
        """Start another entry daemon and add it to the platform's list."""
        self._entry_count += 1
        name = f'entry-{self._entry_count}-{zone}'
        link_port = 0
        if 'peers' in self.spec.proxied:
            link_port = await self.proxy.add_link(name)
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(self._entry_settings(name, zone, link_port)))
        program = await self._programs.start(
            name,
            ENTRY_MODULE,
            '--settings',
            str(path),
        )
        peer_port = program.listening['peer']
        if link_port:
            await self.proxy.add_link(name, peer_port)
        entry = Entry(
            zone,
            f'{specs.HOST}:{link_port or peer_port}',
            program,
            http_clients.HttpClient(self._http, peer_port, self.fleet_key),
            program.listening['mysql'],
        )
        self.entries.append(entry)
        await self.register_instances()
        return entry

    async def restart_slot(self, group: str, name: str) -> None:
        """Restart an exited slot as an empty replica that follows no slot."""
        old = self.slots[group, name]
        program = await self._programs.start(
            old.program.name,
            'standins.database.command',
            f'--port={old.port}',
            '--role=replica',
            *self._slot_flags(group, name),
        )
        self.slots[group, name] = dataclasses.replace(old, program=program)

    async def register_instances(self) -> None:
        """Set the platform's list of instances to the running processes."""
        databases = [
            _instance_record(
                f'{specs.HOST}:{slot.address.port}',
                slot.address.zone,
                'database',
                slot.state,
            )
            for slot in self.slots.values()
            if slot.program.running
        ]
        entries = [
            _instance_record(entry.address, entry.zone, 'entry', entry.state)
            for entry in self.entries
            if entry.program.running
        ]
        await self.platform.post(
            '/admin/instances',
            instances=entries + databases,
        )

    async def query(self, group: str, slot: str, sql: str) -> Rows:
        """Run a statement on a slot directly, bypassing celeryrelay."""
        return await run_sql(self.slots[group, slot].port, 'standin', sql)

    async def wait_healthy(self) -> None:
        """Wait until all running entry daemons report that they are healthy.

        Raises:
            TimeoutError: A daemon was not healthy within the time limit.
        """
        async with asyncio.timeout(HEALTH_TIMEOUT_S):
            for entry in self.entries:
                if entry.program.running:
                    await entry.peer.wait_healthy()

    async def _start(self) -> None:
        temporary = tempfile.TemporaryDirectory(prefix='celeryrelay-')
        self.directory = pathlib.Path(self._exit_stack.enter_context(temporary))
        self._http = await self._exit_stack.enter_async_context(
            aiohttp.ClientSession(raise_for_status=True),
        )
        self._programs = processes.Programs(self.directory)
        self._exit_stack.push_async_callback(self._programs.stop)
        (self.directory / 'fleet.key').write_text(self.fleet_key)
        await self._start_services()
        await self._start_slots()
        await self._publish()
        await asyncio.gather(
            *(
                self.start_entry(zone)
                for zone in self.spec.zones
                for _ in range(self.spec.entries_per_zone)
            )
        )

    async def _start_services(self) -> None:
        platform = await self._programs.start(
            'platform',
            'standins.platform.command',
        )
        port = platform.listening['http']
        self.platform = http_clients.PlatformClient(self._http, port)
        if not self.spec.proxied:
            return
        proxy = await self._programs.start(
            'faultproxy',
            'standins.faultproxy.command',
        )
        self.proxy = http_clients.FaultProxyClient(
            self._http, proxy.listening['admin']
        )
        if 'platform' in self.spec.proxied:
            for zone in self.spec.zones:
                link_port = await self.proxy.add_link(f'platform-{zone}', port)
                self._platform_link_ports[zone] = link_port

    async def _start_slots(self) -> None:
        init_sql = specs.REQUESTS_TABLE + self.spec.init_sql
        (self.directory / 'init.sql').write_text(init_sql)
        started = await asyncio.gather(
            *(
                self._start_slot(group, number)
                for group in self.spec.groups
                for number in range(self.spec.slots_per_group)
            )
        )
        for slot in started:
            self.slots[slot.address.group, slot.address.name] = slot
        for group, name in self.slots:
            port = self.slots[group, _slot_name(0)].address.port
            follow = f"CALL group_follow(1, '{specs.HOST}', {port})"
            if name != _slot_name(0):
                await self.query(group, name, follow)

    async def _start_slot(self, group: str, number: int) -> Slot:
        name = _slot_name(number)
        program = await self._programs.start(
            f'{group}-{name}',
            'standins.database.command',
            '--role={0}'.format('replica' if number else 'primary'),
            *self._slot_flags(group, name),
        )
        port = program.listening['mysql']
        link_port = port
        if 'slots' in self.spec.proxied:
            link_port = await self.proxy.add_link(program.name, port)
        zone = self.spec.slot_zone(group, number)
        address = specs.SlotAddress(group, name, zone, link_port)
        return Slot(address, program, port)

    def _slot_flags(self, group: str, name: str) -> tuple[str, ...]:
        init_path = self.directory / 'init.sql'
        return (
            f'--group={group}',
            f'--slot={name}',
            f'--connection_limit={self.spec.connection_limit}',
            f'--init_sql_file={init_path}',
            *self.spec.slot_flags,
        )

    async def _publish(self) -> None:
        self.objects = specs.build_objects(
            self.spec,
            [slot.address for slot in self.slots.values()],
        )
        for group in self.spec.groups:
            record = {
                'term': 1,
                'primary': _slot_name(0),
                'state': 'open',
                'history': [[1, 0]],
            }
            await self.platform.put(f'groups/{group}/term', record)
        await self.platform.publish(self.objects)
        await self.register_instances()

    def _entry_settings(
        self,
        name: str,
        zone: str,
        link_port: int,
    ) -> specs.Document:
        platform_link_port = self._platform_link_ports.get(zone)
        platform_url = self.platform.url
        if platform_link_port is not None:
            platform_url = f'http://{specs.HOST}:{platform_link_port}'
        return {
            'deployment': 'standins',
            'availability_zone': zone,
            'advertise': f'{specs.HOST}:{link_port}' if link_port else '',
            'platform_url': platform_url,
            'fleet_key_file': str(self.directory / 'fleet.key'),
            'listen': {'host': specs.HOST, 'mysql_port': 0, 'peer_port': 0},
            'timeline': {'path': str(self.directory / f'{name}.events')},
            **self.spec.entry_settings,
        }


async def run_sql(port: int, user: str, sql: str) -> Rows:
    """Run a statement on a new connection and return the rows."""
    connection = await aiomysql.connect(
        host=specs.HOST,
        port=port,
        user=user,
        autocommit=True,
    )
    try:
        async with connection.cursor() as cursor:
            await cursor.execute(sql)
            return typing.cast(Rows, await cursor.fetchall())
    finally:
        connection.close()


def _slot_name(number: int) -> str:
    return f'slot-{number}'


def _instance_record(
    address: str,
    zone: str,
    kind: str,
    state: str,
) -> specs.Document:
    return {
        'instance': address,
        'address': address,
        'zone': zone,
        'kind': kind,
        'state': state,
    }
