"""Text log of the entry daemon and its programs, with secrets redacted."""

import logging
import re
import typing

import logbook

REDACTED = '[redacted]'

# Keys in settings, headers and SQL text whose values are never logged.
SECRET_NAMES = 'password|passwd|secret|fleet_key|celeryrelay_token'

_BEARER_TOKEN = re.compile(r'(bearer\s+)[^\s\'",;]+', re.IGNORECASE)
_IDENTIFIED_BY = re.compile(
    r'(identified\s+by\s+(?:password\s+)?)(\'[^\']*\'|"[^"]*"|\S+)',
    re.IGNORECASE,
)
_SECRET_ASSIGNMENT = re.compile(
    r'(\b[\w@]*(?:{0})\w*["\']?\s*[=:]\s*)'.format(SECRET_NAMES)
    + r'(\'[^\']*\'|"[^"]*"|[^\s,;&)}]+)',
    re.IGNORECASE,
)
_SECRET_KEY = re.compile(SECRET_NAMES, re.IGNORECASE)

_ESCAPED_LINE_ENDS = str.maketrans({'\n': r'\n', '\r': r'\r', '\x00': r'\0'})


def redact(text: str) -> str:
    """Return `text` without keys, passwords and session tokens."""
    for pattern in (_BEARER_TOKEN, _IDENTIFIED_BY, _SECRET_ASSIGNMENT):
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
    """Format a record as one line.

    The line has the time, level, logger name, message and extra fields. Line
    ends in them are escaped, and secrets are redacted.
    """
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
    return redact(' '.join(parts)).translate(_ESCAPED_LINE_ENDS)


def configure(level: str) -> logbook.NestedSetup:
    """Log records of `level` and above to standard error.

    Returns:
        The active handler setup; its `pop_application` removes it again.
    """
    logbook.set_datetime_format('utc')
    # These libraries log each connection and each state transition.
    for name in ('mysql_mimic', 'transitions'):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    handler = logbook.StderrHandler(level=level, bubble=False)
    handler.formatter = format_record
    # The null handler keeps records below the level from logbook's default
    # handler.
    setup = logbook.NestedSetup([logbook.NullHandler(), handler])
    setup.push_application()
    return setup


def get(component: str) -> logbook.Logger:
    """Return the logger of a component, whose name precedes each message."""
    return logbook.Logger(component)
