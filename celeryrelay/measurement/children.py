"""Child processes that measure memory.

A child measures one thing and ends: memory that an earlier measurement has
freed would be used again and hide the growth of a later one.
"""

import json
import pathlib
import resource
import subprocess
import sys
import typing

from celeryrelay.core import errors

CHILD_TIMEOUT_S = 120


def run_child(module: str, *arguments: str) -> typing.Any:
    """Return the JSON output of a measuring child process.

    Raises:
        CeleryrelayError: The child failed.
    """
    completed = subprocess.run(
        (sys.executable, '-m', module, *arguments),
        capture_output=True,
        check=False,
        text=True,
        timeout=CHILD_TIMEOUT_S,
    )
    if completed.returncode:
        raise errors.CeleryrelayError(
            'measuring child failed: {0}'.format(completed.stderr.strip()),
        )
    return json.loads(completed.stdout)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = pathlib.Path('/proc/self/statm').read_text('ascii').split()[1]
    return int(pages) * resource.getpagesize()
