"""The open sessions of a daemon, and how a planned stop closes them."""

import asyncio
import typing

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import outcomes
from celeryrelay.gateway import interfaces, services
from celeryrelay.gateway.sessions import session
from celeryrelay.sessions import statements

# Time for which opening a session waits for the configuration. Callers close a
# connection that stays silent for 2 s. A caller that is refused earlier makes
# a few retries at once, also to other daemons that are still starting.
OPEN_WAIT_S = 1.6


class _TrackedSession(session.Session):
    """A session that leaves its registry when its connection closes."""

    def __init__(
        self,
        caller: interfaces.CallerConnection,
        start: statements.SessionStart,
        registry: 'SessionRegistry',
    ) -> None:
        super().__init__(caller, start, registry.executors)
        self._registry = registry

    def on_connection_lost(self) -> None:
        super().on_connection_lost()
        self._registry.discard(self)


class SessionRegistry:
    """Opens sessions and tracks them until their connections close."""

    def __init__(self, shared: services.Services) -> None:
        """Run statements with the services `shared`."""
        self.executors = session.StatementExecutors(shared)
        self._shared = shared
        self._sessions: set[session.Session] = set()
        self._configured = asyncio.Event()
        self._waiting = 0
        self._log = json_log.get('session')

    @property
    def has_configuration(self) -> bool:
        """Whether the configuration was received, so that sessions can open."""
        return self._shared.directory.configuration is not None

    async def wait_for_configuration(self) -> None:
        """Wait for the configuration, for at most `OPEN_WAIT_S`."""
        self._waiting += 1
        try:
            async with asyncio.timeout(OPEN_WAIT_S):
                await self._configured.wait()
        except TimeoutError:
            self._log.info(
                'session not opened',
                cause='no configuration received yet',
                waited_s=OPEN_WAIT_S,
            )
        finally:
            self._waiting -= 1

    def on_configuration(self) -> None:
        """Let the sessions open that wait for the configuration."""
        if not self._configured.is_set():
            self._log.info(
                'configuration received, opening sessions',
                waiting=self._waiting,
            )
            self._configured.set()

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def __iter__(self) -> typing.Iterator[session.Session]:
        """Iterate over the sessions that are open now."""
        return iter(tuple(self._sessions))

    def open(
        self,
        caller: interfaces.CallerConnection,
        start: statements.SessionStart,
    ) -> session.Session | outcomes.NotRun:
        """Return a new session, or why it was refused."""
        configuration = self._shared.directory.configuration
        if configuration is None:
            return outcomes.NotRun(
                outcomes.Reason.no_configuration,
                'the daemon has not received its configuration yet',
                retry_after_ms=500,
            )
        route = configuration.routes.get(start.database)
        if route is None:
            return session.unknown_database(start.database)
        match self._shared.authorizer.authorize(route, start.key_digest):
            case result.Err(refusal):
                reason = refusal.reason.value
                self._log.info(
                    'session not opened', cause=reason, problem=refusal.message
                )
                self._shared.metrics.event('refused_{0}'.format(reason))
                return refusal
        opened = _TrackedSession(caller, start, self)
        self._sessions.add(opened)
        return opened

    def discard(self, closed_session: session.Session) -> None:
        """Remove a session whose connection has closed."""
        self._sessions.discard(closed_session)

    def close_idle(self, min_idle_s: float) -> None:
        """Close the sessions without a statement or transaction.

        Args:
            min_idle_s: Least time in seconds since the last answer; before
                that, the caller's next statement may be in transit.
        """
        for open_session in self:
            if open_session.idle and open_session.idle_s >= min_idle_s:
                open_session.close()

    def stop_accepting(self) -> None:
        """Start no more statements; end transactions that wait for callers.

        A transaction whose statement is running is ended after its answer.
        """
        self.executors.accepting = False
        for open_session in self:
            open_session.abort_transaction(session.PLANNED_STOP)
