"""Guards against statements that are routed to the wrong database group."""

from celeryrelay.conf import sets
from celeryrelay.core import ranks
from celeryrelay.routing import routes


def route(name, user, schema):
    return sets.Route(name, user, schema, 'rounds', ranks.Rank.bookings)


TABLE = routes.RouteTable(
    sets.ObjectSet(
        groups={},
        routes=(
            route('a', 'residents', 'rounds'),
            route('b', 'residents', 'crews'),
            route('c', 'technicians', 'crews'),
        ),
        ranks={},
        stale_read_rules={},
    ),
)


def test_route_is_found_by_user_and_schema():
    assert TABLE.find('residents', 'crews').unwrap().name == 'b'
    assert TABLE.find('technicians', 'crews').unwrap().name == 'c'


def test_single_route_needs_no_schema():
    assert TABLE.find('technicians', '').unwrap().name == 'c'


def test_ambiguous_user_must_name_a_schema():
    message = TABLE.find('residents', '').unwrap_err()
    assert 'crews, rounds' in message


def test_schema_of_another_user_is_refused():
    message = TABLE.find('technicians', 'rounds').unwrap_err()
    assert '"technicians"' in message
    assert '"rounds"' in message


def test_unknown_user_is_refused():
    assert 'guest' in TABLE.find('guest', 'rounds').unwrap_err()
    assert TABLE.user_routes('guest') == ()


def test_user_routes_keep_their_order():
    names = [found.name for found in TABLE.user_routes('residents')]
    assert names == ['a', 'b']
