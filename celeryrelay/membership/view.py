"""Live view of the daemons of a deployment."""

import dataclasses
import enum
import hashlib
from collections import abc

from celeryrelay.conf import settings
from celeryrelay.core import identity as identities
from celeryrelay.membership import member_records

FINGERPRINT_BYTES = 8
MILLISECONDS = 1000

# Members with whether they are leaving.
LeavingMembers = tuple[tuple[identities.Identity, bool], ...]


class InstanceKind(enum.StrEnum):
    """What runs on an instance of the platform's list."""

    entry = 'entry'
    database = 'database'


class InstanceState(enum.StrEnum):
    """State of an instance on the platform's list."""

    live = 'live'
    leaving = 'leaving'


class MemberState(enum.StrEnum):
    """State of a daemon in the view; only `live` ones play roles."""

    live = 'live'
    suspected = 'suspected'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
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


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon with its state."""

    identity: identities.Identity
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class DigestEntry:
    """What one daemon tells another about a third.

    Attributes:
        identity: The daemon.
        age_ms: Time since its last heartbeat.
        leaving: Whether it is leaving.
    """

    identity: identities.Identity
    age_ms: float
    leaving: bool = False


class LiveView:
    """Daemons that are live according to the platform's list and heartbeats.

    All times are monotonic seconds of the owner's clock. A heartbeat that
    comes with an age is dated at the given time minus its age, so that an age
    never shrinks on its way and two daemons that repeat each other can't keep
    a dead one in the view.
    """

    def __init__(
        self,
        control: settings.ControlSettings,
        own: identities.Identity,
    ) -> None:
        """Start with the own daemon as the only member."""
        self._own = own
        self._draining = False
        self._records = member_records.MemberRecords(
            control.suspect_after_ms / MILLISECONDS,
        )
        self._leaving_addresses: frozenset[str] = frozenset()
        self._fingerprinted: LeavingMembers = ()
        self._fingerprint = ''

    def drain(self) -> None:
        """Take the own daemon out of all roles for good."""
        self._draining = True

    def on_instance_list(
        self, entries: abc.Iterable[ListedInstance], now: float
    ) -> None:
        """Apply a reading of the platform's list.

        A daemon or backend server that was leaving stays so when it drops off
        the list, until the list has it as live.
        """
        entries = tuple(entries)
        self._records.apply_list(_leaving_by_address(entries, 'entry'), now)
        servers = _leaving_by_address(entries, 'database')
        leaving = {address for address in servers if servers[address]}
        self._leaving_addresses = frozenset(
            leaving | (self._leaving_addresses - servers.keys()),
        )

    def on_leaving_servers(self, addresses: abc.Iterable[str]) -> None:
        """Replace the leaving backend servers by those that a relay told."""
        self._leaving_addresses = frozenset(addresses)

    def on_heartbeat(
        self,
        identity: identities.Identity,
        now: float,
        age_ms: float = 0,
        *,
        leaving: bool = False,
    ) -> bool:
        """Apply a heartbeat that the daemon itself sent.

        Args:
            identity: The sender.
            now: Time at which the heartbeat arrived.
            age_ms: Age of the heartbeat on arrival.
            leaving: Whether the sender says that it is leaving.

        Returns:
            Whether it was applied. A sender whose heartbeat is refused was
            replaced and has to take a new incarnation.
        """
        if identity.instance == self._own.instance:
            return identity == self._own
        heard = now - age_ms / MILLISECONDS
        if self._records.is_retired(identity):
            return False
        if age_ms and not self._records.may_replace(identity, heard):
            return False
        self._records.merge(identity, heard, announced=leaving)
        return True

    def on_digest(
        self,
        entries: abc.Iterable[DigestEntry],
        now: float,
    ) -> None:
        """Apply heartbeats that another daemon passed on.

        Entries of replaced incarnations, or that may be of an earlier one than
        the known one, are ignored.

        Args:
            entries: The other daemon's digest.
            now: Time at which the request for the digest was sent.
        """
        for entry in entries:
            identity = entry.identity
            if identity.instance == self._own.instance:
                continue
            if self._records.is_retired(identity):
                continue
            heard = now - entry.age_ms / MILLISECONDS
            if self._records.may_replace(identity, heard):
                self._records.merge(identity, heard, announced=entry.leaving)

    def on_fingerprint(
        self,
        fingerprint: str,
        oldest_age_ms: float,
        now: float,
    ) -> bool:
        """Apply a relay's statement that its view has `fingerprint`.

        Args:
            fingerprint: Fingerprint of the relay's view.
            oldest_age_ms: Largest age of a live member in the relay's view.
            now: Time at which the request to the relay was sent.

        Returns:
            False if the own view differs and a digest is needed.
        """
        if fingerprint != self.fingerprint(now):
            return False
        self._records.refresh(now - oldest_age_ms / MILLISECONDS, now)
        return True

    def live(self, now: float) -> tuple[identities.Identity, ...]:
        """Return the daemons that may play roles, sorted by instance."""
        return tuple(
            member.identity
            for member in self.members(now)
            if member.state == MemberState.live
        )

    def members(self, now: float) -> tuple[Member, ...]:
        """Return all known daemons, the own one included, by instance."""
        own_state = MemberState.live
        if self._is_own_leaving():
            own_state = MemberState.leaving
        members = [Member(self._own, own_state)]
        members.extend(
            Member(
                record.identity,
                _state(record, silent=self._records.is_silent(record, now)),
            )
            for record in self._records.everyone()
        )
        return tuple(
            sorted(members, key=lambda member: member.identity.instance),
        )

    def leaving_server_addresses(self) -> frozenset[str]:
        """Return the addresses of backend servers that are leaving."""
        return self._leaving_addresses

    def digest(
        self,
        now: float,
        availability_zone: str | None = None,
    ) -> tuple[DigestEntry, ...]:
        """Return what is known about daemons that are not silent.

        Args:
            now: Present time.
            availability_zone: Restricts the digest to one zone if given.
        """
        entries = [DigestEntry(self._own, 0, self._is_own_leaving())]
        entries.extend(
            DigestEntry(
                record.identity,
                max(now - record.heard, 0) * MILLISECONDS,
                record.leaving,
            )
            for record in self._records.heard_lately(now)
        )
        return tuple(
            entry
            for entry in entries
            if availability_zone in {None, entry.identity.availability_zone}
        )

    def fingerprint(self, now: float) -> str:
        """Return a digest of all members that are not silent.

        Two daemons with equal fingerprints compute equal roles, so a relay
        sends it in place of the whole digest while nothing changes.
        """
        members = tuple(
            (record.identity, record.leaving)
            for record in self._records.heard_lately(now)
        )
        members = ((self._own, self._is_own_leaving()), *members)
        # Hashing takes much longer than the comparison and is seldom needed.
        if members != self._fingerprinted:
            self._fingerprinted = members
            self._fingerprint = _fingerprint(members)
        return self._fingerprint

    def oldest_age_ms(self, now: float) -> float:
        """Return the largest heartbeat age of a member that isn't silent."""
        heard = (record.heard for record in self._records.heard_lately(now))
        return max(now - min(heard, default=now), 0) * MILLISECONDS

    def _is_own_leaving(self) -> bool:
        listed = self._records.is_listed_leaving(self._own.instance)
        return self._draining or listed


def _fingerprint(members: LeavingMembers) -> str:
    lines = sorted(
        '{0} {1} {2}'.format(identity.instance, identity.incarnation, leaving)
        for identity, leaving in members
    )
    return hashlib.blake2b(
        '\n'.join(lines).encode(),
        digest_size=FINGERPRINT_BYTES,
    ).hexdigest()


def _leaving_by_address(
    entries: abc.Iterable[ListedInstance],
    kind: str,
) -> dict[str, bool]:
    return {
        entry.address: entry.state == InstanceState.leaving
        for entry in entries
        if entry.kind == kind
    }


def _state(record: member_records.MemberRecord, *, silent: bool) -> MemberState:
    if record.leaving:
        return MemberState.leaving
    return MemberState.suspected if silent else MemberState.live
