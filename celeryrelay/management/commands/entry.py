"""Program `celeryrelay-entry`: the daemon.

Exit codes: 0 after a graceful stop, 1 for invalid settings, unreadable secrets
or a listening address that can't be bound, 2 for invalid flags.
"""

import asyncio
import json
import signal
import sys
import typing

import result
from absl import app, flags

from celeryrelay.adapters import logs
from celeryrelay.conf import loader, secret_files, settings
from celeryrelay.core import errors
from celeryrelay.daemon import application

EXIT_START_FAILED = 1

_SETTINGS = flags.DEFINE_string(
    'settings',
    None,
    'Path of the settings file, JSON with comments.',
)


def run() -> typing.NoReturn:
    """Run the program."""
    flags.mark_flag_as_required('settings')
    app.run(main)


def main(_: typing.Sequence[str]) -> int:
    """Run the daemon until it stops and return the exit code."""
    match loader.load_settings(_SETTINGS.value):
        case result.Ok(options):
            return _start(options)
        case result.Err(message):
            sys.stderr.write('{0}\n'.format(message))
            return EXIT_START_FAILED


def _start(options: settings.Settings) -> int:
    logs.configure(options.log_level)
    match secret_files.read_secrets(options):
        case result.Ok(secrets):
            return _serve(options, secrets)
        case result.Err(message):
            sys.stderr.write('{0}\n'.format(message))
            return EXIT_START_FAILED


def _serve(
    options: settings.Settings,
    secrets: secret_files.Secrets,
) -> int:
    try:
        asyncio.run(_run(options, secrets))
    except (OSError, errors.CeleryrelayError) as error:
        sys.stderr.write('cannot start: {0}\n'.format(error))
        return EXIT_START_FAILED
    return 0


async def _run(
    options: settings.Settings,
    secrets: secret_files.Secrets,
) -> None:
    daemon = application.Application(options, secrets)
    listening = await daemon.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.drain)
    line = {'listening': {'mysql': listening.mysql, 'peer': listening.peer}}
    sys.stdout.write('{0}\n'.format(json.dumps(line)))
    sys.stdout.flush()
    await daemon.run()


if __name__ == '__main__':
    run()
