"""Backend servers of the simulation: slots, a bounded queue and connections."""

import collections
import dataclasses
import functools
import heapq
import itertools
import typing
from collections import abc

# Slot time that opening a connection takes.
OPEN_MS = 12.0


class Events:
    """Events of a simulation in the order of their times.

    Attributes:
        now: Time of the present event in seconds.
    """

    def __init__(self) -> None:
        """Start at time 0 without events."""
        self.now: float = 0
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._sequence = itertools.count()

    def after(self, delay_s: float, action: abc.Callable[[], None]) -> None:
        """Call `action` after `delay_s` seconds."""
        entry = (self.now + delay_s, next(self._sequence), action)
        heapq.heappush(self._heap, entry)

    def run(self) -> None:
        """Process all events."""
        while self._heap:
            at, _, action = heapq.heappop(self._heap)
            self.now = at
            action()


class Signal:
    """Something that a process waits for."""

    def __init__(self) -> None:
        """Start without a process that waits."""
        self._resume: abc.Callable[[typing.Any], None] | None = None

    def wait(self, resume: abc.Callable[[typing.Any], None]) -> None:
        """Call `resume` when the signal is sent."""
        self._resume = resume

    def send(self, content: typing.Any) -> None:
        """Resume the process that waits; without one, do nothing."""
        resume = self._resume
        self._resume = None
        if resume is not None:
            resume(content)


# A process yields the time in seconds that it sleeps, or a signal.
Process = abc.Generator[float | Signal, typing.Any, typing.Any]


def start_process(events: Events, process: Process) -> None:
    """Run a process from the present time on."""

    events.after(0, lambda: _resume(events, process, None))


def _resume(events: Events, process: Process, content: typing.Any) -> None:
    try:
        awaited = process.send(content)
    except StopIteration:
        return
    match awaited:
        case Signal():
            awaited.wait(functools.partial(_resume, events, process))
        case delay_s:
            events.after(delay_s, lambda: _resume(events, process, None))


class Task(typing.NamedTuple):
    """Work of a server.

    Attributes:
        work_ms: Time for which it occupies a slot.
        on_done: Called when it ends.
    """

    work_ms: float
    on_done: abc.Callable[[], None]


@dataclasses.dataclass(slots=True)
class ServerCounts:
    """What arrived at the servers.

    Attributes:
        arrivals: Statements that arrived.
        rejected: Statements that were answered with `BUSY`.
        resets: Connections beyond the limit, which were reset.
        largest_queue: Largest number of waiting statements.
    """

    arrivals: int = 0
    rejected: int = 0
    resets: int = 0
    largest_queue: int = 0


class ServerModel:
    """A server that runs up to `slots` statements and queues some more."""

    def __init__(
        self,
        events: Events,
        slots: int,
        queue_length: int,
        connection_limit: int,
        counts: ServerCounts,
    ) -> None:
        """Start idle, without connections.

        Args:
            events: Events of the simulation.
            slots: Statements that run at a time.
            queue_length: Statements that may wait; more are rejected.
            connection_limit: Connections that may be open; more are reset.
            counts: Counts of all servers.
        """
        self._events = events
        self._free = slots
        self._queue_length = queue_length
        self._connection_limit = connection_limit
        self._counts = counts
        self._waiting: collections.deque[Task] = collections.deque()
        self._connections = 0

    def submit(self, task: Task) -> bool:
        """Run or queue a statement; return False if it is rejected."""
        self._counts.arrivals += 1
        if not self._free and len(self._waiting) >= self._queue_length:
            self._counts.rejected += 1
            return False
        self._enqueue(task)
        return True

    def open_connection(self, on_open: abc.Callable[[], None]) -> bool:
        """Open a connection; return False if it is reset."""
        if self._connections >= self._connection_limit:
            self._counts.resets += 1
            return False
        self._connections += 1
        self._enqueue(Task(OPEN_MS, on_open))
        return True

    def _enqueue(self, task: Task) -> None:
        self._waiting.append(task)
        self._start_waiting()
        waiting = len(self._waiting)
        self._counts.largest_queue = max(self._counts.largest_queue, waiting)

    def _start_waiting(self) -> None:
        while self._free and self._waiting:
            self._free -= 1
            task = self._waiting.popleft()
            self._events.after(
                task.work_ms / 1000, functools.partial(self._finish, task)
            )

    def _finish(self, task: Task) -> None:
        self._free += 1
        task.on_done()
        self._start_waiting()
