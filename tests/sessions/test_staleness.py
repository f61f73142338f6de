"""Guards against ages that are too low or memory that grows without bound."""

import hypothesis
from hypothesis import strategies

from celeryrelay.sessions import staleness

SAMPLES = strategies.lists(
    strategies.tuples(strategies.integers(0, 40), strategies.integers(0, 30)),
    max_size=40,
)
SETTINGS = hypothesis.settings(derandomize=True, max_examples=300)


def naive_age_ms(samples, applied, now):
    """Search the full list of samples."""
    times = [sent_at for sent_at, offset in samples if offset <= applied]
    return (now - max(times)) * 1000 if times else None


@SETTINGS
@hypothesis.given(SAMPLES)
def test_age_agrees_with_the_full_list_in_any_order(samples):
    age = staleness.ReplicaAgeEstimator()
    for sent_at, offset in samples:
        age.on_sample(sent_at, offset)
    for applied in range(-1, 31):
        assert age.age_ms(applied, 50) == naive_age_ms(samples, applied, 50)


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.integers(0, 3), min_size=30, max_size=120),
    strategies.integers(4, 16),
)
def test_thinned_samples_never_make_a_replica_look_younger(steps, capacity):
    age = staleness.ReplicaAgeEstimator(capacity)
    samples = []
    offset = 0
    for sent_at, step in enumerate(steps):
        offset += step
        samples.append((sent_at, offset))
        age.on_sample(sent_at, offset)
        assert len(age) <= capacity
    now = len(steps)
    for applied in range(offset + 1):
        exact = naive_age_ms(samples, applied, now)
        found = age.age_ms(applied, now)
        assert (found is None) == (exact is None)
        assert found is None or found >= exact
    assert age.age_ms(offset, now) == naive_age_ms(samples, offset, now)


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.floats(0.01, 2), min_size=1, max_size=30),
    strategies.lists(strategies.floats(0.01, 5), max_size=12),
    strategies.integers(0, 30),
)
def test_no_write_older_than_the_age_is_missing(gaps, probes, applied):
    log = []
    at = 0.0
    for gap in gaps:
        at += gap
        log.append(at)
    age = staleness.ReplicaAgeEstimator()
    sent_at = 0.0
    for probe in probes:
        sent_at += probe
        committed = sum(written <= sent_at for written in log)
        age.on_sample(sent_at, committed)
    now = max(at, sent_at)
    found = age.age_ms(applied, now)
    if found is not None:
        missing = log[applied:]
        data_time = now - found / 1000 - 1e-6
        assert all(written >= data_time for written in missing)


def test_clock_that_stands_behind_the_sample_gives_age_zero():
    age = staleness.ReplicaAgeEstimator()
    age.on_sample(10, 5)
    assert age.age_ms(5, 9) == 0


def test_recent_samples_stay_exact_after_many():
    age = staleness.ReplicaAgeEstimator(capacity=64)
    for second in range(10_000):
        age.on_sample(second, second * 10)
    assert len(age) <= 64
    assert age.age_ms(9_990 * 10, 10_000) == 10_000
