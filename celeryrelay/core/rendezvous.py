"""Rendezvous (highest random weight) hashing."""

import hashlib
import math
from collections import abc

WEIGHT_BYTES = 8
_WEIGHT_RANGE = 1 << (8 * WEIGHT_BYTES)


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


def by_capacity(
    key: str,
    capacities: abc.Mapping[str, float],
) -> tuple[str, ...]:
    """Return all members in the order of their weights, highest first.

    A member comes first for a part of all keys in proportion to its capacity.

    Args:
        key: What is to be placed.
        capacities: Capacity of each member, above 0.
    """
    return tuple(
        sorted(
            capacities,
            key=lambda member: (_score(key, member, capacities), member),
            reverse=True,
        ),
    )


def _score(
    key: str,
    member: str,
    capacities: abc.Mapping[str, float],
) -> float:
    part = (weight(key, member) + 1) / (_WEIGHT_RANGE + 1)
    return -capacities[member] / math.log(part)
