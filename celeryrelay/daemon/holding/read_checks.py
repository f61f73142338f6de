"""Check that a slot is current enough to serve a read of a session."""

from celeryrelay.adapters import backends
from celeryrelay.conf import settings
from celeryrelay.core import clock, outcomes, peer_messages
from celeryrelay.daemon.failover import probes
from celeryrelay.daemon.holding import replies
from celeryrelay.sessions import staleness


class ReadCheck:
    """Compares the status of one slot with the bound of a read."""

    def __init__(
        self,
        probe: probes.SlotProbe,
        age: staleness.ReplicaAgeEstimator,
        options: settings.StatementSettings,
        ticker: clock.Clock,
    ) -> None:
        """Create a check that uses and refreshes the status of `probe`."""
        self._probe = probe
        self._age = age
        self._options = options
        self._clock = ticker

    async def refusal(
        self,
        request: peer_messages.StatementRequest,
        connection: backends.BackendConnection,
    ) -> outcomes.NotRun | None:
        """Return why the slot can't serve the read, or None if it can.

        Waits for the slot to reach the bound if the last status has not.
        """
        known = self._probe.status
        if known is not None and self._judge(known, request) is None:
            return None
        refreshed = await self._refreshed(request, connection)
        if refreshed is None:
            return replies.lagging('the slot returned no status')
        self._probe.status = refreshed
        return self._judge(refreshed, request)

    def _judge(
        self,
        status: probes.SlotStatus,
        request: peer_messages.StatementRequest,
    ) -> outcomes.NotRun | None:
        bound = request.bound
        # The entry has checked the position only against the promotions that
        # it knows of, so a slot of a later term must not serve the read
        # either. A closed slot may hold other entries at the same offsets.
        if status.term != bound.term or status.role == 'closed':
            return replies.lagging(
                'the slot is closed or in another term than the read'
            )
        if status.role == 'replica' and status.applied < bound.offset:
            return replies.lagging(
                'the replica has not reached the session position',
            )
        if not self._is_fresh(status, request.max_age_ms):
            return replies.lagging(
                'the replica is staler than the stale-read rule allows',
            )
        return None

    def _is_fresh(
        self,
        status: probes.SlotStatus,
        max_age_ms: float | None,
    ) -> bool:
        if max_age_ms is None or status.role == 'primary':
            return True
        age_ms = self._age.age_ms(status.applied, self._clock.monotonic())
        return age_ms is not None and age_ms <= max_age_ms

    async def _refreshed(
        self,
        request: peer_messages.StatementRequest,
        connection: backends.BackendConnection,
    ) -> probes.SlotStatus | None:
        """Wait until the slot has applied the bound and return its status.

        The wait ends after the read_wait_ms of the request at the latest.
        """
        bound = request.bound
        await connection.query(
            'CALL group_wait({0}, {1}, {2})'.format(
                bound.term,
                bound.offset,
                int(request.read_wait_ms),
            ),
            request.read_wait_ms + self._options.progress_timeout_ms,
        )
        sent_at = self._clock.monotonic()
        answered = await connection.query(
            'CALL group_status()',
            self._options.progress_timeout_ms,
        )
        return probes.parse_status(answered.unwrap_or([]), sent_at)
