"""Program `celeryrelay-ctl`: publishes objects and controls daemons."""

import asyncio
import dataclasses
import os
import sys
import typing
from collections import abc

import result

from celeryrelay.management.ctl import (
    accounts,
    daemons,
    objects,
    options,
    publishing,
    replies,
)

# Exit code that a shell reports for a program ended by Ctrl-C: 128 + SIGINT.
EXIT_INTERRUPTED = 130


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A subcommand and the number of positional arguments that it takes."""

    run: abc.Callable[[options.Options], abc.Awaitable[replies.Reply]]
    min_arguments: int = 0
    max_arguments: float = 0


COMMANDS: typing.Mapping[str, Command] = {
    'check': Command(objects.check, 1, 1),
    'diff': Command(objects.diff, 1, 2),
    'publish': Command(publishing.publish, 1, 1),
    'show': Command(objects.show),
    'status': Command(daemons.status, 0, float('inf')),
    'drain': Command(daemons.drain, 1, float('inf')),
    'account': Command(accounts.account),
}


def run() -> None:
    """Run the program with the arguments of the process."""
    sys.exit(main(sys.argv[1:]))


def main(argv: abc.Sequence[str]) -> int:
    """Run the program and return its exit code."""
    match options.parse(argv):
        case result.Err(message):
            return _print_usage(message)
        case result.Ok(options.HelpRequested(text)):
            return _print(text, sys.stdout, replies.ExitCode.ok)
        case result.Ok(command_line):
            return _run_command(command_line)


def _run_command(command_line: options.Options) -> int:
    command = COMMANDS.get(command_line.command)
    if command is None:
        return _print_usage(
            'unknown command {0!r}; allowed are {1}'.format(
                command_line.command,
                ', '.join(COMMANDS),
            ),
        )
    if not (
        command.min_arguments
        <= len(command_line.arguments)
        <= command.max_arguments
    ):
        return _print_usage(
            'wrong number of arguments for {0}'.format(command_line.command),
        )
    try:
        reply = asyncio.run(_await_reply(command, command_line))
    except KeyboardInterrupt:
        return _print('interrupted', sys.stderr, EXIT_INTERRUPTED)
    # Operators get one line instead of a traceback.
    except Exception as error:
        message = 'internal error: {0!r}'.format(error)
        reply = replies.failure(replies.ExitCode.refused, message)
    is_text_error = (
        reply.code != replies.ExitCode.ok and not command_line.as_json
    )
    return _print(
        reply.render(as_json=command_line.as_json),
        sys.stderr if is_text_error else sys.stdout,
        reply.code,
    )


async def _await_reply(
    command: Command,
    command_line: options.Options,
) -> replies.Reply:
    return await command.run(command_line)


def _print_usage(message: str) -> int:
    text = '{0}: {1}\nSee {0} --help.'.format(options.PROGRAM, message)
    return _print(text, sys.stderr, replies.ExitCode.usage)


def _print(text: str, stream: typing.TextIO, code: int) -> int:
    try:
        stream.write('{0}\n'.format(text.rstrip('\n')))
        stream.flush()
    except BrokenPipeError:
        # The reader of the pipe, such as `head`, has closed it. Python flushes
        # the stream again on exit, which would raise another error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())
    return int(code)
