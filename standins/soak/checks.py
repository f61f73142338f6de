"""Checks the answers that callers got against the data on the servers."""

import collections
from collections import abc

from standins.kvstore import service
from standins.linedb import group as groups
from standins.soak import callers


def violations(
    group: groups.Group,
    soak_callers: abc.Sequence[callers.Caller],
    orders: abc.Sequence[service.PromotionOrder],
) -> list[str]:
    """Return a description of each guarantee that was violated."""
    broken: list[str] = []
    committed = collections.Counter(
        entry.request_id for entry in group.committed_entries
    )
    contents = {
        entry.request_id: entry.content for entry in group.committed_entries
    }
    outdated = {
        entry.request_id
        for entry in group.committed_entries
        if entry.is_outdated
    }
    for caller in soak_callers:
        for write in caller.writes:
            broken.extend(_check_write(write, committed, contents))
            if write.request_id in outdated and not write.code:
                broken.append(
                    f'{write.request_id} was acknowledged, but committed by a '
                    'primary that had been replaced'
                )
        broken.extend(_check_reads(caller, group))
    broken.extend(_check_unsent(group, soak_callers))
    broken.extend(_check_sessions(group, soak_callers))
    broken.extend(_check_promotion_orders(orders))
    if not group.deposes_primaries:
        broken.extend(_check_token_order(orders))
    return broken


def _check_write(
    write: callers.Write,
    committed: abc.Mapping[str, int],
    contents: abc.Mapping[str, str],
) -> abc.Iterator[str]:
    count = committed.get(write.request_id, 0)
    if count > 1:
        yield f'{write.request_id} took effect {count} times'
    if count and write.code in callers.NOT_APPLIED_CODES:
        yield f'{write.request_id} was refused ({write.code}) and took effect'
    if not count and not write.code:
        yield f'{write.request_id} was acknowledged without effect'
    if count and contents[write.request_id] != write.content:
        yield (
            f'{write.request_id} wrote {contents[write.request_id]!r} instead '
            f'of {write.content!r}'
        )


def _check_reads(
    caller: callers.Caller,
    group: groups.Group,
) -> abc.Iterator[str]:
    """Check that reads return all acknowledged writes of the same caller.

    A promotion may remove the end of the log. After a promotion, reads are
    therefore checked only once a later write has been acknowledged.
    """
    index_by_content = {
        write.content: index for index, write in enumerate(caller.writes)
    }
    for read in caller.reads:
        required = _required_write_index(caller, group, read)
        if required is None:
            continue
        seen = index_by_content.get(read.content, -1)
        if seen < required:
            yield (
                f'{read.request_id} on {caller.database} returned '
                f'{read.content!r}, older than '
                f'{caller.writes[required].content!r}'
            )


def _required_write_index(
    caller: callers.Caller,
    group: groups.Group,
    read: callers.Read,
) -> int | None:
    acknowledged = [
        index
        for index, write in enumerate(caller.writes[: read.writes])
        if not write.code and write.answered_at <= read.sent_at
    ]
    if not acknowledged:
        return None
    answered_at = caller.writes[acknowledged[-1]].answered_at
    promoted_since = any(at >= answered_at - 1 for at in group.promotion_times)
    # `logs` guarantees this only within one session, and a caller uses many.
    return (
        None
        if promoted_since or caller.database != 'bookings'
        else acknowledged[-1]
    )


def _check_unsent(
    group: groups.Group,
    soak_callers: abc.Sequence[callers.Caller],
) -> abc.Iterator[str]:
    sent = {
        write.request_id for caller in soak_callers for write in caller.writes
    }
    for entry in group.committed_entries:
        if entry.request_id not in sent:
            yield f'{entry.request_id} was committed but never sent'


def _check_sessions(
    group: groups.Group,
    soak_callers: abc.Sequence[callers.Caller],
) -> abc.Iterator[str]:
    """Check that statements ran with the variables of their own session."""
    expected = {
        request.request_id: caller.variables
        for caller in soak_callers
        for request in (*caller.writes, *caller.reads)
    }
    for run in group.executed:
        variables = expected.get(run.request_id)
        if variables is not None and run.variables != variables:
            yield (
                f'{run.request_id} ran with {run.variables} instead of '
                f'{variables}'
            )


def _check_promotion_orders(
    orders: abc.Sequence[service.PromotionOrder],
) -> abc.Iterator[str]:
    holders: dict[tuple[str, int], str] = {}
    for order in orders:
        other = holders.setdefault((order.group, order.token), order.holder)
        if other != order.holder:
            yield (
                f'token {order.token} of {order.group} was used by two '
                f'daemons: {other} and {order.holder}'
            )


def _check_token_order(
    orders: abc.Sequence[service.PromotionOrder],
) -> abc.Iterator[str]:
    """Check that no order has a lower token than an earlier one."""
    highest: dict[str, int] = {}
    for order in orders:
        if order.token < highest.get(order.group, 0):
            yield (
                f'{order.holder} sent token {order.token} of {order.group} '
                f'after {highest[order.group]}'
            )
        highest[order.group] = max(order.token, highest.get(order.group, 0))
