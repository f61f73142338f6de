"""Plots of an account; needs the optional extra `plots`."""

import datetime
import pathlib
import typing

from celeryrelay.accounting import batches, reports
from celeryrelay.core import errors, ranks

FIGURE_INCHES = (10, 6)
FAILOVER_COLOUR = 'tab:red'


class PlotsUnavailableError(errors.CeleryrelayError):
    """The optional plotting library is not installed."""


def service(report: reports.Report, path: str | pathlib.Path) -> None:
    """Write a plot of served and refused statements by rank over time.

    Failovers are marked by vertical lines.

    Args:
        report: Report to plot.
        path: File to write; its suffix determines the format.

    Raises:
        PlotsUnavailableError: matplotlib is not installed.
    """
    figure_module = _import_figure()
    figure = figure_module.Figure(figsize=FIGURE_INCHES, layout='constrained')
    served_axes, refused_axes = figure.subplots(2, 1, sharex=True)
    totals = report.totals('rank', 'period')
    for rank in ranks.BY_URGENCY:
        times = [_time(key[1]) for key in totals if key[0] == rank]
        rows = [totals[key] for key in totals if key[0] == rank]
        served = [row.served for row in rows]
        refused = [sum(row.refused.values()) for row in rows]
        served_axes.plot(times, served, label=rank)
        refused_axes.plot(times, refused, label=rank)
    _label_axes(served_axes, report, 'served per period')
    _label_axes(refused_axes, report, 'not run per period')
    refused_axes.set_xlabel('time (UTC)')
    served_axes.legend(title='rank')
    figure.savefig(path)


def _label_axes(axes: typing.Any, report: reports.Report, label: str) -> None:
    axes.set_ylabel(label)
    _mark_failovers(axes, report)


def _mark_failovers(axes: typing.Any, report: reports.Report) -> None:
    for record in report.failovers:
        axes.axvline(
            _time(record.completed_ms / batches.MS_PER_SECOND),
            color=FAILOVER_COLOUR,
            linestyle='--',
        )


def _time(unix_s: float) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(unix_s, tz=datetime.UTC)


def _import_figure() -> typing.Any:
    # Imported here because matplotlib is optional and slow to import.
    try:
        from matplotlib import figure  # noqa: PLC0415, WPS433
    except ImportError as error:
        raise PlotsUnavailableError(
            'plots need matplotlib: install celeryrelay[plots]',
        ) from error
    return figure
