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
    """Return the `count` members with the highest weights, highest first."""
    ordered = sorted(
        members,
        key=lambda member: (weight(key, member), member),
        reverse=True,
    )
    return tuple(ordered[:count])


def order_by_capacity(
    key: str,
    capacities: abc.Mapping[str, float],
) -> tuple[str, ...]:
    """Return all members ordered by weighted score, highest first.

    The fraction of all keys for which a member comes first is proportional to
    its capacity.

    Args:
        key: Key to be assigned.
        capacities: Capacity of each member, greater than 0.
    """
    return tuple(
        sorted(
            capacities,
            key=lambda member: (
                _weighted_score(key, member, capacities),
                member,
            ),
            reverse=True,
        ),
    )


def _weighted_score(
    key: str,
    member: str,
    capacities: abc.Mapping[str, float],
) -> float:
    unit_hash = (weight(key, member) + 1) / (_WEIGHT_RANGE + 1)
    return -capacities[member] / math.log(unit_hash)
