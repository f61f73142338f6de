"""Numbers of the store that stay unique when it is restored from an older copy.

A restored store issues revisions and ids of leases again that it had issued
before, and counts its restorations in an era. Inside of the daemon such a number
includes the era in its upper bits, so that it is never used twice and a later
revision is larger. This holds for fencing tokens as well, which are revisions.
"""

import typing

# Upper bits hold the era. 2**40 changes are 35 years at 1,000 a second.
REVISION_BITS = 40
MAX_REVISION = 2**REVISION_BITS - 1
# Larger numbers lose digits where a program reads them as floats.
MAX_ERA = 2 ** (53 - REVISION_BITS) - 1
# Ids of leases use all bits of an integer. Packed ones are longer and never
# encoded.
LEASE_BITS = 63
MAX_LEASE_ID = 2**LEASE_BITS - 1


class StoreNumber(typing.NamedTuple):
    """A number as the store knows it, with its era."""

    era: int
    number: int


def pack(era: int, revision: int) -> int:
    """Return a revision with its era; 0 stands for none in all eras."""
    return _pack(era, revision, REVISION_BITS)


def unpack(packed: int) -> StoreNumber:
    """Return the era and the revision of the store."""
    return _unpack(packed, REVISION_BITS)


def pack_lease(era: int, lease_id: int) -> int:
    """Return the id of a lease with its era; 0 stands for none."""
    return _pack(era, lease_id, LEASE_BITS)


def unpack_lease(packed: int) -> StoreNumber:
    """Return the era and the id of the lease in the store."""
    return _unpack(packed, LEASE_BITS)


def _pack(era: int, number: int, bits: int) -> int:
    return era << bits | number if number else 0


def _unpack(packed: int, bits: int) -> StoreNumber:
    return StoreNumber(packed >> bits, packed & (2**bits - 1))
