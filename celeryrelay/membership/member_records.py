"""What a daemon knows about each other daemon."""

import dataclasses
import typing
from collections import abc

from celeryrelay.core import identity as identities

# At 250 restarts a day this remembers two weeks.
RETIRED_LIMIT = 4096


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """Last news of one daemon.

    Attributes:
        identity: The daemon.
        heard: Time of its last heartbeat.
        announced: Whether that heartbeat said that it is leaving.
        listed: Whether the platform's list had it as leaving when it last had
            it at all.
    """

    identity: identities.Identity
    heard: float
    announced: bool
    listed: bool

    @property
    def leaving(self) -> bool:
        """Whether the daemon is leaving."""
        return self.announced or self.listed


class MemberRecords:
    """Records by instance, each with the incarnation that is in force."""

    def __init__(self, suspect_after: float) -> None:
        """Call a daemon silent after `suspect_after` seconds."""
        self._suspect_after = suspect_after
        self._records: dict[str, MemberRecord] = {}
        # Whether an instance is leaving, for all instances on the list.
        self._listed: typing.Mapping[str, bool] = {}
        # Ordered, oldest first.
        self._retired: dict[identities.Identity, None] = {}

    def apply_list(self, listed: typing.Mapping[str, bool], now: float) -> None:
        """Apply a list; removes daemons that are silent and not on it."""
        self._listed = listed
        for instance, record in tuple(self._records.items()):
            record.listed = listed.get(instance, record.listed)
            gone = instance not in listed
            if gone and self.is_silent(record, now):
                self._records.pop(instance)

    def is_listed_leaving(self, instance: str) -> bool:
        """Return whether the list has `instance` as leaving."""
        return self._listed.get(instance, False)

    def is_retired(self, identity: identities.Identity) -> bool:
        """Return whether another incarnation replaced `identity`."""
        return identity in self._retired

    def is_silent(self, record: MemberRecord, now: float) -> bool:
        """Return whether the daemon of `record` is suspected."""
        return record.heard <= now - self._suspect_after

    def everyone(self) -> tuple[MemberRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def heard_lately(self, now: float) -> tuple[MemberRecord, ...]:
        """Return the records of daemons that are not silent."""
        # As `is_silent`, without a call for each of several hundred records.
        limit = now - self._suspect_after
        return tuple(
            record for record in self._records.values() if record.heard > limit
        )

    def refresh(self, heard: float, now: float) -> None:
        """Date all daemons that are not silent at `heard` or later."""
        for record in self.heard_lately(now):
            record.heard = max(record.heard, heard)

    def may_replace(self, identity: identities.Identity, heard: float) -> bool:
        """Return whether passed-on news are of the known incarnation or later.

        Random incarnations have no order. An unknown one counts as later when
        its heartbeat is newer by more than the delays on its way can explain.
        """
        record = self._records.get(identity.instance)
        if record is None or record.identity == identity:
            return True
        return heard - record.heard > self._suspect_after

    def merge(
        self,
        identity: identities.Identity,
        heard: float,
        *,
        announced: bool,
    ) -> None:
        """Apply a heartbeat of `identity`, retiring other incarnations."""
        record = self._records.get(identity.instance)
        if record is None or record.identity != identity:
            self._retire(record)
            listed = self.is_listed_leaving(identity.instance)
            record = MemberRecord(identity, heard, announced, listed)
            self._records[identity.instance] = record
        if heard > record.heard:
            record.heard = heard
            record.announced = announced

    def _retire(self, record: MemberRecord | None) -> None:
        if record is None:
            return
        self._retired[record.identity] = None
        if len(self._retired) > RETIRED_LIMIT:
            self._retired.pop(_oldest(self._retired))


def _oldest(retired: abc.Iterable[identities.Identity]) -> identities.Identity:
    return next(iter(retired))
