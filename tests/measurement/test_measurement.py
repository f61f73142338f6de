"""Guards against wrong slopes and failed measurements without an error."""

import orjson
import pytest

from celeryrelay.management.commands import measure
from celeryrelay.measurement import children, exchange, series, settings

BYTES = series.Quantity('size', 'bytes')

SMALL = """{
  repetitions: 2, // the fewest that show a spread
  exchange: {members: [1, 2, 3, 4], terms: [1, 2, 3, 4],
             evidence: [1, 2, 3, 4], requests: 3},
  memory: {connections: [1, 2, 3, 4], items: [10, 20, 30, 40]},
  sizes: {databases: [1, 2, 3, 4], sources: [1, 2, 3, 4], cells: 3,
          batch_cells: [1, 2, 3, 4]},
}"""


@pytest.fixture
def small(tmp_path):
    target = tmp_path / 'measure.json5'
    target.write_text(SMALL)
    return '--settings={0}'.format(target)


def run(*arguments):
    return measure.main(['celeryrelay-measure', *arguments])


def test_slope_of_exactly_linear_values():
    (one,) = series.collect(
        'items',
        (1, 2, 4, 8),
        3,
        lambda size: {BYTES: 7 + 5 * size},
        'nothing',
    )
    assert one.slope.median == pytest.approx(5)
    assert one.slope.base == pytest.approx(7)
    assert one.slope.residual == pytest.approx(0)
    assert [point.spread for point in one.points] == [0, 0, 0, 0]


def test_noise_and_nonlinearity_raise_spread_and_residual():
    values = iter((1, 2, 4, 8, 1, 2, 4, 16))
    (one,) = series.collect(
        'items', (1, 2, 3, 4), 2, lambda size: {BYTES: next(values)}, ''
    )
    assert one.points[3].spread == 8
    assert one.slope.highest > one.slope.lowest
    assert one.slope.residual > 0.05


def test_exchange_size_grows_with_the_entries():
    loopback = exchange.LoopbackExchange()
    try:
        few = loopback.measure(exchange.EntryCounts(members=1), 3)
        many = loopback.measure(exchange.EntryCounts(members=11), 3)
        evidence = loopback.measure(exchange.EntryCounts(evidence=5), 3)
    finally:
        loopback.close()
    entry = len(
        orjson.dumps(exchange.make_reply(exchange.EntryCounts(members=1)))
    )
    none = len(orjson.dumps(exchange.make_reply(exchange.EntryCounts())))
    grown = many[exchange.REPLY_BYTES] - few[exchange.REPLY_BYTES]
    assert grown == pytest.approx(10 * (entry - none), rel=0.05)
    assert evidence[exchange.REQUEST_BYTES] > few[exchange.REQUEST_BYTES]
    assert few[exchange.CLIENT_CPU] > 0
    assert few[exchange.SERVER_CPU] > 0


@pytest.mark.parametrize('part', ['exchange', 'sizes', 'imports'])
def test_program_prints_json(small, part, capsysbinary):
    assert run(small, '--part=' + part, '--json') == measure.EXIT_OK
    measured = orjson.loads(capsysbinary.readouterr().out)
    assert measured['series'] or measured['imports']
    for one in measured['series']:
        assert len(one['points']) >= settings.MIN_POINTS
        assert all(len(point['values']) == 2 for point in one['points'])
        assert one['not_covered']


@pytest.mark.parametrize('kind', ['caller_connection', 'session'])
def test_memory_child_reports_traced_and_resident_bytes(kind):
    found = children.run_child('celeryrelay.measurement.memory', kind, '20')
    assert found['traced'] > 0
    assert set(found) == {'traced', 'resident'}


def test_table_is_printed(small, capsys):
    assert run(small, '--part=sizes') == measure.EXIT_OK
    assert 'configuration size against databases' in capsys.readouterr().out


@pytest.mark.parametrize(
    'arguments',
    [
        ['--part=other'],
        ['--unknown'],
        ['extra'],
        ['--settings=/nonexistent'],
    ],
)
def test_wrong_usage(arguments, capsys):
    assert run(*arguments) == measure.EXIT_USAGE
    assert capsys.readouterr().err


def test_settings_with_too_few_sizes_are_rejected(tmp_path, capsys):
    target = tmp_path / 'measure.json5'
    target.write_text('{memory: {items: [1, 2, 3]}, other: 1}')
    assert run('--settings={0}'.format(target)) == measure.EXIT_USAGE
    shown = capsys.readouterr().err
    assert 'memory.items' in shown
    assert 'other: unknown key' in shown


def test_failed_child_process_raises_an_error():
    with pytest.raises(children.errors.CeleryrelayError, match='failed'):
        children.run_child('celeryrelay.measurement.memory', 'other', '1')
