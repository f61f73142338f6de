"""Evidence on primaries, this daemon's own and that of others."""

import dataclasses
from collections import abc

from celeryrelay.core import peer_messages
from celeryrelay.terms import failure_detection

# Older evidence can't decide anything any more.
KEEP_S = 3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    evidence: peer_messages.Evidence
    received_at: float


class EvidenceTable:
    """Newest evidence of each observer on each group."""

    def __init__(self, instance: str) -> None:
        """Create an empty table of the daemon `instance`."""
        self._instance = instance
        self._held: dict[tuple[str, str], _Held] = {}

    def note(self, found: peer_messages.Evidence, now: float) -> None:
        """Take this daemon's own newest evidence."""
        self._held[found.group, found.instance] = _Held(found, now)

    def take(
        self,
        entries: abc.Iterable[peer_messages.Evidence],
        now: float,
    ) -> None:
        """Take evidence that another daemon passed on."""
        for entry in entries:
            key = (entry.group, entry.instance)
            held = self._held.get(key)
            own = entry.instance == self._instance
            if own or (held and _age_ms(held, now) <= entry.age_ms):
                continue
            self._held[key] = _Held(entry, now)

    def own(
        self,
        now: float,
        asked: abc.Set[str],
    ) -> tuple[peer_messages.Evidence, ...]:
        """Return own evidence of failures, and on the groups asked for."""
        return tuple(
            _aged(held, now)
            for key, held in self._held.items()
            if key[1] == self._instance
            and (held.evidence.failures or key[0] in asked)
        )

    def everything(self, now: float) -> tuple[peer_messages.Evidence, ...]:
        """Return all fresh evidence on groups that are suspected."""
        self._forget(now)
        groups = set(self.suspected(now))
        return tuple(
            _aged(held, now)
            for key, held in self._held.items()
            if key[0] in groups
        )

    def suspected(self, now: float) -> tuple[str, ...]:
        """Return the groups whose primary did not answer some observer."""
        return tuple(
            sorted(
                {
                    key[0]
                    for key, held in self._held.items()
                    if held.evidence.failures
                    and now - held.received_at < KEEP_S
                }
            ),
        )

    def summaries(
        self,
        group: str,
        slot: str,
        now: float,
    ) -> list[failure_detection.ProbeSummary]:
        """Return the evidence on one slot, aged to the present."""
        return [
            _summary(_aged(held, now))
            for key, held in self._held.items()
            if key[0] == group and held.evidence.slot == slot
        ]

    def _forget(self, now: float) -> None:
        self._held = {
            key: held
            for key, held in self._held.items()
            if now - held.received_at < KEEP_S
        }


def _age_ms(held: _Held, now: float) -> float:
    return held.evidence.age_ms + (now - held.received_at) * _MS_PER_S


def _aged(held: _Held, now: float) -> peer_messages.Evidence:
    elapsed_ms = (now - held.received_at) * _MS_PER_S
    answered = held.evidence.answered_age_ms
    return dataclasses.replace(
        held.evidence,
        age_ms=held.evidence.age_ms + elapsed_ms,
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
