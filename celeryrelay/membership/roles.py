"""Selection of the daemons that play a role, by rendezvous hashing.

Weights depend on the instance only, so a daemon that restarts on the same
address gets its roles back.
"""

import itertools
from collections import abc

from celeryrelay.core import identity as identities
from celeryrelay.core import rendezvous

HOLDER_COUNT = 2
RELAY_COUNT = 2
PROMOTER_COUNT = 3
# Further zones that observe a primary.
OBSERVER_ZONES = 2

Members = abc.Iterable[identities.Identity]
SelectedDaemons = tuple[identities.Identity, ...]


def holders(
    group: str,
    slot_name: str,
    slot_zone: str,
    members: Members,
) -> SelectedDaemons:
    """Return the two holders of a slot, first choice first.

    Args:
        group: Name of the database group.
        slot_name: Name of the slot.
        slot_zone: Availability zone of the slot; if it has no live daemon,
            daemons of all zones are candidates.
        members: Live daemons.
    """
    members = tuple(members)
    candidates = _of_zone(slot_zone, members) or members
    key = 'slot/{0}/{1}'.format(group, slot_name)
    return _top(key, candidates, HOLDER_COUNT)


def relays(zone: str, members: Members) -> SelectedDaemons:
    """Return the two relays of `zone`, first choice first."""
    key = 'relay/{0}'.format(zone)
    return _top(key, _of_zone(zone, members), RELAY_COUNT)


def all_relays(members: Members) -> SelectedDaemons:
    """Return the relays of all zones of `members`."""
    by_zone: dict[str, list[identities.Identity]] = {}
    for member in members:
        by_zone.setdefault(member.availability_zone, []).append(member)
    return tuple(
        relay
        for zone in sorted(by_zone)
        for relay in relays(zone, by_zone[zone])
    )


def promoters(group: str, members: Members) -> SelectedDaemons:
    """Return the promoters of `group`, the one that waits least first."""
    return promoters_among(group, all_relays(members))


def promoters_among(group: str, candidates: Members) -> SelectedDaemons:
    """Return the promoters of `group` out of the relays of all zones.

    Saves the selection of the relays when many groups are looked at.
    """
    key = 'promote/{0}'.format(group)
    return _top(key, candidates, PROMOTER_COUNT)


def observers(
    group: str, primary_zone: str, members: Members
) -> SelectedDaemons:
    """Return the observers of a primary outside of its zone.

    Args:
        group: Name of the database group.
        primary_zone: Availability zone of the primary.
        members: Live daemons.

    Returns:
        One daemon of each of two further zones, fewer if there are fewer
        zones. The holders of the primary observe it as well.
    """
    members = tuple(members)
    key = 'observe/{0}'.format(group)
    zones = {member.availability_zone for member in members} - {primary_zone}
    further = rendezvous.top(key, zones, OBSERVER_ZONES)
    return tuple(
        itertools.chain.from_iterable(
            _top(key, _of_zone(zone, members), 1) for zone in further
        ),
    )


def _of_zone(zone: str, members: Members) -> SelectedDaemons:
    return tuple(
        member for member in members if member.availability_zone == zone
    )


def _top(key: str, candidates: Members, count: int) -> SelectedDaemons:
    by_instance = {member.instance: member for member in candidates}
    return tuple(
        by_instance[instance]
        for instance in rendezvous.top(key, by_instance, count)
    )
