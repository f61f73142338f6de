"""Which server of a group is believed to be the primary, and why."""

import dataclasses
import enum


class EvidenceSource(enum.StrEnum):
    """What a belief rests on."""

    registration = 'registration'
    answer = 'answer'


@dataclasses.dataclass(frozen=True, slots=True)
class PresumedPrimary:
    """A server that is taken as the primary.

    Attributes:
        server_id: The server.
        source: What the belief rests on.
        since: Time in seconds at which it was formed.
    """

    server_id: str
    source: EvidenceSource
    since: float


class PrimaryTracker:
    """Presumed primary of one group; the newest information wins."""

    def __init__(self) -> None:
        """Start without a belief."""
        self._presumed: PresumedPrimary | None = None

    @property
    def presumed(self) -> PresumedPrimary | None:
        """Current belief, None if no server is known to lead."""
        return self._presumed

    @property
    def server_id(self) -> str:
        """Server that is taken as the primary, empty if unknown."""
        return '' if self._presumed is None else self._presumed.server_id

    def on_registered(
        self,
        server_id: str,
        is_primary: bool,
        role_changed: bool,
        now: float,
    ) -> bool:
        """Note a registration.

        A promoted server changes its role. One that registers for the first
        time as the primary, or again, may have been replaced while it was cut
        off; it is believed only if no other server is.

        Args:
            server_id: The server.
            is_primary: Whether it says that it is the primary.
            role_changed: Whether it said something else before.
            now: Time in seconds.
        """
        if not is_primary:
            return self.on_not_primary(server_id)
        if role_changed or not self.server_id:
            return self._set_presumed(
                server_id, EvidenceSource.registration, now
            )
        return False

    def on_proved(self, server_id: str, now: float) -> bool:
        """Note an answer that only a primary gives."""
        return self._set_presumed(server_id, EvidenceSource.answer, now)

    def on_not_primary(self, server_id: str) -> bool:
        """Note that `server_id` does not lead or no longer exists."""
        if self.server_id != server_id or not server_id:
            return False
        self._presumed = None
        return True

    def _set_presumed(
        self, server_id: str, source: EvidenceSource, now: float
    ) -> bool:
        if self.server_id == server_id:
            return False
        self._presumed = PresumedPrimary(server_id, source, now)
        return True
