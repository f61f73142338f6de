"""Checks of a soak: what callers were told against what servers hold."""

import collections
from collections import abc

from standins.kvstore import service
from standins.linedb import group as groups
from standins.soak import callers


def violations(
    group: groups.Group,
    users: abc.Sequence[callers.Caller],
    orders: abc.Sequence[service.PromotionOrder],
) -> list[str]:
    """Return the promises that were broken."""
    found: list[str] = []
    committed = collections.Counter(
        entry.request_id for entry in group.committed_entries
    )
    contents = {
        entry.request_id: entry.content for entry in group.committed_entries
    }
    for user in users:
        for write in user.writes:
            found.extend(_check_write(write, committed, contents))
        found.extend(_check_reads(user, group))
    found.extend(_check_unasked(group, users))
    found.extend(_check_sessions(group, users))
    found.extend(_check_orders(orders))
    return found


def _check_write(
    write: callers.Write,
    committed: abc.Mapping[str, int],
    contents: abc.Mapping[str, str],
) -> abc.Iterator[str]:
    count = committed.get(write.request_id, 0)
    if count > 1:
        yield f'{write.request_id} took effect {count} times'
    if count and write.code in callers.PROMISES:
        yield f'{write.request_id} was refused ({write.code}) and took effect'
    if not count and not write.code:
        yield f'{write.request_id} was acknowledged without effect'
    if count and contents[write.request_id] != write.content:
        yield f'{write.request_id} wrote {contents[write.request_id]!r}'


def _check_reads(
    user: callers.Caller,
    group: groups.Group,
) -> abc.Iterator[str]:
    """Check that reads see all acknowledged writes of the same caller.

    A promotion may remove the end of the log, so reads after one count only
    from the first write that was acknowledged since.
    """
    places = {write.content: place for place, write in enumerate(user.writes)}
    for read in user.reads:
        required = _last_acknowledged(user, group, read)
        if required is None:
            continue
        seen = places.get(read.content, -1)
        if seen < required:
            yield (
                f'{read.request_id} on {user.database} returned '
                f'{read.content!r}, older than '
                f'{user.writes[required].content!r}'
            )


def _last_acknowledged(
    user: callers.Caller,
    group: groups.Group,
    read: callers.Read,
) -> int | None:
    before = [
        place
        for place, write in enumerate(user.writes[: read.writes])
        if not write.code and write.answered_at <= read.sent_at
    ]
    if not before:
        return None
    answered_at = user.writes[before[-1]].answered_at
    removed = any(at >= answered_at - 1 for at in group.promotion_times)
    # `logs` promises this within one session only.
    return None if removed or user.database != 'bookings' else before[-1]


def _check_unasked(
    group: groups.Group,
    users: abc.Sequence[callers.Caller],
) -> abc.Iterator[str]:
    asked = {write.request_id for user in users for write in user.writes}
    for entry in group.committed_entries:
        if entry.request_id not in asked:
            yield f'{entry.request_id} was committed and never sent'


def _check_sessions(
    group: groups.Group,
    users: abc.Sequence[callers.Caller],
) -> abc.Iterator[str]:
    """Check that statements ran with the variables of their own session."""
    expected = {
        request.request_id: user.variables
        for user in users
        for request in (*user.writes, *user.reads)
    }
    for run in group.executed:
        variables = expected.get(run.request_id)
        if variables is not None and run.variables != variables:
            yield f'{run.request_id} ran with {run.variables}'


def _check_orders(
    orders: abc.Sequence[service.PromotionOrder],
) -> abc.Iterator[str]:
    holders: dict[tuple[str, int], str] = {}
    for order in orders:
        other = holders.setdefault((order.group, order.token), order.holder)
        if other != order.holder:
            yield f'token {order.token} was used by two daemons'
