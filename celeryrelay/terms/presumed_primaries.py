"""The server of a group that a daemon presumes to be the primary, and why."""

import dataclasses
import enum


class PresumptionSource(enum.StrEnum):
    """What the presumption is based on.

    Attributes:
        registration: The registration of the server in the store.
        answer: An answer that only a primary gives.
    """

    registration = 'registration'
    answer = 'answer'


@dataclasses.dataclass(frozen=True, slots=True)
class PresumedPrimary:
    """The server that is presumed to be the primary.

    Attributes:
        server_id: Identifier of the server.
        source: What the presumption is based on.
        since: Time in seconds since which it is the presumed primary.
    """

    server_id: str
    source: PresumptionSource
    since: float


class PresumedPrimaryTracker:
    """Tracks the presumed primary of one group; the newest information wins."""

    def __init__(self) -> None:
        """Initialize without a presumed primary."""
        self._current: PresumedPrimary | None = None

    @property
    def current(self) -> PresumedPrimary | None:
        """The presumed primary; None if there is none."""
        return self._current

    @property
    def server_id(self) -> str:
        """Identifier of the presumed primary; empty if there is none."""
        return '' if self._current is None else self._current.server_id

    def on_registered(
        self,
        server_id: str,
        is_primary: bool,
        role_changed: bool,
        now: float,
    ) -> bool:
        """Process a registration of a server.

        Returns whether the presumed primary changed.

        A server whose role changed to primary was promoted, so it becomes the
        presumed primary. One that registers as the primary for the first time
        or again may have been replaced while it was partitioned, so it does
        only if there is no presumed primary.

        Args:
            server_id: Identifier of the server.
            is_primary: Whether the server registered as the primary.
            role_changed: Whether it was registered with the other role before.
            now: Time in seconds.
        """
        if not is_primary:
            return self.on_not_primary(server_id)
        if role_changed or not self.server_id:
            return self._set_current(
                server_id, PresumptionSource.registration, now
            )
        return False

    def on_primary_confirmed(
        self,
        server_id: str,
        now: float,
        sent_at: float | None = None,
    ) -> bool:
        """Process an answer that only a primary gives.

        Returns whether the presumed primary changed.

        Args:
            server_id: Identifier of the server.
            now: Time in seconds.
            sent_at: Time in seconds at which it was asked, `now` by default.
                An answer to an earlier question than the present presumption
                may come from a primary that was replaced meanwhile.
        """
        current = self._current
        if current and sent_at is not None and sent_at < current.since:
            return False
        return self._set_current(server_id, PresumptionSource.answer, now)

    def on_not_primary(self, server_id: str) -> bool:
        """Process information that a server is not the primary or is gone.

        Returns whether the presumed primary changed.
        """
        if self.server_id != server_id or not server_id:
            return False
        self._current = None
        return True

    def _set_current(
        self, server_id: str, source: PresumptionSource, now: float
    ) -> bool:
        if self.server_id == server_id:
            return False
        self._current = PresumedPrimary(server_id, source, now)
        return True
