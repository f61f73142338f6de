"""Which holder gets the statements of a client account.

Answers the load of more accounts than connections: a connection belongs to one
account, and opening one occupies a slot of the server. All daemons of a zone
prefer the same holder for an account, and use the next one only while the first
is clearly busier. This module does no I/O.
"""

import functools
from collections import abc

from celeryrelay.core import rendezvous

# Load by which the first holder may exceed the least loaded one and still be
# used. An account that is moved needs a new connection there, so small
# differences don't count.
TOLERATED_EXCESS = 2
_CACHED_ORDERS = 8192


@functools.lru_cache(_CACHED_ORDERS)
def by_account(
    server_id: str, account: str, holders: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the holders in the order in which an account prefers them.

    The order depends on the names only, so daemons with different views agree
    on the first holder that they all know.
    """
    key = '{0} {1}'.format(server_id, account)
    return rendezvous.top(key, holders, len(holders))


def order(
    server_id: str,
    account: str,
    holders: tuple[str, ...],
    load: abc.Callable[[str], int],
) -> list[str]:
    """Return the holders to ask for a connection of an account, best first.

    Args:
        server_id: The backend server.
        account: Name of the client account.
        holders: The holders that can be asked, at least one.
        load: Returns how busy a holder seems to be.
    """
    preferred = by_account(server_id, account, holders)
    highest_load = min(map(load, holders)) + TOLERATED_EXCESS
    first = next(name for name in preferred if load(name) <= highest_load)
    return [first, *(name for name in preferred if name != first)]
