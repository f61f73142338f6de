"""Log positions of database groups."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Position of an entry in the replication log of a database group.

    Offsets continue across terms and do not restart at 0.

    Attributes:
        group: Name of the database group.
        term: Term in which the entry was written.
        offset: Number of log entries up to and including this one.
    """

    group: str
    term: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class TermStart:
    """Log of the promoted slot at the start of a term.

    Attributes:
        term: Number of the term that started.
        base_offset: Number of entries in the promoted slot's log.
        log_term: Term of the last of these entries; 0 for an empty log.
    """

    term: int
    base_offset: int
    log_term: int = 0
