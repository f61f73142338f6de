"""All sessions of one daemon, and their end at a planned stop."""

import asyncio
import typing

from celeryrelay.adapters import json_log
from celeryrelay.core import outcomes
from celeryrelay.gateway import interfaces, services, session

# Time for which a session that is being opened waits for the configuration.
# Callers close a connection that stays silent for 2 s. One that is refused
# earlier comes back a few times at once, also to daemons that start too.
OPEN_WAIT_S = 1.6


class _TrackedSession(session.Session):
    """A session that tells its registry when its caller has gone."""

    def __init__(
        self,
        caller: interfaces.CallerConnection,
        database: str,
        registry: 'SessionRegistry',
    ) -> None:
        super().__init__(caller, database, registry.runners)
        self._registry = registry

    def on_connection_lost(self) -> None:
        super().on_connection_lost()
        self._registry.discard(self)


class SessionRegistry:
    """Opens sessions and keeps them until their callers have gone."""

    def __init__(self, shared: services.Services) -> None:
        """Run statements with what `shared` gives."""
        self.runners = session.Runners(shared)
        self._shared = shared
        self._open: set[session.Session] = set()
        self._known = asyncio.Event()
        self._waiting = 0
        self._log = json_log.get('session')

    @property
    def has_configuration(self) -> bool:
        """Whether the configuration is known."""
        return self._shared.directory.configuration is not None

    async def wait_for_configuration(self) -> None:
        """Wait for the configuration, for as long as a caller waits."""
        self._waiting += 1
        try:
            async with asyncio.timeout(OPEN_WAIT_S):
                await self._known.wait()
        except TimeoutError:
            self._log.info(
                'session not opened',
                cause='the configuration is not known yet',
                waited_s=OPEN_WAIT_S,
            )
        finally:
            self._waiting -= 1

    def on_configuration(self) -> None:
        """Open the sessions that wait for the configuration."""
        if not self._known.is_set():
            self._log.info('sessions may open', waiting=self._waiting)
            self._known.set()

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._open)

    def __iter__(self) -> typing.Iterator[session.Session]:
        """Iterate over the sessions that are open now."""
        return iter(tuple(self._open))

    def open(
        self,
        caller: interfaces.CallerConnection,
        database: str,
    ) -> session.Session | outcomes.NotRun:
        """Return a new session, or why there is none."""
        known = self._shared.directory.configuration
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

    def close_idle(self, quiet_s: float) -> None:
        """Close the sessions that wait for a statement.

        Args:
            quiet_s: Time in seconds for which nothing was sent to the caller.
                Its next statement may be on its way before that.
        """
        for found in self:
            if found.idle and found.quiet_s >= quiet_s:
                found.close()

    def abort_idle_transactions(self, why: str) -> None:
        """End the transactions whose callers have the word."""
        for found in self:
            found.abort_transaction(why)
