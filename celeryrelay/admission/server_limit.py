"""Concurrency limit of one holder for a server that other holders use too.

Answers bursts in which the holders of a server, none of which sees the others,
together send it many more statements than it runs at a time. Each holder keeps
few statements in the server's queue, so that statements wait in the holders,
ordered by rank and deadline, and the server's queue does not fill up. Does no
I/O.
"""

import collections
import random
from collections import abc

# The baseline of a kind is its shortest response time in these periods, which
# cover a minute in which it occurred. Statements of a kind differ, but their
# shortest times are alike while the server's queue is empty.
BASELINE_PERIODS = 12
BASELINE_PERIOD_S = 5.0
# The least excess over the baseline of the last replies is taken as the wait in
# the server's queue. One long statement does not look like a full queue.
RECENT_REPLIES = 4
# Waits in the server's queue below which the limit rises and above which it
# falls. The shortest latency target is 500 ms. A fifth of it may pass in the
# server's queue, which ignores ranks.
LOW_WAIT_MS = 50.0
HIGH_WAIT_MS = 100.0
# Limit below which waits alone don't lower it. A holder in another region would
# otherwise leave its share of the server idle for a round trip after each
# statement.
MIN_LIMIT_BY_WAIT = 2
# Changes of the limit after one reply. From 1, a limit of 4 is reached after 12
# replies, within a second.
RAISE_STEP = 0.25
LOWER_STEP = 0.5
BUSY_FACTOR = 0.5
# Pause after a rejected statement. It doubles with each further one, so that a
# server that rejects everything gets few statements, and has jitter, so that
# the holders do not try again together.
MIN_PAUSE_S = 0.03
MAX_PAUSE_S = 0.5
PAUSE_JITTER = 0.5


class ResponseBaseline:
    """Shortest response time of one kind of statement in the last minute."""

    def __init__(self) -> None:
        """Start without samples."""
        self._shortest_ms: collections.deque[float] = collections.deque(
            maxlen=BASELINE_PERIODS,
        )
        self._period_end: float = 0

    def excess_ms(self, response_ms: float, now: float) -> float:
        """Record a response time and return how much longer it took."""
        if not self._shortest_ms or now >= self._period_end:
            self._shortest_ms.append(response_ms)
            self._period_end = now + BASELINE_PERIOD_S
        shortest_ms = min(self._shortest_ms[-1], response_ms)
        self._shortest_ms[-1] = shortest_ms
        return response_ms - min(self._shortest_ms)


class SharedServerLimit:
    """Concurrency limit that follows `BUSY` replies and response times.

    It never falls below 1, and below 2 only after `BUSY` replies. It rises while
    the server's queue is short, so a holder with all of the demand may use all of
    its connections.
    """

    def __init__(self, maximum: int, source: random.Random) -> None:
        """Start at the maximum.

        Args:
            maximum: Number of connections that the holder may open.
            source: Random source for the jitter of pauses.
        """
        self._maximum = max(maximum, 1)
        self._random = source
        self._limit = float(self._maximum)
        self._baselines: dict[abc.Hashable, ResponseBaseline]
        self._baselines = collections.defaultdict(ResponseBaseline)
        self._recent_ms: collections.deque[float] = collections.deque(
            maxlen=RECENT_REPLIES,
        )
        self._pause_s = MIN_PAUSE_S
        self._paused_until: float = 0

    @property
    def current(self) -> int:
        """Number of statements that may run at the same time."""
        return int(self._limit)

    @property
    def maximum(self) -> int:
        """Number of connections that the holder may open."""
        return self._maximum

    def permits(self, running: int, now: float) -> bool:
        """Return whether one more statement than `running` may start."""
        return running < self.current and now >= self._paused_until

    def resize(self, maximum: int) -> None:
        """Change the number of connections that the holder may open.

        A limit that was at its maximum stays there.
        """
        before = self._maximum
        self._maximum = max(maximum, 1)
        if self._limit >= before:
            self._limit = float(self._maximum)
        self._limit = min(self._limit, self._maximum)

    def on_sample(self, service_ms: float, ok: bool, now: float) -> None:
        """Ignore the sample of a ticket, which may span many statements."""

    def on_reply(
        self,
        kind: abc.Hashable,
        response_ms: float,
        now: float,
    ) -> None:
        """Record the reply to a statement that the server ran.

        Args:
            kind: Statements of one kind have comparable response times.
            response_ms: Time from the statement to its reply.
            now: Monotonic time in seconds.
        """
        self._pause_s = MIN_PAUSE_S
        excess_ms = self._baselines[kind].excess_ms(response_ms, now)
        self._recent_ms.append(excess_ms)
        wait_ms = min(self._recent_ms)
        if wait_ms < LOW_WAIT_MS:
            self._limit = min(self._limit + RAISE_STEP, self._maximum)
        elif wait_ms > HIGH_WAIT_MS:
            lowest = min(self._limit, MIN_LIMIT_BY_WAIT)
            self._limit = max(self._limit - LOWER_STEP, lowest)

    def on_busy(self, now: float) -> float:
        """Record that the server rejected a statement because it was full.

        Returns:
            Time in seconds until which no further statement starts.
        """
        if now < self._paused_until:
            # Rejected together with the statement that caused the pause.
            return self._paused_until
        self._limit = max(self._limit * BUSY_FACTOR, 1)
        jitter = self._random.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
        self._paused_until = now + self._pause_s * jitter
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
        return self._paused_until
