"""Comparison of the rules for the selection of a server."""

import dataclasses
import statistics
from collections import abc

from celeryrelay.routing import load_simulation, simulated_rules

RULES: dict[str, type[simulated_rules.Rule]] = {
    'lowest cost (before)': simulated_rules.LowestCost,
    'round robin': simulated_rules.RoundRobin,
    'two random, by cost': simulated_rules.TwoByCost,
    'inverse to cost': simulated_rules.SpareCapacity,
    'even load': simulated_rules.EvenLoad,
    "holders' knowledge": simulated_rules.HolderKnowledge,
    'full information': simulated_rules.FullInformation,
}
SCENARIOS = (
    load_simulation.Scenario('1 daemon, waves', choosers=1, load=0.6, wave=0.8),
    load_simulation.Scenario('6 daemons, calm', choosers=6, load=0.3),
    load_simulation.Scenario(
        '6 daemons, waves', choosers=6, load=0.6, wave=0.8
    ),
    load_simulation.Scenario(
        '6 daemons, one region',
        choosers=6,
        load=0.5,
        wave=0.8,
        is_one_region=True,
    ),
    load_simulation.Scenario(
        '6 daemons, slow server', choosers=6, load=0.45, slow_factor=5
    ),
    load_simulation.Scenario('91 daemons, calm', load=0.3),
    load_simulation.Scenario('91 daemons, waves', load=0.6, wave=0.8),
    load_simulation.Scenario('91 daemons, high load', load=0.85, wave=0.5),
    load_simulation.Scenario(
        '91 daemons, slow server', load=0.45, slow_factor=5
    ),
    load_simulation.Scenario(
        '91 daemons, slow server recovers',
        load=0.6,
        slow_factor=5,
        slow_until_s=5,
    ),
    load_simulation.Scenario(
        '91 daemons, refusing server returns', load=0.5, refuses_until_s=5
    ),
    load_simulation.Scenario(
        '195 daemons, 2 s old', choosers=195, load=0.7, wave=0.5, delay_s=2
    ),
)
_COLUMNS = (
    ('above slots %', 'above_slots', 100),
    ('idle %', 'idle_while_waiting', 100),
    ('busiest/mean', 'imbalance', 1),
    ('p50 ms', 'p50_ms', 1),
    ('p99 ms', 'p99_ms', 1),
    ('BUSY %', 'busy', 100),
    ('other zone %', 'left_zone', 100),
    ('other region %', 'left_region', 100),
    ('primary %', 'on_primary', 100),
)


def measure(
    scenario: load_simulation.Scenario,
    rule: type[simulated_rules.Rule],
    seeds: abc.Iterable[int],
) -> load_simulation.Report:
    """Return the mean measurements of a rule over runs with `seeds`."""
    reports = [
        load_simulation.Simulation(scenario, rule(seed), seed).run()
        for seed in seeds
    ]
    return load_simulation.Report(
        **{
            field.name: statistics.fmean(
                getattr(report, field.name) for report in reports
            )
            for field in dataclasses.fields(load_simulation.Report)
        }
    )


def table(
    scenario: load_simulation.Scenario, seeds: abc.Sequence[int]
) -> list[str]:
    """Return the lines of a Markdown table of all rules."""
    titles = [scenario.name, *(title for title, _, _ in _COLUMNS)]
    lines = [_row(titles), _row('---' for _ in titles)]
    for name, rule in RULES.items():
        report = measure(scenario, rule, seeds)
        cells = [
            '{0:.3g}'.format(getattr(report, field) * factor)
            for _, field, factor in _COLUMNS
        ]
        lines.append(_row([name, *cells]))
    return lines


def _row(cells: abc.Iterable[str]) -> str:
    return '| {0} |'.format(' | '.join(cells))
