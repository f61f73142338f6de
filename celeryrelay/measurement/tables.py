"""Output of measurements as JSON and as text tables."""

import dataclasses
import typing
from collections import abc

import orjson

from celeryrelay.measurement import series


@dataclasses.dataclass(frozen=True, slots=True)
class Measurements:
    """All measured values.

    Attributes:
        series: Quantities for several numbers of items.
        imports: Resident bytes after each import, by module name.
    """

    series: tuple[series.Series, ...]
    imports: abc.Mapping[str, series.Point]


def to_json(measured: Measurements) -> bytes:
    """Return all values, medians and slopes as JSON."""
    return orjson.dumps(
        {
            'series': [_series_dict(one) for one in measured.series],
            'imports': {
                name: _point_dict(point)
                for name, point in measured.imports.items()
            },
        },
        option=orjson.OPT_INDENT_2,
    )


def to_text(measured: Measurements) -> str:
    """Return one text table for each series."""
    lines: list[str] = []
    for one in measured.series:
        lines.extend((*_series_lines(one), ''))
    if measured.imports:
        lines.append('resident memory after imports, one after the other')
        lines.extend(
            '  {0:<34} {1:>12.0f} bytes, spread {2:.0f}'.format(
                name,
                point.median,
                point.spread,
            )
            for name, point in measured.imports.items()
        )
    return '\n'.join((*lines, ''))


def _series_lines(one: series.Series) -> abc.Iterator[str]:
    slope = one.slope
    unit = one.quantity.unit
    yield '{0} against {1}'.format(one.quantity.name, one.variable)
    for point in one.points:
        yield '  {0:>8} {1:>14.2f} {2}, spread {3:.2f}'.format(
            point.size,
            point.median,
            unit,
            point.spread,
        )
    yield '  slope {0:.4f} ({1:.4f} to {2:.4f}) {3} each, base {4:.2f}'.format(
        slope.median,
        slope.lowest,
        slope.highest,
        unit,
        slope.base,
    )
    yield '  largest distance from the line {0:.1%}'.format(slope.residual)
    yield '  not covered: {0}'.format(one.not_covered)


def _series_dict(one: series.Series) -> dict[str, typing.Any]:
    return {
        'name': one.quantity.name,
        'unit': one.quantity.unit,
        'variable': one.variable,
        'slope': dataclasses.asdict(one.slope),
        'points': [_point_dict(point) for point in one.points],
        'not_covered': one.not_covered,
    }


def _point_dict(point: series.Point) -> dict[str, typing.Any]:
    return {
        'size': point.size,
        'median': point.median,
        'spread': point.spread,
        'values': point.values,
    }
