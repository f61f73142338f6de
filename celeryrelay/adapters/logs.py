"""Log lines of the daemon and its programs."""

import logging
import re
import typing

import logbook

REDACTED = '[redacted]'

# Keys, in settings, headers and SQL text, whose value is never logged.
SECRET_NAMES = 'password|passwd|secret|fleet_key|celeryrelay_token'

_BEARER = re.compile(r'(bearer\s+)[^\s\'",;]+', re.IGNORECASE)
_IDENTIFIED = re.compile(
    r'(identified\s+by\s+(?:password\s+)?)(\'[^\']*\'|"[^"]*"|\S+)',
    re.IGNORECASE,
)
_ASSIGNED = re.compile(
    r'(\b[\w@]*(?:{0})\w*["\']?\s*[=:]\s*)'.format(SECRET_NAMES)
    + r'(\'[^\']*\'|"[^"]*"|[^\s,;&)}]+)',
    re.IGNORECASE,
)
_SECRET_KEY = re.compile(SECRET_NAMES, re.IGNORECASE)

_LINE_ENDS = str.maketrans({'\n': r'\n', '\r': r'\r', '\x00': r'\0'})


def redact(text: str) -> str:
    """Return `text` without keys, passwords and session tokens."""
    for pattern in (_BEARER, _IDENTIFIED, _ASSIGNED):
        text = pattern.sub(r'\1{0}'.format(REDACTED), text)
    return text


def redact_fields(
    fields: typing.Mapping[str, typing.Any],
) -> dict[str, typing.Any]:
    """Return a copy of `fields` with secret values replaced."""
    return {
        key: REDACTED if _SECRET_KEY.search(key) else field
        for key, field in fields.items()
    }


def format_record(
    record: logbook.LogRecord,
    _handler: logbook.Handler | None = None,
) -> str:
    """Return one line: time, level, prefix, message and extra fields."""
    parts = [
        record.time.isoformat(timespec='milliseconds'),
        record.level_name,
        '{0}:'.format(record.channel),
        record.message,
    ]
    extra = redact_fields(dict(record.extra))
    parts.extend(
        '{0}={1}'.format(key, extra[key])
        for key in sorted(extra)
        if extra[key] is not None
    )
    if record.formatted_exception:
        parts.append(record.formatted_exception)
    return redact(' '.join(parts)).translate(_LINE_ENDS)


def configure(level: str) -> logbook.NestedSetup:
    """Log records of `level` and above to standard error.

    Returns:
        The set-up in force; `pop_application` takes it off again.
    """
    logbook.set_datetime_format('utc')
    # These libraries log each connection and each transition of a state.
    for name in ('mysql_mimic', 'transitions'):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    handler = logbook.StderrHandler(level=level, bubble=False)
    handler.formatter = format_record
    # Records below the level must not reach logbook's default handler.
    setup = logbook.NestedSetup([logbook.NullHandler(), handler])
    setup.push_application()
    return setup


def get(prefix: str) -> logbook.Logger:
    """Return the logger of the component called `prefix`."""
    return logbook.Logger(prefix)
