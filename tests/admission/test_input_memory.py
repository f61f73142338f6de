"""Load: connections that send more than is run, or don't read their answers."""

from celeryrelay.admission import input_memory


def test_connection_that_holds_most_is_closed():
    memory = input_memory.InputMemory(100)
    assert memory.update('small', 30) is None
    assert memory.update('large', 60) is None
    assert memory.update('small', 40) is None
    assert memory.update('new', 1) == 'large'
    memory.discard('large')
    assert memory.update('new', 50) is None
    assert memory.update('small', 0) is None
    assert memory.update('new', 100) is None
