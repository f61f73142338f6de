"""Collects what a daemon knows of a group's primary, for its replacement."""

from celeryrelay.core import clock as clocks
from celeryrelay.core import rendezvous
from celeryrelay.gateway import complaints, services
from celeryrelay.terms import primary_replacement


class FactsCollector:
    """Collects the facts by which a primary is replaced."""

    def __init__(
        self,
        shared: services.Services,
        known_complaints: complaints.Complaints,
    ) -> None:
        """Collect from the services of a daemon and the complaints of peers."""
        self._shared = shared
        self._complaints = known_complaints

    def of(self, group: str) -> primary_replacement.Facts:
        """Return what this daemon knows of a group's primary."""
        shared = self._shared
        now = shared.clock.monotonic()
        health = shared.primaries.health[group]
        suspect = self.suspected_server(group)
        known = shared.directory.find_server(suspect)
        connected = shared.connection_sources.connected_daemons(suspect, group)
        complaining = self._complaints.of_peers(group, suspect) & connected
        office = shared.directory.offices.get(group)
        order_age_s = now - shared.directory.office_seen_at.get(group, now)
        is_own = office is not None and office.holder == shared.options.instance
        return primary_replacement.Facts(
            failing_s=clocks.age_s(health.failing_since_of(suspect), now),
            failures=health.failures,
            registered=known is not None and known.gone_since is None,
            draining_s=clocks.age_s(known.draining_since, now)
            if known
            else None,
            complaints=len(complaining),
            members=len(connected),
            is_voter=shared.options.instance in connected,
            turn=self._turn(group, complaining or connected),
            own_order_s=order_age_s if is_own else None,
            other_order_s=order_age_s if office and not is_own else None,
            holds_replicas=office is not None and office.hold_term > 0,
        )

    def suspected_server(self, group: str) -> str:
        """Return the presumed primary, or the last server that failed."""
        shared = self._shared
        presumed = shared.directory.presumed_primary(group).server_id
        return presumed or shared.primaries.health[group].server_id

    def _turn(self, group: str, names: frozenset[str]) -> int:
        """Return how many of the daemons `names` come before this one."""
        own_name = self._shared.options.instance
        ordered = rendezvous.top(group, names | {own_name}, len(names) + 1)
        return ordered.index(own_name)
