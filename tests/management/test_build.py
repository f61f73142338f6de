"""Tests of the build script of the deploy file, with a stand-in for Python."""

import os
import pathlib
import shutil
import subprocess
import sys

import pytest

DEPLOY = pathlib.Path(__file__).parents[2] / 'deploy'
PYTHON = """#!/bin/sh
case "$*" in
    *pip*) mkdir -p "$6"; sleep 0.1; touch "$6/$(cat machine)" ;;
    *sysconfig*) cat machine ;;
    *fcntl*) exec {0} "$@" ;;
esac
"""


@pytest.fixture
def build(tmp_path):
    """A function that builds on a machine and returns what is installed."""
    (tmp_path / 'deploy').mkdir()
    (tmp_path / 'bin').mkdir()
    shutil.copy(DEPLOY / 'requirements.txt', tmp_path / 'deploy')
    python = tmp_path / 'bin' / 'python3'
    python.write_text(PYTHON.format(sys.executable))
    python.chmod(0o755)

    def run(machine, processes=1):
        (tmp_path / 'machine').write_text(machine)
        path = '{0}:{1}'.format(python.parent, os.environ['PATH'])
        builds = [
            subprocess.Popen(
                ['sh', DEPLOY / 'build.sh'],
                cwd=tmp_path,
                env={**os.environ, 'PATH': path},
            )
            for _ in range(processes)
        ]
        assert {one.wait(20) for one in builds} == {0}
        names = os.listdir(tmp_path / 'target' / 'deps')
        return {name for name in names if not name.startswith('.')}

    return run


def test_interrupted_installation_is_repeated(build, tmp_path):
    """Guards against daemons that never start for want of a library."""
    (tmp_path / 'target' / 'deps').mkdir(parents=True)
    (tmp_path / 'target' / 'deps' / 'partial').touch()
    assert build('arm64') == {'arm64'}


def test_libraries_of_another_machine_are_replaced(build):
    """Guards against compiled libraries that the interpreter can't load."""
    assert build('x86-64') == {'x86-64'}
    assert build('arm64') == {'arm64'}


def test_complete_installation_is_kept(build, tmp_path):
    build('arm64')
    (tmp_path / 'target' / 'deps' / 'kept').touch()
    assert build('arm64') == {'arm64', 'kept'}


def test_builds_at_the_same_time_do_not_disturb_each_other(build, tmp_path):
    """Guards against a folder into which two installations were mixed."""
    assert build('arm64', processes=4) == {'arm64'}
    assert set(os.listdir(tmp_path / 'target')) == {'deps', '.lock'}
