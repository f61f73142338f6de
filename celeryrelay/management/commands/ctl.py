"""Program `celeryrelay-ctl` for operators."""

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

# As a shell reports a program that Ctrl-C ended.
INTERRUPTED = 130


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A subcommand with the number of arguments that it takes."""

    run: abc.Callable[[options.Options], abc.Awaitable[replies.Reply]]
    least: int = 0
    most: float = 0


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
        case result.Ok(options.HelpWanted(text)):
            return _print(text, sys.stdout, replies.ExitCode.ok)
        case result.Ok(chosen):
            return _run_command(chosen)


def _run_command(chosen: options.Options) -> int:
    command = COMMANDS.get(chosen.command)
    if command is None:
        return _print_usage(
            'unknown command {0!r}; allowed are {1}'.format(
                chosen.command,
                ', '.join(COMMANDS),
            ),
        )
    if not command.least <= len(chosen.arguments) <= command.most:
        return _print_usage(
            'wrong number of arguments for {0}'.format(chosen.command),
        )
    try:
        reply = asyncio.run(_await_reply(command, chosen))
    except KeyboardInterrupt:
        return _print('interrupted', sys.stderr, INTERRUPTED)
    # Any other error would end in a traceback.
    except Exception as error:
        message = 'internal error: {0!r}'.format(error)
        reply = replies.failure(replies.ExitCode.refused, message)
    is_text_error = reply.code != replies.ExitCode.ok and not chosen.as_json
    return _print(
        reply.render(as_json=chosen.as_json),
        sys.stderr if is_text_error else sys.stdout,
        reply.code,
    )


async def _await_reply(
    command: Command,
    chosen: options.Options,
) -> replies.Reply:
    return await command.run(chosen)


def _print_usage(message: str) -> int:
    text = '{0}: {1}\nSee {0} --help.'.format(options.PROGRAM, message)
    return _print(text, sys.stderr, replies.ExitCode.usage)


def _print(text: str, stream: typing.TextIO, code: int) -> int:
    try:
        stream.write('{0}\n'.format(text.rstrip('\n')))
        stream.flush()
    except BrokenPipeError:
        # The reader, such as `head`, has closed the pipe. Python would write
        # again on exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())
    return int(code)
