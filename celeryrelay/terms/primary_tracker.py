"""Which server of a group is believed to be the primary, and why."""

import dataclasses
import enum


class Source(enum.StrEnum):
    """What a belief rests on."""

    registration = 'registration'
    answer = 'answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """A server that is taken as the primary.

    Attributes:
        server_id: The server.
        source: What the belief rests on.
        since: Time in seconds at which it was formed.
    """

    server_id: str
    source: Source
    since: float


class Leadership:
    """Belief about the primary of one group; the newest information wins."""

    def __init__(self) -> None:
        """Start without a belief."""
        self._belief: Belief | None = None

    @property
    def belief(self) -> Belief | None:
        """Current belief, None if no server is known to lead."""
        return self._belief

    @property
    def server_id(self) -> str:
        """Server that is taken as the primary, empty if unknown."""
        return '' if self._belief is None else self._belief.server_id

    def on_registered(
        self,
        server_id: str,
        leads: bool,
        is_change: bool,
        now: float,
    ) -> bool:
        """Note a registration.

        A promoted server changes its role. One that registers for the first
        time as the primary, or again, may have been replaced while it was cut
        off; it is believed only if no other server is.

        Args:
            server_id: The server.
            leads: Whether it says that it is the primary.
            is_change: Whether it said something else before.
            now: Time in seconds.
        """
        if not leads:
            return self.on_denied(server_id)
        if is_change or not self.server_id:
            return self._believe(server_id, Source.registration, now)
        return False

    def on_proved(self, server_id: str, now: float) -> bool:
        """Note an answer that only a primary gives."""
        return self._believe(server_id, Source.answer, now)

    def on_denied(self, server_id: str) -> bool:
        """Note that `server_id` does not lead or no longer exists."""
        if self.server_id != server_id or not server_id:
            return False
        self._belief = None
        return True

    def _believe(self, server_id: str, source: Source, now: float) -> bool:
        if self.server_id == server_id:
            return False
        self._belief = Belief(server_id, source, now)
        return True
