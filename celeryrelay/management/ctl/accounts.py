"""Subcommand `account`: report on statements served and refused."""

import datetime
import importlib
import typing
from collections import abc

import orjson
import result

from celeryrelay.adapters import platform_client
from celeryrelay.management.ctl import options, platform_access, replies

PREFIX = 'accounts/'
# Position of the period in a key, `accounts/<period>/<zone>`.
PERIOD_INDEX = 1


async def account(command_line: options.Options) -> replies.Reply:
    """Report on the statements of a time range."""
    error_reply = platform_access.require_platform_url(command_line)
    if error_reply:
        return error_reply
    since = _parse_time(command_line.since)
    until = _parse_time(command_line.until)
    for limit in (since, until):
        if limit.is_err():
            return replies.failure(replies.ExitCode.usage, limit.unwrap_err())
    async with platform_access.connect(command_line) as client:
        changes = await client.range(PREFIX)
    if changes.is_err():
        return platform_access.reply_to_failure(changes.unwrap_err())
    values = _select_values(
        changes.unwrap().entries,
        since.unwrap(),
        until.unwrap(),
    )
    return _report(values, whole=not (command_line.since or command_line.until))


def _parse_time(text: str) -> result.Result[float | None, str]:
    if not text:
        return result.Ok(None)
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        message = 'invalid time {0!r}: ISO 8601 is expected'.format(text)
        return result.Err(message)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return result.Ok(moment.timestamp())


def _select_values(
    entries: abc.Iterable[platform_client.Entry],
    since: float | None,
    until: float | None,
) -> list[typing.Any]:
    selected = []
    for entry in entries:
        period = entry.key.split('/')[PERIOD_INDEX]
        start = float(period) if period.isdecimal() else None
        if start is not None and since is not None and start < since:
            continue
        if start is not None and until is not None and start >= until:
            continue
        selected.append(entry.value)
    return selected


def _report(values: list[typing.Any], *, whole: bool) -> replies.Reply:
    # Imported here because it loads far more modules than the other
    # subcommands need.
    reports = importlib.import_module('celeryrelay.accounting.reports')
    report = reports.build(values, all_periods=whole)
    return replies.Reply(
        replies.ExitCode.ok,
        tuple(reports.to_text(report).splitlines()),
        orjson.loads(reports.to_json(report)),
    )
