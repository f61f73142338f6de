"""Servers of a group that may be promoted in place of its primary."""

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog, directory, promotion_choice

# Time for which a server is not chosen again after its promotion was refused.
PROMOTION_RETRY_S = 3.0


class PromotionCandidates:
    """Chooses among the registered servers of a group."""

    def __init__(
        self,
        server_directory: directory.Directory,
        clock: clocks.Clock,
    ) -> None:
        """Choose among the servers of `server_directory`."""
        self._directory = server_directory
        self._clock = clock
        self._log = json_log.get('failover')
        self._refused_until: dict[str, float] = {}

    def servers(self, group: str, presumed: str) -> list[catalog.Server]:
        """Return the servers of a group except for the primary `presumed`."""
        return [
            known.server
            for known in self._directory.servers(group)
            if known.server.server_id != presumed
        ]

    def on_refused(self, server_id: str) -> None:
        """Record that the platform refused to promote a server."""
        now = self._clock.monotonic()
        self._refused_until[server_id] = now + PROMOTION_RETRY_S

    def can_choose(
        self,
        group: catalog.Group,
        presumed: str,
        statuses: promotion_choice.Statuses,
    ) -> bool:
        """Return whether enough servers answered to choose a new primary."""
        silent = promotion_choice.silent_candidates(
            group, self._candidates(group.name, presumed), statuses
        )
        if silent is not None:
            self._log.info(
                'too few servers answered',
                group=group.name,
                answered=len(statuses),
                silent=silent,
            )
        return silent is None

    def choose(
        self,
        group: catalog.Group,
        presumed: str,
        statuses: promotion_choice.Statuses,
    ) -> str | None:
        """Return the server to promote, None if no choice is safe."""
        if not self.can_choose(group, presumed, statuses):
            return None
        return promotion_choice.choose(
            group, self._candidates(group.name, presumed), statuses
        )

    def _candidates(
        self,
        group: str,
        presumed: str,
    ) -> list[promotion_choice.Candidate]:
        now = self._clock.monotonic()
        return [
            promotion_choice.Candidate(
                known.server.server_id,
                known.draining_since is not None,
                self._refused_until.get(known.server.server_id, 0) > now,
            )
            for known in self._directory.servers(group)
            if known.server.server_id != presumed
        ]
