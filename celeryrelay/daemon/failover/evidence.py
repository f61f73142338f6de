"""Probe results on primaries, collected from all observers."""

import dataclasses
from collections import abc

from celeryrelay.core import peer_messages
from celeryrelay.terms import failure_detection

# Evidence is dropped after this time; failure detection ignores older results.
MAX_AGE_S = 3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedEvidence:
    evidence: peer_messages.Evidence
    received_at: float


class EvidenceTable:
    """Newest probe summary of each observer on the primary of each group."""

    def __init__(self, instance: str) -> None:
        """Create an empty table for the daemon `instance`."""
        self._instance = instance
        self._received: dict[tuple[str, str], _ReceivedEvidence] = {}

    def record(self, found: peer_messages.Evidence, now: float) -> None:
        """Store this daemon's own newest evidence."""
        self._received[found.group, found.instance] = _ReceivedEvidence(
            found, now
        )

    def merge(
        self,
        entries: abc.Iterable[peer_messages.Evidence],
        now: float,
    ) -> None:
        """Store evidence from another daemon where it is newer.

        Own evidence that comes back through other daemons is ignored.
        """
        for entry in entries:
            key = (entry.group, entry.instance)
            received = self._received.get(key)
            own = entry.instance == self._instance
            if own or (received and _age_ms(received, now) <= entry.age_ms):
                continue
            self._received[key] = _ReceivedEvidence(entry, now)

    def own(
        self,
        now: float,
        requested_groups: abc.Set[str],
    ) -> tuple[peer_messages.Evidence, ...]:
        """Return own evidence with failures or on a requested group."""
        return tuple(
            _aged(received, now)
            for key, received in self._received.items()
            if key[1] == self._instance
            and (received.evidence.failures or key[0] in requested_groups)
        )

    def of_suspected(self, now: float) -> tuple[peer_messages.Evidence, ...]:
        """Drop expired evidence; return the rest on suspected groups."""
        self._drop_expired(now)
        groups = set(self.suspected_groups(now))
        return tuple(
            _aged(received, now)
            for key, received in self._received.items()
            if key[0] in groups
        )

    def suspected_groups(self, now: float) -> tuple[str, ...]:
        """Return the groups whose primary failed to answer an observer."""
        return tuple(
            sorted(
                {
                    key[0]
                    for key, received in self._received.items()
                    if received.evidence.failures
                    and now - received.received_at < MAX_AGE_S
                }
            ),
        )

    def summaries(
        self,
        group: str,
        slot: str,
        now: float,
    ) -> list[failure_detection.ProbeSummary]:
        """Return the evidence on one slot with its ages at `now`."""
        return [
            _summary(_aged(received, now))
            for key, received in self._received.items()
            if key[0] == group and received.evidence.slot == slot
        ]

    def _drop_expired(self, now: float) -> None:
        self._received = {
            key: received
            for key, received in self._received.items()
            if now - received.received_at < MAX_AGE_S
        }


def _age_ms(received: _ReceivedEvidence, now: float) -> float:
    return received.evidence.age_ms + (now - received.received_at) * _MS_PER_S


def _aged(received: _ReceivedEvidence, now: float) -> peer_messages.Evidence:
    elapsed_ms = (now - received.received_at) * _MS_PER_S
    answered = received.evidence.answered_age_ms
    return dataclasses.replace(
        received.evidence,
        age_ms=received.evidence.age_ms + elapsed_ms,
        answered_age_ms=None if answered is None else answered + elapsed_ms,
    )


def _summary(found: peer_messages.Evidence) -> failure_detection.ProbeSummary:
    return failure_detection.ProbeSummary(
        zone=found.zone,
        instance=found.instance,
        failures=found.failures,
        span_ms=found.span_ms,
        answered_age_ms=found.answered_age_ms,
        age_ms=found.age_ms,
    )
