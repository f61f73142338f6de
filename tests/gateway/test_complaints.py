"""Guards against complaints that overload the store or outlive their cause."""

import pytest
import result

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog, complaints, interfaces
from celeryrelay.terms import primary_replacement
from tests.gateway import test_failover

UNREACHABLE = primary_replacement.Facts(failing_s=1.0, failures=3)
REACHABLE = primary_replacement.Facts()


class FakeStore:
    """Records calls; refuses complaints if `refuse` is set."""

    def __init__(self):
        self.calls = []
        self.refuse = False

    async def write_complaint(self, complaint, lease):
        self.calls.append(('write', complaint.server_id))
        if self.refuse:
            return result.Err(interfaces.StoreError('refused'))
        return result.Ok(None)

    async def delete_complaint(self, complaint):
        self.calls.append(('delete', complaint.server_id))
        return result.Ok(None)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def clock():
    return clocks.ManualClock(50)


@pytest.fixture
def writer(store, clock):
    from celeryrelay.gateway import application

    daemon = application.Application(
        test_failover.OPTIONS,
        application.Adapters(store, None, None, None),
        clock,
    )
    return complaints.Complaints(daemon.shared, store, daemon._registration)


async def test_complaint_is_written_once_and_deleted_on_recovery(writer, store):
    for _ in range(5):
        await writer.update('g1', 's1', UNREACHABLE)
    await writer.update('g1', 's1', REACHABLE)
    await writer.update('g1', 's1', REACHABLE)
    assert store.calls == [('write', 's1'), ('delete', 's1')]


async def test_refused_complaint_is_retried_after_a_pause(
    writer,
    store,
    clock,
):
    """Guards against a retry on every check while the store refuses calls.

    In incident inc-848e this made 43 refused calls in 3 s.
    """
    store.refuse = True
    for _ in range(30):
        await writer.update('g1', 's1', UNREACHABLE)
        clock.advance(0.1)
    assert len(store.calls) <= 4


async def test_complaint_that_the_store_removed_is_written_again(
    writer,
    store,
):
    """Guards against a complaint lost with a lease that expired.

    The store removes the complaint with the lease although the daemon still
    runs and can't reach the primary.
    """
    await writer.update('g1', 's1', UNREACHABLE)
    writer.on_removed('g1/front-1')
    await writer.update('g1', 's1', UNREACHABLE)
    assert len(store.calls) == 2


async def test_complaints_about_another_server_do_not_count(writer):
    """Guards against a new primary blamed for its predecessor's failure."""
    directory = writer._shared.directory
    directory.on_change(catalog.Complaint('front-2', 'g1', 's1', 5))
    directory.on_change(catalog.Complaint('front-1', 'g1', 's1', 6))
    assert writer.of_peers('g1', 's1') == {'front-2'}
    assert writer.of_peers('g1', 's2') == frozenset()
