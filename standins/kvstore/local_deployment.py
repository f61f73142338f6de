"""Deployment on 127.0.0.1 for tests.

Databases and store run in this process, daemons as processes of their own.
"""

import asyncio
import base64
import json
import os
import pathlib
import resource
import signal
import sys
import typing

import standins
from standins import free_ports
from standins.kvstore import service
from standins.linedb import group as groups
from standins.linedb import server as servers

ZONES = ('zone-a', 'zone-b', 'zone-c')
PROCESS_TIMEOUT_S = 15
_REPOSITORY_ROOT = pathlib.Path(standins.__file__).parent.parent


class DaemonProcess:
    """Daemon process with its settings file and log file.

    Attributes:
        limits: Limits of the process by the resource, such as
            `resource.RLIMIT_NOFILE`.
    """

    def __init__(
        self,
        name: str,
        directory: pathlib.Path,
        store_address: str,
        deposes_primaries: bool = True,
        contracts: str = '',
    ) -> None:
        """Write the settings file of the daemon `name`.

        `name` ends with a number, which selects the zone. The daemon reaches
        the store and the promotion service at `store_address`. It is told
        whether a promotion deposes the old primary, and which `contracts` are
        in force, such as `tenants`.
        """
        self.name = name
        self.port = free_ports.free_port()
        self.probe_port = free_ports.free_port()
        self.metrics_port = free_ports.free_port()
        self.link_port = free_ports.free_port()
        self.settings_path = directory / f'{name}.conf'
        self.log_path = directory / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.limits: dict[int, int] = {}
        zone = ZONES[int(name.rpartition('-')[2]) % len(ZONES)]
        settings = {
            'node': name,
            'zone': zone,
            'ip': '127.0.0.1',
            'listen.front': f'127.0.0.1:{self.port}',
            'listen.ready': f'127.0.0.1:{self.probe_port}',
            'internal_ports': f'{self.metrics_port},{self.link_port}',
            'platform.addr': store_address,
            'cloud.addr': store_address,
            'bounds.grace_s': '6',
            'bounds.fencing': json.dumps(deposes_primaries),
            **({'contracts': contracts} if contracts else {}),
            **{f'zones.{one}': f'region-{one}' for one in ZONES},
        }
        text = ''.join(f'{key}={field}\n' for key, field in settings.items())
        self.settings_path.write_text(text)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        await self.spawn()
        await self.wait_until_ready()

    async def spawn(self) -> None:
        """Start the process."""
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'celeryrelay.management.commands.gateway',
                '--log_level=DEBUG',
                stdout=log,
                stderr=log,
                cwd=_REPOSITORY_ROOT,
                env={
                    **os.environ,
                    'CELERYRELAY_BOOT': str(self.settings_path),
                },
                preexec_fn=self._set_limits if self.limits else None,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the readiness probe succeeds."""
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            while await self.probe() != 200:
                await asyncio.sleep(0.05)

    async def probe(self) -> int:
        """Return the status of the readiness probe, 0 without a response."""
        status, _ = await self.get(self.probe_port, '/celeryrelay/ready')
        return status

    async def get(self, port: int, path: str) -> tuple[int, str]:
        """Return status and body of a GET request; 0 without a response."""
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            return 0, ''
        request = f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        writer.write(request.encode())
        raw = (await reader.read()).decode()
        writer.close()
        headers, _, body = raw.partition('\r\n\r\n')
        return int(headers.split(' ')[1]) if headers else 0, body

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait_for_exit(self) -> int:
        """Wait until the process has ended and return its exit code."""
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            return await self.process.wait()

    def _set_limits(self) -> None:
        for limited, most in self.limits.items():
            resource.setrlimit(limited, (most, most))

    def log(self) -> list[dict[str, typing.Any]]:
        """Return the decoded JSON lines of the log file."""
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def last_log_line(self) -> str:
        """Return the last line of the log file, which may be a traceback's."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return lines[-1] if lines else ''


class LocalDeployment:
    """Databases, store and daemons of one deployment.

    Attributes:
        group: The only database group.
        store_service: Store and promotion service.
        daemons: Daemons in the order of their numbers.
        contracts: Setting `contracts` of the daemons, empty if they have none.
        tenants: Client accounts of the configuration, with their API keys.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        """Create a group with a server in each zone; start nothing yet."""
        self.group = groups.Group('ledger', ZONES)
        self.store_service = service.StoreService({'ledger': self.group})
        self.daemons: list[DaemonProcess] = []
        self.contracts = ''
        self.tenants: list[dict[str, typing.Any]] = []
        self._directory = directory
        self._listeners: list[asyncio.Server] = []
        self._registration_task: asyncio.Task | None = None
        self._configuration_version = 7

    async def start(self, daemons: int) -> None:
        """Start databases, store and `daemons` daemons."""
        await self.start_platform()
        for number in range(daemons):
            self.add_daemon(number, self.store_service.address)
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def start_platform(self) -> None:
        """Start databases and store and write the configuration.

        Servers are registered again after each change of primary.
        """
        for server in self.group.servers.values():
            self._listeners.append(await servers.serve(server))
        await self.store_service.start()
        self.publish()
        self.register_servers()
        self._registration_task = asyncio.create_task(
            self._register_after_changes()
        )

    def add_daemon(self, number: int, store_address: str) -> None:
        """Add a daemon that uses the store at `store_address`."""
        self.daemons.append(
            DaemonProcess(
                f'front-{number}',
                self._directory,
                store_address,
                self.group.deposes_primaries,
                self.contracts,
            ),
        )

    async def stop(self) -> None:
        """Kill the running daemons and stop databases and store."""
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        self._registration_task.cancel()
        for server in self.group.servers.values():
            server.faults.unresponsive = False
        for listener in self._listeners:
            listener.close()
        await self.store_service.stop()

    def publish(self, **changes: typing.Any) -> int:
        """Write a configuration of a newer version and return the version.

        `changes` replace top-level fields of the configuration.
        """
        self._configuration_version += 3
        document = {
            'version': self._configuration_version,
            'routes': [
                route('bookings', 'primary', 0, 400),
                route('views', 'bounded', 1, 800, max_staleness_ms=1500),
                route('logs', 'own', 2, 1500, max_staleness_ms=2500),
            ],
            'services': [
                {
                    'name': 'ledger',
                    'max_conns': self.group.max_connections,
                    'sync_replicas': self.group.sync_replicas,
                },
            ],
            'limits': {'tx_idle_ms': 3000},
            **({'tenants': self.tenants} if self.tenants else {}),
            **changes,
        }
        self.put_json('op/config', document)
        return self._configuration_version

    def put_json(self, key: str, document: typing.Any) -> int:
        """Write a JSON document to the store and return its revision."""
        encoded = base64.b64encode(json.dumps(document).encode()).decode()
        return self.store_service.store.put(key, encoded)

    def register_servers(self, state: dict[str, str] | None = None) -> None:
        """Write the registrations of all servers with their current roles.

        `state` overrides the state `ready` by server id.
        """
        for server in self.group.servers.values():
            self.put_json(
                f'servers/{server.server_id}',
                {
                    'service': self.group.name,
                    'addr': server.address,
                    'zone': server.zone,
                    'slots': servers.CONCURRENT_STATEMENTS,
                    'state': (state or {}).get(server.server_id, 'ready'),
                    'db_role': 'primary' if server.is_primary else 'replica',
                    'born': 1,
                    'seq': 1,
                },
            )

    async def _register_after_changes(self) -> None:
        while True:
            await self.group.changed.wait()
            self.group.changed.clear()
            if self.group.primary is not None:
                self.register_servers()


def route(
    host: str,
    kind: str,
    priority: int,
    goal_ms: int,
    **extra_fields: typing.Any,
) -> dict[str, typing.Any]:
    """Return a route of the configuration from the database name `host`."""
    return {
        'name': f'r-{host}',
        'host': host,
        'prefix': '/',
        'service': 'ledger',
        'kind': kind,
        'timeout_ms': 800,
        'goal_ms': goal_ms,
        'priority': priority,
        **extra_fields,
    }
