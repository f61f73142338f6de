"""Leases of connections to one backend server, own or of other daemons."""

import itertools

import result

from celeryrelay.accounts import holder_choice
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes, ranks, rendezvous
from celeryrelay.gateway import catalog, commands, interfaces
from celeryrelay.gateway.connections import pool, statement_exchange
from celeryrelay.gateway.links import peer_links, peer_registry
from celeryrelay.membership import connection_plans, limit_changes

# Number of daemons that are asked, one after the other, once all holders of the
# zone have refused.
EXTRA_HOLDERS = 1
# Time after which an idle connection of a holder for client accounts is closed.
# It is long, since many accounts use a server rarely, and a new connection
# occupies a slot.
ACCOUNT_IDLE_CLOSE_S = 30.0

AcquireResult = result.Result[interfaces.ConnectionLease, outcomes.NotRun]


class ConnectionSource:
    """Leases connections of the local pool or of holders.

    A holder is a daemon that keeps connections to the server for the other
    daemons of its zone too, because the server accepts too few connections
    for all daemons.
    """

    def __init__(
        self,
        local_pool: pool.ConnectionPool,
        own_name: str,
        peers: peer_registry.PeerRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Lease from `local_pool`, and from other daemons through `peers`."""
        self.local_pool = local_pool
        self.plan = connection_plans.ConnectionPlan(local_pool.limit)
        self._chooses_by_account = False
        self._limit_changes: limit_changes.LimitChanges | None = None
        self._own_name = own_name
        self._peers = peers
        self._clock = clock

    @property
    def server(self) -> catalog.Server:
        """The backend server."""
        return self.local_pool.server

    @property
    def limit(self) -> int:
        """Number of connections that this daemon may use."""
        if self.plan.is_direct:
            return self.local_pool.limit
        return self.plan.limit * self.plan.holder_count

    @property
    def running(self) -> int:
        """Number of local connections in use, also by other daemons."""
        return self.local_pool.running

    @property
    def waiting(self) -> int:
        """Number of statements that wait for a local connection."""
        return self.local_pool.waiting

    @property
    def avoid_until(self) -> float:
        """Time in seconds until which the server should get no reads."""
        return self.local_pool.avoid_until

    def on_no_reply(self, outcome: statement_exchange.Outcome) -> None:
        """Avoid the server after a missing reply, longer after each one."""
        match outcome:
            case commands.Lost(between_daemons=True):
                # The holder of the connection failed, not the server.
                return
        self.local_pool.on_failed()

    def avoid_briefly(self) -> None:
        """Avoid the server for a moment, after it refused a statement."""
        self.local_pool.avoid_briefly()

    def apply_plan(
        self,
        plan: connection_plans.ConnectionPlan,
        chooses_by_account: bool = False,
    ) -> None:
        """Use a new plan from the next statement on.

        Args:
            plan: Plan of the own availability zone.
            chooses_by_account: Whether connections belong to client accounts,
                so that the holder of a statement follows its account.
        """
        self.plan = plan
        self._chooses_by_account = chooses_by_account
        is_account_holder = (
            chooses_by_account and self._own_name in plan.holders
        )
        self.local_pool.idle_close_s = (
            ACCOUNT_IDLE_CLOSE_S if is_account_holder else pool.IDLE_CLOSE_S
        )
        planned = plan.limit_of(self._own_name)
        if plan.is_direct or self._limit_changes is None:
            self._limit_changes = limit_changes.LimitChanges(planned)
        else:
            # The pool lowers it if the server accepts no more connections.
            self._limit_changes.lower(self.local_pool.limit)
        limit = self._limit_changes.apply(planned, self._clock.monotonic())
        if limit != self.local_pool.limit:
            self.local_pool.resize(limit)

    async def acquire(
        self,
        rank: ranks.Rank,
        deadline: float,
        account: str | None = None,
    ) -> AcquireResult:
        """Wait for a connection.

        Args:
            rank: Rank of the statement.
            deadline: Time in seconds at which the wait ends.
            account: Client account of the statement, None for commands that may
                run on a connection of any account.
        """
        if self.plan.is_direct:
            return await self.local_pool.acquire(rank, deadline, account)
        refusal = outcomes.NotRun(
            outcomes.Reason.no_holder,
            'no daemon with a connection to the backend server answers',
        )
        for name in self.candidates(account):
            match await self._acquire_from(name, rank, deadline, account):
                case result.Ok() as acquired:
                    return acquired
                case result.Err(refusal):
                    # Other daemons would open further connections to a server
                    # that is overloaded.
                    is_overload = refusal.reason is outcomes.Reason.deadline
                    if is_overload or self._clock.monotonic() >= deadline:
                        break
        return result.Err(refusal)

    def holder_to_ask(self) -> peer_links.Peer | None:
        """Return the daemon to ask about the server, None for this one."""
        if self.plan.is_direct:
            return None
        name = self.candidates()[0]
        return None if name == self._own_name else self._peers.peer(name)

    async def _acquire_from(
        self,
        name: str,
        rank: ranks.Rank,
        deadline: float,
        account: str | None,
    ) -> AcquireResult:
        if name == self._own_name:
            return await self.local_pool.acquire(rank, deadline, account)
        peer = self._peers.peer(name)
        if peer is None:
            return result.Err(
                outcomes.NotRun(
                    outcomes.Reason.no_holder, 'daemon not registered'
                ),
            )
        return await peer.acquire(self.server, rank, deadline, account)

    def candidates(self, account: str | None = None) -> list[str]:
        """Return the daemons to ask for a connection, best first.

        The holders come first, least loaded first or, where connections belong
        to client accounts, in the order of the account. Daemons that are
        avoided are replaced by the next ones of the plan.

        Args:
            account: Client account of the statement, None for commands that may
                run on a connection of any account.
        """
        usable = filter(self._is_usable, self.plan.ranked_daemons)
        selected = list(
            itertools.islice(usable, self.plan.holder_count + EXTRA_HOLDERS)
        )
        holders = tuple(selected[: self.plan.holder_count])
        others = selected[self.plan.holder_count :]
        is_any_account = account is None or not self._chooses_by_account
        if is_any_account or not holders:
            ordered = sorted(holders, key=self._load)
        else:
            ordered = holder_choice.order(
                self.server.server_id, account, holders, self._account_load
            )
        return [*ordered, *others] or [self._own_name]

    def _is_usable(self, name: str) -> bool:
        if name == self._own_name:
            return True
        peer = self._peers.peer(name)
        return peer is not None and not peer.is_avoided(self.server.server_id)

    def _load(self, name: str) -> tuple[int, int]:
        if name == self._own_name:
            return self.local_pool.running + self.local_pool.waiting, 0
        peer = self._peers.peer(name)
        # With equal load, the weight spreads the daemons over the holders.
        return peer.load + 1, rendezvous.weight(self._own_name, name)

    def _account_load(self, name: str) -> int:
        """Return how busy a holder seems to be.

        For this daemon it is the number of statements that wait, for another one
        the number of own leases, and more while it queues requests.
        """
        if name == self._own_name:
            return self.local_pool.waiting
        peer = self._peers.peer(name)
        return peer.load_of(self.server.server_id) if peer else 0
