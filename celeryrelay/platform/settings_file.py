"""Settings file of the platform: lines of `name=value`."""

import os
import pathlib

import result

from celeryrelay.gateway import settings

PATH_VARIABLE = 'CELERYRELAY_BOOT'
DEFAULT_PATH = '/etc/celeryrelay/boot.conf'
REQUIRED = (
    'node',
    'zone',
    'ip',
    'listen.front',
    'listen.ready',
    'internal_ports',
    'platform.addr',
    'cloud.addr',
)
_ZONE_PREFIX = 'zones.'


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load(
    path: str,
    metrics_port: int = 0,
) -> result.Result[settings.Settings, str]:
    """Return the settings of the file at `path`.

    Errors name the file, the field and what is wrong with it.

    Args:
        path: Path of the file.
        metrics_port: Port of the metrics page; 0 takes the first internal one,
            which the platform draws anew for each start of the whole system.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err('{0}: cannot be read: {1}'.format(path, error))
    fields = _fields(text)
    missing = [name for name in REQUIRED if not fields.get(name)]
    if missing:
        return result.Err(
            '{0}: required fields are missing: {1}'.format(
                path,
                ', '.join(missing),
            ),
        )
    try:
        return result.Ok(_settings(fields, metrics_port))
    except ValueError as error:
        return result.Err('{0}: {1}'.format(path, error))


def _fields(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition('=')
        if separator and not name.startswith('#'):
            fields[name.strip()] = value.strip()
    return fields


def _settings(
    fields: dict[str, str],
    metrics_port: int,
) -> settings.Settings:
    first_port, _, last_port = fields['internal_ports'].partition(',')
    link_port = _number('internal_ports', last_port or first_port)
    if not metrics_port:
        metrics_port = _number('internal_ports', first_port)
    if link_port == metrics_port:
        raise ValueError(
            'internal_ports: given {0!r}; allowed are two ports, one for '
            'metrics and one for links'.format(fields['internal_ports']),
        )
    return settings.Settings(
        instance=fields['node'],
        availability_zone=fields['zone'],
        regions={
            name.removeprefix(_ZONE_PREFIX): region
            for name, region in fields.items()
            if name.startswith(_ZONE_PREFIX)
        },
        caller_address=_address(fields, 'listen.front'),
        probe_address=_address(fields, 'listen.ready'),
        metrics_address='{0}:{1}'.format(fields['ip'], metrics_port),
        link_address='{0}:{1}'.format(fields['ip'], link_port),
        store_address=_address(fields, 'platform.addr'),
        orders_address=_address(fields, 'cloud.addr'),
        capacity=_capacity(fields),
        stop_grace_s=_number('bounds.grace_s', fields.get('bounds.grace_s', 6)),
    )


def _capacity(fields: dict[str, str]) -> float:
    """Return the cores that the process may use, one if nothing is said."""
    share = _number('limits.cpu_share', fields.get('limits.cpu_share') or 1)
    speed = _number('limits.cores', fields.get('limits.cores') or 1)
    return share * speed


def _address(fields: dict[str, str], name: str) -> str:
    host, _, port = fields[name].rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(
            '{0}: given {1!r}; allowed is host:port'.format(name, fields[name]),
        )
    return fields[name]


def _number(name: str, given: str | float) -> float:
    try:
        number = float(given)
    except ValueError:
        raise ValueError(
            '{0}: given {1!r}; allowed is a number'.format(name, given),
        ) from None
    return int(number) if number.is_integer() else number
