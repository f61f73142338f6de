"""Ports of the daemon; `celeryrelay.platform` implements them."""

import asyncio
import enum
import typing
from collections import abc

import result

from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import (
    catalog,
    commands,
    connection_state,
    link_messages,
)
from celeryrelay.sessions import statements


class Connection(typing.Protocol):
    """An open connection to a backend server."""

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""

    @property
    def first_position(self) -> positions.Position | None:
        """Position that the server answered when the connection opened."""

    def send(
        self,
        batch: abc.Sequence[commands.Command],
    ) -> list[asyncio.Future[commands.Reply | commands.Lost]]:
        """Send commands in one write and return a future for each reply."""

    def close(self, reason: str) -> None:
        """End the connection; waiting commands are answered `Lost`."""


class Connector(typing.Protocol):
    """Opens connections to backend servers."""

    async def open(
        self,
        server: catalog.Server,
        timeout_s: float,
    ) -> result.Result[Connection, commands.ConnectError]:
        """Connect to `server` and check that it is the one expected."""

    def status(self, reply: commands.Reply) -> commands.Status | None:
        """Return the status in a reply to `AskStatus`, None if unreadable."""


class ConnectionLease(typing.Protocol):
    """The right to use a connection until `release`.

    Attributes:
        busy_ms: Time for which its commands kept the server busy.
        is_fallback: Whether it is a connection of another daemon, since this
            one can't reach the server itself.
    """

    busy_ms: float
    is_fallback: bool

    @property
    def server(self) -> catalog.Server:
        """Server of the connection."""

    def send(
        self,
        batch: abc.Sequence[commands.Command],
        needs: connection_state.RequiredSessionState | None = None,
    ) -> list[asyncio.Future[commands.Reply | commands.Lost]]:
        """Send commands in one write and return a future for each reply.

        Args:
            batch: The commands.
            needs: Session state that the connection is given before them.
        """

    def release(self, usable: bool = True) -> None:
        """Give the connection back; an unusable one is closed."""


class Link(typing.Protocol):
    """A connection to another daemon."""

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""

    def send(self, message: link_messages.Message) -> None:
        """Send a message; one on an ended link is dropped."""

    def close(self, problem: str) -> None:
        """End the link at once."""


class LinkHandler(typing.Protocol):
    """What one end of a link does with what comes."""

    def on_message(self, message: link_messages.Message) -> None:
        """Take a message."""

    def on_closed(self, problem: str) -> None:
        """Note that the link has ended."""


class LinkConnector(typing.Protocol):
    """Opens links to other daemons."""

    async def open(
        self,
        address: str,
        handler: LinkHandler,
        timeout_s: float,
    ) -> result.Result[Link, str]:
        """Connect to the daemon at `address`, `host:port`."""


class StoreError(typing.NamedTuple):
    """A call to the store that gave no usable answer.

    Attributes:
        message: What happened.
        unknown: Whether a change may have been made, or may be made later.
    """

    message: str
    unknown: bool = False


class Store(typing.Protocol):
    """The platform's store."""

    async def register(
        self,
        member: catalog.Member,
        ttl_ms: int,
    ) -> result.Result[int, StoreError]:
        """Register a daemon under a new lease and return the lease's id."""

    async def renew(self, lease: int) -> result.Result[bool, StoreError]:
        """Renew a lease; False if it has ended."""

    async def release(self, lease: int) -> result.Result[None, StoreError]:
        """End a lease and remove what was registered under it."""

    async def acquire_office(
        self,
        office: catalog.Office,
        known_revision: int,
    ) -> result.Result[int | None, StoreError]:
        """Write `office` if its revision is still `known_revision`.

        Returns:
            The revision of the write, None if another write came first.
        """

    async def read_office(
        self,
        group: str,
    ) -> result.Result[catalog.Office | None, StoreError]:
        """Return the newest office of a group."""

    async def write_complaint(
        self,
        complaint: catalog.Complaint,
        lease: int,
    ) -> result.Result[None, StoreError]:
        """Write a complaint that ends with the daemon's lease."""

    async def delete_complaint(
        self,
        complaint: catalog.Complaint,
    ) -> result.Result[None, StoreError]:
        """Remove a complaint."""


class OrderOutcome(typing.NamedTuple):
    """Answer to a promotion order.

    Attributes:
        accepted: Whether the order is carried out.
        refused: Whether it was refused for its fencing token or its target.
        message: What was answered.
    """

    accepted: bool
    refused: bool
    message: str


class PromotionClient(typing.Protocol):
    """Takes promotion orders."""

    async def promote(
        self,
        group: str,
        server_id: str,
        office: catalog.Office,
    ) -> OrderOutcome:
        """Order that `server_id` becomes the primary of `group`."""


class TransactionState(enum.StrEnum):
    """State of a session between two statements.

    Attributes:
        idle: No transaction is open.
        open: A transaction is open and usable.
        failed: A transaction has failed and its caller has to end it.
    """

    idle = 'idle'
    open = 'open'
    failed = 'failed'


Answer = commands.Reply | outcomes.NotRun | outcomes.OutcomeUnknown


class CallerConnection(typing.Protocol):
    """The connection to a caller."""

    def answer(
        self,
        answer: Answer | None,
        state: TransactionState,
        position: positions.Position | None,
    ) -> None:
        """Send an answer; None for a success of the daemon itself.

        Args:
            answer: What the caller gets.
            state: State of the session afterwards.
            position: Log position of the session's database.
        """

    def close(self) -> None:
        """End the connection after what was sent."""


class SessionHandler(typing.Protocol):
    """A caller's session, as seen by its connection."""

    def on_request(self, request: statements.Request) -> None:
        """Take a statement of the caller."""

    def on_connection_lost(self) -> None:
        """Note that the caller's connection has ended."""
