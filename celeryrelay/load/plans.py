"""Parameters of a load run, and parsing of their command-line forms."""

import dataclasses
from collections import abc

from celeryrelay.core import ranks

Rank = ranks.Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """TCP address of a listener of an entry instance."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """Temporary increase of the arrival rate of one rank.

    Attributes:
        rank: Rank of the statements.
        start_s: Start, in seconds after the start of the run.
        duration_s: Length in seconds.
        rate: Statements per second on top of the base rate.
    """

    rank: Rank
    start_s: float
    duration_s: float
    rate: float

    @property
    def end_s(self) -> float:
        """Return the end in seconds after the start of the run."""
        return self.start_s + self.duration_s


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of one load run.

    Attributes:
        targets: MySQL addresses of the entry instances.
        groups: Database groups; arrivals are spread evenly over them.
        rates: Statements per second by rank.
        duration_s: Time during which statements arrive.
        floods: Temporary increases of the rates.
        status_addresses: Peer addresses whose `GET /status` is asked for the
            numbers of reads served by primaries and replicas.
        fleet_key: Key that `GET /status` requires.
        callers: Connections for each pair of group and rank.
        roam_every: Statements after which a caller reconnects to another
            instance; 0 for never.
        user_pattern: User name with the placeholders `{group}` and `{rank}`.
        init_command: Statement run on each new connection; empty for none.
        statement_timeout_s: Time without an answer after which the outcome
            counts as unknown.
        drain_s: Time after the last arrival within which queued statements
            may still be sent.
        seed: Seed of the arrival times and of the other random choices.
    """

    targets: tuple[Address, ...]
    groups: tuple[str, ...]
    rates: abc.Mapping[Rank, float]
    duration_s: float = 10
    floods: tuple[Flood, ...] = ()
    status_addresses: tuple[Address, ...] = ()
    fleet_key: str = ''
    callers: int = 8
    roam_every: int = 20
    user_pattern: str = '{group}.{rank}'
    init_command: str = ''
    statement_timeout_s: float = 10
    drain_s: float = 10
    seed: int = 1

    def user(self, group: str, rank: Rank) -> str:
        """Return the user name for a group and a rank."""
        return self.user_pattern.format(group=group, rank=rank)


def parse_address(text: str) -> Address:
    """Parse an address of the form `HOST:PORT`.

    Raises:
        ValueError: The text does not have this form.
    """
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def parse_rates(texts: abc.Iterable[str]) -> dict[Rank, float]:
    """Parse rates of the form `RANK=RATE`.

    Raises:
        ValueError: A text does not have this form.
    """
    rates = {}
    for text in texts:
        name, rate = text.split('=')
        rates[Rank(name)] = float(rate)
    return rates


def parse_flood(text: str) -> Flood:
    """Parse a flood of the form `RANK:START_S:DURATION_S:RATE`.

    Raises:
        ValueError: The text does not have this form.
    """
    name, start, duration, rate = text.split(':')
    return Flood(Rank(name), float(start), float(duration), float(rate))
