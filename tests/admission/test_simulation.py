"""Guards the service that the admission queue was tuned for."""

import json

import pytest
from absl import flags

from celeryrelay.admission import (
    simulated_policies,
    simulated_workloads,
    simulation,
)
from celeryrelay.core import ranks
from celeryrelay.management.commands import model

SCENARIOS = {
    scenario.name: scenario for scenario in simulated_workloads.SCENARIOS
}
QUEUE = simulated_policies.PolicyName.admission_queue
CASES = [
    pytest.param(deployment, scenario, id=f'{deployment.name}-{scenario.name}')
    for deployment in simulated_workloads.DEPLOYMENTS
    for scenario in simulated_workloads.SCENARIOS
    if scenario.name != simulated_workloads.SLOW_SLOT
]


def queue_result(deployment, scenario, seed=5):
    load = simulated_workloads.generate(deployment, scenario, 4, seed)
    return simulation.run_policy(deployment, scenario, load, 4, seed, QUEUE)


@pytest.mark.parametrize(('deployment', 'scenario'), CASES)
def test_promises_of_the_queue_under_floods(deployment, scenario):
    found = queue_result(deployment, scenario)
    bookings = found.by_rank[0]
    if ranks.Rank.bookings not in scenario.flooding:
        target = deployment.policies[ranks.Rank.bookings].target_ms
        assert bookings.p99_ms <= target
        assert bookings.kept > 0.99
    for row in found.by_rank:
        assert row.kept > 0.97, row


def test_the_bound_is_above_every_policy():
    scenario = SCENARIOS['bookings+checks']
    found = simulation.compare(simulated_workloads.ZILINA, scenario, 2, seed=3)
    worths = {row.policy: row.worth for row in found}
    bound = worths.pop(simulated_policies.PolicyName.clairvoyant)
    assert set(worths) == set(simulated_policies.PolicyName) - {
        simulated_policies.PolicyName.clairvoyant,
    }
    assert max(worths.values()) <= bound
    assert worths[QUEUE] == max(worths.values())


def test_without_overload_nothing_is_refused():
    scenario = SCENARIOS[simulated_workloads.NORMAL]
    for row in simulation.compare(
        simulated_workloads.PITCHWISE, scenario, 2, seed=3
    ):
        assert all(rank.served == rank.offered for rank in row.by_rank)


def test_a_flood_leaves_the_arrivals_of_other_ranks_as_they_are():
    calm, flood = (
        [
            (job.arrived, job.service_ms)
            for job in simulated_workloads.generate(
                simulated_workloads.ZILINA,
                SCENARIOS[name],
                2,
                seed=1,
            )
            if job.rank is ranks.Rank.checks
        ]
        for name in (simulated_workloads.NORMAL, 'bookings')
    )
    assert calm == flood


def test_running_jobs_share_the_speed_of_a_contended_slot():
    jobs = [
        simulated_workloads.Job(n, ranks.Rank.checks, 0, 9, 100)
        for n in range(2)
    ]
    slot = simulation.Slot(1)
    for job in jobs:
        slot.start(job, 0)
    loss = 1 + simulation.CONTENTION_LOSS
    assert slot.next_end() == pytest.approx(0.2 * loss)
    slot.change(2, 0.1 * loss)
    assert slot.next_end() == pytest.approx(0.1 * loss + 0.05)


@pytest.fixture(name='parsed_flags')
def fixture_parsed_flags(monkeypatch):
    values = flags.FlagValues()
    model.register_flags(values)
    values(
        ['model', '--duration=1', '--deployment=zilina', '--scenario=normal']
    )
    monkeypatch.setattr(model, 'FLAGS', values)
    return values


def test_command_prints_a_table(parsed_flags, capsys):
    assert model.main(['model', 'policies']) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == 'zilina, normal'
    assert lines[-2].startswith('clairvoyant')


def test_command_prints_json(parsed_flags, capsys):
    parsed_flags.json = True
    assert model.main(['model', 'policies']) == 0
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [row['policy'] for row in rows] == list(
        simulated_policies.PolicyName
    )
    assert rows[0]['by_rank'][0]['rank'] == 'bookings'


def test_command_explains_its_usage(parsed_flags, capsys):
    assert model.main(['model']) == model.EXIT_USAGE
    assert 'usage' in capsys.readouterr().err
