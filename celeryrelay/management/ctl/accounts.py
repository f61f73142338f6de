"""Subcommand `account`."""

import datetime
import importlib
import typing
from collections import abc

import orjson
import result

from celeryrelay.adapters import platform_client
from celeryrelay.management.ctl import options, replies, store

PREFIX = 'accounts/'
# Keys are `accounts/<period>/<zone>`.
PERIOD_INDEX = 1


async def account(chosen: options.Options) -> replies.Reply:
    """Report on the statements of a span of time."""
    refusal = store.refuse_without_platform(chosen)
    if refusal:
        return refusal
    since = _parse_time(chosen.since)
    until = _parse_time(chosen.until)
    for limit in (since, until):
        if limit.is_err():
            return replies.failure(replies.ExitCode.usage, limit.unwrap_err())
    async with store.connect(chosen) as client:
        changes = await client.range(PREFIX)
    if changes.is_err():
        return store.describe(changes.unwrap_err())
    values = _select(
        changes.unwrap().entries,
        since.unwrap(),
        until.unwrap(),
    )
    return _report(values, whole=not (chosen.since or chosen.until))


def _parse_time(text: str) -> result.Result[float | None, str]:
    if not text:
        return result.Ok(None)
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        message = 'given {0!r}; an ISO 8601 time is allowed'.format(text)
        return result.Err(message)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return result.Ok(moment.timestamp())


def _select(
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
    # Analysts' reports need much more to be imported than other commands.
    reports = importlib.import_module('celeryrelay.accounting.reports')
    report = reports.build(values, whole=whole)
    return replies.Reply(
        replies.ExitCode.ok,
        tuple(reports.to_text(report).splitlines()),
        orjson.loads(reports.to_json(report)),
    )
