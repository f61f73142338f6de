"""Programs that run as child processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import typing
from collections import abc

import standins

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 5
# Starting an interpreter is busy work; more at a time would only queue.
STARTS_AT_A_TIME = 4
ERROR_TAIL = 2000

Answer = typing.TypeVar('Answer')

_ROOT = pathlib.Path(standins.__file__).parent.parent


class StartError(Exception):
    """A program ended before it announced its addresses."""


class Program:
    """One child process.

    Attributes:
        name: Name for files and messages.
        listening: Addresses that the program announced.
        stderr_path: File with what it wrote to stderr.
    """

    def __init__(self, name: str, module: str, directory: pathlib.Path) -> None:
        """Prepare `python -m module` with files in `directory`."""
        self.name = name
        self.listening: dict[str, typing.Any] = {}
        self.stderr_path = directory / f'{name}.stderr'
        self._module = module
        self._process: asyncio.subprocess.Process | None = None
        self._drain: asyncio.Task[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id; 0 before the start."""
        return 0 if self._process is None else self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self, *arguments: str) -> None:
        """Start the program and wait for its addresses.

        Raises:
            StartError: It ended or announced nothing in time.
        """
        with self.stderr_path.open('ab') as stderr:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                self._module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr,
                env={**os.environ, 'PYTHONPATH': str(_ROOT)},
            )
        stdout = self._process.stdout
        assert stdout is not None  # noqa: S101
        try:
            line = await asyncio.wait_for(stdout.readline(), START_TIMEOUT_S)
            self.listening = json.loads(line)['listening']
        except (TimeoutError, ValueError, KeyError) as error:
            await self.kill()
            raise StartError(self._describe()) from error
        self._drain = asyncio.create_task(stdout.read())

    async def stop(self) -> int:
        """End the program with SIGTERM, or SIGKILL if it takes too long.

        Returns:
            Its exit status.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """End the program with SIGKILL and return its exit status."""
        self.send_signal(signal.SIGKILL)
        return await self._wait()

    def suspend(self) -> None:
        """Stop execution until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue execution."""
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._process is not None and self.running:
            # `Process.send_signal` may reap an ended child, which the event
            # loop then reports as unknown.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def _wait(self) -> int:
        if self._process is None:
            return 0
        status = await self._process.wait()
        if self._drain is not None:
            self._drain.cancel()
        return status

    def _describe(self) -> str:
        text = self.stderr_path.read_text(encoding='utf-8', errors='replace')
        return f'{self.name} did not start: {text[-ERROR_TAIL:].strip()}'


class Programs:
    """All programs of a deployment."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Keep files in `directory`."""
        self.directory = directory
        self._programs: list[Program] = []
        self._starts = asyncio.Semaphore(STARTS_AT_A_TIME)

    async def start(self, name: str, module: str, *arguments: str) -> Program:
        """Start a program; it ends with the deployment at the latest."""
        program = Program(name, module, self.directory)
        self._programs.append(program)
        async with self._starts:
            await program.start(*arguments)
        return program

    async def stop(self) -> None:
        """End all programs, even when this is cancelled meanwhile."""
        try:
            await asyncio.gather(
                *(program.stop() for program in self._programs),
            )
        finally:
            for program in self._programs:
                program.send_signal(signal.SIGKILL)


async def run_together(
    jobs: abc.Iterable[abc.Coroutine[typing.Any, typing.Any, Answer]],
) -> list[Answer]:
    """Return all results; the first failure cancels and awaits the others."""
    tasks = [asyncio.ensure_future(job) for job in jobs]
    try:
        return await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
