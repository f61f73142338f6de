"""Generated settings files: each is loaded, or refused with a reason."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from celeryrelay.core import addresses
from celeryrelay.membership import store_pacing
from celeryrelay.platform import settings_file
from tests.platform import test_settings_file

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None
)
FIELDS = (
    *test_settings_file.REQUIRED,
    'limits.cpu_share',
    'limits.cores',
    'bounds.grace_s',
    'bounds.contact_ms',
    'bounds.config_apply_ms',
    'bounds.fencing',
    'zones.a',
)
ODD_VALUES = strategies.sampled_from(
    [
        *('nan', 'inf', '-inf', '-1', '0', '1e308', '1e-320', '9' * 400, ''),
        *('True', 'FALSE', 'yes', '1,2,3', ',', '7440,', '0,0', '1_0', '٣'),
        *(':1', '10.0.0.1:0', 'x' * 70 + ':80', 'a b:80', '::1:80', '.:80'),
        *('front-ž', 'front 1', 'a\x00b', 'a=b', '\ufeff', 'n' * 300),
    ]
)
VALUES = ODD_VALUES | strategies.text(max_size=20)


@pytest.fixture(scope='module')
def path(tmp_path_factory):
    return tmp_path_factory.mktemp('settings') / 'boot.conf'


def check_loaded(path):
    loaded = settings_file.load(str(path))
    if loaded.is_err():
        assert str(path) in loaded.err_value
        return
    options = loaded.ok_value
    assert 0 < options.capacity < math.inf
    assert 0 <= options.stop_grace_s < math.inf
    store_pacing.watch_wait_ms(options.disruption_s + options.apply_s)
    assert f'START g1 {options.instance} s1'.encode('ascii').count(b' ') == 3
    for address in (
        *(options.caller_address, options.probe_address),
        *(options.metrics_address, options.link_address),
        *(options.store_address, options.orders_address),
    ):
        parsed = addresses.parse(address)
        assert parsed.port
        parsed.host.encode('idna')


@SETTINGS
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(FIELDS), VALUES, min_size=1, max_size=3
    )
)
def test_field_values_give_sane_settings_or_an_error(path, changed):
    fields = {**test_settings_file.REQUIRED, **changed}
    path.write_text(''.join(f'{key}={one}\n' for key, one in fields.items()))
    check_loaded(path)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_settings_or_an_error(path, content):
    path.write_bytes(content)
    check_loaded(path)


@pytest.mark.parametrize(
    ('field', 'given'),
    [
        ('bounds.config_apply_ms', 'inf'),
        ('bounds.contact_ms', 'nan'),
        ('bounds.grace_s', '-1'),
        ('limits.cpu_share', '0'),
        ('limits.cores', 'nan'),
        ('listen.front', '10.1.0.8:0'),
        ('listen.ready', 'a b:80'),
        ('node', 'front 1'),
        ('node', 'front-ž'),
    ],
)
def test_error_names_the_field_and_its_value(tmp_path, field, given):
    """Guards against a traceback, or settings that fail later."""
    error = test_settings_file.load(tmp_path, **{field: given}).err_value
    assert f'{field}: ' in error
    assert repr(given) in error


def test_flag_in_capitals_and_byte_order_mark_are_accepted(tmp_path):
    """Guards against a daemon that does not start for the file's spelling."""
    fields = {'bounds.fencing': 'False'}
    assert (
        not test_settings_file.load(tmp_path, **fields)
        .unwrap()
        .deposes_primaries
    )
    path = tmp_path / 'boot.conf'
    marked = b'\xef\xbb\xbf' + path.read_bytes().replace(b'\n', b'\r\n')
    path.write_bytes(marked)
    assert settings_file.load(str(path)).is_ok()
