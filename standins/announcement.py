"""Start-up announcement and signal handling of the stand-in programs."""

import asyncio
import json
import signal
import sys
import typing
from collections import abc


async def announce_and_wait(listening: abc.Mapping[str, typing.Any]) -> None:
    """Print the listening addresses as JSON and wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    line = json.dumps({'listening': listening})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
    await stop.wait()
