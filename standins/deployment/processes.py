"""Starts, signals and stops programs as child processes."""

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
# A planned stop takes up to 0.5 s of grace for the load balancer, 10 s for open
# transactions, 1 s for callers, 4 s for the last account batches and 1 s for
# the last requests of peers, all by default settings.
STOP_TIMEOUT_S = 17
# Starting an interpreter is CPU-bound, so more concurrent starts would only
# compete for the processors.
MAX_CONCURRENT_STARTS = 4
ERROR_TAIL_CHARS = 2000

JobResult = typing.TypeVar('JobResult')

_ROOT = pathlib.Path(standins.__file__).parent.parent


class StartError(Exception):
    """A program did not announce its addresses."""


class Program:
    """One child process.

    Attributes:
        name: Name in file names and messages.
        listening: Addresses that the program announced on stdout.
        stderr_path: File that receives its stderr output.
    """

    def __init__(self, name: str, module: str, directory: pathlib.Path) -> None:
        """Prepare to run `python -m module`, with its files in `directory`."""
        self.name = name
        self.listening: dict[str, typing.Any] = {}
        self.stderr_path = directory / f'{name}.stderr'
        self._module = module
        self._process: asyncio.subprocess.Process | None = None
        self._stdout_drain: asyncio.Task[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id, or 0 before the start."""
        return 0 if self._process is None else self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self, *arguments: str) -> None:
        """Start the program and wait until it announces its addresses.

        Raises:
            StartError: It exited, or made no valid announcement in time.
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
            raise StartError(self._describe_start_failure()) from error
        self._stdout_drain = asyncio.create_task(stdout.read())

    async def stop(self) -> int:
        """Stop the program with SIGTERM, or with SIGKILL after a time-out.

        Returns:
            Exit status of the process.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Stop the program with SIGKILL and return its exit status."""
        self.send_signal(signal.SIGKILL)
        return await self._wait()

    def suspend(self) -> None:
        """Suspend the process until `resume` is called."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self._process is not None and self.running:
            # `Process.send_signal` may reap an exited child. The event loop's
            # child watcher then logs a warning about an unknown process.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def _wait(self) -> int:
        if self._process is None:
            return 0
        status = await self._process.wait()
        if self._stdout_drain is not None:
            self._stdout_drain.cancel()
        return status

    def _describe_start_failure(self) -> str:
        text = self.stderr_path.read_text(encoding='utf-8', errors='replace')
        return (
            f'{self.name} did not announce its addresses: '
            f'{text[-ERROR_TAIL_CHARS:].strip()}'
        )


class Programs:
    """Starts and stops the programs of a deployment."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Create the files of all programs in `directory`."""
        self.directory = directory
        self._programs: list[Program] = []
        self._start_semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

    async def start(self, name: str, module: str, *arguments: str) -> Program:
        """Start a program, which `stop` will stop if it is still running."""
        program = Program(name, module, self.directory)
        self._programs.append(program)
        async with self._start_semaphore:
            await program.start(*arguments)
        return program

    async def stop(self) -> None:
        """Stop all programs, even if the calling task is cancelled."""
        try:
            await asyncio.gather(
                *(program.stop() for program in self._programs),
            )
        finally:
            for program in self._programs:
                program.send_signal(signal.SIGKILL)


async def gather_or_cancel(
    jobs: abc.Iterable[abc.Coroutine[typing.Any, typing.Any, JobResult]],
) -> list[JobResult]:
    """Return all results; the first failure cancels and awaits the others."""
    tasks = [asyncio.ensure_future(job) for job in jobs]
    try:
        return await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
