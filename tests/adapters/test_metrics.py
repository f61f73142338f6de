"""Tests of the daemon's metrics.

Guards against wrong names or labels, and against a registry that several
daemons in one process share.
"""

from celeryrelay.adapters import metrics
from celeryrelay.core import outcomes, ranks


def test_all_metrics_are_rendered():
    daemon_metrics = metrics.Metrics()
    refusal = outcomes.NotRun(outcomes.Reason.overload, '')
    daemon_metrics.statement('g', ranks.Rank.checks, refusal)
    daemon_metrics.statement('g', ranks.Rank.checks, refusal)
    daemon_metrics.statement('g', ranks.Rank.checks, outcomes.Done())
    daemon_metrics.read('g', metrics.ServedBy.replica)
    daemon_metrics.forward('g')
    daemon_metrics.failover('g')
    daemon_metrics.configuration(7, 0.5)
    daemon_metrics.queue_length('g', 's1', 3)
    daemon_metrics.connections('caller', 12)
    lines = daemon_metrics.render().decode().splitlines()
    assert {line for line in lines if not line.startswith('#')} == {
        'celeryrelay_statements_total{group="g",outcome="not_run",'
        'rank="checks",reason="overload"} 2',
        'celeryrelay_statements_total{group="g",outcome="done",'
        'rank="checks",reason=""} 1',
        'celeryrelay_reads_total{group="g",served_by="replica"} 1',
        'celeryrelay_forwards_total{group="g"} 1',
        'celeryrelay_failovers_total{group="g"} 1',
        'celeryrelay_configuration_revision 7',
        'celeryrelay_configuration_staleness_seconds 0.5',
        'celeryrelay_queue_length{group="g",slot="s1"} 3',
        'celeryrelay_connections{kind="caller"} 12',
    }


def test_instances_have_separate_registries():
    first = metrics.Metrics()
    first.forward('g')
    assert b'forwards_total{' not in metrics.Metrics().render()
