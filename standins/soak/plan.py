"""Faults of one soak, drawn from a seed."""

import dataclasses
import enum
import random


class Kind(enum.StrEnum):
    """What goes wrong.

    `daemon_*` are signals to a daemon; `store_*` faults of the store or of the
    way to it; `server_*` faults of a backend server or of the way to it.
    """

    daemon_kill = 'daemon_kill'
    daemon_freeze = 'daemon_freeze'
    daemon_stop = 'daemon_stop'
    daemon_settings = 'daemon_settings'
    store_down = 'store_down'
    store_slow = 'store_slow'
    store_loses_answers = 'store_loses_answers'
    store_forgets = 'store_forgets'
    store_cut = 'store_cut'
    store_silent = 'store_silent'
    publish = 'publish'
    server_dark = 'server_dark'
    server_busy = 'server_busy'
    server_lags = 'server_lags'
    server_deaf = 'server_deaf'
    server_loses_answers = 'server_loses_answers'
    server_slow = 'server_slow'
    server_delayed = 'server_delayed'
    server_reset = 'server_reset'
    server_silent = 'server_silent'
    server_cut_one_way = 'server_cut_one_way'
    server_cut_from_daemon = 'server_cut_from_daemon'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        kind: What goes wrong.
        at_s: Start, in seconds from the start of the load.
        for_s: How long it lasts.
        daemon: Number of the daemon that it concerns.
        server: Number of the backend server that it concerns; 0 is the one
            that leads when the fault begins.
    """

    kind: Kind
    at_s: float
    for_s: float
    daemon: int
    server: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One soak.

    Attributes:
        seed: Where it was drawn from.
        daemons: Number of daemons.
        connections: Connections that a server accepts; few of them let
            daemons work through each other.
        callers: Number of sessions.
        faults_s: Time in which faults begin.
        faults: The faults, by their start.
    """

    seed: int
    daemons: int
    connections: int
    callers: int
    faults_s: float
    faults: tuple[Fault, ...]


SERVERS = 3
# Daemons and connections: each daemon with connections of its own, and holders.
SHAPES = ((3, 22), (4, 22), (6, 8))
MIN_FAULTS = 4
MAX_FAULTS = 12
MIN_FAULT_S = 0.3
MAX_FAULT_S = 4.0


def draw(seed: int, faults_s: float, daemons: int = 0) -> Plan:
    """Return the soak of a seed.

    Args:
        seed: The seed.
        faults_s: Time in which faults begin.
        daemons: Number of daemons; 0 lets the seed choose.
    """
    source = random.Random(seed)
    shape = source.choice(SHAPES)
    count = daemons or shape[0]
    faults = [
        Fault(
            source.choice(list(Kind)),
            source.uniform(0, faults_s),
            source.uniform(MIN_FAULT_S, MAX_FAULT_S),
            source.randrange(count),
            source.randrange(SERVERS),
        )
        for _ in range(source.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    return Plan(
        seed=seed,
        daemons=count,
        connections=22 if daemons else shape[1],
        callers=2 * count,
        faults_s=faults_s,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )
