"""Reachability of a group's primary, as observed by this daemon."""

# How long a confirmation received through another daemon stays valid.
FALLBACK_VALID_S = 2.0


class PrimaryHealth:
    """Records whether this daemon reaches the primary of one group.

    All times are monotonic clock readings in seconds.

    Attributes:
        confirmed_at: When a server last confirmed, over a direct connection,
            that it is the primary; None before the first confirmation.
        failing_since: Start of the current series of failures, None if the
            last attempt succeeded.
        failures: Number of failures in the current series.
        overdue_since: When the oldest command whose reply is overdue was
            sent, None if no reply is overdue.
        server_id: Server that the current series of failures concerns; empty
            if nothing fails or the primary is unknown.
        fallback_confirmed_at: When a server last confirmed through another
            daemon that it is the primary; None before the first confirmation
            and after a connection through another daemon failed.
    """

    def __init__(self) -> None:
        """Create a record without any observation."""
        self.confirmed_at: float | None = None
        self.failing_since: float | None = None
        self.failures = 0
        self.overdue_since: float | None = None
        self.server_id = ''
        self.fallback_confirmed_at: float | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the primary has been unreachable directly since a failure."""
        return self.failing_since is not None

    def is_reachable(self, now: float) -> bool:
        """Return whether the primary is reachable, directly or through peers.

        A primary without a recorded failure counts as reachable.
        """
        if self.failing_since is None:
            return True
        return self.uses_fallback(now)

    def uses_fallback(self, now: float) -> bool:
        """Return whether the primary is reachable only through peers."""
        if self.failing_since is None or self.fallback_confirmed_at is None:
            return False
        return now - self.fallback_confirmed_at < FALLBACK_VALID_S

    def failing_since_of(self, server_id: str) -> float | None:
        """Return since when a server fails, None if the series is another's.

        Failures of a former primary say nothing about its successor.
        """
        is_same = self.server_id in {server_id, ''}
        return self.failing_since if is_same else None

    def on_confirmed(self, now: float) -> None:
        """Record a direct confirmation of the primary and clear failures."""
        self.confirmed_at = now
        self.failing_since = None
        self.overdue_since = None
        self.failures = 0
        self.server_id = ''

    def on_reply_overdue(self, sent_at: float) -> None:
        """Record that the reply to a command sent at `sent_at` is overdue."""
        if self.overdue_since is None:
            self.overdue_since = sent_at

    def on_unreachable(self, server_id: str, now: float) -> None:
        """Record a failure to reach the primary.

        The first failure of a series, or of another server, starts a new
        series. An overdue reply counts as one failure of that series, and the
        series then starts when the command was sent.
        """
        if self.failing_since is None or server_id != self.server_id:
            overdue_since = self.overdue_since
            self.failing_since = now if overdue_since is None else overdue_since
            self.failures = 0 if overdue_since is None else 1
        self.server_id = server_id
        self.failures += 1
