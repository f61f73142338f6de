"""State machine of the failover of one database group.

It runs in the daemon that promotes a new primary, called the promoter, and
does no input or output itself.
"""

import enum
from collections import abc

import transitions

from celeryrelay.conf import settings
from celeryrelay.terms import (
    failover_messages,
    record_swap,
    slot_calls,
    term_records,
)

MS_PER_S = 1000

# A failover has to be complete within 6 s (section 1.4 of the design). One that
# is given up may leave a closed record, which the next failover takes over.
DEADLINE_MS = 6000


class Phase(enum.StrEnum):
    """Phases of a failover.

    Attributes:
        idle: Not started.
        watching: Another promoter has closed a term. It is taken over if that
            promoter doesn't open it within `closed_takeover_ms`.
        closing: The record of the next term is being stored as closed.
        raising: The slots are being raised to the closed term.
        promoting: The most advanced slot is being promoted.
        opening: The record is being stored as open, with the new primary.
        finished: The group has a new open term.
        given_up: The failover ended without a new term of its own.
    """

    idle = 'idle'
    watching = 'watching'
    closing = 'closing'
    raising = 'raising'
    promoting = 'promoting'
    opening = 'opening'
    finished = 'finished'
    given_up = 'given_up'


_ENDED = frozenset((Phase.finished, Phase.given_up))
_RUNNING = tuple(phase for phase in Phase if phase not in _ENDED)

# (trigger, permitted source phases, destination phase)
_TRANSITIONS = (
    ('watch', (Phase.idle, Phase.watching), Phase.watching),
    ('watch', (Phase.closing, Phase.opening), Phase.watching),
    ('close', (Phase.idle, Phase.watching, Phase.closing), Phase.closing),
    ('close', (Phase.raising, Phase.promoting), Phase.closing),
    ('raise', (Phase.closing,), Phase.raising),
    ('promote', (Phase.raising,), Phase.promoting),
    ('open', (Phase.promoting,), Phase.opening),
    ('finish', (Phase.opening,), Phase.finished),
    ('give_up', _RUNNING, Phase.given_up),
)


# One method per phase and step of the state machine.
class FailoverStateMachine:  # noqa: WPS214
    """State machine that replaces the primary of a group in a new term.

    `handle` processes one event and returns the commands to execute. At most
    one command to the store is waiting for its answer at a time. The caller
    reports the result of a command to the store as `SwapStored`,
    `SwapConflict`, `RecordRead` or `StoreAnswerLost`, and the result of a call
    to a slot as the matching `...Answered` or `...Failed` event or as
    `SlotRefused`. In between it sends `Tick` events.
    """

    def __init__(
        self,
        config: settings.TermSettings,
        slots: abc.Sequence[str],
        deadline_ms: float = DEADLINE_MS,
        leaving: abc.Container[str] = (),
    ) -> None:
        """Initialize in the idle phase, which a `Start` event ends.

        Args:
            config: Timing of terms.
            slots: Names of all slots of the group.
            deadline_ms: Time after the first event at which to give up.
            leaving: Names of the slots that are leaving. Such a slot is
                promoted only if no raised slot that stays is as advanced.
        """
        self._settings = config
        self._slots = tuple(slots)
        self._leaving = leaving
        self._deadline_s = deadline_ms / MS_PER_S
        self._commands: list[failover_messages.Command] = []
        self._entered_at: dict[Phase, float] = {}
        # Open term whose primary doesn't answer; None if the record was
        # already closed when the failover started.
        self._failed_term: int | None = None
        self._machine = transitions.Machine(
            states=Phase,
            initial=Phase.idle,
            transitions=[list(row) for row in _TRANSITIONS],
            auto_transitions=False,
        )

    @property
    def phase(self) -> Phase:
        """Current phase."""
        return self._machine.state

    def handle(
        self,
        event: failover_messages.Event,
        now: float,
    ) -> tuple[failover_messages.Command, ...]:
        """Process an event at monotonic time `now` (s) and return commands."""
        self._commands = []
        started_at = self._entered_at.setdefault(Phase.idle, now)
        is_late = now >= started_at + self._deadline_s
        if self.phase in _ENDED:
            return ()
        if is_late and isinstance(event, failover_messages.Tick):
            self._give_up(failover_messages.GiveUpReason.deadline, now)
        else:
            self._dispatch(event, now)
        return tuple(self._commands)

    def _dispatch(self, event: failover_messages.Event, now: float) -> None:
        match self.phase:
            case Phase.idle:
                self._when_idle(event, now)
            case Phase.watching:
                self._when_watching(event, now)
            case Phase.raising:
                self._when_raising(event, now)
            case Phase.promoting:
                self._when_promoting(event, now)
            case _:
                self._when_swapping_record(event, now)

    def _when_idle(self, event: failover_messages.Event, now: float) -> None:
        if not isinstance(event, failover_messages.Start):
            return
        if event.record.state is term_records.TermState.open:
            self._failed_term = event.record.term
        self._react_to_record(event.record, event.revision, event.seen_at, now)
        self._dispatch(failover_messages.Tick(), now)

    def _when_watching(
        self, event: failover_messages.Event, now: float
    ) -> None:
        match event:
            case failover_messages.RecordRead(record, revision):
                if revision > self._revision:
                    self._react_to_record(record, revision, now, now)
            case failover_messages.Tick():
                age_ms = (now - self._seen_at) * MS_PER_S
                if age_ms >= self._settings.closed_takeover_ms:
                    self._close(self._record, self._revision, now)

    def _when_swapping_record(
        self, event: failover_messages.Event, now: float
    ) -> None:
        if self.phase is Phase.opening:
            self._commands.extend(self._follow_round.handle(event, now))
        outcome = self._swap.handle(event, now)
        match outcome:
            case record_swap.Stored(revision):
                self._on_swap_stored(revision, now)
            case record_swap.Changed():
                self._on_record_changed(outcome, now)
            case (
                failover_messages.SwapRecord() | failover_messages.ReadRecord()
            ):
                self._commands.append(outcome)

    def _on_swap_stored(self, revision: int, now: float) -> None:
        self._record = self._swap.record
        self._revision = revision
        if self.phase is Phase.opening:
            self._finish(now)
            return
        self._enter('raise', now)
        # The primary in a closed record is that of the last open term.
        self._raise_round = slot_calls.RaiseTermRound(
            self._record.term,
            self._record.primary,
            self._slots,
            now,
        )
        self._commands.extend(self._raise_round.first_commands())

    def _on_record_changed(
        self, change: record_swap.Changed, now: float
    ) -> None:
        is_equal = change.record == self._swap.record
        if is_equal and self.phase is Phase.opening:
            # Only the promoter that closed a term opens it, so this promoter
            # stored the record, and the answer to that was lost.
            self._on_swap_stored(change.revision, now)
        elif is_equal and change.uncertain:
            # Either this promoter stored the closed record and lost the
            # answer, or another promoter stored an equal one. Two promoters
            # in the same term could promote two slots in it, so this one
            # closes the next term at once.
            self._close(change.record, change.revision, now)
        else:
            self._react_to_record(change.record, change.revision, now, now)

    def _when_raising(self, event: failover_messages.Event, now: float) -> None:
        if _is_refusal(event, self._record):
            self._close(self._record, self._revision, now)
            return
        self._commands.extend(self._raise_round.handle(event, now))
        if self._raise_round.is_complete(self._settings, now):
            self._enter('promote', now)
            self._promotion = slot_calls.Promotion(
                self._raise_round.most_advanced(self._leaving),
                self._record.term,
            )
            self._commands = [self._promotion.command()]

    def _when_promoting(
        self, event: failover_messages.Event, now: float
    ) -> None:
        promotion = self._promotion
        if isinstance(event, failover_messages.PromoteAnswered):
            if event.term == self._record.term:
                self._open(event, now)
            return
        self._commands.extend(promotion.handle(event, now))
        if _is_refusal(event, self._record) or promotion.is_exhausted:
            self._close(self._record, self._revision, now)

    def _open(
        self, event: failover_messages.PromoteAnswered, now: float
    ) -> None:
        self._enter('open', now)
        self._swap = record_swap.RecordSwap(
            term_records.open_term(
                self._record,
                event.slot,
                event.applied,
                self._raise_round.log_term(event.slot),
            ),
            self._revision,
        )
        self._follow_round = slot_calls.FollowRound(
            event.term,
            event.slot,
            self._slots,
        )
        self._commands.append(self._swap.command())
        self._commands.extend(self._follow_round.first_commands())

    def _react_to_record(
        self,
        record: term_records.TermRecord,
        revision: int,
        seen_at: float,
        now: float,
    ) -> None:
        if record.state is term_records.TermState.closed:
            self._record = record
            self._revision = revision
            self._seen_at = seen_at
            self._enter('watch', now)
        elif record.term == self._failed_term:
            self._close(record, revision, now)
        else:
            self._give_up(failover_messages.GiveUpReason.superseded, now)

    def _close(
        self,
        record: term_records.TermRecord,
        revision: int,
        now: float,
    ) -> None:
        self._enter('close', now)
        self._swap = record_swap.RecordSwap(
            term_records.close_term(record), revision
        )
        self._commands = [self._swap.command()]

    def _finish(self, now: float) -> None:
        entered_at = self._entered_at
        self._enter('finish', now)
        raised_at = entered_at[Phase.raising]
        promoted_at = entered_at[Phase.promoting]
        opening_at = entered_at[Phase.opening]
        self._commands.append(
            failover_messages.Finished(
                durations=failover_messages.StepDurations(
                    closing=_ms(entered_at[Phase.idle], raised_at),
                    waiting=_ms(raised_at, promoted_at),
                    raising=_ms(
                        raised_at, self._raise_round.quorum_at or raised_at
                    ),
                    promoting=_ms(promoted_at, opening_at),
                    opening=_ms(opening_at, now),
                ),
                record=self._record,
                revision=self._revision,
                not_following=self._follow_round.not_following,
                lost_positions=self._raise_round.lost_positions(
                    self._record.primary,
                ),
            ),
        )

    def _give_up(
        self, reason: failover_messages.GiveUpReason, now: float
    ) -> None:
        self._enter('give_up', now)
        self._commands = [failover_messages.GivenUp(reason)]

    def _enter(self, trigger: str, now: float) -> None:
        self._machine.trigger(trigger)
        self._entered_at[self.phase] = now


def _is_refusal(
    event: failover_messages.Event, record: term_records.TermRecord
) -> bool:
    return (
        isinstance(event, failover_messages.SlotRefused)
        and event.term == record.term
    )


def _ms(start: float, end: float) -> float:
    return (end - start) * MS_PER_S
