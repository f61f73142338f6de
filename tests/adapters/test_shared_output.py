import os
import socket
import subprocess
import sys
from unittest import mock

import pytest

from celeryrelay.adapters import shared_output

LINE = b'x' * 100 + b'\n'
# More than a pipe, a terminal or a socket takes while nothing is read.
MAX_LINES = 20000
LOGGING_PROGRAM = """
from celeryrelay.adapters import json_log
json_log.configure('INFO')
json_log.get('daemon').info('daemon started')
"""


def _open_sockets():
    return [one.detach() for one in socket.socketpair()]


def _open_file():
    return os.pipe()[0], os.open('.', os.O_TMPFILE | os.O_RDWR)


@pytest.fixture
def output(request, tmp_path, monkeypatch):
    """The descriptor of an output that nobody reads."""
    monkeypatch.chdir(tmp_path)
    reading, writing = request.param()
    yield writing
    os.close(reading)
    os.close(writing)


@pytest.mark.parametrize(
    'output', [os.pipe, os.openpty, _open_sockets, _open_file], indirect=True
)
def test_log_leaves_its_output_blocking_for_other_processes(output):
    """Guards against programs whose writes fail beside or after a daemon."""
    subprocess.run(
        [sys.executable, '-c', LOGGING_PROGRAM],
        stdout=output,
        check=True,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    assert os.get_blocking(output)


@pytest.mark.parametrize(
    ('output', 'error'),
    [
        (os.pipe, None),
        (os.pipe, PermissionError),
        (os.openpty, None),
        (_open_sockets, None),
    ],
    indirect=['output'],
)
def test_write_to_a_full_output_does_not_wait(output, error):
    """Guards against an event loop that a reader of the log blocks."""
    with mock.patch('os.open', wraps=os.open, side_effect=error):
        write = shared_output.open_writer(output)
    assert os.get_blocking(output)
    with pytest.raises(BlockingIOError):
        for _ in range(MAX_LINES):
            write(LINE)
