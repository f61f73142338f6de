"""Breadth-first visit of all states of a small model."""

import collections
import dataclasses
import typing
from collections import abc

State = typing.TypeVar('State', bound=abc.Hashable)

DEFAULT_STATE_LIMIT = 500_000


class Step(typing.NamedTuple):
    """A step from one state to another.

    Attributes:
        label: What happens, for traces.
        state: The state afterwards.
        violation: The promise that the step breaks; empty if none.
    """

    label: str
    state: typing.Any
    violation: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a visit.

    Attributes:
        states: Number of distinct states.
        is_complete: Whether all states were visited.
        violation: The first broken promise; empty if none.
        trace: Shortest steps that lead to it.
    """

    states: int
    is_complete: bool
    violation: str = ''
    trace: tuple[str, ...] = ()


def explore(
    first: State,
    steps: abc.Callable[[State], abc.Iterable[Step]],
    state_limit: int = DEFAULT_STATE_LIMIT,
) -> Report:
    """Visit the states that follow from `first`, to the first violation."""
    came_from: dict[typing.Any, tuple[typing.Any, str]] = {first: (None, '')}
    queue = collections.deque([first])
    while queue and len(came_from) < state_limit:
        state = queue.popleft()
        for step in steps(state):
            if step.violation:
                trace = (*_trace(came_from, state), step.label)
                return Report(len(came_from), False, step.violation, trace)
            if step.state not in came_from:
                came_from[step.state] = (state, step.label)
                queue.append(step.state)
    return Report(len(came_from), is_complete=not queue)


def _trace(
    came_from: abc.Mapping[typing.Any, tuple[typing.Any, str]],
    state: typing.Any,
) -> tuple[str, ...]:
    labels: list[str] = []
    while state is not None:
        state, label = came_from[state]
        labels.append(label)
    return tuple(label for label in reversed(labels) if label)
