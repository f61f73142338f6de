"""Rendezvous (highest random weight) hashing."""

import hashlib
from collections import abc

WEIGHT_BYTES = 8


def weight(key: str, member: str) -> int:
    """Return the weight of `member` for `key`."""
    text = '{0}\0{1}'.format(key, member).encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest(),
    )


def top(key: str, members: abc.Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` members with the highest weight, highest first."""
    ordered = sorted(
        members,
        key=lambda member: (weight(key, member), member),
        reverse=True,
    )
    return tuple(ordered[:count])
