"""All sessions of one daemon, and their end at a planned stop."""

import typing

from celeryrelay.core import outcomes
from celeryrelay.gateway import ports, services, session


class _TrackedSession(session.Session):
    """A session that tells its registry when its caller has gone."""

    def __init__(
        self,
        caller: ports.Caller,
        database: str,
        registry: 'Sessions',
    ) -> None:
        super().__init__(caller, database, registry.runners)
        self._registry = registry

    def on_lost(self) -> None:
        super().on_lost()
        self._registry.discard(self)


class Sessions:
    """Opens sessions and keeps them until their callers have gone."""

    def __init__(self, shared: services.Services) -> None:
        """Run statements with what `shared` gives."""
        self.runners = session.Runners(shared)
        self._shared = shared
        self._open: set[session.Session] = set()

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._open)

    def __iter__(self) -> typing.Iterator[session.Session]:
        """Iterate over the sessions that are open now."""
        return iter(tuple(self._open))

    def open(
        self,
        caller: ports.Caller,
        database: str,
    ) -> session.Session | outcomes.NotRun:
        """Return a new session, or why there is none."""
        known = self._shared.directory.catalog
        if known is None:
            return outcomes.NotRun(
                outcomes.Reason.no_configuration,
                'the configuration is not known yet',
                retry_after_ms=500,
            )
        if database not in known.routes:
            return session.unknown_database(database)
        opened = _TrackedSession(caller, database, self)
        self._open.add(opened)
        return opened

    def discard(self, lost: session.Session) -> None:
        """Forget a session whose caller has gone."""
        self._open.discard(lost)

    def close_idle(self) -> None:
        """Close the sessions that wait for a statement."""
        for found in self:
            if found.idle:
                found.close()

    def abort_transactions(self, why: str) -> None:
        """End the transactions whose callers have the word."""
        for found in self:
            found.abort_transaction(why)
