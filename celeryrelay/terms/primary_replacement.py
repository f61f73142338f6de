"""Decision to replace the primary of a group whose terms the platform assigns.

Pure code: facts and a clock go in, a decision comes out. Answers crashes and
partitions of a primary, and its planned removal.
"""

import dataclasses
import enum

# Time and failures after which a daemon takes a primary as dead.
MIN_FAILING_S = 0.3
MIN_FAILURES = 2
# Time that a daemon gives each one that comes before it, enough for an order.
TURN_DELAY_S = 0.4
# Time in which the order of another daemon may still be under way.
OTHER_ORDER_HOLD_OFF_S = 4.0
# Time after which an order of its own is repeated.
OWN_ORDER_RETRY_S = 1.5


class Decision(enum.StrEnum):
    """What to do about a group's primary."""

    wait = 'wait'
    replace = 'replace'
    hand_over = 'hand_over'


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What a daemon knows of a group's primary.

    Times are ages in seconds; None means that it did not happen.

    Attributes:
        failing_s: Time since the daemon first failed to reach the primary,
            without an answer since.
        failures: Failures in that time.
        registered: Whether the primary's registration exists.
        draining_s: Time since the primary announced that it leaves.
        complaints: Other daemons that can't reach it either.
        members: Daemons with connections of their own to the primary.
        is_voter: Whether this daemon is one of them. Only they complain and
            decide: the others learn from them that it is not reached.
        turn: Daemons that come before this one: of those that complain, or of
            all if nobody does.
        own_order_s: Time since its last order for the group.
        other_order_s: Time since the last order of another daemon.
    """

    failing_s: float | None = None
    failures: int = 0
    registered: bool = True
    draining_s: float | None = None
    complaints: int = 0
    members: int = 1
    is_voter: bool = True
    turn: int = 0
    own_order_s: float | None = None
    other_order_s: float | None = None


def decide(facts: Facts) -> Decision:
    """Return what to do about the primary."""
    if not facts.is_voter or _is_order_under_way(facts):
        return Decision.wait
    if _is_dead(facts):
        return Decision.replace
    draining_s = facts.draining_s
    if draining_s is not None and draining_s >= facts.turn * TURN_DELAY_S:
        return Decision.hand_over
    return Decision.wait


def should_complain(facts: Facts) -> bool:
    """Return whether other daemons should know that it is not reached.

    After another daemon's complaint one own failure confirms it.
    """
    confirms = facts.complaints > 0 and facts.failing_s is not None
    return facts.is_voter and (confirms or _is_failing(facts, MIN_FAILING_S))


def _is_order_under_way(facts: Facts) -> bool:
    own_s, other_s = facts.own_order_s, facts.other_order_s
    if own_s is not None and own_s < OWN_ORDER_RETRY_S:
        return True
    return other_s is not None and other_s < OTHER_ORDER_HOLD_OFF_S


def _is_dead(facts: Facts) -> bool:
    """Return whether half of the daemons agree that it is not reached.

    A primary that only few daemons can't reach serves callers that come
    through the others. Daemons that the store turns away can't complain, so
    more than half would not be heard in time.
    """
    if not _is_failing(facts, MIN_FAILING_S + facts.turn * TURN_DELAY_S):
        return False
    if not facts.registered:
        return True
    return (facts.complaints + 1) * 2 >= facts.members


def _is_failing(facts: Facts, least_s: float) -> bool:
    return (
        facts.failing_s is not None
        and facts.failing_s >= least_s
        and facts.failures >= MIN_FAILURES
    )
