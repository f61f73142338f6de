"""Live view of the daemons of a deployment."""

import dataclasses
import enum


class InstanceKind(enum.StrEnum):
    """What runs on an instance of the platform's list."""

    entry = 'entry'
    database = 'database'


class InstanceState(enum.StrEnum):
    """State of an instance or a daemon."""

    live = 'live'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListEntry:
    """One instance of the platform's list.

    Attributes:
        instance: Name of the instance on the platform.
        address: Its address: `host:port` of the peer listener for an entry
            instance, `host:port` of the server for a backend server.
        zone: Its availability zone.
        kind: What runs on it.
        state: Whether it stays or leaves.
    """

    instance: str
    address: str
    zone: str
    kind: InstanceKind
    state: InstanceState
