"""Decision to replace the primary of a group whose terms the platform assigns.

A daemon replaces a primary that has crashed or is partitioned from the
daemons, and hands over from one that is leaving. The functions are pure: they
decide only by the facts that are passed to them.
"""

import dataclasses
import enum

# A daemon considers a primary failed after this time and number of failures.
MIN_FAILING_S = 0.3
MIN_FAILURES = 2
# A daemon waits this long for each daemon whose turn is before its own, which is
# enough for that daemon to order a promotion.
TURN_DELAY_S = 0.4
# No order is sent for this long after that of another daemon, since the
# promotion may still be in progress.
OTHER_ORDER_HOLD_OFF_S = 4.0
# A daemon repeats its own order after this time.
OWN_ORDER_RETRY_S = 1.5


class Decision(enum.StrEnum):
    """What to do about the primary of a group.

    Attributes:
        wait: Do nothing for now.
        replace: Promote another server in place of a failed primary.
        hand_over: Promote another server in place of a leaving primary.
        finish: Complete a replacement for which replicas are still held.
    """

    wait = 'wait'
    replace = 'replace'
    hand_over = 'hand_over'
    finish = 'finish'


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What a daemon knows about the primary of a group.

    An order is a request to the platform to promote a server. Times are ages
    in seconds; None means that the event has not happened.

    Attributes:
        failing_s: Time since the daemon first failed to reach the primary,
            which has not answered it since.
        failures: Number of failures in that time.
        registered: Whether the primary is registered in the store.
        draining_s: Time since the primary announced that it is leaving.
        complaints: Number of other daemons that have stored a complaint,
            because they can't reach the primary either.
        members: Number of daemons that hold connections to the primary.
        is_voter: Whether this daemon is one of `members`. Only these store
            complaints and decide; the other daemons learn from them that the
            primary is unreachable.
        turn: Number of daemons that decide before this one: among those with
            a complaint or, if there is none, among `members`.
        own_order_s: Time since the last order of this daemon for the group.
        other_order_s: Time since the last order of another daemon for it.
        holds_replicas: Whether replicas may still be held for that last order.
            No commit that waits for a replica is acknowledged until then.
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
    holds_replicas: bool = False


def decide(facts: Facts) -> Decision:
    """Return what to do about the primary."""
    if not facts.is_voter or _is_order_in_progress(facts):
        return Decision.wait
    if facts.holds_replicas and _is_turn_to_finish(facts):
        return Decision.finish
    if _has_failed(facts):
        return Decision.replace
    draining_s = facts.draining_s
    if draining_s is not None and draining_s >= facts.turn * TURN_DELAY_S:
        return Decision.hand_over
    return Decision.wait


def should_complain(facts: Facts) -> bool:
    """Return whether to store a complaint that the primary is unreachable.

    If another daemon has complained, a single failure is enough.
    """
    confirms_other = facts.complaints > 0 and facts.failing_s is not None
    return facts.is_voter and (
        confirms_other or _is_failing(facts, MIN_FAILING_S)
    )


def _is_order_in_progress(facts: Facts) -> bool:
    own_s, other_s = facts.own_order_s, facts.other_order_s
    if own_s is not None and own_s < OWN_ORDER_RETRY_S:
        return True
    return other_s is not None and other_s < OTHER_ORDER_HOLD_OFF_S


def _is_turn_to_finish(facts: Facts) -> bool:
    """Return whether to finish a replacement, which its daemon does first."""
    if facts.other_order_s is None:
        return True
    delay_s = OTHER_ORDER_HOLD_OFF_S + facts.turn * TURN_DELAY_S
    return facts.other_order_s >= delay_s


def _has_failed(facts: Facts) -> bool:
    """Return whether at least half of the daemons can't reach the primary.

    A primary that only a few daemons can't reach still serves the callers of
    the others. More than half is not required, because daemons whose requests
    the store rejects can't store a complaint, so such a majority might not be
    reached in time.
    """
    if not _is_failing(facts, MIN_FAILING_S + facts.turn * TURN_DELAY_S):
        return False
    if not facts.registered:
        return True
    return (facts.complaints + 1) * 2 >= facts.members


def _is_failing(facts: Facts, min_failing_s: float) -> bool:
    return (
        facts.failing_s is not None
        and facts.failing_s >= min_failing_s
        and facts.failures >= MIN_FAILURES
    )
