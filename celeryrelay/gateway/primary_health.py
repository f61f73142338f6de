"""What one daemon saw of a group's primary."""

# Time for which a proof through another daemon counts.
DETOUR_S = 2.0


class PrimaryHealth:
    """What this daemon saw of a group's primary.

    Attributes:
        confirmed_at: When a primary last proved that it leads.
        failing_since: Start of the first failure since then, None if none.
        failures: Failures since then.
        overdue_since: When the oldest command without a reply was sent,
            None if replies come in time.
        server_id: Server that failed.
        detour_at: When it last proved through another daemon that it leads.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self.confirmed_at: float | None = None
        self.failing_since: float | None = None
        self.failures = 0
        self.overdue_since: float | None = None
        self.server_id = ''
        self.detour_at: float | None = None

    @property
    def is_failing(self) -> bool:
        """Whether this daemon did not reach the primary since a failure."""
        return self.failing_since is not None

    def is_reached(self, now: float) -> bool:
        """Return whether the primary can be used, maybe by a detour."""
        if self.failing_since is None:
            return True
        return self.uses_detour(now)

    def uses_detour(self, now: float) -> bool:
        """Return whether only other daemons reach the primary."""
        if self.failing_since is None or self.detour_at is None:
            return False
        return now - self.detour_at < DETOUR_S

    def on_confirmed(self, now: float) -> None:
        """Note that a primary proved that it leads."""
        self.confirmed_at = now
        self.failing_since = None
        self.overdue_since = None
        self.failures = 0
        self.server_id = ''

    def on_reply_overdue(self, sent_at: float) -> None:
        """Note that a command sent at `sent_at` has no reply yet."""
        if self.overdue_since is None:
            self.overdue_since = sent_at

    def on_unreachable(self, server_id: str, now: float) -> None:
        """Note that the primary was not reached.

        A command that is still without a reply counts as a failure as well.
        """
        if self.failing_since is None or server_id != self.server_id:
            suspected = self.overdue_since
            self.failing_since = now if suspected is None else suspected
            self.failures = 0 if suspected is None else 1
        self.server_id = server_id
        self.failures += 1
