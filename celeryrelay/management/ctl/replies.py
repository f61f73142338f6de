"""What a subcommand tells the person who ran it."""

import dataclasses
import enum
import typing

import orjson


class ExitCode(enum.IntEnum):
    """Exit codes of the operators' program."""

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
        lines: Text for a person.
        document: The same for programs, printed with `--json`.
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
    """Return a reply that consists of error messages."""
    return Reply(code, messages, {'errors': list(messages)})
