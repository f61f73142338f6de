"""Simulation of the daemons that share the servers of a database group.

Plays bursts of demand beyond the slots of the servers, with callers that retry
refused operations, before and after holders adapt to their servers.
"""

import collections
import dataclasses
import random
from collections import abc

from celeryrelay.admission import (
    busy_retries,
    decisions,
    simulated_holders,
    simulated_servers,
    simulated_workloads,
)
from celeryrelay.core import ranks
from celeryrelay.routing import server_load, server_selection

CALLER_RETRIES = 2
# Delays between a daemon and a holder of its zone, and from there to a server.
HOLDER_DELAY_S = 0.001
SERVER_DELAY_S = 0.006
# As in the gateway: part of the target for which a statement waits, least wait,
# pause between attempts on the primary, servers that are asked in overload.
WAIT_FRACTION = 0.85
MIN_WAIT_S = 0.15
RETRY_PAUSE_S = 0.03
MAX_OVERLOADED_SERVERS = 2
# Pause of a caller whose refusal has no hint.
CALLER_PAUSE_S = 0.1


@dataclasses.dataclass(slots=True)
class Operation:
    """An operation of a caller.

    Attributes:
        request_class: Its class.
        zone: Availability zone of the daemon that it arrives at.
        daemon: Number of the daemon in its zone.
        arrived: Time of its first attempt in seconds.
        work_ms: Time for which it occupies a slot.
        answered: Time of its result, None without one.
    """

    request_class: simulated_workloads.RequestClass
    zone: int
    daemon: int
    arrived: float
    work_ms: float
    answered: float | None = None

    @property
    def in_target(self) -> bool:
        """Whether the result came within the latency target."""
        if self.answered is None:
            return False
        waited_ms = (self.answered - self.arrived) * 1000
        return waited_ms <= self.request_class.target_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What callers and servers saw.

    Attributes:
        operations: All operations.
        counts: Counts of the servers.
    """

    operations: tuple[Operation, ...]
    counts: simulated_servers.ServerCounts

    def share_in_target(
        self,
        begin: float,
        end: float,
        rank: ranks.Rank | None = None,
    ) -> float:
        """Return the part of the operations that arrived in a time span."""
        found = [
            operation.in_target
            for operation in self.operations
            if begin <= operation.arrived < end
            and rank in {None, operation.request_class.rank}
        ]
        return sum(found) / max(len(found), 1)


class Fleet:
    """Daemons of all zones, their callers and the servers of one group."""

    def __init__(
        self, group: simulated_workloads.Group, adaptive: bool, seed: int
    ) -> None:
        """Start without load; `adaptive` selects the present behaviour."""
        self.events = simulated_servers.Events()
        self.counts = simulated_servers.ServerCounts()
        self._random = random.Random(seed)
        self._group = group
        self._adaptive = adaptive
        self._retries = busy_retries.BusyRetries(self._random)
        self._leases: collections.Counter[tuple[int, int]]
        self._leases = collections.Counter()
        # Each daemon knows the response times of its own reads only.
        self._response_times: dict[
            tuple[int, int, int], server_load.ServerLoad
        ] = collections.defaultdict(server_load.ServerLoad)
        servers = [
            simulated_servers.ServerModel(
                self.events,
                group.slots,
                group.queue_length,
                group.connection_limit,
                self.counts,
            )
            for _ in range(group.servers)
        ]
        # The last holder of each list takes the place of one that refuses.
        self._holders = {
            (zone, number): [
                simulated_holders.HolderModel(
                    self.events,
                    server,
                    group.connections,
                    self._random,
                    adaptive,
                )
                for _ in range(group.holders + 1)
            ]
            for zone in range(group.zones)
            for number, server in enumerate(servers)
        }

    def call(self, operation: Operation) -> simulated_servers.Process:
        """Play the caller of an operation."""
        for _ in range(1 + CALLER_RETRIES):
            received = self.events.now
            yield HOLDER_DELAY_S
            refusal = yield from self._serve(operation, received)
            yield HOLDER_DELAY_S
            if refusal is None:
                operation.answered = self.events.now
                return
            yield refusal.retry_after_ms / 1000 or CALLER_PAUSE_S

    def _serve(
        self, operation: Operation, received: float
    ) -> simulated_servers.Process:
        self._retries.on_request(_budget_of(operation))
        if self._adaptive:
            return (yield from self._serve_within_budget(operation, received))
        return (yield from self._serve_everywhere(operation, received))

    def _serve_everywhere(
        self, operation: Operation, received: float
    ) -> simulated_servers.Process:
        """Try all servers, then the primary until the time-out."""
        if not operation.request_class.on_primary:
            for number in self._server_order(operation):
                refusal = yield from self._attempt(operation, received, number)
                if refusal is None:
                    return None
        timeout_s = operation.request_class.timeout_ms / 1000
        while True:
            refusal = yield from self._attempt(operation, received, 0)
            is_over = self.events.now >= received + timeout_s * WAIT_FRACTION
            if refusal is None or is_over:
                return refusal
            yield RETRY_PAUSE_S

    def _serve_within_budget(
        self, operation: Operation, received: float
    ) -> simulated_servers.Process:
        """Wait again after a rejection, within the budget and the target."""
        attempts = 0
        order = self._server_order(operation)
        while True:
            number = order[attempts % len(order)]
            if operation.request_class.on_primary:
                number = 0
            attempts += 1
            refusal = yield from self._attempt(operation, received, number)
            if refusal is None:
                return None
            if refusal.retry_after_ms:
                is_last = attempts >= MAX_OVERLOADED_SERVERS
                if is_last or operation.request_class.on_primary:
                    return refusal
                continue
            pause_s = self._retries.pause_s(
                _budget_of(operation),
                attempts,
                self.events.now,
                received + self._wait_s(operation),
            )
            if pause_s is None:
                hint_ms = self._retries.retry_after_ms()
                return simulated_holders.Refused(hint_ms)
            yield pause_s

    def _attempt(
        self, operation: Operation, received: float, number: int
    ) -> simulated_servers.Process:
        """Run an operation on a server; return None or the refusal."""
        refusal = simulated_holders.Refused()
        for holder in self._candidates(operation, number):
            started = self.events.now
            yield HOLDER_DELAY_S
            deadline = max(
                received + self._wait_s(operation), started + MIN_WAIT_S
            )
            rank = operation.request_class.rank
            own = operation.daemon, id(holder)
            self._leases[own] += 1
            acquired = yield from holder.acquire(rank, deadline)
            if isinstance(acquired, decisions.Ticket):
                # The wait in the holder was not counted before.
                started = started if self._adaptive else self.events.now
                ran = yield from holder.run(
                    acquired, operation.work_ms, SERVER_DELAY_S
                )
                yield HOLDER_DELAY_S
                self._leases[own] -= 1
                self._record(operation, number, self.events.now - started)
                return None if ran else simulated_holders.Refused()
            refusal = acquired
            self._leases[own] -= 1
            yield HOLDER_DELAY_S
            is_overload = self._adaptive and not refusal.is_full
            if is_overload or self.events.now >= deadline:
                break
        if refusal.retry_after_ms:
            target_ms = operation.request_class.target_ms
            self._record(operation, number, target_ms / 1000)
        return refusal

    def _candidates(
        self, operation: Operation, number: int
    ) -> list[simulated_holders.HolderModel]:
        """Return the holders in the order in which a daemon asks them.

        A daemon knows its own leases only.
        """
        holders = self._holders[operation.zone, number]
        first = operation.daemon % self._group.holders
        in_plan = holders[: self._group.holders]
        in_order = sorted(
            in_plan[first:] + in_plan[:first],
            key=lambda holder: self._leases[operation.daemon, id(holder)],
        )
        return in_order if self._adaptive else [*in_order, holders[-1]]

    def _record(
        self, operation: Operation, number: int, duration_s: float
    ) -> None:
        self._response_time(operation, number).on_sample(
            duration_s * 1000, self.events.now
        )

    def _wait_s(self, operation: Operation) -> float:
        return operation.request_class.target_ms * WAIT_FRACTION / 1000

    def _server_order(self, operation: Operation) -> list[int]:
        """Return the servers in the order in which a read tries them."""
        remaining = list(map(str, range(self._group.servers)))
        order: list[int] = []
        while remaining:
            chosen = server_selection.choose(
                [self._candidate(operation, int(one)) for one in remaining],
                self._random,
            )
            remaining.remove(chosen.server_id)
            order.append(int(chosen.server_id))
        return order

    def _candidate(
        self, operation: Operation, number: int
    ) -> server_selection.Candidate:
        load = self._response_time(operation, number)
        is_near = operation.zone % self._group.servers == number
        return server_selection.Candidate(
            str(number),
            same_zone=is_near,
            same_region=is_near,
            is_primary=number == 0,
            expected_ms=load.expected_ms(self.events.now),
            unloaded_ms=load.unloaded_ms(self.events.now),
            slots=self._group.slots,
        )

    def _response_time(
        self, operation: Operation, number: int
    ) -> server_load.ServerLoad:
        key = operation.zone, operation.daemon, number
        return self._response_times[key]


def _budget_of(operation: Operation) -> str:
    """Return the retry budget: each daemon has one for the group."""
    return '{0}/{1}'.format(operation.zone, operation.daemon)


def run(
    group: simulated_workloads.Group,
    profile: abc.Sequence[tuple[float, float]],
    adaptive: bool,
    seed: int,
) -> Report:
    """Play a load and return what callers and servers saw.

    Args:
        group: The database group and its usual load.
        profile: Duration in seconds and demand of each phase.
        adaptive: Whether holders adapt to their servers.
        seed: Seed of the load.
    """
    fleet = Fleet(group, adaptive, seed)
    operations: list[Operation] = []
    for number, request_class in enumerate(group.classes):
        source = random.Random('{0}/{1}'.format(seed, number))
        operations.extend(
            Operation(
                request_class,
                source.randrange(group.zones),
                source.randrange(group.daemons),
                arrived,
                source.expovariate(1 / request_class.work_ms),
            )
            for arrived in simulated_workloads.arrivals(
                request_class, profile, source
            )
        )
    for operation in operations:
        fleet.events.after(operation.arrived, _starter(fleet, operation))
    fleet.events.run()
    return Report(tuple(operations), fleet.counts)


def _starter(fleet: Fleet, operation: Operation) -> abc.Callable[[], None]:
    return lambda: simulated_servers.start_process(
        fleet.events, fleet.call(operation)
    )
