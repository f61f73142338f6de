"""Guards against a daemon that forgets, or believes what is outdated."""

import dataclasses

import pytest

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog, directory

SERVER = catalog.Server(
    server_id='s1',
    group='g1',
    address='10.0.0.1:80',
    availability_zone='z1',
    slots=3,
    state=catalog.ServerState.ready,
    role=catalog.Role.primary,
    started_ms=1,
    revision=5,
)


def make_catalog(version):
    return catalog.Configuration(version, {}, {}, 3000)


@pytest.fixture
def clock():
    return clocks.ManualClock(100)


@pytest.fixture
def known(clock):
    found = directory.Directory(clock, gone_after_s=2.5)
    found.on_change(SERVER)
    return found


def removed(server_id='s1'):
    return catalog.Removed(catalog.Server, server_id)


def test_configuration_never_goes_back(known):
    known.on_change(make_catalog(9))
    known.on_change(make_catalog(7))
    assert known.configuration.version == 9
    known.on_snapshot([make_catalog(8)])
    assert known.configuration.version == 9


def test_server_that_lapsed_is_used_until_it_is_taken_as_gone(known, clock):
    """Guards against an outage of the store that empties all groups."""
    known.on_snapshot([])
    clock.advance(2)
    assert known.primary('g1').server is SERVER
    clock.advance(1)
    assert known.primary('g1') is None
    assert known.remove_gone_servers() == ['s1']
    assert known.servers('g1') == []


def test_server_that_registers_again_stays(known, clock):
    known.on_change(removed())
    clock.advance(2)
    known.on_change(dataclasses.replace(SERVER, revision=8))
    clock.advance(2)
    assert known.primary('g1').server.revision == 8


def test_draining_server_that_ended_is_gone_at_once(known, clock):
    """Guards against work for a server that has left."""
    draining = dataclasses.replace(
        SERVER,
        state=catalog.ServerState.draining,
        revision=6,
    )
    known.on_change(draining)
    (found,) = known.servers('g1')
    assert not known.takes_reads(found)
    assert known.primary('g1').server is draining
    clock.advance(directory.DRAINING_PRIMARY_S + 0.1)
    assert known.primary('g1') is None
    known.on_change(removed())
    assert known.servers('g1') == []


def test_older_registration_does_not_replace_a_newer_one(known):
    known.on_change(dataclasses.replace(SERVER, address='x:1', revision=3))
    assert known.servers('g1')[0].server is SERVER


def test_registration_without_news_does_not_undo_what_an_answer_proved(known):
    """Guards against a dead primary whose entry is written again."""
    known.believed_primary('g1').on_proved('s2', now=101)
    known.on_change(dataclasses.replace(SERVER, revision=9))
    assert known.believed_primary('g1').server_id == 's2'
    replica = dataclasses.replace(SERVER, role=catalog.Role.replica)
    known.on_change(dataclasses.replace(replica, revision=10))
    known.on_change(dataclasses.replace(SERVER, revision=11))
    assert known.believed_primary('g1').server_id == 's1'
