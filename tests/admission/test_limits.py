"""Guards against a limit that leaves its range or does not recover."""

import hypothesis
from hypothesis import strategies

from celeryrelay.admission import limits

SETTINGS = hypothesis.settings(derandomize=True, max_examples=150)
SAMPLES = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 1e6),
        strategies.booleans(),
        strategies.floats(0, 1),
    ),
    max_size=100,
)


def feed(limit, service_ms, seconds, start, ok=True):
    for step in range(seconds * 100):
        limit.on_sample(service_ms, ok, start + step / 100)


@SETTINGS
@hypothesis.given(SAMPLES, strategies.integers(1, 3), strategies.integers(0, 9))
def test_limit_stays_in_its_range(samples, minimum, extra):
    limit = limits.AdaptiveLimit(minimum, minimum + extra)
    now = 0
    for service_ms, ok, gap in samples:
        now += gap
        limit.on_sample(service_ms, ok, now)
        assert minimum <= limit.current <= minimum + extra


def test_slow_server_lowers_the_limit_and_recovery_raises_it():
    limit = limits.AdaptiveLimit(1, 8)
    feed(limit, 10, 2, start=0)
    assert limit.current == 8
    feed(limit, 40, 4, start=2)
    assert limit.current <= 2
    feed(limit, 10, 4, start=6)
    assert limit.current == 8


def test_small_variation_does_not_lower_the_limit():
    limit = limits.AdaptiveLimit(1, 8)
    for step in range(1000):
        limit.on_sample(10 + step % 7, True, step / 100)
    assert limit.current == 8


def test_failures_lower_the_limit_once_per_window():
    limit = limits.AdaptiveLimit(1, 8)
    for step in range(100):
        limit.on_sample(10, False, step / 1000)
    assert limit.current == 8
    limit.on_sample(10, False, 0.3)
    assert limit.current == 4
    feed(limit, 10, 3, start=1, ok=False)
    assert limit.current == 1


def test_lasting_slowdown_becomes_the_baseline():
    limit = limits.AdaptiveLimit(1, 8)
    feed(limit, 10, 2, start=0)
    feed(limit, 40, 60, start=2)
    assert limit.current == 8
