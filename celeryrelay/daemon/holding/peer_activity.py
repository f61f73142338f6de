"""Statements that a daemon runs for other daemons, observed for its stop."""

import contextlib
from collections import abc

from celeryrelay.core import clock, peer_messages

# Time without a statement of another daemon after which a stopping daemon
# assumes that all others know that it is stopping. A connection that closes
# earlier may carry a statement whose outcome its sender can't know.
QUIET_S = 0.5


class PeerActivity:
    """Counts the statements that other daemons have sent to this one."""

    def __init__(self, ticker: clock.Clock) -> None:
        """Create a record without any statement."""
        self._clock = ticker
        self._running = 0
        self._last_at: float | None = None

    @property
    def is_quiet(self) -> bool:
        """Whether no statement runs or has ended within `QUIET_S`."""
        if self._running:
            return False
        if self._last_at is None:
            return True
        return self._clock.monotonic() - self._last_at >= QUIET_S

    async def observe(
        self,
        lines: abc.AsyncGenerator[peer_messages.ResponseLine, None],
    ) -> abc.AsyncGenerator[peer_messages.ResponseLine, None]:
        """Yield the response lines of a statement of another daemon."""
        self._running += 1
        try:
            async with contextlib.aclosing(lines):
                async for line in lines:
                    yield line
        finally:
            self._running -= 1
            self._last_at = self._clock.monotonic()
