"""Steps of promoters in the model check."""

from collections import abc

from celeryrelay.terms import term_model, write_permission

Fault = term_model.Fault
Steps = abc.Iterator[term_model.Step]
put = term_model.put


# One method per step of the protocol.
class PromoterSteps:  # noqa: WPS214
    """Steps of promoters."""

    def __init__(
        self,
        bounds: term_model.Bounds,
        faults: abc.Set[Fault],
    ) -> None:
        """Take the bounds and the rules that are switched off."""
        self._bounds = bounds
        self._faults = faults
        too_small = Fault.promote_count_too_small in faults
        self._quorum = max(
            1, write_permission.promote_count(bounds.slots) - too_small
        )

    def steps(self, state: term_model.State) -> Steps:
        """Return the possible steps."""
        for index, promoter in enumerate(state.promoters):
            match promoter.phase:
                case term_model.IDLE:
                    yield from self._close(state, index)
                case term_model.UNRESOLVED:
                    yield from self._resolve(state, index)
                case term_model.RAISING:
                    yield from self._raise(state, index)
                    yield from self._promote(state, index)
                case term_model.PROMOTED:
                    yield from self._open(state, index)
                    yield from self._follow(state, index)
                case term_model.ENDED:
                    yield from self._follow(state, index)

    def _close(self, state: term_model.State, index: int) -> Steps:
        store = state.store
        if store.term >= self._bounds.last_term:
            return
        term = store.term + 1
        closed = store._replace(term=term, is_open=False)
        promoter = state.promoters[index]
        raising = promoter._replace(phase=term_model.RAISING, term=term)
        yield term_model.Step(
            'promoter closes term {0}'.format(term),
            _with(state, index, raising, closed),
        )
        if not store.lost_left:
            return
        lost = closed._replace(lost_left=store.lost_left - 1)
        yield term_model.Step(
            'promoter closes term {0}, answer lost'.format(term),
            _with(state, index, self._unresolved(promoter, term), lost),
        )
        if Fault.continue_equal_record in self._faults:
            # The swap of another promoter comes first. Without the fault this
            # is a promoter that has not sent anything.
            unchanged = store._replace(lost_left=store.lost_left - 1)
            yield term_model.Step(
                'promoter sends closing of term {0}, no effect'.format(term),
                _with(
                    state,
                    index,
                    self._unresolved(promoter, term),
                    unchanged,
                ),
            )

    def _unresolved(
        self,
        promoter: term_model.Promoter,
        term: int,
    ) -> term_model.Promoter:
        # It reads the record and closes the next term, as an idle one does.
        if Fault.continue_equal_record in self._faults:
            return promoter._replace(phase=term_model.UNRESOLVED, term=term)
        return promoter

    def _resolve(self, state: term_model.State, index: int) -> Steps:
        store = state.store
        promoter = state.promoters[index]
        is_equal = store.term == promoter.term and not store.is_open
        if is_equal:
            yield term_model.Step(
                'promoter reads closed term {0}, continues in it'.format(
                    promoter.term,
                ),
                _with(
                    state,
                    index,
                    promoter._replace(phase=term_model.RAISING),
                    store,
                ),
            )
        elif store.term > promoter.term:
            yield from self._close(state, index)

    def _raise(self, state: term_model.State, index: int) -> Steps:
        promoter = state.promoters[index]
        lost_left = state.store.lost_left
        if not self._can_promote(state, promoter):
            # Raises alone only take steps away from the other processes.
            return
        for number, slot in enumerate(state.slots):
            is_raised = promoter.raised[number] != term_model.UNRAISED
            if is_raised or slot.term > promoter.term:
                continue
            raised = term_model.Slot(promoter.term, term_model.NOBODY, slot.log)
            after = term_model.with_slot(state, number, raised)
            label = 'slot {0} raised to term {1}'.format(number, promoter.term)
            yield term_model.Step(
                label,
                _with(
                    after,
                    index,
                    self._counted(promoter, number, slot),
                    state.store,
                ),
            )
            if lost_left and slot.term < promoter.term:
                store = state.store._replace(lost_left=lost_left - 1)
                yield term_model.Step(
                    '{0}, answer lost'.format(label),
                    after._replace(store=store),
                )

    def _can_promote(
        self,
        state: term_model.State,
        promoter: term_model.Promoter,
    ) -> bool:
        reachable = sum(
            position != term_model.UNRAISED or slot.term <= promoter.term
            for position, slot in zip(
                promoter.raised,
                state.slots,
                strict=True,
            )
        )
        return reachable >= self._quorum

    def _counted(
        self,
        promoter: term_model.Promoter,
        number: int,
        slot: term_model.Slot,
    ) -> term_model.Promoter:
        position = (_log_term(slot), len(slot.log))
        quorum = promoter.quorum
        if len(quorum) < self._quorum:
            quorum = tuple(sorted((*quorum, number)))
        return term_model.Promoter(
            promoter.phase,
            promoter.term,
            put(promoter.raised, number, position),
            quorum,
            promoter.chosen,
        )

    def _promote(self, state: term_model.State, index: int) -> Steps:
        promoter = state.promoters[index]
        if len(promoter.quorum) < self._quorum:
            return
        for chosen in self._candidates(promoter):
            if state.slots[chosen].term == promoter.term:
                yield self._promoted(state, index, chosen)

    def _promoted(
        self,
        state: term_model.State,
        index: int,
        chosen: int,
    ) -> term_model.Step:
        promoter = state.promoters[index]
        slot = state.slots[chosen]
        new_primary = slot._replace(follows=chosen)
        after = term_model.with_slot(state, chosen, new_primary)
        if promoter.raised[state.store.primary] == term_model.UNRAISED:
            after = self._wait(after, promoter)
        promoted = term_model.Promoter(
            term_model.PROMOTED,
            promoter.term,
            (term_model.UNRAISED,) * self._bounds.slots,
            (),
            chosen,
        )
        return term_model.Step(
            'slot {0} promoted in term {1}'.format(chosen, promoter.term),
            _with(after, index, promoted, after.store),
        )

    def _candidates(self, promoter: term_model.Promoter) -> list[int]:
        raised = [
            position
            for position in promoter.raised
            if position != term_model.UNRAISED
        ]
        best = max(raised)
        if Fault.promote_least_advanced in self._faults:
            best = min(raised)
        return [
            number
            for number, position in enumerate(promoter.raised)
            if position == best
        ]

    def _wait(
        self,
        state: term_model.State,
        promoter: term_model.Promoter,
    ) -> term_model.State:
        store = state.store
        writers = state.writers
        if Fault.no_closing_wait not in self._faults:
            expired = max(store.window_term, promoter.term)
            store = store._replace(window_term=expired)
        if Fault.no_confirm_wait not in self._faults:
            writers = tuple(
                self._expire(writer, promoter, is_replicated)
                for writer, is_replicated in zip(
                    writers,
                    self._bounds.replicated,
                    strict=True,
                )
            )
        return state._replace(store=store, writers=writers)

    def _expire(
        self,
        writer: term_model.Writer,
        promoter: term_model.Promoter,
        is_replicated: bool,
    ) -> term_model.Writer:
        if is_replicated or writer.term >= promoter.term:
            return writer
        return writer._replace(
            confirmed=tuple(
                is_confirmed and number not in promoter.quorum
                for number, is_confirmed in enumerate(writer.confirmed)
            ),
        )

    def _open(self, state: term_model.State, index: int) -> Steps:
        store = state.store
        promoter = state.promoters[index]
        if store.is_open or store.term != promoter.term:
            return
        opened = store._replace(
            is_open=True,
            primary=promoter.chosen,
            opened=(*store.opened, store.term),
        )
        yield term_model.Step(
            'term {0} opened with slot {1}'.format(
                promoter.term,
                promoter.chosen,
            ),
            _with(
                state,
                index,
                promoter._replace(phase=term_model.ENDED),
                opened,
            ),
        )

    def _follow(self, state: term_model.State, index: int) -> Steps:
        promoter = state.promoters[index]
        primary = state.slots[promoter.chosen]
        if primary.term != promoter.term:
            return
        for number, slot in enumerate(state.slots):
            if number == promoter.chosen or slot.term > promoter.term:
                continue
            following = term_model.Slot(
                promoter.term,
                promoter.chosen,
                _common(slot.log, primary.log),
            )
            if following != slot:
                yield term_model.Step(
                    'slot {0} follows slot {1} in term {2}'.format(
                        number,
                        promoter.chosen,
                        promoter.term,
                    ),
                    term_model.with_slot(state, number, following),
                )


def _with(
    state: term_model.State,
    index: int,
    promoter: term_model.Promoter,
    store: term_model.Store,
) -> term_model.State:
    # Promoters are alike, so their order is of no importance.
    promoters = tuple(sorted(put(state.promoters, index, promoter)))
    return term_model.State(store, state.slots, promoters, state.writers)


def _log_term(slot: term_model.Slot) -> int:
    return slot.log[-1][0] if slot.log else 0


def _common(
    log: tuple[term_model.Entry, ...],
    other: tuple[term_model.Entry, ...],
) -> tuple[term_model.Entry, ...]:
    length = 0
    for mine, theirs in zip(log, other, strict=False):
        if mine != theirs:
            break
        length += 1
    return log[:length]
