"""Heartbeats and leaving state of the other daemons of a deployment."""

import dataclasses
import typing
from collections import abc

from celeryrelay.core import identity as identities

# Number of replaced incarnations that are remembered: two weeks at 250 restarts
# a day.
MAX_REPLACED = 4096


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """Latest known state of one other daemon.

    Attributes:
        identity: Identity of the daemon.
        last_heartbeat: Monotonic time of its last heartbeat in seconds.
        announced_leaving: Whether that heartbeat announced that it is leaving.
        listed_leaving: Whether it was leaving when the platform's list last
            contained it.
    """

    identity: identities.Identity
    last_heartbeat: float
    announced_leaving: bool
    listed_leaving: bool

    @property
    def leaving(self) -> bool:
        """Whether the daemon is leaving."""
        return self.announced_leaving or self.listed_leaving


class MemberRecords:
    """Records of the other daemons, one for each instance.

    The record of an instance belongs to its current incarnation.
    """

    def __init__(self, suspect_after_s: float) -> None:
        """Suspect a daemon after `suspect_after_s` seconds without heartbeat."""
        self._suspect_after_s = suspect_after_s
        self._records: dict[str, MemberRecord] = {}
        # For each instance on the platform's list, whether it is leaving.
        self._listed: typing.Mapping[str, bool] = {}
        # Used as an ordered set, oldest first.
        self._replaced: dict[identities.Identity, None] = {}

    def apply_instance_list(
        self, listed: typing.Mapping[str, bool], now: float
    ) -> None:
        """Apply the platform's list of instances.

        Daemons that are silent and not on the list are removed.

        Args:
            listed: Instances on the list, with whether each is leaving.
            now: Monotonic time in seconds.
        """
        self._listed = listed
        for instance, record in tuple(self._records.items()):
            record.listed_leaving = listed.get(instance, record.listed_leaving)
            is_unlisted = instance not in listed
            if is_unlisted and self.is_silent(record, now):
                self._records.pop(instance)

    def is_listed_leaving(self, instance: str) -> bool:
        """Return whether `instance` is on the list and leaving."""
        return self._listed.get(instance, False)

    def is_replaced(self, identity: identities.Identity) -> bool:
        """Return whether another incarnation replaced `identity`."""
        return identity in self._replaced

    def is_silent(self, record: MemberRecord, now: float) -> bool:
        """Return whether the last heartbeat of a daemon is too long ago."""
        return record.last_heartbeat <= now - self._suspect_after_s

    def all_records(self) -> tuple[MemberRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def active(self, now: float) -> tuple[MemberRecord, ...]:
        """Return the records of daemons that are not silent."""
        # Inlines `is_silent` to avoid a call for each of several hundred
        # records.
        limit = now - self._suspect_after_s
        return tuple(
            record
            for record in self._records.values()
            if record.last_heartbeat > limit
        )

    def refresh(self, heartbeat_at: float, now: float) -> None:
        """Raise the last heartbeat of the daemons that are not silent.

        Args:
            heartbeat_at: Time that each of their heartbeats has at least.
            now: Monotonic time in seconds.
        """
        for record in self.active(now):
            record.last_heartbeat = max(record.last_heartbeat, heartbeat_at)

    def is_known_or_newer(
        self, identity: identities.Identity, heartbeat_at: float
    ) -> bool:
        """Return whether a relayed heartbeat is of the current incarnation.

        A newer incarnation counts as well. Incarnations are random and have no
        order, so an unknown one counts as newer if its heartbeat is newer than
        the last known one by more than the delays of relaying can explain.
        """
        record = self._records.get(identity.instance)
        if record is None or record.identity == identity:
            return True
        return heartbeat_at - record.last_heartbeat > self._suspect_after_s

    def apply_heartbeat(
        self,
        identity: identities.Identity,
        heartbeat_at: float,
        *,
        announced_leaving: bool,
    ) -> None:
        """Apply a heartbeat of `identity`, which replaces other incarnations.

        Args:
            identity: Sender of the heartbeat.
            heartbeat_at: Monotonic time of the heartbeat in seconds.
            announced_leaving: Whether the sender announced that it is leaving.
        """
        record = self._records.get(identity.instance)
        if record is None or record.identity != identity:
            self._mark_replaced(record)
            listed = self.is_listed_leaving(identity.instance)
            record = MemberRecord(
                identity, heartbeat_at, announced_leaving, listed
            )
            self._records[identity.instance] = record
        if heartbeat_at > record.last_heartbeat:
            record.last_heartbeat = heartbeat_at
            record.announced_leaving = announced_leaving

    def _mark_replaced(self, record: MemberRecord | None) -> None:
        if record is None:
            return
        self._replaced[record.identity] = None
        if len(self._replaced) > MAX_REPLACED:
            self._replaced.pop(_oldest(self._replaced))


def _oldest(replaced: abc.Iterable[identities.Identity]) -> identities.Identity:
    return next(iter(replaced))
