"""A daemon's view of the daemons of its deployment and their states."""

import dataclasses
import enum
import hashlib
from collections import abc

from celeryrelay.conf import settings
from celeryrelay.core import identity as identities
from celeryrelay.membership import member_records

FINGERPRINT_BYTES = 8
MILLISECONDS = 1000

# Daemons, each with whether it is leaving.
FingerprintInput = tuple[tuple[identities.Identity, bool], ...]


class InstanceKind(enum.StrEnum):
    """Kind of process that runs on an instance of the platform's list."""

    entry = 'entry'
    database = 'database'


class InstanceState(enum.StrEnum):
    """State of an instance on the platform's list."""

    live = 'live'
    leaving = 'leaving'


class MemberState(enum.StrEnum):
    """State of a daemon in the view; only `live` daemons take roles."""

    live = 'live'
    suspected = 'suspected'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance of the platform's list.

    Attributes:
        instance: Name of the instance on the platform.
        address: `host:port` of the peer listener for an entry instance,
            `host:port` of the database server for a backend server.
        zone: Availability zone of the instance.
        kind: Kind of process that runs on it.
        state: Whether it is live or leaving.
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
    """Information about one daemon that a second daemon sends to a third.

    Attributes:
        identity: Identity of the daemon.
        age_ms: Time since its last heartbeat in milliseconds.
        leaving: Whether it is leaving.
    """

    identity: identities.Identity
    age_ms: float
    leaving: bool = False


class LiveView:
    """States of the daemons, from the platform's list and heartbeats.

    All times are monotonic seconds of this daemon's clock. A relayed heartbeat
    carries its age and is dated at the time of the request minus that age. Its
    age therefore never decreases when it is relayed, and two daemons that relay
    each other's digests can't keep a dead daemon live.
    """

    def __init__(
        self,
        control: settings.ControlSettings,
        own_identity: identities.Identity,
    ) -> None:
        """Start with this daemon as the only member."""
        self._own_identity = own_identity
        self._draining = False
        self._records = member_records.MemberRecords(
            control.suspect_after_ms / MILLISECONDS,
        )
        self._leaving_addresses: frozenset[str] = frozenset()
        self._fingerprint_input: FingerprintInput = ()
        self._fingerprint = ''

    def drain(self) -> None:
        """Mark this daemon as leaving; it takes no roles from now on."""
        self._draining = True

    def on_instance_list(
        self, entries: abc.Iterable[ListedInstance], now: float
    ) -> None:
        """Apply the platform's list of instances, as read at `now`.

        A daemon or backend server that was leaving and is no longer on the list
        counts as leaving until the list contains it as live.
        """
        entries = tuple(entries)
        self._records.apply_instance_list(
            _leaving_by_address(entries, 'entry'), now
        )
        servers = _leaving_by_address(entries, 'database')
        leaving = {address for address in servers if servers[address]}
        self._leaving_addresses = frozenset(
            leaving | (self._leaving_addresses - servers.keys()),
        )

    def on_leaving_servers(self, addresses: abc.Iterable[str]) -> None:
        """Replace the leaving backend servers by those a relay reported."""
        self._leaving_addresses = frozenset(addresses)

    def on_heartbeat(
        self,
        identity: identities.Identity,
        now: float,
        age_ms: float = 0,
        *,
        leaving: bool = False,
    ) -> bool:
        """Apply a heartbeat received directly from its sender.

        Args:
            identity: Identity of the sender.
            now: Time at which the heartbeat arrived.
            age_ms: Age of the heartbeat on arrival in milliseconds.
            leaving: Whether the sender announced that it is leaving.

        Returns:
            Whether the heartbeat was applied. If it was refused, another
            incarnation has replaced the sender, which has to take a new one.
        """
        if identity.instance == self._own_identity.instance:
            return identity == self._own_identity
        heartbeat_at = now - age_ms / MILLISECONDS
        if self._records.is_replaced(identity):
            return False
        if age_ms and not self._records.is_known_or_newer(
            identity, heartbeat_at
        ):
            return False
        self._records.apply_heartbeat(
            identity, heartbeat_at, announced_leaving=leaving
        )
        return True

    def on_digest(
        self,
        entries: abc.Iterable[DigestEntry],
        now: float,
    ) -> None:
        """Apply heartbeats that another daemon relayed.

        Entries of replaced incarnations are ignored, and so are entries whose
        incarnation may be older than the known one.

        Args:
            entries: Digest of the other daemon.
            now: Time at which the request for the digest was sent.
        """
        for entry in entries:
            identity = entry.identity
            if identity.instance == self._own_identity.instance:
                continue
            if self._records.is_replaced(identity):
                continue
            heartbeat_at = now - entry.age_ms / MILLISECONDS
            if self._records.is_known_or_newer(identity, heartbeat_at):
                self._records.apply_heartbeat(
                    identity, heartbeat_at, announced_leaving=entry.leaving
                )

    def on_fingerprint(
        self,
        fingerprint: str,
        oldest_age_ms: float,
        now: float,
    ) -> bool:
        """Refresh all heartbeats if a relay's view has the same fingerprint.

        Args:
            fingerprint: Fingerprint of the relay's view.
            oldest_age_ms: Largest heartbeat age of a live member in the relay's
                view.
            now: Time at which the request to the relay was sent.

        Returns:
            Whether the fingerprints agree. If not, a digest is needed.
        """
        if fingerprint != self.fingerprint(now):
            return False
        self._records.refresh(now - oldest_age_ms / MILLISECONDS, now)
        return True

    def live(self, now: float) -> tuple[identities.Identity, ...]:
        """Return the daemons that may take roles, sorted by instance."""
        return tuple(
            member.identity
            for member in self.members(now)
            if member.state == MemberState.live
        )

    def members(self, now: float) -> tuple[Member, ...]:
        """Return all known daemons including this one, sorted by instance."""
        own_state = MemberState.live
        if self._is_own_leaving():
            own_state = MemberState.leaving
        members = [Member(self._own_identity, own_state)]
        members.extend(
            Member(
                record.identity,
                _state(record, silent=self._records.is_silent(record, now)),
            )
            for record in self._records.all_records()
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
        """Return a digest of all daemons that are not silent.

        Args:
            now: Present time.
            availability_zone: Zone to which the digest is restricted; None for
                all zones.
        """
        entries = [DigestEntry(self._own_identity, 0, self._is_own_leaving())]
        entries.extend(
            DigestEntry(
                record.identity,
                max(now - record.last_heartbeat, 0) * MILLISECONDS,
                record.leaving,
            )
            for record in self._records.active(now)
        )
        return tuple(
            entry
            for entry in entries
            if availability_zone in {None, entry.identity.availability_zone}
        )

    def fingerprint(self, now: float) -> str:
        """Return a hash of all members that are not silent.

        Two daemons with equal fingerprints compute equal roles. A relay
        therefore sends the fingerprint instead of the digest while nothing
        changes.
        """
        members = tuple(
            (record.identity, record.leaving)
            for record in self._records.active(now)
        )
        members = ((self._own_identity, self._is_own_leaving()), *members)
        # The hash is cached, because it takes much longer than the comparison.
        if members != self._fingerprint_input:
            self._fingerprint_input = members
            self._fingerprint = _fingerprint(members)
        return self._fingerprint

    def oldest_age_ms(self, now: float) -> float:
        """Return the largest heartbeat age of all members not silent."""
        heartbeats = (
            record.last_heartbeat for record in self._records.active(now)
        )
        return max(now - min(heartbeats, default=now), 0) * MILLISECONDS

    def _is_own_leaving(self) -> bool:
        listed = self._records.is_listed_leaving(self._own_identity.instance)
        return self._draining or listed


def _fingerprint(members: FingerprintInput) -> str:
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
