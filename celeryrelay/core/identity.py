"""Identity of a daemon."""

import dataclasses
import secrets

INCARNATION_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """A daemon as seen by its peers.

    Attributes:
        instance: Peer address, `host:port`.
        availability_zone: Name of the availability zone.
        incarnation: Random value of this start; it never comes back.
    """

    instance: str
    availability_zone: str
    incarnation: str


def new_incarnation() -> str:
    """Return a random incarnation."""
    return secrets.token_hex(INCARNATION_BYTES)
