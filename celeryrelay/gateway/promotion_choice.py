"""Choice of the server that is promoted in place of a primary.

The functions are pure: they decide by the statuses that are passed to them.
"""

import dataclasses
from collections import abc

from celeryrelay.gateway import catalog, commands

Statuses = abc.Mapping[str, commands.Status]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be promoted.

    Attributes:
        server_id: Id of the server.
        is_draining: Whether it is about to shut down.
        was_refused: Whether the platform refused its promotion just now.
    """

    server_id: str
    is_draining: bool = False
    was_refused: bool = False


def silent_candidates(
    group: catalog.Group,
    candidates: abc.Iterable[Candidate],
    statuses: Statuses,
) -> list[str] | None:
    """Return the candidates whose missing answers prevent a choice.

    If commits wait for a replica, the replica with the longest log has all
    acknowledged commits, so every candidate must have answered.

    Returns:
        None if enough candidates answered to choose one.
    """
    names = [one.server_id for one in candidates]
    silent = [name for name in names if name not in statuses]
    if len(silent) == len(names) or (group.replicated and silent):
        return silent
    return None


def choose(
    group: catalog.Group,
    candidates: abc.Iterable[Candidate],
    statuses: Statuses,
) -> str | None:
    """Return the candidate with the longest log, a draining one only last.

    If commits wait for a replica, only the candidate with the longest log has
    them all, and it may be draining or have been refused just now. So the
    length of the log decides first, and without that candidate there is no
    choice.
    """
    answered = [one for one in candidates if one.server_id in statuses]
    if not group.replicated:
        answered = [one for one in answered if not one.was_refused]
    best = max(
        answered,
        key=lambda one: _preference(group, one, statuses[one.server_id]),
        default=None,
    )
    return best.server_id if best and not best.was_refused else None


def _preference(
    group: catalog.Group,
    candidate: Candidate,
    status: commands.Status,
) -> tuple:
    position = log_position(status)
    if group.replicated:
        return position, not candidate.is_draining
    return not candidate.is_draining, position


def log_position(status: commands.Status) -> tuple[int, int]:
    """Return the position up to which a server received the log."""
    return status.position.term, status.position.offset


def newest_term(statuses: Statuses) -> int:
    """Return the newest term that a server knows; 0 without any status."""
    return max((status.term for status in statuses.values()), default=0)
