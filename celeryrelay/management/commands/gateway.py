"""Program `celeryrelay-gateway`: the daemon on the users' platform.

Exit codes: 0 after a graceful stop, 1 for invalid settings or a listening
address that can't be bound, 2 for invalid flags.
"""

import signal

if __name__ == '__main__':
    # The default action of SIGHUP ends the process, and the imports below take
    # most of its start. The daemon installs its handler after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import contextlib
import sys
import time
import typing

import result
from absl import app, flags

from celeryrelay.adapters import diagnostics, json_log, shared_output
from celeryrelay.gateway import settings
from celeryrelay.platform import process, settings_file

EXIT_START_FAILED = 1
# The settings file may be replaced while the daemon starts, and be missing or
# incomplete for a moment.
SETTINGS_ATTEMPTS = 6
SETTINGS_RETRY_PAUSE_S = 0.2

_SETTINGS_FILE = flags.DEFINE_string(
    'settings_file',
    None,
    'Path of the settings file; defaults to the path set by the platform.',
)
_METRICS_PORT = flags.DEFINE_integer(
    'metrics_port',
    0,
    'Port of the metrics page; 0 for the first internal port.',
    lower_bound=0,
    upper_bound=65535,
)
_LOG_LEVEL = flags.DEFINE_enum(
    'log_level',
    'INFO',
    ['DEBUG', 'INFO', 'WARNING', 'ERROR'],
    'Lowest level of log lines; DEBUG writes a line for each statement.',
)


def run() -> typing.NoReturn:
    """Run the program."""
    app.run(main)


def main(_: typing.Sequence[str]) -> int:
    """Run the daemon until it stops and return the exit code."""
    json_log.configure(_LOG_LEVEL.value)
    diagnostics.dump_traces_of_crashes()
    path = _SETTINGS_FILE.value or settings_file.settings_path()
    match _load_settings(path):
        case result.Ok(options):
            return _serve(options, path)
        case result.Err(message):
            return _fail(message)


def _load_settings(path: str) -> result.Result[settings.Settings, str]:
    """Load the settings; an invalid file is read again for a moment."""
    for _ in range(SETTINGS_ATTEMPTS - 1):
        loaded = settings_file.load(path, _METRICS_PORT.value)
        if loaded.is_ok():
            return loaded
        time.sleep(SETTINGS_RETRY_PAUSE_S)
    return settings_file.load(path, _METRICS_PORT.value)


def _serve(options: settings.Settings, path: str) -> int:
    try:
        asyncio.run(_run(options, path))
    except OSError as error:
        return _fail('cannot start: {0}'.format(error))
    except Exception:
        json_log.get('daemon').critical(
            'daemon ended by an unexpected error', exc_info=True
        )
        raise
    return 0


def _fail(problem: str) -> int:
    """Report why the daemon can't start, and return the exit code."""
    json_log.get('daemon').critical('daemon not started', problem=problem)
    if sys.stderr is not None:
        with contextlib.suppress(OSError):
            write = shared_output.open_writer(sys.stderr.fileno())
            write('{0}\n'.format(problem).encode())
    return EXIT_START_FAILED


async def _run(options: settings.Settings, path: str) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(diagnostics.log_unhandled_error)
    await process.Process(options, path).run()


if __name__ == '__main__':
    run()
