"""Rules for the selection of a server that the simulation compares."""

import abc
import collections
import dataclasses
import functools
import random

from celeryrelay.routing import load_simulation, server_load, server_selection

# Time in seconds for which a server that was full gets no reads.
AVOID_S = 0.1
# Response time without load of the simulated reads, in milliseconds.
TYPICAL_WORK_MS = 44.0
HOLDERS_PER_ZONE = 3


class Rule(abc.ABC):
    """Base of the rules, which ignore all replies."""

    def __init__(self, seed: int) -> None:
        """Use `seed` for random choices."""
        self.random = random.Random(seed)

    @abc.abstractmethod
    def choose(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        candidates: list[int],
    ) -> int:
        """Return one of the servers `candidates`."""

    def on_sent(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
    ) -> None:
        """Ignore a read that was sent."""

    def on_reply(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
    ) -> None:
        """Ignore a reply."""

    def on_sample(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
        duration_s: float | None,
    ) -> None:
        """Ignore a response time."""


class RoundRobin(Rule):
    """Each daemon uses the servers in turn."""

    def __init__(self, seed: int) -> None:
        """Start each daemon at a server of its own."""
        super().__init__(seed)
        self._turns: collections.Counter[int] = collections.Counter()

    def choose(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        candidates: list[int],
    ) -> int:
        """Return the next server."""
        self._turns[read.chooser] += 1
        turn = self._turns[read.chooser] + read.chooser
        return candidates[turn % len(candidates)]


class FullInformation(Rule):
    """The least expected time, with the present state of all servers."""

    def choose(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        candidates: list[int],
    ) -> int:
        """Return the server that answers first."""
        return min(candidates, key=functools.partial(self._cost_ms, run, read))

    def _cost_ms(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
    ) -> float:
        model = run.servers[server]
        load = model.running + len(model.queue) + model.under_way + 1
        turns = 1 + max(load / load_simulation.SLOTS - 1, 0)
        work_ms = TYPICAL_WORK_MS * run.work_factor(server)
        return work_ms * turns + run.round_trip_s(read.chooser, server) * 1000


class _MovingAverage:
    """Moving average of the response time that decays to a default."""

    def __init__(self) -> None:
        self._excess_ms: float = 0
        self._updated: float = 0

    def on_sample(self, duration_ms: float, now: float) -> None:
        before_ms = self._decayed_ms(now)
        excess_ms = duration_ms - server_load.DEFAULT_RESPONSE_MS
        self._excess_ms = before_ms + (excess_ms - before_ms) * 0.15
        self._updated = now

    def expected_ms(self, now: float) -> float:
        return server_load.DEFAULT_RESPONSE_MS + self._decayed_ms(now)

    def _decayed_ms(self, now: float) -> float:
        return self._excess_ms * max(1 - (now - self._updated) / 2, 0)


class LowestCost(Rule):
    """The lowest cost by the daemon's own samples, the rule before."""

    def __init__(self, seed: int) -> None:
        """Start without samples."""
        super().__init__(seed)
        self._averages: dict[tuple[int, int], _MovingAverage]
        self._averages = collections.defaultdict(_MovingAverage)
        self._avoid_until: dict[tuple[int, int], float]
        self._avoid_until = collections.defaultdict(float)

    def choose(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        candidates: list[int],
    ) -> int:
        """Return the server with the lowest cost."""
        return min(candidates, key=functools.partial(self.cost, run, read))

    def on_sample(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
        duration_s: float | None,
    ) -> None:
        """Update the average; avoid a server that was full."""
        key = read.chooser, server
        if duration_s is None:
            self._avoid_until[key] = run.now + AVOID_S
        else:
            self._averages[key].on_sample(duration_s * 1000, run.now)

    def cost(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
    ) -> tuple[bool, float]:
        """Return whether a server is avoided, and its cost."""
        key = read.chooser, server
        cost_ms = self._averages[key].expected_ms(run.now)
        if not run.is_same_region(read.chooser, server):
            cost_ms += 45
        elif not load_simulation.is_same_zone(read.chooser, server):
            cost_ms += 3
        if server == load_simulation.PRIMARY:
            cost_ms += 40
        return run.now < self._avoid_until[key], cost_ms


class TwoByCost(LowestCost):
    """The lower cost of two random servers."""

    def choose(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        candidates: list[int],
    ) -> int:
        """Return the better one of two random servers."""
        drawn = self.random.sample(candidates, min(2, len(candidates)))
        return super().choose(run, read, drawn)


class SpareCapacity(LowestCost):
    """A random server, with probabilities inverse to the cost."""

    def choose(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        candidates: list[int],
    ) -> int:
        """Return a random server; one that is avoided only if all are."""
        costs = [self.cost(run, read, server) for server in candidates]
        avoided = min(costs)[0]
        weights = [
            1 / cost_ms if is_avoided is avoided else 0
            for is_avoided, cost_ms in costs
        ]
        return self.random.choices(candidates, weights)[0]


class EvenLoad(Rule):
    """The rule of `server_selection`."""

    def __init__(self, seed: int) -> None:
        """Start without samples."""
        super().__init__(seed)
        self._loads: dict[tuple[int, ...], server_load.ServerLoad]
        self._loads = collections.defaultdict(server_load.ServerLoad)
        self._avoid_until: dict[tuple[int, int], float]
        self._avoid_until = collections.defaultdict(float)
        self._numbers: dict[tuple[int, int], int] = {}

    def choose(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        candidates: list[int],
    ) -> int:
        """Return a random server by expected cost."""
        found = [self._candidate(run, read, server) for server in candidates]
        chosen = server_selection.choose(found, self.random)
        return int(chosen.server_id) if chosen else candidates[0]

    def on_sent(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
    ) -> None:
        """Count a read that is in flight."""
        load = self._loads[self.key(read.chooser, server)]
        self._numbers[id(read), server] = load.on_sent(run.now)

    def on_reply(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
    ) -> None:
        """End a read that was in flight."""
        load = self._loads[self.key(read.chooser, server)]
        load.on_ended(self._numbers.pop((id(read), server)))

    def on_sample(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
        duration_s: float | None,
    ) -> None:
        """Update the load; avoid a server that was full."""
        load = self._loads[self.key(read.chooser, server)]
        if duration_s is None:
            self._avoid_until[read.chooser, server] = run.now + AVOID_S
            load.on_refused(run.now)
        else:
            load.on_sample(duration_s * 1000, run.now)

    def key(self, chooser: int, server: int) -> tuple[int, ...]:
        """Return the key of a daemon's knowledge of a server."""
        return chooser, server

    def _candidate(
        self,
        run: load_simulation.Simulation,
        read: load_simulation.Read,
        server: int,
    ) -> server_selection.Candidate:
        load = self._loads[self.key(read.chooser, server)]
        candidate = server_selection.Candidate(
            server_id=str(server),
            same_zone=load_simulation.is_same_zone(read.chooser, server),
            same_region=run.is_same_region(read.chooser, server),
            is_primary=server == load_simulation.PRIMARY,
            expected_ms=0,
            in_flight=load.in_flight,
            slots=load_simulation.SLOTS,
            limit=load_simulation.SLOTS + load_simulation.QUEUE_LIMIT,
            avoided=run.now < self._avoid_until[read.chooser, server],
        )
        least_ms = server_selection.least_response_ms(candidate.same_region)
        return dataclasses.replace(
            candidate,
            expected_ms=max(load.expected_ms(run.now), least_ms),
            unloaded_ms=max(load.unloaded_ms(run.now), least_ms),
        )


class HolderKnowledge(EvenLoad):
    """The same, if daemons knew at once all that their holders know."""

    def key(self, chooser: int, server: int) -> tuple[int, ...]:
        """Return the key of the zone's holder that the daemon uses."""
        holder = chooser // load_simulation.ZONES % HOLDERS_PER_ZONE
        return load_simulation.zone_of(chooser), holder, server
