"""Direct probes of a primary that only other daemons reach."""

import asyncio
import typing
from collections import abc

from celeryrelay.adapters import json_log
from celeryrelay.gateway import catalog

# Interval of direct probes while the primary is reached through other daemons.
INTERVAL_S = 0.3

Probe = abc.Callable[[catalog.Server], abc.Awaitable[bool]]
Condition = abc.Callable[[catalog.Server], bool]


class DirectProbes:
    """Probes primaries until this daemon reaches them by itself again."""

    def __init__(self, probe: Probe, is_needed: Condition) -> None:
        """Call `probe` as long as `is_needed` returns true for a server."""
        self._probe = probe
        self._is_needed = is_needed
        self._tasks: dict[str, asyncio.Task[typing.Any]] = {}
        self._log = json_log.get('primary')

    def start(self, server: catalog.Server) -> None:
        """Start to probe the primary of a group, if that is not under way."""
        running = self._tasks.get(server.group)
        if running is not None and not running.done():
            return
        self._log.warning(
            'primary is reached through other daemons',
            group=server.group,
            server=server.server_id,
        )
        task = asyncio.create_task(self._run(server))
        task.add_done_callback(self._on_task_done)
        self._tasks[server.group] = task

    def stop(self) -> None:
        """Cancel all probes."""
        for task in self._tasks.values():
            task.cancel()

    async def _run(self, server: catalog.Server) -> None:
        while self._is_needed(server):
            await asyncio.sleep(INTERVAL_S)
            if await self._probe(server):
                self._log.info('primary is reached again', group=server.group)

    def _on_task_done(self, task: asyncio.Task[typing.Any]) -> None:
        """Log an unexpected error; the next failure starts a new task."""
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                'unexpected error in direct probes',
                error=repr(task.exception()),
            )
