"""Tests of the log lines on daemons that end or don't respond."""

import asyncio

import logbook
import pytest

from celeryrelay.adapters import diagnostics


@pytest.mark.parametrize(
    ('delay_s', 'processor_s', 'expected'),
    [
        (0.9, 0.9, None),
        (4, 0.01, diagnostics.Stall(4, 0.01)),
        (4, 3.9, diagnostics.Stall(4, 3.9)),
    ],
)
def test_stall_tells_own_work_from_missing_processor_time(
    delay_s, processor_s, expected
):
    monitor = diagnostics.StallMonitor(interval_s=0.25)
    assert monitor.on_timer(10, 0) is None
    assert monitor.on_timer(10.25 + delay_s, processor_s) == expected


async def test_unhandled_error_of_the_event_loop_is_in_the_log():
    """Guards against errors that only standard error shows, unlimited."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(diagnostics.log_unhandled_error)
    with logbook.TestHandler().applicationbound() as logged:
        loop.call_soon([].pop)
        await asyncio.sleep(0.01)
    (record,) = logged.records
    assert 'pop from empty list' in record.kwargs['error']
    assert 'Traceback' in record.formatted_exception
