"""Stand-ins and helpers that the cases share; standard library only.

The store, the promotion service, the databases and the clients run in the
process of the case. The daemons are processes of their own, started with the
command of the deploy file.
"""

import asyncio
import base64
import contextlib
import dataclasses
import gc
import itertools
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
ZONES = ('zilina-a', 'kosice-a', 'bratislava-a')
# Bounds of the small deployment.
HEARTBEAT_S = 1.2
PROMOTE_S = 0.3
HANDSHAKE_S = 0.012
STORE_ANSWER_S = 0.004
UNREACHABLE_DROP_S = 3.0
TX_IDLE_MS = 3000
# Longest work of a statement, as a multiple of the mean.
MAX_WORK = 7


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_ports(count: int) -> list[int]:
    """Return free ports below the range of outgoing connections."""
    found: list[int] = []
    start = random.randrange(12000, 30000)
    for port in itertools.chain(range(start, 32000), range(11000, start)):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError('no free ports')


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Create `record.txt` in `directory`."""
        self._file = (directory / 'record.txt').open('w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the time in seconds since the start of the case."""
        return time.monotonic() - self._start

    def note(self, *words: object) -> None:
        """Write one line with the time."""
        text = ' '.join(map(str, words))
        self._file.write(f'{self.now():9.3f} {text}\n')

    def say(self, *words: object) -> None:
        """Write one line, and print it too."""
        self.note(*words)
        print(f'{self.now():9.3f}', *words, flush=True)

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


# -- the platform's store ----------------------------------------------------


class Store:
    """Key-value store with revisions, leases and watches, and its HTTP API."""

    def __init__(self, record: Record) -> None:
        """Create an empty store."""
        self.record = record
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[int, float]] = {}
        self.address = ''
        self.silent: set[str] = set()
        self._ports: list[asyncio.Server] = []
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(7000)

    async def start(self) -> None:
        """Listen and expire leases."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = '{0}:{1}'.format(*server.sockets[0].getsockname())
        self._keep = (server, asyncio.create_task(self._expire()))

    async def address_for(self, daemon: str) -> str:
        """Return an address of the store that only `daemon` is told."""

        async def serve(reader, writer) -> None:
            await self._serve(reader, writer, daemon)

        server = await asyncio.start_server(serve, HOST, 0)
        self._ports.append(server)
        return '{0}:{1}'.format(*server.sockets[0].getsockname())

    def silence(self, daemons: set[str]) -> None:
        """Give no response to `daemons`, and again to all others.

        A connection on which a response was lost returns nothing further.
        """
        self.silent = daemons

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item and return the new revision."""
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'mod_revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self._publish(item)
        return self.revision

    def put_json(self, key: str, document: object) -> int:
        """Write a JSON document."""
        return self.put(key, json.dumps(document).encode())

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish(
                {'key': key, 'mod_revision': self.revision, 'removed': True}
            )

    def _publish(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, until) in tuple(self.leases.items()):
                if until < now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        known = self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.delete(key)
        return known is not None

    async def _serve(self, reader, writer, daemon: str = '') -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while request := await read_request(reader):
                if daemon in self.silent:
                    await self._stay_silent(reader, daemon, request)
                    break
                status, body = await self._answer(*request)
                if daemon in self.silent:
                    await self._stay_silent(reader, daemon, request)
                    break
                write_response(writer, status, body)
        writer.close()

    async def _stay_silent(self, reader, daemon: str, request) -> None:
        """Return nothing further until the other side closes."""
        self.record.note('store: no response to', daemon, *request[:2])
        while await reader.read(65536):
            continue

    async def _answer(self, method, target, headers, body):
        path, _, query = target.partition('?')
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.removeprefix('/celeryrelay/')
        if name == 'kv-watch':
            return await self._watch(values)
        await asyncio.sleep(STORE_ANSWER_S)
        if name == 'kv-key':
            item = self.items.get(values['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'store_revision': self.revision}
        if name == 'kv-range':
            return 200, self._range(values)
        if name == 'kv-txn':
            return self._transaction(json.loads(body))
        if name == 'kv-lease':
            ttl_ms = json.loads(body)['ttl_ms']
            lease = next(self._lease_ids)
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl_ms}
        lease = int(name.rpartition('/')[2])
        if name.startswith('kv-keep/'):
            if lease not in self.leases:
                return 404, {}
            ttl_ms, _ = self.leases[lease]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {'ttl_ms': ttl_ms}
        return (200 if self._end_lease(lease) else 404), {}

    def _range(self, values: dict[str, str]) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(values.get('prefix', ''))
            and key > values.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'has_more': len(keys) > 500,
            'store_revision': self.revision,
        }

    async def _watch(self, values: dict[str, str]):
        after = int(values['after'])
        until = time.monotonic() + int(values['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['mod_revision'] > after
                and event['key'].startswith(values.get('prefix', ''))
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                await asyncio.sleep(STORE_ANSWER_S)
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _transaction(self, body: dict):
        expected = body.get('expect_rev', [])
        for row in expected:
            item = self.items.get(row['key'], {})
            if item.get('mod_revision', 0) != row['mod_revision']:
                found = [self.items.get(one['key']) for one in expected]
                return 412, {'items': [one for one in found if one]}
        for put in body.get('puts', []):
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        for put in body.get('puts', []):
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put.get('lease', 0))
            self.record.note('store write', put['key'], value.decode())
        for key in body.get('deletes', []):
            self.delete(key)
        return 200, {'mod_revision': self.revision}


async def read_request(reader):
    """Return method, target, headers and body of an HTTP request."""
    first = await reader.readline()
    if not first:
        return None
    method, target, _ = first.decode().split(' ')
    headers = {}
    while (line := await reader.readline()) not in {b'\r\n', b''}:
        name, _, field = line.decode().partition(':')
        headers[name.strip().lower()] = field.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return method, target, headers, body


def write_response(writer, status: int, document: object) -> None:
    """Write a JSON response."""
    body = json.dumps(document).encode()
    head = (
        f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)


# -- databases ---------------------------------------------------------------


class Refused(Exception):
    """Refusal of a statement; the text is its error code."""


class AnswerLost(Exception):
    """The connection breaks off without an answer."""


@dataclasses.dataclass
class Entry:
    """A commit in the log of a service."""

    position: tuple[int, int]
    writes: list[tuple[str, str, str]]


class Database:
    """A database of a service."""

    def __init__(self, service: 'Service', name: str, zone: str) -> None:
        """Create a replica that holds nothing."""
        self.service = service
        self.name = name
        self.zone = zone
        self.address = ''
        self.running = True
        self.state = 'ready'
        self.term = 1
        self.log: list[Entry] = []
        self.applied = 0
        # One way, from the primary to this database.
        self.receive_s = 0.001
        self.apply_s = 0.008
        self.deaf = False
        self.cut_from: set[str] = set()
        self.cut_since: dict[str, float] = {}
        self.work_s = 0.006
        self.connections = 0
        self.slots = asyncio.Semaphore(service.slots)
        self.queued = 0
        self._inbox: list[Entry] = []
        self._writers: set = set()
        self._listener = None

    @property
    def leads(self) -> bool:
        """Whether it is the primary of the newest term."""
        return self.service.primary is self

    @property
    def received(self) -> tuple[int, int]:
        """Position up to which it has received the log."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def position(self) -> tuple[int, int]:
        """Position up to which it has applied the log."""
        if self.leads:
            return self.received
        applied = min(self.applied, len(self.log))
        return self.log[applied - 1].position if applied else (1, 0)

    def work_time(self) -> float:
        """Return the time in seconds that the next statement takes."""
        spread = 0.7
        drawn = random.lognormvariate(-spread * spread / 2, spread)
        return self.work_s * min(drawn, MAX_WORK)

    async def start(self) -> None:
        """Listen at a free port, or again at the earlier one."""
        host, _, port = self.address.rpartition(':')
        self._listener = await asyncio.start_server(
            self._serve, HOST, int(port or 0)
        )
        self.address = '{0}:{1}'.format(
            *self._listener.sockets[0].getsockname()
        )
        self.running = True

    def crash(self) -> None:
        """Stop at once and reset all connections; the log is kept."""
        self.running = False
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def receive(self, entry: Entry) -> None:
        """Take a commit of the primary, or keep it until it can be heard."""
        self._inbox.append(entry)
        self.listen_again()

    def listen_again(self) -> None:
        """Take all commits that arrived, unless nothing is received now."""
        if self.deaf or not self.running or self.leads:
            return
        loop = asyncio.get_running_loop()
        for entry in self._inbox:
            if entry.position > self.received:
                self.log.append(entry)
                loop.call_later(self.apply_s, self._apply, len(self.log))
                self.service.on_received(self, entry)
        self._inbox.clear()

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))

    def cut(self, daemons) -> None:
        """Lose the path to some daemons, both ways."""
        now = time.monotonic()
        for daemon in daemons:
            self.cut_from.add(daemon)
            self.cut_since[daemon] = now

    def heal(self) -> None:
        """Reach all daemons again."""
        self.cut_from.clear()

    async def _path(self, daemon: str) -> None:
        """Wait for a path; a connection without one for 3 s is dropped."""
        while daemon in self.cut_from:
            if time.monotonic() - self.cut_since[daemon] > UNREACHABLE_DROP_S:
                raise AnswerLost
            await asyncio.sleep(0.01)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, AnswerLost, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()


class Connection:
    """A connection of a daemon to a database."""

    _numbers = itertools.count(1)

    def __init__(self, database: Database, reader, writer) -> None:
        """Serve `reader` and `writer`."""
        self.database = database
        self.service = database.service
        self.reader = reader
        self.writer = writer
        self.daemon = ''
        self.number = next(self._numbers)
        self.state = 'I'
        self.plain = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.writes: list[tuple[str, str, str]] = []

    async def run(self) -> None:
        """Serve until the connection ends."""
        line = (await self.reader.readline()).decode('latin-1').rstrip('\r\n')
        fields = line.split(' ')
        if fields[0] != 'START' or len(fields) < 3:
            return
        self.daemon = fields[2]
        database = self.database
        await database._path(self.daemon)
        if fields[1] != self.service.name or (
            len(fields) > 3 and fields[3] != database.name
        ):
            self.writer.write(b'ERR MISROUTED other\r\n')
            return
        if database.connections > self.service.max_conns:
            self.service.record.note('maxconn', database.name, self.daemon)
            self.writer.write(b'ERR MAXCONN full\r\n')
            return
        async with database.slots:
            await asyncio.sleep(HANDSHAKE_S)
        await self._reply('')
        while raw := await self.reader.readline():
            await database._path(self.daemon)
            text = raw.decode('latin-1').rstrip('\r\n')
            if not text.startswith('QUERY '):
                return
            _, request_id, statement = text.split(' ', 2)
            self.service.arrived[request_id] = self.service.record.now()
            self.service.record.note(
                'got', database.name, self.number, request_id, statement
            )
            await self._query(request_id, statement)

    async def _reply(self, lines: str) -> None:
        await self.database._path(self.daemon)
        term, number = self.database.position
        ready = f'READY {self.state} {term}.{number}\r\n'
        self.writer.write((lines + ready).encode('latin-1'))

    async def _query(self, request_id: str, text: str) -> None:
        try:
            rows = await self._run(request_id, text)
        except Refused as error:
            if self.state == 'T' and str(error) not in {'BUSY', 'NOSTMT'}:
                self.state = 'E'
            await self._reply(f'ERR {error} refused\r\n')
            return
        proof = '-'
        if request_id != '-':
            proof = secrets.token_hex(6)
        lines = ''.join(f'ROW {row}\r\n' for row in rows)
        await self._reply(f'{lines}DONE {proof}\r\n')

    async def _run(self, request_id: str, text: str) -> list[str]:
        word, _, rest = text.partition(' ')
        if word == 'AFTER':
            bound, _, text = rest.partition(' ')
            term, _, number = bound.partition('.')
            if self.database.position < (int(term), int(number)):
                raise Refused('LAGGING')
            word, _, rest = text.partition(' ')
        if self.state == 'E' and word != 'ROLLBACK':
            raise Refused('MALFORMED')
        if word in {'READ', 'WRITE', 'EXEC', 'COMMIT'}:
            return await self._data(request_id, word, rest, text)
        if word == 'STATUS':
            return await self._in_slot(self._status_now)
        if word == 'STEPDOWN':
            self.service.step_down(self.database, int(rest))
            return [self._status()]
        if word in {'PAUSE', 'RESUME'}:
            self.database.deaf = word == 'PAUSE'
            self.database.listen_again()
            return [self._status()]
        return self._session(word, rest)

    def _session(self, word: str, rest: str) -> list[str]:
        name, _, value = rest.partition(' ')
        if word == 'BEGIN':
            if self.state != 'I':
                raise Refused('MALFORMED')
            if not rest and not self.database.leads:
                raise Refused('READONLY')
            self.state, self.plain = 'T', not rest
        elif word == 'ROLLBACK':
            if self.state == 'I':
                raise Refused('MALFORMED')
            self.state, self.writes = 'I', []
        elif word == 'SET':
            self.values[name] = value
        elif word == 'PREPARE':
            mode, _, shape = value.partition(' ')
            self.prepared[name] = (mode, shape)
        elif word == 'DEALLOC':
            self.prepared.pop(name, None)
        elif word == 'RESET':
            self.values.clear()
            self.prepared.clear()
        else:
            raise Refused('MALFORMED')
        return []

    async def _status_now(self) -> list[str]:
        return [self._status()]

    def _status(self) -> str:
        database = self.database
        term, number = database.received
        role = 'primary' if database.leads else 'replica'
        return (
            f'{role} {database.term} {term}.{number} 0 0 '
            f'{self.service.slots - database.slots._value} '
            f'{database.connections}'
        )

    async def _in_slot(self, work) -> list[str]:
        database = self.database
        if database.queued >= self.service.queue:
            raise Refused('BUSY')
        database.queued += 1
        try:
            await database.slots.acquire()
        finally:
            database.queued -= 1
        try:
            return await work()
        finally:
            database.slots.release()

    async def _data(self, request_id, word, rest, text) -> list[str]:
        if word == 'EXEC':
            name, _, rest = rest.partition(' ')
            if name not in self.prepared:
                raise Refused('NOSTMT')
            word = self.prepared[name][0]
        self._check_lead(word)

        async def work() -> list[str]:
            await asyncio.sleep(self.database.work_time())
            self._check_lead(word)
            self.service.record.note(
                'run', self.database.name, request_id, self.state, text
            )
            return await self._apply(request_id, word, rest)

        return await self._in_slot(work)

    def _check_lead(self, word: str) -> None:
        if self.database.leads:
            return
        empty_commit = word == 'COMMIT' and not self.writes
        in_plain = self.state == 'T' and self.plain
        if (word == 'WRITE' or in_plain) and not empty_commit:
            raise Refused('READONLY')

    async def _apply(self, request_id, word, rest) -> list[str]:
        key, _, value = rest.partition(' ')
        if word == 'READ':
            return [self.service.read(self.database, key)]
        if word == 'WRITE':
            self.writes.append((key, value, request_id))
        if word == 'COMMIT' or self.state == 'I':
            writes, self.writes = self.writes, []
            self.state = 'I'
            if writes:
                await self.service.commit(self.database, writes, request_id)
        return []


class Service:
    """A database service with its primary and replicas."""

    def __init__(
        self,
        record: Record,
        store: Store,
        name: str,
        sync_replicas: int = 0,
        max_conns: int = 22,
        slots: int = 3,
    ) -> None:
        """Create three databases; the first is the primary."""
        self.record = record
        self.store = store
        self.name = name
        self.sync_replicas = sync_replicas
        self.max_conns = max_conns
        self.slots = slots
        self.queue = 24
        self.term = 1
        self.databases = [
            Database(self, f'i-{secrets.token_hex(4)}', zone) for zone in ZONES
        ]
        self.primary: Database | None = self.databases[0]
        self.promotions: list[dict] = []
        # Commits that the database lacked that was promoted.
        self.dropped: list[Entry] = []
        self.tokens = 0
        # Times at which databases received requests, by request id.
        self.arrived: dict[str, float] = {}
        self._received: dict[tuple[int, int], asyncio.Event] = {}
        self._deposed = asyncio.Event()

    async def start(self) -> None:
        """Start the databases and register them."""
        for database in self.databases:
            await database.start()
            self.register(database)
        self._beats = asyncio.create_task(self._beat())

    def register(self, database: Database) -> None:
        """Write the registration of a database."""
        self.store.put_json(
            f'servers/{database.name}',
            {
                'service': self.name,
                'addr': database.address,
                'zone': database.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': database.state,
                'cold_left_ms': 0,
                'db_role': 'primary' if database.leads else 'replica',
                'seq': self.store.revision,
            },
        )

    async def _beat(self) -> None:
        missed: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for database in self.databases:
                key = f'servers/{database.name}'
                if database.running:
                    missed[key] = 0
                    if key not in self.store.items:
                        self.register(database)
                    continue
                missed[key] = missed.get(key, 0) + 1
                if missed[key] >= 3:
                    self.store.delete(key)

    def read(self, database: Database, key: str) -> str:
        """Return the value of an item as a database sees it."""
        count = len(database.log) if database.leads else database.applied
        for entry in reversed(database.log[:count]):
            for item, value, _ in entry.writes:
                if item == key:
                    return value
        return '-'

    async def commit(self, database, writes, request_id) -> None:
        """Commit on the primary and wait for a replica where that is due."""
        entry = Entry((self.term, database.received[1] + 1), writes)
        database.log.append(entry)
        loop = asyncio.get_running_loop()
        received = self._received.setdefault(entry.position, asyncio.Event())
        deposed = self._deposed
        for other in self.databases:
            if other is not database:
                loop.call_later(other.receive_s, other.receive, entry)
        if self.sync_replicas:
            tasks = [
                asyncio.create_task(received.wait()),
                asyncio.create_task(deposed.wait()),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
            if not received.is_set():
                raise AnswerLost
            await asyncio.sleep(self._ack_s(entry))
            if self.primary is not database:
                raise AnswerLost
        self.record.note('commit', database.name, entry.position, request_id)

    def _ack_s(self, entry: Entry) -> float:
        """Time that the answer of the first replica takes to the primary."""
        holders = [one for one in self.databases if entry in one.log]
        return min(
            (one.receive_s for one in holders if not one.leads), default=0
        )

    def on_received(self, database: Database, entry: Entry) -> None:
        """Let the commit end that waits for a replica."""
        event = self._received.get(entry.position)
        if event is not None:
            event.set()

    def step_down(self, database: Database, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if database.leads and term > self.term:
            self.record.note('step down', database.name, term)
            self._depose()
            database.applied = len(database.log)
            self.register(database)

    def _depose(self) -> None:
        self.primary = None
        self._deposed.set()
        self._deposed = asyncio.Event()

    async def promote(self, name: str) -> None:
        """Make a database the primary with what it has received."""
        await asyncio.sleep(PROMOTE_S)
        chosen = self.find(name)
        if chosen is None or not chosen.running or chosen.leads:
            return
        old = self.primary
        self._depose()
        if old is not None:
            missing = [one for one in old.log if one not in chosen.log]
            self.dropped.extend(missing)
        self.term += 1
        chosen.deaf = False
        chosen._inbox.clear()
        chosen.applied = len(chosen.log)
        self.primary = chosen
        before = {one.name: one.received for one in self.databases}
        for other in self.databases:
            other.term = self.term
            other._inbox.clear()
            if other is not chosen:
                other.log = list(chosen.log)
                other.applied = len(other.log)
            self.register(other)
        self.record.say(
            'promoted',
            self.name,
            chosen.name,
            'term',
            self.term,
            'received',
            before,
            'instead of',
            old.name if old else '-',
        )

    def find(self, name: str) -> Database | None:
        """Return a database by its id."""
        return next((one for one in self.databases if one.name == name), None)


class Promotions:
    """The platform's service for promotions."""

    def __init__(self, record: Record, services: list[Service]) -> None:
        """Serve orders for `services`."""
        self.record = record
        self.services = {service.name: service for service in services}
        self.address = ''
        self.on_order = None
        self._tasks: set = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = '{0}:{1}'.format(*self._server.sockets[0].getsockname())

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while request := await read_request(reader):
                _, _, headers, body = request
                status = self._order(headers, json.loads(body))
                write_response(writer, status, {})
        writer.close()

    def _order(self, headers, body) -> int:
        service = self.services[body['service']]
        token = int(headers['fence-token'])
        chosen = service.find(body['id'])
        status = 200
        if token < service.tokens or chosen is None or not chosen.running:
            status = 409
        service.tokens = max(service.tokens, token)
        self.record.say('promote order', body, headers['holder'], token, status)
        service.promotions.append(
            {'id': body['id'], 'holder': headers['holder'], 'token': token}
        )
        if status == 200 and not chosen.leads:
            task = asyncio.create_task(service.promote(chosen.name))
            self._tasks.add(task)
        return status


# -- daemons -----------------------------------------------------------------


class Daemon:
    """A daemon process, started with the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, folder: pathlib.Path, site: 'Site'
    ) -> None:
        """Write the settings of the daemon into `folder`."""
        self.name = name
        self.zone = zone
        self.front, self.ready_port, self.metrics, self.link = free_ports(4)
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[tuple[float, int]] = []
        self._folder = folder
        self._site = site
        fields = {
            'node': name,
            'role': 'gateway',
            'class': 'front',
            'serves': 'front',
            'ip': HOST,
            'zone': zone,
            'region': zone.rpartition('-')[0],
            **{f'zones.{one}': one.rpartition('-')[0] for one in ZONES},
            'listen.front': f'{HOST}:{self.front}',
            'listen.ready': f'{HOST}:{self.ready_port}',
            'internal_ports': f'{self.metrics},{self.link}',
            'bootstrap': 'true',
            'heartbeat_ms': '1200',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'bounds.drain_ms': '7000',
            'bounds.grace_s': '6',
            'bounds.contact_ms': '5000',
            'bounds.config_apply_ms': '3000',
            'bounds.fencing': 'true',
            'cloud.addr': site.promotions.address,
        }
        self._settings = folder / f'{name}.conf'
        self._fields = fields

    async def start(self) -> None:
        """Start the process."""
        if not self._settings.exists():
            address = await self._site.store.address_for(self.name)
            self._fields['platform.addr'] = address
            fields = self._fields.items()
            text = ''.join(f'{key}={value}\n' for key, value in fields)
            self._settings.write_text(text)
        log = (self._folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            'python3',
            '-S',
            '-m',
            'celeryrelay.management.commands.gateway',
            f'--metrics_port={self.metrics}',
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'CELERYRELAY_BOOT': str(self._settings),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            },
        )
        log.close()
        self._site.record.note('daemon started', self.name, self.process.pid)

    async def watch(self, restart_s: float = 0.5, limit: int = 9) -> None:
        """Note each end of the process and start it again, as platforms do."""
        while True:
            code = await self.process.wait()
            self.exits.append((self._site.record.now(), code))
            self._site.record.say('daemon ended', self.name, 'code', code)
            if len(self.exits) >= limit:
                return
            await asyncio.sleep(restart_s)
            await self.start()

    async def ready(self) -> bool:
        """Return whether the ready probe answers 200."""
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ready_port
                )
                writer.write(b'GET /celeryrelay/ready HTTP/1.1\r\nHost: x\r\n')
                writer.write(b'Connection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200' in line

    async def wait_ready(self, timeout_s: float = 20) -> None:
        """Wait until the daemon is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.ready():
                await asyncio.sleep(0.1)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._site.record.say(
            'signal', signal.Signals(number).name, 'to', self.name
        )
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process and self.process.returncode is None:
            self.process.kill()


class Site:
    """A small deployment: store, services and daemons."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        """Create a site whose files are in `folder`."""
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.services: list[Service] = []
        self.promotions = Promotions(record, [])
        self.daemons: list[Daemon] = []
        self.version = 7
        # Further names of the first service's route for reads.
        self.extra_hosts: list[str] = []

    async def start(self, services: list[Service], daemons: int) -> None:
        """Start all parts and wait until the daemons are ready."""
        self.services = services
        self.promotions.services = {one.name: one for one in services}
        await self.store.start()
        await self.promotions.start()
        for service in services:
            await service.start()
        self.publish()
        for number in range(daemons):
            zone = ZONES[number % len(ZONES)]
            name = f'front-{zone}-{number}'
            daemon = Daemon(name, zone, self.folder, self)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        self.record.say('all daemons are ready')

    def publish(self) -> int:
        """Write a newer version of the configuration."""
        self.version += 3
        routes = []
        for service in self.services:
            for kind, goal, priority, stale in (
                ('primary', 400, 0, 0),
                ('bounded', 800, 1, 1500),
                ('own', 1500, 2, 2500),
            ):
                route = {
                    'name': f'r-{service.name}-{kind}',
                    'host': f'{service.name}-{kind}',
                    'prefix': '/',
                    'kind': kind,
                    'timeout_ms': 2000 if kind == 'bounded' else 800,
                    'goal_ms': goal,
                    'priority': priority,
                    'service': service.name,
                    'attempts': 2,
                }
                if stale:
                    route['max_staleness_ms'] = stale
                routes.append(route)
        for host in self.extra_hosts:
            route = {**routes[1], 'name': f'r-{host}', 'host': host}
            routes.append(route)
        self.store.put_json(
            'op/config',
            {
                'version': self.version,
                'routes': routes,
                'services': [
                    {
                        'name': one.name,
                        'health_path': '/health',
                        'max_conns': one.max_conns,
                        'proto': 'h1',
                        'tls': False,
                        'sync_replicas': one.sync_replicas,
                    }
                    for one in self.services
                ],
                'limits': {'tx_idle_ms': TX_IDLE_MS},
            },
        )
        return self.version

    def stop(self) -> None:
        """End all daemon processes."""
        for daemon in self.daemons:
            daemon.kill()


class Balancer:
    """Chooses daemons for new connections by their ready probes."""

    def __init__(self, daemons: list[Daemon]) -> None:
        """Keep all `daemons` in rotation at first."""
        self._misses = dict.fromkeys(daemons, 0)

    async def run(self) -> None:
        """Probe all daemons once a second."""
        while True:
            daemons = list(self._misses)
            answers = await asyncio.gather(*(one.ready() for one in daemons))
            for daemon, ready in zip(daemons, answers, strict=True):
                self._misses[daemon] = 0 if ready else self._misses[daemon] + 1
            await asyncio.sleep(1)

    def choose(self, preferred: Daemon) -> Daemon:
        """Return `preferred` if it is in rotation, otherwise another one."""
        usable = [one for one, misses in self._misses.items() if misses < 2]
        if preferred in usable or not usable:
            return preferred
        return random.choice(usable)


# -- clients -----------------------------------------------------------------


@dataclasses.dataclass
class Answer:
    """Answer to a request; `code` is empty for a success."""

    code: str
    request_id: str = ''
    rows: tuple[str, ...] = ()
    proof: str = ''
    state: str = ''
    sent_at: float = 0
    ended_at: float = 0

    @property
    def ok(self) -> bool:
        """Whether the request succeeded."""
        return not self.code


class Client:
    """A session with a daemon; one request at a time."""

    _ids = itertools.count(1)

    def __init__(self, record: Record, name: str) -> None:
        """Create a client that is not connected."""
        self.record = record
        self.name = name
        self.daemon: Daemon | None = None
        self._reader = None
        self._writer = None

    @property
    def connected(self) -> bool:
        """Whether a session is open."""
        return self._writer is not None

    async def open(self, daemon: Daemon, database: str) -> bool:
        """Open a session; return whether that succeeded in 2 s."""
        return not await self.start(daemon, database)

    async def start(self, daemon: Daemon, database: str) -> str:
        """Open a session; return the code of the refusal, if any."""
        self.daemon = daemon
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(
                    HOST, daemon.front
                )
                writer.write(f'START {database} {self.name}\r\n'.encode())
                line = await reader.readline()
        except (OSError, TimeoutError):
            return 'SILENT'
        if not line.startswith(b'READY'):
            writer.close()
            words = line.decode('latin-1').split(' ')
            code = words[1] if len(words) > 1 else 'CLOSED'
            self.record.note('refused', self.name, daemon.name, database, code)
            return code
        self._reader, self._writer = reader, writer
        return ''

    async def query(self, text: str, limit_s: float = 8) -> Answer:
        """Send a request and return its answer."""
        request_id = f'q{next(self._ids):06x}{secrets.token_hex(4)}'
        sent_at = self.record.now()
        daemon = self.daemon.name
        self.record.note('sent', self.name, daemon, request_id, text)
        answer = await self._exchange(request_id, text, limit_s)
        answer.sent_at = sent_at
        answer.ended_at = self.record.now()
        self.record.note(
            'answered', self.name, request_id, answer.code or 'DONE'
        )
        if answer.code in {'CLOSED', 'SILENT'}:
            self.close()
        return answer

    async def _exchange(self, request_id, text, limit_s) -> Answer:
        rows, code, proof = [], '', ''
        try:
            async with asyncio.timeout(limit_s):
                self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
                while raw := await self._reader.readline():
                    line = raw.decode('latin-1').rstrip('\r\n')
                    word, _, rest = line.partition(' ')
                    if word == 'ROW':
                        rows.append(rest)
                    elif word == 'DONE':
                        proof = rest
                    elif word == 'ERR':
                        code = rest.partition(' ')[0]
                    elif word == 'READY':
                        state = rest.partition(' ')[0]
                        return Answer(
                            code, request_id, tuple(rows), proof, state
                        )
        except TimeoutError:
            return Answer('SILENT', request_id)
        except OSError:
            return Answer('CLOSED', request_id)
        return Answer('CLOSED', request_id)

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def _cancel_all() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    gc.collect()
    await asyncio.sleep(0.1)


async def _run(directory: pathlib.Path, play, limit_s: float) -> int:
    record = Record(directory)
    with tempfile.TemporaryDirectory() as folder:
        site = Site(record, pathlib.Path(folder))
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await play(site)
        except Exception as error:
            record.say('the case could not run:', repr(error))
            return 2
        finally:
            site.stop()
            await _cancel_all()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for log in pathlib.Path(folder).glob('*.log'):
                    (pathlib.Path(keep) / log.name).write_bytes(
                        log.read_bytes()
                    )
            record.close()


def main(file: str, play, limit_s: float = 110) -> None:
    """Run a case: `play` returns the exit code."""
    directory = pathlib.Path(file).resolve().parent
    # Sessions that are open at the end have no loop to close on.
    sys.unraisablehook = lambda _: None
    try:
        code = asyncio.run(_run(directory, play, limit_s))
    except asyncio.CancelledError:
        code = 2
    sys.exit(code)
