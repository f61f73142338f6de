"""Breadth-first exploration of all states of a small model."""

import collections
import dataclasses
import typing
from collections import abc

State = typing.TypeVar('State', bound=abc.Hashable)

DEFAULT_STATE_LIMIT = 500_000


class Step(typing.NamedTuple):
    """A step from one state to another.

    Attributes:
        label: Description of the step for traces.
        state: State after the step.
        violation: Invariant that the step violates; empty if none.
    """

    label: str
    state: typing.Any
    violation: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of an exploration.

    Attributes:
        states: Number of distinct states visited.
        is_complete: Whether all states were visited.
        violation: The first violated invariant; empty if none.
        trace: Labels of a shortest sequence of steps to the violation.
    """

    states: int
    is_complete: bool
    violation: str = ''
    trace: tuple[str, ...] = ()


def explore(
    initial: State,
    steps: abc.Callable[[State], abc.Iterable[Step]],
    state_limit: int = DEFAULT_STATE_LIMIT,
) -> Report:
    """Visit all states reachable from `initial`, up to the first violation.

    Args:
        initial: Initial state.
        steps: Function that returns the steps possible in a state.
        state_limit: Number of states after which to stop.
    """
    predecessors: dict[typing.Any, tuple[typing.Any, str]] = {
        initial: (None, '')
    }
    queue = collections.deque([initial])
    while queue and len(predecessors) < state_limit:
        state = queue.popleft()
        for step in steps(state):
            if step.violation:
                trace = (*_trace(predecessors, state), step.label)
                return Report(len(predecessors), False, step.violation, trace)
            if step.state not in predecessors:
                predecessors[step.state] = (state, step.label)
                queue.append(step.state)
    return Report(len(predecessors), is_complete=not queue)


def _trace(
    predecessors: abc.Mapping[typing.Any, tuple[typing.Any, str]],
    state: typing.Any,
) -> tuple[str, ...]:
    labels: list[str] = []
    while state is not None:
        state, label = predecessors[state]
        labels.append(label)
    return tuple(label for label in reversed(labels) if label)
