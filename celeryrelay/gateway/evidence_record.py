"""This daemon's evidence of the newest configuration, as its parts share it."""

from collections import abc

from celeryrelay.accounts import evidence
from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes
from celeryrelay.gateway import catalog, settings
from celeryrelay.gateway.links import link_messages
from celeryrelay.membership import store_pacing

# Time after which a refused caller may retry. The load balancer stops sending
# callers to a daemon that isn't ready after about 2 s.
RETRY_AFTER_MS = 500


class EvidenceRecord:
    """Evidence of the newest configuration, and what it permits.

    Attributes:
        evidence: The evidence.
        is_required: Whether statements with an API key need evidence.
    """

    def __init__(self, options: settings.Settings, clock: clocks.Clock) -> None:
        """Start without evidence."""
        self.evidence = evidence.ConfigurationEvidence(
            evidence.max_age_s(options.revoke_s)
        )
        self.is_required = options.needs_evidence
        self._revoke_s = options.revoke_s
        self._clock = clock
        self._was_present = False
        self._log = json_log.get('evidence')

    @property
    def is_fresh(self) -> bool:
        """Whether the evidence is too recent to need a read of the store."""
        age_s = self.age_s
        limit_s = self._revoke_s * store_pacing.EVIDENCE_FRESH_FRACTION
        return age_s is not None and age_s <= limit_s

    @property
    def age_s(self) -> float | None:
        """Age of the evidence in seconds, None without any."""
        return self.evidence.age_s(self._clock.monotonic())

    @property
    def permits(self) -> bool:
        """Whether statements with an API key may run now."""
        return not self.is_required or self.evidence.permits(
            self._clock.monotonic()
        )

    def answer(self, request_id: int) -> link_messages.EvidenceAnswer:
        """Return the evidence as answer to another daemon."""
        known = self.evidence.answer(self._clock.monotonic())
        return link_messages.EvidenceAnswer(
            request_id,
            known.version,
            None if known.age_s is None else known.age_s * 1000,
            known.newest_version,
        )

    def on_configuration(self, version: int) -> None:
        """Record the version in force."""
        self.evidence = self.evidence.on_configuration(version)

    def on_snapshot(
        self, sent_at: float, items: abc.Iterable[catalog.StoreChange]
    ) -> None:
        """Record a complete read of the store, sent at a time in seconds."""
        for listed in items:
            match listed:
                case catalog.Configuration(version):
                    self.on_confirmed(sent_at, version)

    def on_confirmed(self, sent_at: float, version: int) -> None:
        """Record a linearizable read, sent at a time in seconds."""
        self.evidence = self.evidence.on_confirmed(sent_at, version)
        self.log_change()

    def on_answer(
        self, asked_at: float, answer: link_messages.EvidenceAnswer
    ) -> None:
        """Record an answer to a question, sent at a time in seconds."""
        age_ms = answer.age_ms
        known = evidence.PeerEvidence(
            answer.version,
            None if age_ms is None else age_ms / 1000,
            answer.newest_version,
        )
        self.evidence = self.evidence.on_answer(asked_at, known)
        self.log_change()

    def log_change(self) -> bool:
        """Log whether evidence was lost or regained since the last call.

        Returns:
            Whether it was lost.
        """
        is_present = self.permits
        if not self.is_required or is_present is self._was_present:
            return False
        self._was_present = is_present
        known = self.evidence
        write = self._log.info if is_present else self._log.warning
        write(
            'evidence of the newest configuration {0}'.format(
                'present' if is_present else 'lost'
            ),
            age_s=self.age_s,
            max_age_s=known.max_age_s,
            confirmed_version=known.confirmed_version,
            version=known.in_force,
            newest_version=known.newest_version,
        )
        return not is_present

    def refusal(self) -> outcomes.NotRun:
        """Return the refusal of a statement for lack of evidence."""
        age_s = self.age_s
        since = 'never' if age_s is None else '{0:.2f} s ago'.format(age_s)
        return outcomes.NotRun(
            outcomes.Reason.no_evidence,
            'the configuration was last confirmed {0}, {1:.2f} s are '
            'permitted'.format(since, self.evidence.max_age_s),
            retry_after_ms=RETRY_AFTER_MS,
        )
