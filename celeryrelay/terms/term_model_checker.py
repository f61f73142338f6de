"""Explicit-state model checker of the term protocol."""

import collections
import contextlib
import dataclasses
import gc
import typing
from collections import abc

from celeryrelay.terms import (
    term_model,
    term_model_promoters,
    term_model_symmetry,
    term_model_writers,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelOptions:
    """Options of a check.

    Attributes:
        bounds: Bounds within which every state is visited.
        faults: Faults that are present in the protocol.
        observed: Indexes of the writers that are observed; all if empty.
        stop_at_violation: Whether to stop at the first violation.
        state_limit: Number of states after which an incomplete check ends.
    """

    bounds: term_model.Bounds = term_model.Bounds()
    faults: frozenset[term_model.Fault] = frozenset()
    observed: tuple[int, ...] = ()
    stop_at_violation: bool = True
    state_limit: int = 2_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant with a shortest sequence of steps to it."""

    invariant: str
    trace: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelReport:
    """Result of a check.

    Attributes:
        states: Number of distinct states visited.
        is_complete: Whether all states within the bounds were visited.
        violations: The first violation of each invariant.
    """

    states: int
    is_complete: bool
    violations: tuple[Violation, ...]


class _Predecessor(typing.NamedTuple):
    """How a state was first reached.

    Attributes:
        state: State before the step.
        label: Label of the step.
        is_exchanged: Whether slots 1 and 2 were exchanged after the step.
    """

    state: term_model.State
    label: str
    is_exchanged: bool


def run(options: ModelOptions) -> ModelReport:
    """Visit all states breadth-first and report violated invariants.

    Each writer is observed in a separate search, since confirmations and
    acknowledgements of one writer don't affect another.
    """
    searches = []
    every_writer = range(len(options.bounds.replicated))
    for observed in options.observed or every_writer:
        search = _Search(options, observed)
        with _paused_garbage_collector():
            search.run()
        searches.append(search)
        if search.is_stopped():
            break
    return ModelReport(
        states=sum(len(search.predecessors) for search in searches),
        is_complete=not any(search.is_stopped() for search in searches),
        violations=tuple(
            violation
            for search in searches
            for violation in search.violations.values()
        ),
    )


@contextlib.contextmanager
def _paused_garbage_collector() -> abc.Iterator[None]:
    # All states stay referenced and form no cycles. With the garbage collector
    # enabled, its passes over them took a third of the time.
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class _Search:
    def __init__(self, options: ModelOptions, observed: int) -> None:
        self._options = options
        bounds = options.bounds
        self._promoters = term_model_promoters.PromoterSteps(
            bounds,
            options.faults,
        )
        self._writers = term_model_writers.WriterSteps(
            bounds,
            options.faults,
            observed,
        )
        initial = term_model.initial_state(bounds)
        self.predecessors: dict[term_model.State, _Predecessor | None] = {
            initial: None
        }
        self.queue = collections.deque([initial])
        self.violations: dict[str, Violation] = {}

    def run(self) -> None:
        while self.queue and not self.is_stopped():
            state = self.queue.popleft()
            for step in self._steps(state):
                self._visit(state, step)

    def is_stopped(self) -> bool:
        if self.violations and self._options.stop_at_violation:
            return True
        return len(self.predecessors) >= self._options.state_limit

    def _steps(self, state: term_model.State) -> abc.Iterator[term_model.Step]:
        yield from self._promoters.steps(state)
        yield from self._writers.steps(state)

    def _visit(self, state: term_model.State, step: term_model.Step) -> None:
        after, is_exchanged = term_model_symmetry.canonical(step.state)
        is_new = after not in self.predecessors and not self._is_dominated(
            after
        )
        if is_new:
            self.predecessors[after] = _Predecessor(
                state, step.label, is_exchanged
            )
        violated = step.violation or (
            is_new and self._writers.violated_invariant(after)
        )
        if violated and violated not in self.violations:
            last = _Predecessor(state, step.label, is_exchanged)
            self.violations[violated] = Violation(violated, self._trace(last))
        elif is_new and not self._writers.is_settled(after):
            self.queue.append(after)

    def _is_dominated(self, state: term_model.State) -> bool:
        """Return whether the same state with more faults left was visited.

        A lost answer that is still possible only adds steps, so all states
        that can be reached from `state` can be reached from the other one.
        """
        lost_answers = self._options.bounds.lost_answers
        if state.store.lost_answers_left == lost_answers:
            return False
        store = state.store._replace(lost_answers_left=lost_answers)
        return state._replace(store=store) in self.predecessors

    def _trace(self, last: '_Predecessor') -> tuple[str, ...]:
        path = []
        predecessor: _Predecessor | None = last
        while predecessor:
            path.append(predecessor)
            predecessor = self.predecessors[predecessor.state]
        labels = []
        is_exchanged = False
        for step in reversed(path):
            label = step.label
            labels.append(
                term_model_symmetry.exchange_label(label)
                if is_exchanged
                else label,
            )
            is_exchanged ^= step.is_exchanged
        return tuple(labels)
