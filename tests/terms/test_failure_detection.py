"""Guards against replacing a primary that serves, or keeping a dead one."""

import pytest

from celeryrelay.conf import settings
from celeryrelay.terms import failure_detection

CONFIG = settings.TermSettings()


def silent(zone, instance='', failures=5, span_ms=600, age_ms=50):
    return failure_detection.ProbeSummary(
        zone,
        instance or zone,
        failures,
        span_ms,
        None,
        age_ms,
    )


def answering(zone, answered_age_ms, age_ms=50):
    return failure_detection.ProbeSummary(
        zone, zone, 0, 0, answered_age_ms, age_ms
    )


def is_down(*summaries, zones=3):
    return failure_detection.primary_is_down(summaries, CONFIG, zones)


def test_two_zones_are_needed():
    assert not is_down()
    assert not is_down(silent('x', '1'), silent('x', '2'))
    assert is_down(silent('x'), silent('y'))
    assert is_down(silent('x'), zones=1)
    assert not is_down(silent('x'), zones=2)
    assert not is_down(zones=1)


def test_a_fresh_answer_anywhere_keeps_the_primary():
    assert not is_down(silent('x'), silent('y'), answering('z', 100))
    assert is_down(silent('x'), silent('y'), answering('z', 700, age_ms=700))


def test_an_observer_that_missed_one_probe_still_tells_of_its_answer():
    mixed = failure_detection.ProbeSummary('z', 'z', 1, 0, 200, 50)
    assert not is_down(silent('x'), silent('y'), mixed)


@pytest.mark.parametrize(
    'weak',
    [
        silent('y', failures=2),
        silent('y', span_ms=599),
        silent('y', age_ms=601),
    ],
)
def test_few_short_or_stale_failures_count_for_nothing(weak):
    assert not is_down(silent('x'), weak)


def test_the_newest_summary_of_an_observer_counts():
    old = silent('y', age_ms=300)
    new = failure_detection.ProbeSummary('y', 'y', 0, 0, 20, 20)
    assert not is_down(silent('x'), old, new)
    assert not is_down(silent('x'), new, old)


def test_a_history_counts_failures_in_a_row():
    history = failure_detection.ProbeHistory('x', 'i')
    assert history.summary(0) is None
    for now in (1, 1.5):
        history.on_probe(answered=False, now=now)
    history.on_probe(answered=True, now=1.6)
    for now in (2, 2.3, 2.6):
        history.on_probe(answered=False, now=now)
    summary = history.summary(2.7)
    assert (summary.failures, summary.age_ms) == (3, pytest.approx(100))
    assert summary.span_ms == pytest.approx(600)
    assert summary.answered_age_ms == pytest.approx(1100)


def test_a_late_answer_counts_as_alive():
    history = failure_detection.ProbeHistory('x', 'i')
    for number in range(6):
        history.on_probe(answered=False, now=number)
    history.on_probe(answered=True, now=5.1)
    assert not is_down(history.summary(5.2), silent('y'), silent('z'))


def test_ages_grow_on_the_way():
    aged = answering('z', 100).aged(550)
    assert (aged.age_ms, aged.answered_age_ms) == (600, 650)
    assert silent('x').aged(10).answered_age_ms is None
