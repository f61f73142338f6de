"""Gate for callers' connections."""

from celeryrelay.daemon.callers import session


class Entry:
    """Opens sessions and knows callers' passwords."""

    def __init__(self, parts: session.SessionParts) -> None:
        """Create the gate."""
        self._parts = parts

    def session(self, connection_id: int) -> session.Session:
        """Return the session of a new connection."""
        return session.Session(self._parts, connection_id)

    def password_digest(self, user: str) -> str | None:
        """Return the password digest of a user's routes, None if unknown.

        Without any object set all users may connect; their statements are
        refused until a set arrives.
        """
        if self._parts.deliveries.fleet.published is None:
            return ''
        for route in self._parts.preparer.routes().user_routes(user):
            return route.password_sha256
        return None
