"""The settings file that the platform provides: lines of `name=value`."""

import os
import pathlib
import re

import result

from celeryrelay.core import addresses
from celeryrelay.gateway import settings
from celeryrelay.quotas import limits

PATH_VARIABLE = 'CELERYRELAY_BOOT'
DEFAULT_PATH = '/etc/celeryrelay/boot.conf'
REQUIRED_FIELDS = (
    'node',
    'zone',
    'ip',
    'listen.front',
    'listen.ready',
    'internal_ports',
    'platform.addr',
    'cloud.addr',
)
STOP_GRACE_S = 6
DISRUPTION_MS = 5000
APPLY_MS = 3000
REVOKE_MS = 5000
# Longer times and larger limits are taken for mistakes.
MAX_NUMBER = 1e9
_POSITIVE_FIELDS = frozenset(
    (
        'limits.cpu_share',
        'limits.cores',
        'bounds.revoke_ms',
        'bounds.quota_window_s',
    )
)
MEMORY_LIMIT_MB = 200
# Descriptors of `limits.max_fds` that are not available for connections.
RESERVED_DESCRIPTORS = 200
_REGION_FIELD_PREFIX = 'zones.'
# Backend servers and the store get the instance name as a word or key.
_INSTANCE_NAME = re.compile('[!-~]{1,100}')
_HOST_NAME = re.compile('[0-9A-Za-z_:-]{1,63}([.][0-9A-Za-z_-]{1,63}){0,9}')
_FLAGS = {'true': True, 'false': False}


def settings_path() -> str:
    """Return the path from the environment, or the default path."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load(
    path: str,
    metrics_port: int = 0,
) -> result.Result[settings.Settings, str]:
    """Read the settings from the file at `path`.

    Error messages name the file, the field and the rule that it breaks.

    Args:
        path: Path of the file.
        metrics_port: Port of the metrics page; 0 selects the first internal
            port, which the platform chooses anew for each start of the whole
            system.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8-sig')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err('{0}: cannot be read: {1}'.format(path, error))
    fields = _parse_fields(text)
    missing = [name for name in REQUIRED_FIELDS if not fields.get(name)]
    if missing:
        return result.Err(
            '{0}: required fields are missing: {1}'.format(
                path,
                ', '.join(missing),
            ),
        )
    try:
        return result.Ok(_build_settings(fields, metrics_port))
    except ValueError as error:
        return result.Err('{0}: {1}'.format(path, error))


def _parse_fields(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition('=')
        if separator and not name.startswith('#'):
            fields[name.strip()] = value.strip()
    return fields


def _build_settings(
    fields: dict[str, str],
    metrics_port: int,
) -> settings.Settings:
    internal_ports = _parse_port_range(fields)
    metrics_port = metrics_port or internal_ports.start
    link_port = _select_link_port(internal_ports, metrics_port)
    return settings.Settings(
        instance=_parse_instance(fields, 'node'),
        availability_zone=fields['zone'],
        regions={
            name.removeprefix(_REGION_FIELD_PREFIX): region
            for name, region in fields.items()
            if name.startswith(_REGION_FIELD_PREFIX)
        },
        caller_address=_parse_address(fields, 'listen.front'),
        probe_address=_parse_address(fields, 'listen.ready'),
        store_address=_parse_address(fields, 'platform.addr'),
        orders_address=_parse_address(fields, 'cloud.addr'),
        metrics_address=_internal_address(fields, metrics_port),
        link_address=_internal_address(fields, link_port),
        capacity=_cpu_capacity(fields),
        connection_limit=_connection_limit(fields),
        memory_limit_mb=_parse_limit(
            fields, 'limits.memory_limit_mb', MEMORY_LIMIT_MB
        ),
        deposes_primaries=_parse_flag(fields, 'bounds.fencing'),
        client_accounts='tenants' in _contracts(fields),
        revoke_strict=_parse_flag(fields, 'bounds.revoke_strict', 'false'),
        revoke_s=_parse_ms(fields, 'bounds.revoke_ms', REVOKE_MS),
        quota_bounds=_quota_bounds(fields),
        stop_grace_s=_parse_number(
            'bounds.grace_s', fields.get('bounds.grace_s') or STOP_GRACE_S
        ),
        disruption_s=_parse_ms(fields, 'bounds.contact_ms', DISRUPTION_MS),
        apply_s=_parse_ms(fields, 'bounds.config_apply_ms', APPLY_MS),
    )


def _parse_port_range(fields: dict[str, str]) -> range:
    """Return the ports that are free for the daemon, from first to last."""
    first, _, last = fields['internal_ports'].partition(',')
    ports = [
        _parse_port('internal_ports', digits)
        for digits in (first, last or first)
    ]
    return range(min(ports), max(ports) + 1)


def _parse_port(name: str, digits: str) -> int:
    port = _parse_number(name, digits)
    if not isinstance(port, int) or not 0 < port <= addresses.MAX_PORT:
        raise ValueError(
            '{0}: {1!r} is not a port from 1 to {2}'.format(
                name, digits, addresses.MAX_PORT
            ),
        )
    return port


def _select_link_port(internal_ports: range, metrics_port: int) -> int:
    """Return the last internal port that the metrics page doesn't use.

    The metrics port is chosen by the deployment and the internal ports by the
    platform, so they may overlap. Other daemons learn the port of the links
    from the store.
    """
    for port in reversed(internal_ports):
        if port != metrics_port:
            return port
    raise ValueError(
        'internal_ports: {0}-{1} is not valid; enter two ports or more, first '
        'and last, one of them for metrics and one for links between '
        'daemons'.format(internal_ports.start, internal_ports.stop - 1),
    )


def _cpu_capacity(fields: dict[str, str]) -> float:
    """Return the cores that the process may use; one if no limit is set."""
    share = _parse_number(
        'limits.cpu_share', fields.get('limits.cpu_share') or 1
    )
    cores = _parse_number('limits.cores', fields.get('limits.cores') or 1)
    return share * cores


def _contracts(fields: dict[str, str]) -> list[str]:
    return [
        contract.strip() for contract in fields.get('contracts', '').split(',')
    ]


def _quota_bounds(fields: dict[str, str]) -> limits.QuotaBounds | None:
    """Return the bounds on the operations of accounts, None without quotas."""
    if 'quota' not in _contracts(fields):
        return None
    default = limits.QuotaBounds()
    return limits.QuotaBounds(
        *(
            _parse_number(name, fields.get(name) or given)
            for name, given in (
                ('bounds.quota_window_s', default.window_s),
                ('bounds.quota_excess', default.excess),
                ('bounds.quota_slack', default.slack),
            )
        ),
    )


def _parse_instance(fields: dict[str, str], name: str) -> str:
    given = fields[name]
    if not _INSTANCE_NAME.fullmatch(given):
        raise ValueError(
            '{0}: {1!r} is not a name of 1 to 100 ASCII characters '
            'without spaces'.format(name, given),
        )
    return given


def _connection_limit(fields: dict[str, str]) -> int:
    descriptors = int(_parse_limit(fields, 'limits.max_fds', 0))
    return max(descriptors - RESERVED_DESCRIPTORS, 1) if descriptors else 0


def _parse_limit(fields: dict[str, str], name: str, default: float) -> float:
    """Return a limit of the platform, the default for no usable number.

    A daemon that obeys another limit than it has to still serves; one that does
    not start over it doesn't. 0, `unlimited` and very large numbers say that
    there is no limit.
    """
    try:
        limit = float(fields.get(name) or default)
    except ValueError:
        return default
    return limit if 0 < limit <= MAX_NUMBER else default


def _parse_address(fields: dict[str, str], name: str) -> str:
    return _checked_address(name, fields[name])


def _internal_address(fields: dict[str, str], port: int | str) -> str:
    address = '{0}:{1}'.format(fields['ip'], port)
    return _checked_address('internal_ports', address)


def _checked_address(name: str, address: str) -> str:
    try:
        host, port = addresses.parse(address)
    except ValueError as error:
        raise ValueError('{0}: {1}'.format(name, error)) from None
    if not port or not _HOST_NAME.fullmatch(host):
        raise ValueError(
            '{0}: {1!r} is not an address with a host name or IP address '
            'and a port above 0'.format(name, address),
        )
    return address


def _parse_flag(
    fields: dict[str, str], name: str, default: str = 'true'
) -> bool:
    given = fields.get(name) or default
    flag = _FLAGS.get(given.lower())
    if flag is None:
        raise ValueError('{0}: {1!r} is not true or false'.format(name, given))
    return flag


def _parse_ms(fields: dict[str, str], name: str, default_ms: int) -> float:
    """Return a time in seconds."""
    return _parse_number(name, fields.get(name) or default_ms) / 1000


def _parse_number(name: str, given: str | float) -> float:
    try:
        number = float(given)
    except ValueError:
        raise ValueError(
            '{0}: {1!r} is not a number'.format(name, given),
        ) from None
    is_positive = number > 0 or name not in _POSITIVE_FIELDS
    if not 0 <= number <= MAX_NUMBER or not is_positive:
        raise ValueError(
            '{0}: {1!r} is not a number {2} 0 and up to {3:.0f}'.format(
                name,
                given,
                'above' if name in _POSITIVE_FIELDS else 'from',
                MAX_NUMBER,
            ),
        )
    return int(number) if number.is_integer() else number
