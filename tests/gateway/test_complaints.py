"""Guards against complaints that flood the store or outlive their cause."""

import pytest
import result

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog, complaints, interfaces
from celeryrelay.terms import primary_replacement
from tests.gateway import test_failover

SILENT = primary_replacement.Facts(failing_s=1.0, failures=3)
HEALTHY = primary_replacement.Facts()


class FakeStore:
    """Takes complaints, or refuses them."""

    def __init__(self):
        self.calls = []
        self.refuse = False

    async def write_complaint(self, complaint, lease):
        self.calls.append(('complain', complaint.server_id))
        if self.refuse:
            return result.Err(interfaces.StoreError('refused'))
        return result.Ok(None)

    async def delete_complaint(self, complaint):
        self.calls.append(('withdraw', complaint.server_id))
        return result.Ok(None)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def clock():
    return clocks.ManualClock(50)


@pytest.fixture
def written(store, clock):
    from celeryrelay.gateway import application

    made = application.Application(
        test_failover.OPTIONS,
        application.Adapters(store, None, None, None),
        clock,
    )
    return complaints.Complaints(made.shared, store, made._registration)


async def test_complaint_is_written_once_and_withdrawn(written, store):
    for _ in range(5):
        await written.share('g1', 's1', SILENT)
    await written.share('g1', 's1', HEALTHY)
    await written.share('g1', 's1', HEALTHY)
    assert store.calls == [('complain', 's1'), ('withdraw', 's1')]


async def test_store_that_refuses_is_not_asked_ten_times_a_second(
    written,
    store,
    clock,
):
    """Found in incident inc-848e: 43 refused calls in 3 s."""
    store.refuse = True
    for _ in range(30):
        await written.share('g1', 's1', SILENT)
        clock.advance(0.1)
    assert len(store.calls) <= 4


async def test_complaint_that_the_store_removed_is_written_again(
    written,
    store,
):
    """Guards against leases that end while the daemon runs on."""
    await written.share('g1', 's1', SILENT)
    written.on_removed('g1/front-1')
    await written.share('g1', 's1', SILENT)
    assert len(store.calls) == 2


async def test_complaints_about_another_server_do_not_count(written):
    """Guards against a new primary that inherits its predecessor's."""
    directory = written._shared.directory
    directory.on_change(catalog.Complaint('front-2', 'g1', 's1', 5))
    directory.on_change(catalog.Complaint('front-1', 'g1', 's1', 6))
    assert written.of_others('g1', 's1') == {'front-2'}
    assert written.of_others('g1', 's2') == frozenset()
