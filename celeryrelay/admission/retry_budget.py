"""Budget of retries."""

DEFAULT_RATIO = 0.1
DEFAULT_BURST = 10


class RetryBudget:
    """Permits retries up to a share of the requests.

    Each request adds `ratio` to the balance and each retry takes one. The
    balance never exceeds `burst`, so that a quiet hour does not pay for a
    flood of retries.
    """

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        burst: float = DEFAULT_BURST,
    ) -> None:
        """Start with a balance of `burst` retries."""
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    @property
    def available(self) -> bool:
        """Return whether a retry is permitted now."""
        return self._balance >= 1

    def on_request(self) -> None:
        """Note a first attempt."""
        self._balance = min(self._balance + self._ratio, self._burst)

    def take(self) -> bool:
        """Return whether a retry is permitted, and count it."""
        if not self.available:
            return False
        self._balance -= 1
        return True
