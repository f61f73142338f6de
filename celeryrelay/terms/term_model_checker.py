"""Explicit-state check of the term protocol."""

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
    """What to check.

    Attributes:
        bounds: Bounds within which every state is visited.
        faults: Rules that are switched off.
        observed: Writers that are observed; all if empty.
        stop_at_violation: Whether to stop at the first violation.
        state_limit: Number of states at which an incomplete check ends.
    """

    bounds: term_model.Bounds = term_model.Bounds()
    faults: frozenset[term_model.Fault] = frozenset()
    observed: tuple[int, ...] = ()
    stop_at_violation: bool = True
    state_limit: int = 2_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise with the shortest steps that lead to it."""

    promise: str
    trace: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelReport:
    """Result of a check.

    Attributes:
        states: Number of distinct states visited.
        is_complete: Whether all states within the bounds were visited.
        violations: The first violation of each promise.
    """

    states: int
    is_complete: bool
    violations: tuple[Violation, ...]


class _Origin(typing.NamedTuple):
    """The step that led to a state first."""

    state: term_model.State
    label: str
    is_exchanged: bool


def run(options: ModelOptions) -> ModelReport:
    """Visit all states breadth-first and report broken promises.

    Each writer is observed in a search of its own, since confirmations and
    acknowledgements of one writer change nothing for another.
    """
    searches = []
    every_writer = range(len(options.bounds.replicated))
    for observed in options.observed or every_writer:
        search = _Search(options, observed)
        with _paused_collector():
            search.run()
        searches.append(search)
        if search.is_stopped():
            break
    return ModelReport(
        states=sum(len(search.came_from) for search in searches),
        is_complete=not any(search.is_stopped() for search in searches),
        violations=tuple(
            violation
            for search in searches
            for violation in search.violations.values()
        ),
    )


@contextlib.contextmanager
def _paused_collector() -> abc.Iterator[None]:
    # All states stay alive and form no cycles; passes of the collector over
    # them took a third of the time.
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
        first = term_model.first_state(bounds)
        self.came_from: dict[term_model.State, _Origin | None] = {first: None}
        self.queue = collections.deque([first])
        self.violations: dict[str, Violation] = {}

    def run(self) -> None:
        while self.queue and not self.is_stopped():
            state = self.queue.popleft()
            for step in self._steps(state):
                self._visit(state, step)

    def is_stopped(self) -> bool:
        if self.violations and self._options.stop_at_violation:
            return True
        return len(self.came_from) >= self._options.state_limit

    def _steps(self, state: term_model.State) -> abc.Iterator[term_model.Step]:
        yield from self._promoters.steps(state)
        yield from self._writers.steps(state)

    def _visit(self, state: term_model.State, step: term_model.Step) -> None:
        after, is_exchanged = term_model_symmetry.canonical(step.state)
        is_new = after not in self.came_from and not self._is_dominated(after)
        if is_new:
            self.came_from[after] = _Origin(state, step.label, is_exchanged)
        broken = step.violation or (
            is_new and self._writers.broken_promise(after)
        )
        if broken and broken not in self.violations:
            last = _Origin(state, step.label, is_exchanged)
            self.violations[broken] = Violation(broken, self._trace(last))
        elif is_new and not self._writers.is_settled(after):
            self.queue.append(after)

    def _is_dominated(self, state: term_model.State) -> bool:
        """Return whether a state with more faults to come was visited.

        A fault that is still to come only adds possible steps, so what
        follows from `state` follows from the visited state as well.
        """
        lost_answers = self._options.bounds.lost_answers
        if state.store.lost_left == lost_answers:
            return False
        store = state.store._replace(lost_left=lost_answers)
        return state._replace(store=store) in self.came_from

    def _trace(self, last: '_Origin') -> tuple[str, ...]:
        origins = []
        origin: _Origin | None = last
        while origin:
            origins.append(origin)
            origin = self.came_from[origin.state]
        labels = []
        is_exchanged = False
        for step in reversed(origins):
            label = step.label
            labels.append(
                term_model_symmetry.exchange_label(label)
                if is_exchanged
                else label,
            )
            is_exchanged ^= step.is_exchanged
        return tuple(labels)
