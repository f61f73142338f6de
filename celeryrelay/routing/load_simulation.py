"""Simulation of daemons that share the servers of a database group.

It plays reads without a network, to compare rules for the selection of a
server. Daemons in six availability zones of three regions send reads to three
servers, one in the first zone of each region. Each daemon knows only what its
own replies have told it, some time later.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing
from collections import abc

ZONES = 6
ZONES_PER_REGION = 2
SERVERS = 3
SLOTS = 5
QUEUE_LIMIT = 40
SAME_ZONE_RTT_S = 0.001
SAME_REGION_RTT_S = 0.003
OTHER_REGION_RTT_S = 0.024
# Work of a read, and of the few long ones, in seconds and as a factor.
WORK_S = (0.02, 0.05)
LONG_FRACTION = 0.05
LONG_FACTOR = (5, 7)
WARM_UP_S = 2.0
# Writes and transactions that only the primary runs.
PRIMARY = 0
PRIMARY_WORK_S = 0.009
# Pause before a read that all servers refused is tried again.
RETRY_PAUSE_S = 0.03
MAX_ROUNDS = 3
WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load, and the state of the servers under it.

    Attributes:
        name: Name of the scenario.
        choosers: Number of daemons.
        load: Mean demand as a fraction of the slots of all servers.
        delay_s: Age of a reply's information when the daemon uses it.
        wave: Amplitude of the demand of a zone; the zones are out of phase.
        wave_period_s: Period of these waves.
        slow_factor: Factor by which the work on the slow server is longer.
        slow_server: The slow server.
        slow_until_s: Time at which it recovers.
        refuses_until_s: Time until which it refuses all reads.
        primary_rate: Statements per second that only the primary runs.
        is_one_region: Whether all zones are in one region.
        duration_s: Length of the run.
    """

    name: str
    choosers: int = 91
    load: float = 0.4
    delay_s: float = 0.05
    wave: float = 0
    wave_period_s: float = 6
    slow_factor: float = 1
    slow_server: int = 1
    slow_until_s: float = math.inf
    refuses_until_s: float = 0
    primary_rate: float = 25
    is_one_region: bool = False
    duration_s: float = 14


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Measurements of one run, without the warm-up.

    Attributes:
        above_slots: Mean fraction of the time in which statements wait at a
            server whose slots are all in use.
        idle_while_waiting: Slots that are idle while as many statements wait
            at other servers, as a fraction of all slots.
        imbalance: Mean ratio of the busiest server's arrivals to the mean of
            the servers, over windows of one second.
        p50_ms: Median of the response times.
        p99_ms: 99th percentile of the response times.
        busy: Fraction of the arrivals that a server refused.
        left_zone: Fraction of the reads that ran outside of their zone.
        left_region: Fraction of the reads that ran outside of their region.
        on_primary: Fraction of the reads that ran on the primary.
    """

    above_slots: float
    idle_while_waiting: float
    imbalance: float
    p50_ms: float
    p99_ms: float
    busy: float
    left_zone: float
    left_region: float
    on_primary: float


@dataclasses.dataclass(slots=True)
class Read:
    """One read on its way."""

    chooser: int
    begun: float
    work_s: float
    tried: list[int] = dataclasses.field(default_factory=list)
    rounds: int = 0


class ServerModel:
    """A backend server with slots and a bounded queue."""

    def __init__(self) -> None:
        """Start idle."""
        self.running = 0
        self.queue: collections.deque[tuple[Read | None, float]] = (
            collections.deque()
        )
        self.under_way = 0

    @property
    def idle(self) -> int:
        """Number of slots that are not in use."""
        return SLOTS - self.running


class Rule(typing.Protocol):
    """Selects the servers of reads; one instance serves all daemons."""

    def choose(
        self, run: 'Simulation', read: Read, candidates: list[int]
    ) -> int:
        """Return one of the servers `candidates`."""

    def on_sent(self, run: 'Simulation', read: Read, server: int) -> None:
        """Record that a read was sent."""

    def on_reply(self, run: 'Simulation', read: Read, server: int) -> None:
        """Record that a read is no longer under way."""

    def on_sample(
        self,
        run: 'Simulation',
        read: Read,
        server: int,
        duration_s: float | None,
    ) -> None:
        """Record a response time; None if the server was full."""


def zone_of(chooser: int) -> int:
    """Return the availability zone of a daemon."""
    return chooser % ZONES


def is_same_zone(chooser: int, server: int) -> bool:
    """Return whether a daemon and a server are in the same zone."""
    return zone_of(chooser) == server * ZONES_PER_REGION


class Simulation:
    """One run of a scenario with a rule."""

    def __init__(self, scenario: Scenario, rule: Rule, seed: int) -> None:
        """Prepare the run; `seed` determines the reads."""
        self.scenario = scenario
        self.now: float = 0
        self.servers = [ServerModel() for _ in range(SERVERS)]
        self._rule = rule
        self._random = random.Random(seed)  # noqa: S311 (no secret)
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._times_ms: list[float] = []
        self._left: collections.Counter[str] = collections.Counter()
        self._arrivals: dict[int, collections.Counter]
        self._arrivals = collections.defaultdict(collections.Counter)
        self._refused = 0
        self._above_s: float = 0
        self._idle_s: float = 0

    def run(self) -> Report:
        """Run the scenario and return the measurements."""
        self._schedule_read()
        self._schedule_write()
        while self._events:
            at, _, event = heapq.heappop(self._events)
            if at > self.scenario.duration_s:
                break
            self._integrate(at)
            self.now = at
            event()
        return self._report()

    def is_same_region(self, chooser: int, server: int) -> bool:
        """Return whether a daemon and a server are in the same region."""
        return (
            self.scenario.is_one_region
            or zone_of(chooser) // ZONES_PER_REGION == server
        )

    def round_trip_s(self, chooser: int, server: int) -> float:
        """Return the time of a round trip between a daemon and a server."""
        if is_same_zone(chooser, server):
            return SAME_ZONE_RTT_S
        if self.is_same_region(chooser, server):
            return SAME_REGION_RTT_S
        return OTHER_REGION_RTT_S

    def work_factor(self, server: int) -> float:
        """Return the factor by which work on a server is longer."""
        scenario = self.scenario
        if server == scenario.slow_server and self.now < scenario.slow_until_s:
            return scenario.slow_factor
        return 1

    def _after(self, delay_s: float, event: abc.Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._numbers), event)
        )

    def _rate(self, zone: int) -> float:
        """Return the reads per second of a zone."""
        long_factor = sum(LONG_FACTOR) / 2
        work_s = sum(WORK_S) / 2 * (1 + LONG_FRACTION * (long_factor - 1))
        total = self.scenario.load * SERVERS * SLOTS / work_s
        phase = self.now / self.scenario.wave_period_s + zone / ZONES
        wave = self.scenario.wave * math.sin(2 * math.pi * phase)
        return total / ZONES * (1 + wave)

    def _schedule_read(self) -> None:
        zones = range(min(self.scenario.choosers, ZONES))
        rates = [self._rate(zone) for zone in zones]
        # One daemon has the demand of all zones.
        scale = ZONES / len(rates)
        pause_s = self._random.expovariate(sum(rates) * scale)
        zone = self._random.choices(zones, rates)[0]
        self._after(pause_s, lambda: self._on_arrival(zone))

    def _on_arrival(self, zone: int) -> None:
        choosers = range(zone, self.scenario.choosers, ZONES)
        work_s = self._random.uniform(*WORK_S)
        if self._random.random() < LONG_FRACTION:
            work_s *= self._random.uniform(*LONG_FACTOR)
        self._send(Read(self._random.choice(choosers), self.now, work_s))
        self._schedule_read()

    def _schedule_write(self) -> None:
        if self.scenario.primary_rate:
            pause_s = self._random.expovariate(self.scenario.primary_rate)
            self._after(pause_s, self._on_write)

    def _on_write(self) -> None:
        self._offer(PRIMARY, None, self.now)
        self._schedule_write()

    def _send(self, read: Read) -> None:
        candidates = [n for n in range(SERVERS) if n not in read.tried]
        if not candidates:
            self._try_again(read)
            return
        server = self._rule.choose(self, read, candidates)
        read.tried.append(server)
        self._rule.on_sent(self, read, server)
        self.servers[server].under_way += 1
        sent_at = self.now
        self._after(
            self.round_trip_s(read.chooser, server) / 2,
            lambda: self._arrive(server, read, sent_at),
        )

    def _try_again(self, read: Read) -> None:
        read.rounds += 1
        read.tried.clear()
        if read.rounds < MAX_ROUNDS:
            self._after(RETRY_PAUSE_S, lambda: self._send(read))
        else:
            self._times_ms.append(math.inf)

    def _arrive(self, server: int, read: Read, sent_at: float) -> None:
        self.servers[server].under_way -= 1
        if self.now > WARM_UP_S:
            self._arrivals[int(self.now / WINDOW_S)][server] += 1
        if self._offer(server, read, sent_at):
            return
        self._refused += self.now > WARM_UP_S
        self._reply(server, read, None)
        self._after(
            self.round_trip_s(read.chooser, server) / 2,
            lambda: self._send(read),
        )

    def _offer(self, server: int, read: Read | None, sent_at: float) -> bool:
        model = self.servers[server]
        if self._refuses(server):
            return False
        if model.idle:
            self._start(server, read, sent_at)
        elif len(model.queue) < QUEUE_LIMIT:
            model.queue.append((read, sent_at))
        else:
            return False
        return True

    def _refuses(self, server: int) -> bool:
        scenario = self.scenario
        return (
            server == scenario.slow_server
            and self.now < scenario.refuses_until_s
        )

    def _start(self, server: int, read: Read | None, sent_at: float) -> None:
        self.servers[server].running += 1
        work_s = read.work_s if read else PRIMARY_WORK_S
        self._after(
            work_s * self.work_factor(server),
            lambda: self._finish(server, read, sent_at),
        )

    def _finish(self, server: int, read: Read | None, sent_at: float) -> None:
        model = self.servers[server]
        model.running -= 1
        if model.queue:
            self._start(server, *model.queue.popleft())
        if read is None:
            return
        way_s = self.round_trip_s(read.chooser, server) / 2
        self._reply(server, read, self.now + way_s - sent_at)
        if self.now > WARM_UP_S:
            self._times_ms.append((self.now + way_s - read.begun) * 1000)
            self._left['zone'] += not is_same_zone(read.chooser, server)
            self._left['region'] += not self.is_same_region(
                read.chooser, server
            )
            self._left['primary'] += server == PRIMARY

    def _reply(self, server: int, read: Read, duration_s: float | None) -> None:
        way_s = self.round_trip_s(read.chooser, server) / 2
        self._after(way_s, lambda: self._rule.on_reply(self, read, server))
        self._after(
            way_s + self.scenario.delay_s,
            lambda: self._rule.on_sample(self, read, server, duration_s),
        )

    def _integrate(self, until: float) -> None:
        if self.now < WARM_UP_S:
            return
        elapsed = until - self.now
        waiting = [len(model.queue) for model in self.servers]
        idle = sum(model.idle for model in self.servers)
        self._above_s += elapsed * sum(map(bool, waiting)) / SERVERS
        self._idle_s += elapsed * min(idle, sum(waiting)) / (SERVERS * SLOTS)

    def _report(self) -> Report:
        times_ms = sorted(self._times_ms)
        count = len(times_ms)
        measured_s = self.scenario.duration_s - WARM_UP_S
        ratios = [
            max(window.values()) * SERVERS / window.total()
            for window in self._arrivals.values()
        ]
        arrivals = sum(window.total() for window in self._arrivals.values())
        return Report(
            above_slots=self._above_s / measured_s,
            idle_while_waiting=self._idle_s / measured_s,
            imbalance=sum(ratios) / len(ratios),
            p50_ms=times_ms[count // 2],
            p99_ms=times_ms[int(count * 0.99)],
            busy=self._refused / arrivals,
            left_zone=self._left['zone'] / count,
            left_region=self._left['region'] / count,
            on_primary=self._left['primary'] / count,
        )
