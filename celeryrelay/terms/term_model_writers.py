"""Steps of writers and of replication in the model check."""

from collections import abc

from celeryrelay.terms import term_model, write_permission

Fault = term_model.Fault
Steps = abc.Iterator[term_model.Step]
put = term_model.put

REPLACED = 'no write is acknowledged by a primary that has been replaced'
SURVIVES = 'a replicated acknowledged write survives'


class WriterSteps:
    """Steps of writers and of replication, and the promises to callers."""

    def __init__(
        self,
        bounds: term_model.Bounds,
        faults: abc.Set[Fault],
        observed: int,
    ) -> None:
        """Take the bounds and the rules that are switched off.

        Args:
            bounds: Bounds of the check.
            faults: Rules that are switched off.
            observed: Writer whose confirmations and acknowledgement are
                followed. Those of the others change nothing for it.
        """
        self._bounds = bounds
        self._observed = observed
        self._is_replicated = bounds.replicated[observed]
        self._faults = faults
        too_small = Fault.confirm_count_too_small in faults
        self._required = (
            write_permission.confirm_count(bounds.slots) - too_small
        )

    def steps(self, state: term_model.State) -> Steps:
        """Return the possible steps."""
        yield from self._replicate(state)
        for index, writer in enumerate(state.writers):
            if not writer.term:
                yield from self._commit(state, index)
            elif index == self._observed and not writer.acknowledged:
                yield from self._confirm(state, index)
                yield from self._acknowledge(state, index)

    def broken_promise(self, state: term_model.State) -> str:
        """Return the promise that does not hold in the state, or nothing."""
        if not state.store.is_open or not self._is_replicated:
            return ''
        writer = state.writers[self._observed]
        if writer.acknowledged and not _is_in_log(state, self._observed):
            return SURVIVES
        return ''

    def is_settled(self, state: term_model.State) -> bool:
        """Return whether no promise can be broken any more."""
        writer = state.writers[self._observed]
        last_term = self._bounds.last_term
        if not writer.term:
            return state.store.term == last_term and not any(
                slot.follows == number
                and slot.term < last_term
                and slot.term in state.store.opened
                for number, slot in enumerate(state.slots)
            )
        if writer.acknowledged:
            is_last = state.store.is_open and state.store.term == last_term
            return is_last or not self._is_replicated
        # A primary of the last term is never replaced.
        return writer.term == last_term or not self._can_acknowledge(state)

    def _can_acknowledge(self, state: term_model.State) -> bool:
        writer = state.writers[self._observed]
        if not self._is_replicated and self._has_window(state, writer):
            return True
        if Fault.confirm_without_term in self._faults:
            return True
        possible = sum(
            is_confirmed or slot.term <= writer.term
            for is_confirmed, slot in zip(
                writer.confirmed,
                state.slots,
                strict=True,
            )
        )
        return possible >= self._required

    def _replicate(self, state: term_model.State) -> Steps:
        for number, slot in enumerate(state.slots):
            if slot.follows in {term_model.NOBODY, number}:
                continue
            primary = state.slots[slot.follows]
            is_primary = primary.follows == slot.follows
            is_behind = len(slot.log) < len(primary.log)
            if is_primary and is_behind and primary.term == slot.term:
                log = primary.log[: len(slot.log) + 1]
                after = slot._replace(log=log)
                yield term_model.Step(
                    'slot {0} applies offset {1}'.format(number, len(log)),
                    term_model.with_slot(state, number, after),
                )

    def _commit(self, state: term_model.State, index: int) -> Steps:
        for number, slot in enumerate(state.slots):
            term = self._write_term(state, number)
            if term not in state.store.opened:
                continue
            log = (*slot.log, (term, index))
            yield self._step(
                term_model.with_slot(state, number, slot._replace(log=log)),
                index,
                self._committed(index, number, term, len(log)),
                'commits on slot {0} in term {1}'.format(number, term),
            )

    def _write_term(self, state: term_model.State, number: int) -> int:
        """Return the term in which the slot accepts writes; 0 if in none."""
        slot = state.slots[number]
        if slot.follows == number:
            return slot.term
        is_first_primary = number == 0 and slot.follows == term_model.NOBODY
        if Fault.commit_without_term in self._faults and is_first_primary:
            return term_model.FIRST_TERM
        return 0

    def _committed(
        self,
        index: int,
        primary: int,
        term: int,
        offset: int,
    ) -> term_model.Writer:
        unconfirmed = (False,) * self._bounds.slots
        if index != self._observed:
            # Only its log entry matters.
            return term_model.Writer(
                term_model.FIRST_TERM, 0, unconfirmed, True
            )
        confirmed = unconfirmed
        if Fault.commit_without_term in self._faults:
            confirmed = put(unconfirmed, primary, True)
        return term_model.Writer(term, offset, confirmed, False)

    def _confirm(self, state: term_model.State, index: int) -> Steps:
        writer = state.writers[index]
        for number, slot in enumerate(state.slots):
            if writer.confirmed[number]:
                continue
            if self._is_confirming(writer, slot):
                confirmed = put(writer.confirmed, number, True)
                yield self._step(
                    state,
                    index,
                    writer._replace(confirmed=confirmed),
                    'is confirmed by slot {0}'.format(number),
                )

    def _is_confirming(
        self,
        writer: term_model.Writer,
        slot: term_model.Slot,
    ) -> bool:
        any_term = Fault.confirm_without_term in self._faults
        if slot.term != writer.term and not any_term:
            return False
        if not self._is_replicated:
            return True
        if len(slot.log) < writer.offset:
            return False
        any_log_term = Fault.confirm_without_log_term in self._faults
        return any_log_term or slot.log[-1][0] == writer.term

    def _acknowledge(self, state: term_model.State, index: int) -> Steps:
        writer = state.writers[index]
        if not self._is_replicated and self._has_window(state, writer):
            kind = 'window'
        elif sum(writer.confirmed) >= self._required:
            kind = 'slots'
        else:
            return
        is_replaced = state.store.is_open and state.store.term > writer.term
        is_lost = is_replaced and not _is_in_log(state, index)
        unconfirmed = (False,) * self._bounds.slots
        after = writer._replace(acknowledged=True, confirmed=unconfirmed)
        yield self._step(
            state,
            index,
            after,
            'is acknowledged by {0}'.format(kind),
            REPLACED if is_lost else '',
        )

    def _has_window(
        self,
        state: term_model.State,
        writer: term_model.Writer,
    ) -> bool:
        return writer.term >= state.store.window_term

    def _step(
        self,
        state: term_model.State,
        index: int,
        writer: term_model.Writer,
        label: str,
        violation: str = '',
    ) -> term_model.Step:
        return term_model.Step(
            'writer {0} {1}'.format(index, label),
            term_model.State(
                state.store,
                state.slots,
                state.promoters,
                put(state.writers, index, writer),
            ),
            violation,
        )


def _is_in_log(state: term_model.State, index: int) -> bool:
    term = state.writers[index].term
    return (term, index) in state.slots[state.store.primary].log
