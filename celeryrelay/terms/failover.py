"""Failover of one database group by one promoter."""

import enum
from collections import abc

import transitions

from celeryrelay.conf import settings
from celeryrelay.terms import (
    failover_messages,
    record_swap,
    records,
    slot_calls,
)

MS_PER_S = 1000

# A failover has to be complete within 6 s (section 1.4 of the design). What is
# left undone then is a closed record, which another attempt continues.
DEADLINE_MS = 6000


class Phase(enum.StrEnum):
    """Phases of a failover."""

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

# Trigger, permitted source phases, destination phase.
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
    """State machine that gives a group a new primary.

    `handle` takes one event and returns the commands to carry out. At most
    one command to the store is unanswered at a time. The caller reports each
    command to the store as stored, in conflict, read or lost, and each call to
    a slot as answered, failed or refused, and sends ticks in between.
    """

    def __init__(
        self,
        config: settings.TermSettings,
        slots: abc.Sequence[str],
        deadline_ms: float = DEADLINE_MS,
        leaving: abc.Container[str] = (),
    ) -> None:
        """Wait for the start event.

        Args:
            config: Timing of terms.
            slots: Names of all slots of the group.
            deadline_ms: Time after the start at which to give up.
            leaving: Names of the slots that are leaving; another one is
                promoted if it is as advanced.
        """
        self._settings = config
        self._slots = tuple(slots)
        self._leaving = leaving
        self._deadline_s = deadline_ms / MS_PER_S
        self._commands: list[failover_messages.Command] = []
        self._entered_at: dict[Phase, float] = {}
        # Open term whose primary doesn't answer; None if it was closed before.
        self._failed_term: int | None = None
        self._machine = transitions.Machine(
            states=Phase,
            initial=Phase.idle,
            transitions=[list(row) for row in _TRANSITIONS],
            auto_transitions=False,
        )

    @property
    def phase(self) -> Phase:
        """Return the present phase."""
        return self._machine.state

    def handle(
        self,
        event: failover_messages.Event,
        now: float,
    ) -> tuple[failover_messages.Command, ...]:
        """Take in an event at monotonic time `now` (s) and return commands."""
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
                self._when_swapping(event, now)

    def _when_idle(self, event: failover_messages.Event, now: float) -> None:
        if not isinstance(event, failover_messages.Start):
            return
        if event.record.state is records.TermState.open:
            self._failed_term = event.record.term
        self._adopt(event.record, event.revision, event.seen_at, now)
        self._dispatch(failover_messages.Tick(), now)

    def _when_watching(
        self, event: failover_messages.Event, now: float
    ) -> None:
        match event:
            case failover_messages.RecordRead(record, revision):
                if revision > self._revision:
                    self._adopt(record, revision, now, now)
            case failover_messages.Tick():
                age_ms = (now - self._seen_at) * MS_PER_S
                if age_ms >= self._settings.closed_takeover_ms:
                    self._close(self._record, self._revision, now)

    def _when_swapping(
        self, event: failover_messages.Event, now: float
    ) -> None:
        if self.phase is Phase.opening:
            self._commands.extend(self._follows.handle(event, now))
        outcome = self._swap.handle(event, now)
        match outcome:
            case record_swap.Stored(revision):
                self._swapped(revision, now)
            case record_swap.Changed():
                self._changed(outcome, now)
            case (
                failover_messages.SwapRecord() | failover_messages.ReadRecord()
            ):
                self._commands.append(outcome)

    def _swapped(self, revision: int, now: float) -> None:
        self._record = self._swap.record
        self._revision = revision
        if self.phase is Phase.opening:
            self._finish(now)
            return
        self._enter('raise', now)
        # A closed record names the primary of the last open term.
        self._raises = slot_calls.RaiseRound(
            self._record.term,
            self._record.primary,
            self._slots,
            now,
        )
        self._commands.extend(self._raises.first_commands())

    def _changed(self, change: record_swap.Changed, now: float) -> None:
        is_equal = change.record == self._swap.record
        if is_equal and self.phase is Phase.opening:
            # Only the promoter that closed a term opens it.
            self._swapped(change.revision, now)
        elif is_equal and change.uncertain:
            # Another promoter may have written the same closed record. Two
            # promoters in one term could promote two slots in it, so the next
            # term is closed at once.
            self._close(change.record, change.revision, now)
        else:
            self._adopt(change.record, change.revision, now, now)

    def _when_raising(self, event: failover_messages.Event, now: float) -> None:
        if _is_refusal(event, self._record):
            self._close(self._record, self._revision, now)
            return
        self._commands.extend(self._raises.handle(event, now))
        if self._raises.is_complete(self._settings, now):
            self._enter('promote', now)
            self._promotion = slot_calls.Promotion(
                self._raises.most_advanced(self._leaving),
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
            records.open_term(
                self._record,
                event.slot,
                event.applied,
                self._raises.log_term(event.slot),
            ),
            self._revision,
        )
        self._follows = slot_calls.FollowRound(
            event.term,
            event.slot,
            self._slots,
        )
        self._commands.append(self._swap.command())
        self._commands.extend(self._follows.first_commands())

    def _adopt(
        self,
        record: records.TermRecord,
        revision: int,
        seen_at: float,
        now: float,
    ) -> None:
        if record.state is records.TermState.closed:
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
        record: records.TermRecord,
        revision: int,
        now: float,
    ) -> None:
        self._enter('close', now)
        self._swap = record_swap.RecordSwap(
            records.close_term(record), revision
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
                    raising=_ms(raised_at, self._raises.quorum_at or raised_at),
                    promoting=_ms(promoted_at, opening_at),
                    opening=_ms(opening_at, now),
                ),
                record=self._record,
                revision=self._revision,
                not_following=self._follows.not_following,
                lost_positions=self._raises.lost_positions(
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
    event: failover_messages.Event, record: records.TermRecord
) -> bool:
    return (
        isinstance(event, failover_messages.SlotRefused)
        and event.term == record.term
    )


def _ms(start: float, end: float) -> float:
    return (end - start) * MS_PER_S
