"""Identity of a daemon."""

import dataclasses
import secrets

INCARNATION_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """A daemon as seen by its peers.

    Attributes:
        instance: Address of its peer listener, `host:port`.
        availability_zone: Name of the availability zone.
        incarnation: Random id of one run of the daemon; it is never reused.
    """

    instance: str
    availability_zone: str
    incarnation: str


def new_incarnation() -> str:
    """Return a new random incarnation."""
    return secrets.token_hex(INCARNATION_BYTES)
