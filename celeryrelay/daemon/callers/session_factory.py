"""Gate for callers' connections."""

from celeryrelay.daemon.callers import session


class SessionFactory:
    """Opens sessions and knows callers' passwords."""

    def __init__(self, services: session.SessionServices) -> None:
        """Create the gate."""
        self._services = services

    def session(self, connection_id: int) -> session.Session:
        """Return the session of a new connection."""
        return session.Session(self._services, connection_id)

    def password_digest(self, user: str) -> str | None:
        """Return the password digest of a user's routes, None if unknown.

        Without any object set all users may connect; their statements are
        refused until a set arrives.
        """
        if self._services.delivery.fleet.published is None:
            return ''
        for route in self._services.preparer.routes().user_routes(user):
            return route.password_sha256
        return None
