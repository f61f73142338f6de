"""Guards against wrong labels and metrics shared between daemons."""

from celeryrelay.adapters import metrics
from celeryrelay.core import outcomes, ranks


def test_all_metrics_are_rendered():
    own = metrics.Metrics()
    refusal = outcomes.NotRun(outcomes.Reason.overload, '')
    own.statement('g', ranks.Rank.checks, refusal)
    own.statement('g', ranks.Rank.checks, refusal)
    own.statement('g', ranks.Rank.checks, outcomes.Done())
    own.read('g', metrics.ServedBy.replica)
    own.forward('g')
    own.failover('g')
    own.configuration(7, 0.5)
    own.queue_length('g', 's1', 3)
    own.connections('caller', 12)
    lines = own.render().decode().splitlines()
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


def test_instances_share_nothing():
    first = metrics.Metrics()
    first.forward('g')
    assert b'forwards_total{' not in metrics.Metrics().render()
