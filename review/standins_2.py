"""Stand-ins for the scripts of the second review: store, databases, clients.

They need nothing beyond the standard library and listen on 127.0.0.1 only. They
behave as the users' pages say; where a page is silent, like a sound server.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'ledger'
HANDSHAKE_S = 0.012
PROMOTE_S = 0.3
HEARTBEAT_S = 1.2
# A connection whose other end is unreachable is dropped after this time.
DROP_AFTER_S = 3.0


def free_ports(count):
    """Return `count` ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    """Lines of `record.txt`, with seconds since the start of the case."""

    def __init__(self, path):
        """Write to `path`."""
        self._file = open(path, 'w', encoding='utf-8')
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def line(self, *words):
        """Write one line."""
        text = ' '.join(map(str, words))
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, *words):
        """Write one line and print it."""
        self.line(*words)
        print(*words, flush=True)


class Store:
    """The platform's key-value store and its promotion call.

    `gates` maps the name of a caller to what it gets: `ok` or `busy` (503).
    Each caller has a port of its own, by which it is known.
    """

    def __init__(self):
        """Create an empty store."""
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.gates = {}
        # Callers of which the answer to the next watch is lost. The connection
        # returns nothing further then.
        self.lose_watch = set()
        self.orders = []
        self.fences = {}
        self.on_promote = None
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(501)
        self._servers = []
        self._tasks = []

    async def listen(self, caller):
        """Open a port for `caller` and return its address."""
        self.gates[caller] = 'ok'

        async def serve(reader, writer):
            await self._serve(caller, reader, writer)

        server = await asyncio.start_server(serve, HOST, 0)
        self._servers.append(server)
        if not self._tasks:
            self._tasks.append(asyncio.create_task(self._expire()))
        return '{0}:{1}'.format(*server.sockets[0].getsockname()[:2])

    def close(self):
        """Stop to listen."""
        for one in (*self._servers, *self._tasks):
            one.close() if one in self._servers else one.cancel()

    def put(self, key, document, lease=0):
        """Write a JSON document, as the operator and the databases do."""
        text = json.dumps(document).encode()
        return self._put(key, base64.b64encode(text).decode(), lease)

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': value,
            'mod_revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self._notify(item)
        return self.revision

    def delete(self, key):
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {'key': key, 'mod_revision': self.revision}
            self._notify({**event, 'removed': True})

    def _notify(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends_at) in tuple(self.leases.items()):
                if ends_at < now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        found = self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.delete(key)
        return found is not None

    async def _serve(self, caller, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ')
                headers = dict(
                    (name.lower(), field.strip())
                    for name, _, field in (
                        line.partition(':') for line in lines[1:] if line
                    )
                )
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                path, _, query = target.partition('?')
                fields = dict(
                    urllib.parse.parse_qsl(query, keep_blank_values=True)
                )
                document = json.loads(body) if body else {}
                status, answer = await self._answer(
                    caller, method, path, fields, document, headers
                )
                if path.endswith('/kv-watch') and caller in self.lose_watch:
                    self.lose_watch.discard(caller)
                    await reader.read()
                    return
                content = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} x\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n'
                    'Store-Era: 0\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, caller, method, path, fields, body, headers):
        if path == '/promote':
            return self._promote(body, headers)
        if self.gates[caller] == 'busy':
            return 503, {}
        name, _, rest = path.removeprefix('/celeryrelay/').partition('/')
        match name:
            case 'kv-key':
                item = self.items.get(fields['key'])
                if item is None:
                    return 404, {'store_revision': self.revision}
                return 200, {**item, 'store_revision': self.revision}
            case 'kv-range':
                return self._range(fields)
            case 'kv-watch':
                return await self._watch(caller, fields)
            case 'kv-txn':
                return self._transact(body)
            case 'kv-lease':
                lease = next(self._lease_ids)
                self._renew(lease, body['ttl_ms'])
                return 200, {'lease': lease, 'ttl_ms': body['ttl_ms']}
            case 'kv-keep':
                found = self.leases.get(int(rest))
                if found is None:
                    return 404, {}
                self._renew(int(rest), found[0])
                return 200, {'ttl_ms': found[0]}
            case 'kv-lease-end':
                return (200 if self._end_lease(int(rest)) else 404), {}
        return 404, {}

    def _renew(self, lease, ttl_ms):
        self.leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000

    def _range(self, fields):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields['prefix'])
            and key > fields.get('after', '')
        )
        page = [self.items[key] for key in keys[:500]]
        return 200, {
            'items': page,
            'has_more': len(keys) > 500,
            'store_revision': self.revision,
        }

    async def _watch(self, caller, fields):
        after = int(fields['after'])
        ends_at = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            if self.gates[caller] == 'busy':
                return 503, {}
            events = [
                event
                for event in self.history
                if event['mod_revision'] > after
                and event['key'].startswith(fields['prefix'])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            try:
                # The gate is looked at again now and then.
                async with asyncio.timeout(min(left_s, 0.1)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body):
        conditions = body.get('expect_rev', [])
        for row in conditions:
            present = self.items.get(row['key'], {})
            if present.get('mod_revision', 0) != row['mod_revision']:
                found = [self.items.get(one['key']) for one in conditions]
                return 412, {'items': [item for item in found if item]}
        for put in body.get('puts', []):
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        for put in body.get('puts', []):
            self._put(put['key'], put['value'], put.get('lease', 0))
        for key in body.get('deletes', []):
            self.delete(key)
        return 200, {'mod_revision': self.revision}

    def _promote(self, body, headers):
        fence = int(headers['fence-token'])
        if fence < self.fences.get(body['service'], 0):
            return 409, {}
        self.fences[body['service']] = fence
        self.orders.append((body['id'], headers['holder'], fence))
        if self.on_promote is not None:
            self.on_promote(body['id'])
        return 200, {}


class Refused(Exception):
    """A statement that a database refuses; the message is its error code."""


class Database:
    """One database of the group."""

    def __init__(self, group, server_id, zone):
        """Create a replica."""
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.state = 'ready'
        self.address = ''
        self.connections = 0
        self.slots = asyncio.Semaphore(group.slots)
        # Daemons that a partition cuts off, by name.
        self.cut_off = frozenset()

    @property
    def is_primary(self):
        """Whether it leads its group."""
        return self.group.primary is self


class Group:
    """A replicated service. Replicas have each commit at once.

    `runs` gets (time, database, who, request id, text, session values,
    connection) of each read, write and commit that was run.
    """

    def __init__(self, record, slots=5, work_s=0.002, databases=3):
        """Create the databases; the first one is the primary of term 1."""
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.term = 1
        self.number = 100
        self.items = {}
        self.runs = []
        self.max_conns = 58
        self._numbers = itertools.count(1)
        self.databases = {
            f'i-{number}': Database(self, f'i-{number}', ZONES[number % 3])
            for number in range(databases)
        }
        self.primary = self.databases['i-0']
        self.newest_term = 1
        self._servers = []
        self.store = None
        self._tasks = set()
        self._seq = 0

    async def start(self, store):
        """Listen, and register in the store from now on."""
        self.store = store
        store.on_promote = self._on_promote
        for database in self.databases.values():
            server = await asyncio.start_server(
                lambda reader, writer, one=database: _Session(
                    one, reader, writer, next(self._numbers)
                ).run(),
                HOST,
                0,
                limit=4 * 1024 * 1024,
            )
            self._servers.append(server)
            database.address = '{0}:{1}'.format(
                *server.sockets[0].getsockname()[:2]
            )
        self.register()
        self._spawn(self._beat())

    def close(self):
        """Stop to listen."""
        for one in self._servers:
            one.close()
        for one in tuple(self._tasks):
            one.cancel()

    def register(self):
        """Write the entries of all databases."""
        self._seq += 1
        for database in self.databases.values():
            self.store.put(
                f'servers/{database.server_id}',
                {
                    'service': SERVICE,
                    'addr': database.address,
                    'zone': database.zone,
                    'version': 'v1',
                    'slots': self.slots,
                    'state': database.state,
                    'cold_left_ms': 0,
                    'db_role': 'primary' if database.is_primary else 'replica',
                    'born': 1700000000000,
                    'seq': self._seq,
                },
            )

    def step_down(self, database, term):
        """Make a primary of a lower term a replica."""
        self.newest_term = max(self.newest_term, term)
        if database.is_primary and term > self.term:
            self.record.line('STEPDOWN', database.server_id, 'for term', term)
            self.primary = None
            self.register()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def _on_promote(self, server_id):
        self._spawn(self._promote(server_id))

    async def _promote(self, server_id):
        await asyncio.sleep(PROMOTE_S)
        if self.primary is self.databases[server_id]:
            return
        self.primary = self.databases[server_id]
        self.term = self.newest_term = max(self.term, self.newest_term) + 1
        self.record.line('PROMOTED', server_id, 'term', self.term)
        self.register()


class _Session:
    """One connection to a database."""

    def __init__(self, database, reader, writer, number):
        self._database = database
        self._group = database.group
        self._reader = reader
        self._writer = writer
        self._number = number
        self._who = ''
        self._state = 'I'
        self._plain = False
        self._values = {}
        self._prepared = {}
        self._writes = []

    async def run(self):
        self._database.connections += 1
        try:
            await self._run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._database.connections -= 1
            self._writer.close()

    async def _line(self):
        raw = await self._reader.readline()
        await self._wait_out_partition()
        return raw.decode('latin-1').rstrip('\r\n')

    async def _wait_out_partition(self):
        """Wait while the other end is cut off; after 3 s, drop it."""
        begun = time.monotonic()
        while self._who in self._database.cut_off:
            await asyncio.sleep(0.02)
            if time.monotonic() - begun > DROP_AFTER_S:
                raise ConnectionError('the other end is unreachable')

    async def _run(self):
        fields = (await self._line()).split(' ')
        database = self._database
        if fields[:2] != ['START', SERVICE] or (
            len(fields) > 3 and fields[3] != database.server_id
        ):
            self._writer.write(b'ERR MISROUTED x\r\n')
            return
        if database.connections > self._group.max_conns:
            self._writer.write(b'ERR MAXCONN x\r\n')
            return
        self._who = fields[2]
        await self._wait_out_partition()
        async with database.slots:
            await asyncio.sleep(HANDSHAKE_S)
        self._ready()
        while line := await self._line():
            keyword, _, rest = line.partition(' ')
            if keyword != 'QUERY':
                return
            request_id, _, text = rest.partition(' ')
            await self._query(request_id, text)

    def _ready(self):
        term, number = self._group.term, self._group.number
        line = f'READY {self._state} {term}.{number}\r\n'
        self._writer.write(line.encode())

    async def _query(self, request_id, text):
        try:
            rows = await self._execute(request_id, text)
        except Refused as refused:
            if self._state == 'T' and str(refused) not in {'BUSY', 'NOSTMT'}:
                self._state = 'E'
            elif self._state == 'T':
                self._state = 'E' if str(refused) == 'NOSTMT' else 'T'
            answer = f'ERR {refused} {self._database.server_id}\r\n'
            if text != 'BEGIN':
                self._group.record.line(
                    'refused', refused, 'by', self._database.server_id,
                    'connection', self._number, request_id, text,
                )  # fmt: skip
        else:
            proof = (
                '-'
                if request_id == '-'
                else f'{self._number}.{time.time_ns():x}'
            )
            answer = ''.join(f'ROW {row}\r\n' for row in rows)
            answer += f'DONE {proof}\r\n'
        self._writer.write(answer.encode('latin-1'))
        self._ready()

    async def _execute(self, request_id, text):
        group, database = self._group, self._database
        keyword, _, rest = text.partition(' ')
        if keyword == 'ROLLBACK':
            self._end()
            return []
        if self._state == 'E':
            raise Refused('MALFORMED')
        # A plain transaction whose database has lost the lead.
        has_lost = (
            self._state == 'T' and self._plain and not database.is_primary
        )
        writes_nothing = keyword == 'COMMIT' and not self._writes
        if has_lost and not writes_nothing:
            raise Refused('READONLY')
        if keyword == 'AFTER':
            position, _, text = rest.partition(' ')
            keyword, _, rest = text.partition(' ')
            term, _, number = position.partition('.')
            if (int(term), int(number)) > (group.term, group.number):
                raise Refused('LAGGING')
        match keyword:
            case 'READ' | 'WRITE' | 'EXEC' | 'COMMIT':
                return await self._data(request_id, keyword, rest, text)
            case 'BEGIN':
                if rest != 'READ' and not database.is_primary:
                    raise Refused('READONLY')
                self._state, self._plain = 'T', rest != 'READ'
            case 'SET':
                name, _, setting = rest.partition(' ')
                self._values[name] = setting
            case 'PREPARE':
                name, mode, shape = rest.split(' ', 2)
                self._prepared[name] = mode, shape
            case 'DEALLOC':
                if self._prepared.pop(rest, None) is None:
                    raise Refused('NOSTMT')
            case 'RESET':
                self._values.clear()
                self._prepared.clear()
            case 'STEPDOWN':
                group.step_down(database, int(rest))
                return [self._status()]
            case 'STATUS' | 'PAUSE' | 'RESUME':
                return [self._status()]
            case _:
                raise Refused('MALFORMED')
        return []

    async def _data(self, request_id, keyword, rest, text):
        group, database = self._group, self._database
        writes = keyword == 'WRITE'
        if keyword == 'EXEC':
            name, _, rest = rest.partition(' ')
            if name not in self._prepared:
                raise Refused('NOSTMT')
            writes = self._prepared[name][0] == 'WRITE'
        if writes and not database.is_primary:
            raise Refused('READONLY')
        async with database.slots:
            await asyncio.sleep(group.work_s)
        if writes and not database.is_primary:
            raise Refused('READONLY')
        if self._state == 'T' and self._plain and not database.is_primary:
            if keyword != 'COMMIT' or self._writes:
                raise Refused('READONLY')
        values = dict(self._values)
        group.runs.append(
            (
                time.monotonic(),
                database.server_id,
                self._who,
                request_id,
                text,
                values,
                self._number,
            )  # fmt: skip
        )
        item, _, content = rest.partition(' ')
        if writes:
            self._writes.append((item, content))
        elif keyword != 'COMMIT':
            return [group.items.get(item, '-')]
        if keyword == 'COMMIT' or self._state == 'I':
            if self._writes:
                group.number += 1
                group.items.update(self._writes)
            self._end()
        return []

    def _end(self):
        self._state, self._plain, self._writes = 'I', False, []

    def _status(self):
        group = self._group
        role = 'primary' if self._database.is_primary else 'replica'
        position = f'{group.term}.{group.number}'
        return (
            f'{role} {group.newest_term} {position} {group.term} 0 0 '
            f'{self._database.connections}'
        )


class Daemon:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, name, directory, store_address, zone, extra=()):
        """Write the settings file."""
        self.name = name
        self.zone = zone
        front, ready, control, *internal = free_ports(5)
        # The last internal port is the one for links.
        metrics, link = sorted(internal)
        self.front, self.ready_port, self._metrics = front, ready, metrics
        self.process = None
        self._log_path = directory / f'{name}.log'
        self._path = directory / f'{name}.conf'
        fields = {
            'node': name,
            'role': 'gateway',
            'class': 'front',
            'serves': 'front',
            'ip': HOST,
            'zone': zone,
            'region': f'region-{zone}',
            **{f'zones.{one}': f'region-{one}' for one in ZONES},
            'listen.front': f'{HOST}:{front}',
            'listen.ready': f'{HOST}:{ready}',
            'listen.control': f'{HOST}:{control}',
            'internal_ports': f'{metrics},{link}',
            'bootstrap': 'true',
            'loss_counts': 'false',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_limit_mb': '300',
            'limits.max_fds': '4300',
            'limits.link_mbps': '1000.0',
            'limits.disk_mb': '0',
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': '1200',
            'contracts': 'base,drain,config,cost,recover,sql,platform',
            'bounds.contact_ms': '5000',
            'bounds.drain_ms': '7000',
            'bounds.grace_s': '6',
            'bounds.loss_slack_ms': '200',
            'bounds.config_apply_ms': '3000',
            'bounds.back_ms': '250',
            'bounds.recovery_s': '12',
            'bounds.fencing': 'true',
            'platform.addr': store_address,
            'platform.form': 'kv',
            'platform.writes_per_s': '400',
            'platform.reads_per_s': '2000',
            'platform.history_s': '20',
            'platform.value_bytes': '1048576',
            'platform.ttl_min_ms': '1000',
            'cloud.addr': store_address,
            'cloud.rate_per_s': '50.0',
            'cloud.duties': 'failover',
            'cloud.duty_per_s': '50.0',
            **dict(extra),
        }
        lines = (f'{key}={field}\n' for key, field in fields.items())
        self._path.write_text(''.join(lines))

    async def start(self):
        """Start the process and wait until it is ready."""
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-S',
                '-m',
                'celeryrelay.management.commands.gateway',
                f'--metrics_port={self._metrics}',
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'CELERYRELAY_BOOT': str(self._path),
                },
            )
        async with asyncio.timeout(20):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self):
        """Return whether the process answers the ready probe with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ready_port
            )
            writer.write(b'GET /celeryrelay/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            head = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b' 200 ' in head

    def log_lines(self):
        """Return the log of the process."""
        return self._log_path.read_text(errors='replace').splitlines()

    async def stop(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Client:
    """A client's session."""

    def __init__(self, port):
        """Use the daemon that listens on `port`."""
        self._port = port
        self._reader = self._writer = None

    async def open(self, database, key='user'):
        """Open a session; return whether it was accepted."""
        self._reader, self._writer = await asyncio.open_connection(
            HOST, self._port
        )
        self._writer.write(f'START {database} {key}\r\n'.encode())
        return await self._answer()

    async def query(self, request_id, text):
        """Return (rows, `DONE` or error code, state, position)."""
        self._writer.write(f'QUERY {request_id} {text}\r\n'.encode('latin-1'))
        return await self._answer()

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _answer(self):
        rows, code = [], ''
        while True:
            try:
                async with asyncio.timeout(10):
                    raw = await self._reader.readline()
            except (ConnectionError, TimeoutError):
                raw = b''
            if not raw:
                return rows, code or 'CLOSED', '', ''
            words = raw.decode('latin-1').rstrip('\r\n').split(' ')
            match words[0]:
                case 'ROW':
                    rows.append(' '.join(words[1:]))
                case 'DONE':
                    code = 'DONE'
                case 'ERR':
                    code = words[1]
                case 'READY':
                    return rows, code or 'READY', words[1], words[2]


def route(host, kind, priority, goal_ms, timeout_ms=800, **more):
    """Return a route of the configuration."""
    return {
        'name': f'r-{host}',
        'host': host,
        'prefix': '/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'goal_ms': goal_ms,
        'priority': priority,
        'service': SERVICE,
        'attempts': 2,
        'public': False,
        **more,
    }


def configuration(group, tenants=()):
    """Return a configuration with one route of each kind."""
    return {
        'version': 7,
        'routes': [
            route('book', 'primary', 0, 400),
            route('view', 'bounded', 1, 800, 2000, max_staleness_ms=1500),
            route('logs', 'own', 2, 1500, max_staleness_ms=2500),
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_conns': group.max_conns,
                'proto': 'h1',
                'tls': False,
                'sync_replicas': 0,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            'tx_idle_ms': 3000,
        },
        **({'tenants': list(tenants)} if tenants else {}),
    }


class Deployment:
    """Store, databases and daemons of one case."""

    def __init__(self, record, daemons=3, tenants=(), extra=(), **group):
        """Prepare the parts; `start` starts them."""
        self.record = record
        self.store = Store()
        self.group = Group(record, **group)
        self.daemons = []
        self._numbers = range(daemons) if isinstance(daemons, int) else daemons
        self._tenants = tenants
        self._extra = extra
        self._directory = tempfile.TemporaryDirectory(prefix='review-2-')

    async def start(self):
        """Start all parts and wait until the daemons are ready."""
        self.store.put('op/config', configuration(self.group, self._tenants))
        directory = pathlib.Path(self._directory.name)
        await self.group.start(self.store)
        for number in self._numbers:
            name = f'front-{number}'
            address = await self.store.listen(name)
            self.daemons.append(
                Daemon(name, directory, address, ZONES[number % 3], self._extra)
            )
        await asyncio.gather(*(one.start() for one in self.daemons))

    async def add(self, number):
        """Start one more daemon and return it."""
        name = f'front-{number}'
        address = await self.store.listen(name)
        directory = pathlib.Path(self._directory.name)
        added = Daemon(name, directory, address, ZONES[number % 3], self._extra)
        self.daemons.append(added)
        await added.start()
        return added

    async def stop(self):
        """End the daemons and close the stand-ins."""
        await asyncio.gather(*(one.stop() for one in self.daemons))
        self.group.close()
        self.store.close()
        self._directory.cleanup()


def main(case, record_path):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    `case` is called with the record and whether there is to be a disruption.
    It returns whether the rule held.
    """
    record = Record(record_path)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.say('disruption:', 'yes' if trouble else 'no')
    try:

        async def bounded():
            async with asyncio.timeout(110):
                return await case(record, trouble)

        held = asyncio.run(bounded())
    except Exception as error:
        record.say('could not run:', repr(error))
        sys.exit(2)
    record.say('rule held' if held else 'RULE BROKEN')
    sys.exit(0 if held else 1)
