"""Results of subcommands: exit code, text lines and JSON document."""

import dataclasses
import enum
import typing

import orjson


class ExitCode(enum.IntEnum):
    """Exit codes of `celeryrelay-ctl`."""

    ok = 0
    refused = 1
    usage = 2
    unreachable = 3
    lost_race = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of a subcommand.

    Attributes:
        code: Exit code.
        lines: Lines of text to print.
        document: JSON document to print instead with `--json`.
    """

    code: ExitCode
    lines: tuple[str, ...]
    document: typing.Mapping[str, typing.Any]

    def render(self, *, as_json: bool) -> str:
        """Return the text to print."""
        if not as_json:
            return '\n'.join(self.lines)
        content = {'result': self.code.name, **self.document}
        return orjson.dumps(content, option=orjson.OPT_INDENT_2).decode()


def failure(code: ExitCode, *messages: str) -> Reply:
    """Return a reply with error messages."""
    return Reply(code, messages, {'errors': list(messages)})
