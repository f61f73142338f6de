"""Tests of the build script of the deploy file, with a stand-in for Python."""

import os
import pathlib
import shutil
import subprocess

import pytest

DEPLOY = pathlib.Path(__file__).parents[2] / 'deploy'
PYTHON = """#!/bin/sh
case "$*" in
    *pip*) mkdir -p target/deps.new; touch target/deps.new/"$(cat machine)" ;;
    *sysconfig*) cat machine ;;
esac
"""


@pytest.fixture
def build(tmp_path):
    """A function that builds on a machine and returns what is installed."""
    (tmp_path / 'deploy').mkdir()
    (tmp_path / 'bin').mkdir()
    shutil.copy(DEPLOY / 'requirements.txt', tmp_path / 'deploy')
    python = tmp_path / 'bin' / 'python3'
    python.write_text(PYTHON)
    python.chmod(0o755)

    def run(machine):
        (tmp_path / 'machine').write_text(machine)
        path = '{0}:{1}'.format(python.parent, os.environ['PATH'])
        subprocess.run(
            ['sh', DEPLOY / 'build.sh'],
            check=True,
            cwd=tmp_path,
            env={**os.environ, 'PATH': path},
        )
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
