"""Interfaces to the outside, which adapters implement.

The implementations are in `celeryrelay.platform` and `celeryrelay.adapters`.
"""

import asyncio
import enum
import typing
from collections import abc

import result

from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import catalog, commands
from celeryrelay.gateway.connections import connection_state
from celeryrelay.gateway.links import link_messages
from celeryrelay.sessions import statements


class Connection(typing.Protocol):
    """An open connection to a backend server."""

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""

    @property
    def first_position(self) -> positions.Position | None:
        """Log position that the server reported when the connection opened."""

    def send(
        self,
        batch: abc.Sequence[commands.Command],
    ) -> list[asyncio.Future[commands.Reply | commands.Lost]]:
        """Send commands in one write and return a future for each reply."""

    def close(self, reason: str) -> None:
        """Close the connection; commands without a reply get a `Lost`."""


class Connector(typing.Protocol):
    """Opens connections to backend servers."""

    async def open(
        self,
        server: catalog.Server,
        timeout_s: float,
        account: str,
    ) -> result.Result[Connection, commands.ConnectError]:
        """Connect to `server` and check the id of the server that answers.

        Args:
            server: The backend server.
            timeout_s: Time limit in seconds.
            account: Client account whose statements will run on the
                connection; empty for those that belong to no account.
        """

    def status(self, reply: commands.Reply) -> commands.Status | None:
        """Parse a reply to `AskStatus`; return None if that is not possible."""


class ConnectionLease(typing.Protocol):
    """The right to use a connection until `release`.

    Attributes:
        busy_ms: Time for which its commands kept the server busy.
        is_fallback: Whether it is a connection of another daemon, used because
            this one can't reach the server itself.
    """

    busy_ms: float
    is_fallback: bool

    @property
    def server(self) -> catalog.Server:
        """The backend server."""

    def send(
        self,
        batch: abc.Sequence[commands.Command],
        needs: connection_state.RequiredSessionState | None = None,
    ) -> list[asyncio.Future[commands.Reply | commands.Lost]]:
        """Send commands in one write and return a future for each reply.

        Args:
            batch: The commands.
            needs: Session state that is set on the connection before them.
        """

    def release(self, usable: bool = True) -> None:
        """Return the connection to its pool; an unusable one is closed."""


class Link(typing.Protocol):
    """A network connection to another daemon."""

    @property
    def closed(self) -> bool:
        """Whether the link is closed."""

    def send(self, message: link_messages.Message) -> None:
        """Send a message; on a closed link it is discarded."""

    def close(self, problem: str) -> None:
        """Close the link at once."""


class LinkHandler(typing.Protocol):
    """Handles the messages and the end of a link."""

    def on_message(self, message: link_messages.Message) -> None:
        """Handle a message."""

    def on_closed(self, problem: str) -> None:
        """Handle the end of the link."""


class LinkConnector(typing.Protocol):
    """Opens links to other daemons."""

    async def open(
        self,
        address: str,
        handler: LinkHandler,
        timeout_s: float,
    ) -> result.Result[Link, str]:
        """Connect to the daemon at `address`, given as `host:port`."""


class StoreError(typing.NamedTuple):
    """A call to the store without a usable answer.

    Attributes:
        message: Description of the error.
        unknown: Whether the store may have made the change, or may still make
            it.
    """

    message: str
    unknown: bool = False


class MalformedConfiguration(typing.NamedTuple):
    """A configuration in the store that is not valid.

    The last valid version stays in force.
    """

    problem: str


class Store(typing.Protocol):
    """The platform's key-value store."""

    async def read_configuration(
        self,
    ) -> result.Result[
        catalog.Configuration | MalformedConfiguration | None, StoreError
    ]:
        """Return the newest configuration, None if there is none.

        The read is linearizable: it returns every configuration that was
        acknowledged before it was sent.
        """

    async def register(
        self,
        member: catalog.Member,
        ttl_ms: int,
    ) -> result.Result[int, StoreError]:
        """Register a daemon under a new store lease; return the lease's id."""

    async def renew(self, lease: int) -> result.Result[bool, StoreError]:
        """Renew a store lease; return False if it has expired."""

    async def release(self, lease: int) -> result.Result[None, StoreError]:
        """End a store lease, which removes the entries registered under it."""

    async def acquire_office(
        self,
        office: catalog.Office,
        known_revision: int,
    ) -> result.Result[int | None, StoreError]:
        """Write `office` if the stored one still has `known_revision`.

        Returns:
            The revision of the write, None if another write came first.
        """

    async def read_office(
        self,
        group: str,
    ) -> result.Result[catalog.Office | None, StoreError]:
        """Return the stored office of a group, None if there is none."""

    async def write_complaint(
        self,
        complaint: catalog.Complaint,
        lease: int,
    ) -> result.Result[None, StoreError]:
        """Write a complaint, which expires with the daemon's store lease."""

    async def delete_complaint(
        self,
        complaint: catalog.Complaint,
    ) -> result.Result[None, StoreError]:
        """Delete a complaint."""


class OrderOutcome(typing.NamedTuple):
    """Answer to a promotion order.

    Attributes:
        accepted: Whether the platform carries out the order.
        refused: Whether it refused the order because of its fencing token or
            its target.
        message: Text of the answer.
    """

    accepted: bool
    refused: bool
    message: str


class PromotionClient(typing.Protocol):
    """Sends promotion orders to the platform."""

    async def promote(
        self,
        group: str,
        server_id: str,
        office: catalog.Office,
    ) -> OrderOutcome:
        """Order the promotion of `server_id` to primary of `group`."""


class TransactionState(enum.StrEnum):
    """Transaction state of a session between two statements.

    Attributes:
        idle: No transaction is open.
        open: A transaction is open and usable.
        failed: A transaction has failed and the caller has to end it.
    """

    idle = 'idle'
    open = 'open'
    failed = 'failed'


Answer = commands.Reply | outcomes.NotRun | outcomes.OutcomeUnknown


class CallerConnection(typing.Protocol):
    """The connection of a caller."""

    def answer(
        self,
        answer: Answer | None,
        state: TransactionState,
        position: positions.Position | None,
    ) -> None:
        """Send the answer to a statement.

        Args:
            answer: The answer; None for the success of a statement that needs
                no backend server.
            state: Transaction state of the session after the statement.
            position: Last known log position of the session's database group.
        """

    def close(self) -> None:
        """Close the connection after sending the pending answers."""


class SessionHandler(typing.Protocol):
    """Handles the statements and the end of a caller's connection."""

    def on_request(self, request: statements.Request) -> None:
        """Handle a statement of the caller."""

    def on_connection_lost(self) -> None:
        """Handle the end of the caller's connection."""
