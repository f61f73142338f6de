"""Random plan of the load and faults of one soak, generated from a seed."""

import dataclasses
import enum
import random


class FaultKind(enum.StrEnum):
    """Kind of an injected fault.

    `daemon_*` signal a daemon process, `store_*` affect the store or one
    daemon's link to it, and `server_*` affect a backend server or its link.
    `publish` publishes a new configuration. `start_*` restart a daemon and
    signal it in series, also while it starts.
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
    start_hangups = 'start_hangups'
    start_stops = 'start_stops'
    start_kills = 'start_kills'


START_KINDS = (
    FaultKind.start_hangups,
    FaultKind.start_stops,
    FaultKind.start_kills,
)
OTHER_KINDS = tuple(kind for kind in FaultKind if kind not in START_KINDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One injected fault.

    Attributes:
        kind: Kind of the fault.
        start_s: Start in seconds since the start of the load.
        duration_s: Duration in seconds.
        daemon: Index of the affected daemon.
        server: Index of the affected backend server; 0 stands for the primary
            at the start of the fault.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    daemon: int
    server: int


@dataclasses.dataclass(frozen=True, slots=True)
class SoakPlan:
    """Size and faults of one soak.

    Attributes:
        seed: Seed from which the plan was generated.
        daemons: Number of daemons.
        connections: Connections that a server accepts; with few of them,
            daemons forward statements to the daemons that hold connections.
        callers: Number of concurrent callers.
        faults_s: Time in seconds within which faults start, except those of
            starting daemons.
        faults: Faults in the order of their start.
        deposes_primaries: Whether a promotion deposes the old primary.
    """

    seed: int
    daemons: int
    connections: int
    callers: int
    faults_s: float
    faults: tuple[Fault, ...]
    deposes_primaries: bool = True


SERVERS = 3
# Numbers of daemons and of connections that a server accepts. With 22
# connections each daemon has its own; with 8 only some daemons, the holders,
# have connections.
DAEMONS_AND_CONNECTIONS = ((3, 22), (4, 22), (6, 8))
MIN_FAULTS = 4
MAX_FAULTS = 12
MIN_FAULT_DURATION_S = 0.3
MAX_FAULT_DURATION_S = 4.0
# The starts of daemons are disturbed after the other faults have started, so
# that they replace none of these.
MIN_START_FAULTS = 1
MAX_START_FAULTS = 3
START_FAULTS_S = 2.0


def generate(
    seed: int,
    faults_s: float,
    daemons: int = 0,
    deposes_primaries: bool = True,
) -> SoakPlan:
    """Return the plan that a seed determines.

    Args:
        seed: Seed of the random choices.
        faults_s: Time in seconds within which faults start.
        daemons: Number of daemons; if 0, the seed determines it.
        deposes_primaries: Whether a promotion deposes the old primary.
    """
    source = random.Random(seed)
    fleet = source.choice(DAEMONS_AND_CONNECTIONS)
    count = daemons or fleet[0]
    faults = [
        Fault(
            source.choice(OTHER_KINDS),
            source.uniform(0, faults_s),
            source.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S),
            source.randrange(count),
            source.randrange(SERVERS),
        )
        for _ in range(source.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    faults.extend(_generate_start_faults(seed, faults_s, count))
    return SoakPlan(
        seed=seed,
        daemons=count,
        connections=22 if daemons else fleet[1],
        callers=2 * count,
        faults_s=faults_s,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
        deposes_primaries=deposes_primaries,
    )


def _generate_start_faults(
    seed: int,
    begin_s: float,
    daemons: int,
) -> list[Fault]:
    """Return the disturbed starts, from a random source of their own.

    The other faults of a seed are the same with and without them.
    """
    source = random.Random(f'starts {seed}')
    return [
        Fault(
            source.choice(START_KINDS),
            begin_s + source.uniform(0, START_FAULTS_S),
            source.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S),
            source.randrange(daemons),
            server=0,
        )
        for _ in range(source.randint(MIN_START_FAULTS, MAX_START_FAULTS))
    ]
