"""Guards against daemons that end by themselves without being noticed."""

import asyncio
import os
import signal
import sys

import pytest

from standins.kvstore import local_deployment
from standins.soak import plan, runner, supervision

TIMEOUT_S = 20
HANDLED_STOP = """
import signal, sys
signal.signal(signal.SIGTERM, lambda *_: sys.exit(4))
print('ready', flush=True)
signal.pause()
"""


class Program:
    """A small program in the place of a daemon."""

    def __init__(self, code, ready_start=1):
        self.name = 'front-0'
        self.spawned = 0
        self._code = code
        self._ready_start = ready_start

    async def spawn(self):
        self.spawned += 1
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', self._code, stdout=asyncio.subprocess.PIPE
        )

    async def start(self):
        await self.spawn()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        await wait_for_start(self, self._ready_start)

    def last_log_line(self):
        return 'reason'


@pytest.fixture
async def supervise(monkeypatch):
    monkeypatch.setattr(supervision, 'RESTART_PAUSE_S', 0.05)
    supervisors = []
    programs = []

    async def start(*arguments):
        programs.append(Program(*arguments))
        supervisors.append(supervision.Supervisor(programs[-1]))
        await supervisors[-1].start()
        return programs[-1], supervisors[-1]

    yield start
    for supervisor, program in zip(supervisors, programs, strict=True):
        supervisor.close()
        if program.process.returncode is None:
            os.kill(program.process.pid, signal.SIGKILL)
            await program.process.wait()


async def wait_for_start(program, number):
    async with asyncio.timeout(TIMEOUT_S):
        while program.spawned < number:
            await asyncio.sleep(0.01)


async def test_end_without_a_signal_is_reported_and_restarted(supervise):
    program, supervisor = await supervise('raise SystemExit(3)')
    await wait_for_start(program, 3)
    expected = 'front-0 ended by itself with code 3: reason'
    assert supervisor.violations[:2] == [expected, expected]


async def test_end_before_the_daemon_was_ever_ready_is_reported(supervise):
    _, supervisor = await supervise('raise SystemExit(3)', 2)
    assert 'ended by itself with code 3' in supervisor.violations[0]


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGTERM])
async def test_signalled_end_is_restarted_and_not_reported(supervise, number):
    program, supervisor = await supervise('import time; time.sleep(60)')
    supervisor.send_signal(number)
    await wait_for_start(program, 2)
    assert supervisor.violations == []


async def test_failed_stop_is_reported(supervise):
    program, supervisor = await supervise(HANDLED_STOP)
    await program.process.stdout.readline()
    supervisor.send_signal(signal.SIGTERM)
    await wait_for_start(program, 2)
    assert supervisor.violations == ['front-0 exited with code 4 after SIGTERM']


async def test_stop_that_takes_too_long_is_reported(supervise, monkeypatch):
    monkeypatch.setattr(supervision, 'STOP_TIMEOUT_S', 0.1)
    program, supervisor = await supervise(
        HANDLED_STOP.replace('sys.exit(4)', 'None') + 'signal.pause()'
    )
    await program.process.stdout.readline()
    supervisor.send_signal(signal.SIGTERM)
    await wait_for_start(program, 2)
    assert 'did not exit within' in supervisor.violations[0]


async def test_soak_reports_a_daemon_that_ended(tmp_path, monkeypatch):
    spawn = local_deployment.DaemonProcess.spawn
    killed = []

    async def spawn_and_kill(daemon):
        await spawn(daemon)
        if daemon.name == 'front-0' and not killed:
            killed.append(daemon.process.pid)
            loop = asyncio.get_running_loop()
            loop.call_later(5, os.kill, killed[0], signal.SIGKILL)

    monkeypatch.setattr(local_deployment.DaemonProcess, 'spawn', spawn_and_kill)
    fault = plan.Fault(plan.FaultKind.publish, 6, 0, 0, 0)
    soak_plan = plan.SoakPlan(1, 3, 22, 6, 4, (fault,))
    outcome = await runner.Soak(soak_plan, tmp_path).run()
    assert len(outcome.violations) == 1
    assert 'ended by itself with code -9' in outcome.violations[0]


def test_disturbed_starts_leave_the_other_faults_of_a_seed():
    faults = plan.generate(129, 4).faults
    starts = [one for one in faults if one.kind in plan.START_KINDS]
    others = [one.kind.value for one in faults if one not in starts]
    assert ' '.join(others) == (
        'store_cut server_deaf server_delayed server_reset server_deaf '
        'server_cut_one_way server_loses_answers store_cut server_slow '
        'store_forgets store_silent daemon_stop'
    )
    assert starts
    assert min(one.start_s for one in starts) >= 4
