"""Creation of sessions for caller connections."""

from celeryrelay.daemon.callers import session


class SessionFactory:
    """Creates sessions and looks up password digests of callers."""

    def __init__(self, services: session.SessionServices) -> None:
        """Create a factory of sessions that share `services`."""
        self._services = services

    def session(self, connection_id: int) -> session.Session:
        """Return the session of a new connection."""
        return session.Session(self._services, connection_id)

    def password_digest(self, user: str) -> str | None:
        """Return the password digest of a user's routes, None if unknown.

        Before the first object set arrives all users may connect, without a
        password; their statements are refused until then.
        """
        if self._services.delivery.fleet.published is None:
            return ''
        for route in self._services.preparer.routes().user_routes(user):
            return route.password_sha256
        return None
