"""Periodic probing of one slot over a dedicated connection."""

import asyncio
import dataclasses
from collections import abc

import result

from celeryrelay.adapters import backends
from celeryrelay.conf import settings
from celeryrelay.core import clock, identity
from celeryrelay.terms import failure_detection

# Replicas are probed this many times less often than primaries: only the
# failure detection of primaries has to act within a second, and reads refresh
# the status of a replica when they need it.
REPLICA_FACTOR = 4
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class SlotStatus:
    """A slot's answer to `group_status`.

    Attributes:
        term: Term that the slot is in.
        role: 'primary', 'replica' or 'closed'.
        log_term: Term of the last entry in its replication log.
        applied: Log offset up to which it has applied all writes.
        sent_at: Monotonic send time of the call, in seconds.
    """

    term: int
    role: str
    log_term: int
    applied: int
    sent_at: float


class SlotProbe:
    """Calls `group_status` on one slot at a fixed interval.

    Attributes:
        address: How to connect to the slot.
        status: Last known status, which reads refresh as well.
        is_primary: Whether the slot is its group's primary.
        on_failure: Called after each failed probe.
        history: Results of the probes, for failure detection.
    """

    def __init__(
        self,
        address: backends.ConnectionParameters,
        options: settings.TermSettings,
        ticker: clock.Clock,
        own: identity.Identity,
    ) -> None:
        """Create a probe for the daemon `own`; `run` starts its loop."""
        self.address = address
        self.status: SlotStatus | None = None
        self.is_primary = True
        self.on_failure: abc.Callable[[], None] | None = None
        self.history = failure_detection.ProbeHistory(
            own.availability_zone,
            own.instance,
        )
        self._options = options
        self._clock = ticker
        self._connection: backends.BackendConnection | None = None

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                interval_s = self._interval_s()
                started = self._clock.monotonic()
                answered = await self.probe()
                self.history.on_probe(answered, self._clock.monotonic())
                if not answered and self.on_failure is not None:
                    self.on_failure()
                spent = self._clock.monotonic() - started
                await asyncio.sleep(max(interval_s - spent, 0))
        finally:
            self._disconnect()

    def _interval_s(self) -> float:
        interval_s = self._options.probe_interval_ms / _MS_PER_S
        return interval_s if self.is_primary else interval_s * REPLICA_FACTOR

    async def probe(self) -> bool:
        """Call the slot once and return whether it answered.

        The time-out is `probe_span_ms` rather than one probe interval, so that
        a slow slot still counts as alive.
        """
        match await self._connected():
            case result.Ok(connection):
                return await self._call(connection)
            case result.Err(failure):
                # A server that refuses the connection with an error code, such
                # as "too many connections", is alive.
                return failure.code != 0

    async def _call(self, connection: backends.BackendConnection) -> bool:
        sent_at = self._clock.monotonic()
        answered = await connection.query(
            'CALL group_status()',
            self._options.probe_span_ms,
        )
        status = parse_status(answered.unwrap_or([]), sent_at)
        if status is None:
            self._disconnect()
            return False
        self.status = status
        return True

    async def _connected(
        self,
    ) -> result.Result[
        backends.BackendConnection,
        backends.ConnectFailure,
    ]:
        if self._connection is not None and self._connection.healthy:
            return result.Ok(self._connection)
        connected = await backends.connect(
            self.address,
            self._options.probe_span_ms,
        )
        self._connection = connected.ok()
        return connected

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


def parse_status(
    rows: list[backends.Row],
    sent_at: float,
) -> SlotStatus | None:
    """Return the status in the rows of `group_status`, None without rows."""
    match rows:
        case [(_, term, role, log_term, applied), *_]:
            return SlotStatus(
                term=int(term or 0),
                role=str(role),
                log_term=int(log_term or 0),
                applied=int(applied or 0),
                sent_at=sent_at,
            )
    return None
