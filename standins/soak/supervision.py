"""Starts daemons again when they end, as the platform does."""

import asyncio
import contextlib
import os
import pathlib
import signal

from standins.kvstore import local_deployment

RESTART_PAUSE_S = 0.5
STOP_TIMEOUT_S = 8.0


class Supervisor:
    """Signals one daemon, restarts it, and reports ends that no signal caused.

    Attributes:
        violations: Descriptions of ends and stops that are not allowed.
    """

    def __init__(self, daemon: local_deployment.DaemonProcess) -> None:
        """Supervise `daemon`, which is not started yet."""
        self.violations: list[str] = []
        self._daemon = daemon
        self._restart_pause_s = RESTART_PAUSE_S
        self._task: asyncio.Task | None = None
        self._reset()

    async def start(self) -> None:
        """Start the daemon, supervise it, and wait until it is ready."""
        await self._daemon.spawn()
        self._task = asyncio.create_task(self._run())
        await self._daemon.wait_until_ready()

    def close(self) -> None:
        """End the supervision; the process goes on."""
        if self._task is not None:
            self._task.cancel()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if there is one."""
        process = self._daemon.process
        if process.returncode is not None:
            return
        if number is signal.SIGKILL:
            self._expected_codes.add(-signal.SIGKILL)
        if number is signal.SIGTERM and not self._stopping:
            self._expect_stop(process)
        # `Process.send_signal` polls the process, and its exit code is lost if
        # it has just ended.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)

    def hang_up(self) -> None:
        """Send SIGHUP, unless the process has not run its first line yet."""
        process = self._daemon.process
        if _is_handled(process.pid, signal.SIGHUP):
            self.send_signal(signal.SIGHUP)

    async def restart(self, number: signal.Signals, pause_s: float) -> None:
        """End the process by a signal; return when it is ready again.

        It may stay unready while another fault affects it: that is no
        violation here.
        """
        process = self._daemon.process
        self._restart_pause_s = pause_s
        self.send_signal(number)
        await process.wait()
        with contextlib.suppress(TimeoutError):
            await self._daemon.wait_until_ready()

    async def _run(self) -> None:
        while True:
            code = await self._daemon.process.wait()
            self._check_end(code)
            await asyncio.sleep(self._restart_pause_s)
            self._reset()
            await self._daemon.spawn()

    def _reset(self) -> None:
        """Forget the signals that were sent to an earlier process."""
        self._restart_pause_s = RESTART_PAUSE_S
        self._expected_codes: set[int] = set()
        self._stopping = False

    def _expect_stop(self, process: asyncio.subprocess.Process) -> None:
        self._stopping = True
        self._expected_codes.add(0)
        if not _is_handled(process.pid, signal.SIGTERM):
            self._expected_codes.add(-signal.SIGTERM)
        asyncio.get_running_loop().call_later(
            STOP_TIMEOUT_S, self._kill_overdue, process
        )

    def _check_end(self, code: int) -> None:
        if code in self._expected_codes:
            return
        name = self._daemon.name
        if self._stopping:
            self.violations.append(
                f'{name} exited with code {code} after SIGTERM'
            )
            return
        self.violations.append(
            f'{name} ended by itself with code {code}: '
            f'{self._daemon.last_log_line()}'
        )

    def _kill_overdue(self, process: asyncio.subprocess.Process) -> None:
        if (
            process is not self._daemon.process
            or process.returncode is not None
        ):
            return
        self.violations.append(
            f'{self._daemon.name} did not exit within {STOP_TIMEOUT_S} s after '
            f'SIGTERM'
        )
        self.send_signal(signal.SIGKILL)


def _is_handled(pid: int, number: signal.Signals) -> bool:
    """Return whether a process handles or ignores a signal by now."""
    with contextlib.suppress(OSError):
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        fields = dict(line.split(':\t', 1) for line in status.splitlines())
        mask = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
        return bool(mask >> (number - 1) & 1)
    return False
