"""Log lines about refused operations, at most one a second for each account."""

import dataclasses

from celeryrelay.accounts import directory
from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks

LINE_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _Refusals:
    """Refusals of one account since its last line."""

    next_line_at: float = 0
    count: int = 0


class RefusalLog:
    """Logs refusals with the limit and the daemon that decided."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Limit the lines by the time of `clock`."""
        self._clock = clock
        self._refusals: dict[str, _Refusals] = {}
        self._log = json_log.get('quota')

    def on_refused(
        self,
        account: directory.ClientAccount,
        decided_by: str,
        retry_after_ms: int,
    ) -> None:
        """Count a refusal; log it unless the account had a line just now.

        Args:
            account: The account, which has a quota.
            decided_by: Name of the daemon that refused, `memory` for a refusal
                that was remembered, `share` if no owner was reached.
            retry_after_ms: Time after which the caller should retry.
        """
        now = self._clock.monotonic()
        known = self._refusals.setdefault(account.name, _Refusals())
        known.count += 1
        if now < known.next_line_at:
            return
        self._log.info(
            'operations refused by quota',
            account=account.name,
            rate_per_s=account.quota.rate_per_s,
            burst=account.quota.burst,
            decided_by=decided_by,
            refused=known.count,
            retry_after_ms=retry_after_ms,
        )
        self._refusals[account.name] = _Refusals(now + LINE_INTERVAL_S)
