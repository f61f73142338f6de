"""Child processes for measurements of memory.

Each measurement runs in a process of its own: memory freed by an earlier
measurement would be reused and hide the growth caused by a later one.
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
    """Run `module` in a child process and return its JSON output.

    Raises:
        CeleryrelayError: The child process exited with an error.
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
            'child process failed: {0}'.format(completed.stderr.strip()),
        )
    return json.loads(completed.stdout)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = pathlib.Path('/proc/self/statm').read_text('ascii').split()[1]
    return int(pages) * resource.getpagesize()
