"""One replicated database: logs, roles, terms and faults."""

import asyncio
import dataclasses
import secrets
import time
import typing

Position = tuple[int, int]


@dataclasses.dataclass(slots=True)
class LogEntry:
    """A committed change of one item."""

    position: Position
    key: str
    content: str
    request_id: str
    committed_at: float


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of one server.

    Attributes:
        lag_s: Time after which a replica applies a commit.
        replication_stopped: Whether a replica receives nothing.
        unresponsive: Whether the server answers nothing.
        busy: Whether it refuses all work.
        lose_answers: Whether it runs statements and ends the connection.
        execution_s: Time that a statement takes.
        ignored_daemons: Names of callers that it does not answer.
    """

    lag_s: float = 0.005
    replication_stopped: bool = False
    unresponsive: bool = False
    busy: bool = False
    lose_answers: bool = False
    execution_s: float = 0.001
    ignored_daemons: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class ExecutedStatement:
    """A statement that a server ran, for the checks of tests.

    Attributes:
        server_id: Server that ran it.
        request_id: Id of the statement.
        text: Its text.
        variables: Session variables of the connection.
        in_transaction: Whether a transaction was open.
    """

    server_id: str
    request_id: str
    text: str
    variables: dict[str, str]
    in_transaction: bool


class Server:
    """State of one server of a group."""

    def __init__(self, group: 'Group', server_id: str, zone: str) -> None:
        """Create a replica without a log."""
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.faults = Faults()
        self.connections = 0
        self.address = ''
        self.log: list[LogEntry] = []

    @property
    def is_primary(self) -> bool:
        """Whether the server is the primary of the newest term."""
        return self.group.primary is self

    @property
    def position(self) -> Position:
        """Position up to which the log was applied."""
        applied = self.applied_entries()
        return applied[-1].position if applied else (1, 0)

    def applied_entries(self) -> list[LogEntry]:
        """Return the entries that reads see now."""
        if self.is_primary or self.group.is_former_primary(self):
            return self.log
        before = time.monotonic() - self.faults.lag_s
        return [entry for entry in self.log if entry.committed_at <= before]

    def read(self, key: str) -> str:
        """Return the content of an item, `-` if it was never written."""
        found = '-'
        for entry in self.applied_entries():
            if entry.key == key:
                found = entry.content
        return found


class Group:
    """Servers that share a log."""

    def __init__(self, name: str, zones: typing.Sequence[str]) -> None:
        """Create a server in each zone; the first one leads term 1."""
        self.name = name
        self.term = 1
        self.max_connections = 22
        self.refused_connections = 0
        self.servers = {
            f's-{name}-{number}': Server(self, f's-{name}-{number}', zone)
            for number, zone in enumerate(zones)
        }
        self.primary: Server | None = next(iter(self.servers.values()))
        self.executed: list[ExecutedStatement] = []
        self.committed_entries: list[LogEntry] = []
        self.promotion_times: list[float] = []
        self._former_primaries: set[str] = set()
        self.changed = asyncio.Event()

    def is_former_primary(self, server: Server) -> bool:
        """Return whether a server led once and kept its own log since."""
        return server.server_id in self._former_primaries

    def commit(self, writes: list[tuple[str, str, str]]) -> Position:
        """Append a transaction's writes and return its position."""
        position = (self.term, self.primary.position[1] + 1)
        for key, content, request_id in writes:
            entry = LogEntry(
                position, key, content, request_id, time.monotonic()
            )
            self.committed_entries.append(entry)
            for server in self.servers.values():
                if server is self.primary or self._receives(server):
                    server.log.append(entry)
        return position

    def _receives(self, server: Server) -> bool:
        return not (
            server.faults.replication_stopped or self.is_former_primary(server)
        )

    def promote(self, server_id: str) -> None:
        """Let a server lead the next term with the log that it has."""
        self.term += 1
        self.promotion_times.append(time.monotonic())
        old, new = self.primary, self.servers[server_id]
        new.log = new.applied_entries()
        if old is new:
            return
        if old is not None:
            # The old primary keeps its log until it follows, as after a cut.
            self._former_primaries.add(old.server_id)
        self._former_primaries.discard(server_id)
        self.primary = new
        for other in self.servers.values():
            if other is not new and other is not old:
                other.log = list(new.log)
        self.changed.set()

    def new_proof(self) -> str:
        """Return a proof for an answer."""
        return secrets.token_hex(6)
