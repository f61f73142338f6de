"""State of a replicated database: logs, roles, terms and faults."""

import asyncio
import dataclasses
import secrets
import time
import typing

# Term, and number of the transaction in the log.
Position = tuple[int, int]


@dataclasses.dataclass(slots=True)
class LogEntry:
    """A committed write of one item.

    Attributes:
        position: Position in the log.
        key: The item.
        content: Content that was written.
        request_id: Request id of the write.
        committed_at: Monotonic time in seconds.
        is_outdated: Whether a primary committed it that had been replaced.
    """

    position: Position
    key: str
    content: str
    request_id: str
    committed_at: float
    is_outdated: bool = False


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of one server.

    Attributes:
        lag_s: Age at which a replica applies a commit.
        replication_stopped: Whether the replica receives no log entries.
        unresponsive: Whether the server delays all answers until this is
            reset.
        busy: Whether the server refuses reads, writes and commits with BUSY.
        lose_answers: Whether the server runs statements and then closes the
            connection without an answer.
        execution_s: Execution time of a statement.
        ignored_daemons: Names of the daemons whose messages the server does
            not answer.
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
    """Statement that a server executed, recorded for the checks of tests.

    Attributes:
        server_id: Server that executed it.
        request_id: Request id of the statement.
        text: Statement text.
        variables: Session variables of the connection.
        in_transaction: Whether a transaction was open.
        daemon: Name that the session start of the connection named: the daemon
            that sent the statement, or the client account if it has one.
        connection: Number of the connection, unique in this process.
        prepared: Names of the statements that were prepared on the connection.
    """

    server_id: str
    request_id: str
    text: str
    variables: dict[str, str]
    in_transaction: bool
    daemon: str
    connection: int = 0
    prepared: frozenset[str] = frozenset()

    @property
    def account(self) -> str:
        """Client account of the connection, in a deployment with accounts."""
        return self.daemon


class Server:
    """One server of a group: its log, connections and faults."""

    def __init__(self, group: 'Group', server_id: str, zone: str) -> None:
        """Create a replica with an empty log."""
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.faults = Faults()
        self.connections = 0
        self.address = ''
        self.log: list[LogEntry] = []
        # Whether it was told to receive no log entries.
        self.is_paused = False

    @property
    def is_primary(self) -> bool:
        """Return whether the server accepts writes.

        It is the primary of the newest term, or an outdated one.
        """
        return self.group.primary is self or self.is_outdated_primary

    @property
    def is_outdated_primary(self) -> bool:
        """Return whether the server has been replaced without noticing."""
        return self.server_id in self.group.outdated_terms

    @property
    def term(self) -> int:
        """Return the newest term that the server knows."""
        return self.group.outdated_terms.get(self.server_id, self.group.term)

    @property
    def position(self) -> Position:
        """Return the position of the last applied log entry."""
        applied = self.applied_entries()
        return applied[-1].position if applied else (1, 0)

    def applied_entries(self) -> list[LogEntry]:
        """Return the log entries that are visible to reads now.

        Replicas apply entries after their lag; primaries, also former ones,
        at once.
        """
        if self.is_primary or self.group.is_former_primary(self):
            return self.log
        before = time.monotonic() - self.faults.lag_s
        return [entry for entry in self.log if entry.committed_at <= before]

    def read(self, key: str) -> str:
        """Return the content of an item, or `-` if it was never written."""
        found = '-'
        for entry in self.applied_entries():
            if entry.key == key:
                found = entry.content
        return found


class Group:
    """Group of servers that replicate one log.

    Attributes:
        term: Newest term.
        primary: Primary of the newest term; None after it stepped down.
        max_connections: Connections that each server accepts.
        refused_connections: Connections that servers refused above that.
        executed: Statements that servers executed, in order.
        committed_entries: All entries ever committed, including those that a
            promotion removed from the servers' logs.
        promotion_times: Monotonic times of the promotions, in seconds.
        deposes_primaries: Whether a promotion deposes the old primary.
            Otherwise it accepts writes in its old term until `step_down`.
        sync_replicas: Number of replicas for which a commit waits.
        outdated_terms: Terms of outdated primaries, by server id.
        changed: Set when the primary changes.
    """

    def __init__(self, name: str, zones: typing.Sequence[str]) -> None:
        """Create a server in each zone; the first is the primary of term 1."""
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
        self.deposes_primaries = True
        self.sync_replicas = 0
        self.outdated_terms: dict[str, int] = {}
        self._former_primaries: set[str] = set()
        self.changed = asyncio.Event()

    def is_former_primary(self, server: Server) -> bool:
        """Return whether a server was primary and has kept its log since."""
        return server.server_id in self._former_primaries

    def commit(
        self,
        writes: list[tuple[str, str, str]],
        leader: Server | None = None,
    ) -> Position:
        """Commit the writes of a transaction and return its log position.

        Each write is a tuple of key, content and request id. An outdated
        `leader` commits to its own log only; it is the primary by default.
        """
        leader = leader or self.primary
        position = (leader.term, leader.position[1] + 1)
        for key, content, request_id in writes:
            entry = LogEntry(
                position,
                key,
                content,
                request_id,
                time.monotonic(),
                is_outdated=leader.is_outdated_primary,
            )
            self.committed_entries.append(entry)
            for server in self.servers.values():
                if server is leader or (
                    leader is self.primary and self._receives(server)
                ):
                    server.log.append(entry)
        return position

    def is_acknowledged(self, position: Position) -> bool:
        """Return whether enough replicas have received a commit."""
        holders = [
            server
            for server in self.servers.values()
            if any(entry.position == position for entry in server.log)
        ]
        return len(holders) > self.sync_replicas

    def resume(self, server: Server) -> None:
        """Let a paused replica receive what it has missed and go on."""
        server.is_paused = False
        if self.primary is not None and self._receives(server):
            server.log = list(self.primary.log)

    def _receives(self, server: Server) -> bool:
        return not (
            server.faults.replication_stopped
            or server.is_paused
            or self.is_former_primary(server)
        )

    def promote(self, server_id: str) -> None:
        """Make a server the primary of a new term, with its applied log.

        Entries that this server has not applied are lost.
        """
        old, new = self.primary, self.servers[server_id]
        if old is not None and not self.deposes_primaries:
            self.outdated_terms[old.server_id] = self.term
        self.outdated_terms.pop(server_id, None)
        self.term += 1
        self.promotion_times.append(time.monotonic())
        new.log = new.applied_entries()
        if old is new:
            return
        if old is not None:
            # The old primary keeps its log and gets no entries of the new
            # term, like one that a network partition cut off.
            self._former_primaries.add(old.server_id)
        self._former_primaries.discard(server_id)
        self.primary = new
        for other in self.servers.values():
            other.is_paused = False
            if other is not new and other is not old:
                other.log = list(new.log)
        self.changed.set()

    def step_down(self, server: Server) -> None:
        """Make a primary a replica, which follows the newest one."""
        if self.outdated_terms.pop(server.server_id, None) is not None:
            self._former_primaries.discard(server.server_id)
            server.log = list(self.primary.log) if self.primary else []
        elif self.primary is server:
            self.primary = None
            self.changed.set()

    def new_proof(self) -> str:
        """Return a new token for the DONE line of a successful answer."""
        return secrets.token_hex(6)
