"""Supervision of background tasks: a task that fails is started again."""

import asyncio
import typing
from collections import abc

from celeryrelay.adapters import json_log

RESTART_PAUSE_S = 0.5

BackgroundTask = abc.Callable[[], abc.Awaitable[typing.Any]]


async def run_forever(name: str, task: BackgroundTask) -> typing.NoReturn:
    """Run a background task until cancelled; start it again if it ends.

    Args:
        name: Name of the task in the log.
        task: The task, which does not end unless an unexpected error occurs.
    """
    log = json_log.get('daemon')
    while True:
        try:
            await task()
        except Exception as error:
            log.critical(
                'background task failed, starting it again',
                task=name,
                error=repr(error),
                exc_info=True,
            )
        await asyncio.sleep(RESTART_PAUSE_S)
