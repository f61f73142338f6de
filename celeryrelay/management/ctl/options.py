"""Command line of `celeryrelay-ctl`."""

import dataclasses
from collections import abc

import result
from absl import flags

from celeryrelay.conf import loader

PROGRAM = 'celeryrelay-ctl'
HELP = """Usage: celeryrelay-ctl COMMAND [ARGUMENT ...] [--FLAG=VALUE ...]

Checks and publishes the objects of a deployment, and asks its daemons.

Commands:
  check FILE            check an object file; nothing is sent
  diff FILE [FILE]      differences from the published set to FILE, or
                        between two files
  publish FILE          check FILE and publish it
  show                  print the published set
  status [ADDRESS ...]  state of the daemons at ADDRESS (host:port), or of
                        all entry instances on the platform's list
  drain ADDRESS ...     stop daemons gracefully
  account               report on the statements served and refused

Flags:
{flags}

Exit codes:
  0  done
  1  refused: the file, the set or the request is not valid
  2  wrong usage
  3  the platform or a daemon was not reachable; publish: the text says
     whether the set may be in force
  4  publish: another revision is in force than expected; nothing was
     published
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Parsed command line.

    Attributes:
        command: Name of the subcommand.
        arguments: Positional arguments of the subcommand.
        platform_url: URL of the platform's service; empty if not given.
        fleet_key_file: File with the key of the daemons; empty if not given.
        as_json: Whether the reply is printed as JSON.
        timeout_ms: Timeout of one request in milliseconds.
        base_revision: Revision that must be in force for `publish` to
            succeed; None for any.
        above_revision: `publish` numbers the set above this revision.
        since: Start of the account as ISO 8601 time; empty for no limit.
        until: End of the account as ISO 8601 time; empty for no limit.
    """

    command: str
    arguments: tuple[str, ...]
    platform_url: str
    fleet_key_file: str
    as_json: bool
    timeout_ms: int
    base_revision: int | None
    above_revision: int
    since: str
    until: str


@dataclasses.dataclass(frozen=True, slots=True)
class HelpRequested:
    """Result of parsing a command line that asks for the help text."""

    text: str


def parse(
    argv: abc.Sequence[str],
) -> result.Result[Options | HelpRequested, str]:
    """Parse the command line `argv`, without using absl's global flags."""
    values = _define_flags()
    try:
        positional = values([PROGRAM, *argv])[1:]
    except flags.Error as error:
        return result.Err(str(error))
    if values['help'].value or positional[:1] == ['help']:
        return result.Ok(
            HelpRequested(HELP.format(flags=_describe_flags(values)))
        )
    if not positional:
        return result.Err('a command is required')
    return _build_options(values, positional)


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    # Allows flags after the command.
    values.set_gnu_getopt(True)
    _define_string_flags(values)
    flags.DEFINE_bool('json', False, 'print JSON', flag_values=values)
    flags.DEFINE_bool(
        'help',
        False,
        'print this text',
        short_name='h',
        flag_values=values,
    )
    _define_integer_flags(values)
    return values


def _define_string_flags(values: flags.FlagValues) -> None:
    texts = {
        'platform_url': 'address of the platform, http://host:port',
        'fleet_key_file': 'file with the key shared by all daemons',
        'settings': 'settings file of a daemon; gives the two flags above',
        'since': 'account: start, such as 2026-05-01T06:00:00Z',
        'until': 'account: end, such as 2026-05-01T07:00:00Z',
    }
    for name, text in texts.items():
        flags.DEFINE_string(name, '', text, flag_values=values)


def _define_integer_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        'timeout_ms',
        2000,
        'timeout of one request in milliseconds',
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        'base_revision',
        None,
        'publish: fail if another revision is in force',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_integer(
        'above_revision',
        0,
        'publish: number the set above this revision, after the platform lost '
        + 'the published set',
        lower_bound=0,
        flag_values=values,
    )


def _build_options(
    values: flags.FlagValues,
    positional: list[str],
) -> result.Result[Options | HelpRequested, str]:
    platform_url = values['platform_url'].value
    fleet_key_file = values['fleet_key_file'].value
    if values['settings'].value:
        loaded = loader.load_settings(values['settings'].value)
        if loaded.is_err():
            return result.Err(loaded.unwrap_err())
        platform_url = platform_url or loaded.unwrap().platform_url
        fleet_key_file = fleet_key_file or loaded.unwrap().fleet_key_file
    options = Options(
        command=positional[0],
        arguments=tuple(positional[1:]),
        platform_url=platform_url,
        fleet_key_file=fleet_key_file,
        as_json=values['json'].value,
        timeout_ms=values['timeout_ms'].value,
        base_revision=values['base_revision'].value,
        above_revision=values['above_revision'].value,
        since=values['since'].value,
        until=values['until'].value,
    )
    return result.Ok(options)


def _describe_flags(values: flags.FlagValues) -> str:
    lines = []
    for name in values:
        flag = values[name]
        # absl lists a short name as a separate flag; skip it.
        if name != flag.name:
            continue
        default = ''
        if flag.default:
            default = ' (default {0})'.format(flag.default)
        lines.append('  --{0}: {1}{2}'.format(name, flag.help, default))
    return '\n'.join(lines)
